"""Runs: the attempts that an agent has received, with their frames.

All frames of an attempt are kept until some time after its end, so that an entry that
lost its link can request the remaining ones over a new link. An attempt that was
removed is distinguished from one that was never received by the highest stream number
removed, since each attempt of an entry process has a higher number.
"""

import asyncio
from collections import OrderedDict
from collections.abc import Iterator
from datetime import timedelta

from mustardquay.claims import RecordedAnswer
from mustardquay.errors import Refusal
from mustardquay.messages import (
    Attempt,
    AttemptFrame,
    Chunk,
    Done,
    Failed,
    FailureKind,
    Head,
    Header,
    Reattach,
    Refused,
    Started,
)
from mustardquay.works import Work

from .links import Link

__all__ = ["Owner", "Run", "RunTable", "make_unreceived", "make_work"]

Owner = tuple[str, int]
"""Name and incarnation of an entry process."""

WINDOW = 256 * 1024
"""Bytes of an answer that may be in transit to a slow caller."""
RETENTION = timedelta(seconds=60)
"""Time for which an ended run is kept; entries reconnect within seconds."""
OWNERS = 10_000
"""Number of entry processes for which the highest removed stream is kept."""


class Run:
    """One attempt at its agent, with all frames that it has produced."""

    def __init__(self, owner: Owner, attempt: Attempt, work: Work, link: Link | None):
        self.owner = owner
        self.attempt = attempt
        self.work = work
        self.link = link
        self.started = False
        self.first_data = False
        self.cancelled = False
        self.ended_at: timedelta | None = None
        self.progress_at = timedelta()
        """Monotonic time at which the upstream last sent something."""
        self._frames: list[AttemptFrame] = []
        self._credit = WINDOW
        self._credit_given = asyncio.Event()

    @property
    def key(self) -> tuple[Owner, int]:
        """Return the key that identifies the run at this agent."""
        return (self.owner, self.attempt.stream)

    @property
    def ended(self) -> bool:
        """Return whether the last frame has been produced."""
        return self.ended_at is not None

    def start(self, now: timedelta) -> None:
        """Record that the attempt is sent to the upstream."""
        self.started = True
        self.progress_at = now
        self._emit(Started(self.attempt.stream, len(self._frames)))

    def add_head(self, status: int, headers: tuple[Header, ...]) -> None:
        """Send the head of the answer."""
        stream = self.attempt.stream
        self._emit(Head(stream, len(self._frames), status, headers))

    def add_chunk(self, data: bytes, tokens: int) -> None:
        """Send a chunk of the answer and subtract its size from the credit."""
        self._credit -= len(data)
        self._emit(Chunk(self.attempt.stream, len(self._frames), tokens, data))

    def end_complete(self, now: timedelta) -> None:
        """End with a complete answer."""
        self._end(Done(self.attempt.stream, len(self._frames)), now)

    def end_refused(self, refusal: Refusal, now: timedelta) -> None:
        """End an attempt that was never started; the run serves as its tombstone."""
        self._end(
            Refused(
                self.attempt.stream,
                len(self._frames),
                refusal.reason,
                refusal.message,
                refusal.retry_after,
            ),
            now,
        )

    def end_failed(self, kind: FailureKind, message: str, now: timedelta) -> None:
        """End an attempt that may have run."""
        stream = self.attempt.stream
        self._end(Failed(stream, len(self._frames), kind, message), now)

    def build_answer(self) -> RecordedAnswer | None:
        """Return the complete answer, or None if there is none."""
        if not self._frames or not isinstance(self._frames[-1], Done):
            return None
        heads = [frame for frame in self._frames if isinstance(frame, Head)]
        parts = [frame.data for frame in self._frames if isinstance(frame, Chunk)]
        return RecordedAnswer(heads[0].status, heads[0].headers, b"".join(parts))

    def reattach(self, link: Link, have: int) -> None:
        """Send the frames after the first `have` ones over a new link."""
        self.link = link
        for frame in self._frames[have:]:
            link.send(frame)

    def give_credit(self, size: int) -> None:
        """Add credit for `size` bytes that the caller has read."""
        self._credit += size
        if self._credit > 0:
            self._credit_given.set()

    async def wait_for_credit(self) -> None:
        """Wait while too much of the answer is in transit to the caller."""
        while self._credit <= 0 and not self.cancelled:
            self._credit_given.clear()
            await self._credit_given.wait()

    @property
    def waits_for_caller(self) -> bool:
        """Return whether the run waits for the caller rather than for the upstream."""
        return self._credit <= 0

    def _end(self, frame: AttemptFrame, now: timedelta) -> None:
        if self.ended:
            return
        self.ended_at = now
        self._emit(frame)

    def _emit(self, frame: AttemptFrame) -> None:
        self._frames.append(frame)
        if self.link is not None:
            self.link.send(frame)


