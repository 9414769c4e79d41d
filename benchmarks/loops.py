"""Loops: a run of one policy on a virtual clock, through the real decision code.

Two entries choose upstreams from views that lag, six agents queue beside their
engines, one planner orders roles. Messages take half a millisecond; agents report to
entries every half second, and cache events come with the reports.
"""

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field, replace
from datetime import timedelta
from heapq import heappop, heappush
from itertools import count
from random import Random
from typing import Any

from mustardquay.admissions import UsageDigest, UsageMeter, set_deadlines
from mustardquay.caches import PrefixIndex
from mustardquay.clocks import VirtualClock
from mustardquay.errors import Refusal
from mustardquay.predictions import OutputLengths, RateEstimator
from mustardquay.works import Role, UpstreamView, Work

from .engine_costs import CHANGE_SECONDS, ROLE_COSTS
from .engines import Engine, Job
from .workloads import ENGINES, MODEL, Arrival

__all__ = ["Answer", "Fault", "Loop", "Policy", "Run"]

LINK_SECONDS = 0.0005
REPORT_SECONDS = 0.5
PLAN_SECONDS = 1.0
ATTEMPTS = 3
ZONES = ("a", "b", "c")
Decide = Callable[..., UpstreamView | Refusal]


@dataclass(frozen=True, slots=True)
class Policy:
    """The decisions that are compared."""

    name: str
    make_choose: Callable[[], Decide]
    make_queue: Callable[[str], Any]
    make_planner: Callable[[], Any] = lambda: None
    split: tuple[Role, ...] = (Role.MIXED,) * ENGINES


@dataclass(frozen=True, slots=True)
class Fault:
    """Something done to one engine: `drain`, `lose`, `slow` or `heal`."""

    at: float
    engine: int
    kind: str
    seconds: float = 0.0
    """How long the engine is away behind it."""


@dataclass(frozen=True, slots=True)
class Answer:
    """What became of one arrival."""

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


class _Entry:
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


@dataclass(slots=True)
class _Agent:
    engine: Engine
    queue: Any
    planned: Role | None = None
    away: bool = False
    draining: bool = False
    jobs: dict[tuple[str, int], tuple[Arrival, int]] = field(default_factory=dict)
    version: int = 0
    epoch: int = 0
    """Raised whenever the engine goes away or is drained: older returns are void."""


