"""The traffic shifts from short to long requests, and gateways outgrow their memory.

As the platform does, the script kills a gateway whose process exceeds `memory_mb`, and
starts it again. Callers send no more requests a second than before.
"""

import asyncio
import os
import random
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))

from sites import Connection, Site, now  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
MEMORY_MB = 300
"""`memory_mb` of the machines, in units of 2**20 bytes."""
SHORT, LONG = 800, 4_000_000
"""Bytes of a body; the operator allows 4,194,304."""
CALLERS = 8
"""Callers of each gateway; each sends an alert a second over its kept connection: some
thirty a second in all, as on the sheet."""
GATEWAYS = 4
WORK_S = 0.09
CALM_S, LONG_S = 4, 45
RESTART_S = 1.0
CHECK_S = 0.02
ALLOWED = 3
"""Requests that may be lost in the way of the rule."""


def measure_memory(gateway):
    """Return the MB of a gateway: what is resident, and received but not read."""
    try:
        text = Path(f"/proc/{gateway.process.pid}/statm").read_text()
    except OSError:
        return 0.0
    resident = int(text.split()[1]) * os.sysconf("SC_PAGE_SIZE")
    host, port = gateway.address
    parts = reversed(host.split("."))
    local = "".join(f"{int(part):02X}" for part in parts) + f":{port:04X}"
    unread = 0
    for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
        fields = line.split()
        if fields[1] == local:
            unread += int(fields[4].split(":")[1], 16)
    return (resident + unread) / 2**20


async def limit_memory(site, gateway, peaks):
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


async def call_steadily(site, gateway, name, size, until, answers):
    """Send one alert a second, beginning at any time of it."""
    await asyncio.sleep(random.random())
    connection = Connection(gateway)
    number = 0
    while now() < until:
        number += 1
        request = f"{name}-{size}-{number}"
        due = now() + 1
        answer = await connection.call("/book/1", request, body=b"x" * size)
        status = answer[0] if answer else "none"
        site.record.write(f"caller sent {request}, gets {status}")
        answers[request] = status
        await asyncio.sleep(max(due - now(), 0))


async def play(site, size, seconds, answers):
    """Have all callers send bodies of one size for some seconds."""
    until = now() + seconds
    callers = [
        call_steadily(site, gateway, f"{gateway.name}-{n}", size, until, answers)
        for gateway in site.gateways
        for n in range(CALLERS)
    ]
    await asyncio.gather(*callers)


async def run(site):
    """Play the case; returns the alerts that ran and whose connection then ended."""
    await site.start(gateways=GATEWAYS)
    for number in range(3):
        await site.add_runner(f"i-{number}b71f3", work_s=WORK_S)
    await site.wait_until_ready()
    await asyncio.sleep(1)
    answers, peaks = {}, {}
    watches = [
        asyncio.create_task(limit_memory(site, gateway, peaks))
        for gateway in site.gateways
    ]
    await play(site, SHORT, CALM_S, answers)
    if list(answers.values()).count(200) < 0.9 * len(answers):
        raise RuntimeError("The site did not serve.")
    await play(site, LONG if TROUBLE else SHORT, LONG_S, answers)
    for watch in watches:
        watch.cancel()
    ran = {
        request for runner in site.runners.values() for _, request, _ in runner.arrivals
    }
    lost = [
        request
        for request, status in answers.items()
        if status == "none" and request in ran
    ]
    for request in lost:
        site.record.write(f"lost: {request} was passed on, and got no answer")
    site.record.write(f"peaks in MB: {peaks}")
    print("peaks in MB:", {name: round(peak) for name, peak in peaks.items()})
    return lost


async def main():
    """Return the exit code of the case."""
    site = Site(FOLDER)
    try:
        lost = await run(site)
    except (TimeoutError, RuntimeError, OSError) as error:
        print(f"could not run: {error!r}")
        return 2
    finally:
        await site.close()
    print(f"{len(lost)} requests were passed on and lost their connection")
    return 1 if len(lost) > ALLOWED else 0


sys.exit(asyncio.run(main()))
