import asyncio
from dataclasses import replace
from datetime import timedelta

import orjson
import pytest
from openai import AsyncOpenAI
from tornado.httpclient import AsyncHTTPClient, HTTPError, HTTPRequest

from mustardquay_standins.answers import expected_text, expected_tokens
from mustardquay_standins.costs import derive_costs
from mustardquay_standins.engines import EngineStandin
from mustardquay_standins.relays import RelayStandin
from mustardquay_standins.services import ServiceStandin

MESSAGES = [{"role": "user", "content": "Draft an alert for the A2."}]
PROMPT = MESSAGES[0]["content"]


@pytest.fixture
async def engine():
    engine = EngineStandin(
        token_gap=timedelta(milliseconds=1),
        change_time=timedelta(milliseconds=20),
        restart_time=timedelta(milliseconds=20),
    )
    await engine.start()
    yield engine
    await engine.close()


async def call(url, method="POST", body=None, headers=None):
    request = HTTPRequest(
        url,
        method=method,
        body=None if body is None else orjson.dumps(body),
        headers=headers,
        allow_nonstandard_methods=True,
    )
    try:
        response = await AsyncHTTPClient().fetch(request, raise_error=False)
    except (HTTPError, OSError) as error:
        raise ConnectionError(str(error)) from error
    return response.code, orjson.loads(response.body or b"null")


def read_events(body):
    return [
        line.removeprefix(b"data: ")
        for line in body.split(b"\n\n")
        if line.startswith(b"data: ")
    ]


async def test_the_openai_client_gets_whole_answers(engine):
    client = AsyncOpenAI(base_url=engine.url + "/v1", api_key="key")
    whole = await client.chat.completions.create(
        model="model", messages=MESSAGES, max_tokens=8
    )
    assert whole.choices[0].message.content == expected_text(PROMPT, 8)
    stream = await client.chat.completions.create(
        model="model", messages=MESSAGES, max_tokens=8, stream=True
    )
    tokens = [chunk.choices[0].delta.content async for chunk in stream]
    assert tokens == [*expected_tokens(PROMPT, 8), None]
    plain = await client.completions.create(
        model="model", prompt="A2? answer in one word", max_tokens=8
    )
    assert plain.choices[0].text in ("open", "shut")
    assert [model.id async for model in client.models.list()] == ["model"]
    await client.close()


async def test_a_resumed_stream_goes_on_with_the_next_token(engine):
    tokens = expected_tokens(PROMPT, 6)
    body = {"model": "model", "prompt": PROMPT, "max_tokens": 6, "stream": True}
    body["resume"] = {"text": "".join(tokens[:2]), "tokens": 2}
    response = await AsyncHTTPClient().fetch(
        engine.url + "/v1/completions", method="POST", body=orjson.dumps(body)
    )
    events = read_events(response.body)
    assert events[-1] == b"[DONE]"
    texts = [orjson.loads(event)["choices"][0]["text"] for event in events[:-1]]
    assert texts == [*tokens[2:], ""]
    body["resume"]["text"] = "another answer"
    assert (await call(engine.url + "/v1/completions", body=body))[0] == 400


async def test_a_second_order_is_refused_while_the_first_is_executed(engine):
    order = {
        "fence": 3,
        "generation": 1,
        "role": "decode",
        "models": {"model": "2"},
        "adapters": ["wien"],
    }
    assert (await call(engine.url + "/orders", body=order))[0] == 202
    assert (await call(engine.url + "/orders", body=order))[1] == {"error": "busy"}
    while engine.orders.changing:
        await asyncio.sleep(0.005)
    status, state = await call(engine.url + "/state", "GET")
    assert state == {"boot": 1, **order, "changing": False}
    status, answer = await call(engine.url + "/orders", body=order | {"fence": 2})
    assert (status, answer) == (409, {"error": "stale fence", "fence": 3})
    engine.faults.ignore_fences = True
    status, answer = await call(engine.url + "/orders", body=order | {"fence": 2})
    assert status == 202
    counters = engine.counters.orders
    assert (counters.conflicting, counters.stale, counters.stale_applied) == (1, 2, 1)


