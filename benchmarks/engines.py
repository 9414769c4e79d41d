"""Simulated engines: continuous batching by the cost model.

Between two events of an engine, its step time is constant. The work done is therefore
the elapsed time over the step time, and single steps need not be simulated.
"""

from collections import OrderedDict, deque
from dataclasses import dataclass
from heapq import heappop, heappush

from mustardquay.caches import PIECE_TOKENS, CacheEvent
from mustardquay.works import Role, Work

from .engine_costs import CACHE_PIECES, ROLE_COSTS, length_factor, step_seconds

__all__ = ["Engine", "Job"]

EPSILON = 1e-9


@dataclass(slots=True)
class Job:
    """A request on an engine."""

    work: Work
    output_tokens: int
    """Actual number of output tokens."""
    remaining: float = 0.0
    """Remaining prompt tokens to compute, weighted by the prompt's length."""
    uncached: int = 0
    first_token: float = 0.0
    finished: float = 0.0


class Engine:
    """One model engine; times are seconds of the virtual clock."""

    def __init__(self, name: str, role: Role):
        self.name = name
        self.slowness = 1.0
        self._events: list[CacheEvent] = []
        self._number = 0
        self.restart(role, 0.0)

    @property
    def costs(self):
        """Return the limits of the current role."""
        return ROLE_COSTS[self.role]

    @property
    def running(self) -> int:
        """Return the number of requests on the engine."""
        return len(self._prefilling) + len(self._streams)

    @property
    def queued_tokens(self) -> float:
        """Return the prompt tokens that remain to be computed."""
        return sum(job.remaining for job in self._prefilling)

    def restart(self, role: Role, now: float) -> list[Job]:
        """Restart with an empty cache; return the jobs that were cut off."""
        cut = [] if not hasattr(self, "_streams") else self._list_jobs()
        self.role = role
        self._prefilling: deque[Job] = deque()
        self._streams: list[tuple[float, int, Job]] = []
        self._contexts = 0.0
        self._tokens = 0.0
        self._at = now
        self._sequence = 0
        for piece in list(getattr(self, "_cache", ())):
            self._note_event(False, piece)
        self._cache: OrderedDict[int, None] = OrderedDict()
        return cut

    def start(self, work: Work, output_tokens: int, now: float) -> Job:
        """Start a request; its cached tokens are determined now."""
        self.advance(now)
        job = Job(work, output_tokens)
        cached = min(self._use_cache(work.prefix) * PIECE_TOKENS, work.prompt_tokens)
        job.uncached = max(work.prompt_tokens - cached, 1)
        job.remaining = job.uncached * length_factor(work.prompt_tokens)
        self._prefilling.append(job)
        return job

    def next_event(self) -> float:
        """Return when the next prefill or stream ends if no other event occurs."""
        if not self.running:
            return float("inf")
        step, chunk = self._step()
        times = []
        if self._prefilling:
            times.append(self._prefilling[0].remaining * step / chunk)
        if self._streams:
            times.append(max(self._streams[0][0] - self._tokens, 0.0) * step)
        return self._at + min(times)

    def advance(self, now: float) -> None:
        """Advance the engine's work to the time `now`."""
        elapsed = now - self._at
        self._at = now
        if elapsed <= 0 or not self.running:
            return
        step, chunk = self._step()
        steps = elapsed / step
        if self._streams:
            self._tokens += steps
            self._contexts += steps * len(self._streams)
        if self._prefilling:
            self._prefilling[0].remaining -= steps * chunk

    def collect(self) -> tuple[list[Job], list[Job]]:
        """Return the jobs that now have their first token, and those that are done."""
        first, done = [], []
        while self._prefilling and self._prefilling[0].remaining <= 1e-3:
            job = self._prefilling.popleft()
            job.first_token = self._at
            first.append(job)
            self._store_cache(job.work.prefix)
            self._open_stream(job)
        while self._streams and self._streams[0][0] - self._tokens <= 1e-6:
            _, _, job = heappop(self._streams)
            self._contexts -= job.work.prompt_tokens + job.output_tokens
            job.finished = self._at
            done.append(job)
        return first, done

    def cancel_all(self, now: float) -> list[Job]:
        """Crash: cut off all jobs and lose the cache."""
        return self.restart(self.role, now)

    def rates(self) -> tuple[float, float]:
        """Return prefill tokens a second, and output tokens a second of one stream."""
        step, _ = self._step(float(self.costs.chunk_tokens))
        streams, _ = self._step(0.0)
        return self.costs.chunk_tokens / step, 1.0 / streams

    def read_events(
        self, after: int, keep_count: int = 512
    ) -> tuple[int, list[CacheEvent]]:
        """Return the oldest event number kept and the events after number `after`."""
        del self._events[:-keep_count]
        oldest = self._events[0].number if self._events else self._number + 1
        return oldest, [event for event in self._events if event.number > after]

    def _step(self, chunk: float | None = None) -> tuple[float, float]:
        if chunk is None:
            chunk = min(float(self.costs.chunk_tokens), self.queued_tokens)
        streams = len(self._streams)
        step = step_seconds(chunk, streams, max(self._contexts, 0.0))
        return step * self.slowness, max(chunk, EPSILON)

    def _open_stream(self, job: Job) -> None:
        self._sequence += 1
        self._contexts += job.work.prompt_tokens + 1
        end = self._tokens + job.output_tokens - 1
        heappush(self._streams, (end, self._sequence, job))

    def _list_jobs(self) -> list[Job]:
        return list(self._prefilling) + [entry[-1] for entry in self._streams]

    def _use_cache(self, prefix: tuple[int, ...]) -> int:
        count = 0
        for piece in prefix:
            if piece not in self._cache:
                break
            self._cache.move_to_end(piece)
            count += 1
        return count

    def _store_cache(self, prefix: tuple[int, ...]) -> None:
        for piece in prefix:
            if piece not in self._cache:
                self._note_event(True, piece)
            self._cache[piece] = None
            self._cache.move_to_end(piece)
        while len(self._cache) > CACHE_PIECES:
            piece, _ = self._cache.popitem(last=False)
            self._note_event(False, piece)

    def _note_event(self, stored: bool, piece: int) -> None:
        self._number += 1
        self._events.append(CacheEvent(self._number, stored, piece))
