"""Failures between entries and agents, over real sockets."""

import pytest

from mustardquay_standins.watches import (
    count_calls,
    count_runs,
    send_call,
    start_call,
    start_stream,
)

pytestmark = pytest.mark.fault


async def test_cut_link_costs_a_stream_nothing(frail_site, client):
    """
    A host sees a draft stop for a moment and go on. The connection between entry
    and agent is reset in mid-stream; the entry opens a new one and asks for the
    frames it lacks. The engine runs the draft once.
    """
    stream = await start_stream(frail_site, client, "cut link")
    frail_site.relays[f"agent-{stream.upstream}"].cut_connections()
    await stream.check_whole()
    assert count_runs(frail_site, "cut link") == 1


async def test_silent_link_costs_a_stream_nothing(frail_site, client):
    """
    A host sees a draft stop for less than a second and go on. A box between entry
    and agent has forgotten their connection, which stays open and passes nothing;
    new connections work. Heartbeats stop, so the entry opens a new link.
    """
    stream = await start_stream(frail_site, client, "silent link")
    frail_site.relays[f"agent-{stream.upstream}"].blackhole_connections()
    await stream.check_whole()
    assert count_runs(frail_site, "silent link") == 1


async def test_silent_link_does_not_lose_a_booking(frail_site, client):
    """
    A host books a booth and gets its confirmation a little late. The link goes
    silent while the service is at work; the answer waits at the agent until the
    entry has come back over a new link. The Booking is carried out once.
    """
    for service in frail_site.services.values():
        service.set_faults({"slow": 0.3})
    task, name = await start_call(frail_site, client, "silent")
    frail_site.relays[f"agent-{name}"].blackhole_connections()
    answer = await task
    assert (answer.status, answer.outcome) == (201, "answered")
    assert count_calls(frail_site, "silent") == 1


async def test_attempt_swallowed_on_its_way_is_truly_not_run(frail_site, client):
    """
    A host books while every link swallows what entries send. No service is called.
    The entries come back over new links, the agents affirm that the call never
    came, and the Booking is carried out once or refused as not run.
    """
    for relay in frail_site.relays.values():
        relay.blackhole_connections()
    answer = await send_call(frail_site, client, "swallowed")
    runs = count_calls(frail_site, "swallowed")
    assert (answer.outcome, runs) in (("answered", 1), ("not-run", 0))


async def test_death_of_an_agent_moves_a_stream_to_another_engine(frail_site, client):
    """
    A host sees a draft stop for a moment and go on. The agent's process ends in
    mid-stream. The entry finds its port closed and resumes the draft on another
    engine, behind the last token that the host has.
    """
    stream = await start_stream(frail_site, client, "dead agent")
    agent = frail_site.find_agent(stream.upstream)
    frail_site.relays[agent.name].set_down(True)
    await agent.stop()
    await stream.check_whole()
    del frail_site.agents[agent.name]


async def test_death_of_an_agent_leaves_a_booking_unknown(frail_site, client):
    """
    A host books, and is told that nobody knows whether the Booking was carried out.
    The agent's process ended while the service was at work. A repeat with the same
    key, through either entry, hears the same and runs nothing.
    """
    for service in frail_site.services.values():
        service.set_faults({"slow": 0.5})
    task, name = await start_call(frail_site, client, "dead")
    agent = frail_site.find_agent(name)
    frail_site.relays[agent.name].set_down(True)
    await agent.stop()
    answer = await task
    assert answer.outcome == "unknown"
    for number in (0, 1):
        repeat = await send_call(frail_site, client, "dead", number)
        assert repeat.outcome == "unknown"
    assert count_calls(frail_site, "dead") <= 1
    del frail_site.agents[agent.name]


async def test_repeat_through_another_entry_joins_the_running_booking(
    frail_site, client
):
    """
    A host that waits too long asks again, through another entry, while the Booking
    is being carried out. Both calls get the one answer; the service runs it once.
    """
    for service in frail_site.services.values():
        service.set_faults({"slow": 0.3})
    task, _ = await start_call(frail_site, client, "joined")
    repeat = await send_call(frail_site, client, "joined", entry=1)
    first = await task
    assert (first.status, repeat.status) == (201, 201)
    assert first.body == repeat.body
    assert count_calls(frail_site, "joined") == 1
