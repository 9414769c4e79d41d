"""Faults of links between entries and agents, over real sockets."""

import pytest

from mustardquay_standins.watches import (
    count_calls,
    count_runs,
    send_call,
    start_call,
    start_stream,
)

pytestmark = pytest.mark.fault


async def test_stream_is_complete_after_its_link_is_cut(relayed_site, client):
    """
    The connection between entry and agent is reset in mid-stream. The entry opens a
    new one and requests the missing frames, so that the stream pauses for a moment
    and continues. The engine runs the request once.
    """
    stream = await start_stream(relayed_site, client, "cut link")
    relayed_site.relays[f"agent-{stream.upstream}"].cut_connections()
    await stream.check_whole()
    assert count_runs(relayed_site, "cut link") == 1


async def test_stream_is_complete_after_its_link_becomes_silent(relayed_site, client):
    """
    A middlebox between entry and agent has lost the state of their connection, which
    stays open and transports nothing; new connections work. Heartbeats stop, so the
    entry opens a new link; the stream pauses for less than a second.
    """
    stream = await start_stream(relayed_site, client, "silent link")
    relayed_site.relays[f"agent-{stream.upstream}"].blackhole_connections()
    await stream.check_whole()
    assert count_runs(relayed_site, "silent link") == 1


async def test_silent_link_does_not_lose_a_booking(relayed_site, client):
    """
    The link becomes silent while the service processes a booking. The agent keeps the
    answer until the entry has connected over a new link. The caller gets it a little
    late, and the service runs the call once.
    """
    for service in relayed_site.services.values():
        service.set_faults({"slow": 0.3})
    task, name = await start_call(relayed_site, client, "silent")
    relayed_site.relays[f"agent-{name}"].blackhole_connections()
    answer = await task
    assert (answer.status, answer.outcome) == (201, "answered")
    assert count_calls(relayed_site, "silent") == 1


async def test_attempt_lost_on_its_way_is_run_once_or_reported_as_not_run(
    relayed_site, client
):
    """
    A booking is sent while every link loses what entries send, so that no service is
    called. The entries connect over new links, the agents confirm that the call never
    arrived, and the booking is run once or refused as not run.
    """
    for relay in relayed_site.relays.values():
        relay.blackhole_connections()
    answer = await send_call(relayed_site, client, "swallowed")
    runs = count_calls(relayed_site, "swallowed")
    assert (answer.outcome, runs) in (("answered", 1), ("not-run", 0))


async def test_stream_resumes_on_another_engine_after_its_agent_stops(
    relayed_site, client
):
    """
    The agent stops in mid-stream. The entry finds its port closed and resumes the
    draft on another engine after the last token that the caller has received.
    """
    stream = await start_stream(relayed_site, client, "dead agent")
    agent = relayed_site.find_agent(stream.upstream)
    relayed_site.relays[agent.name].set_down(True)
    await agent.stop()
    await stream.check_whole()
    del relayed_site.agents[agent.name]


async def test_booking_is_unknown_after_its_agent_stops(relayed_site, client):
    """
    The agent stops while the service processes a booking, so that the outcome is
    unknown. A repeat with the same key, through either entry, gets the same outcome
    and runs nothing.
    """
    for service in relayed_site.services.values():
        service.set_faults({"slow": 0.5})
    task, name = await start_call(relayed_site, client, "dead")
    agent = relayed_site.find_agent(name)
    relayed_site.relays[agent.name].set_down(True)
    await agent.stop()
    answer = await task
    assert answer.outcome == "unknown"
    for number in (0, 1):
        repeat = await send_call(relayed_site, client, "dead", number)
        assert repeat.outcome == "unknown"
    assert count_calls(relayed_site, "dead") <= 1
    del relayed_site.agents[agent.name]


async def test_repeat_through_another_entry_joins_the_running_booking(
    relayed_site, client
):
    """
    A caller repeats a booking through another entry while the first call is still
    running. Both calls get the same answer; the service runs it once.
    """
    for service in relayed_site.services.values():
        service.set_faults({"slow": 0.3})
    task, _ = await start_call(relayed_site, client, "joined")
    repeat = await send_call(relayed_site, client, "joined", entry=1)
    first = await task
    assert (first.status, repeat.status) == (201, 201)
    assert first.body == repeat.body
    assert count_calls(relayed_site, "joined") == 1
