"""Case 4: an answer that ends with its connection, and is reset on the way."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
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
ROUNDS = 20
CALLERS = 44
RESETS = CALLERS // 2
"""Half of the connections of one gateway, as `reset_conns` does with `x` 0.5."""
OTHERS = 16
"""Clients that send short requests one after the other on kept connections."""
SIZE = 800
FIRST = b"a" * 400
REST = b"b" * (SIZE - len(FIRST))
PAUSE = 1.55
"""Seconds after which the answers go on; the callers wait for 4 s."""


async def play(store, gateways, record):
    """Play the rounds; returns the requests that got a part as a success."""
    broken = []
    counts = {}
    waiting = []

    async def serve(runner, request, writer):
        named = {"X-Request-Id": request["id"], "X-Response-Stamp": "s.1"}
        writer.write(head(200, named) + FIRST)
        await writer.drain()
        record.note(
            f"runner sent the first {len(FIRST)} of {SIZE} B of {request['id']}"
        )
        gate = asyncio.get_running_loop().create_future()
        waiting.append(gate)
        if await gate and TROUBLE:
            reset(writer)
            record.note(f"runner reset {request['id']}")
        else:
            writer.write(REST)
            await writer.drain()
            writer.close()
            record.note(f"runner ended {request['id']}")

    async def serve_small(runner, request, writer):
        answer(writer, request, 200, b"c" * SIZE)

    runner = Runner(store, "r-1", "app", serve, slots=96)
    await runner.start()
    store.put(
        "op",
        "config",
        make_configuration(
            [
                {
                    "name": "send",
                    "prefix": "/send/",
                    "kind": "non_idempotent",
                    "service": "app",
                    "timeout_ms": 4000,
                    "target_latency_ms": 400,
                },
                {
                    "name": "check",
                    "prefix": "/check/",
                    "kind": "idempotent",
                    "service": "small",
                    "timeout_ms": 4000,
                    "target_latency_ms": 400,
                },
            ],
            [
                {"name": "app", "health_path": "/healthz", "max_conns": 110},
                {"name": "small", "health_path": "/healthz", "max_conns": 110},
            ],
        ),
    )
    address = await gateways.start(1)
    for number in range(2, GATEWAYS + 1):
        await gateways.start(number)

    other = Runner(store, "r-2", "small", serve_small, slots=96)
    await other.start()
    served = [0, 0]

    async def send_small(number):
        """Send short requests one after the other, as in a burst of users."""
        reader, writer = await asyncio.open_connection(*address)
        while True:
            id = f"s-{number}-{served[0]}"
            served[0] += 1
            writer.write(
                build_request("GET", "/check/x", id, {"X-Deadline-Ms": "4000"})
            )
            line, _, _ = await read_message(reader)
            served[1] += " 200 " in line
            record.note(f"client sent {id} and got {line!r}")

    async def call(id):
        reader, writer = await asyncio.open_connection(*address)
        fields = {"X-Deadline-Ms": "4000"}
        record.note(f"client sends {id}")
        writer.write(build_request("POST", "/send/x", id, fields, b"x" * 20))
        try:
            line, _, body = await asyncio.wait_for(read_message(reader), 6)
        except (asyncio.IncompleteReadError, ConnectionError, TimeoutError) as error:
            line, body = repr(error), b""
        writer.close()
        record.note(f"client got {line!r} with {len(body)} B for {id}")
        is_success = line.startswith("HTTP/1.1 2")
        counts[line] = counts.get(line, 0) + 1
        if is_success and len(body) != SIZE:
            broken.append(id)

    others = [asyncio.create_task(send_small(each)) for each in range(OTHERS)]
    for number in range(ROUNDS):
        calls = [
            asyncio.create_task(call(f"q-{number}-{each}")) for each in range(CALLERS)
        ]
        await asyncio.sleep(PAUSE + number % 10 * 0.02)
        for place, gate in enumerate(waiting):
            gate.set_result(place < RESETS)
            await asyncio.sleep(0.002)
        waiting.clear()
        await asyncio.gather(*calls)
    for each in others:
        each.cancel()
    record.note(f"short requests: {served[0]} sent, {served[1]} served")
    print(served)
    record.note(f"answers: {counts}")
    print(counts)
    runner.close()
    return broken


run_case(FOLDER, play)
