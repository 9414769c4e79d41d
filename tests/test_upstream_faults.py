"""Faults of engines and plain services, over real sockets."""

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
    relayed_site, client
):
    """
    Every engine drops its connection once, after sixty tokens. Each time the entry
    resumes after the last complete event, so that the caller gets each token once.
    """
    for engine in relayed_site.engines.values():
        engine.set_faults({"drop_after": 60, "drops": 1})
    stream = await start_stream(relayed_site, client, "dropped")
    await stream.check_whole()
    assert count_runs(relayed_site, "dropped") > 1


async def test_stream_resumes_elsewhere_when_its_engine_hangs(relayed_site, client):
    """
    The engine hangs in mid-stream with its connection open. The agent ends the call
    after the progress timeout, and the entry resumes the draft on another engine.
    """
    stream = await start_stream(relayed_site, client, "hung")
    engine = relayed_site.engines[stream.upstream]
    engine.set_faults({"freeze_streams": True})
    await stream.check_whole()
    assert count_runs(relayed_site, "hung") == 2
    engine.set_faults({"freeze_streams": False})


async def test_streams_are_complete_after_their_engine_crashes(relayed_site, client):
    """
    An engine crashes while it streams two drafts. Both requests are suspects from then
    on: each is run alone on an engine, and both are completed.
    """
    streams = [
        await start_stream(relayed_site, client, f"crash {number}") for number in (1, 2)
    ]
    await relayed_site.engines[streams[0].upstream].crash()
    for stream in streams:
        await stream.check_whole()


async def test_request_that_crashes_engines_is_refused_after_two_crashes(
    relayed_site, client
):
    """
    A prompt crashes each engine that runs it, and its caller repeats it through all
    entries at once. After two crashes it is refused everywhere, while other requests
    are answered.
    """
    for engine in relayed_site.engines.values():
        engine.set_faults({"crash_marker": MARKER})
    model = relayed_site.customer.models[0]
    entries = [entry.url for entry in relayed_site.entries.values()]
    prompt = f"a {MARKER} prompt"

    async def send(entry, text):
        return await client.chat(entry, model, text, 20, stream=False)

    first = await send(entries[0], prompt)
    assert first.outcome == "unknown"
    repeats = await asyncio.gather(*(send(entry, prompt) for entry in entries * 4))
    assert {answer.outcome for answer in repeats} <= {"not-run", "unknown"}
    crashes = sum(engine.counters.crashes for engine in relayed_site.engines.values())
    assert crashes == 2
    last = await send(entries[1], prompt)
    assert last.outcome == "not-run"
    assert last.parse()["error"]["code"] == "quarantine"
    assert int(last.headers["Retry-After"]) > 0
    healthy = await send(entries[0], "an innocent prompt")
    content = healthy.parse()["choices"][0]["message"]["content"]
    assert content == expected_text("an innocent prompt", 20)


async def test_call_is_unknown_when_the_service_fails_after_the_work(
    relayed_site, client
):
    """
    The service runs a booking, and its connection is closed before the answer. The
    outcome is unknown, also for a repeat, and the booking is run once.
    """
    for service in relayed_site.services.values():
        service.set_faults({"drop_answers": 1})
    answer = await send_call(relayed_site, client, "dropped")
    assert answer.outcome == "unknown"
    repeat = await send_call(relayed_site, client, "dropped", entry=1)
    assert repeat.outcome == "unknown"
    assert count_calls(relayed_site, "dropped") == 1


async def test_another_service_is_used_when_one_is_down(relayed_site, client):
    """
    One service accepts no connections. Its agent confirms that nothing was sent, and
    the booking is run by another service.
    """
    down = next(iter(relayed_site.services.values()))
    await down.close()
    for number in range(6):
        answer = await send_call(relayed_site, client, f"elsewhere-{number}")
        assert (answer.status, answer.outcome) == (201, "answered")
        assert count_calls(relayed_site, f"elsewhere-{number}") == 1


async def test_call_is_unknown_when_the_service_hangs(relayed_site, client):
    """
    The service accepts a booking and never answers. After the progress timeout the
    outcome is reported as unknown.
    """
    for service in relayed_site.services.values():
        service.set_faults({"frozen": True})
    answer = await send_call(relayed_site, client, "frozen")
    assert answer.outcome == "unknown"
    assert count_calls(relayed_site, "frozen") == 1
    for service in relayed_site.services.values():
        service.set_faults({"frozen": False})


async def test_a_refusal_of_a_service_is_not_passed_on_as_not_run(relayed_site, client):
    """
    A service answers 503, which does not say whether it has run the booking. The caller
    must not get a status that promises so.
    """
    for service in relayed_site.services.values():
        service.set_faults({"refuse": True})
    answer = await send_call(relayed_site, client, "refused")
    assert (answer.status, answer.outcome) == (502, "unknown")


async def test_drain_in_mid_stream_cuts_nothing(relayed_site, client):
    """
    A draft continues while its engine drains. New drafts go to other engines from the
    start of the drain, which ends with the running draft.
    """
    stream = await start_stream(relayed_site, client, "drained")
    agent = relayed_site.find_agent(stream.upstream)
    drain = asyncio.create_task(agent.drain())
    await wait_until(
        lambda: all(
            stream.upstream not in entry.list_reachable()
            for entry in relayed_site.entries.values()
        )
    )
    others = [await start_stream(relayed_site, client, f"new {n}") for n in range(4)]
    assert stream.upstream not in {other.upstream for other in others}
    for one in (stream, *others):
        await one.check_whole()
    await drain
    assert count_runs(relayed_site, "drained") == 1
    agent.end_drain()


async def test_entry_that_stops_finishes_its_calls(relayed_site, client):
    """
    A booking that is running when its entry stops is answered. A new request at that
    entry is refused as not run, with a `Retry-After` header.
    """
    for service in relayed_site.services.values():
        service.set_faults({"slow": 0.3})
    task, _ = await start_call(relayed_site, client, "stopping")
    entry = relayed_site.entries.pop("entry-1")
    closing = asyncio.create_task(entry.close())
    await wait_until(lambda: not entry.is_ready)
    model = relayed_site.customer.models[0]
    refused = await client.chat(entry.url, model, "late", 1, stream=False)
    assert (refused.status, refused.outcome) == (503, "not-run")
    assert "Retry-After" in refused.headers
    answer = await task
    assert (answer.status, answer.outcome) == (201, "answered")
    await closing
