"""Faults of the platform's services, over real sockets."""

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
    relayed_site, client
):
    """
    While the platform's table service is down, drafts are answered as usual. A booking
    is refused as not run after the tolerated lateness. Once the service is available
    again, a repeat with the same key is run once.
    """
    tables = relayed_site.platform.tables
    tables.set_faults({"down": True})
    stream = await start_stream(relayed_site, client, "in the outage")
    await stream.check_whole()
    refused = await send_call(relayed_site, client, "outage")
    assert (refused.status, refused.outcome) == (503, "not-run")
    assert "Retry-After" in refused.headers
    tables.set_faults({"down": False})

    async def send_until_answered():
        while True:
            answer = await send_call(relayed_site, client, "outage")
            if answer.outcome == "answered":
                return answer
            assert answer.outcome == "not-run"

    async with asyncio.timeout(30):
        answer = await send_until_answered()
    assert answer.status == 201
    assert count_calls(relayed_site, "outage") == 1


async def test_answer_lost_after_the_write_does_not_double_a_booking(
    relayed_site, client
):
    """
    The table service applies the claim of a booking, and its answer is lost. The entry
    reads the row, finds that the claim is its own, and runs the booking once.
    """
    relayed_site.platform.tables.set_faults({"lose_answers": 1})
    answer = await send_call(relayed_site, client, "lost answer")
    assert (answer.status, answer.outcome) == (201, "answered")
    assert count_calls(relayed_site, "lost answer") == 1


async def test_leaving_instance_gets_no_new_requests(relayed_site, client):
    """
    The platform lists an instance as leaving; its agent gets no signal. Within seconds
    no entry chooses it any more, and streams that run there are completed.
    """
    stream = await start_stream(relayed_site, client, "leaving")
    agent = relayed_site.find_agent(stream.upstream)
    relayed_site.platform.instances.set_state(agent.name, "leaving")
    await wait_until(
        lambda: all(
            stream.upstream not in entry.list_reachable()
            for entry in relayed_site.entries.values()
        )
    )
    await stream.check_whole()
    assert count_runs(relayed_site, "leaving") == 1


async def test_outage_of_the_list_keeps_the_links(relayed_site, client):
    """
    While the platform's instance list doesn't answer, entries keep their links and
    continue to serve.
    """
    instances = relayed_site.platform.instances
    instances.set_faults({"down": True})
    reads = instances.counters.reads
    await wait_until(lambda: instances.counters.reads > reads + 2)
    stream = await start_stream(relayed_site, client, "without a list")
    await stream.check_whole()
