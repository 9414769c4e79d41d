"""An entry of another writer in the list of runners, and a runner that leaves."""

import asyncio
import os
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))

from sites import Connection, now, play  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
DRAIN_S = 2.0
"""`drain_ms` of the small deployments."""
FOREIGN_ENTRY = {
    "service": "archive",
    "addr": "127.0.0.1:9",
    "zone": "a",
    "slots": 1,
    "state": "ready",
    "cold_remaining_ms": 1.8446744073709552e19,
}
"""Names a service that no configuration has, lacks `version`, `seq` and `born`, and has
a floating-point number in place of whole milliseconds."""


async def call_steadily(site, statuses):
    """Send ten bookings a second in all, over a kept connection to each gateway."""
    connections = [Connection(gateway) for gateway in site.gateways]
    number = 0
    while True:
        number += 1
        connection = connections[number % len(connections)]
        asyncio.create_task(call_once(site, connection, f"r{number:05}", statuses))
        await asyncio.sleep(0.1)


async def call_once(site, connection, request, statuses):
    """Send one booking, and note its status."""
    answer = await connection.call("/book/1", request)
    status = answer[0] if answer else "none"
    site.record.write(f"caller sent {request}, gets {status}")
    statuses.append((now(), status))


async def run(site):
    """Play the case; returns whether a request reached the leaving runner late."""
    await site.start(gateways=3)
    await site.add_runner("i-3f21c0de")
    leaving = await site.add_runner("i-7b90aa14")
    await site.wait_until_ready()
    statuses = []
    calls = asyncio.create_task(call_steadily(site, statuses))
    await asyncio.sleep(6)
    if TROUBLE:
        site.store.put("servers", "i-0c55e1aa", FOREIGN_ENTRY)
        site.record.write(f"another writer puts i-0c55e1aa: {FOREIGN_ENTRY}")
    await asyncio.sleep(5)
    leaving.drain()
    drained_at = now()
    await asyncio.sleep(DRAIN_S + 6)
    late = [
        request
        for at, request, status in leaving.arrivals
        if at > drained_at + DRAIN_S and status != 421
    ]
    calls.cancel()
    for request in late:
        site.record.write(f"late: {request} reached {leaving.id}")
    before = [status for at, status in statuses if at < drained_at]
    site.record.write(
        f"answers before the drain: {before.count(200)} of {len(before)} with 200"
    )
    if before.count(200) < 0.8 * len(before):
        raise RuntimeError("The site did not serve before the runner left.")
    print(f"{len(late)} requests reached the leaving runner after drain_ms")
    return bool(late)


sys.exit(play(FOLDER, run))
