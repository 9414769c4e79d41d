"""Group commit of one process's writes to the claim table.

The table service handles several hundred writes a second for the whole site, so all
writes of a short window go into one transaction. A process sends one transaction at a
time, and collects the next one meanwhile. A transaction with an unknown result is sent
again: if it had been applied, its conditions fail, and the conflict returns the rows
with the ids of their claims.
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
    ClaimDecision,
    ClaimResult,
    ClaimState,
    ClaimWrite,
    decode_claim,
    group_writes,
    rebase_final_write,
    resolve_claim,
    split_conflict,
)
from mustardquay.clocks import Clock
from mustardquay.errors import StoreUnavailable
from mustardquay.retries import choose_backoff
from mustardquay.tables import Committed, Conflict, Row, TableService

__all__ = ["ClaimWriter", "QueuedWrite"]

BATCH_LIMIT = 100
WAITING_LIMIT = 10_000
BACKOFF_CAP = timedelta(milliseconds=400)
"""Shorter than the lateness that callers tolerate, so that claims proceed soon after
an outage. Each process sends only one call at a time, so the retries are few."""

logger = logging.getLogger(__name__)


@dataclass(slots=True, eq=False)
class QueuedWrite:
    """A queued write, until its result is known."""

    claim: Claim
    result: "asyncio.Future[ClaimResult | bool]"
    is_new: bool
    """Whether it creates a claim; otherwise it writes a claim's final state."""
    may_be_applied: bool = False
    """Whether an earlier transaction with this write may have been applied."""
    needs_own_transaction: bool = False
    """Whether it needs a transaction of its own, since it was in a conflict that
    doesn't show which of the writes failed."""
    abandoned: bool = False

    @property
    def row_key(self) -> str:
        """Return the key of the row to write."""
        return self.claim.key.row_key


