"""Whole requests that reach an entry whose event loop is late, over real sockets."""

import asyncio
import socket
import ssl
import time
from pathlib import Path

import pytest

from mustardquay_standins.sites import Site

pytestmark = pytest.mark.fault

FOLDER = Path(__file__).parent / "certificates"
BOTH = pytest.mark.parametrize("is_secure", [False, True], ids=["plain", "tls"])

LIMIT = 1.0
"""Seconds in which a head, and then a body, must arrive."""
HOLD = 0.35
"""Seconds for which the event loop is held."""
BEFORE = 0.15
"""Seconds before a limit at which requests arrive."""
MOST_TRIES = 10
KEPT = 6
"""Connections, each of which has been used before."""
TIMEOUT = 15.0


@pytest.fixture
def is_secure():
    """Return whether callers connect with TLS; tests override it."""
    return False


@pytest.fixture
async def site(is_secure):
    settings = {"idle_timeout": str(LIMIT), "body_timeout": str(LIMIT)}
    if is_secure:
        settings["certificate"] = str(FOLDER / "certificate.pem")
        settings["private_key"] = str(FOLDER / "private_key.pem")
    running = Site("strassenmeldung", seed=1, overrides={"entry": settings})
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
    context = None
    if entry.url.startswith("https"):
        context = ssl.create_default_context(cafile=str(FOLDER / "certificate.pem"))
    opened = [
        await asyncio.open_connection("127.0.0.1", entry.port, ssl=context)
        for _ in range(KEPT)
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


async def open_until_the_limit(site, data=b""):
    """Open connections, send a part of a request, and return right before a limit."""
    entry = next(iter(site.entries.values()))
    for _ in range(MOST_TRIES):
        opened = await open_kept(site, entry)
        for _, writer in opened:
            writer.write(data)
        await asyncio.sleep(LIMIT - BEFORE)
        await asyncio.sleep(0)
        # On a busy machine the sleep may end after the limit, which proves nothing.
        if not any(reader.at_eof() for reader, _ in opened):
            break
    return opened


@BOTH
async def test_a_request_that_arrives_before_the_idle_limit_is_answered(site):
    """Guards against a timer that fires late and wins over a request that is there."""
    opened = await open_until_the_limit(site)
    send_beside_held_loop(opened, make_head(site))
    assert await read_all(opened) == [200] * KEPT


async def test_the_rest_of_a_head_that_arrives_before_the_limit_is_read(site):
    """Guards against a limit that runs out while a head lies in the process."""
    head = make_head(site)
    opened = await open_until_the_limit(site, head[:10])
    send_beside_held_loop(opened, head[10:])
    assert await read_all(opened) == [200] * KEPT


async def test_a_body_that_arrives_before_its_limit_is_read(site):
    """Guards against a limit that runs out while the body lies in the kernel."""
    body = b'{"model": "none"}'
    head = make_head(site, "POST /v1/completions HTTP/1.1", len(body))
    opened = await open_until_the_limit(site, head + body[:1])
    send_beside_held_loop(opened, body[1:])
    assert 0 not in await read_all(opened)


def run_before_the_server_closes(entry, step):
    """Run a step in a stop of an entry, right before its server is closed."""
    close_recorder = entry._recorder.close

    async def run_and_close():
        await close_recorder()
        step()

    entry._recorder.close = run_and_close


@BOTH
@pytest.mark.parametrize("hold", [0, HOLD])
async def test_a_request_that_arrives_as_a_stop_ends_is_answered(site, hold):
    """Guards against a connection that is closed with a request in its buffer."""
    entry = site.entries.pop(next(iter(site.entries)))
    opened = await open_kept(site, entry)
    run_before_the_server_closes(
        entry, lambda: send_beside_held_loop(opened, make_head(site), hold)
    )
    closing = asyncio.create_task(entry.close())
    statuses = await read_all(opened)
    await closing
    assert statuses == [503] * KEPT


async def test_a_connection_that_was_not_accepted_as_a_stop_ends_is_answered(site):
    """Guards against a listener that is closed with connections in its backlog."""
    entry = site.entries.pop(next(iter(site.entries)))
    waiting = []

    def connect_and_send():
        for _ in range(KEPT):
            caller = socket.create_connection(("127.0.0.1", entry.port))
            caller.sendall(make_head(site))
            waiting.append(caller)

    run_before_the_server_closes(entry, connect_and_send)
    await entry.close()
    opened = [await asyncio.open_connection(sock=each) for each in waiting]
    assert await read_all(opened) == [503] * KEPT


@BOTH
@pytest.mark.parametrize("part", [b"GET /v1/mod", None], ids=["head", "body"])
async def test_a_part_of_a_request_is_refused_as_a_stop_ends(site, part):
    """Guards against a caller who can't tell whether its request was run."""
    entry = site.entries.pop(next(iter(site.entries)))
    opened = await open_kept(site, entry)
    for _, writer in opened:
        writer.write(part or make_head(site, "POST /v1/completions HTTP/1.1", 100))
    closing = asyncio.create_task(entry.close())
    statuses = await read_all(opened)
    await closing
    assert statuses == [503] * KEPT


async def test_callers_that_owe_nothing_do_not_delay_a_stop(site):
    """Guards against an entry that waits for idle connections before it exits."""
    entry = site.entries.pop(next(iter(site.entries)))
    opened = await open_kept(site, entry)
    await entry.close()
    assert await read_all(opened) == [0] * KEPT
    kinds = [event.kind for event in entry.events.list_events()]
    assert "connection.closed" not in kinds
