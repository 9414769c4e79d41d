"""Fleets: engines, their agents and the entries that control them, without sockets.

Everything runs in one process on a virtual clock and one set of tables, a turn at a
time, for tests of control and its failures.
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
LONGEST_ORDER = timedelta(seconds=30)
TERM = timedelta(seconds=10)
MODEL = "m"


class StaticReplica:
    """Has a configuration that is set from outside, and its head row."""

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
        """Names of the upstreams on which requests run."""
        self.lowest = size
        """Fewest engines that were ready at any time."""
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
        """Return an agent for an engine; its store's switches are `agent.store`."""
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
            LONGEST_ORDER,
            lambda: name not in self.busy,
        )
        agent.store = store
        return agent

    def make_entry(self, number: int, zone: str = "linz") -> Controller:
        """Return an entry's controller; its store's switches are `entry.store`."""
        store = LocalTables(self.tables)
        entry = Controller(
            zone,
            f"entry-{zone}-{number}",
            store,
            self.replica,
            self.clock,
            Random(number),
            term=TERM,
        )
        entry.store = store
        return entry

    async def run(self, seconds: int, entries: list[Controller] | None = None) -> None:
        """Let everybody, or of the entries just some, take a turn each second."""
        for _ in range(seconds):
            for entry in self.entries if entries is None else entries:
                await entry.run_once()
            for agent in self.agents.values():
                await agent.run_once()
            self.lowest = min(self.lowest, self.count_ready())
            self.clock.advance(SECOND)

    async def settle(self) -> None:
        """Let agents claim their engines and the holders adopt them."""
        await self.run(30)
        self.lowest = len(self.names)

    def count_ready(self) -> int:
        """Return how many engines may get requests."""
        return sum(agent.ready for agent in self.agents.values())

    def list_versions(self) -> list[str]:
        """Return the version that each engine's order row asks for."""
        rows = [
            self.tables.read(ORDERS, f"{zone}/{name}")
            for name, zone in self.zones.items()
        ]
        return [row.value["desired"]["models"][MODEL] for row in rows]

    def count_conflicts(self) -> int:
        """Return how many orders the engines should not have been given."""
        return sum(engine.conflicts for engine in self.engines.values())