class Loop:
    """One run; `report_lag` is the age of a report when it comes, in seconds."""

    def __init__(
        self,
        policy: Policy,
        arrivals: Sequence[Arrival],
        seconds: float,
        faults: Sequence[Fault] = (),
        report_lag: float = 0.1,
        events_lost: float = 0.0,
        seed: int = 0,
    ):
        self._clock = VirtualClock()
        self._seconds = seconds
        self._offered = len(arrivals)
        self._lag = report_lag
        self._events_lost = events_lost
        self._random = Random(seed)
        self._heap: list[tuple[float, int, Callable[..., None], tuple]] = []
        self._sequence = count()
        self._run = Run()
        engines = [Engine(f"engine-{i}", r) for i, r in enumerate(policy.split)]
        self._agents = {e.name: _Agent(e, policy.make_queue(e.name)) for e in engines}
        self._entries = [_Entry(number, policy, engines) for number in range(2)]
        self._planner = policy.make_planner()
        self._plan_views = _Entry(2, policy, engines)
        for agent in self._agents.values():
            self._tell_queue(agent)
        for position, arrival in enumerate(arrivals):
            self._at(arrival.at, self._arrive, arrival, position % 2)
        for fault in faults:
            self._at(fault.at, self._break, fault)
        self._at(0.0, self._report)
        self._at(PLAN_SECONDS, self._plan)

    def run(self) -> Run:
        """Play all the events and return what came out."""
        while self._heap:
            at, _, function, arguments = heappop(self._heap)
            now = timedelta(seconds=at)
            self._clock.advance(max(now - self._clock.monotonic(), timedelta()))
            function(at, *arguments)
        if len(self._run.answers) != self._offered:
            raise RuntimeError("A request was lost by the loop; mend the loop.")
        return self._run

    def _at(self, at: float, function: Callable[..., None], *arguments: Any) -> None:
        heappush(self._heap, (at, next(self._sequence), function, arguments))

    # Entries

    def _arrive(self, at: float, arrival: Arrival, number: int) -> None:
        entry = self._entries[number]
        contract = arrival.contract
        deadlines = set_deadlines(contract, timedelta(seconds=at))
        used = entry.usage.rate(contract.customer, _span(at))
        work = Work(
            arrival.name,
            1,
            contract.customer,
            MODEL,
            prompt_tokens=arrival.prompt_tokens,
            output_tokens=entry.lengths.predict(contract.customer, arrival.kind),
            share=contract.share,
            priority=contract.priority,
            start_by=deadlines.start_by,
            finish_by=deadlines.finish_by,
            prefix=arrival.prefix,
            over_share=used > contract.share * ENGINES,
            between_tokens=contract.lateness.between_tokens,
        )
        if self._planner is not None:
            best = max(entry.index.match(v.name, arrival.prefix) for v in entry.views)
            self._planner.note(work, arrival.prompt_tokens - 2000 * best, _span(at))
        self._send(at, arrival, work, number, ())

    def _send(
        self,
        at: float,
        arrival: Arrival,
        work: Work,
        number: int,
        avoid: tuple[str, ...],
        refusal: Refusal | None = None,
    ) -> None:
        entry = self._entries[number]
        if len(avoid) < ATTEMPTS:
            chosen = entry.choose(
                work,
                entry.views,
                _span(at),
                entry.random,
                avoid,
                entry.zone,
                entry.index,
            )
            if chosen:
                self._forward(at, arrival, work, number, avoid, chosen)
                return
            refusal = refusal or chosen
        retry_after = refusal.retry_after.total_seconds() if refusal else 1.0
        self._answer(Answer(arrival, "refused", at, retry_after=retry_after))

    def _forward(
        self,
        at: float,
        arrival: Arrival,
        work: Work,
        number: int,
        avoid: tuple[str, ...],
        view: UpstreamView,
    ) -> None:
        entry = self._entries[number]
        self._run.decisions.append(f"{at:.3f} {arrival.name} -> {view.name}")
        cached = entry.index.expected_tokens(view.name, work.prefix)
        sent = replace(work, cached_tokens=cached)
        entry.index.note_sent(view.name, work.prefix)
        entry.sent[view.name].append((at, sent.uncached_tokens))
        view.own_tokens += sent.uncached_tokens
        view.own_running += 1
        self._at(
            at + LINK_SECONDS, self._offer, view.name, arrival, sent, number, avoid
        )

    # Agents

    def _offer(
        self,
        at: float,
        upstream: str,
        arrival: Arrival,
        work: Work,
        number: int,
        avoid: tuple[str, ...],
    ) -> None:
        agent = self._agents[upstream]
        refusal = None
        if agent.draining or agent.away or agent.planned is not None:
            refused = True
        else:
            refusal = agent.queue.offer(work, _span(at))
            refused = refusal is not None
        if refused:
            self._bounce(at, upstream, arrival, work, number, avoid, refusal)
            return
        agent.jobs[work.key] = (arrival, number)
        self._pump(at, agent)

    def _bounce(self, at, upstream, arrival, work, number, avoid, refusal) -> None:
        view = self._view(number, upstream)
        view.own_running = max(view.own_running - 1, 0)
        sent = self._entries[number].sent[upstream]
        known = [s for s in sent if s[1] == work.uncached_tokens]
        if known:
            sent.remove(known[-1])
            view.own_tokens -= work.uncached_tokens
        again = replace(work, attempt=work.attempt + 1, cached_tokens=0)
        self._at(
            at + LINK_SECONDS,
            self._send,
            arrival,
            again,
            number,
            (*avoid, upstream),
            refusal,
        )

    def _pump(self, at: float, agent: _Agent) -> None:
        now = _span(at)
        agent.engine.advance(at)
        self._collect(at, agent)
        if agent.away:
            return
        while (work := agent.queue.take(now)) is not None:
            arrival, _ = agent.jobs[work.key]
            agent.engine.start(work, arrival.output_tokens, at)
        for work in agent.queue.expire(now):
            arrival, number = agent.jobs.pop(work.key)
            self._release(number, agent.engine.name)
            self._answer(Answer(arrival, "refused", at, retry_after=1.0))
        if agent.planned is not None and not agent.engine.running:
            self._restart(at, agent)
            return
        agent.version += 1
        following = agent.engine.next_event()
        if following < float("inf"):
            self._at(max(following, at), self._wake, agent.engine.name, agent.version)

    def _wake(self, at: float, upstream: str, version: int) -> None:
        agent = self._agents[upstream]
        if agent.version == version:
            self._pump(at, agent)

    def _collect(self, at: float, agent: _Agent) -> None:
        first, done = agent.engine.collect()
        for job in first:
            agent.queue.note_first_token(job.work.key, _span(at))
        for job in done:
            agent.queue.finish(job.work.key, job.output_tokens, _span(at))
            arrival, number = agent.jobs.pop(job.work.key)
            self._release(number, agent.engine.name)
            lengths = self._entries[number].lengths
            lengths.learn(arrival.contract.customer, arrival.kind, job.output_tokens)
            index = self._entries[number].index
            pieces = (job.work.prompt_tokens - job.uncached) // 2000
            index.note_cached(agent.engine.name, job.work.prefix, pieces)
            self._answer(_judge(arrival, job))

    def _release(self, number: int, upstream: str) -> None:
        view = self._view(number, upstream)
        view.own_running = max(view.own_running - 1, 0)

    # Roles and faults

    def _plan(self, at: float) -> None:
        if self._planner is not None:
            change = self._planner.plan(self._plan_views.views, _span(at))
            for order in change if isinstance(change, list) else [change]:
                if order is not None:
                    self._order(at, order.upstream, order.role)
        if at < self._seconds:
            self._at(at + PLAN_SECONDS, self._plan)

    def _order(self, at: float, upstream: str, role: Role) -> None:
        agent = self._agents[upstream]
        if agent.planned is not None or agent.away or agent.draining:
            return
        self._run.role_changes += 1
        self._run.decisions.append(f"{at:.3f} {upstream} becomes {role.value}")
        agent.planned = role
        for entry in (*self._entries, self._plan_views):
            _find(entry.views, upstream).ready = False
        self._hand_back(at, agent)
        self._pump(at, agent)

    def _hand_back(self, at: float, agent: _Agent) -> None:
        for key in [key for key in agent.jobs if agent.queue.withdraw(key)]:
            arrival, number = agent.jobs.pop(key)
            self._bounce_waiting(at, agent.engine.name, arrival, key, number)

    def _bounce_waiting(self, at, upstream, arrival, key, number) -> None:
        self._release(number, upstream)
        deadlines = set_deadlines(arrival.contract, timedelta(seconds=arrival.at))
        entry = self._entries[number]
        customer = arrival.contract.customer
        work = Work(
            arrival.name,
            key[1] + 1,
            customer,
            MODEL,
            prompt_tokens=arrival.prompt_tokens,
            output_tokens=entry.lengths.predict(customer, arrival.kind),
            share=arrival.contract.share,
            start_by=deadlines.start_by,
            finish_by=deadlines.finish_by,
            prefix=arrival.prefix,
        )
        delay = LINK_SECONDS
        self._at(at + delay, self._send, arrival, work, number, (upstream,))

    def _restart(self, at: float, agent: _Agent) -> None:
        agent.away = True
        agent.version += 1
        self._plan_return(at + CHANGE_SECONDS, agent, agent.planned)

    def _plan_return(self, at: float, agent: _Agent, role: Role | None) -> None:
        agent.epoch += 1
        self._at(at, self._return, agent.engine.name, role, agent.epoch)

    def _return(self, at: float, upstream: str, role: Role | None, epoch: int) -> None:
        agent = self._agents[upstream]
        if epoch != agent.epoch:
            return
        if agent.engine.running:
            self._at(at + 1.0, self._return, upstream, role, epoch)
            return
        agent.engine.restart(role or agent.engine.role, at)
        agent.away = agent.draining = False
        agent.planned = None
        self._tell_queue(agent)
        self._pump(at, agent)

    def _break(self, at: float, fault: Fault) -> None:
        agent = list(self._agents.values())[fault.engine]
        agent.engine.advance(at)
        self._collect(at, agent)
        if fault.kind == "slow":
            agent.engine.slowness = 3.0
        elif fault.kind == "heal":
            agent.engine.slowness = 1.0
        elif fault.kind == "drain":
            agent.draining = True
            agent.planned = None
            self._hand_back(at, agent)
            self._plan_return(at + fault.seconds, agent, None)
        elif fault.kind == "lose":
            self._lose(at, agent)
            self._plan_return(at + fault.seconds, agent, None)
        self._pump(at, agent)

    def _lose(self, at: float, agent: _Agent) -> None:
        # All these requests are idempotent: each is run again elsewhere.
        agent.away = True
        agent.version += 1
        agent.planned = None
        agent.engine.cancel_all(at)
        for key in list(agent.jobs):
            arrival, number = agent.jobs.pop(key)
            if not agent.queue.withdraw(key):
                agent.queue.finish(key, 0, _span(at))
            self._bounce_waiting(at + 0.5, agent.engine.name, arrival, key, number)

    # Reports

    def _report(self, at: float) -> None:
        for agent in self._agents.values():
            agent.engine.advance(at)
            self._pump(at, agent)
            prefill_rate, decode_rate = agent.engine.rates()
            waiting = agent.queue.waiting_tokens + int(agent.engine.queued_tokens)
            within = getattr(agent.queue, "waiting_tokens_within", None)
            if within is not None:
                within += int(agent.engine.queued_tokens)
            state = (
                agent.engine.role,
                waiting,
                within,
                agent.engine.running,
                prefill_rate,
                decode_rate,
                not agent.draining and not agent.away and agent.planned is None,
            )
            self._at(at + self._lag, self._hear, agent.engine.name, at, state)
        roles = tuple(
            a.engine.role.value if not a.away else "away" for a in self._agents.values()
        )
        self._run.samples.append(
            (at, sum(a.queue.waiting for a in self._agents.values()), roles)
        )
        self._share_digests(at)
        if at < self._seconds:
            self._at(at + REPORT_SECONDS, self._report)

    def _share_digests(self, at: float) -> None:
        meters = [getattr(a.queue, "usage", None) for a in self._agents.values()]
        if None in meters:
            return
        digests = [meter.digest(_span(at)) for meter in meters]
        for meter in meters:
            _merge(meter, digests, at)
        for entry in self._entries:
            _merge(entry.usage, digests, at)

    def _hear(self, at: float, upstream: str, taken: float, state: tuple) -> None:
        role, waiting, within, running, prefill_rate, decode_rate, ready = state
        for entry in (*self._entries, self._plan_views):
            view = _find(entry.views, upstream)
            entry.sent[upstream] = [s for s in entry.sent[upstream] if s[0] > taken]
            entry.rates.learn(upstream, role, prefill_rate, decode_rate)
            view.role = role
            view.concurrency = ROLE_COSTS[role].streams
            view.queued_tokens = waiting
            view.queued_tokens_within = within
            view.running = running
            view.reported_at = _span(taken)
            view.own_tokens = sum(tokens for _, tokens in entry.sent[upstream])
            view.prefill_rate = entry.rates.prefill_rate(upstream, prefill_rate)
            view.decode_rate = entry.rates.decode_rate(upstream, decode_rate)
            view.slowness = entry.rates.slowness(upstream)
            view.ready = ready
            self._hear_events(entry, upstream)

    def _hear_events(self, entry: _Entry, upstream: str) -> None:
        if self._random.random() < self._events_lost:
            # The range is lost on the way, and the engine no longer has it.
            oldest, events = self._agents[upstream].engine.read_events(0, kept=4)
        else:
            after = entry.index.last_number(upstream)
            oldest, events = self._agents[upstream].engine.read_events(after)
        entry.index.apply(upstream, oldest, events)

    def _tell_queue(self, agent: _Agent) -> None:
        set_engine = getattr(agent.queue, "set_engine", None)
        if set_engine is not None:
            prefill_rate, decode_rate = agent.engine.rates()
            set_engine(agent.engine.costs.streams, prefill_rate, decode_rate)

    def _view(self, number: int, upstream: str) -> UpstreamView:
        return _find(self._entries[number].views, upstream)

    def _answer(self, answer: Answer) -> None:
        self._run.answers.append(answer)


def _judge(arrival: Arrival, job: Job) -> Answer:
    lateness = arrival.contract.lateness
    first = job.first_token - arrival.at
    gap = (job.finished - job.first_token) / max(job.output_tokens - 1, 1)
    met = first <= lateness.first_token.total_seconds()
    met = met and job.finished - arrival.at <= lateness.whole.total_seconds()
    if arrival.streamed:
        met = met and gap <= lateness.between_tokens.total_seconds()
    outcome = "met" if met else "late"
    return Answer(arrival, outcome, job.finished, first, gap if arrival.streamed else 0)


def _merge(meter: UsageMeter, digests: Sequence[UsageDigest], at: float) -> None:
    for digest in digests:
        meter.merge(digest, _span(at))


def _find(views: Sequence[UpstreamView], name: str) -> UpstreamView:
    return next(view for view in views if view.name == name)


def _span(at: float) -> timedelta:
    return timedelta(seconds=at)
