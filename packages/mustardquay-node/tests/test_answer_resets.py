"""Answers without a length whose connection is reset, whoever learns of it first."""

import asyncio
import socket
import struct
from datetime import timedelta

import pytest
import pytest_asyncio
from tornado.httputil import HTTPHeaders

from mustardquay.clocks import SystemClock
from mustardquay_node.connections import ConnectionPool, Exchange, ExchangeEnd
from mustardquay_node.unread_bytes import has_unread_bytes
from mustardquay_node.upstreams import CallResult, UpstreamCall, UpstreamClient

HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n"
NO_LINGER = struct.pack("ii", 1, 0)


def peek(connection):
    return connection.recv(1, socket.MSG_PEEK)


def take_error(connection):
    return connection.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)


def write(connection):
    return connection.send(b"x")


FIRST_CALLS = [has_unread_bytes, peek, take_error, write]
"""What may learn of a reset before the answer is read."""
first_calls = pytest.mark.parametrize("first_call", FIRST_CALLS)
rests = pytest.mark.parametrize("rest", [b"", b"more"])


class Server:
    """Sends a part of an answer without a length, and lets a test end it."""

    def __init__(self):
        self._listening = socket.create_server(("127.0.0.1", 0))
        self._listening.setblocking(False)

    @property
    def address(self):
        return self._listening.getsockname()

    def close(self):
        self._listening.close()

    async def send_part(self):
        """Return the connection of the next answer, once its first part was read."""
        loop = asyncio.get_running_loop()
        connection, _ = await loop.sock_accept(self._listening)
        await loop.sock_recv(connection, 65536)
        await loop.sock_sendall(connection, HEAD + b"a part")
        await asyncio.sleep(0.02)
        return connection


@pytest_asyncio.fixture
async def server():
    server = Server()
    yield server
    server.close()


@pytest_asyncio.fixture
async def pool(server):
    host, port = server.address
    pool = ConnectionPool(f"{host}:{port}", SystemClock(), 8, timedelta(seconds=1))
    yield pool
    pool.close()


@pytest_asyncio.fixture
async def client(server):
    host, port = server.address
    client = UpstreamClient(f"http://{host}:{port}")
    yield client
    client.close()


def reset_before(first_call, connection, rest, stream):
    """Reset a connection, and let a call learn of it before the event loop does."""
    if rest:
        connection.send(rest)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
    connection.close()
    try:
        first_call(stream.socket)
    except OSError:
        pass


def make_call():
    return UpstreamCall("GET", "/", (), b"", lambda *head: None, lambda data: None)


@rests
@first_calls
async def test_a_reset_that_another_call_learns_of_breaks_an_answer(
    server, pool, first_call, rest
):
    """Guards against a part of an answer that is taken for all of it."""
    exchange = Exchange("GET", "/", HTTPHeaders())
    running = asyncio.create_task(pool.run(exchange))
    connection = await server.send_part()
    reset_before(first_call, connection, rest, exchange._stream)
    assert await running == ExchangeEnd.BROKEN


@rests
@first_calls
async def test_a_reset_that_another_call_learns_of_breaks_an_answer_to_an_agent(
    server, client, first_call, rest
):
    """Guards against a part of an answer that is taken for all of it."""
    call = make_call()
    running = asyncio.create_task(client.run(call, fresh=True))
    connection = await server.send_part()
    reset_before(first_call, connection, rest, call._stream)
    assert await running is CallResult.BROKEN


@pytest.mark.parametrize("first_call", [has_unread_bytes, peek, take_error])
async def test_an_answer_whose_peer_has_closed_is_whole(server, pool, first_call):
    """Guards against whole answers without a length that are taken for broken ones."""
    exchange = Exchange("GET", "/", HTTPHeaders())
    running = asyncio.create_task(pool.run(exchange))
    connection = await server.send_part()
    connection.send(b", and the rest")
    connection.close()
    first_call(exchange._stream.socket)
    assert await running == ExchangeEnd.WHOLE
    assert exchange.content == b"a part, and the rest"


@pytest.mark.parametrize("method, status", [("HEAD", 200), ("GET", 204), ("GET", 304)])
async def test_an_answer_without_a_body_ends_with_its_head(method, status):
    """Guards against an answer that waits for the end of a connection kept open."""

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(f"HTTP/1.1 {status} X\r\n\r\n".encode())

    listening = await asyncio.start_server(serve, "127.0.0.1", 0)
    host, port = listening.sockets[0].getsockname()
    pool = ConnectionPool(f"{host}:{port}", SystemClock(), 8, timedelta(seconds=1))
    client = UpstreamClient(f"http://{host}:{port}")
    call = UpstreamCall(method, "/", (), b"", lambda *head: None, lambda data: None)
    async with asyncio.timeout(2):
        end = await pool.run(Exchange(method, "/", HTTPHeaders()))
        result = await client.run(call, fresh=True)
    assert (end, result) == (ExchangeEnd.WHOLE, CallResult.COMPLETE)
    pool.close()
    client.close()
    listening.close()
