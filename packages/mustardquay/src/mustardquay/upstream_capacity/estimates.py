"""Capacity estimates: how fast each upstream is now, and how fast it is lastingly.

Designed for upstreams that share their machines: work takes several times as long in
short spells, and some upstreams are slower than others for good.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from datetime import timedelta
from math import exp, isfinite

from .completion_times import estimate_wait
from .lasting_factors import LastingFactors, clamp_factor
from .load_reports import CapacityNotice, LoadReport

__all__ = ["MAX_NOTICES", "CapacityEstimates"]

SPELL_TIME = timedelta(milliseconds=600)
"""Time constant with which a reported factor returns to 1: machines that are shared
are busy or free for about as long."""
QUEUE_LIFETIME = timedelta(milliseconds=300)
"""How long a reported queue is used; in it an upstream completes several requests in
each slot."""
MAX_NOTICE_AGE = timedelta(seconds=2)
"""Older notices are ignored: their speed has lost nearly all weight."""
NOTABLE_ERROR = 0.2
"""Relative error of the known speed, and error of the known wait in times of one
request, from which a report is sent to other gateways. Smaller ones change few choices.
"""
CONFIRM_INTERVAL = timedelta(seconds=5)
"""How long a speed may go unconfirmed, so that gateways that have started know which
upstreams report theirs."""
MIN_ANSWERS = 2
"""Answers whose times are sent together while few are known."""
KNOWN_PER_ANSWER = 12
"""Known answers of an upstream from which one more is sent together: the more are
known, the less does each one change."""
MAX_NOTICES = 8
"""Notices in one digest, about 260 bytes. The others follow with the next one."""


@dataclass(frozen=True, slots=True)
class _Queue:
    others: int
    """Requests of other gateways at the upstream."""
    at: timedelta


@dataclass(frozen=True, slots=True)
class _Speed:
    work_time: float
    at: timedelta


@dataclass(frozen=True, slots=True)
class _Reported:
    report: LoadReport
    at: timedelta


@dataclass(slots=True)
class CapacityEstimates:
    """The newest figures that each upstream has reported, by its id.

    Each figure is kept by itself, since a report may lack some.
    """

    _queues: dict[str, _Queue] = field(default_factory=dict)
    _speeds: dict[str, _Speed] = field(default_factory=dict)
    _lasting: LastingFactors = field(default_factory=LastingFactors)
    _unshared: dict[str, _Reported] = field(default_factory=dict)
    """Own reports that the next digests are to contain."""
    _answers: dict[str, tuple[int, float]] = field(default_factory=dict)
    """Answers that no digest has contained: their number and the sum of their times."""
    _forgotten: dict[str, timedelta | None] = field(default_factory=dict)
    """When upstreams were dropped; None until the time is next known."""

    def note_report(
        self, id: str, report: LoadReport, now: timedelta, own: int = 0
    ) -> None:
        """Record the report in an answer of an upstream.

        `own` is the number of this gateway's requests at the upstream, which the report
        includes.
        """
        is_news = self._is_news(id, report, own, now)
        self._put(id, report, now, own)
        if id in self._speeds and (is_news or id in self._unshared):
            self._unshared[id] = _Reported(report, now)

    def note_answer(
        self, id: str, seconds: float, now: timedelta, service: str = ""
    ) -> None:
        """Learn from the time of a plain answer, without the time in the queue.

        To be called after the report in the same answer was recorded.
        """
        if id not in self._speeds or not isfinite(seconds) or seconds <= 0:
            return
        usual = seconds / self.current_factor(id, now)
        self._lasting.note(id, service, usual, 1, now)
        answers, total = self._answers.get(id, (0, 0.0))
        self._answers[id] = (answers + 1, total + usual)
        known = self._lasting.count(id)
        if answers + 1 >= MIN_ANSWERS + known / KNOWN_PER_ANSWER:
            self._unshared.setdefault(id, _Reported(LoadReport(), now))

    def apply_notices(
        self,
        notices: Iterable[CapacityNotice],
        now: timedelta,
        count_own: Callable[[str], int] = lambda id: 0,
        find_service: Callable[[str], str] = lambda id: "",
    ) -> int:
        """Apply the notices of another gateway; return how many were news.

        `count_own` returns the number of this gateway's requests at an upstream.
        """
        self._stamp_forgotten(now)
        applied = 0
        for notice in notices:
            at = now - max(notice.age, timedelta())
            dropped_at = self._forgotten.get(notice.upstream)
            is_old = dropped_at is not None and at <= dropped_at
            if is_old or notice.age > MAX_NOTICE_AGE:
                continue
            report = LoadReport(notice.running, notice.waiting, None, notice.work_time)
            own = count_own(notice.upstream)
            applied += self._put(notice.upstream, report, at, own)
            seconds = notice.answer_seconds
            if notice.answers > 0 and isfinite(seconds) and seconds > 0:
                service = find_service(notice.upstream)
                self._lasting.note(
                    notice.upstream, service, seconds, notice.answers, now
                )
        return applied

    def list_notices(
        self, now: timedelta, limit: int = MAX_NOTICES
    ) -> tuple[CapacityNotice, ...]:
        """Return the reports for the next digest, those that waited longest first.

        Each is returned once.
        """
        self._stamp_forgotten(now)
        chosen = list(self._unshared)[:limit]
        return tuple(self._take_notice(id, now) for id in chosen)

    def current_factor(self, id: str, now: timedelta) -> float:
        """Return how many times as long work takes now as is usual for an upstream.

        1.0 without a report. The reported value loses weight with its age.
        """
        speed = self._speeds.get(id)
        if speed is None or speed.work_time == 1.0:
            return 1.0
        weight = exp(-(max(now - speed.at, timedelta()) / SPELL_TIME))
        return 1.0 + weight * (speed.work_time - 1.0)

    def lasting_factor(self, id: str) -> float:
        """Return how much longer work takes lastingly than at the mean upstream."""
        return self._lasting.get(id)

    def count_others(self, id: str, now: timedelta) -> float:
        """Return the requests of other gateways at an upstream by its newest report."""
        queue = self._queues.get(id)
        if queue is None or now - queue.at >= QUEUE_LIFETIME:
            return 0.0
        return float(queue.others)

    def has_notices(self) -> bool:
        """Return whether the next digest is to contain reports."""
        return bool(self._unshared)

    def reports_speed(self, id: str) -> bool:
        """Return whether an upstream has reported how long its work takes."""
        return id in self._speeds

    def measure_age(self, id: str, now: timedelta) -> timedelta | None:
        """Return the age of the newest reported speed, None without one."""
        speed = self._speeds.get(id)
        return None if speed is None else now - speed.at

    def count_reporting(self, now: timedelta) -> int:
        """Return the number of upstreams whose reported speed is still in use."""
        return sum(now - speed.at <= MAX_NOTICE_AGE for speed in self._speeds.values())

    def count_slow(self, now: timedelta, factor: float) -> int:
        """Return the number of upstreams that take at least a multiple of the usual."""
        return sum(self.current_factor(id, now) >= factor for id in self._speeds)

    def forget(self, id: str) -> None:
        """Drop an upstream that was removed or has restarted."""
        if id in self._queues or id in self._speeds:
            # Reports of the earlier incarnation may still come from other gateways.
            self._forgotten[id] = None
        for known in (self._queues, self._speeds, self._unshared, self._answers):
            known.pop(id, None)
        self._lasting.forget(id)

    def _take_notice(self, id: str, now: timedelta) -> CapacityNotice:
        reported = self._unshared.pop(id)
        report, age = reported.report, now - reported.at
        answers, seconds = self._answers.pop(id, (0, 0.0))
        return CapacityNotice(
            id, report.running, report.waiting, report.work_time, age, answers, seconds
        )

    def _put(self, id: str, report: LoadReport, at: timedelta, own: int) -> bool:
        """Keep the figures of a report that are newer than the known ones."""
        is_news = False
        queue, speed = self._queues.get(id), self._speeds.get(id)
        if report.queue is not None and (queue is None or at >= queue.at):
            self._queues[id] = _Queue(max(report.queue - own, 0), at)
            is_news = True
        if report.work_time is not None and (speed is None or at >= speed.at):
            self._speeds[id] = _Speed(clamp_factor(report.work_time), at)
            is_news = True
        return is_news

    def _is_news(self, id: str, report: LoadReport, own: int, now: timedelta) -> bool:
        """Return whether other gateways should know a report.

        They know what this gateway knows, apart from its own requests. Most reports
        confirm it, and each notice takes processor time in all gateways.
        """
        speed = self._speeds.get(id)
        if report.work_time is not None:
            if speed is None or now - speed.at > CONFIRM_INTERVAL:
                return True
            known = self.current_factor(id, now)
            if abs(clamp_factor(report.work_time) - known) > NOTABLE_ERROR * known:
                return True
        if report.queue is None or not report.slots or not self._lasting.has(id):
            return False
        wait = estimate_wait(self.count_others(id, now) + own, report.slots)
        return abs(estimate_wait(report.queue, report.slots) - wait) > NOTABLE_ERROR

    def _stamp_forgotten(self, now: timedelta) -> None:
        """Date the drops since the last call, and discard those that are long past."""
        if not self._forgotten:
            return
        self._forgotten = {
            id: now if at is None else at
            for id, at in self._forgotten.items()
            if at is None or now - at <= MAX_NOTICE_AGE
        }
