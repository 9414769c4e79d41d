"""Requests that reach an entry while it stops, over real sockets."""

import asyncio
import json

import pytest

from mustardquay_standins.sites import Site
from mustardquay_standins.watches import wait_until

pytestmark = pytest.mark.fault


@pytest.fixture
async def site():
    running = Site("strassenmeldung", seed=1)
    await running.start()
    yield running
    await running.close()


async def test_a_request_whose_body_arrives_during_a_stop_is_not_run(site):
    """
    A caller sends the head of its request before the entry begins to stop, and the body
    after that. An entry that checks for a stop only when the head arrives would run the
    call, and cut it off if the drain timeout passes first.
    """
    name, entry = next(iter(site.entries.items()))
    body = json.dumps(
        {
            "model": site.customer.models[0],
            "messages": [{"role": "user", "content": "a few words"}],
            "max_tokens": 2,
        }
    ).encode()
    reader, writer = await asyncio.open_connection("127.0.0.1", entry.port)
    writer.write(
        "POST /v1/chat/completions HTTP/1.1\r\nHost: entry\r\n"
        f"Authorization: Bearer {site.customer.keys[0]}\r\n"
        "Content-Type: application/json\r\n"
        f"Content-Length: {len(body)}\r\n\r\n".encode()
    )
    await asyncio.sleep(0.2)
    # Another request in flight keeps the stop from completing.
    with entry._in_flight.hold():
        site.entries.pop(name)
        closing = asyncio.create_task(entry.close())
        await wait_until(lambda: not entry.is_ready)
        writer.write(body)
        async with asyncio.timeout(15):
            line = await reader.readline()
    await closing
    writer.close()
    assert line.split()[1] == b"503"