async def test_a_marked_prompt_crashes_the_engine_which_restarts_unknown(engine):
    """A crash closes the connections of all requests.

    A running stream ends without its last event, the marked request gets no
    answer, and the engine restarts on the same port with another boot number.
    """
    engine.faults.crash_marker = "poison"
    body = {"model": "model", "prompt": PROMPT, "max_tokens": 10_000}
    running = asyncio.ensure_future(call(engine.url + "/v1/completions", body=body))
    while not engine.counters.tokens:
        await asyncio.sleep(0.001)
    with pytest.raises(ConnectionError):
        await call(engine.url + "/v1/completions", body=body | {"prompt": "poison"})
    with pytest.raises(ConnectionError):
        await running
    while True:
        try:
            status, state = await call(engine.url + "/state", "GET")
            break
        except ConnectionError:
            await asyncio.sleep(0.005)
    assert (state["boot"], state["generation"]) == (2, 0)


async def test_a_cancel_and_a_drop_end_the_connection(engine):
    body = {"model": "model", "prompt": PROMPT, "max_tokens": 10_000}
    url = engine.url + "/v1/completions"
    running = asyncio.ensure_future(call(url, body=body, headers={"X-Request-Id": "a"}))
    while not engine.counters.tokens:
        await asyncio.sleep(0.001)
    assert (await call(engine.url + "/v1/requests/a", "DELETE"))[0] == 204
    with pytest.raises(ConnectionError):
        await running
    engine.set_faults({"drop_after": 3, "drops": 1})
    with pytest.raises(ConnectionError):
        await call(url, body=body | {"stream": True})
    assert (await call(url, body=body | {"max_tokens": 4}))[0] == 200
    assert engine.counters.cancelled == 1


async def test_cache_events_are_numbered_and_lost_ones_leave_gaps(engine):
    prompt = "bulletin " * 2000
    body = {"model": "model", "prompt": prompt, "max_tokens": 1}
    answer = (await call(engine.url + "/v1/completions", body=body))[1]
    assert answer["usage"]["prompt_tokens_details"]["cached_tokens"] == 0
    answer = (await call(engine.url + "/v1/completions", body=body))[1]
    assert answer["usage"]["prompt_tokens_details"]["cached_tokens"] == 4000
    status, events = await call(engine.url + "/cache/events?after=1", "GET")
    assert (events["oldest"], events["newest"]) == (1, 2)
    assert [event["kind"] for event in events["events"]] == ["stored"]
    engine.faults.lost_events = 1.0
    await call(engine.url + "/v1/completions", body=body | {"prompt": "x" * 9000})
    engine.faults.lost_events = 0.0
    await call(engine.url + "/v1/completions", body=body | {"prompt": "y" * 9000})
    status, events = await call(engine.url + "/cache/events?after=2", "GET")
    assert [event["number"] for event in events["events"]] == [4]


async def test_a_service_counts_executions_whose_answer_is_lost():
    service = ServiceStandin()
    await service.start()
    service.faults.drop_answers = 1
    url = service.url + "/bookings"
    headers = {"Idempotency-Key": "k"}
    with pytest.raises(ConnectionError):
        await call(url, body={"booth": 3}, headers=headers)
    assert service.counters.by_key["k"] == 1
    assert (await call(url, body={"booth": 3}, headers=headers))[0] == 201
    assert list(service.counters.by_body.values()) == [2]
    assert (await call(service.url + "/hours", "GET"))[0] == 200
    assert (await call(service.url + "/load", "GET"))[1] == {"running": 0}
    await service.close()


