"""Gateways that count and report usage, on one virtual clock and without sockets."""

import asyncio
from dataclasses import dataclass, field
from datetime import UTC, datetime, timedelta
from random import Random

from mustardquay.clocks import VirtualClock
from mustardquay.events import EventRing, HybridClock
from mustardquay.usage import (
    ReportLog,
    ReportSchedule,
    Source,
    UsageLedger,
    UsageReport,
    find_window,
)
from mustardquay_node.adapters import DutyAuthority
from mustardquay_node.leadership import LeaseKeeper
from mustardquay_node.usage import (
    DutyResult,
    ExchangeDependencies,
    ReporterDependencies,
    TrueClock,
    UsageExchange,
    UsageRecorder,
    UsageReporter,
)
from mustardquay_node.usage.reporters import USAGE_DOMAIN
from mustardquay_standins.stores import LocalTables

__all__ = ["CONFLICT_TIME", "SCHEDULE", "Duty", "DutyCallRecord", "Fleet", "Member"]

START = datetime(2026, 1, 1, tzinfo=UTC)
SCHEDULE = ReportSchedule(timedelta(seconds=5), timedelta(seconds=10))
CONFLICT_TIME = timedelta(seconds=3)
"""Time within which acts of two holders by turns are a conflict."""


class SkewedClock:
    """The clock of one instance: the shared timer, and a time of day that is off."""

    def __init__(self, timer: VirtualClock):
        self.timer = timer
        self.error = timedelta()

    def now(self):
        return self.timer.now() + self.error

    def monotonic(self):
        return self.timer.monotonic()


@dataclass(frozen=True)
class DutyCallRecord:
    at: timedelta
    holder: str
    fence: int
    report: UsageReport


@dataclass
class Duty:
    """The platform's service that takes reports, which checks no fences."""

    clock: VirtualClock
    calls: list[DutyCallRecord] = field(default_factory=list)
    mode: str = "accepts"
    """Or `throttles`, `is_down`, `loses_answers`."""

    async def report_usage(self, report: UsageReport, authority: DutyAuthority):
        if self.mode == "throttles":
            return DutyResult.THROTTLED
        if self.mode == "is_down":
            return DutyResult.UNANSWERED
        now = self.clock.monotonic()
        self.calls.append(
            DutyCallRecord(now, authority.holder, authority.fence, report)
        )
        if self.mode == "loses_answers":
            return DutyResult.UNANSWERED
        return DutyResult.ACCEPTED

    def close(self):
        """Do nothing."""

    @property
    def accepted(self):
        return {call.report.window: call.report for call in self.calls}

    def list_conflicts(self):
        """Return what the platform would count as two holders, or as two reports."""
        found = []
        for before, call in zip(self.calls, self.calls[1:], strict=False):
            if call.fence < before.fence:
                found.append(f"a lower fence: {before}, {call}")
            if call.fence == before.fence and call.holder != before.holder:
                found.append(f"one fence of two holders: {before}, {call}")
        for first, last in self._list_turns():
            if last.at - first.at < CONFLICT_TIME:
                found.append(f"holders by turns: {first}, {last}")
        counts = {}
        for call in self.calls:
            known = counts.setdefault(call.report.window, dict(call.report.counts))
            if known != dict(call.report.counts):
                found.append(f"two reports of {call.report.window}")
        return found

    def _list_turns(self):
        for index, first in enumerate(self.calls):
            others = [
                call for call in self.calls[index:] if call.holder != first.holder
            ]
            if others:
                later = self.calls[self.calls.index(others[0]) :]
                for last in later:
                    if last.holder == first.holder:
                        yield first, last
                        break


@dataclass
class Member:
    """One gateway."""

    name: str
    clock: SkewedClock
    true_clock: TrueClock
    events: EventRing
    recorder: UsageRecorder
    exchange: UsageExchange
    reporter: UsageReporter
    is_cut_off: bool = False
    """Its datagrams are lost, both ways."""
    is_frozen: bool = False


class Fleet:
    """Some gateways, the store and the platform's service."""

    def __init__(self, size: int = 3):
        self.timer = VirtualClock(START)
        self.store = LocalTables()
        self.duty = Duty(self.timer)
        self.names = [f"g{number}" for number in range(size)]
        self.truth: dict[int, dict[str, int]] = {}
        self._incarnation = 0
        self._loop = asyncio.new_event_loop()
        self.members = {name: self._make_member(name) for name in self.names}

    def close(self):
        self._loop.close()

    def kill(self, name):
        """Kill a gateway; its next process knows nothing."""
        self.members[name] = self._make_member(name)

    def count(self, name, organisation="acme"):
        """Have an upstream begin a request of a caller of a gateway."""
        window = find_window(self.timer.now(), SCHEDULE.length)
        counts = self.truth.setdefault(window, {})
        counts[organisation] = counts.get(organisation, 0) + 1
        member = self.members[name]
        member.recorder.note_begun(organisation, member.clock.monotonic())

    def run(self, seconds, step=0.25):
        """Let time pass; each gateway sends notices and attends to reports."""
        for _ in range(round(seconds / step)):
            self.timer.advance(timedelta(seconds=step))
            for name in self.names:
                self.turn(name)

    def turn(self, name):
        """Let one gateway send its notices and attend to reports."""
        member = self.members[name]
        if member.is_frozen:
            return
        member.exchange._send_next()
        self._loop.run_until_complete(self._attend(member))

    async def _attend(self, member):
        try:
            await member.reporter.run_once()
        except Exception as error:
            member.reporter._block(error)

    def _send(self, sender, data, more):
        if self.members[sender].is_cut_off:
            return
        for name, member in self.members.items():
            if name != sender and not member.is_cut_off and not member.is_frozen:
                member.exchange.receive(data)

    def _make_member(self, name):
        self._incarnation += 1
        source = Source(name, self._incarnation)
        clock = SkewedClock(self.timer)
        true_clock = TrueClock(clock)
        ledger = UsageLedger()
        log = ReportLog(SCHEDULE.retained_windows)
        events = EventRing(name, HybridClock(clock), 1000)
        recorder = UsageRecorder(source, SCHEDULE, ledger, clock, true_clock)
        exchange = UsageExchange(
            ExchangeDependencies(
                source=source,
                recorder=recorder,
                ledger=ledger,
                log=log,
                clock=clock,
                true_clock=true_clock,
                send=lambda data, more: self._send(name, data, more),
                list_gateways=lambda: self.names,
            )
        )
        lease = LeaseKeeper(
            USAGE_DOMAIN, f"{name}-{source.incarnation}", self.store, clock, events
        )
        reporter = UsageReporter(
            ReporterDependencies(
                name=name,
                store=self.store,
                clock=clock,
                true_clock=true_clock,
                random=Random(self._incarnation),
                events=events,
                lease=lease,
                client=self.duty,
                schedule=SCHEDULE,
                ledger=ledger,
                log=log,
                exchange=exchange,
                list_gateways=lambda: self.names,
                has_organisations=lambda: True,
            )
        )
        return Member(name, clock, true_clock, events, recorder, exchange, reporter)
