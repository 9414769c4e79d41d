"""Control of the stages of engines by the one gateway that holds a lease.

Engines that gateways control don't check fencing tokens; `leadership` keeps the orders
of two holders apart in time. The lease is renewed just before an order. While no change
is due, gateways only observe it from time to time, so that the absence of a failed
holder is already established when a change becomes due.
"""

import asyncio
from collections.abc import Callable, Collection, Mapping, Sequence
from dataclasses import dataclass
from datetime import timedelta
from random import Random

from mustardquay.clocks import Clock
from mustardquay.errors import MustardquayError
from mustardquay.events import EventRing
from mustardquay.stage_capacities import DecodeSpeed
from mustardquay.stage_plans import StageChange, StagePlanner
from mustardquay.upstream_lists import Stage, UpstreamList, UpstreamRecord

from .adapters import Adapter, EngineReport, StoreTables
from .engine_calls import CallEngine, EngineCall
from .leadership import LeaseKeeper
from .loops import cancel_task

__all__ = ["StageController", "StageControllerDependencies"]

LEASE_DOMAIN = "stages"
OBSERVE_INTERVAL = timedelta(seconds=10)
"""Interval at which the lease is observed while no change is due, from the start on.
Each observation is two calls. If the lease was not renewed since the last one, the term
has already passed and need not be waited out while no engine generates."""
RUN_INTERVAL = timedelta(seconds=1)
"""Mean interval of the control loop."""
SHORT_INTERVAL = timedelta(milliseconds=150)
"""Shorter interval after a decoding engine has started to drain."""
SHORT_INTERVALS = 4
"""Number of shorter intervals; the planner waits 0.3 s in case the engine returns."""
STARTUP_DELAY = timedelta(seconds=3)
"""Time after the start in which no orders are given: the list of engines fills up as
they write their first records, and an incomplete list results in a different plan."""
NOTICE_PERIOD = timedelta(milliseconds=90)
"""Time between the notice to other gateways, in a digest sent at once, and the order:
an engine that changes its stage refuses requests that it has not started."""
ORDER_TIMEOUT = timedelta(seconds=6)
"""How long an engine may report its old stage after an order before a new order is
considered. A change takes some 3 s, and the record is written every 1.2 s."""
ACCEPTED_STATUSES = (200, 202)
"""HTTP status codes of accepted orders."""


@dataclass(slots=True)
class StageControllerDependencies:
    """Dependencies of a `StageController`."""

    adapter: Adapter
    store: StoreTables
    clock: Clock
    """A clock that keeps running while the machine is suspended."""
    random: Random
    events: EventRing
    upstreams: UpstreamList
    is_lost: Callable[[str], bool]
    """Returns whether an engine has been unreachable for long."""
    list_services: Callable[[], list[str]]
    """Lists the services whose upstreams are engines."""
    call: CallEngine
    count_streams: Callable[[str], int]
    """Returns the number of generations running at an engine."""
    measure_capacities: Callable[[Sequence[UpstreamRecord]], Mapping[str, float]]
    """Returns the share of its usual work that rate limits permit, by engine."""
    measure_decode_speeds: Callable[
        [Sequence[UpstreamRecord]], Mapping[str, DecodeSpeed] | None
    ]
    """Returns how fast each engine decodes; None where that is unknown."""
    find_switch_time: Callable[[str], timedelta]
    """Returns how long an engine of a service is unavailable while it changes."""
    estimate_stream_duration: Callable[[str], timedelta]
    """Returns how long the running generations of a service last."""
    announce_changing: Callable[[Collection[str]], None]
    """Notifies all gateways of engines that change their stage and accept no work."""
    is_serving: Callable[[], bool]
    """Returns whether this gateway has served callers."""


@dataclass(slots=True)
class _Ordered:
    stage: Stage
    at: timedelta