class ClaimWriter:
    """Writes new claims and final states in groups, with retries until stored."""

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
        self._waiting: deque[QueuedWrite] = deque()
        self._in_flight: frozenset[QueuedWrite] = frozenset()
        self._wake = asyncio.Event()
        self._failures = 0
        self._transactions = 0
        self._closing = False
        self._task: asyncio.Task | None = None

    @property
    def transactions(self) -> int:
        """Return the number of transactions sent."""
        return self._transactions

    @property
    def waiting(self) -> int:
        """Return the number of queued writes."""
        return len(self._waiting)

    @property
    def full(self) -> bool:
        """Return whether no new claim may be queued."""
        return self._closing or len(self._waiting) >= WAITING_LIMIT

    def start(self) -> None:
        """Start the task that writes."""
        self._task = asyncio.create_task(self._write_all())

    async def close(self, timeout: timedelta) -> None:
        """Write what is queued, as far as the timeout permits, and stop."""
        self._closing = True
        self._wake.set()
        if self._task is None:
            return
        await asyncio.wait({self._task}, timeout=timeout.total_seconds())
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)
        if self._waiting:
            logger.warning("%d claim writes lost on shutdown", len(self._waiting))

    def begin(self, claim: Claim) -> QueuedWrite:
        """Queue a new claim; its result is a `ClaimResult`, which may be `JOIN`."""
        return self._queue(claim, is_new=True)

    def end(self, claim: Claim) -> "asyncio.Future[bool]":
        """Queue a claim's final state; the result is whether the row has it."""
        return self._queue(claim, is_new=False).result

    def abandon(self, item: QueuedWrite) -> None:
        """Withdraw a claim whose caller got `not-run` or has disconnected.

        Guards against a claim that is applied after its caller got `not-run`: a retry
        would find its key claimed by a request that no longer exists. If a write may
        have been applied, a `not-run` row is written after it, which also makes the
        conditions of a delayed write fail.
        """
        item.abandoned = True
        if item.result.done():
            resolved = item.result.result()
            if resolved.decision is ClaimDecision.RUN:
                self._release(resolved.claim)
        elif item not in self._in_flight:
            self._waiting.remove(item)
            self._withdraw(item)

    def _queue(self, claim: Claim, is_new: bool) -> QueuedWrite:
        result = asyncio.get_running_loop().create_future()
        item = QueuedWrite(claim, result, is_new)
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

    def _take_batch(self) -> list[QueuedWrite]:
        """Remove queued writes of distinct keys, keeping the order within each key."""
        batch: list[QueuedWrite] = []
        keys: set[str] = set()
        left: deque[QueuedWrite] = deque()
        for item in self._waiting:
            fits = len(batch) < BATCH_LIMIT and not (
                batch and batch[0].needs_own_transaction
            )
            fits = fits and not (batch and item.needs_own_transaction)
            if fits and item.row_key not in keys:
                batch.append(item)
            else:
                left.append(item)
            keys.add(item.row_key)
        self._waiting = left
        return batch

    async def _write(self, batch: list[QueuedWrite]) -> None:
        writes = [ClaimWrite(item.claim) for item in batch]
        self._in_flight = frozenset(batch)
        self._transactions += 1
        try:
            result = await self._tables.transact(group_writes(writes))
        except StoreUnavailable:
            self._in_flight = frozenset()
            await self._retry(batch)
            return
        except Exception as error:
            # Not only `StoreResultUnknown`: after any error the write may be applied.
            logger.info("Result of a claim transaction unknown: %s", error)
            self._in_flight = frozenset()
            for item in batch:
                item.may_be_applied = True
            await self._retry(batch)
            return
        self._in_flight = frozenset()
        self._failures = 0
        if isinstance(result, Committed):
            self._note_committed(batch, result)
        else:
            self._note_conflict(batch, writes, result)

    async def _retry(self, batch: list[QueuedWrite]) -> None:
        self._requeue(batch)
        self._failures += 1
        await self._back_off(self._failures)

    def _requeue(self, batch: Iterable[QueuedWrite]) -> None:
        kept = []
        for item in batch:
            if item.abandoned:
                self._withdraw(item)
            else:
                kept.append(item)
        self._waiting.extendleft(reversed(kept))

    def _withdraw(self, item: QueuedWrite) -> None:
        if item.may_be_applied:
            self._release(item.claim)

    def _release(self, claim: Claim) -> None:
        self.end(replace(claim, state=ClaimState.NOT_RUN))

    async def _back_off(self, retry: int) -> None:
        pause = choose_backoff(retry, timedelta.max, self._random, cap=BACKOFF_CAP)
        await asyncio.sleep(pause.total_seconds())

    def _note_committed(self, batch: list[QueuedWrite], result: Committed) -> None:
        for item, revision in zip(batch, result.revisions, strict=True):
            if item.is_new:
                claim = replace(item.claim, revision=revision)
                self._set_claim_result(item, ClaimResult(ClaimDecision.RUN, claim))
            else:
                self._set_end_result(item, True)

    def _note_conflict(
        self, batch: list[QueuedWrite], writes: list[ClaimWrite], result: Conflict
    ) -> None:
        if len(batch) == 1:
            self._note_row(batch[0], result.rows[0])
            return
        items = {item.row_key: item for item in batch}
        met, doubtful, others = split_conflict(writes, result.rows)
        for write, row in met:
            self._note_row(items[write.claim.key.row_key], row)
        for write in doubtful:
            items[write.claim.key.row_key].needs_own_transaction = True
        again = [items[write.claim.key.row_key] for write in (*doubtful, *others)]
        self._requeue(again)

    def _note_row(self, item: QueuedWrite, row: Row | None) -> None:
        if item.is_new:
            resolved = resolve_claim(item.claim, row, self._clock.now())
            if isinstance(resolved, ClaimResult):
                self._set_claim_result(item, resolved)
                return
            item.claim = resolved
        else:
            amended = rebase_final_write(item.claim, row)
            if amended is None:
                self._set_end_result(item, _has_state(item.claim, row))
                return
            item.claim = amended
        item.needs_own_transaction = False
        self._requeue([item])

    def _set_claim_result(self, item: QueuedWrite, resolved: ClaimResult) -> None:
        if not item.abandoned:
            if not item.result.done():
                item.result.set_result(resolved)
        elif resolved.decision is ClaimDecision.RUN:
            self._release(resolved.claim)

    def _set_end_result(self, item: QueuedWrite, has_state: bool) -> None:
        if not item.result.done():
            item.result.set_result(has_state)
        self._note_end(item.row_key)


def _has_state(claim: Claim, row: Row | None) -> bool:
    if row is None:
        return False
    held = decode_claim(claim.key, row)
    return held.id == claim.id and held.state is claim.state
