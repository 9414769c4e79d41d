"""Calls from an agent to its engine or service."""

import asyncio
import socket
import struct
import time

import pytest

from mustardquay_node.upstreams import CallResult, UpstreamCall, UpstreamClient

HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n"


def _reset(writer):
    connection = writer.transport.get_extra_info("socket")
    linger = struct.pack("ii", 1, 0)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


@pytest.mark.parametrize(
    "resets, end", [(True, CallResult.BROKEN), (False, CallResult.COMPLETE)]
)
async def test_an_answer_without_length_is_whole_unless_it_is_reset(resets, end):
    """Guards against a part of an answer that is taken for all of it."""

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(HEAD + b"a part")
        await writer.drain()
        await asyncio.sleep(0.02)
        if resets:
            _reset(writer)
        else:
            writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    client = UpstreamClient(f"http://{host}:{port}")
    parts = []
    call = UpstreamCall("GET", "/", (), b"", lambda *head: None, parts.append)
    assert await client.run(call, fresh=True) is end
    assert parts == [b"a part"]
    client.close()
    server.close()


async def test_an_answer_without_length_that_is_cancelled_is_not_whole():
    """Guards against the agent's own close that is taken for the end of an answer."""
    released = asyncio.Event()

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(HEAD + b"a part")
        await released.wait()
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    client = UpstreamClient(f"http://{host}:{port}")
    call = UpstreamCall("GET", "/", (), b"", lambda *head: None, lambda data: None)
    running = asyncio.create_task(client.run(call, fresh=True))
    while not call.answered:
        await asyncio.sleep(0.01)
    await asyncio.sleep(0.02)
    call.cancel()
    assert await running is CallResult.BROKEN
    released.set()
    client.close()
    server.close()


@pytest.mark.parametrize("is_held", [False, True])
async def test_bytes_after_an_answer_are_not_the_answer_to_the_next_call(is_held):
    """Guards against a foreign answer, also one that came while the loop was held."""

    async def serve(reader, writer):
        writers.append(writer)
        while await reader.readuntil(b"\r\n\r\n"):
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nown")

    writers = []
    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    client = UpstreamClient(f"http://{host}:{port}")
    parts = []
    for _ in range(2):
        call = UpstreamCall("GET", "/", (), b"", lambda *head: None, parts.append)
        assert await client.run(call, fresh=False) is CallResult.COMPLETE
        writers[-1].write(b"HTTP/1.1 503 X\r\nContent-Length: 3\r\n\r\nbad")
        if is_held:
            time.sleep(0.02)
        else:
            await asyncio.sleep(0.02)
    assert parts == [b"own", b"own"]
    client.close()
    server.close()
