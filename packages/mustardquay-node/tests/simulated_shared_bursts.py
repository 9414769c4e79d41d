"""Simulation of bursts of long prompts by organisations of very different size.

The bursts are those of `simulated_bursts`, with the same callers for each way of
admission.
"""

from dataclasses import dataclass, field, replace
from datetime import timedelta
from random import Random

from simulated_bursts import ROUTE, Burst, BurstSimulation, Caller, Outcome

from mustardquay.fair_shares import FairAdmission, Judgement, tighten
from mustardquay.generation_limits import (
    admits_generation,
    admits_late,
    is_retry,
    rank_generation,
)
from mustardquay.placements import Placement

__all__ = ["SharedOutcome", "simulate_shared"]

ZIPF_EXPONENT = 1.2
USES_INTERVAL = 0.2
"""Seconds between the digests of a gateway that report uses."""
NAMED = 24
"""Organisations that a digest names."""


@dataclass(frozen=True, slots=True)
class SharedOutcome:
    """The results of a burst by organisation; the largest is number 1."""

    outcome: Outcome
    organisations: dict[int, int]
    """Number of the organisation by the identity of its caller."""

    def measure_served(self, first: int = 1, last: int = 1_000_000) -> float:
        """Return the served part of the callers of some organisations in the peak."""
        callers = self._select(first, last)
        served = [each for each in callers if each.answered_after is not None]
        return len(served) / max(len(callers), 1)

    def measure_in_time(self, first: int = 1, last: int = 1_000_000) -> float:
        """Return the part of them that was served in time."""
        callers = self._select(first, last)
        return sum(each.is_in_time for each in callers) / max(len(callers), 1)

    def _select(self, first: int, last: int) -> list[Caller]:
        return [
            each
            for each in self.outcome.in_peak
            if first <= self.organisations[id(each)] <= last
        ]


@dataclass(slots=True)
class _Sent:
    at: float = -1.0
    noted: set[int] = field(default_factory=set)


class _SharedSimulation(BurstSimulation):
    def __init__(self, burst: Burst, organisations: int, has_shares: bool):
        super().__init__(burst)
        self._count = organisations
        self._has_shares = has_shares
        self.organisations: dict[int, int] = {}
        self._fair = [FairAdmission() for _ in range(burst.gateways)]
        for number, fair in enumerate(self._fair):
            recipients = len(self._recipients[number])
            others = burst.gateways - 1 - recipients
            fair.uses.unreported_ratio = others / recipients if recipients else 0.0
        self._sent = [_Sent() for _ in range(burst.gateways)]
        self._judgements: dict[int, Judgement] = {}

    def _schedule_arrivals(self, *args: float) -> None:
        super()._schedule_arrivals(*args)
        random = Random(self._burst.seed)
        numbers = range(1, self._count + 1)
        weights = [1 / number**ZIPF_EXPONENT for number in numbers]
        drawn = random.choices(numbers, weights, k=len(self._callers))
        self.organisations = {
            id(caller): number
            for caller, number in zip(self._callers, drawn, strict=True)
        }

    def _request(self, caller: Caller) -> None:
        self._judgements.pop(id(caller), None)
        super()._request(caller)

    def _admit(
        self, caller: Caller, left: timedelta, is_late: bool
    ) -> Placement | None:
        if not self._has_shares:
            return super()._admit(caller, left, is_late)
        planner = self._planners[caller.gateway]
        rank = rank_generation(ROUTE, is_late)
        placement = planner.choose(caller.prompt, self._records, (), 0, rank)
        judgement = self._judgements.get(id(caller))
        if judgement is None:
            judgement = self._judge(caller, left, placement)
        limited = tighten(placement, judgement.factor)
        now = self._clock.monotonic()
        if is_late:
            is_admitted = admits_late(ROUTE, limited, left)
        else:
            margin = self._margins[caller.gateway].find_margin(ROUTE, now)
            is_admitted = admits_generation(ROUTE, limited, left, margin)
        if not is_admitted:
            return None
        name = f"o{self.organisations[id(caller)]}"
        work = _sum_work(placement)
        self._fair[caller.gateway].note_admitted("llm", name, 0, work, now)
        return placement

    def _judge(
        self, caller: Caller, left: timedelta, placement: Placement
    ) -> Judgement:
        fair, now = self._fair[caller.gateway], self._clock.monotonic()
        name = f"o{self.organisations[id(caller)]}"
        is_return = is_retry(ROUTE, left)
        judgement = fair.judge("llm", name, 0, is_return, now)
        if not is_return:
            fair.note_demand("llm", name, _sum_work(placement), now)
        self._judgements[id(caller)] = judgement
        return judgement

    def _refuse(self, caller: Caller, left: timedelta) -> None:
        if not self._has_shares:
            super()._refuse(caller, left)
            return
        caller.refusals += 1
        if caller.refusals == 1:
            positions = self._fair[caller.gateway].positions
            now = self._clock.monotonic()
            back = positions.take("llm", 0, timedelta(), left, now)
            self._events.after(back.total_seconds(), lambda: self._request(caller))

    def _send_digest(self, number: int, end: float) -> None:
        super()._send_digest(number, end)
        sent = self._sent[number]
        if not self._has_shares or self._events.now - sent.at < USES_INTERVAL:
            return
        sent.at = self._events.now
        now = self._clock.monotonic()
        uses = self._fair[number].uses.own.list_uses(now, NAMED)
        order = (1, self._numbers[number])
        for other in self._recipients[number]:
            self._events.after(
                0.001,
                lambda each=self._fair[other].uses: each.apply_report(
                    self._names[number], order, uses, self._clock.monotonic()
                ),
            )


def _sum_work(placement: Placement) -> float:
    slots = max(placement.decoder.slots, 1)
    return placement.prefill_seconds + placement.stream_seconds / slots


def simulate_shared(
    burst: Burst, organisations: int = 77, has_shares: bool = True
) -> SharedOutcome:
    """Run a burst to its end, with shares or with the decisions as before."""
    simulation = _SharedSimulation(replace(burst), organisations, has_shares)
    return SharedOutcome(simulation.run(), simulation.organisations)
