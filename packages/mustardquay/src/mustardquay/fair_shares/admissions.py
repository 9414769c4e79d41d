"""Admissions: the decision for one request, from uses, ranks and return positions.

Handles overload of a service by organisations of different size and requests of
different urgency. While all are admitted, the decision is that of the latency target
alone; no organisation and no rank is limited.
"""

from dataclasses import dataclass, field
from datetime import timedelta

from .fleet_uses import FleetUses, Standing
from .return_positions import ReturnPositions
from .wait_bounds import RankTracker, find_wait_factor

__all__ = ["FairAdmission", "Judgement"]


@dataclass(frozen=True, slots=True)
class Judgement:
    """How much of the admissible wait a request may use, and why."""

    factor: float
    standing: Standing

    def describe(self) -> dict[str, float | bool]:
        """Return the log fields of a refusal."""
        share = self.standing.share if self.standing.is_contended else -1.0
        return {
            "use_s": round(self.standing.use, 3),
            "share_s": round(share, 3),
            "demand_s": round(self.standing.demand, 3),
            "wait_factor": round(self.factor, 3),
        }


@dataclass(slots=True)
class FairAdmission:
    """What one gateway knows of the uses, ranks and refusals at all services."""

    uses: FleetUses = field(default_factory=FleetUses)
    ranks: RankTracker = field(default_factory=RankTracker)
    positions: ReturnPositions = field(default_factory=ReturnPositions)

    def judge(
        self,
        service: str,
        organisation: str,
        rank: int,
        is_return: bool,
        now: timedelta,
    ) -> Judgement:
        """Return how a request is limited now."""
        self.ranks.note(service, rank, now)
        standing = self.uses.find_standing(service, organisation, now)
        if not standing.is_contended:
            return Judgement(1.0, standing)
        ranks = self.ranks.list_ranks(service, now)
        factor = find_wait_factor(ranks, rank, standing.place, is_return)
        return Judgement(factor, standing)

    def note_demand(
        self, service: str, organisation: str, seconds: float, now: timedelta
    ) -> None:
        """Count the work of a caller's first attempt."""
        self.uses.own.note_demand(service, organisation, seconds, now)

    def note_admitted(
        self,
        service: str,
        organisation: str,
        rank: int,
        seconds: float,
        now: timedelta,
    ) -> None:
        """Count work that is sent to an upstream."""
        self.uses.own.note_admitted(service, organisation, seconds, now)
        self.positions.note_admitted(service, rank, now)

    def take_position(
        self,
        service: str,
        rank: int,
        wait: timedelta,
        time_left: timedelta,
        now: timedelta,
    ) -> timedelta:
        """Return after what time a caller that is refused may come back."""
        return self.positions.take(service, rank, wait, time_left, now)
