"""A runner sends additional bytes after complete answers, late.

The bytes have neither the id of a request nor a stamp. They arrive where the next
answer on their connection is expected.
"""

import asyncio
import os
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))

from sites import ENDS, Connection, Runner, Site, build_answer, now, read_message  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ADDITIONAL = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
RUNNERS = 5
FAULTY = 3
"""Runners that send additional bytes: a share of 0.6."""
EACH = 34
"""One in so many of their answers is followed by some: a share below 0.03."""
FAULT_S = 5.0
CALLERS = 3
"""Connections to each gateway, of three."""


class FaultyRunner(Runner):
    """A runner that sends additional bytes after some answers, for a time."""

    faulty_until = 0.0
    answers = 0

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        has_additional = False
        try:
            while True:
                line, headers, _ = await read_message(reader)
                if has_additional:
                    writer.write(ADDITIONAL)
                    self._record.write(f"{self.id} sends additional bytes")
                    has_additional = False
                status, fields, body = await self._run(line, headers)
                writer.write(build_answer(status, fields, body))
                await writer.drain()
                if now() < self.faulty_until:
                    self.answers += 1
                    has_additional = self.answers % EACH == 0
        except ENDS:
            pass
        finally:
            self._writers.discard(writer)
            writer.close()


async def call_steadily(site, gateway, name, until, answers):
    """Send bookings and enquiries by turns over a kept connection."""
    connection = Connection(gateway)
    number = 0
    while now() < until:
        number += 1
        request = f"{name}-{number:04}"
        if number % 2:
            answer = await connection.call("/book/1", request)
        else:
            answer = await connection.call("/look/1", request, "GET", b"")
        judge(site, request, answer, answers)
        await asyncio.sleep(0.06)


def judge(site, request, answer, answers):
    """Note whether an answer is a success, and whether it is the runner's own."""
    if answer is None:
        site.record.write(f"caller sent {request}, gets no answer")
        answers.append(None)
        return
    status, headers, body = answer
    stamp = headers.get("x-response-stamp", "none")
    site.record.write(f"caller sent {request}, gets {status}, stamp {stamp}, {body}")
    is_success = 200 <= status < 300
    is_own = stamp.endswith(f".{request}") and body.endswith(request.encode())
    answers.append(is_own if is_success else None)
    if is_success and not is_own:
        site.record.write(f"MIXED: {request}")


async def run(site):
    """Play the case; returns the successes that are not the runner's answer."""
    await site.start(gateways=3)
    for number in range(RUNNERS):
        kind = FaultyRunner if number < FAULTY else Runner
        runner = kind(site.store, site.record, f"i-{number}c40e2", "app")
        site.runners[runner.id] = runner
        await runner.start()
    await site.wait_until_ready()
    await asyncio.sleep(1)
    if TROUBLE:
        for runner in list(site.runners.values())[:FAULTY]:
            runner.faulty_until = now() + FAULT_S
    answers = []
    until = now() + FAULT_S + 2
    callers = [
        call_steadily(site, gateway, f"{gateway.name}-{number}", until, answers)
        for gateway in site.gateways
        for number in range(CALLERS)
    ]
    await asyncio.gather(*callers)
    if answers.count(None) > 0.2 * len(answers):
        raise RuntimeError("The site did not serve.")
    return answers.count(False), len(answers)


async def main():
    """Return the exit code of the case."""
    site = Site(FOLDER)
    try:
        mixed, sent = await run(site)
    except (TimeoutError, RuntimeError, OSError) as error:
        print(f"could not run: {error!r}")
        return 2
    finally:
        await site.close()
    print(f"{mixed} of {sent} requests got a success that no runner gave")
    return 1 if mixed else 0


sys.exit(asyncio.run(main()))
