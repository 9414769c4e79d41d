"""Failures of the platform's services, over real sockets."""

import asyncio

import pytest

from mustardquay_standins.watches import (
    count_calls,
    count_runs,
    send_call,
    start_stream,
    wait_until,
)

pytestmark = pytest.mark.fault


async def test_outage_of_the_store_refuses_what_needs_it_and_serves_the_rest(
    frail_site, client
):
    """
    The platform's table service is down. Drafts are answered as ever. A Booking is
    refused as not run once the tolerated lateness has passed, and with the service
    back the same key is carried out once.
    """
    tables = frail_site.platform.tables
    tables.set_faults({"down": True})
    stream = await start_stream(frail_site, client, "in the outage")
    await stream.check_whole()
    refused = await send_call(frail_site, client, "outage")
    assert (refused.status, refused.outcome) == (503, "not-run")
    assert "Retry-After" in refused.headers
    tables.set_faults({"down": False})

    async def send_until_answered():
        while True:
            answer = await send_call(frail_site, client, "outage")
            if answer.outcome == "answered":
                return answer
            assert answer.outcome == "not-run"

    async with asyncio.timeout(30):
        answer = await send_until_answered()
    assert answer.status == 201
    assert count_calls(frail_site, "outage") == 1


async def test_answer_lost_after_the_write_does_not_double_a_booking(
    frail_site, client
):
    """
    A host books and gets one confirmation. The table service applies the claim and
    its answer is lost; the entry reads back that the claim is its own.
    """
    frail_site.platform.tables.set_faults({"lose_answers": 1})
    answer = await send_call(frail_site, client, "lost answer")
    assert (answer.status, answer.outcome) == (201, "answered")
    assert count_calls(frail_site, "lost answer") == 1


async def test_leaving_instance_gets_no_new_work(frail_site, client):
    """
    The platform announces that an instance will leave. Its agent has not been told.
    Within seconds no entry chooses it; what runs there ends whole.
    """
    stream = await start_stream(frail_site, client, "leaving")
    agent = frail_site.find_agent(stream.upstream)
    frail_site.platform.instances.set_state(agent.name, "leaving")
    await wait_until(
        lambda: all(
            stream.upstream not in entry.list_reachable()
            for entry in frail_site.entries.values()
        )
    )
    await stream.check_whole()
    assert count_runs(frail_site, "leaving") == 1


async def test_outage_of_the_list_keeps_the_links(frail_site, client):
    """
    The platform's instance list does not answer. Entries keep their links and go on
    serving.
    """
    instances = frail_site.platform.instances
    instances.set_faults({"down": True})
    reads = instances.counters.reads
    await wait_until(lambda: instances.counters.reads > reads + 2)
    stream = await start_stream(frail_site, client, "without a list")
    await stream.check_whole()
