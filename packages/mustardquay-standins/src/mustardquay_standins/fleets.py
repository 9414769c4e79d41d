"""Fleets: engines, their agents and the entries that control them, without sockets.

Everything runs in one process on a virtual clock and one set of tables, one iteration
of the control loops at a time, for tests of the control plane and its failures.
"""

from collections.abc import Iterable
from datetime import timedelta
from random import Random

from mustardquay import Contract, Role, VirtualClock
from mustardquay.configuration_log import CONFIGURATIONS, HEAD_KEY
from mustardquay.orders import ORDERS, Desired
from mustardquay.plans import PlannedChange, Release
from mustardquay.revisions import Configuration
from mustardquay.tables import Row, Transaction, Write
from mustardquay_node.controllers import Controller
from mustardquay_node.reconcilers import Reconciler

from .stores import LocalEngine, LocalTables
from .tables import Tables

__all__ = ["Fleet", "StaticReplica"]

SECOND = timedelta(seconds=1)
ORDER_TIMEOUT = timedelta(seconds=30)
LEASE_TERM = timedelta(seconds=10)
MODEL = "m"


class StaticReplica:
    """A replica whose configuration and head row are set by the test."""

    def __init__(self, tables: Tables):
        self._tables = tables
        self.configuration = Configuration()

    @property
    def version(self) -> int:
        """Return the version of the configuration."""
        return self.configuration.version

    def put(self, configuration: Configuration) -> None:
        """Set the configuration and the head row."""
        self.configuration = configuration
        write = Write(CONFIGURATIONS, HEAD_KEY, {"version": configuration.version})
        self._tables.apply(Transaction(writes=(write,)))

    async def poll(self) -> Row | None:
        """Return the head row."""
        return self._tables.read(CONFIGURATIONS, HEAD_KEY)


class Fleet:
    """`size` engines of model `m`, spread over zones with two entries each."""

    def __init__(
        self,
        size: int,
        fencing: bool = True,
        share: float = 0.7,
        zones: tuple[str, ...] = ("linz",),
    ):
        self.clock = VirtualClock()
        self.tables = Tables()
        self.replica = StaticReplica(self.tables)
        self.zones = {f"runner-{n}": zones[n % len(zones)] for n in range(size)}
        self.names = list(self.zones)
        self.busy: set[str] = set()
        """Names of the upstreams with running requests."""
        self.lowest_ready = size
        """Lowest number of ready engines so far."""
        self._fencing = fencing
        self._share = share
        desired = Desired(Role.MIXED, {MODEL: "1"})
        self.engines = {
            name: LocalEngine(self.clock, desired, fencing) for name in self.names
        }
        self.agents = {name: self.make_agent(name, 1) for name in self.names}
        self.entries = [
            self.make_entry(number, zone) for zone in zones for number in range(2)
        ]
        self.configure(1)

    def configure(
        self,
        version: int,
        changes: Iterable[PlannedChange] = (),
        releases: Iterable[Release] = (),
    ) -> None:
        """Put a configuration in force."""
        contract = Contract("radio", ("hash",), self._share, models=(MODEL,))
        configuration = Configuration(
            version,
            {"radio": contract},
            {change.name: change for change in changes},
            {release.model: release for release in releases},
            {"hash": "radio"},
        )
        self.replica.put(configuration)

    def make_agent(self, name: str, number: int) -> Reconciler:
        """Return an agent for an engine; `agent.store` has the fault switches."""
        store = LocalTables(self.tables)
        agent = Reconciler(
            name,
            self.zones[name],
            f"{name}-{number}",
            store,
            self.engines[name],
            self.clock,
            Random(number),
            self._fencing,
            ORDER_TIMEOUT,
            lambda: name not in self.busy,
        )
        agent.store = store
        return agent

    def make_entry(self, number: int, zone: str = "linz") -> Controller:
        """Return an entry's controller; `entry.store` has the fault switches."""
        store = LocalTables(self.tables)
        entry = Controller(
            zone,
            f"entry-{zone}-{number}",
            store,
            self.replica,
            self.clock,
            Random(number),
            term=LEASE_TERM,
        )
        entry.store = store
        return entry

    async def run(self, seconds: int, entries: list[Controller] | None = None) -> None:
        """Run every control loop once per second, or only those of some `entries`."""
        for _ in range(seconds):
            for entry in self.entries if entries is None else entries:
                await entry.run_once()
            for agent in self.agents.values():
                await agent.run_once()
            self.lowest_ready = min(self.lowest_ready, self.count_ready())
            self.clock.advance(SECOND)

    async def run_until_adopted(self) -> None:
        """Run until agents have claimed their engines and controllers adopted them."""
        await self.run(30)
        self.lowest_ready = len(self.names)

    def count_ready(self) -> int:
        """Return the number of engines that may get requests."""
        return sum(agent.ready for agent in self.agents.values())

    def list_versions(self) -> list[str]:
        """Return the model version that each engine's order row requests."""
        rows = [
            self.tables.read(ORDERS, f"{zone}/{name}")
            for name, zone in self.zones.items()
        ]
        return [row.value["desired"]["models"][MODEL] for row in rows]

    def count_conflicts(self) -> int:
        """Return the number of orders that conflicted with earlier ones."""
        return sum(engine.conflicts for engine in self.engines.values())
