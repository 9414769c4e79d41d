"""Faults of callers, over real sockets."""

import asyncio
import socket
from datetime import timedelta

import pytest

from mustardquay.documents import LatenessDocument
from mustardquay_standins.clients import SiteClient
from mustardquay_standins.sites import Site
from mustardquay_standins.watches import start_stream, wait_until

pytestmark = pytest.mark.fault

SHORT_TIMEOUTS = {
    "entry": {"idle_timeout": "0.5", "body_timeout": "0.5", "progress_timeout": "1"}
}

LENIENT_LATENESS = LatenessDocument(
    first_token=timedelta(seconds=8), whole=timedelta(seconds=60)
)


@pytest.fixture
async def site():
    running = Site(
        "strassenmeldung", seed=1, overrides=SHORT_TIMEOUTS, lateness=LENIENT_LATENESS
    )
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
    "data", [b"", b"POST /v1/chat", b"POST / HTTP/1.1\r\nHost: entry\r\nContent-"]
)
async def test_caller_that_sends_half_a_head_is_dropped(site, data):
    """
    A caller opens a connection and sends nothing, or only a part of the head. Without
    an idle timeout the entry would keep the connection forever.
    """
    reader, writer = await connect(site)
    writer.write(data)
    async with asyncio.timeout(20):
        assert await reader.read() == b""
    writer.close()


async def test_caller_that_sends_half_a_body_is_dropped(site):
    """
    A caller announces a body and sends only a part of it. The entry closes the
    connection after the body timeout, and runs nothing.
    """
    reader, writer = await connect(site)
    writer.write(make_head(site, 1000) + b'{"model":')
    async with asyncio.timeout(20):
        assert await reader.read() == b""
    writer.close()
    assert all(engine.counters.tokens == 0 for engine in site.engines.values())


async def test_caller_that_reads_nothing_frees_its_engine(site):
    """
    A caller requests a long stream and reads none of it. The window of the stream
    stops the engine, then the entry drops the caller and frees the engine; the
    memory for the stream stays bounded.
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
    A caller closes its connection in mid-stream. The entry cancels the attempt, so
    that the engine doesn't go on generating tokens that nobody reads.
    """
    client = SiteClient(site.customer.keys[0])
    stream = await start_stream(site, client, "abandoned")
    stream.task.cancel()
    client.close()
    entry = next(iter(site.entries.values()))
    await wait_for_request_end(entry, stream)
    engine = site.engines[stream.upstream]
    await wait_until(lambda: engine.running == 0)
    assert engine.counters.finished + engine.counters.cancelled >= 1


async def wait_for_request_end(entry, stream):
    await wait_until(
        lambda: any(e.kind == "request.ended" for e in entry.events.list_events())
    )


@pytest.mark.parametrize("limit", [131_073, 1_000_000, 2_147_483_648, 10**30])
async def test_an_output_limit_over_that_of_all_models_is_refused(site, limit):
    """
    A caller requests two thousand million tokens. Without a limit, the engine
    allocates memory for all of them, stops answering other requests, and grows until
    it is killed.
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
