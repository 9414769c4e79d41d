"""Settling and sending of usage reports by the one gateway that holds the lease."""

import asyncio
from collections.abc import Callable, Collection
from dataclasses import dataclass
from datetime import datetime, timedelta
from random import Random

from mustardquay.budgets import draw_delay
from mustardquay.clocks import Clock
from mustardquay.errors import MustardquayError
from mustardquay.events import EventRing
from mustardquay.leases import fence_writes
from mustardquay.tables import Committed, Write
from mustardquay.usage import (
    REPORTS,
    ReportLog,
    ReportSchedule,
    UsageLedger,
    UsageReport,
    find_window,
    find_window_end,
    read_reports,
    write_report,
)

from ..adapters import DutyAuthority, StoreTables
from ..leadership import LeaseKeeper
from ..loops import cancel_task
from .duty_clients import DutyClient, DutyResult
from .exchanges import UsageExchange
from .true_clocks import TrueClock

__all__ = ["USAGE_DOMAIN", "ReporterDependencies", "UsageReporter"]

USAGE_DOMAIN = "usage"
"""Domain of the lease."""
CHECK_INTERVAL = timedelta(milliseconds=200)
"""Time between two checks whether a report is due."""
OBSERVE_INTERVAL = timedelta(seconds=1)
"""Time between two attempts to take the lease."""
BLOCK_TIME = timedelta(milliseconds=800)
"""Mean time without attempts after an error of the store."""
MIN_RETRY_DELAY = timedelta(milliseconds=300)
MAX_RETRY_DELAY = timedelta(seconds=2)


@dataclass(slots=True)
class ReporterDependencies:
    """Dependencies of a `UsageReporter`."""

    name: str
    store: StoreTables
    clock: Clock
    """A clock that keeps running while the machine is suspended."""
    true_clock: TrueClock
    random: Random
    events: EventRing
    lease: LeaseKeeper
    client: DutyClient
    schedule: ReportSchedule
    ledger: UsageLedger
    log: ReportLog
    exchange: UsageExchange
    list_gateways: Callable[[], Collection[str]]
    """Lists the gateways that are registered, including this one."""
    has_organisations: Callable[[], bool]
    """Returns whether the configuration in force has organisations."""
    count_report: Callable[[str], None] = lambda outcome: None
    """Counts an attempt to send a report, by outcome."""


