"""Load plans: the calls of a load test and their arrival times, drawn from a seed."""

from collections.abc import Iterator
from dataclasses import dataclass, field
from datetime import timedelta
from enum import StrEnum
from random import Random

from .answers import ONE_WORD_MARKER

__all__ = ["Arrival", "CallKind", "LoadPlan", "plan_arrivals"]

WORDS = "closure bulletin ramp tunnel detour manual booth recording microphone".split()


class CallKind(StrEnum):
    """The kind of a call."""

    DRAFT = "draft"
    """A short text, streamed."""
    WORD = "word"
    """One word about a long text, not streamed."""
    ENQUIRY = "enquiry"
    """An idempotent call of a plain service."""
    BOOKING = "booking"
    """A call of a plain service that is not idempotent."""


@dataclass(frozen=True, slots=True)
class LoadPlan:
    """Number, rate and kinds of calls; lengths are drawn from ranges."""

    calls: int = 100
    rate: float = 50.0
    """Mean arrivals per second of a Poisson process."""
    mix: dict[CallKind, float] = field(
        default_factory=lambda: dict.fromkeys(CallKind, 1.0)
    )
    """Weight of each kind."""
    prompt_words: tuple[int, int] = (200, 2000)
    """Range of words in the prompt of a `WORD` call."""
    draft_tokens: tuple[int, int] = (20, 60)
    repeats: int = 0
    """Maximum retries of a call that was not answered."""


@dataclass(frozen=True, slots=True)
class Arrival:
    """One call of the plan."""

    number: int
    at: timedelta
    """Since the start of the plan."""
    kind: CallKind
    prompt: str
    max_tokens: int
    key: str
    """Idempotency key of a booking."""


def plan_arrivals(plan: LoadPlan, random: Random) -> Iterator[Arrival]:
    """Yield the calls of a plan in order of arrival.

    >>> arrivals = list(plan_arrivals(LoadPlan(calls=3), Random(1)))
    >>> [one.number for one in arrivals]
    [0, 1, 2]
    >>> arrivals == list(plan_arrivals(LoadPlan(calls=3), Random(1)))
    True
    """
    instant = timedelta()
    kinds, weights = list(plan.mix), list(plan.mix.values())
    seed = random.getrandbits(32)
    for number in range(plan.calls):
        instant += timedelta(seconds=random.expovariate(plan.rate))
        kind = random.choices(kinds, weights)[0]
        max_tokens = random.randint(*plan.draft_tokens)
        prompt = f"Draft {seed}-{number}: {random.choice(WORDS)}"
        if kind is CallKind.WORD:
            text = " ".join(random.choices(WORDS, k=random.randint(*plan.prompt_words)))
            prompt = f"{text} {seed}-{number}; {ONE_WORD_MARKER}"
            max_tokens = 4
        key = f"key-{seed}-{number}"
        yield Arrival(number, instant, kind, prompt, max_tokens, key)
