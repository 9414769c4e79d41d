"""Costs of idle nodes, and the time until an edit is applied by all of them.

Nodes run their complete code over real sockets, many of them on one event loop. With
100 of them the load of the loop adds to the times, which are therefore upper bounds.
The idle processor time includes the stand-ins, which run on the same loop.
`python -m benchmarks.spreads` prints the figures by size.
"""

import asyncio
import time
from statistics import median
from uuid import uuid4

from mustardquay import Contract
from mustardquay.orders import ENGINE_REPORTS
from mustardquay.revisions import ContractAmendment, Edit
from mustardquay_node.agents import Agent
from mustardquay_node.entries import Entry
from mustardquay_node.node_settings import Settings
from mustardquay_node.settings import check_settings
from mustardquay_standins.instances import Instance
from mustardquay_standins.platforms import PlatformStandin
from mustardquay_standins.services import ServiceStandin

__all__ = ["main", "run"]

SIZES = (10, 30, 100)
EDITS = 10
AGENTS_PER_ENTRY = 22
LIMIT_SECONDS = 16.0
"""Maximum seconds until an edit is applied, as users require; else the run fails."""
POLL_INTERVAL = 0.002
START_TIMEOUT = 60.0
IDLE_SECONDS = 10.0


class Fleet:
    """Agents of one plain service, entries, and the platform."""

    def __init__(self, agents: int):
        self._count = agents
        self._platform = PlatformStandin()
        self._service = ServiceStandin()
        self._agents: list[Agent] = []
        self._entries: list[Entry] = []

    @property
    def entries(self) -> list[Entry]:
        """Return the entries."""
        return self._entries

    async def start(self) -> None:
        """Start all nodes; wait until all are linked and have reached their orders."""
        await self._platform.start()
        await self._service.start()
        for number in range(self._count):
            agent = Agent(self._make_settings("agent", number))
            await agent.start()
            self._agents.append(agent)
        for number in range(max(3, self._count // AGENTS_PER_ENTRY)):
            entry = Entry(self._make_settings("entry", number))
            await entry.start()
            self._entries.append(entry)
        self._platform.instances.set_instances(
            [
                Instance(item.name, "agent", "127.0.0.1", item.port, "zone")
                for item in self._agents
            ]
            + [
                Instance(item.name, "entry", "127.0.0.1", 0, "zone")
                for item in self._entries
            ]
        )
        async with asyncio.timeout(START_TIMEOUT):
            while not self._is_linked() or not self._has_reported():
                await asyncio.sleep(POLL_INTERVAL)

    async def close(self) -> None:
        """Stop all nodes concurrently, and the stand-ins."""
        await asyncio.gather(*(item.stop() for item in self._entries))
        await asyncio.gather(*(item.stop() for item in self._agents))
        await self._service.close()
        await self._platform.close()

    async def measure(self, number: int) -> float:
        """Return the seconds from an edit's acceptance until all nodes apply it."""
        name = f"customer-{number}"
        contract = Contract(name, (f"{number:064x}",), 0.01)
        edit = Edit(uuid4().hex, "benchmark", (ContractAmendment(name, 0, contract),))
        entry = self._entries[number % len(self._entries)]
        version = await entry.apply_edit(edit)
        started = time.monotonic()
        while any(item.version < version for item in (*self._agents, *self._entries)):
            await asyncio.sleep(POLL_INTERVAL)
        return time.monotonic() - started

    async def measure_idle(self) -> tuple[float, float, float]:
        """Return processor seconds, reads and writes per second of idle nodes."""
        counters = self._platform.tables.counters
        reads, writes = counters.reads, counters.writes
        started, used = time.monotonic(), time.process_time()
        await asyncio.sleep(IDLE_SECONDS)
        elapsed = time.monotonic() - started
        return (
            (time.process_time() - used) / elapsed,
            (counters.reads - reads) / elapsed,
            (counters.writes - writes) / elapsed,
        )

    def _is_linked(self) -> bool:
        reached = set()
        for entry in self._entries:
            reached |= entry.list_reachable()
        return len(reached) == self._count

    def _has_reported(self) -> bool:
        """Return whether every agent has reported that it reached its order."""
        rows = self._platform.tables.tables.scan(ENGINE_REPORTS)
        return sum(row.value["generation"] > 0 for row in rows) == self._count

    def _make_settings(self, kind: str, number: int) -> Settings:
        sections = {
            "node": {
                "name": f"{kind}-{number}",
                "kind": kind,
                "availability_zone": "zone",
            },
            "platform": {
                "tables": self._platform.tables.url,
                "objects": self._platform.objects.url,
                "instances": self._platform.instances.url,
            },
            "link": {"keys": "benchmark-link-key"},
            "entry": {"operator_keys": "benchmark-operator-key"},
            "agent": {
                "operator_keys": "benchmark-operator-key",
                "kind": "service",
                "upstream": self._service.url,
                "upstream_name": f"upstream-{number}",
                "service": "service",
                "report_interval": "5",
            },
        }
        del sections["agent" if kind == "entry" else "entry"]
        return check_settings(sections, "benchmark")


async def measure_size(agents: int) -> float:
    """Print the figures of one size; return the longest time until an edit applies."""
    fleet = Fleet(agents)
    await fleet.start()
    try:
        cpu, reads, writes = await fleet.measure_idle()
        times = [await fleet.measure(number) for number in range(EDITS)]
    finally:
        await fleet.close()
    entries = len(fleet.entries)
    print(
        f"{agents:6} {entries:7} {cpu / (agents + entries) * 1000:11.2f} {reads:8.2f} "
        f"{writes:8.2f} {median(times):9.3f} {max(times):10.3f}"
    )
    return max(times)


def run(short: bool = False) -> bool:
    """Print the figures by size; return whether all were within `LIMIT_SECONDS`."""
    print("agents entries  CPU ms/s ea  reads/s writes/s  median s  longest s")
    sizes = SIZES[:1] if short else SIZES
    longest = [asyncio.run(measure_size(size)) for size in sizes]
    return max(longest) <= LIMIT_SECONDS


def main() -> None:
    """Run all sizes; exit with an error if a bound was missed."""
    raise SystemExit(0 if run() else 1)


if __name__ == "__main__":
    main()
