"""The traffic shifts from short to long requests, and gateways outgrow their memory.

As the platform does, the script kills a gateway whose process exceeds `memory_mb`, and
starts it again. Callers send no more requests a second than before.
"""

import asyncio
import os
import random
import signal
import sys
from dataclasses import dataclass
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))

from sites import Connection, now, play  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
MEMORY_MB = 300
"""`memory_mb` of the machines, in units of 2**20 bytes."""
SHORT, LONG = 800, 2_000_000
"""Bytes of a body; the operator allows 4,194,304."""
CALLERS = 8
"""Callers of each gateway; each sends an alert a second over its kept connection: some
thirty a second in all, as on the sheet."""
GATEWAYS = 4
WORK_S = 0.09
CALM_S, LONG_S = 4, 60
RESTART_S = 1.0
CHECK_S = 0.02
NEAR_MB = MEMORY_MB - 50
"""Resident MB from which bytes not read are asked for; callers send 16 MB at a time."""
ALLOWED = 3
"""Requests that may be lost in the way of the rule."""
CONTACT_S = 3.0
"""`contact_ms` of the small deployments."""


@dataclass
class End:
    """How a request ended for its caller."""

    gateway: str
    status: int | str
    was_kept: bool
    """Whether its connection had carried a request before."""
    at: float


def measure_memory(gateway):
    """Return the MB of a gateway: what is resident, and received but not read.

    The latter is left out far from the limit, as the table of connections may be long.
    """
    try:
        text = Path(f"/proc/{gateway.process.pid}/statm").read_text()
    except OSError:
        return 0.0
    resident = int(text.split()[1]) * os.sysconf("SC_PAGE_SIZE")
    if resident < NEAR_MB * 2**20:
        return resident / 2**20
    host, port = gateway.address
    parts = reversed(host.split("."))
    local = "".join(f"{int(part):02X}" for part in parts) + f":{port:04X}"
    unread = 0
    for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
        fields = line.split()
        if fields[1] == local:
            unread += int(fields[4].split(":")[1], 16)
    return (resident + unread) / 2**20


async def limit_memory(site, gateway, peaks, starts):
    """Kill a gateway that exceeds its memory, and start it again, as the platform."""
    while True:
        await asyncio.sleep(CHECK_S)
        used = measure_memory(gateway)
        peaks[gateway.name] = max(used, peaks.get(gateway.name, 0.0))
        if used <= MEMORY_MB:
            continue
        site.record.write(f"{gateway.name} uses {used:.0f} MB of {MEMORY_MB}: killed")
        gateway.send_signal(signal.SIGKILL)
        await gateway.process.wait()
        await asyncio.sleep(RESTART_S)
        await gateway.start()
        starts[gateway.name].append(now())


async def call_steadily(site, gateway, name, size, until, ends):
    """Send one alert a second, beginning at any time of it."""
    await asyncio.sleep(random.random())
    connection = Connection(gateway)
    number = 0
    while now() < until:
        number += 1
        request = f"{name}-{size}-{number}"
        due = now() + 1
        answer = await connection.call("/book/1", request, body=b"x" * size)
        status = answer[0] if answer else connection.end
        kept = "kept" if connection.was_kept else "new"
        site.record.write(f"caller sent {request} ({kept} connection): {status}")
        ends[request] = End(gateway.name, status, connection.was_kept, now())
        await asyncio.sleep(max(due - now(), 0))


async def send_all(site, size, seconds, ends):
    """Have all callers send bodies of one size for some seconds."""
    until = now() + seconds
    callers = [
        call_steadily(site, gateway, f"{gateway.name}-{n}", size, until, ends)
        for gateway in site.gateways
        for n in range(CALLERS)
    ]
    await asyncio.gather(*callers)


def list_lost(site, ends, starts):
    """Return the requests that were lost in the way of the rule.

    A runner has begun each of them; it came on a kept connection, which the gateway has
    closed without an answer; and the gateway had run for `contact_ms`.
    """
    begun = {
        request
        for runner in site.runners.values()
        for _, request, status in runner.arrivals
        if status == 200
    }
    return [
        request
        for request, end in ends.items()
        if request in begun
        and end.status == "closed"
        and end.was_kept
        and has_run_long(end, starts[end.gateway])
    ]


def has_run_long(end, starts):
    """Return whether a process was there for `contact_ms` when a request ended.

    Stricter than the rule, for which a process that ends by itself runs all the while.
    """
    return end.at - max(at for at in starts if at <= end.at) > CONTACT_S


async def run(site):
    """Play the case; returns whether more requests are lost than the rule allows."""
    await site.start(gateways=GATEWAYS)
    for number in range(3):
        await site.add_runner(f"i-{number}b71f3", work_s=WORK_S)
    await site.wait_until_ready()
    ends, peaks = {}, {}
    starts = {gateway.name: [now()] for gateway in site.gateways}
    await asyncio.sleep(CONTACT_S)
    watches = [
        asyncio.create_task(limit_memory(site, gateway, peaks, starts))
        for gateway in site.gateways
    ]
    await send_all(site, SHORT, CALM_S, ends)
    served = [end.status for end in ends.values()].count(200)
    site.record.write(f"{served} of {len(ends)} were served before the disruption")
    if served < 0.9 * max(len(ends), GATEWAYS * CALLERS):
        raise RuntimeError("The site did not serve.")
    await send_all(site, LONG if TROUBLE else SHORT, LONG_S, ends)
    for watch in watches:
        watch.cancel()
    lost = list_lost(site, ends, starts)
    for request in lost:
        site.record.write(f"lost: {request} was passed on, and got no answer")
    site.record.write(f"peaks in MB: {peaks}")
    print("peaks in MB:", {name: round(peak) for name, peak in peaks.items()})
    print(f"{len(lost)} passed-on requests on kept connections got no answer")
    return len(lost) > ALLOWED


sys.exit(play(FOLDER, run))
