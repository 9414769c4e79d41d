"""Which connections to an upstream carry another request."""

import asyncio
import time
from datetime import timedelta

import pytest_asyncio
from tornado.httputil import HTTPHeaders

from mustardquay.clocks import SystemClock
from mustardquay_node.connections import ConnectionPool, Exchange, ExchangeEnd

ANSWER = b"HTTP/1.1 200 X\r\nContent-Length: 2\r\n\r\nok"
REFUSAL = b"HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n"


@pytest_asyncio.fixture
async def server():
    """Answer each request, and keep the writers of all connections."""
    writers = []

    async def serve(reader, writer):
        writers.append(writer)
        try:
            while await reader.readuntil(b"\r\n\r\n"):
                writer.write(ANSWER)
        except (EOFError, ConnectionError):
            writer.close()

    listening = await asyncio.start_server(serve, "127.0.0.1", 0)
    host, port = listening.sockets[0].getsockname()
    pool = ConnectionPool(f"{host}:{port}", SystemClock(), 8, timedelta(seconds=1))
    yield pool, writers
    pool.close()
    listening.close()


async def send(pool, request_id):
    return await pool.run(Exchange("GET", "/", HTTPHeaders(), request_id=request_id))


async def test_requests_share_a_connection(server):
    pool, writers = server
    for number in range(3):
        assert await send(pool, f"r{number}") == ExchangeEnd.WHOLE
    assert len(writers) == 1


async def test_a_request_is_not_sent_twice_on_one_connection(server):
    """Guards against the repeated answer to a send that is taken for the next one's."""
    pool, writers = server
    await send(pool, "r1")
    await send(pool, "r1")
    assert len(writers) == 2
    await send(pool, "r2")
    assert len(writers) == 2


async def test_a_connection_with_unread_bytes_carries_no_request(server):
    """Guards against bytes that came while the event loop was held."""
    pool, writers = server
    await send(pool, "r1")
    writers[0].write(REFUSAL)
    time.sleep(0.02)
    await send(pool, "r2")
    assert len(writers) == 2
