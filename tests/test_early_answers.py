"""Answers of a service that break off, or have no status, to an agent's process."""

import asyncio

import pytest

from mustardquay_standins.relays import reset_connection

PART = b"\r\nContent-Type: application/json\r\n\r\n{"
WHOLE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
READ_SIZE = 65_536
PAUSES = (0, 0.02, 0.3, 1.2)
"""Seconds between the first part of an answer and its end."""


async def reset(writer):
    reset_connection(writer)


async def follow(writer):
    """Send a whole answer after the first one, and close the connection."""
    writer.write(WHOLE)
    await writer.drain()
    writer.close()


class FaultyFront:
    """Passes connections on to a service, and answers alerts by itself."""

    def __init__(self, first_line, end):
        self._first_line = first_line
        self._end = end
        self.pause = 0
        self.alerts = 0

    async def start(self, url):
        """Start in front of the service with a URL; return the own one."""
        self._service = url.removeprefix("http://").split(":")
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        return f"http://{host}:{port}"

    def close(self):
        self._server.close()

    async def _serve(self, reader, writer):
        try:
            data = await reader.read(READ_SIZE)
            if data.startswith(b"POST"):
                await self._answer(writer)
            elif data:
                await self._relay(data, reader, writer)
        except ConnectionError:
            pass
        finally:
            writer.close()

    async def _answer(self, writer):
        self.alerts += 1
        writer.write(self._first_line + PART)
        await writer.drain()
        await asyncio.sleep(self.pause)
        await self._end(writer)

    async def _relay(self, data, reader, writer):
        service, to_service = await asyncio.open_connection(*self._service)
        to_service.write(data)
        await asyncio.gather(pass_on(reader, to_service), pass_on(service, writer))


async def pass_on(reader, writer):
    try:
        while data := await reader.read(READ_SIZE):
            writer.write(data)
    except ConnectionError:
        pass
    finally:
        writer.close()


@pytest.mark.parametrize(
    "first_line, end",
    [
        (b"HTTP/1.1 200 OK", reset),
        (b"HTTP/1.1 000 X", follow),
        (b"HTTP/1.1 600 X", follow),
    ],
)
async def test_an_agent_process_passes_on_no_part_as_a_whole_answer(
    rig, first_line, end
):
    """Guards against a part, or what is none, that a caller gets as an answer."""
    front = FaultyFront(first_line, end)
    await rig.start_process_agent(front.start)
    for number, pause in enumerate(PAUSES):
        front.pause = pause
        answer = await rig.alert(f"a{number}")
        assert (answer.status, answer.outcome) == (502, "unknown")
    assert front.alerts == len(PAUSES)
    front.close()
