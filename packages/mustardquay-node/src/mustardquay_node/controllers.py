"""Controllers: hold the lease of a control domain and write its order rows.

Entry processes hold the leases. The holder applies the configuration and the results
of the deciders. All progress is stored in the order rows, so that after its failure
another holder continues from them.
"""

import asyncio
import logging
from collections.abc import Callable, Mapping, Sequence
from dataclasses import replace
from datetime import datetime, timedelta
from random import Random
from typing import TypeAlias

from blinker import Signal

from mustardquay.clocks import Clock
from mustardquay.configuration_log import CONFIGURATIONS, HEAD_KEY, read_version
from mustardquay.costs import SMALL_FLEET_ENGINES, Cost, FleetUpstream, check_costs
from mustardquay.encodings import decode, encode
from mustardquay.errors import MustardquayError
from mustardquay.leases import HEARTBEATS, LEASES, Lease, LeaseRows, fence_writes
from mustardquay.orders import ENGINE_REPORTS, ORDERS, EngineReport, OrderRow
from mustardquay.plans import PlannedChange, Release
from mustardquay.revisions import Configuration, Edit
from mustardquay.rollouts import EngineStatus, propose_rows
from mustardquay.tables import Condition, Row, TableService, Write

from .configurations import ConfigurationReplica
from .editors import EditCheck
from .loops import cancel_task, start_loop

__all__ = [
    "Controller",
    "Decider",
    "lease_changed",
    "make_cost_check",
    "read_engines",
    "rows_written",
]

logger = logging.getLogger(__name__)

lease_changed = Signal("Sent by a controller, with `held` and `fence`.")
rows_written = Signal("Sent by a controller, with `rows`, the new ones by engine.")

Decider: TypeAlias = Callable[
    [Configuration, Sequence[EngineStatus], datetime, Sequence[EngineStatus]],
    list[tuple[EngineStatus, OrderRow]],
]
"""Returns the rows to write now; after an empty list the next decider is called.

The arguments are the configuration, the engines of the domain, the current time and,
in a small fleet, the engines of all domains."""

SCAN_LIMIT = 1000
IDLE_ROUNDS = 10
"""While nothing is in progress, the rows are read only once in this many runs."""


