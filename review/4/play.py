"""Case 4: a stream that ends with its connection, and is reset on the way."""

import asyncio
import random
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
RECORD = FOLDER / "record.txt"
sys.path.insert(0, str(FOLDER.parent / "harness-2"))

from harness import (  # noqa: E402
    TROUBLE,
    Runner,
    answer,
    build_request,
    head,
    make_configuration,
    read_message,
    reset,
    run_case,
)

GATEWAYS = 3
RUNNERS = 6
SECONDS = 60
STREAMS = 90
"""Streams at a time, some fifteen at each runner."""
EVENTS = 16
EVENT_SECONDS = 0.15
"""The route allows pauses of 0.2 s."""
OTHERS = 16
"""Clients that send short requests one after the other on kept connections."""
GAP = 2.2
DARK_SECONDS = (1.0, 1.1, 1.2, 1.3)
"""How long one runner is dark, one time after the other."""


async def play(store, gateways, record):
    """Play the traffic; returns the streams that ended too early as a success."""
    broken, counts = [], {}
    writers = {}

    async def serve(runner, request, writer):
        named = {
            "X-Request-Id": request["id"],
            "X-Response-Stamp": "s.1",
            "Content-Type": "text/event-stream",
        }
        writer.write(head(200, named))
        writers.setdefault(runner.id, {})[writer] = request["id"]
        try:
            for event in range(1, EVENTS + 1):
                if runner.is_dark:
                    await asyncio.sleep(3600)
                writer.write(f"id: {event}\ndata: word\n\n".encode())
                await writer.drain()
                await asyncio.sleep(EVENT_SECONDS)
        finally:
            writers[runner.id].pop(writer, None)
        record.note(f"{runner.id} ended {request['id']} after event {EVENTS}")
        writer.close()

    async def serve_small(runner, request, writer):
        answer(writer, request, 200, b"c" * 800)

    runners = [Runner(store, f"r-{n}", "lm", serve) for n in range(RUNNERS)]
    small = Runner(store, "small", "app", serve_small, slots=96)
    for each in (*runners, small):
        await each.start()
    route = {"timeout_ms": 8000, "target_latency_ms": 300}
    stream = route | {"name": "reply", "prefix": "/reply/", "kind": "stream"}
    stream |= {"service": "lm", "gap_aim_ms": 200, "resumable": False}
    check = route | {"name": "check", "prefix": "/check/", "kind": "idempotent"}
    services = [
        {"name": "lm", "health_path": "/healthz", "max_conns": 370},
        {"name": "app", "health_path": "/healthz", "max_conns": 110},
    ]
    routes = [stream, check | {"service": "app"}]
    store.put("op", "config", make_configuration(routes, services))
    address = await gateways.start(1)
    for number in range(2, GATEWAYS + 1):
        await gateways.start(number)

    async def send_small(number):
        reader, writer = await asyncio.open_connection(*address)
        while True:
            id = f"s-{number}-{random.getrandbits(40):x}"
            fields = {"X-Deadline-Ms": "8000"}
            writer.write(build_request("GET", "/check/x", id, fields))
            line, _, _ = await read_message(reader)
            record.note(f"client sent {id} and got {line!r}")

    async def call(id):
        reader, writer = await asyncio.open_connection(*address)
        record.note(f"client sends {id}")
        writer.write(build_request("POST", "/reply/x", id, {"X-Deadline-Ms": "8000"}))
        try:
            line, _, body = await asyncio.wait_for(read_message(reader), 10)
        except (asyncio.IncompleteReadError, ConnectionError, ValueError) as error:
            line, body = f"a broken answer ({error!r})", b""
        writer.close()
        events = body.count(b"\n\n")
        record.note(f"client got {line!r} with {events} whole events for {id}")
        counts[line[:12]] = counts.get(line[:12], 0) + 1
        if line.startswith("HTTP/1.1 2") and events != EVENTS:
            broken.append(f"{id}: {events} events")

    async def send_streams(number):
        await asyncio.sleep(random.random() * 2)
        turn = 0
        while time.monotonic() < ends_at:
            turn += 1
            await call(f"q-{number}-{turn}")

    async def trouble():
        turn = 0
        while True:
            await asyncio.sleep(GAP)
            runner = random.choice(runners)
            record.note(f"{runner.id} goes dark")
            runner.is_dark = True
            await asyncio.sleep(DARK_SECONDS[turn % len(DARK_SECONDS)])
            turn += 1
            # It has started anew, and knows nothing of its connections.
            held = dict(writers.get(runner.id, {}))
            runner.is_dark = False
            runner.begin_again()
            for writer, id in held.items():
                record.note(f"{runner.id} is back and resets the connection of {id}")
                reset(writer)
                await asyncio.sleep(0.003)

    ends_at = time.monotonic() + SECONDS
    others = [asyncio.create_task(send_small(each)) for each in range(OTHERS)]
    if TROUBLE:
        others.append(asyncio.create_task(trouble()))
    await asyncio.gather(*(send_streams(number) for number in range(STREAMS)))
    for each in others:
        each.cancel()
    await asyncio.gather(*others, return_exceptions=True)
    record.note(f"answers: {counts}")
    print(counts)
    for each in (*runners, small):
        each.close()
    return broken


run_case(RECORD, play)