class RunTable:
    """The runs of one agent: those in progress and those that ended recently."""

    def __init__(self) -> None:
        self._runs: dict[tuple[Owner, int], Run] = {}
        self._ended: OrderedDict[tuple[Owner, int], Run] = OrderedDict()
        self._forgotten: OrderedDict[Owner, int] = OrderedDict()
        self._owners_forgotten = False

    def __iter__(self) -> Iterator[Run]:
        return iter(list(self._runs.values()))

    def __len__(self) -> int:
        return len(self._runs)

    def add(self, run: Run) -> None:
        """Add a run in progress."""
        self._runs[run.key] = run

    def find(self, key: tuple[Owner, int]) -> Run | None:
        """Return the run, whether it is in progress or has ended."""
        return self._runs.get(key) or self._ended.get(key)

    def list_ended(self) -> list[Run]:
        """Return the runs that ended recently, oldest first."""
        return list(self._ended.values())

    def note_end(self, run: Run) -> None:
        """Move a run from those in progress to those that ended recently."""
        self._runs.pop(run.key, None)
        self._ended[run.key] = run

    def may_be_forgotten(self, key: tuple[Owner, int]) -> bool:
        """Return whether an attempt that is not found may have been run.

        An entry that was paused for a long time may reattach after the run was
        removed. To treat that attempt as never received would wrongly report that it
        did not run. The highest stream number removed, which is kept for each entry
        process, distinguishes the two cases.
        """
        owner, stream = key
        if owner in self._forgotten:
            return stream <= self._forgotten[owner]
        return self._owners_forgotten

    def forget(self, now: timedelta) -> None:
        """Remove the runs that ended longer ago than `RETENTION`."""
        while self._ended:
            key, run = next(iter(self._ended.items()))
            assert run.ended_at is not None
            if now - run.ended_at < RETENTION:
                return
            del self._ended[key]
            self._note_forgotten(key)

    def _note_forgotten(self, key: tuple[Owner, int]) -> None:
        owner, stream = key
        self._forgotten[owner] = max(stream, self._forgotten.get(owner, 0))
        self._forgotten.move_to_end(owner)
        if len(self._forgotten) > OWNERS:
            self._forgotten.popitem(last=False)
            self._owners_forgotten = True


def make_work(attempt: Attempt, now: timedelta) -> Work:
    """Return the queue's view of an attempt, with times of this process's clock."""
    return Work(
        request=attempt.request,
        attempt=attempt.number,
        customer=attempt.customer,
        model=attempt.model,
        adapter=attempt.adapter,
        prompt_tokens=attempt.prompt_tokens,
        output_tokens=attempt.output_tokens,
        share=attempt.share,
        priority=attempt.priority,
        start_by=now + attempt.start_within,
        finish_by=now + attempt.finish_within,
        prefix=attempt.prefix,
        fingerprint=attempt.fingerprint,
        repeatable=attempt.repeatable,
        cached_tokens=attempt.cached_tokens,
        between_tokens=attempt.between_tokens,
    )


def make_unreceived(owner: Owner, reattach: Reattach, link: Link) -> Run:
    """Return a run that stands for an attempt that was never received."""
    work = Work(reattach.request, reattach.number, "", "")
    attempt = Attempt(
        stream=reattach.stream,
        request=reattach.request,
        number=reattach.number,
        incarnation=reattach.incarnation,
        customer="",
        model="",
        adapter="",
        method="",
        path="",
        headers=(),
        body=b"",
        prompt_tokens=0,
        output_tokens=0,
        share=1.0,
        priority=0,
        start_within=timedelta(),
        finish_within=timedelta(),
        prefix=(),
        fingerprint=0,
        repeatable=False,
        streamed=False,
        version=0,
    )
    return Run(owner, attempt, work, link)
