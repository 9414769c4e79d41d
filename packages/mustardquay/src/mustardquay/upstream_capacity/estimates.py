"""Capacity estimates: how fast each upstream is now, and how fast it is lastingly.

Designed for upstreams that share their machines: work takes several times as long in
short spells, and some upstreams are slower than others for good.
"""

from dataclasses import dataclass, field
from datetime import timedelta

from .load_reports import LoadReport

__all__ = ["CapacityEstimates"]

SPELL_TIME = timedelta(milliseconds=600)
"""Time constant with which a reported factor returns to 1: machines that are shared
are busy or free for about as long."""
MAX_FACTOR = 8.0
"""Bound of all factors; a slower upstream gets no work at this factor already."""


@dataclass(frozen=True, slots=True)
class _Reported:
    report: LoadReport
    at: timedelta


@dataclass(slots=True)
class CapacityEstimates:
    """The newest report of each upstream, by its id."""

    _reports: dict[str, _Reported] = field(default_factory=dict)

    def note_report(self, id: str, report: LoadReport, now: timedelta) -> None:
        """Record the report in an answer of an upstream."""
        self._reports[id] = _Reported(report, now)

    def current_factor(self, id: str, now: timedelta) -> float:
        """Return how many times as long work takes now as is usual for an upstream.

        1.0 without a report. The reported value loses weight with its age.
        """
        reported = self._reports.get(id)
        if reported is None or reported.report.work_time is None:
            return 1.0
        work_time = min(max(reported.report.work_time, 1 / MAX_FACTOR), MAX_FACTOR)
        weight = 0.5 ** ((now - reported.at) / SPELL_TIME)
        return 1.0 + weight * (work_time - 1.0)

    def lasting_factor(self, id: str) -> float:
        """Return how much longer work takes lastingly than at the mean upstream."""
        return 1.0

    def forget(self, id: str) -> None:
        """Drop an upstream that was removed or has restarted."""
        self._reports.pop(id, None)
