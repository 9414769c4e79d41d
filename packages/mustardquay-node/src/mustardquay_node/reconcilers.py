"""Reconcilers: bring an agent's upstream to its desired state.

`OrderStateMachine` decides on each step; this module executes it on the table service
and the engine. The upstream gets requests only while `ready` is true.
"""

import asyncio
import logging
from collections.abc import Callable
from datetime import timedelta
from random import Random

from blinker import Signal

from mustardquay.clocks import Clock
from mustardquay.encodings import decode, encode
from mustardquay.errors import MustardquayError, StoreResultUnknown, StoreUnavailable
from mustardquay.order_state_machine import OrderResult, OrderStateMachine, Step
from mustardquay.orders import (
    ENGINE_CLAIMS,
    ENGINE_REPORTS,
    ORDERS,
    Claim,
    EngineReport,
    EngineState,
    OrderRow,
    build_engine_key,
)
from mustardquay.tables import Committed, Condition, TableService, Transaction, Write

from .engines import EngineControl
from .loops import cancel_task, start_loop

__all__ = ["Reconciler", "order_ended", "order_sent", "readiness_changed"]

logger = logging.getLogger(__name__)

readiness_changed = Signal("Sent by a reconciler, with the argument `ready`.")
order_sent = Signal("Sent by a reconciler, with the argument `order`.")
order_ended = Signal("Sent by a reconciler, with the argument `answer`.")

SEND_WINDOW = timedelta(seconds=5)
POLL_RATE = 100.0
"""Order rows that all agents together read per second."""
SHORTEST_POLL = timedelta(seconds=2)
STEPS = 4
"""Maximum steps in one run: claim, reread, send and one in reserve."""


