"""Claim writers: the grouped transactions of one process on the table of claims.

The service takes several hundred writes a second for the whole site, so the writes
of a short window go into one transaction, one transaction at a time; while it is
under way the next one gathers. An unclear transaction is read back by sending it
again: its conditions then fail, and the conflict shows the rows with their ids.
"""

import asyncio
import logging
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace
from datetime import timedelta
from random import Random

from mustardquay.claims import (
    Claim,
    ClaimState,
    ClaimWrite,
    Judgement,
    Verdict,
    decode_claim,
    group_writes,
    judge_claim,
    settle_write,
    split_conflict,
)
from mustardquay.clocks import Clock
from mustardquay.errors import StoreUnavailable
from mustardquay.retries import choose_backoff
from mustardquay.tables import Committed, Conflict, Row, TableService

__all__ = ["ClaimWriter", "WaitingWrite"]

BATCH_LIMIT = 100
WAITING_LIMIT = 10_000
BACKOFF_CAP = timedelta(milliseconds=400)
"""Under the lateness that callers tolerate, so that claims go on soon after an
outage; there is one call at a time from each process."""

logger = logging.getLogger(__name__)


@dataclass(slots=True, eq=False)
class WaitingWrite:
    """A write that waits for its transaction."""

    claim: Claim
    result: "asyncio.Future[Judgement | bool]"
    begins: bool
    """Whether it makes a claim; otherwise it ends one."""
    unclear: bool = False
    """Whether a try of it may have been applied."""
    alone: bool = False
    """Whether a conflict could not be told to be its own."""
    abandoned: bool = False

    @property
    def row_key(self) -> str:
        """Return the key of the row to write."""
        return self.claim.key.row_key