class StageController:
    """Orders changes of stages that are due, after it has acquired the lease."""

    def __init__(self, name: str, deps: StageControllerDependencies):
        """Initialise the controller; `name` must differ for each start of a process."""
        self._name = name
        self._deps = deps
        self._planner = StagePlanner()
        self._lease = LeaseKeeper(
            LEASE_DOMAIN, name, deps.store, deps.clock, deps.events
        )
        self._ordered: dict[str, _Ordered] = {}
        self._started = deps.clock.monotonic()
        self._observed_at: timedelta | None = None
        self._task: asyncio.Task[None] | None = None
        self._wakeup = asyncio.Event()
        self._short_intervals_left = 0

    def start(self) -> None:
        """Start the control loop."""
        self._task = asyncio.create_task(self._run())

    async def close(self) -> None:
        """Stop without releasing the lease: another holder must wait out its term."""
        await cancel_task(self._task)

    def check_now(self) -> None:
        """Plan without waiting for the interval: a decoding engine starts to drain.

        A change of stage makes an engine unavailable for seconds, and the loss of
        another one during that time would leave no engine to generate. The usual
        interval of a second plus the planner's wait delayed an order by 1.7 s, and all
        generations were refused for 1.5 s.
        """
        self._short_intervals_left = SHORT_INTERVALS
        self._wakeup.set()

    def note_era(self) -> None:
        """Give up the lease immediately: the store was restored from a copy.

        Another gateway may have taken it over since the copy was made and may already
        give orders.
        """
        self._lease.note_era()

    async def _run(self) -> None:
        while True:
            await self._wait()
            try:
                await self.run_once()
            except MustardquayError as error:
                self._deps.events.record("stage.turn_failed", error=str(error))

    async def _wait(self) -> None:
        jitter = 0.5 + self._deps.random.random()
        if self._short_intervals_left:
            self._short_intervals_left -= 1
            await asyncio.sleep(SHORT_INTERVAL.total_seconds() * jitter)
            return
        try:
            async with asyncio.timeout(RUN_INTERVAL.total_seconds() * jitter):
                await self._wakeup.wait()
        except TimeoutError:
            return
        self._wakeup.clear()

    async def run_once(self) -> None:
        """Order the changes that are due, if this process can hold the lease."""
        if self._is_observation_due():
            await self._observe()
        if self._deps.clock.monotonic() - self._started < STARTUP_DELAY:
            return
        changes = self._plan()
        if not changes:
            return
        self._observed_at = self._deps.clock.monotonic()
        if not await self._lease.renew():
            return
        for change in changes:
            if not self._lease.is_held:
                return
            await self._order(change)

    def _plan(self) -> list[StageChange]:
        deps = self._deps
        now = deps.clock.monotonic()
        changes: list[StageChange] = []
        for service in deps.list_services():
            engines = [
                engine
                for engine in deps.upstreams.list_usable(service)
                if engine.stage is not Stage.NONE
            ]
            self._forget_completed(engines, now)
            ordered = {id: each.stage for id, each in self._ordered.items()}
            if engines:
                changes += self._planner.plan(
                    service,
                    engines,
                    ordered,
                    sum(deps.count_streams(engine.id) for engine in engines),
                    now,
                    deps.is_serving(),
                    {engine.id for engine in engines if deps.is_lost(engine.id)},
                    self._measure_capacities(engines),
                    self._find_lead(service),
                    deps.measure_decode_speeds(engines),
                )
        return changes

    def _find_lead(self, service: str) -> timedelta:
        """Return for how long a rise in the number of streams may be carried on.

        After a change of the load, the number rises for as long as a stream lasts.
        """
        deps = self._deps
        duration = deps.estimate_stream_duration(service)
        return min(deps.find_switch_time(service), duration)

    def _measure_capacities(self, engines: list[UpstreamRecord]) -> Mapping[str, float]:
        decoders = [engine for engine in engines if engine.stage is Stage.DECODE]
        return self._deps.measure_capacities(decoders)

    def _forget_completed(self, engines: list[UpstreamRecord], now: timedelta) -> None:
        for engine in engines:
            ordered = self._ordered.get(engine.id)
            if ordered is None:
                continue
            if engine.stage is ordered.stage or now - ordered.at > ORDER_TIMEOUT:
                del self._ordered[engine.id]
                self._deps.announce_changing(set(self._ordered))

    def _is_observation_due(self) -> bool:
        if not self._deps.list_services():
            return False
        if self._observed_at is None:
            return True
        return self._deps.clock.monotonic() - self._observed_at >= OBSERVE_INTERVAL

    async def _observe(self) -> None:
        self._observed_at = self._deps.clock.monotonic()
        await self._lease.observe()

    async def _order(self, change: StageChange) -> None:
        engine = change.engine
        report = await self._fetch_report(engine)
        if report is None or report.is_switching or report.stage is change.stage:
            self._log(change, "not_due", 0)
            if report is not None:
                now = self._deps.clock.monotonic()
                self._ordered[engine.id] = _Ordered(change.stage, now)
            return
        if not self._lease.is_held:
            return
        now = self._deps.clock.monotonic()
        self._ordered[engine.id] = _Ordered(change.stage, now)
        self._deps.announce_changing(set(self._ordered))
        await asyncio.sleep(NOTICE_PERIOD.total_seconds())
        if not self._lease.is_held:
            return
        adapter = self._deps.adapter
        body = adapter.build_order(
            change.stage,
            self._name,
            self._lease.fence,
            report.orders_accepted,
        )
        exchange = await self._deps.call(
            engine, EngineCall("POST", adapter.ORDER_PATH, body)
        )
        status = exchange.head.status if exchange and exchange.head else 0
        if not status:
            # The order may still be carried out seconds later. The next order expects
            # the same number of previous orders, so only one of the two is accepted.
            del self._ordered[engine.id]
            self._deps.announce_changing(set(self._ordered))
        self._log(change, _name_outcome(status), status)

    async def _fetch_report(self, engine: UpstreamRecord) -> EngineReport | None:
        adapter = self._deps.adapter
        call = EngineCall("GET", adapter.REPORT_PATH)
        exchange = await self._deps.call(engine, call)
        if exchange is None or exchange.head is None or exchange.head.status != 200:
            return None
        return adapter.read_report(exchange.content)

    def _log(self, change: StageChange, outcome: str, status: int) -> None:
        self._deps.events.record(
            "stage.ordered",
            upstream=change.engine.id,
            stage=change.stage.value,
            fence=self._lease.fence,
            outcome=outcome,
            status=status,
        )


def _name_outcome(status: int) -> str:
    if status in ACCEPTED_STATUSES:
        return "accepted"
    return "refused" if status else "unanswered"