class Controller:
    """Holds, or competes for, the lease of one domain.

    `candidate` must be unique for each start of a process. `is_candidate` returns
    whether this process may currently hold the lease, `find_instance` returns the
    instance of an upstream, and `count_agents` returns the number of agents in the
    fleet.
    """

    def __init__(
        self,
        domain: str,
        candidate: str,
        tables: TableService,
        replica: ConfigurationReplica,
        clock: Clock,
        random: Random,
        is_candidate: Callable[[], bool] = lambda: True,
        find_instance: Callable[[str], str] = lambda upstream: upstream,
        count_agents: Callable[[], int] = lambda: 1,
        deciders: tuple[Decider, ...] = (propose_rows,),
        term: timedelta = timedelta(seconds=10),
    ):
        self._domain = domain
        self._tables = tables
        self._replica = replica
        self._clock = clock
        self._random = random
        self._is_candidate = is_candidate
        self._find_instance = find_instance
        self._count_agents = count_agents
        self._deciders = deciders
        self._interval = term / 4
        self._lease = Lease(domain, candidate, term)
        self._held = False
        self._idle_rounds = 0
        self._seen_version = -1
        self._engines: list[EngineStatus] = []
        self._task: asyncio.Task[None] | None = None

    @property
    def domain(self) -> str:
        """Return the domain of the lease."""
        return self._domain

    @property
    def held(self) -> bool:
        """Return whether this process held the lease after its last run."""
        return self._held

    @property
    def fence(self) -> int:
        """Return the fencing number of the lease when this process last held it."""
        return self._lease.fence

    @property
    def engines(self) -> Sequence[EngineStatus]:
        """Return the engines of the domain as last read while holding the lease."""
        return self._engines

    async def start(self) -> None:
        """Start competing for the lease."""
        self._task = start_loop(self.run_once, self._interval, self._random)

    async def close(self) -> None:
        """Stop and release the lease, so that another process can take it at once."""
        await cancel_task(self._task)
        self._task = None
        transaction = self._lease.release()
        if transaction is None:
            return
        try:
            await self._tables.transact(transaction)
        except MustardquayError as error:
            logger.info(
                "%s: the lease was not released and will expire: %s",
                self._domain,
                error,
            )

    def wake(self) -> None:
        """Read the rows in the next run, because a decider's input has changed."""
        self._idle_rounds = 0

    async def run_once(self) -> None:
        """Renew or compete for the lease, then write the rows that are due.

        Never raises store errors.
        """
        try:
            if self._held or self._is_candidate():
                await self._compete()
            self._note_lease()
            if self._held:
                await self._carry_out()
        except MustardquayError as error:
            logger.info("%s: order rows can't be updated: %s", self._domain, error)
            self._note_lease()

    async def _compete(self) -> None:
        lease = await self._tables.read(LEASES, self._domain)
        heartbeat = await self._tables.read(HEARTBEATS, self._domain)
        self._lease.observe(LeaseRows(lease, heartbeat), self._clock.monotonic())
        transaction = self._lease.propose(self._clock.monotonic())
        if transaction is not None:
            result = await self._tables.transact(transaction)
            self._lease.handle_result(result, transaction)

    def _note_lease(self) -> None:
        held = self._lease.is_held(self._clock.monotonic())
        if held != self._held:
            self._held = held
            self._idle_rounds = 0
            lease_changed.send(self, held=held, fence=self._lease.fence)

    async def _carry_out(self) -> None:
        if self._replica.version != self._seen_version:
            self._idle_rounds = 0
        self._idle_rounds -= 1
        if self._idle_rounds > 0:
            return
        head = await self._replica.poll()
        configuration = self._replica.configuration
        if configuration.version != read_version(head):
            return
        fleet = await self._read_fleet()
        self._seen_version = configuration.version
        proposals = self._decide(configuration, fleet)
        if proposals:
            await self._write(proposals, head)
        # Keep reading also while another zone's engines are changed by a release: this
        # zone may continue afterwards.
        if proposals or not all(
            status.is_available for status in fleet or self._engines
        ):
            return
        self._idle_rounds = IDLE_ROUNDS

    async def _read_fleet(self) -> list[EngineStatus]:
        """Read the rows of the domain or, in a small fleet, of all domains."""
        small = self._count_agents() <= SMALL_FLEET_ENGINES
        domain = "" if small else self._domain
        fleet = await read_engines(self._tables, domain, self._find_instance)
        self._engines = [
            status
            for status in fleet
            if status.upstream.availability_zone == self._domain
        ]
        return fleet if small else []

    def _decide(
        self, configuration: Configuration, fleet: Sequence[EngineStatus]
    ) -> list[tuple[EngineStatus, OrderRow]]:
        now = self._clock.now()
        for decide in self._deciders:
            proposals = decide(configuration, self._engines, now, fleet)
            if proposals:
                return proposals
        return []

    async def _write(
        self, proposals: list[tuple[EngineStatus, OrderRow]], head: Row | None
    ) -> None:
        keys = [f"{self._domain}/{status.upstream.name}" for status, _ in proposals]
        # The rows must be derived from the current head. A holder with an outdated
        # configuration would return an engine to service that was just drained.
        configured = Condition(
            CONFIGURATIONS, HEAD_KEY, 0 if head is None else head.revision
        )
        unchanged = (
            Condition(ORDERS, key, status.row_revision)
            for key, (status, _) in zip(keys, proposals, strict=True)
        )
        writes = tuple(
            Write(ORDERS, key, encode(row))
            for key, (_, row) in zip(keys, proposals, strict=True)
        )
        # After a lost answer nothing needs to be resolved here: the rows are read
        # again before the next ones are decided.
        result = await self._tables.transact(
            fence_writes(
                self._domain,
                self._lease.fence,
                *writes,
                conditions=(configured, *unchanged),
            )
        )
        if result:
            rows = {status.upstream.name: row for status, row in proposals}
            logger.info("%s: wrote order rows: %s", self._domain, rows)
            rows_written.send(self, rows=rows)


async def read_engines(
    tables: TableService,
    domain: str = "",
    find_instance: Callable[[str], str] = lambda upstream: upstream,
) -> list[EngineStatus]:
    """Return the status of a domain's engines, or of all engines, from the tables."""
    prefix = f"{domain}/" if domain else ""
    orders = await _scan(tables, ORDERS, prefix)
    reports = await _scan(tables, ENGINE_REPORTS, prefix)
    engines = []
    for key in sorted(orders.keys() | reports.keys()):
        zone, _, name = key.partition("/")
        row, report = orders.get(key), reports.get(key)
        status = EngineStatus(
            FleetUpstream(name, zone, find_instance(name)),
            None if row is None else decode(OrderRow, row.value),
            0 if row is None else row.revision,
            None if report is None else decode(EngineReport, report.value),
        )
        engines.append(_note_models(status))
    return engines


def make_cost_check(
    tables: TableService, find_instance: Callable[[str], str]
) -> EditCheck:
    """Return a check that computes and validates the cost of planned changes."""

    async def check(result: Configuration, edit: Edit) -> list[Cost]:
        values = [amendment.value for amendment in edit.amendments]
        if not any(isinstance(value, PlannedChange | Release) for value in values):
            return []
        engines = await read_engines(tables, find_instance=find_instance)
        return check_costs(result, edit, [status.upstream for status in engines])

    return check


async def _scan(tables: TableService, table: str, prefix: str) -> dict[str, Row]:
    found: dict[str, Row] = {}
    after = prefix
    while True:
        rows = await tables.scan(table, after, SCAN_LIMIT)
        for row in rows:
            if not row.key.startswith(prefix):
                return found
            found[row.key] = row
        if len(rows) < SCAN_LIMIT:
            return found
        after = rows[-1].key


def _note_models(status: EngineStatus) -> EngineStatus:
    models: Mapping[str, str] = {}
    if status.row is not None:
        models = status.row.desired.models
    elif status.report is not None:
        models = status.report.models
    return replace(status, upstream=replace(status.upstream, models=models))
