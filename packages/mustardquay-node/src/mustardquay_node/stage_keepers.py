"""Stage keepers: one gateway at a time orders engines to change their stage.

Engines here don't check fences, so the orders of two holders must be apart: a renewal
counts for the holder only `ORDER_VALIDITY`, and a challenger waits `LEASE_TERM`. The
lease is renewed just before an order; while nothing is to be ordered, it is only
looked at now and then, so that a holder that is gone is known to be silent when a
change is due.
"""

import asyncio
from collections.abc import Callable, Collection, Mapping, Sequence
from dataclasses import dataclass
from datetime import timedelta
from random import Random

from mustardquay.clocks import Clock
from mustardquay.errors import MustardquayError
from mustardquay.events import EventRing
from mustardquay.leases import HEARTBEATS, LEASES, Lease, LeaseRows
from mustardquay.stage_plans import StageChange, StagePlanner
from mustardquay.upstream_lists import Stage, UpstreamList, UpstreamRecord

from .adapters import Adapter, EngineReport, StoreTables
from .engine_calls import CallEngine, EngineCall

__all__ = ["StageKeeper", "StageKeeperParts"]

DOMAIN = "stages"
ORDER_VALIDITY = timedelta(seconds=0.7)
"""How long after a renewal was sent its holder gives orders."""
LEASE_TERM = timedelta(seconds=4.4)
"""How long a challenger sees no renewal before it takes over. The platform counts
orders of two holders within 3 s as a conflict; validity, that and 0.5 s for calls that
hang are less than the term."""
OBSERVE_INTERVAL = timedelta(seconds=10)
"""Time between two looks at the lease while nothing is to be ordered, the first at the
start: two calls each. A renewal seen neither then nor now has been away for the term,
which then need not be waited out while no engine generates."""
TURN = timedelta(seconds=1)
HURRIED_TURN = timedelta(milliseconds=150)
"""Time between turns after an engine that generates has begun to leave, ..."""
HURRIED_TURNS = 4
"""... and how many such turns: the planner waits 0.3 s whether it comes back."""
SETTLING = timedelta(seconds=3)
"""After the start nothing is ordered for so long: the list of engines fills up as
they write their first records, and a part of it makes another plan."""
NOTICE = timedelta(milliseconds=90)
"""How long before an order the other gateways are told, by a digest that is sent at
once: an engine that changes refuses what it has not begun."""
ORDER_PATIENCE = timedelta(seconds=6)
"""How long an engine that was ordered may show its old stage before it is asked
again. A change takes some 3 s and its record is written each 1.2 s."""
ACCEPTED = (200, 202)


@dataclass(slots=True)
class StageKeeperParts:
    """What a stage keeper needs of its process."""

    adapter: Adapter
    store: StoreTables
    clock: Clock
    """Counts the time in which the machine is suspended."""
    random: Random
    events: EventRing
    upstreams: UpstreamList
    is_lost: Callable[[str], bool]
    """Says whether an engine has been out of reach for long."""
    list_services: Callable[[], list[str]]
    """Names the services whose upstreams are engines."""
    call: CallEngine
    count_streams: Callable[[str], int]
    """Counts the generations that run at an engine."""
    measure_capacities: Callable[[Sequence[UpstreamRecord]], Mapping[str, float]]
    """Measures which part of their usual work rate limits leave engines."""
    tell_changing: Callable[[Collection[str]], None]
    """Tells all gateways which engines change their stage and take no work."""
    is_serving: Callable[[], bool]
    """Whether callers have come."""


@dataclass(slots=True)
class _Ordered:
    stage: Stage
    at: timedelta


