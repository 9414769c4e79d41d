"""Failures of engines and plain services, over real sockets."""

import asyncio

import pytest

from mustardquay_standins.answers import expected_text
from mustardquay_standins.watches import (
    count_calls,
    count_runs,
    send_call,
    start_call,
    start_stream,
    wait_until,
)

pytestmark = pytest.mark.fault
MARKER = "poisonous"


async def test_stream_that_breaks_off_is_resumed_behind_its_last_token(
    frail_site, client
):
    """
    A host sees each token of a draft once. Every engine drops its connection after
    sixty tokens, once; each time the entry resumes behind the last whole event.
    """
    for engine in frail_site.engines.values():
        engine.set_faults({"drop_after": 60, "drops": 1})
    stream = await start_stream(frail_site, client, "dropped")
    await stream.check_whole()
    assert count_runs(frail_site, "dropped") > 1


async def test_engine_that_hangs_is_left_for_another(frail_site, client):
    """
    A host sees a draft stop and go on. The engine hangs in mid-stream with its
    connection open. The agent sees no progress for the time of the settings, ends
    the call, and the entry resumes the draft on another engine.
    """
    stream = await start_stream(frail_site, client, "hung")
    engine = frail_site.engines[stream.upstream]
    engine.set_faults({"freeze_streams": True})
    await stream.check_whole()
    assert count_runs(frail_site, "hung") == 2
    engine.set_faults({"freeze_streams": False})


async def test_crash_of_an_engine_costs_its_streams_nothing(frail_site, client):
    """
    Two hosts see their drafts stop and go on. Their engine crashes under both. Both
    are suspects from then on, each runs alone on one engine, and both end whole.
    """
    streams = [
        await start_stream(frail_site, client, f"crash {number}") for number in (1, 2)
    ]
    await frail_site.engines[streams[0].upstream].crash()
    for stream in streams:
        await stream.check_whole()


async def test_request_that_crashes_engines_is_stopped_after_the_second(
    frail_site, client
):
    """
    One caller's prompt crashes each engine that runs it, and the caller sends it
    again through all entries at once. Two engines crash, then it is refused
    everywhere, while another caller's requests are answered all the time.
    """
    for engine in frail_site.engines.values():
        engine.set_faults({"crash_marker": MARKER})
    model = frail_site.customer.models[0]
    entries = [entry.url for entry in frail_site.entries.values()]
    prompt = f"a {MARKER} prompt"

    async def ask(entry, text):
        return await client.chat(entry, model, text, 20, stream=False)

    first = await ask(entries[0], prompt)
    assert first.outcome == "unknown"
    repeats = await asyncio.gather(*(ask(entry, prompt) for entry in entries * 4))
    assert {answer.outcome for answer in repeats} <= {"not-run", "unknown"}
    crashes = sum(engine.counters.crashes for engine in frail_site.engines.values())
    assert crashes == 2
    last = await ask(entries[1], prompt)
    assert last.outcome == "not-run"
    assert last.parse()["error"]["code"] == "quarantine"
    assert int(last.headers["Retry-After"]) > 0
    innocent = await ask(entries[0], "an innocent prompt")
    content = innocent.parse()["choices"][0]["message"]["content"]
    assert content == expected_text("an innocent prompt", 20)


async def test_service_that_dies_after_the_work_leaves_the_call_unknown(
    frail_site, client
):
    """
    A host books, and is told that nobody knows whether the Booking was carried
    out. The service carried it out and its connection broke before the answer. A
    repeat hears the same; the Booking was carried out once.
    """
    for service in frail_site.services.values():
        service.set_faults({"drop_answers": 1})
    answer = await send_call(frail_site, client, "dropped")
    assert answer.outcome == "unknown"
    repeat = await send_call(frail_site, client, "dropped", entry=1)
    assert repeat.outcome == "unknown"
    assert count_calls(frail_site, "dropped") == 1


async def test_service_that_is_down_is_left_for_another(frail_site, client):
    """
    A host books and gets the confirmation, though one service takes no connection.
    The agent beside it affirms that nothing was sent, and another service is asked.
    """
    down = next(iter(frail_site.services.values()))
    await down.close()
    for number in range(6):
        answer = await send_call(frail_site, client, f"elsewhere-{number}")
        assert (answer.status, answer.outcome) == (201, "answered")
        assert count_calls(frail_site, f"elsewhere-{number}") == 1


async def test_service_that_hangs_gets_a_call_told_as_unknown(frail_site, client):
    """
    A host books, the service takes the call and falls silent for good. After the
    time for progress the host hears that the outcome is unknown, not later.
    """
    for service in frail_site.services.values():
        service.set_faults({"frozen": True})
    answer = await send_call(frail_site, client, "frozen")
    assert answer.outcome == "unknown"
    assert count_calls(frail_site, "frozen") == 1
    for service in frail_site.services.values():
        service.set_faults({"frozen": False})


async def test_drain_in_mid_stream_cuts_nothing(frail_site, client):
    """
    A host's draft goes on while its engine is drained. New drafts go to other
    engines from that moment; the drain ends when the draft has.
    """
    stream = await start_stream(frail_site, client, "drained")
    agent = frail_site.find_agent(stream.upstream)
    drain = asyncio.create_task(agent.drain())
    await wait_until(
        lambda: all(
            stream.upstream not in entry.list_reachable()
            for entry in frail_site.entries.values()
        )
    )
    others = [await start_stream(frail_site, client, f"new {n}") for n in range(4)]
    assert stream.upstream not in {other.upstream for other in others}
    for one in (stream, *others):
        await one.check_whole()
    await drain
    assert count_runs(frail_site, "drained") == 1
    agent.end_drain()


async def test_entry_that_stops_finishes_its_calls(frail_site, client):
    """
    A host books through an entry that is being stopped, and gets the confirmation.
    A new request at that entry is refused as not run, with when to come back.
    """
    for service in frail_site.services.values():
        service.set_faults({"slow": 0.3})
    task, _ = await start_call(frail_site, client, "stopping")
    entry = frail_site.entries.pop("entry-1")
    closing = asyncio.create_task(entry.close())
    await wait_until(lambda: not entry.is_ready)
    model = frail_site.customer.models[0]
    refused = await client.chat(entry.url, model, "late", 1, stream=False)
    assert (refused.status, refused.outcome) == (503, "not-run")
    assert "Retry-After" in refused.headers
    answer = await task
    assert (answer.status, answer.outcome) == (201, "answered")
    await closing
