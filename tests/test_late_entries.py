"""Whole requests that reach an entry whose event loop is late, over real sockets."""

import asyncio
import time

import pytest

from mustardquay_standins.sites import Site

pytestmark = pytest.mark.fault

IDLE_LIMIT = 1.0
BODY_LIMIT = 1.0
HOLD = 0.2
"""Seconds for which the event loop is held."""
BEFORE = 0.05
"""Seconds before a limit, or before the end of a stop, at which requests arrive."""
KEPT = 6
"""Connections, each of which has been used before."""
TIMEOUT = 15.0


@pytest.fixture
async def site():
    limits = {"idle_timeout": str(IDLE_LIMIT), "body_timeout": str(BODY_LIMIT)}
    running = Site("strassenmeldung", seed=1, overrides={"entry": limits})
    await running.start()
    yield running
    await running.close()


def make_head(site, line="GET /v1/models HTTP/1.1", length=0):
    return (
        f"{line}\r\nHost: entry\r\nAuthorization: Bearer {site.customer.keys[0]}\r\n"
        f"Content-Length: {length}\r\n\r\n"
    ).encode()


async def read_status(reader):
    """Return the status of the next answer, 0 if the connection was closed first."""
    try:
        async with asyncio.timeout(TIMEOUT):
            head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
            length = int(head.partition("content-length: ")[2].split("\r\n")[0])
            await reader.readexactly(length)
    except (asyncio.IncompleteReadError, ConnectionError):
        return 0
    return int(head.split()[1])


async def open_kept(site, entry):
    """Open connections, each with one request that was answered."""
    opened = [
        await asyncio.open_connection("127.0.0.1", entry.port) for _ in range(KEPT)
    ]
    for _, writer in opened:
        writer.write(make_head(site))
    for reader, _ in opened:
        assert await read_status(reader) == 200
    return opened


async def read_all(opened):
    statuses = [await read_status(reader) for reader, _ in opened]
    for _, writer in opened:
        writer.close()
    return statuses


def send_beside_held_loop(opened, data, hold=HOLD):
    """Send requests, and hold the event loop after that."""
    for _, writer in opened:
        writer.write(data)
    time.sleep(hold)


async def test_a_request_that_arrives_before_the_idle_limit_is_answered(site):
    """Guards against a timer that fires late and wins over a request that is there."""
    entry = next(iter(site.entries.values()))
    opened = await open_kept(site, entry)
    await asyncio.sleep(IDLE_LIMIT - BEFORE)
    send_beside_held_loop(opened, make_head(site))
    assert await read_all(opened) == [200] * KEPT


async def test_a_body_that_arrives_before_its_limit_is_read(site):
    """Guards against a limit that runs out while the body lies in the kernel."""
    entry = next(iter(site.entries.values()))
    opened = await open_kept(site, entry)
    body = b'{"model": "none"}'
    for _, writer in opened:
        head = make_head(site, "POST /v1/completions HTTP/1.1", len(body))
        writer.write(head + body[:1])
    await asyncio.sleep(BODY_LIMIT - BEFORE)
    send_beside_held_loop(opened, body[1:])
    assert 0 not in await read_all(opened)


@pytest.mark.parametrize("hold", [0, HOLD])
async def test_a_request_that_arrives_as_a_stop_ends_is_answered(site, hold):
    """Guards against a connection that is closed with a request in its buffer."""
    entry = site.entries.pop(next(iter(site.entries)))
    opened = await open_kept(site, entry)
    close_recorder = entry._recorder.close

    async def send_and_close():
        await close_recorder()
        send_beside_held_loop(opened, make_head(site), hold)

    # The server is closed right after the recorder.
    entry._recorder.close = send_and_close
    closing = asyncio.create_task(entry.close())
    statuses = await read_all(opened)
    await closing
    assert statuses == [503] * KEPT
