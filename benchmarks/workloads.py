"""Seeded workloads of the two example users: long prompts and short drafts."""

from collections.abc import Callable, Iterator
from dataclasses import dataclass, replace
from datetime import timedelta
from random import Random

from mustardquay.caches import PIECE_TOKENS
from mustardquay.contracts import Contract, Lateness

from .engine_costs import MIN_DECODE_SECONDS, PREFILL_SECONDS, length_factor

__all__ = ["ENGINES", "USERS", "Arrival", "User", "make_arrivals"]

ENGINES = 6
MODEL = "assistant"
LONG_PROMPT_LATENESS = Lateness(timedelta(seconds=2.5), whole=timedelta(seconds=6))
DRAFT_LATENESS = Lateness(timedelta(seconds=1.2), whole=timedelta(seconds=12))


@dataclass(frozen=True, slots=True)
class Arrival:
    """A request with the actual output length, which policies can only predict."""

    at: float
    name: str
    contract: Contract
    kind: str
    prompt_tokens: int
    output_tokens: int
    prefix: tuple[int, ...]

    @property
    def streamed(self) -> bool:
        """Return whether gaps between tokens matter; short answers aren't streamed."""
        return self.kind == "draft"

    @property
    def own_seconds(self) -> float:
        """Return the minimum engine time if all pieces of the prefix are cached."""
        tokens = max(self.prompt_tokens - PIECE_TOKENS * len(self.prefix), 1)
        prefill = tokens * length_factor(self.prompt_tokens) * PREFILL_SECONDS
        return prefill + (self.output_tokens - 1) * MIN_DECODE_SECONDS


@dataclass(frozen=True, slots=True)
class User:
    """An example user: contracts, kinds of requests and the cost of role changes."""

    name: str
    contracts: tuple[Contract, ...]
    make_long_prompt: Callable[[Random, float], tuple[int, int, tuple[int, ...]]]
    make_draft: Callable[[Random, float], tuple[int, int, tuple[int, ...]]]
    change_cost: float


def _contract(customer: str, share: float, kind: str) -> Contract:
    lateness = LONG_PROMPT_LATENESS if kind == "read" else DRAFT_LATENESS
    return Contract(customer, (), share, models=(MODEL,), lateness=lateness)


def _pieces(random: Random, document: int, count: int) -> tuple[int, ...]:
    return tuple(hash((document, piece)) & (2**63 - 1) for piece in range(count))


def _read_bulletin(random: Random, at: float) -> tuple[int, int, tuple[int, ...]]:
    """Return a bulletin request: instructions, then a new or a recent bulletin."""
    if random.random() < 0.4:
        recent = int(at / 10) - int(random.expovariate(0.4))
        count = 2 + recent % 3
        return PIECE_TOKENS * count + 200, 1, _pieces(random, 1000 + recent, count)
    return PIECE_TOKENS + random.randint(1500, 5500), 1, _pieces(random, 1, 1)


def _read_manual(random: Random, at: float) -> tuple[int, int, tuple[int, ...]]:
    """Return a tagging request: one of the booth manuals, then a recording."""
    manual = min(int(random.paretovariate(0.9)), 16)
    count = 2 + manual % 3
    recording = random.randint(800, 4000)
    pieces = _pieces(random, manual, count)
    return PIECE_TOKENS * count + recording, random.randint(1, 3), pieces


def _draft(random: Random, at: float) -> tuple[int, int, tuple[int, ...]]:
    return random.randint(60, 240), random.randint(40, 120), ()


USERS = (
    User(
        "strassenmeldung",
        (
            _contract("broadcaster-east", 0.20, "read"),
            _contract("broadcaster-west", 0.15, "read"),
            _contract("authority", 0.15, "read"),
            _contract("trams", 0.25, "draft"),
            _contract("buses", 0.15, "draft"),
            _contract("rail", 0.10, "draft"),
        ),
        _read_bulletin,
        _draft,
        2.0,
    ),
    User(
        "syndesmos",
        (
            _contract("archive", 0.30, "read"),
            _contract("campus", 0.20, "read"),
            _contract("front-desk", 0.25, "draft"),
            _contract("hosts", 0.15, "draft"),
            _contract("volunteers", 0.10, "draft"),
        ),
        _read_manual,
        _draft,
        20.0,
    ),
)


def _mean_seconds(user: User, kind: str) -> float:
    """Return the mean of `own_seconds` for a kind, from a fixed sample."""
    random = Random(7)
    arrivals = [_make(user, user.contracts[0], kind, 0.0, random) for _ in range(2000)]
    return sum(arrival.own_seconds for arrival in arrivals) / len(arrivals)


def _make(user: User, contract: Contract, kind: str, at: float, random: Random):
    make = user.make_long_prompt if kind == "read" else user.make_draft
    prompt, output, prefix = make(random, at)
    return Arrival(at, kind, contract, kind, prompt, output, prefix)


def make_arrivals(
    user: User,
    seconds: float,
    load: float,
    mix: Callable[[float], float],
    random: Random,
    flood: tuple[str, float] | None = None,
) -> list[Arrival]:
    """Return a run's arrivals in order.

    `load` is the ratio of the requested minimum engine time to the engines' time; `mix`
    is the ratio of long prompts in it. A flood adds load of one customer.
    """
    arrivals: list[Arrival] = []
    for kind in ("read", "draft"):
        mean = _mean_seconds(user, kind)
        kind_lateness = LONG_PROMPT_LATENESS if kind == "read" else DRAFT_LATENESS
        group = [c for c in user.contracts if c.lateness == kind_lateness]
        weights = [contract.share for contract in group]

        def rate(at: float, kind: str = kind, mean: float = mean) -> float:
            ratio = mix(at) if kind == "read" else 1.0 - mix(at)
            return load * ratio * ENGINES / mean

        for at in _poisson(rate, seconds, random):
            contract = random.choices(group, weights)[0]
            arrivals.append(_make(user, contract, kind, at, random))
    if flood is not None:
        arrivals += _make_flood(user, flood, seconds, random)
    arrivals.sort(key=lambda arrival: arrival.at)
    return [replace(a, name=f"{a.kind}-{n}") for n, a in enumerate(arrivals)]


def _make_flood(
    user: User, flood: tuple[str, float], seconds: float, random: Random
) -> Iterator[Arrival]:
    contract = next(c for c in user.contracts if c.customer == flood[0])
    kind = "read" if contract.lateness == LONG_PROMPT_LATENESS else "draft"
    rate = flood[1] * ENGINES / _mean_seconds(user, kind)
    for at in _poisson(lambda at: rate, seconds, random):
        if at > seconds / 4:
            yield _make(user, contract, kind, at, random)


def _poisson(
    rate: Callable[[float], float], seconds: float, random: Random
) -> Iterator[float]:
    """Yield the times of a Poisson process, by thinning."""
    highest = max(rate(seconds * step / 200) for step in range(200)) * 1.01 + 1e-9
    at = random.expovariate(highest)
    while at < seconds:
        if random.random() * highest < rate(at):
            yield at
        at += random.expovariate(highest)
