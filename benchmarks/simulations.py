"""Simulates a run of one policy on a virtual clock, with the real decision code.

Two entries choose upstreams from delayed views, six agents queue requests for their
engines, one planner orders role changes. Messages take half a millisecond; agents
report to entries every half second, and cache events are sent with the reports.
"""

from collections.abc import Callable, Sequence
from dataclasses import replace
from datetime import timedelta
from heapq import heappop, heappush
from itertools import count
from random import Random
from typing import Any

from mustardquay.clocks import VirtualClock
from mustardquay.errors import Refusal
from mustardquay.works import Role, UpstreamView, Work

from .engine_costs import CHANGE_SECONDS
from .engines import Engine
from .runs import (
    Agent,
    Answer,
    Entry,
    Fault,
    Policy,
    Run,
    find_view,
    make_answer,
    make_work,
    merge_digests,
    to_timedelta,
)
from .workloads import ENGINES, Arrival

__all__ = ["Simulation"]

LINK_SECONDS = 0.0005
REPORT_SECONDS = 0.5
PLAN_SECONDS = 1.0
ATTEMPTS = 3


class Simulation:
    """One run; `report_lag` is the age of a report at its arrival, in seconds."""

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
        self._agents = {e.name: Agent(e, policy.make_queue(e.name)) for e in engines}
        self._entries = [Entry(number, policy, engines) for number in range(2)]
        self._planner = policy.make_planner()
        self._planner_entry = Entry(2, policy, engines)
        for agent in self._agents.values():
            self._configure_queue(agent)
        for position, arrival in enumerate(arrivals):
            self._schedule(arrival.at, self._arrive, arrival, position % 2)
        for fault in faults:
            self._schedule(fault.at, self._inject_fault, fault)
        self._schedule(0.0, self._report)
        self._schedule(PLAN_SECONDS, self._plan)

    def run(self) -> Run:
        """Process all events and return the results."""
        while self._heap:
            at, _, function, arguments = heappop(self._heap)
            now = timedelta(seconds=at)
            self._clock.advance(max(now - self._clock.monotonic(), timedelta()))
            function(at, *arguments)
        if len(self._run.answers) != self._offered:
            raise RuntimeError("The simulation lost a request; this is a bug in it.")
        return self._run

    def _schedule(
        self, at: float, function: Callable[..., None], *arguments: Any
    ) -> None:
        heappush(self._heap, (at, next(self._sequence), function, arguments))

    # Entries

    def _arrive(self, at: float, arrival: Arrival, number: int) -> None:
        entry = self._entries[number]
        contract = arrival.contract
        used = entry.usage.rate(contract.customer, to_timedelta(at))
        over_share = used > contract.share * ENGINES
        work = make_work(entry, arrival, 1, over_share)
        if self._planner is not None:
            best = max(entry.index.match(v.name, arrival.prefix) for v in entry.views)
            self._planner.note(
                work, arrival.prompt_tokens - 2000 * best, to_timedelta(at)
            )
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
                to_timedelta(at),
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
        self._schedule(
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
        if agent.draining or agent.is_unavailable or agent.planned is not None:
            refused = True
        else:
            refusal = agent.queue.offer(work, to_timedelta(at))
            refused = refusal is not None
        if refused:
            self._retry_refused(at, upstream, arrival, work, number, avoid, refusal)
            return
        agent.jobs[work.key] = (arrival, number)
        self._run_agent(at, agent)

    def _retry_refused(
        self, at, upstream, arrival, work, number, avoid, refusal
    ) -> None:
        view = self._view(number, upstream)
        view.own_running = max(view.own_running - 1, 0)
        self._entries[number].forget_sent(view, work.uncached_tokens)
        again = replace(work, attempt=work.attempt + 1, cached_tokens=0)
        self._schedule(
            at + LINK_SECONDS,
            self._send,
            arrival,
            again,
            number,
            (*avoid, upstream),
            refusal,
        )

    def _run_agent(self, at: float, agent: Agent) -> None:
        now = to_timedelta(at)
        agent.engine.advance(at)
        self._collect(at, agent)
        if agent.is_unavailable:
            return
        while (work := agent.queue.take(now)) is not None:
            arrival, _ = agent.jobs[work.key]
            agent.engine.start(work, arrival.output_tokens, at)
        for work in agent.queue.expire(now):
            arrival, number = agent.jobs.pop(work.key)
            self._release(number, agent.engine.name)
            wait_seconds = _find_retry_after(agent.queue, work, now)
            self._answer(Answer(arrival, "refused", at, retry_after=wait_seconds))
        if agent.planned is not None and not agent.engine.running:
            self._restart(at, agent)
            return
        agent.version += 1
        following = agent.engine.next_event()
        if following < float("inf"):
            self._schedule(
                max(following, at), self._wake, agent.engine.name, agent.version
            )

    def _wake(self, at: float, upstream: str, version: int) -> None:
        agent = self._agents[upstream]
        if agent.version == version:
            self._run_agent(at, agent)

    def _collect(self, at: float, agent: Agent) -> None:
        first, done = agent.engine.collect()
        for job in first:
            agent.queue.note_first_token(job.work.key, to_timedelta(at))
        for job in done:
            agent.queue.finish(job.work.key, job.output_tokens, to_timedelta(at))
            arrival, number = agent.jobs.pop(job.work.key)
            self._release(number, agent.engine.name)
            lengths = self._entries[number].lengths
            lengths.learn(arrival.contract.customer, arrival.kind, job.output_tokens)
            index = self._entries[number].index
            pieces = (job.work.prompt_tokens - job.uncached) // 2000
            index.note_cached(agent.engine.name, job.work.prefix, pieces)
            self._answer(make_answer(arrival, job))

    def _release(self, number: int, upstream: str) -> None:
        view = self._view(number, upstream)
        view.own_running = max(view.own_running - 1, 0)

    # Roles and faults

    def _plan(self, at: float) -> None:
        if self._planner is not None:
            change = self._planner.plan(self._planner_entry.views, to_timedelta(at))
            for order in change if isinstance(change, list) else [change]:
                if order is not None:
                    self._order(at, order.upstream, order.role)
        if at < self._seconds:
            self._schedule(at + PLAN_SECONDS, self._plan)

    def _order(self, at: float, upstream: str, role: Role) -> None:
        agent = self._agents[upstream]
        if agent.planned is not None or agent.is_unavailable or agent.draining:
            return
        self._run.role_changes += 1
        self._run.decisions.append(f"{at:.3f} {upstream} becomes {role.value}")
        agent.planned = role
        for entry in (*self._entries, self._planner_entry):
            find_view(entry.views, upstream).ready = False
        self._hand_back(at, agent)
        self._run_agent(at, agent)

    def _hand_back(self, at: float, agent: Agent) -> None:
        for key in [key for key in agent.jobs if agent.queue.withdraw(key)]:
            arrival, number = agent.jobs.pop(key)
            self._retry_waiting(at, agent.engine.name, arrival, key, number)

    def _retry_waiting(self, at, upstream, arrival, key, number) -> None:
        self._release(number, upstream)
        work = make_work(self._entries[number], arrival, key[1] + 1)
        delay = LINK_SECONDS
        self._schedule(at + delay, self._send, arrival, work, number, (upstream,))

    def _restart(self, at: float, agent: Agent) -> None:
        agent.is_unavailable = True
        agent.version += 1
        self._schedule_restart_end(at + CHANGE_SECONDS, agent, agent.planned)

    def _schedule_restart_end(self, at: float, agent: Agent, role: Role | None) -> None:
        agent.epoch += 1
        self._schedule(at, self._finish_restart, agent.engine.name, role, agent.epoch)

    def _finish_restart(
        self, at: float, upstream: str, role: Role | None, epoch: int
    ) -> None:
        agent = self._agents[upstream]
        if epoch != agent.epoch:
            return
        if agent.engine.running:
            self._schedule(at + 1.0, self._finish_restart, upstream, role, epoch)
            return
        agent.engine.restart(role or agent.engine.role, at)
        agent.is_unavailable = agent.draining = False
        agent.planned = None
        self._configure_queue(agent)
        self._run_agent(at, agent)

    def _inject_fault(self, at: float, fault: Fault) -> None:
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
            self._schedule_restart_end(at + fault.seconds, agent, None)
        elif fault.kind == "lose":
            self._lose_engine(at, agent)
            self._schedule_restart_end(at + fault.seconds, agent, None)
        self._run_agent(at, agent)

    def _lose_engine(self, at: float, agent: Agent) -> None:
        # All simulated requests are idempotent: each is retried elsewhere.
        agent.is_unavailable = True
        agent.version += 1
        agent.planned = None
        agent.engine.cancel_all(at)
        for key in list(agent.jobs):
            arrival, number = agent.jobs.pop(key)
            if not agent.queue.withdraw(key):
                agent.queue.finish(key, 0, to_timedelta(at))
            self._retry_waiting(at + 0.5, agent.engine.name, arrival, key, number)

    # Reports

    def _report(self, at: float) -> None:
        for agent in self._agents.values():
            agent.engine.advance(at)
            self._run_agent(at, agent)
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
                not agent.draining
                and not agent.is_unavailable
                and agent.planned is None,
            )
            self._schedule(
                at + self._lag, self._deliver_report, agent.engine.name, at, state
            )
        roles = tuple(
            a.engine.role.value if not a.is_unavailable else "away"
            for a in self._agents.values()
        )
        self._run.samples.append(
            (at, sum(a.queue.waiting for a in self._agents.values()), roles)
        )
        self._share_digests(at)
        if at < self._seconds:
            self._schedule(at + REPORT_SECONDS, self._report)

    def _share_digests(self, at: float) -> None:
        meters = [getattr(a.queue, "usage", None) for a in self._agents.values()]
        if None in meters:
            return
        digests = [meter.digest(to_timedelta(at)) for meter in meters]
        for meter in meters:
            merge_digests(meter, digests, at)
        for entry in self._entries:
            merge_digests(entry.usage, digests, at)

    def _deliver_report(
        self, at: float, upstream: str, sent_at: float, state: tuple
    ) -> None:
        for entry in (*self._entries, self._planner_entry):
            entry.apply_report(upstream, to_timedelta(sent_at), state)
            self._deliver_cache_events(entry, upstream)

    def _deliver_cache_events(self, entry: Entry, upstream: str) -> None:
        if self._random.random() < self._events_lost:
            # The events are lost on the way, and the engine no longer keeps them.
            oldest, events = self._agents[upstream].engine.read_events(0, keep_count=4)
        else:
            after = entry.index.last_number(upstream)
            oldest, events = self._agents[upstream].engine.read_events(after)
        entry.index.apply(upstream, oldest, events)

    def _configure_queue(self, agent: Agent) -> None:
        set_engine = getattr(agent.queue, "set_engine", None)
        if set_engine is not None:
            prefill_rate, decode_rate = agent.engine.rates()
            set_engine(agent.engine.costs.streams, prefill_rate, decode_rate)

    def _view(self, number: int, upstream: str) -> UpstreamView:
        return find_view(self._entries[number].views, upstream)

    def _answer(self, answer: Answer) -> None:
        self._run.answers.append(answer)


def _find_retry_after(queue: Any, work: Work, now: timedelta) -> float:
    refuse = getattr(queue, "refuse_late", None)
    return refuse(work, now).retry_after.total_seconds() if refuse else 1.0
