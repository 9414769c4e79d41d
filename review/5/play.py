"""Case 5: a stream that may not be resumed runs twice beside a silent prefill."""

import asyncio
import json
import random
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
RECORD = FOLDER / "record.txt"
sys.path.insert(0, str(FOLDER.parent / "harness-2"))

from harness import (  # noqa: E402
    TROUBLE,
    Gateways,
    Runner,
    Store,
    answer,
    build_request,
    head,
    make_configuration,
    read_message,
    run_case,
)

EPISODES = 12
"""Each with a store, runners and gateways of its own."""
CALLERS = 40
"""Clients that come at once: half a second of the usual traffic."""
OTHERS = 12
"""Clients that send short requests one after the other on kept connections."""
GOES_ON_AFTER = (0.08, 0.09, 0.1, 0.11, 0.12)
"""Seconds from the first further send to the end of the cut, in turn."""
LONGEST_CUT = 1.9
PLAY_SECONDS = 90
"""After which no further episode is begun."""
TOKENS_PER_MS = 236.0
PREFILL_RUNNERS = 1
RUNNERS = 6


async def play(store, gateways, record):
    """Play the episodes; returns the requests that ran twice."""
    broken, counts = [], {}
    ends_by = time.monotonic() + PLAY_SECONDS
    for number in range(EPISODES):
        if time.monotonic() > ends_by:
            break
        if number:
            store = Store()
            await store.start()
            gateways = Gateways(store, record)
        try:
            broken += await play_once(store, gateways, record, number, counts)
        finally:
            await gateways.close()
            store.close()
    record.note(f"answers: {counts}")
    print(counts)
    return broken


