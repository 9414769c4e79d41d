"""Executors: run attempts on the upstream beside the agent, in a fair order."""

import asyncio
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from typing import Literal

from mustardquay.clocks import Clock
from mustardquay.errors import Reason, Refusal
from mustardquay.events import EventRing
from mustardquay.messages import Attempt, FailureKind, Reattach
from mustardquay.quarantines import CrashId, FingerprintStatus, Quarantine, SuspectGate
from mustardquay.queues import FairQueue
from mustardquay.tombstones import Tombstones

from .executions import Execution
from .links import Link
from .runs import Owner, Run, RunTable, make_unseen, make_work
from .upstreams import CallEnd, UpstreamClient

__all__ = ["Executor", "ExecutorOptions"]

RETRY_AFTER = timedelta(seconds=1)
PAUSE = timedelta(milliseconds=500)
"""A longer time between two sweeps means that the process did not run."""
UNSURE = timedelta(seconds=15)
"""Frames sent so long before a link was lost may have been lost with it."""


@dataclass(frozen=True, slots=True)
class ExecutorOptions:
    """What an executor has to know of its upstream."""

    upstream: str
    kind: Literal["engine", "service"]
    progress_timeout: timedelta
    drain_timeout: timedelta
    concurrency: int


class Executor:
    """Takes attempts in, queues them, runs them and answers to the entries."""

    def __init__(
        self,
        options: ExecutorOptions,
        client: UpstreamClient,
        queue: FairQueue,
        quarantine: Quarantine,
        clock: Clock,
        events: EventRing,
        probe: Callable[[], "asyncio.Future[str]"],
        crashed: Callable[[], None],
        orphaned: Callable[[Run], None],
    ):
        """Take the parts.

        `probe` asks the upstream over a new connection for its boot, "" when it
        does not answer; `crashed` hears of each crash once it is recorded, and
        `orphaned` of each run that ended while its entry had no link.
        """
        self._options = options
        self._client = client
        self._queue = queue
        self._quarantine = quarantine
        self._gate = SuspectGate()
        self._suspects: deque[Run] = deque()
        self._clock = clock
        self._events = events
        self._probe = probe
        self._crashed = crashed
        self._orphaned = orphaned
        self._table = RunTable()
        self._tombstones = Tombstones(now=clock.monotonic())
        self._by_work: dict[tuple[str, int], Run] = {}
        self._executions: dict[tuple[Owner, int], Execution] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._swept_at = clock.monotonic()
        self._draining = False
        self._empty = asyncio.Event()
        self._empty.set()
        self._boot = ""

    @property
    def draining(self) -> bool:
        """Return whether new work is refused."""
        return self._draining

    @property
    def waiting_tokens(self) -> int:
        """Return the prompt tokens that wait here."""
        return self._queue.waiting_tokens

    @property
    def waiting_tokens_within(self) -> int:
        """Return the part of them that customers within their share wait for."""
        return self._queue.waiting_tokens_within

    @property
    def waiting(self) -> int:
        """Return how many attempts wait here."""
        return self._queue.waiting + len(self._suspects)

    @property
    def running(self) -> int:
        """Return how many attempts run on the upstream."""
        return len(self._executions)

    @property
    def is_empty(self) -> bool:
        """Return whether no attempt waits or runs."""
        return not len(self._table)

    def set_engine(self, prefill_rate: float, decode_rate: float) -> None:
        """Take the rates that the engine reports; 0 means that it had no work."""
        if prefill_rate > 0 and decode_rate > 0:
            concurrency = self._options.concurrency
            self._queue.set_engine(concurrency, prefill_rate, decode_rate)

    def note_boot(self, boot: str) -> None:
        """Take the boot that the upstream reports while it is well."""
        self._boot = boot

    def accept(self, owner: Owner, attempt: Attempt, link: Link) -> None:
        """Take an attempt in, or refuse it for good."""
        now = self._clock.monotonic()
        work = make_work(attempt, now)
        run = Run(owner, attempt, work, link)
        if self._table.find(run.key) is not None:
            return
        if self._tombstones.contains(run.key, now):
            # The entry has been told that this attempt will not run.
            return
        self._table.add(run)
        self._empty.clear()
        refusal = self._judge(run, now)
        if refusal is not None:
            self._refuse(run, refusal)
            return
        self._record("attempt.accepted", run)
        self._pump()

    def refuse(
        self, owner: Owner, attempt: Attempt, link: Link, refusal: Refusal
    ) -> None:
        """Refuse an attempt that must not be taken in."""
        run = Run(owner, attempt, make_work(attempt, self._clock.monotonic()), link)
        if self._table.find(run.key) is None:
            self._refuse(run, refusal)

    def reattach(self, owner: Owner, reattach: Reattach, link: Link) -> None:
        """Go on with an attempt over a new link, or say what became of it."""
        run = self._table.find((owner, reattach.stream))
        if run is not None:
            run.reattach(link, reattach.have)
            return
        run = make_unseen(owner, reattach, link)
        now = self._clock.monotonic()
        if self._table.may_be_forgotten(run.key):
            run.end_failed(FailureKind.LOST, "The run is no longer kept.", now)
        elif not self._tombstones.add(run.key, now):
            run.end_failed(FailureKind.LOST, "There is no room to affirm it.", now)
        else:
            # The frame of the attempt can't come any more: it was sent on an older
            # link, and this agent reads nothing from those. The record stays as a
            # tombstone all the same.
            message = "The attempt never came, and will not be run."
            run.end_refused(Refusal(Reason.TOMBSTONE, message), now)
        self._table.note_end(run)

    def cancel(self, owner: Owner, stream: int) -> None:
        """Stop an attempt whose answer is no longer wanted."""
        run = self._table.find((owner, stream))
        if run is None or run.ended:
            return
        run.cancelled = True
        run.give_credit(0)
        execution = self._executions.get(run.key)
        if execution is not None:
            execution.stop()
            return
        self._withdraw(run)
        self._refuse(run, Refusal(Reason.DEADLINE, "The entry has cancelled it."))

    def give_credit(self, owner: Owner, stream: int, size: int) -> None:
        """Let more of an answer go to a caller that has taken some."""
        run = self._table.find((owner, stream))
        if run is not None:
            run.give_credit(size)

    def detach(self, link: Link) -> None:
        """Keep the runs of a link that was lost; their entry may come back."""
        for run in self._table:
            if run.link is link:
                run.link = None
        # What was sent shortly before the link was lost may not have arrived.
        since = self._clock.monotonic() - UNSURE
        for run in self._table.list_ended():
            if run.link is link and run.ended_at is not None and run.ended_at > since:
                run.link = None
                self._orphaned(run)

    def sweep(self) -> None:
        """End what waits too long or makes no progress; call it several times a
        second.
        """
        now = self._clock.monotonic()
        self._excuse_pause(now)
        for work in self._queue.expire(now):
            self._refuse(self._by_work[work.key], self._queue.refuse_late(work, now))
        for run in [run for run in self._suspects if run.work.start_by < now]:
            self._suspects.remove(run)
            self._refuse(run, _make_late())
        for execution in self._executions.values():
            if self._is_stalled(execution.run, now):
                # An engine that hangs, or a connection that was forgotten on its
                # way, shows as silence. The time is bounded here, so that the
                # entry can go on elsewhere while the caller still waits.
                execution.stop(stalled=True)
        self._table.forget(now)
        self._tombstones.tick(now)
        self._pump()

    def _excuse_pause(self, now: timedelta) -> None:
        """Don't count the time in which this process did not run.

        After a pause every stream looks stalled, though what the upstream sent
        meanwhile only waits to be read.
        """
        gap = now - self._swept_at
        self._swept_at = now
        if gap > PAUSE:
            for run in self._table:
                run.progress_at += gap

    def start_drain(self) -> None:
        """Refuse new work, and hand back what has not started."""
        self._draining = True
        refusal = _make_draining()
        for run in self._table:
            if run.key not in self._executions:
                self._withdraw(run)
                self._refuse(run, refusal)

    def end_drain(self) -> None:
        """Take new work again."""
        self._draining = False

    async def wait_until_empty(self) -> None:
        """Wait for running work; hand on what exceeds the drain's time limit.

        A run that would outlast the limit is broken off here, so that its entry
        resumes it elsewhere. What must not be repeated is never broken off.
        """
        try:
            async with asyncio.timeout(self._options.drain_timeout.total_seconds()):
                await self._empty.wait()
        except TimeoutError:
            for execution in self._executions.values():
                if execution.run.attempt.repeatable:
                    execution.stop(stalled=True)
            await self._empty.wait()

    async def close(self) -> None:
        """Stop everything at once; only after a drain nothing is lost."""
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._client.close()

    def _judge(self, run: Run, now: timedelta) -> Refusal | None:
        if self._draining:
            return _make_draining()
        fingerprint = run.attempt.fingerprint
        refusal = self._quarantine.refuse(fingerprint, now)
        if refusal is not None:
            return refusal
        if self._quarantine.find_status(fingerprint, now) is FingerprintStatus.SUSPECT:
            self._suspects.append(run)
            return None
        return self._offer(run, now)

    def _offer(self, run: Run, now: timedelta) -> Refusal | None:
        refusal = self._queue.offer(run.work, now)
        if refusal is None:
            self._by_work[run.work.key] = run
        return refusal

    def _pump(self) -> None:
        now = self._clock.monotonic()
        self._admit_suspect(now)
        while True:
            work = self._queue.take(now)
            if work is None:
                return
            self._begin(self._by_work[work.key])

    def _admit_suspect(self, now: timedelta) -> None:
        if not self._suspects or not self._gate.admit(self._suspects[0].work.key):
            return
        run = self._suspects.popleft()
        # The second crash may have been told of while this one waited.
        refusal = self._quarantine.refuse(run.attempt.fingerprint, now)
        refusal = refusal or self._offer(run, now)
        if refusal is not None:
            self._refuse(run, refusal)

    def _begin(self, run: Run) -> None:
        """Start the call of a run.

        The execution is noted at once, not when its task first runs: a drain or a
        cancellation that came between would take the run for one that waits, and
        say that it never started while it does.
        """
        execution = Execution(
            run,
            self._options.kind,
            self._clock.monotonic,
            lambda run: self._record("attempt.started", run),
            self._note_first_data,
        )
        self._executions[run.key] = execution
        task = asyncio.create_task(self._execute(execution))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _execute(self, execution: Execution) -> None:
        fresh = not execution.run.attempt.repeatable
        end = await self._client.run(execution.call, fresh)
        await self._settle(execution, end)

    async def _settle(self, execution: Execution, end: CallEnd) -> None:
        run = execution.run
        if end is CallEnd.NOT_SENT:
            message = "The upstream takes no connection; ask again later."
            refusal = Refusal(Reason.NO_UPSTREAM, message, RETRY_AFTER)
            self._refuse(run, refusal)
        elif end is CallEnd.WHOLE and execution.has_engine_error:
            message = f"The engine answered with status {execution.status}."
            self._fail(run, FailureKind.ERROR, message)
        elif end is CallEnd.WHOLE and execution.has_end_mark:
            now = self._clock.monotonic()
            self._quarantine.note_answer(run.attempt.fingerprint, now)
            run.end_whole(now)
            self._finish(run, "attempt.done")
        else:
            await self._settle_broken(execution)

    async def _settle_broken(self, execution: Execution) -> None:
        run = execution.run
        if run.cancelled:
            self._fail(run, FailureKind.LOST, "The entry has cancelled it.")
            return
        if execution.stalled:
            self._fail(run, FailureKind.STALLED, "The upstream made no progress.")
            return
        boot = self._boot
        answered = await self._probe()
        if answered and answered == boot:
            message = "The answer ended before its end mark."
            self._fail(run, FailureKind.TRUNCATED, message)
            return
        self._note_crash(boot)
        self._fail(run, FailureKind.CRASH, "The upstream died.")

    def _note_crash(self, boot: str) -> None:
        running = [run for run in self._table if run.key in self._executions]
        fingerprints = {run.attempt.fingerprint for run in running}
        now = self._clock.monotonic()
        self._quarantine.note_crash(
            CrashId(self._options.upstream, boot), fingerprints, now
        )
        self._events.record(
            "upstream.crashed",
            upstream=self._options.upstream,
            in_flight=[run.attempt.request for run in running],
        )
        # Entries must know the suspects before they choose where to retry.
        self._crashed()

    def _fail(self, run: Run, kind: FailureKind, message: str) -> None:
        run.end_failed(kind, message, self._clock.monotonic())
        self._finish(run, "attempt.failed", failure=kind.value)

    def _refuse(self, run: Run, refusal: Refusal) -> None:
        run.end_refused(refusal, self._clock.monotonic())
        self._finish(run, "attempt.refused", reason=refusal.reason.value)

    def _finish(self, run: Run, kind: str, **details: str) -> None:
        self._record(kind, run, **details)
        key = run.work.key
        execution = self._executions.pop(run.key, None)
        self._gate.finish(key)
        if self._by_work.pop(key, None) is not None:
            tokens = execution.tokens if execution is not None else 0
            self._queue.finish(key, tokens, self._clock.monotonic())
        self._table.note_end(run)
        if run.link is None:
            self._orphaned(run)
        if self.is_empty:
            self._empty.set()
        asyncio.get_running_loop().call_soon(self._pump)

    def _withdraw(self, run: Run) -> None:
        self._queue.withdraw(run.work.key)
        if run in self._suspects:
            self._suspects.remove(run)

    def _is_stalled(self, run: Run, now: timedelta) -> bool:
        if run.is_held_back or not run.started:
            return False
        if not run.attempt.streamed and run.attempt.repeatable:
            # An answer in one piece shows no progress before its end.
            return now > run.work.finish_by
        return now - run.progress_at > self._options.progress_timeout

    def _note_first_data(self, run: Run) -> None:
        self._queue.note_first_token(run.work.key, run.progress_at)
        self._pump()

    def _record(self, kind: str, run: Run, **details: str) -> None:
        self._events.record(
            kind,
            request=run.attempt.request,
            customer=run.attempt.customer,
            upstream=self._options.upstream,
            attempt=run.attempt.number,
            **details,
        )


def _make_late() -> Refusal:
    return Refusal(
        Reason.DEADLINE,
        "The work can't start within the tolerated lateness; ask again later.",
        RETRY_AFTER,
    )


def _make_draining() -> Refusal:
    return Refusal(
        Reason.DRAINING, "This upstream takes no new work; use another.", RETRY_AFTER
    )
