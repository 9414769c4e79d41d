"""Costs of the control plane: leases, orders, configuration and membership.

`python -m benchmarks.controls` prints the figures, with slopes by fleet size, that
docs/CAPACITY.md uses. Many instances share one process and an in-memory store; the
cost of a call over HTTP is measured separately, with a stand-in in its own process.
"""

import asyncio
import gc
import subprocess
import sys
import time
import tracemalloc
from collections.abc import Callable
from datetime import timedelta
from random import Random
from statistics import linear_regression

import orjson

from mustardquay import Contract, Role, VirtualClock
from mustardquay.configuration_log import decode_snapshot, encode_snapshot
from mustardquay.encodings import encode_bytes
from mustardquay.events import Stamp
from mustardquay.membership import (
    Instance,
    Membership,
    choose_agents,
    choose_readers,
)
from mustardquay.messages import Heartbeat
from mustardquay.orders import Desired, EngineReport, OrderRow
from mustardquay.revisions import (
    Configuration,
    ContractAmendment,
    Edit,
    Entry,
    apply_entry,
    check_edit,
)
from mustardquay.tables import Transaction, Write
from mustardquay_node.configurations import ConfigurationReplica
from mustardquay_node.controllers import Controller
from mustardquay_node.frames import Batch, decode_batch, encode_batch
from mustardquay_node.reconcilers import Reconciler
from mustardquay_node.stores import HttpTables, PlatformClient, StoreLimits
from mustardquay_standins.children import start_child
from mustardquay_standins.stores import LocalEngine, LocalObjects, LocalTables
from mustardquay_standins.tables import Tables

__all__ = ["main", "run"]

SIZES = (10, 30, 100)
AGENTS_PER_ENTRY = 22
"""12,000 agents for 540 entries."""
VIRTUAL_SECONDS = 600
TARGET_ENTRIES, TARGET_AGENTS, TARGET_ZONES = 540, 12_000, 39
TARGET_CONTRACTS = 23_000
LINK_LIMIT = 64
HTTP_CALLS = 500
TERM = timedelta(seconds=10)
TAKEOVERS = 200
FRAME_OVERHEAD = 4 + 52
"""Bytes of a frame's length field and of its IP and TCP headers."""
WRITE_BOUND = 0.05
"""Maximum writes a second of an idle agent; the run fails above it."""


def run(short: bool = False) -> bool:
    """Print all figures; return whether the bounds were met."""
    met = print_fleets(SIZES[:2] if short else SIZES)
    asyncio.run(print_takeovers())
    print_configurations()
    print_heartbeats()
    print_membership()
    print_processes()
    if not short:
        asyncio.run(print_calls())
    return met


def print_fleets(sizes: tuple[int, ...]) -> bool:
    """Print reads, writes and processor time of idle fleets, with slopes."""
    print("agents entries  reads/s writes/s  CPU us/s each")
    rows = []
    for size in sizes:
        reads, writes, seconds, entries = asyncio.run(_run_fleet(size))
        each = seconds / VIRTUAL_SECONDS / (size + entries) * 1e6
        rows.append((size, reads, writes))
        print(f"{size:6} {entries:7} {reads:8.3f} {writes:8.4f} {each:14.1f}")
    agents = [row[0] for row in rows]
    for name, column in (("reads", 1), ("writes", 2)):
        slope, fixed = linear_regression(agents, [row[column] for row in rows])
        print(f"{name}/s = {fixed:.3f} + {slope:.5f} an agent")
    return rows[-1][2] / rows[-1][0] < WRITE_BOUND