class StageKeeper:
    """Competes for the lease when a change is due, and orders it as the holder."""

    def __init__(self, name: str, parts: StageKeeperParts):
        """Take a name that no two starts of a process share."""
        self._name = name
        self._parts = parts
        self._planner = StagePlanner()
        self._lease = Lease(DOMAIN, name, LEASE_TERM, ORDER_VALIDITY)
        self._ordered: dict[str, _Ordered] = {}
        self._started = parts.clock.monotonic()
        self._observed_at: timedelta | None = None
        self._task: asyncio.Task[None] | None = None
        self._hurry = asyncio.Event()
        self._hurried = 0

    def start(self) -> None:
        """Begin to look for changes."""
        self._task = asyncio.create_task(self._run())

    async def close(self) -> None:
        """Stop; the lease runs out by itself, as another must not go on at once."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    def hurry(self) -> None:
        """Look for changes now: an engine that generates begins to leave.

        A change takes an engine away for seconds, in which the loss of another one
        would leave nobody to generate. A turn of a second and the planner's wait made
        the order 1.7 s late, and all generations were refused for 1.5 s.
        """
        self._hurried = HURRIED_TURNS
        self._hurry.set()

    def note_era(self) -> None:
        """Give up the lease this instant: the store has come back from a copy.

        Another gateway may have taken it over since the copy was made, and order now.
        """
        now = self._parts.clock.monotonic()
        if self._lease.is_held(now):
            self._parts.events.record(
                "lease.ended", domain=DOMAIN, fence=self._lease.order_fence.number
            )
        self._lease.begin_era(self._parts.store.era, now)

    async def _run(self) -> None:
        while True:
            await self._pause()
            try:
                await self.turn()
            except MustardquayError as error:
                self._parts.events.record("stage.turn_failed", error=str(error))

    async def _pause(self) -> None:
        jitter = 0.5 + self._parts.random.random()
        if self._hurried:
            self._hurried -= 1
            await asyncio.sleep(HURRIED_TURN.total_seconds() * jitter)
            return
        try:
            async with asyncio.timeout(TURN.total_seconds() * jitter):
                await self._hurry.wait()
        except TimeoutError:
            return
        self._hurry.clear()

    async def turn(self) -> None:
        """Order what is due, if this process holds or gets the lease."""
        if self._is_observation_due():
            await self._observe()
        if self._parts.clock.monotonic() - self._started < SETTLING:
            return
        changes = self._plan()
        if not changes:
            return
        if not await self._renew():
            return
        for change in changes:
            if not self._lease.is_held(self._parts.clock.monotonic()):
                return
            await self._order(change)

    def _plan(self) -> list[StageChange]:
        parts = self._parts
        now = parts.clock.monotonic()
        changes: list[StageChange] = []
        for service in parts.list_services():
            engines = [
                engine
                for engine in parts.upstreams.list_usable(service)
                if engine.stage is not Stage.NONE
            ]
            self._forget_settled(engines, now)
            ordered = {id: each.stage for id, each in self._ordered.items()}
            if engines:
                changes += self._planner.plan(
                    service,
                    engines,
                    ordered,
                    sum(parts.count_streams(engine.id) for engine in engines),
                    now,
                    parts.is_serving(),
                    {engine.id for engine in engines if parts.is_lost(engine.id)},
                    self._measure_capacities(engines),
                )
        return changes

    def _measure_capacities(self, engines: list[UpstreamRecord]) -> Mapping[str, float]:
        decoders = [engine for engine in engines if engine.stage is Stage.DECODE]
        return self._parts.measure_capacities(decoders)

    def _forget_settled(self, engines: list[UpstreamRecord], now: timedelta) -> None:
        for engine in engines:
            ordered = self._ordered.get(engine.id)
            if ordered is None:
                continue
            if engine.stage is ordered.stage or now - ordered.at > ORDER_PATIENCE:
                del self._ordered[engine.id]
                self._parts.tell_changing(set(self._ordered))

    def _is_observation_due(self) -> bool:
        if not self._parts.list_services():
            return False
        if self._observed_at is None:
            return True
        return self._parts.clock.monotonic() - self._observed_at >= OBSERVE_INTERVAL

    async def _observe(self) -> None:
        parts = self._parts
        self._observed_at = parts.clock.monotonic()
        lease = await parts.store.read(LEASES, DOMAIN)
        era = parts.store.era
        heartbeat = await parts.store.read(HEARTBEATS, DOMAIN)
        if parts.store.era != era:
            # The two rows are of two lives of the store.
            self.note_era()
            return
        rows = LeaseRows(lease, heartbeat, era)
        self._lease.observe(rows, parts.clock.monotonic())

    async def _renew(self) -> bool:
        parts = self._parts
        store = parts.store
        await self._observe()
        transaction = self._lease.propose(parts.clock.monotonic())
        if transaction is None:
            return False
        fence = self._lease.order_fence
        result = await store.transact(transaction)
        self._lease.handle_result(result, transaction, parts.clock.monotonic())
        if self._lease.order_fence != fence:
            number = self._lease.order_fence.number
            parts.events.record("lease.taken", domain=DOMAIN, fence=number)
        return self._lease.is_held(parts.clock.monotonic())

    async def _order(self, change: StageChange) -> None:
        engine = change.engine
        report = await self._ask(engine)
        if report is None or report.is_switching or report.stage is change.stage:
            self._log(change, "not_due", 0)
            if report is not None:
                now = self._parts.clock.monotonic()
                self._ordered[engine.id] = _Ordered(change.stage, now)
            return
        now = self._parts.clock.monotonic()
        if not self._lease.is_held(now):
            return
        self._ordered[engine.id] = _Ordered(change.stage, now)
        self._parts.tell_changing(set(self._ordered))
        await asyncio.sleep(NOTICE.total_seconds())
        if not self._lease.is_held(self._parts.clock.monotonic()):
            return
        adapter = self._parts.adapter
        body = adapter.build_order(
            change.stage,
            self._name,
            self._lease.order_fence.number,
            report.orders_accepted,
        )
        exchange = await self._parts.call(
            engine, EngineCall("POST", adapter.ORDER_PATH, body)
        )
        status = exchange.head.status if exchange and exchange.head else 0
        if not status:
            # It may still be carried out, seconds later. The next order expects the
            # same number of orders before it, so that only one of the two holds.
            del self._ordered[engine.id]
            self._parts.tell_changing(set(self._ordered))
        self._log(change, _name_outcome(status), status)

    async def _ask(self, engine: UpstreamRecord) -> EngineReport | None:
        adapter = self._parts.adapter
        call = EngineCall("GET", adapter.REPORT_PATH)
        exchange = await self._parts.call(engine, call)
        if exchange is None or exchange.head is None or exchange.head.status != 200:
            return None
        return adapter.read_report(exchange.content)

    def _log(self, change: StageChange, outcome: str, status: int) -> None:
        self._parts.events.record(
            "stage.ordered",
            upstream=change.engine.id,
            stage=change.stage.value,
            fence=self._lease.order_fence.number,
            outcome=outcome,
            status=status,
        )


def _name_outcome(status: int) -> str:
    if status in ACCEPTED:
        return "accepted"
    return "refused" if status else "unanswered"
