"""Bodies of requests are freed by entries and agents when their request ends."""

import asyncio
import gc
import socket
import tracemalloc

import pytest

BODY_SIZE = 900_000
REQUESTS = 4
LARGE_BLOCK = 50_000
"""Bytes of a block; the site's own work allocates smaller ones."""


def make_chat(text):
    return b'{"model": "bulletin-reader", "messages": "%s"}' % text


ENDS = {
    "answered": ("POST /services/alerts/hours", b"x" * BODY_SIZE, True),
    "no key for one run": ("POST /services/alerts/alerts", b"x" * BODY_SIZE, True),
    "not in the contract": ("POST /services/none/x", b"x" * BODY_SIZE, True),
    "invalid": ("POST /v1/chat/completions", make_chat(b"x" * BODY_SIZE), True),
    "no such path": ("POST /none", b"x" * BODY_SIZE, True),
    "caller left": ("POST /services/alerts/hours", b"x" * BODY_SIZE, False),
}


def build_request(site, line, body):
    head = (
        f"{line} HTTP/1.1\r\nHost: entry\r\nConnection: close\r\n"
        f"Authorization: Bearer {site.customer.keys[0]}\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


async def send(site, request, reads):
    """Send one request on a connection of its own, and wait for its end."""
    loop = asyncio.get_running_loop()
    entry = next(iter(site.entries.values()))
    with socket.socket() as caller:
        caller.setblocking(False)
        await loop.sock_connect(caller, ("127.0.0.1", entry.port))
        try:
            async with asyncio.timeout(10):
                await loop.sock_sendall(caller, request)
                while reads and await loop.sock_recv(caller, 65_536):
                    pass
        except ConnectionError:
            # A body that nobody reads resets its connection.
            pass
    await asyncio.sleep(0.3)


def measure_large_blocks():
    """Return the bytes in blocks that only bodies need."""
    traces = tracemalloc.take_snapshot().traces
    return sum(each.size for each in traces if each.size > LARGE_BLOCK)


@pytest.mark.parametrize("end", ENDS)
async def test_no_body_outlives_its_request_at_an_entry(site, end):
    """Guards against bodies in reference cycles, which the collector reaches late."""
    line, body, reads = ENDS[end]
    request = build_request(site, line, body)
    await send(site, request, reads)
    gc.collect()
    gc.disable()
    tracemalloc.start()
    try:
        for _ in range(REQUESTS):
            await send(site, request, reads)
        held = measure_large_blocks()
    finally:
        tracemalloc.stop()
        gc.enable()
    assert held < BODY_SIZE
