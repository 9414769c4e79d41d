"""Loads of a plain service by organisations, and their outcomes."""

from collections.abc import Callable
from dataclasses import dataclass

__all__ = ["SLOTS", "WORK", "Caller", "Kind", "Load", "Outcome"]

WORK = 0.09
"""Mean seconds of work of a request."""
SLOTS = 6
"""Requests that an upstream runs at a time."""


@dataclass(frozen=True, slots=True)
class Kind:
    """Requests of one route."""

    rank: int
    part: float
    """Part of all requests."""
    target: float = 0.406
    timeout: float = 4.06
    value_in_time: float = 1.0
    value_late: float = 0.3


KINDS = (Kind(0, 0.3), Kind(2, 0.7))


@dataclass(frozen=True, slots=True)
class Load:
    """Load profile: `ratio` times the capacity between two phases with `base` times."""

    gateways: int = 4
    organisations: int = 77
    ratio: float = 1.5
    base: float = 0.5
    seconds: tuple[float, float, float] = (2.0, 10.0, 4.0)
    kinds: tuple[Kind, ...] = KINDS
    seed: int = 1
    anonymous_part: float = 0.0
    """Part of the requests that have no organisation."""
    digest_delay: float = 0.001
    digest_loss: float = 0.0
    silent: frozenset[int] = frozenset()
    """Gateways that send no digests."""
    restarts: tuple[tuple[float, int], ...] = ()
    """When which gateways start anew."""
    cut: tuple[float, float] = (0.0, 0.0)
    """Time in which gateways with odd numbers exchange nothing with the others."""

    @property
    def upstreams(self) -> int:
        """Return the number of upstreams."""
        return max(4, self.gateways // 4)

    @property
    def capacity(self) -> float:
        """Return the requests per second that the service can run."""
        return self.upstreams * SLOTS / WORK


@dataclass(slots=True)
class Caller:
    """The request of one caller and its results."""

    at: float
    organisation: str
    kind: Kind
    work: float
    refusals: int = 0
    answered_after: float | None = None
    due: float | None = None

    @property
    def is_served(self) -> bool:
        """Return whether the answer came before the deadline."""
        return self.answered_after is not None

    @property
    def value(self) -> float:
        """Return what the answer is worth."""
        if self.answered_after is None:
            return 0.0
        is_in_time = self.answered_after <= self.kind.target
        return self.kind.value_in_time if is_in_time else self.kind.value_late


@dataclass(frozen=True, slots=True)
class Outcome:
    """The results of the callers that came in the middle phase."""

    callers: list[Caller]
    unasked_refusals: int
    """Refusals while the service had free slots and nothing waited."""

    def measure_served(self, fits: Callable[[Caller], bool] = lambda _: True) -> float:
        """Return the served part of the callers that fit."""
        fitting = [each for each in self.callers if fits(each)]
        return sum(each.is_served for each in fitting) / max(len(fitting), 1)

    def measure_value(self) -> float:
        """Return the value as a part of that of answers that are all in time."""
        return sum(each.value for each in self.callers) / max(len(self.callers), 1)

    def measure_in_time(self) -> float:
        """Return the part of the callers that got their answer in time."""
        in_time = [each for each in self.callers if each.value == 1.0]
        return len(in_time) / max(len(self.callers), 1)

    def list_served(self, fewest: int = 30) -> dict[str, float]:
        """Return the served part of each organisation with enough callers."""
        by_name: dict[str, list[Caller]] = {}
        for each in self.callers:
            by_name.setdefault(each.organisation, []).append(each)
        return {
            name: sum(each.is_served for each in callers) / len(callers)
            for name, callers in by_name.items()
            if len(callers) >= fewest
        }