async def test_a_relay_discards_data_of_open_connections_and_forwards_new_ones():
    """Both ends keep a connection open over which no data arrives any more.

    After the first echo, the relay discards all further bytes of the connection,
    while a new connection works.
    """

    async def echo(reader, writer):
        while data := await reader.read(100):
            writer.write(data)
        writer.close()

    server = await asyncio.start_server(echo, "127.0.0.1", 0)
    relay = RelayStandin(*server.sockets[0].getsockname()[:2])
    await relay.start()
    reader, writer = await asyncio.open_connection(relay.address, relay.port)
    writer.write(b"one")
    assert await reader.readexactly(3) == b"one"
    relay.blackhole_connections()
    writer.write(b"two")
    while relay.counters.swallowed < 3:
        await asyncio.sleep(0.001)
    new_reader, new_writer = await asyncio.open_connection(relay.address, relay.port)
    new_writer.write(b"new")
    assert await new_reader.readexactly(3) == b"new"
    relay.cut_connections()
    with pytest.raises((asyncio.IncompleteReadError, ConnectionError)):
        await reader.readexactly(1)
    for end in (writer, new_writer):
        end.close()
    await relay.close()
    server.close()


async def test_a_relay_that_holds_data_loses_none():
    """Guards against a silence in a soak that is also a loss."""

    async def echo(reader, writer):
        writer.write(await reader.readexactly(3))
        writer.close()

    server = await asyncio.start_server(echo, "127.0.0.1", 0)
    relay = RelayStandin(*server.sockets[0].getsockname()[:2])
    await relay.start()
    relay.faults.hold = True
    reader, writer = await asyncio.open_connection(relay.address, relay.port)
    writer.write(b"one")
    with pytest.raises(TimeoutError):
        async with asyncio.timeout(0.1):
            await reader.read(1)
    relay.faults.hold = False
    assert await reader.read() == b"one"
    writer.close()
    await relay.close()
    server.close()


async def test_the_cost_model_splits_a_prompt_over_steps():
    fast = replace(derive_costs(), overhead=0.0, weight_read=0.001, token=0.0)
    engine = EngineStandin(costs=fast)
    await engine.start()
    body = {"model": "model", "prompt": "x" * 4 * 1000, "max_tokens": 3}
    answer = (await call(engine.url + "/v1/completions", body=body))[1]
    assert answer["choices"][0]["text"] == expected_text(body["prompt"], 3)
    # 1,000 prompt tokens in chunks of 512, then three tokens, one per step.
    assert engine.counters.steps == 5
    await engine.close()


async def test_a_silent_engine_goes_on_with_what_it_was_asked(engine):
    """Guards against a silence that ends calls or loses tokens."""
    body = {"model": "model", "messages": MESSAGES, "max_tokens": 200}
    url = f"{engine.url}/v1/chat/completions"
    begun = asyncio.create_task(call(url, body=body))
    while not engine.counters.tokens:
        await asyncio.sleep(0.001)
    silence = asyncio.create_task(engine.fall_silent(timedelta(seconds=0.2)))
    await asyncio.sleep(0.05)
    tokens = engine.counters.tokens
    asked = asyncio.create_task(call(url, body=body))
    await asyncio.sleep(0.1)
    assert engine.counters.tokens == tokens and not begun.done()
    await silence
    for answer in await asyncio.gather(begun, asked):
        message = answer[1]["choices"][0]["message"]
        assert message["content"] == expected_text(PROMPT, 200)


async def test_a_silent_service_executes_calls_once_it_goes_on():
    service = ServiceStandin()
    await service.start()
    silence = asyncio.create_task(service.fall_silent(timedelta(seconds=0.2)))
    await asyncio.sleep(0.01)
    asked = asyncio.create_task(call(f"{service.url}/alerts", body={}))
    await asyncio.sleep(0.1)
    assert service.counters.executions == 0
    await silence
    assert (await asked)[0] == 201
    assert service.counters.executions == 1
    await service.close()
