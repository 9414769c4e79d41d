"""Answers whose status is none by HTTP."""

import asyncio
from datetime import timedelta

import pytest
from tornado.httputil import HTTPHeaders

from mustardquay.clocks import SystemClock
from mustardquay_node.connections import ConnectionPool, Exchange, ExchangeEnd
from mustardquay_node.upstreams import CallResult, UpstreamCall, UpstreamClient

WHOLE = b"HTTP/1.1 200 X\r\nContent-Length: 2\r\n\r\nok"
BODIES = {
    "length": b"Content-Length: 4\r\n\r\npart",
    "no_length": b"\r\npart",
    "no_body": b"Content-Length: 0\r\n\r\n",
    "followed": b"Content-Length: 0\r\n\r\n" + WHOLE,
    "followed_without_length": b"\r\n" + WHOLE,
}
statuses = pytest.mark.parametrize("status", ["000", "099", "600", "999"])
bodies = pytest.mark.parametrize("body", BODIES.values(), ids=BODIES.keys())


@pytest.fixture
async def address():
    """Return a function that starts a server with one answer; gives its address."""
    servers = []

    async def start(answer):
        async def serve(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(answer)
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        servers.append(server)
        host, port = server.sockets[0].getsockname()
        return f"{host}:{port}"

    yield start
    for server in servers:
        server.close()


@statuses
@bodies
async def test_what_has_no_status_is_no_answer(address, status, body):
    """Guards against an upstream's fault, or what follows it, taken for an answer."""
    place = await address(f"HTTP/1.1 {status} X\r\n".encode() + body)
    pool = ConnectionPool(place, SystemClock(), 8, timedelta(seconds=1))
    exchange = Exchange("GET", "/", HTTPHeaders())
    assert await pool.run(exchange) == ExchangeEnd.MALFORMED
    assert exchange.head is None
    pool.close()


@statuses
@bodies
async def test_an_agent_passes_on_nothing_without_a_status(address, status, body):
    """Guards against an upstream's fault, or what follows it, taken for an answer."""
    place = await address(f"HTTP/1.1 {status} X\r\n".encode() + body)
    client = UpstreamClient(f"http://{place}")
    passed = []
    call = UpstreamCall(
        "GET", "/", (), b"", lambda *head: passed.append(head), passed.append
    )
    assert await client.run(call, fresh=True) is CallResult.BROKEN
    assert not passed
    client.close()
