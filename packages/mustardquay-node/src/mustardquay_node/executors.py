"""Executors: run attempts on the agent's upstream, scheduled by a fair queue."""

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
from .runs import Owner, Run, RunTable, make_unreceived, make_work
from .upstreams import CallResult, UpstreamClient

__all__ = ["Executor", "ExecutorOptions"]

RETRY_AFTER = timedelta(seconds=1)
PAUSE = timedelta(milliseconds=500)
"""A longer interval between two sweeps means that the process did not run."""
LINK_LOSS_WINDOW = timedelta(seconds=15)
"""Frames sent within this time before a link was lost may not have been delivered."""


@dataclass(frozen=True, slots=True)
class ExecutorOptions:
    """Options of an executor for its upstream."""

    upstream: str
    kind: Literal["engine", "service"]
    progress_timeout: timedelta
    drain_timeout: timedelta
    concurrency: int


class Executor:
    """Accepts attempts, queues and runs them, and sends the results to the entries."""

    def __init__(
        self,
        options: ExecutorOptions,
        client: UpstreamClient,
        queue: FairQueue,
        quarantine: Quarantine,
        clock: Clock,
        events: EventRing,
        probe: Callable[[], "asyncio.Future[str]"],
        on_crash: Callable[[], None],
        on_orphan: Callable[[Run], None],
    ):
        """Set the dependencies and callbacks.

        `probe` requests the upstream's boot over a new connection and returns "" if
        there is no answer. `on_crash` is called after each crash is recorded, and
        `on_orphan` with each run that ended while its entry had no link.
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
        self._on_crash = on_crash
        self._on_orphan = on_orphan
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
        """Return the number of prompt tokens in the queue."""
        return self._queue.waiting_tokens

    @property
    def waiting_tokens_within(self) -> int:
        """Return how many of these tokens belong to customers within their share."""
        return self._queue.waiting_tokens_within

    @property
    def waiting(self) -> int:
        """Return the number of attempts that wait."""
        return self._queue.waiting + len(self._suspects)

    @property
    def running(self) -> int:
        """Return the number of attempts that run on the upstream."""
        return len(self._executions)

    @property
    def is_empty(self) -> bool:
        """Return whether no attempt waits or runs."""
        return not len(self._table)

    def set_engine(self, prefill_rate: float, decode_rate: float) -> None:
        """Update the rates that the engine reports; 0 means that it was idle."""
        if prefill_rate > 0 and decode_rate > 0:
            concurrency = self._options.concurrency
            self._queue.set_engine(concurrency, prefill_rate, decode_rate)

    def note_boot(self, boot: str) -> None:
        """Update the boot that the upstream reports while it is reachable."""
        self._boot = boot

    def accept(self, owner: Owner, attempt: Attempt, link: Link) -> None:
        """Accept an attempt, or refuse it permanently."""
        now = self._clock.monotonic()
        work = make_work(attempt, now)
        run = Run(owner, attempt, work, link)
        if self._table.find(run.key) is not None:
            return
        if self._tombstones.contains(run.key, now):
            # The entry was already notified that this attempt will not run.
            return
        self._table.add(run)
        self._empty.clear()
        refusal = self._admit(run, now)
        if refusal is not None:
            self._refuse(run, refusal)
            return
        self._record("attempt.accepted", run)
        self._start_waiting()

    def refuse(
        self, owner: Owner, attempt: Attempt, link: Link, refusal: Refusal
    ) -> None:
        """Refuse an attempt without queueing it."""
        run = Run(owner, attempt, make_work(attempt, self._clock.monotonic()), link)
        if self._table.find(run.key) is None:
            self._refuse(run, refusal)

    def reattach(self, owner: Owner, reattach: Reattach, link: Link) -> None:
        """Continue an attempt over a new link, or send its result."""
        run = self._table.find((owner, reattach.stream))
        if run is not None:
            run.reattach(link, reattach.have)
            return
        run = make_unreceived(owner, reattach, link)
        now = self._clock.monotonic()
        if self._table.may_be_forgotten(run.key):
            run.end_failed(FailureKind.LOST, "The run is no longer kept.", now)
        elif not self._tombstones.add(run.key, now):
            run.end_failed(FailureKind.LOST, "There is no room for a tombstone.", now)
        else:
            # The attempt's frame can't arrive any more: it was sent on an older link,
            # and this agent no longer reads from those. The record is kept as a
            # tombstone nevertheless.
            message = "The attempt never came, and will not be run."
            run.end_refused(Refusal(Reason.TOMBSTONE, message), now)
        self._table.note_end(run)

    def cancel(self, owner: Owner, stream: int) -> None:
        """Cancel an attempt whose answer is no longer needed."""
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
        """Add to the flow control credit of a run after its caller has read data."""
        run = self._table.find((owner, stream))
        if run is not None:
            run.give_credit(size)

    def detach(self, link: Link) -> None:
        """Detach the runs of a lost link; their entry may reconnect to them."""
        for run in self._table:
            if run.link is link:
                run.link = None
        # Frames sent shortly before the link was lost may not have been delivered.
        since = self._clock.monotonic() - LINK_LOSS_WINDOW
        for run in self._table.list_ended():
            if run.link is link and run.ended_at is not None and run.ended_at > since:
                run.link = None
                self._on_orphan(run)

    def sweep(self) -> None:
        """End attempts that wait too long or make no progress.

        Must be called several times a second.
        """
        now = self._clock.monotonic()
        self._extend_after_pause(now)
        for work in self._queue.expire(now):
            self._refuse(self._by_work[work.key], self._queue.refuse_late(work, now))
        for run in [run for run in self._suspects if run.work.start_by < now]:
            self._suspects.remove(run)
            self._refuse(run, _make_late())
        for execution in self._executions.values():
            if self._is_stalled(execution.run, now):
                # Nothing arrives from an engine that hangs, or over a connection whose
                # state was dropped by a device in between. This timeout lets the entry
                # retry on another upstream while the caller still waits.
                execution.stop(stalled=True)
        self._table.forget(now)
        self._tombstones.tick(now)
        self._start_waiting()

    def _extend_after_pause(self, now: timedelta) -> None:
        """Exclude the time in which this process did not run from progress timeouts.

        After a pause every stream seems to have stalled, although the data that the
        upstream sent in the meantime is only waiting to be read.
        """
        gap = now - self._swept_at
        self._swept_at = now
        if gap > PAUSE:
            for run in self._table:
                run.progress_at += gap

    def start_drain(self) -> None:
        """Refuse new work and hand back attempts that have not started."""
        self._draining = True
        refusal = _make_draining()
        for run in self._table:
            if run.key not in self._executions:
                self._withdraw(run)
                self._refuse(run, refusal)

    def end_drain(self) -> None:
        """Accept new work again."""
        self._draining = False

    async def wait_until_empty(self) -> None:
        """Wait for running attempts; interrupt those that exceed the drain timeout.

        A run that exceeds the timeout is interrupted, so that its entry resumes it on
        another upstream. Non-repeatable runs are never interrupted.
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
        """Stop everything at once; running attempts are lost, so drain first."""
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._client.close()

    def _admit(self, run: Run, now: timedelta) -> Refusal | None:
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

    def _start_waiting(self) -> None:
        now = self._clock.monotonic()
        self._admit_suspect(now)
        while True:
            work = self._queue.take(now)
            if work is None:
                return
            self._start_call(self._by_work[work.key])

    def _admit_suspect(self, now: timedelta) -> None:
        if not self._suspects or not self._gate.admit(self._suspects[0].work.key):
            return
        run = self._suspects.popleft()
        # A second crash may have been reported while this attempt waited.
        refusal = self._quarantine.refuse(run.attempt.fingerprint, now)
        refusal = refusal or self._offer(run, now)
        if refusal is not None:
            self._refuse(run, refusal)

    def _start_call(self, run: Run) -> None:
        """Start the call of a run.

        The execution is registered here, not when its task first runs. A drain or
        cancellation in between would otherwise treat the run as queued and report that
        it never started, although it then does.
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
        result = await self._client.run(execution.call, fresh)
        await self._handle_result(execution, result)

    async def _handle_result(self, execution: Execution, result: CallResult) -> None:
        run = execution.run
        if result is CallResult.NOT_SENT:
            message = "The upstream takes no connection; ask again later."
            refusal = Refusal(Reason.NO_UPSTREAM, message, RETRY_AFTER)
            self._refuse(run, refusal)
        elif result is CallResult.COMPLETE and execution.has_failed:
            message = f"The upstream answered with status {execution.status}."
            self._fail(run, FailureKind.ERROR, message)
        elif result is CallResult.COMPLETE and execution.has_end_mark:
            now = self._clock.monotonic()
            self._quarantine.note_answer(run.attempt.fingerprint, now)
            run.end_complete(now)
            self._finish(run, "attempt.done")
        else:
            await self._handle_broken(execution)

    async def _handle_broken(self, execution: Execution) -> None:
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
        # Entries need the list of suspects before they select an upstream to retry on.
        self._on_crash()

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
            self._on_orphan(run)
        if self.is_empty:
            self._empty.set()
        asyncio.get_running_loop().call_soon(self._start_waiting)

    def _withdraw(self, run: Run) -> None:
        self._queue.withdraw(run.work.key)
        if run in self._suspects:
            self._suspects.remove(run)

    def _is_stalled(self, run: Run, now: timedelta) -> bool:
        if run.waits_for_caller or not run.started:
            return False
        if not run.attempt.streamed and run.attempt.repeatable:
            # An answer that is not streamed shows no progress before its end.
            return now > run.work.finish_by
        return now - run.progress_at > self._options.progress_timeout

    def _note_first_data(self, run: Run) -> None:
        self._queue.note_first_token(run.work.key, run.progress_at)
        self._start_waiting()

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
