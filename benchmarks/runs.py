"""Parts of a simulated run: policies, faults, entries, agents and results."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from datetime import timedelta
from random import Random
from typing import Any

from mustardquay.admissions import UsageDigest, UsageMeter, set_deadlines
from mustardquay.caches import PrefixIndex
from mustardquay.errors import Refusal
from mustardquay.predictions import OutputLengths, RateEstimator
from mustardquay.works import Role, UpstreamView, Work

from .engine_costs import ROLE_COSTS
from .engines import Engine, Job
from .workloads import ENGINES, MODEL, Arrival

__all__ = [
    "Agent",
    "Answer",
    "Entry",
    "Fault",
    "Policy",
    "Run",
    "find_view",
    "make_answer",
    "make_work",
    "merge_digests",
    "to_timedelta",
]

ZONES = ("a", "b", "c")
Decide = Callable[..., UpstreamView | Refusal]


@dataclass(frozen=True, slots=True)
class Policy:
    """A policy to compare: how to choose upstreams, to queue and to plan roles."""

    name: str
    make_choose: Callable[[], Decide]
    make_queue: Callable[[str], Any]
    make_planner: Callable[[], Any] = lambda: None
    split: tuple[Role, ...] = (Role.MIXED,) * ENGINES


@dataclass(frozen=True, slots=True)
class Fault:
    """A fault of one engine: `drain`, `lose`, `slow`, or `heal` to end `slow`."""

    at: float
    engine: int
    kind: str
    seconds: float = 0.0
    """Seconds for which the engine is unavailable."""


@dataclass(frozen=True, slots=True)
class Answer:
    """The outcome of one arrival."""

    arrival: Arrival
    outcome: str
    """`met`, `late` or `refused`."""
    at: float
    first_token: float = 0.0
    between_tokens: float = 0.0
    retry_after: float = 0.0


@dataclass(slots=True)
class Run:
    """The results of a run, with a sample of the state every second."""

    answers: list[Answer] = field(default_factory=list)
    role_changes: int = 0
    samples: list[tuple[float, int, tuple[str, ...]]] = field(default_factory=list)
    decisions: list[str] = field(default_factory=list)


class Entry:
    """The state of one entry: views, cache index, rates, output lengths and usage."""

    def __init__(self, number: int, policy: Policy, engines: Sequence[Engine]):
        self.choose = policy.make_choose()
        self.index = PrefixIndex()
        self.rates = RateEstimator()
        self.lengths = OutputLengths()
        self.usage = UsageMeter(f"entry-{number}")
        self.random = Random(number)
        self.zone = ZONES[number]
        self.sent: dict[str, list[tuple[float, int]]] = {e.name: [] for e in engines}
        self.views = [self._make_view(i, e) for i, e in enumerate(engines)]

    def _make_view(self, position: int, engine: Engine) -> UpstreamView:
        return UpstreamView(
            engine.name,
            ZONES[position % 3],
            engine.role,
            frozenset({MODEL}),
            reachable=True,
            concurrency=ROLE_COSTS[engine.role].streams,
        )

    def apply_report(self, upstream: str, sent_at: timedelta, state: tuple) -> None:
        """Apply a report that was made at `sent_at`."""
        role, waiting, within, running, prefill_rate, decode_rate, ready = state
        view = find_view(self.views, upstream)
        start = sent_at.total_seconds()
        self.sent[upstream] = [s for s in self.sent[upstream] if s[0] > start]
        self.rates.learn(upstream, role, prefill_rate, decode_rate)
        view.role = role
        view.concurrency = ROLE_COSTS[role].streams
        view.queued_tokens = waiting
        view.queued_tokens_within = within
        view.running = running
        view.reported_at = sent_at
        view.own_tokens = sum(tokens for _, tokens in self.sent[upstream])
        view.prefill_rate = self.rates.prefill_rate(upstream, prefill_rate)
        view.decode_rate = self.rates.decode_rate(upstream, decode_rate)
        view.slowness = self.rates.slowness(upstream)
        view.ready = ready

    def forget_sent(self, view: UpstreamView, tokens: int) -> None:
        """Remove an attempt that the upstream has refused from its load."""
        sent = self.sent[view.name]
        matching = [entry for entry in sent if entry[1] == tokens]
        if matching:
            sent.remove(matching[-1])
            view.own_tokens -= tokens


@dataclass(slots=True)
class Agent:
    """One agent with its engine and queue."""

    engine: Engine
    queue: Any
    planned: Role | None = None
    is_unavailable: bool = False
    draining: bool = False
    jobs: dict[tuple[str, int], tuple[Arrival, int]] = field(default_factory=dict)
    version: int = 0
    epoch: int = 0
    """Incremented whenever the end of a restart or drain is scheduled, which cancels
    earlier ones."""


def make_work(
    entry: Entry, arrival: Arrival, attempt: int, over_share: bool = False
) -> Work:
    """Return an attempt with the entry's prediction of its output length."""
    contract = arrival.contract
    deadlines = set_deadlines(contract, to_timedelta(arrival.at))
    return Work(
        arrival.name,
        attempt,
        contract.customer,
        MODEL,
        prompt_tokens=arrival.prompt_tokens,
        output_tokens=entry.lengths.predict(contract.customer, arrival.kind),
        share=contract.share,
        priority=contract.priority,
        start_by=deadlines.start_by,
        finish_by=deadlines.finish_by,
        prefix=arrival.prefix,
        over_share=over_share,
        between_tokens=contract.lateness.between_tokens,
    )


def make_answer(arrival: Arrival, job: Job) -> Answer:
    """Return the answer, `met` or `late` by the contract's lateness limits."""
    lateness = arrival.contract.lateness
    first = job.first_token - arrival.at
    gap = (job.finished - job.first_token) / max(job.output_tokens - 1, 1)
    met = first <= lateness.first_token.total_seconds()
    met = met and job.finished - arrival.at <= lateness.whole.total_seconds()
    if arrival.streamed:
        met = met and gap <= lateness.between_tokens.total_seconds()
    outcome = "met" if met else "late"
    return Answer(arrival, outcome, job.finished, first, gap if arrival.streamed else 0)


def merge_digests(meter: UsageMeter, digests: Sequence[UsageDigest], at: float) -> None:
    """Merge the digests of all nodes."""
    for digest in digests:
        meter.merge(digest, to_timedelta(at))


def find_view(views: Sequence[UpstreamView], name: str) -> UpstreamView:
    """Return the view of one upstream."""
    return next(view for view in views if view.name == name)


def to_timedelta(at: float) -> timedelta:
    """Return seconds of the virtual clock as a duration."""
    return timedelta(seconds=at)
