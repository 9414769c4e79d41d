"""Failures of callers, over real sockets."""

import asyncio
import socket
from datetime import timedelta

import pytest

from mustardquay.documents import LatenessDocument
from mustardquay_standins.clients import SiteClient
from mustardquay_standins.sites import Site
from mustardquay_standins.watches import start_stream, wait_until

pytestmark = pytest.mark.fault

IMPATIENT = {
    "entry": {"idle_timeout": "0.5", "body_timeout": "0.5", "progress_timeout": "1"}
}

PATIENT = LatenessDocument(
    first_token=timedelta(seconds=8), whole=timedelta(seconds=60)
)


@pytest.fixture
async def site():
    running = Site("strassenmeldung", seed=1, overrides=IMPATIENT, lateness=PATIENT)
    await running.start()
    yield running
    await running.close()


async def connect(site):
    entry = next(iter(site.entries.values()))
    return await asyncio.open_connection("127.0.0.1", entry.port)


def make_head(site, length):
    return (
        "POST /v1/chat/completions HTTP/1.1\r\nHost: entry\r\n"
        f"Authorization: Bearer {site.customer.keys[0]}\r\n"
        f"Content-Length: {length}\r\n\r\n"
    ).encode()


@pytest.mark.parametrize(
    "parts", [b"", b"POST /v1/chat", b"POST / HTTP/1.1\r\nHost: entry\r\nContent-"]
)
async def test_caller_that_sends_half_a_head_is_dropped(site, parts):
    """
    A caller opens a connection, sends nothing or half a head, and falls silent. It
    would hold a connection for good; the entry closes it after the idle time.
    """
    reader, writer = await connect(site)
    writer.write(parts)
    async with asyncio.timeout(20):
        assert await reader.read() == b""
    writer.close()


async def test_caller_that_sends_half_a_body_is_dropped(site):
    """
    A caller announces a body, sends a part and falls silent. The entry closes the
    connection after the time for bodies, and nothing was run.
    """
    reader, writer = await connect(site)
    writer.write(make_head(site, 1000) + b'{"model":')
    async with asyncio.timeout(20):
        assert await reader.read() == b""
    writer.close()
    assert all(engine.counters.tokens == 0 for engine in site.engines.values())


async def test_caller_that_takes_nothing_in_holds_no_engine(site):
    """
    A caller asks for a long stream and reads none of it. The engine's work is held
    back by the window of the stream, then the caller is dropped and the engine is
    free again; the memory for the stream stays bounded.
    """
    body = (
        b'{"model": "bulletin-reader", "stream": true, "max_tokens": 100000, '
        b'"messages": [{"role": "user", "content": "long"}]}'
    )
    entry = next(iter(site.entries.values()))
    caller = socket.socket()
    caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    caller.connect(("127.0.0.1", entry.port))
    caller.sendall(make_head(site, len(body)) + body)

    def was_dropped():
        return any(e.kind == "caller.dropped" for e in entry.events.list_events())

    await wait_until(was_dropped)
    await wait_until(lambda: all(e.running == 0 for e in site.engines.values()))
    caller.close()


async def test_caller_that_leaves_frees_its_engine(site):
    """
    A caller closes its connection in mid-stream. The entry cancels the attempt and
    the engine stops to generate for nobody.
    """
    client = SiteClient(site.customer.keys[0])
    stream = await start_stream(site, client, "abandoned")
    stream.task.cancel()
    client.close()
    entry = next(iter(site.entries.values()))
    await entry_closes(entry, stream)
    engine = site.engines[stream.upstream]
    await wait_until(lambda: engine.running == 0)
    assert engine.counters.finished + engine.counters.cancelled >= 1


async def entry_closes(entry, stream):
    await wait_until(
        lambda: any(e.kind == "request.ended" for e in entry.events.list_events())
    )


@pytest.mark.parametrize("limit", [131_073, 1_000_000, 2_147_483_648, 10**30])
async def test_an_output_limit_that_no_model_holds_is_refused(site, limit):
    """
    A caller asks for two thousand million tokens. The engine plans for all of them,
    answers nobody any more, and grows until it is killed.
    """
    body = (
        b'{"model": "bulletin-reader", "max_tokens": %d, '
        b'"messages": [{"role": "user", "content": "long"}]}' % limit
    )
    reader, writer = await connect(site)
    writer.write(make_head(site, len(body)) + body)
    async with asyncio.timeout(5):
        answer = await reader.readuntil(b"\r\n\r\n")
    assert b" 400 " in answer.split(b"\r\n")[0]
    writer.close()
    assert all(engine.counters.tokens == 0 for engine in site.engines.values())
