"""Records claims and answers of non-repeatable work in the table service.

The decisions are in `mustardquay.claims`, the grouped writes in
`mustardquay_node.claim_writers`. This module waits for writes, polls the claims that
attempts of this and other entries hold, and keeps long answers in the object store.
"""

import asyncio
from dataclasses import replace
from datetime import timedelta
from random import Random

from mustardquay.claims import (
    CLAIMS,
    Claim,
    ClaimDecision,
    ClaimKey,
    ClaimResult,
    ClaimState,
    RecordedAnswer,
    decode_claim,
    resolve_claim,
)
from mustardquay.clocks import Clock
from mustardquay.errors import Reason, Refusal, StoreResultUnknown, StoreUnavailable
from mustardquay.retries import choose_backoff
from mustardquay.tables import ObjectStore, TableService

from .claim_writers import ClaimWriter

__all__ = ["Recorder"]

BODY_LIMIT = 16 * 1024
"""Longest body in bytes that is kept in the row; longer ones become objects."""
POLL_FIRST = timedelta(milliseconds=50)
POLL_CAP = timedelta(seconds=1)
RETRY_AFTER = timedelta(seconds=2)


class Recorder:
    """Claims idempotency keys, and records and replays answers, for one process.

    A process recognises its own claim by the id when it reads the row. To make ids
    unique, `name` differs for every incarnation of every process, and `random` is
    seeded by the operating system.
    """

    def __init__(
        self,
        tables: TableService,
        objects: ObjectStore,
        clock: Clock,
        random: Random,
        name: str,
        lifetime: timedelta,
        window: timedelta,
    ):
        self._tables = tables
        self._objects = objects
        self._clock = clock
        self._random = random
        self._name = name
        self._lifetime = lifetime
        self._writer = ClaimWriter(tables, clock, random, window, self._note_end)
        self._changed: dict[str, set[asyncio.Event]] = {}
        self._puts: set[asyncio.Task] = set()

    @property
    def transactions(self) -> int:
        """Return the number of transactions sent, for metrics."""
        return self._writer.transactions

    @property
    def waiting(self) -> int:
        """Return the number of queued writes, for metrics."""
        return self._writer.waiting

    def start(self) -> None:
        """Start the task that writes."""
        self._writer.start()

    async def close(self, timeout: timedelta = timedelta(seconds=10)) -> None:
        """Write what is queued, as far as the timeout permits, and stop.

        A claim whose final state is lost stays claimed: retries under its key get
        `unknown` and never run.
        """
        if self._puts:
            await asyncio.wait(self._puts, timeout=timeout.total_seconds())
        for task in self._puts:
            task.cancel()
        await self._writer.close(timeout)

    async def claim(
        self,
        key: ClaimKey,
        digest: str,
        attempt: str,
        store_deadline: timedelta,
        finish_by: timedelta,
    ) -> ClaimResult:
        """Return what a request with this key may do; never `JOIN`.

        Until `store_deadline`, a monotonic instant, an unavailable store is waited for.
        The request is then refused as `not-run`, which is certain as nothing was sent.
        If another attempt holds the key, its claim is polled until `finish_by`, the
        monotonic instant of the request's deadline.
        """
        while True:
            resolved = await self._write_claim(
                key, digest, attempt, store_deadline, finish_by
            )
            if resolved.decision is ClaimDecision.JOIN:
                resolved = await self._await_claim(resolved.claim, finish_by)
            if resolved.decision is not ClaimDecision.JOIN:
                return await self._load_body(resolved, finish_by)

    def record_answer(
        self, claim: Claim, answer: RecordedAnswer
    ) -> "asyncio.Future[bool]":
        """Record the complete answer; the caller need not wait for the write.

        The future's result is whether the row has the answer. While the store is
        unavailable the write stays queued; until it is done, retries under the key wait
        for it or get `unknown`.
        """
        if len(answer.body) <= BODY_LIMIT:
            return self._end(claim, ClaimState.ANSWERED, answer)
        stored = replace(answer, body=b"", object_name=f"answers/{claim.id}")
        result = asyncio.get_running_loop().create_future()
        task = asyncio.create_task(self._put_answer(claim, answer.body, stored, result))
        self._puts.add(task)
        task.add_done_callback(self._puts.discard)
        return result

    def record_unknown(self, claim: Claim) -> "asyncio.Future[bool]":
        """Record that the answer is lost, so that retries get `unknown`."""
        return self._end(claim, ClaimState.UNKNOWN)

    def release(self, claim: Claim) -> "asyncio.Future[bool]":
        """Record that the work certainly was not run; the key may be claimed again."""
        return self._end(claim, ClaimState.NOT_RUN)

    async def look_up(self, key: ClaimKey) -> Claim | None:
        """Return the claim of a key, None without one; raises `StoreUnavailable`."""
        row = await self._tables.read(CLAIMS, key.row_key)
        return None if row is None else decode_claim(key, row)

    async def _write_claim(
        self,
        key: ClaimKey,
        digest: str,
        attempt: str,
        store_deadline: timedelta,
        finish_by: timedelta,
    ) -> ClaimResult:
        if self._writer.full:
            return _refuse(Reason.OVERLOAD, "Too many claims wait for the store")
        claim = self._make_claim(key, digest, attempt, finish_by)
        item = self._writer.begin(claim)
        remaining = (store_deadline - self._clock.monotonic()).total_seconds()
        try:
            await asyncio.wait({item.result}, timeout=max(remaining, 0))
        except asyncio.CancelledError:
            self._writer.abandon(item)
            raise
        if item.result.done():
            return item.result.result()
        self._writer.abandon(item)
        return _refuse(Reason.STORE, "The claim was not written in time")

    def _make_claim(
        self, key: ClaimKey, digest: str, attempt: str, finish_by: timedelta
    ) -> Claim:
        now = self._clock.now()
        return Claim(
            key=key,
            id=f"{self._name}-{self._random.getrandbits(64):016x}",
            digest=digest,
            entry=self._name,
            attempt=attempt,
            finish_by=now + (finish_by - self._clock.monotonic()),
            expires=now + self._lifetime,
        )

    async def _await_claim(self, held: Claim, finish_by: timedelta) -> ClaimResult:
        """Poll the claim of a running attempt until it is final or out of time."""
        changed = asyncio.Event()
        watchers = self._changed.setdefault(held.key.row_key, set())
        watchers.add(changed)
        pause = POLL_FIRST
        try:
            while True:
                remaining = finish_by - self._clock.monotonic()
                if remaining <= timedelta():
                    return ClaimResult(ClaimDecision.UNKNOWN, held)
                await self._pause(changed, min(pause, remaining))
                pause = min(2 * pause, POLL_CAP)
                resolved = await self._poll_claim(held)
                if resolved is not None:
                    return resolved
        finally:
            watchers.discard(changed)
            if not watchers:
                self._changed.pop(held.key.row_key, None)

    async def _pause(self, changed: asyncio.Event, pause: timedelta) -> None:
        jittered = pause.total_seconds() * (0.5 + self._random.random() / 2)
        try:
            await asyncio.wait_for(changed.wait(), jittered)
        except TimeoutError:
            return
        changed.clear()

    async def _poll_claim(self, held: Claim) -> ClaimResult | None:
        """Return the result for a claim that is polled, or None to go on polling.

        `JOIN` means that the claim was released, so that the key is free again.
        """
        try:
            row = await self._tables.read(CLAIMS, held.key.row_key)
        except StoreUnavailable:
            return None
        follower = replace(held, id="")
        resolved = resolve_claim(follower, row, self._clock.now())
        if isinstance(resolved, Claim):
            return ClaimResult(ClaimDecision.JOIN, held)
        return None if resolved.decision is ClaimDecision.JOIN else resolved

    def _end(
        self, claim: Claim, state: ClaimState, answer: RecordedAnswer | None = None
    ) -> "asyncio.Future[bool]":
        return self._writer.end(replace(claim, state=state, answer=answer))

    def _note_end(self, row_key: str) -> None:
        for changed in self._changed.get(row_key, ()):
            changed.set()

    async def _put_answer(
        self,
        claim: Claim,
        body: bytes,
        stored: RecordedAnswer,
        result: "asyncio.Future[bool]",
    ) -> None:
        retry = 0
        while True:
            retry += 1
            try:
                await self._objects.put(stored.object_name, body)
                break
            except (StoreUnavailable, StoreResultUnknown):
                # Objects are immutable, so a put with an unknown result can be
                # repeated unchanged.
                await asyncio.sleep(self._choose_pause(retry))
        written = await self._end(claim, ClaimState.ANSWERED, stored)
        if not result.done():
            result.set_result(written)

    async def _load_body(
        self, resolved: ClaimResult, finish_by: timedelta
    ) -> ClaimResult:
        answer = resolved.answer
        if answer is None or not answer.object_name:
            return resolved
        retry = 0
        while self._clock.monotonic() < finish_by:
            retry += 1
            try:
                body = await self._objects.get(answer.object_name)
            except StoreUnavailable:
                await asyncio.sleep(self._choose_pause(retry))
                continue
            if body is None:
                break
            return replace(resolved, answer=replace(answer, body=body))
        return ClaimResult(ClaimDecision.UNKNOWN, resolved.claim)

    def _choose_pause(self, retry: int) -> float:
        return choose_backoff(retry, timedelta.max, self._random).total_seconds()


def _refuse(reason: Reason, message: str) -> ClaimResult:
    text = (
        f"{message}; this call was not run. Send it again with the same key: it is "
        "told if an earlier call ran."
    )
    return ClaimResult(
        ClaimDecision.REFUSED, refusal=Refusal(reason, text, RETRY_AFTER)
    )