class UsageReporter:
    """Attends to the windows whose reports are due, after it has taken the lease."""

    def __init__(self, deps: ReporterDependencies):
        self._deps = deps
        self._attempted_at: timedelta | None = None
        self._retry_at: dict[int, timedelta] = {}
        self._failures: dict[int, int] = {}
        self._has_read = False
        """Whether the settled reports were read since the lease was taken."""
        self._fence = 0
        self._blocked_until = timedelta()
        self._knows_since = deps.true_clock.now()
        """Since when this process would know of a restore of the store, and the store
        has not been restored, by the true time."""
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start to attend to reports."""
        self._task = asyncio.create_task(self._run())

    async def close(self) -> None:
        """Stop without releasing the lease: another holder must wait out its term."""
        await cancel_task(self._task)
        self._deps.client.close()

    def note_era(self) -> None:
        """Give up the lease: the store was restored from a copy.

        Windows that have ended are no longer settled. Their reports may have been
        settled and sent after the copy was made, with other counts.
        """
        self._knows_since = self._deps.true_clock.now()
        self._deps.lease.note_era()
        self._has_read = False

    async def _run(self) -> None:
        await self._observe_first()
        while True:
            await asyncio.sleep(CHECK_INTERVAL.total_seconds())
            try:
                await self.run_once()
            except MustardquayError as error:
                self._block(error)

    async def _observe_first(self) -> None:
        """Observe the lease early: the term since then need not be waited out again."""
        try:
            await self._deps.lease.observe()
        except MustardquayError as error:
            self._block(error)

    def _block(self, error: MustardquayError) -> None:
        """Attempt nothing for some time, as the store could not be used."""
        deps = self._deps
        delay = BLOCK_TIME * (0.5 + deps.random.random())
        self._blocked_until = deps.clock.monotonic() + delay
        deps.events.record("usage.turn_failed", error=str(error))

    async def run_once(self) -> None:
        """Settle and send the reports that are due, if this process can lead."""
        deps = self._deps
        now = deps.true_clock.now()
        current = find_window(now, deps.schedule.length)
        self._forget_before(current)
        due = self._list_due(current, now)
        if not due or not self._may_attempt(due[0], now):
            return
        if not await self._lead():
            return
        for window in due:
            await self._attend(window)

    def _list_due(self, current: int, now: datetime) -> list[int]:
        """Return the windows that lack a delivered report which could be in time."""
        deps = self._deps
        counted = deps.ledger.list_windows()
        if not counted or not deps.has_organisations():
            return []
        first = max(counted[0], current - deps.schedule.retained_windows)
        timer = deps.clock.monotonic()
        return [
            window
            for window in range(first, current)
            if window not in deps.log.delivered
            and deps.schedule.is_open(window, now)
            and timer >= self._retry_at.get(window, timedelta())
            and self._is_ready(window, now)
        ]

    def _is_ready(self, window: int, now: datetime) -> bool:
        """Return whether a window is settled, or may be now."""
        deps = self._deps
        if window in deps.log.settled:
            return True
        missing = deps.ledger.list_missing(window, deps.list_gateways())
        return deps.schedule.may_settle(window, now, missing)

    def _may_attempt(self, window: int, now: datetime) -> bool:
        """Return whether it is this process's turn to lead."""
        deps = self._deps
        timer = deps.clock.monotonic()
        if timer < self._blocked_until:
            return False
        if self._fence:
            return True
        attempted = self._attempted_at
        if attempted is not None and timer - attempted < OBSERVE_INTERVAL:
            return False
        rank = deps.exchange.list_alive().index(deps.name)
        has_leader = deps.exchange.find_leader() is not None
        if not deps.schedule.is_turn(window, now, rank, has_leader):
            return False
        self._attempted_at = timer
        return True

    async def _lead(self) -> bool:
        """Take or renew the lease; a new holder reads what others have settled."""
        deps = self._deps
        is_held = await deps.lease.renew()
        fence = deps.lease.fence if is_held else 0
        if self._fence != fence:
            self._fence = fence
            self._has_read = False
            deps.exchange.leads = is_held
            deps.exchange.send_now()
        if not is_held:
            return False
        if not self._has_read:
            deps.log.add_settled(read_reports(await deps.store.scan(REPORTS)))
            self._has_read = True
        return True

    async def _attend(self, window: int) -> None:
        deps = self._deps
        report = deps.log.settled.get(window)
        if report is None:
            report = await self._settle(window)
        if report is None:
            return
        if not deps.lease.is_held and not await self._lead():
            return
        authority = DutyAuthority(deps.name, deps.lease.fence)
        result = await deps.client.report_usage(report, authority)
        self._note_result(report, result)

    async def _settle(self, window: int) -> UsageReport | None:
        """Write what is sent for a window; None if it can't be settled.

        After a write whose answer was lost, the next attempt writes the same counts, or
        reads those that were settled.
        """
        deps = self._deps
        if self._may_have_lost_report(window):
            self._postpone(window)
            return None
        report = UsageReport(window, deps.ledger.sum_counts(window))
        missing = deps.ledger.list_missing(window, deps.list_gateways())
        condition, writes = write_report(report)
        expired = [
            Write(REPORTS, key, None) for key in deps.log.list_expired_keys(window)
        ]
        transaction = fence_writes(
            USAGE_DOMAIN, deps.lease.revision, *writes, *expired, conditions=condition
        )
        result = await deps.store.transact(transaction)
        is_settled = isinstance(result, Committed)
        deps.events.record(
            "usage.settled" if is_settled else "usage.settled_before",
            window=window,
            requests=sum(report.counts.values()),
            organisations=len(report.counts),
            missing=missing,
            fence=deps.lease.fence,
        )
        if not is_settled:
            # Another holder has settled it, or an own write whose answer was lost.
            self._has_read = False
            self._postpone(window)
            return None
        deps.log.add_settled([report])
        return report

    def _may_have_lost_report(self, window: int) -> bool:
        """Return whether the store may have lost the report of a window.

        It may have been settled and sent before the store was restored from a copy,
        also before this process was started.
        """
        return find_window_end(window, self._deps.schedule.length) <= self._knows_since

    def _note_result(self, report: UsageReport, result: DutyResult) -> None:
        deps = self._deps
        window = report.window
        deps.count_report(result.value)
        deps.events.record(
            "usage.reported",
            window=window,
            outcome=result.value,
            requests=sum(report.counts.values()),
            fence=deps.lease.fence,
            attempt=self._failures.get(window, 0) + 1,
        )
        if result is DutyResult.ACCEPTED:
            deps.log.delivered.add(window)
            deps.exchange.send_now()
        else:
            self._postpone(window)

    def _postpone(self, window: int) -> None:
        """Retry a window later, at growing intervals."""
        failures = self._failures.get(window, 0)
        self._failures[window] = failures + 1
        delay = draw_delay(
            self._deps.random, failures, MIN_RETRY_DELAY, MAX_RETRY_DELAY
        )
        self._retry_at[window] = self._deps.clock.monotonic() + delay

    def _forget_before(self, current: int) -> None:
        oldest = current - self._deps.schedule.retained_windows
        self._deps.ledger.forget_before(oldest)
        self._deps.log.forget_before(current)
        self._retry_at = {k: v for k, v in self._retry_at.items() if k >= oldest}
        self._failures = {k: v for k, v in self._failures.items() if k >= oldest}
