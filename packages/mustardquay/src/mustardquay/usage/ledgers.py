"""Ledgers: the requests that began in each window, as counted by each gateway."""

from collections import Counter
from collections.abc import Collection, Mapping
from dataclasses import dataclass, field

__all__ = ["Source", "UsageLedger", "WindowUsage"]


@dataclass(frozen=True, slots=True, order=True)
class Source:
    """One process that counts; a gateway that restarts begins a new incarnation."""

    gateway: str
    incarnation: int


@dataclass(frozen=True, slots=True)
class WindowUsage:
    """What one process has counted in one window; counts only ever rise."""

    window: int
    counts: Mapping[str, int]
    """By organisation; may have only some of them."""
    is_closed: bool = False
    """Whether the process counts no more in this window."""
    total: int = 0
    """The sum over all organisations, by which a receiver knows whether it has all."""


@dataclass(slots=True)
class _Entry:
    counts: Counter[str] = field(default_factory=Counter)
    closed_total: int | None = None
    """The final sum; None while the process still counts."""

    @property
    def is_complete(self) -> bool:
        """Return whether all that the process counted is known."""
        return self.closed_total == self.counts.total()


class UsageLedger:
    """The counts of this process and those that others have sent, by window.

    Messages may be lost, repeated or overtake each other: counts are cumulative, and
    the highest one holds.
    """

    def __init__(self) -> None:
        self._windows: dict[int, dict[Source, _Entry]] = {}

    def count(self, source: Source, window: int, organisation: str) -> int:
        """Count one request; returns the organisation's count so far."""
        counts = self._get(source, window).counts
        counts[organisation] += 1
        return counts[organisation]

    def merge(self, source: Source, usage: WindowUsage) -> None:
        """Add what a process has sent."""
        entry = self._get(source, usage.window)
        for organisation, count in usage.counts.items():
            entry.counts[organisation] = max(entry.counts[organisation], count)
        if usage.is_closed:
            entry.closed_total = max(entry.closed_total or 0, usage.total)

    def close(self, source: Source, window: int) -> None:
        """Note that a process counts no more in a window."""
        entry = self._get(source, window)
        entry.closed_total = entry.counts.total()

    def is_closed(self, source: Source, window: int) -> bool:
        """Return whether a process counts no more in a window."""
        return self._get(source, window).closed_total is not None

    def find_usage(self, source: Source, window: int) -> WindowUsage:
        """Return all that a process has counted in a window."""
        entry = self._get(source, window)
        total = entry.counts.total()
        is_closed = entry.closed_total is not None
        return WindowUsage(window, dict(entry.counts), is_closed, total)

    def sum_counts(self, window: int) -> dict[str, int]:
        """Return the requests of each organisation in a window, of all processes.

        >>> ledger = UsageLedger()
        >>> _ = ledger.count(Source("a", 1), 7, "acme")
        >>> ledger.merge(Source("b", 1), WindowUsage(7, {"acme": 2}, True, 2))
        >>> ledger.sum_counts(7)
        {'acme': 3}
        """
        total: Counter[str] = Counter()
        for entry in self._windows.get(window, {}).values():
            total += entry.counts
        return dict(sorted(total.items()))

    def list_missing(self, window: int, gateways: Collection[str]) -> list[str]:
        """Return the gateways whose counts of a window are not known to be complete.

        Of a gateway that was killed, what its last process has sent is all there is;
        the process that follows it closes the window.
        """
        entries = self._windows.get(window, {})
        latest: dict[str, Source] = {}
        for source in sorted(entries):
            latest[source.gateway] = source
        return [
            gateway
            for gateway in sorted(gateways)
            if gateway not in latest or not entries[latest[gateway]].is_complete
        ]

    def list_windows(self) -> list[int]:
        """Return the windows in which something was counted, in order."""
        return sorted(
            window
            for window, entries in self._windows.items()
            if any(entry.counts for entry in entries.values())
        )

    def forget_before(self, window: int) -> None:
        """Drop older windows."""
        for known in [each for each in self._windows if each < window]:
            del self._windows[known]

    def _get(self, source: Source, window: int) -> _Entry:
        entries = self._windows.setdefault(window, {})
        if source not in entries:
            entries[source] = _Entry()
        return entries[source]