class ClaimWriter:
    """Writes claims and their ends, in groups, until the store has taken them."""

    def __init__(
        self,
        tables: TableService,
        clock: Clock,
        random: Random,
        window: timedelta,
        note_end: Callable[[str], None],
    ):
        self._tables = tables
        self._clock = clock
        self._random = random
        self._window = window
        self._note_end = note_end
        self._waiting: deque[WaitingWrite] = deque()
        self._in_flight: frozenset[WaitingWrite] = frozenset()
        self._wake = asyncio.Event()
        self._failures = 0
        self._transactions = 0
        self._closing = False
        self._task: asyncio.Task | None = None

    @property
    def transactions(self) -> int:
        """Return how many transactions were sent."""
        return self._transactions

    @property
    def waiting(self) -> int:
        """Return how many writes wait for a transaction."""
        return len(self._waiting)

    @property
    def full(self) -> bool:
        """Return whether no more claims may be queued."""
        return self._closing or len(self._waiting) >= WAITING_LIMIT

    def start(self) -> None:
        """Begin to write."""
        self._task = asyncio.create_task(self._write_all())

    async def close(self, timeout: timedelta) -> None:
        """Write what waits, as far as the store takes it in time, and stop."""
        self._closing = True
        self._wake.set()
        if self._task is None:
            return
        await asyncio.wait({self._task}, timeout=timeout.total_seconds())
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)
        if self._waiting:
            logger.warning("%d claim writes were lost in the stop", len(self._waiting))

    def begin(self, claim: Claim) -> WaitingWrite:
        """Queue a new claim; its result is a `Judgement`, which may be `JOIN`."""
        return self._queue(claim, begins=True)

    def end(self, claim: Claim) -> "asyncio.Future[bool]":
        """Queue a claim's new state; the result tells whether the row shows it."""
        return self._queue(claim, begins=False).result

    def abandon(self, item: WaitingWrite) -> None:
        """Withdraw a claim whose caller has been told not-run or has gone.

        Guards against a claim that is applied after its caller heard not-run: its
        repeat would find the key held by nobody. If a try may have been applied,
        a not-run row follows it, which also keeps a delayed try from applying.
        """
        item.abandoned = True
        if item.result.done():
            judged = item.result.result()
            if judged.verdict is Verdict.RUN:
                self._release(judged.claim)
        elif item not in self._in_flight:
            self._waiting.remove(item)
            self._withdraw(item)

    def _queue(self, claim: Claim, begins: bool) -> WaitingWrite:
        result = asyncio.get_running_loop().create_future()
        item = WaitingWrite(claim, result, begins)
        self._waiting.append(item)
        self._wake.set()
        return item

    async def _write_all(self) -> None:
        while self._waiting or not self._closing:
            if not self._waiting:
                self._wake.clear()
                await self._wake.wait()
                continue
            await asyncio.sleep(self._window.total_seconds())
            batch = self._take_batch()
            if batch:
                await self._write(batch)

    def _take_batch(self) -> list[WaitingWrite]:
        """Take waiting items of different keys, in their order per key."""
        batch: list[WaitingWrite] = []
        keys: set[str] = set()
        left: deque[WaitingWrite] = deque()
        for item in self._waiting:
            fits = len(batch) < BATCH_LIMIT and not (batch and batch[0].alone)
            fits = fits and not (batch and item.alone)
            if fits and item.row_key not in keys:
                batch.append(item)
            else:
                left.append(item)
            keys.add(item.row_key)
        self._waiting = left
        return batch

    async def _write(self, batch: list[WaitingWrite]) -> None:
        writes = [ClaimWrite(item.claim) for item in batch]
        self._in_flight = frozenset(batch)
        self._transactions += 1
        try:
            result = await self._tables.transact(group_writes(writes))
        except StoreUnavailable:
            self._in_flight = frozenset()
            await self._try_again(batch)
            return
        except Exception as error:
            # Not only `StoreResultUnknown`: whatever went wrong, the write may stand.
            logger.info("A transaction on claims is unclear: %s", error)
            self._in_flight = frozenset()
            for item in batch:
                item.unclear = True
            await self._try_again(batch)
            return
        self._in_flight = frozenset()
        self._failures = 0
        if isinstance(result, Committed):
            self._note_committed(batch, result)
        else:
            self._note_conflict(batch, writes, result)

    async def _try_again(self, batch: list[WaitingWrite]) -> None:
        self._requeue(batch)
        self._failures += 1
        await self._back_off(self._failures)

    def _requeue(self, batch: Iterable[WaitingWrite]) -> None:
        kept = []
        for item in batch:
            if item.abandoned:
                self._withdraw(item)
            else:
                kept.append(item)
        self._waiting.extendleft(reversed(kept))

    def _withdraw(self, item: WaitingWrite) -> None:
        if item.unclear:
            self._release(item.claim)

    def _release(self, claim: Claim) -> None:
        self.end(replace(claim, state=ClaimState.NOT_RUN))

    async def _back_off(self, retry: int) -> None:
        pause = choose_backoff(retry, timedelta.max, self._random, cap=BACKOFF_CAP)
        await asyncio.sleep(pause.total_seconds())

    def _note_committed(self, batch: list[WaitingWrite], result: Committed) -> None:
        for item, revision in zip(batch, result.revisions, strict=True):
            if item.begins:
                claim = replace(item.claim, revision=revision)
                self._settle_claim(item, Judgement(Verdict.RUN, claim))
            else:
                self._settle_end(item, True)

    def _note_conflict(
        self, batch: list[WaitingWrite], writes: list[ClaimWrite], result: Conflict
    ) -> None:
        if len(batch) == 1:
            self._note_row(batch[0], result.rows[0])
            return
        items = {item.row_key: item for item in batch}
        met, doubtful, others = split_conflict(writes, result.rows)
        for write, row in met:
            self._note_row(items[write.claim.key.row_key], row)
        for write in doubtful:
            items[write.claim.key.row_key].alone = True
        again = [items[write.claim.key.row_key] for write in (*doubtful, *others)]
        self._requeue(again)

    def _note_row(self, item: WaitingWrite, row: Row | None) -> None:
        if item.begins:
            judged = judge_claim(item.claim, row, self._clock.now())
            if isinstance(judged, Judgement):
                self._settle_claim(item, judged)
                return
            item.claim = judged
        else:
            amended = settle_write(item.claim, row)
            if amended is None:
                self._settle_end(item, _stands(item.claim, row))
                return
            item.claim = amended
        item.alone = False
        self._requeue([item])

    def _settle_claim(self, item: WaitingWrite, judged: Judgement) -> None:
        if not item.abandoned:
            if not item.result.done():
                item.result.set_result(judged)
        elif judged.verdict is Verdict.RUN:
            self._release(judged.claim)

    def _settle_end(self, item: WaitingWrite, stands: bool) -> None:
        if not item.result.done():
            item.result.set_result(stands)
        self._note_end(item.row_key)


def _stands(claim: Claim, row: Row | None) -> bool:
    if row is None:
        return False
    held = decode_claim(claim.key, row)
    return held.id == claim.id and held.state is claim.state