class Reconciler:
    """Keeps one upstream in the state of its order row.

    `agent` must be unique for each start of a process. `is_idle` returns whether no
    request runs on the upstream. `count_agents` returns the number of agents, which
    limits the polling rate of all agents together.
    """

    def __init__(
        self,
        upstream: str,
        domain: str,
        agent: str,
        tables: TableService,
        engine: EngineControl,
        clock: Clock,
        random: Random,
        fencing: bool,
        longest_order: timedelta,
        is_idle: Callable[[], bool],
        count_agents: Callable[[], int] = lambda: 1,
        interval: timedelta = timedelta(seconds=1),
        send_window: timedelta = SEND_WINDOW,
    ):
        self._key = build_engine_key(domain, upstream)
        self._agent = agent
        self._tables = tables
        self._engine = engine
        self._clock = clock
        self._random = random
        self._is_idle = is_idle
        self._count_agents = count_agents
        self._interval = interval
        self._machine = OrderStateMachine(fencing, longest_order, send_window)
        self._poll_at = timedelta.min
        self._reported: EngineReport | None = None
        self._ready = False
        self._task: asyncio.Task[None] | None = None

    @property
    def ready(self) -> bool:
        """Return whether the upstream may get requests."""
        return self._machine.ready

    @property
    def draining(self) -> bool:
        """Return whether the order row takes the upstream out of service."""
        row = self._machine.row
        return row is not None and not row.desired.serving

    @property
    def state(self) -> EngineState | None:
        """Return the upstream's last observed state, or None."""
        return self._machine.state

    @property
    def row(self) -> OrderRow | None:
        """Return the order row that was last read."""
        return self._machine.row

    @property
    def incarnation(self) -> int:
        """Return the number of this agent's claim, or 0 while it has none."""
        return self._machine.incarnation

    @property
    def superseded(self) -> bool:
        """Return whether another agent has claimed the upstream; this one must stop."""
        return self._machine.superseded

    async def start(self) -> None:
        """Start reconciling."""
        await self._engine.start()
        self._task = start_loop(self.run_once, self._interval, self._random)

    async def close(self) -> None:
        """Stop; the engine completes an order in progress."""
        await cancel_task(self._task)
        self._task = None
        await self._engine.close()

    def poll_soon(self) -> None:
        """Read the order row in the next run, after a notice that it has changed."""
        self._poll_at = timedelta.min

    async def run_once(self) -> None:
        """Observe the engine and execute the steps due; never raises store errors."""
        await self._observe()
        try:
            await self._poll()
            for _ in range(STEPS):
                step = self._machine.decide(self._clock.monotonic(), self._is_idle())
                if not await self._take(step):
                    break
            await self._report()
        except (StoreUnavailable, StoreResultUnknown) as error:
            self._machine.note_store(False)
            logger.info("%s: the table service is unavailable: %s", self._key, error)
        except MustardquayError as error:
            logger.error("%s: %s", self._key, error)
        self._announce()

    async def _observe(self) -> None:
        asked_at = self._clock.monotonic()
        self._machine.observe(await self._engine.read_state(), asked_at)

    async def _poll(self) -> None:
        now = self._clock.monotonic()
        if now < self._poll_at:
            return
        wait = max(timedelta(seconds=self._count_agents() / POLL_RATE), SHORTEST_POLL)
        self._poll_at = now + wait * (0.75 + self._random.random() / 2)
        self._machine.note_row(await self._read_row())

    async def _take(self, step: Step) -> bool:
        """Execute a step; return whether another may follow at once."""
        if step is Step.CLAIM:
            return await self._claim()
        if step is Step.REREAD:
            await self._reread()
            return True
        if step is Step.SEND:
            await self._send()
        return False

    async def _claim(self) -> bool:
        row = await self._tables.read(ENGINE_CLAIMS, self._key)
        if row is not None and decode(Claim, row.value).agent == self._agent:
            # Written by an earlier transaction whose answer was lost.
            self._machine.claim(row.revision, self._clock.monotonic())
            return True
        revision = 0 if row is None else row.revision
        result = await self._tables.transact(
            Transaction(
                (Condition(ENGINE_CLAIMS, self._key, revision),),
                (Write(ENGINE_CLAIMS, self._key, encode(Claim(self._agent))),),
            )
        )
        if not isinstance(result, Committed):
            return False
        self._machine.claim(result.revisions[0], self._clock.monotonic())
        return True

    async def _reread(self) -> None:
        started = self._clock.monotonic()
        order = await self._read_row()
        claim = await self._tables.read(ENGINE_CLAIMS, self._key)
        self._machine.reread(order, 0 if claim is None else claim.revision, started)

    async def _send(self) -> None:
        order = self._machine.begin_order(self._clock.monotonic(), self._is_idle())
        if order is None:
            return
        order_sent.send(self, order=order)
        timeout = self._machine.get_send_window(self._clock.monotonic())
        answer = OrderResult.LOST
        try:
            answer = await self._engine.send_order(order, timeout)
        finally:
            self._machine.end_order(answer, self._clock.monotonic())
        logger.info("%s: order %d: %s", self._key, order.generation, answer)
        order_ended.send(self, answer=answer)

    async def _report(self) -> None:
        report = self._build_report()
        if report is None or report == self._reported or self._machine.superseded:
            return
        result = await self._tables.transact(
            Transaction(
                (Condition(ENGINE_CLAIMS, self._key, self._machine.incarnation),),
                (Write(ENGINE_REPORTS, self._key, encode(report)),),
            )
        )
        if result:
            self._reported = report
        else:
            await self._reread()

    def _build_report(self) -> EngineReport | None:
        machine = self._machine
        if not machine.incarnation or machine.state is None:
            return None
        generation = self._reported.generation if self._reported else 0
        if machine.reached and machine.row is not None:
            generation = machine.row.generation
        return EngineReport(
            generation,
            machine.ready,
            machine.reached and self.draining and self._is_idle(),
            machine.state.role,
            dict(machine.state.models),
            tuple(machine.state.adapters),
            machine.incarnation,
        )

    async def _read_row(self) -> OrderRow | None:
        row = await self._tables.read(ORDERS, self._key)
        # Only after the store has answered. A run without a call to the store would
        # otherwise take an engine out of service while it is busy and can't be changed.
        self._machine.note_store(True)
        return None if row is None else decode(OrderRow, row.value)

    def _announce(self) -> None:
        if self.ready != self._ready:
            self._ready = self.ready
            readiness_changed.send(self, ready=self._ready)
