"""Figures that are measured of a run."""

from collections import defaultdict
from collections.abc import Sequence
from dataclasses import dataclass

from .runs import Answer, Run
from .workloads import ENGINES, User

__all__ = ["Figures", "measure"]


@dataclass(frozen=True, slots=True)
class Figures:
    """The figures of one policy in one scenario."""

    user: str
    scenario: str
    policy: str
    offered: int
    met: int
    bound: float
    late: int
    refused: int
    role_changes: int
    jain: float
    """Jain's fairness index of the customers' ratios of answered to entitled work."""
    worst: float
    """The smallest of these ratios."""
    worst_in_share: float
    """The smallest ratio of answers within contract, without flooding customers."""
    first_token: float
    """95th percentile of the time to the first token, in seconds."""
    between_tokens: float
    """95th percentile of the streams' mean gap between tokens, in seconds."""

    @property
    def bound_ratio(self) -> float:
        """Return the ratio of the goodput to its upper bound."""
        return self.met / self.bound

    def format(self) -> str:
        """Return the line of the table."""
        return (
            f"{self.user:<16}{self.scenario:<14}{self.policy:<18}{self.offered:>8}"
            f"{self.met:>7}{self.bound:>7.0f}{self.bound_ratio:>6.3f}{self.late:>6}"
            f"{self.refused:>8}{self.role_changes:>6}{self.jain:>6.3f}{self.worst:>6.3f}"
            f"{self.worst_in_share:>9.3f}{self.first_token:>8.3f}"
            f"{self.between_tokens * 1000:>6.1f}m"
        )


def measure(
    user: User,
    scenario: str,
    policy: str,
    run: Run,
    bound: float,
    flooder: str,
    seconds: float,
) -> Figures:
    """Return the figures of a run."""
    answers = run.answers
    ratios = _list_entitled_ratios(user, answers, seconds)
    by_customer = _count_met(answers)
    others = [part for name, part in by_customer.items() if name != flooder]
    answered = [answer for answer in answers if answer.outcome != "refused"]
    streams = [answer.between_tokens for answer in answered if answer.between_tokens]
    return Figures(
        user.name,
        scenario,
        policy,
        len(answers),
        sum(answer.outcome == "met" for answer in answers),
        bound,
        sum(answer.outcome == "late" for answer in answers),
        sum(answer.outcome == "refused" for answer in answers),
        run.role_changes,
        sum(ratios) ** 2 / (len(ratios) * sum(part * part for part in ratios) or 1.0),
        min(ratios),
        min(others),
        _quantile([answer.first_token for answer in answered]),
        _quantile(streams),
    )


def _count_met(answers: Sequence[Answer]) -> dict[str, float]:
    offered: dict[str, int] = defaultdict(int)
    met: dict[str, int] = defaultdict(int)
    for answer in answers:
        offered[answer.arrival.contract.customer] += 1
        met[answer.arrival.contract.customer] += answer.outcome == "met"
    return {customer: met[customer] / offered[customer] for customer in offered}


def _list_entitled_ratios(
    user: User, answers: Sequence[Answer], seconds: float
) -> list[float]:
    """Return the ratio of answered to entitled work of each customer."""
    offered: dict[str, float] = defaultdict(float)
    met: dict[str, float] = defaultdict(float)
    for answer in answers:
        work = answer.arrival.own_seconds
        offered[answer.arrival.contract.customer] += work
        met[answer.arrival.contract.customer] += work * (answer.outcome == "met")
    ratios = []
    for contract in user.contracts:
        entitled = contract.share * ENGINES * seconds
        entitled = min(entitled, offered[contract.customer])
        if entitled > 0:
            ratios.append(min(met[contract.customer] / entitled, 1.0))
    return ratios


def _quantile(values: Sequence[float], part: float = 0.95) -> float:
    ordered = sorted(values)
    return ordered[int(part * (len(ordered) - 1))] if ordered else 0.0
