"""Ways to keep the upstream list of a fleet up to date, on the same load and seeds.

Run it with the numbers of gateways: `list_reader_comparison.py 28 100 300`. With
`calls` before them, it counts the reads of the list while only heartbeats are written.
"""

import asyncio
import sys
from dataclasses import dataclass, field

from list_reader_faults import kill_all_readers, slow_the_store
from simulated_list_readers import run_fleet

START_SECONDS = 5.0
SECONDS = 8.0
DRAIN_INTERVAL = 0.8
"""Seconds between two upstreams that begin to drain, and are replaced."""
SEED = 3
COLUMNS = (
    "gateways",
    "what fails",
    "way",
    "calls/s",
    "datagrams/s",
    "most KB/s of one",
    "delay p50, longest",
)
WAYS = {
    "every gateway reads": {"readers": 0},
    "4 readers, notices to all": {"readers": 4},
    "4 readers, passed on to 6 neighbours": {
        "readers": 4,
        "forwards": (-16, -4, -1, 1, 4, 16),
    },
}


@dataclass
class Figures:
    """What a run cost."""

    calls: float = 0.0
    datagrams: float = 0.0
    most_bytes: float = 0.0
    delays: list = field(default_factory=list)


async def lose_datagrams_all_the_time(fleet):
    fleet.loss, fleet.doubled, fleet.reordered = 0.05, 0.02, 0.05


async def do_nothing(fleet):
    """Leave the fleet alone."""


LOADS = {
    "nothing fails": do_nothing,
    "1 of 20 datagrams lost": lose_datagrams_all_the_time,
    "all readers killed": kill_all_readers,
    "store slow for 2.5 s": slow_the_store,
}


def measure(gateways, fault, options):
    figures = Figures()

    async def play(fleet):
        await asyncio.sleep(START_SECONDS)
        for counter in (fleet.store.calls, fleet.sent, fleet.sent_by):
            counter.clear()
        harm = asyncio.ensure_future(fault(fleet))
        for _ in range(round(SECONDS / DRAIN_INTERVAL)):
            fleet.drain()
            await asyncio.sleep(DRAIN_INTERVAL)
        figures.calls = fleet.store.calls.total() / SECONDS
        figures.datagrams = fleet.sent["datagrams"] / SECONDS
        figures.most_bytes = max(fleet.sent_by.values(), default=0) / SECONDS
        await harm
        await asyncio.sleep(2.0)
        figures.delays = sorted(fleet.delays)

    run_fleet(play, gateways, seed=SEED, **options)
    return figures


def main(counts):
    print(f"| {' | '.join(COLUMNS)} |")
    print("| --- " * len(COLUMNS) + "|")
    for count in counts:
        for load, fault in LOADS.items():
            for way, options in WAYS.items():
                found = measure(count, fault, options)
                middle = found.delays[len(found.delays) // 2]
                print(
                    f"| {count} | {load} | {way} | {found.calls:.1f} | "
                    f"{found.datagrams:,.0f} | {found.most_bytes / 1000:,.0f} | "
                    f"{middle:.2f} s, {found.delays[-1]:.2f} s |",
                    flush=True,
                )


def count_calls(gateways, readers):
    """Return reads of the list per second: of all, of one reader, of one other."""
    reads = {}

    async def play(fleet):
        await asyncio.sleep(START_SECONDS)
        fleet.store.calls.clear()
        await asyncio.sleep(SECONDS)
        for name in fleet.members:
            reads[name] = fleet.store.calls[name] / SECONDS

    run_fleet(play, gateways, readers, SEED)
    return sum(reads.values()), max(reads.values()), min(reads.values())


def print_calls(counts):
    for count in counts:
        for readers in (0, 4):
            total, most, least = count_calls(count, readers)
            print(
                f"{count} gateways, {readers} readers: {total:.1f} reads/s, "
                f"most {most:.2f}, least {least:.2f}",
                flush=True,
            )


if __name__ == "__main__":
    arguments = sys.argv[1:]
    if arguments[:1] == ["calls"]:
        print_calls([int(each) for each in arguments[1:]])
    else:
        main([int(each) for each in arguments])