async def _run_fleet(size: int) -> tuple[float, float, float, int]:
    """Run an idle zone; return reads and writes a second, CPU seconds and entries."""
    clock, tables = VirtualClock(), Tables()
    stores: list[LocalTables] = []
    entries = max(3, size // AGENTS_PER_ENTRY)

    def make_store() -> LocalTables:
        stores.append(LocalTables(tables))
        return stores[-1]

    agents = [
        Reconciler(
            f"runner-{number}",
            "zone",
            f"agent-{number}",
            make_store(),
            LocalEngine(clock, Desired(Role.MIXED, {"model": "1"})),
            clock,
            Random(number),
            True,
            timedelta(seconds=30),
            lambda: True,
            lambda: size,
        )
        for number in range(size)
    ]
    replicas = [
        ConfigurationReplica(make_store(), LocalObjects(), Random(number), lambda: True)
        for number in range(min(entries, 3))
    ]
    controllers = [
        Controller(
            "zone",
            f"entry-{number}",
            make_store(),
            replica,
            clock,
            Random(number),
        )
        for number, replica in enumerate(replicas)
    ]
    await _run_fleet_seconds(clock, agents, replicas, controllers, 60)
    before = [(s.counters.reads, s.counters.writes) for s in stores]
    started = time.process_time()
    await _run_fleet_seconds(clock, agents, replicas, controllers, VIRTUAL_SECONDS)
    seconds = time.process_time() - started
    reads = sum(s.counters.reads for s in stores) - sum(item[0] for item in before)
    writes = sum(s.counters.writes for s in stores) - sum(item[1] for item in before)
    return reads / VIRTUAL_SECONDS, writes / VIRTUAL_SECONDS, seconds, entries


async def _run_fleet_seconds(
    clock, agents, replicas, controllers, seconds: int
) -> None:
    """Run the control loops for so many seconds of virtual time."""
    for second in range(seconds):
        for agent in agents:
            await agent.run_once()
        if second % 2 == 0:
            for replica in replicas:
                await replica.poll()
        if second % 5 in (0, 2):
            for controller in controllers:
                await controller.run_once()
        clock.advance(timedelta(seconds=1))


async def print_takeovers() -> None:
    """Print the virtual time from the stop of a lease holder to the next lease."""
    times = sorted([await _time_takeover(seed) for seed in range(TAKEOVERS)])
    median, longest = times[len(times) // 2], times[-1]
    print(f"\ntakeover: median {median:.1f} s, longest of {TAKEOVERS} {longest:.1f} s")


async def _time_takeover(seed: int) -> float:
    """Run three controllers, stop the lease holder, and time the takeover."""
    clock, tables, random = VirtualClock(), Tables(), Random(seed)

    def make(number: int) -> Controller:
        store = LocalTables(tables)
        return Controller(
            "zone",
            f"entry-{number}",
            store,
            ConfigurationReplica(store, LocalObjects(), Random(seed), lambda: True),
            clock,
            Random(seed),
            term=TERM,
        )

    due = [(TERM / 4 * random.random(), make(number)) for number in range(3)]
    stopped_at = 10 * TERM + TERM * random.random()
    stopped: Controller | None = None
    while True:
        due.sort(key=lambda item: item[0])
        now, controller = due.pop(0)
        if stopped is None and now >= stopped_at:
            stopped = next(item for _, item in [(now, controller), *due] if item.held)
        clock.advance(now - clock.monotonic())
        if controller is not stopped:
            await controller.run_once()
            due.append((now + TERM / 4 * (0.75 + random.random() / 2), controller))
        if stopped is not None and controller is not stopped and controller.held:
            return (now - stopped_at).total_seconds()


def make_configuration(contracts: int) -> Configuration:
    """Return a configuration with so many contracts."""
    items = {}
    for number in range(contracts):
        name = f"customer-{number:05d}"
        items[name] = Contract(
            name,
            (f"{number:064x}",),
            1 / contracts,
            models=("model-1", "model-2"),
            revision=number + 1,
        )
    owners = {item.key_hashes[0]: item.customer for item in items.values()}
    return Configuration(contracts, items, owners=owners)


def print_configurations() -> None:
    """Print memory and processor time of configurations by number of contracts."""
    print("\ncontracts  memory    peak snapshot encode decode  apply  check")
    print("               MB      MB       MB     ms     ms     ms     ms")
    for contracts in (1000, 5000, TARGET_CONTRACTS):
        data = encode_snapshot(make_configuration(contracts))
        gc.collect()
        tracemalloc.start()
        configuration = decode_snapshot(data)
        gc.collect()
        memory, peak = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        item = configuration.contracts["customer-00007"]
        edit = Edit("id", "op", (ContractAmendment(item.customer, 8, item),))
        entry = Entry(contracts + 1, edit)
        figures = [
            measure_time(lambda value=configuration: encode_snapshot(value)),
            measure_time(lambda value=data: decode_snapshot(value)),
            measure_time(lambda a=configuration, b=entry: apply_entry(a, b)),
            measure_time(lambda a=configuration, b=edit: check_edit(a, b)),
        ]
        print(
            f"{contracts:9} {memory / 1e6:7.1f} {peak / 1e6:7.1f} "
            f"{len(data) / 1e6:8.2f} "
            + " ".join(f"{1000 * figure:6.2f}" for figure in figures)
        )
    print(f"one log entry: {len(encode_bytes(entry))} bytes")
    desired = Desired(Role.MIXED, {"model-1": "1", "model-2": "1"}, ("adapter-1",))
    row = OrderRow(1, desired, "adopted")
    report = EngineReport(1, True, False, desired.role, desired.models, ("adapter-1",))
    sizes = [len(encode_bytes(item)) for item in (row, report)]
    print(f"order row {sizes[0]} bytes, report row {sizes[1]} bytes, without keys")


def measure_time(call: Callable[[], object], repeats: int = 7) -> float:
    """Return the smallest processor time of several calls, in seconds."""
    times = []
    for _ in range(repeats):
        started = time.process_time()
        call()
        times.append(time.process_time() - started)
    return min(times)


def print_heartbeats() -> None:
    """Print bytes and processor time of a heartbeat in each direction."""
    plain = Heartbeat(version=9700, confirmed=True)
    full = Heartbeat(
        version=9700,
        confirmed=True,
        upstream="runner-12000",
        role=Role.MIXED,
        models=("model-1", "model-2"),
        adapters=("adapter-1",),
        queued_tokens=20000,
        waiting=3,
        running=24,
        prefill_rate=8000.0,
        decode_rate=40.0,
    )
    print("\nheartbeat   bytes  with headers  encode us  decode us")
    for name, heartbeat in (("entry", plain), ("agent", full)):
        batch = Batch(1, Stamp(1, 1), (heartbeat,))
        data = encode_batch(batch)
        encode = measure_time(lambda b=batch: [encode_batch(b) for _ in range(1000)])
        decode = measure_time(lambda d=data: [decode_batch(d) for _ in range(1000)])
        print(
            f"{name:9} {len(data):7} {len(data) + FRAME_OVERHEAD:13} "
            f"{encode * 1000:10.1f} {decode * 1000:10.1f}"
        )


def make_instances() -> tuple[list[Instance], list[Instance]]:
    """Return the entries and agents of a fleet of the target size."""

    def make(kind, number):
        zone = f"zone-{number % TARGET_ZONES:02d}"
        return Instance(f"{kind}-{number:05d}", kind, "10.0.0.1", 7000, zone)

    entries = [make("entry", number) for number in range(TARGET_ENTRIES)]
    agents = [make("agent", number) for number in range(TARGET_AGENTS)]
    return entries, agents


def print_membership() -> None:
    """Print links, and the cost of the instance list, at the target size."""
    entries, agents = make_instances()
    zone = [entry for entry in entries if entry.availability_zone == "zone-00"]
    counts = [
        len(choose_agents(entry.name, entries, agents, LINK_LIMIT)) for entry in zone
    ]
    mean = sum(counts) / len(counts)
    print(f"\nlinks of an entry: mean {mean:.1f}, {max(counts)} at most")
    choose = measure_time(
        lambda: choose_agents("entry-00000", entries, agents, LINK_LIMIT)
    )
    readers = measure_time(lambda: choose_readers(entries, "zone-00"))
    tracemalloc.start()
    membership = Membership(timedelta(seconds=4))
    membership.update([*entries, *agents], timedelta())
    memory = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    update = measure_time(lambda: membership.update([*entries, *agents], timedelta()))
    listing = measure_time(lambda: membership.list_instances("agent", timedelta()))
    size = len(orjson.dumps({"instances": [*entries, *agents]}))
    print(
        f"choose agents {choose * 1000:.1f} ms, readers {readers * 1000:.2f} ms, "
        f"update {update * 1000:.1f} ms, list {listing * 1000:.1f} ms"
    )
    print(f"instance list {size / 1e6:.2f} MB as JSON, {memory / 1e6:.1f} MB kept")


def print_processes() -> None:
    """Print the memory of a process with all code loaded and without data."""
    code = (
        "import {0}; print([line.split()[1] for line in open('/proc/self/status')"
        " if line.startswith('VmRSS')][0])"
    )
    print()
    for module in ("mustardquay_node.entries", "mustardquay_node.agents"):
        command = [sys.executable, "-c", code.format(module)]
        result = subprocess.run(command, capture_output=True, text=True, check=True)
        print(f"{module}: {int(result.stdout) * 1024 / 1e6:.1f} MB resident")


async def print_calls() -> None:
    """Print processor time and bytes of calls to the table service over HTTP."""
    child = await start_child("mustardquay_standins.platforms")
    client = PlatformClient(
        child.get_ready_value("tables"), timedelta(seconds=5), VirtualClock(), Random(1)
    )
    limits = StoreLimits(1e6, 1_000_000, 1e6, 1_000_000)
    tables = HttpTables(client, limits)
    await client.start()
    write = Transaction(writes=(Write("t", "k", {"version": 1}),))
    await tables.transact(write)
    try:
        print("\ncall   CPU us")
        for name, call in (
            ("read", lambda: tables.read("t", "k")),
            ("write", lambda: tables.transact(write)),
        ):
            started = time.process_time()
            for _ in range(HTTP_CALLS):
                await call()
                # The stand-in enforces the platform's rate limits.
                await asyncio.sleep(0.004)
            seconds = time.process_time() - started
            print(f"{name:5} {seconds / HTTP_CALLS * 1e6:8.0f}")
    finally:
        await client.close()
        await child.stop()


def main() -> None:
    """Run everything."""
    raise SystemExit(0 if run() else 1)


if __name__ == "__main__":
    main()