async def play_once(store, gateways, record, episode, counts):
    """Play one episode; returns the requests that ran twice."""
    runs = {}
    cut = {}
    locks = {}
    caches = {}
    at_prefill = set()
    is_sent_further = asyncio.Event()

    async def wait_for_path(runner):
        while runner.id in cut:
            await cut[runner.id].wait()
            break

    def read_prompt(runner, request):
        """Return the ms of a prompt: parts are kept if all before them are, too."""
        kept = caches.setdefault(runner.id, set())
        fresh, is_kept = 0, True
        for part in request["headers"]["x-prefix-hash"].split(","):
            is_kept = is_kept and part in kept
            fresh += 0 if is_kept else int(part.partition(":")[2])
            kept.add(part)
        return fresh / TOKENS_PER_MS

    async def prefill(runner, request, writer):
        async with locks.setdefault(runner.id, asyncio.Lock()):
            await asyncio.sleep(read_prompt(runner, request) / 1000)
        await wait_for_path(runner)
        body = {"kv_handle": f"h{request['id']}", "tokens": 9190, "version": 1}
        answer(writer, request, 200, json.dumps(body).encode())

    async def decode(runner, request, writer):
        source = request["headers"].get("x-kv-source", "")
        if cut and request["id"] in at_prefill:
            is_sent_further.set()
        # It reads a prompt itself at half the speed.
        wait = 2 if source else 2 * read_prompt(runner, request) + 2
        # A runner drops a request when its connection closes.
        closed = asyncio.create_task(watch_close(request["reader"]))
        try:
            await asyncio.wait([closed], timeout=wait / 1000)
            if closed.done():
                record.note(f"{runner.id} dropped {request['id']} before its start")
                writer.close()
                return
            runs.setdefault(request["id"], []).append(runner.id)
            record.note(
                f"{runner.id} sends the first token of {request['id']}, with memory "
                f"from {source or 'no other runner'}"
            )
            named = {
                "X-Request-Id": request["id"],
                "X-Response-Stamp": "s.1",
                "Content-Type": "text/event-stream",
                "Transfer-Encoding": "chunked",
            }
            writer.write(head(200, named) + chunk(b"id: 1\ndata: a\n\n"))
            await asyncio.wait([closed], timeout=0.005)
            if closed.done():
                record.note(f"{runner.id} dropped {request['id']} after its start")
                writer.close()
                return
            writer.write(chunk(b"id: 2\ndata: b\n\n") + b"0\r\n\r\n")
            await writer.drain()
        finally:
            closed.cancel()
            await asyncio.gather(closed, return_exceptions=True)

    async def serve(runner, request, writer):
        if request["path"].startswith("/-/"):
            answer(writer, request, 200, b"{}")
        elif request["headers"].get("x-stage") == "prefill":
            await wait_for_path(runner)
            at_prefill.add(request["id"])
            await prefill(runner, request, writer)
        elif runner.stage == "prefill":
            answer(writer, request, 421, b"", {"X-Not-Executed": "1"})
        else:
            await decode(runner, request, writer)

    runners = []

    async def serve_small(runner, request, writer):
        answer(writer, request, 200, b"c" * 800)

    runners.append(Runner(store, "small", "app", serve_small, slots=96))
    await runners[-1].start()
    for number in range(RUNNERS):
        stage = "prefill" if number < PREFILL_RUNNERS else "decode"
        runners.append(Runner(store, f"r-{number}", "lm", serve, stage))
        await runners[-1].start()
    engine = {
        "slots": 64,
        "kv_tokens": 370_000,
        "handle_ttl_s": 5.0,
        "stage_switch_s": 3.0,
        "stride": 52,
        "kv_token_bytes": 163_840,
        "link_mbps": 12_000_000,
    }
    route = {
        "name": "closure-verdict",
        "prefix": "/verdict/",
        "kind": "stream",
        "service": "lm",
        "timeout_ms": 2000,
        "target_latency_ms": 200,
        "gap_aim_ms": 200,
        "max_attempts": 1,
        "session_affinity": True,
        "resumable": False,
    }
    service = {"name": "lm", "health_path": "/healthz", "max_conns": 370}
    check = {
        "name": "route-check",
        "prefix": "/check/",
        "kind": "idempotent",
        "service": "app",
        "timeout_ms": 2000,
        "target_latency_ms": 300,
    }
    small = {"name": "app", "health_path": "/healthz", "max_conns": 110}
    services = [service | {"engine": engine}, small]
    configuration = make_configuration([route, check], services)
    store.put("op", "config", configuration)
    addresses = [await gateways.start(number) for number in (1, 2, 3, 4)]

    async def call(id, address):
        reader, writer = await asyncio.open_connection(*address)
        fields = {
            "X-Deadline-Ms": "2000",
            "X-Model": "m",
            "X-Token-Counts": "9190,2",
            "X-Prefix-Hash": f"aa0{random.randrange(4)}:2520,bb{id}:3780,{id}:2890",
        }
        record.note(f"client sends {id}")
        writer.write(build_request("POST", "/verdict/x", id, fields, b"x" * 18_000))
        try:
            line, headers, body = await asyncio.wait_for(read_message(reader), 4)
        except (asyncio.IncompleteReadError, ConnectionError, TimeoutError) as error:
            line, body = repr(error), b""
        writer.close()
        record.note(f"client got {line!r} with {len(body)} B for {id}")
        counts[line] = counts.get(line, 0) + 1

    async def send_small(number):
        reader, writer = await asyncio.open_connection(*addresses[0])
        while True:
            id = f"s-{episode}-{number}-{random.getrandbits(40):x}"
            fields = {"X-Deadline-Ms": "4000"}
            writer.write(build_request("GET", "/check/x", id, fields))
            line, _, _ = await read_message(reader)
            record.note(f"client sent {id} and got {line!r}")

    others = [asyncio.create_task(send_small(each)) for each in range(OTHERS)]
    loop = asyncio.get_running_loop()
    began = loop.time()
    chosen = runners[1]
    calls = []
    for each in range(CALLERS):
        id = f"{episode:04x}{each:04x}"
        calls.append(asyncio.create_task(call(id, addresses[0])))
        await asyncio.sleep(0.001)
    if TROUBLE:
        record.note(f"{chosen.id} is cut off from gateway 1")
        cut[chosen.id] = asyncio.Event()
        try:
            async with asyncio.timeout_at(began + LONGEST_CUT):
                await is_sent_further.wait()
                await asyncio.sleep(GOES_ON_AFTER[episode % len(GOES_ON_AFTER)])
        except TimeoutError:
            pass
    if TROUBLE:
        record.note("the cut heals")
        cut.pop(chosen.id).set()
    await asyncio.gather(*calls)
    for each in others:
        each.cancel()
    await asyncio.gather(*others, return_exceptions=True)
    for runner in runners:
        runner.close()
    return [f"{id} at {where}" for id, where in runs.items() if len(where) > 1]


async def watch_close(reader):
    """Wait until a connection is closed."""
    try:
        await reader.read(1)
    except ConnectionError:
        pass


def chunk(data):
    """Return a chunk of a body."""
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


run_case(RECORD, play)
