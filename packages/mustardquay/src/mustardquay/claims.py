"""Claims: at most one execution of non-idempotent work.

Before such work is sent, a row is written under the caller's idempotency key. The row
records who runs the work and, later, its answer; it decides what a repeated request
gets. Rows change from claimed to answered, unknown or not-run; an unknown row may
still become answered or not-run, and only a row that is not-run or has expired may be
claimed again. Rows are kept until they expire and their revisions only increase, so
that the condition of a delayed write no longer holds when it arrives.
"""

from base64 import b64decode, b64encode
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, replace
from datetime import datetime, timedelta
from enum import StrEnum
from urllib.parse import quote

from .errors import DocumentError, Refusal
from .tables import Condition, Row, Transaction, Value, Write

__all__ = [
    "CLAIMS",
    "KEY_LIMIT",
    "Claim",
    "ClaimDecision",
    "ClaimKey",
    "ClaimResult",
    "ClaimState",
    "ClaimWrite",
    "RecordedAnswer",
    "decode_claim",
    "describe_claim",
    "encode_claim",
    "group_writes",
    "plan_expiry",
    "rebase_final_write",
    "resolve_claim",
    "restore_claim",
    "split_conflict",
]

CLAIMS = "claims"
KEY_LIMIT = 255
"""Maximum number of characters in an idempotency key."""
CLOCK_SKEW = timedelta(minutes=1)
"""Maximum difference between the wall clocks of two entries."""


class ClaimState(StrEnum):
    """What is known about the work under a claim."""

    CLAIMED = "claimed"
    ANSWERED = "answered"
    UNKNOWN = "unknown"
    NOT_RUN = "not-run"

    @property
    def final(self) -> bool:
        """Return whether the state can no longer change."""
        return self in (ClaimState.ANSWERED, ClaimState.NOT_RUN)


@dataclass(frozen=True, slots=True)
class ClaimKey:
    """Identifies a piece of work: the caller's key, per customer and service."""

    customer: str
    service: str
    key: str

    def __post_init__(self):
        if not 0 < len(self.key) <= KEY_LIMIT:
            raise DocumentError(
                f"An idempotency key has 1 to {KEY_LIMIT} characters; send another."
            )

    @property
    def row_key(self) -> str:
        """Return the row's key in the table; the parts are quoted to be unambiguous."""
        parts = (self.customer, self.service, self.key)
        return "/".join(quote(part, safe="") for part in parts)


@dataclass(frozen=True, slots=True)
class RecordedAnswer:
    """A complete answer; `object_name` is set if the body is in the object store."""

    status: int
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
    object_name: str = ""


@dataclass(frozen=True, slots=True)
class Claim:
    """One claim on a key; `id` is unique for every claim ever attempted."""

    key: ClaimKey
    id: str
    digest: str
    """Digest of the method, path and body, to detect different work under this key."""
    entry: str
    attempt: str
    """Request and attempt that hold the claim."""
    finish_by: datetime
    """Wall-clock time after which the holder no longer waits for the work."""
    expires: datetime
    state: ClaimState = ClaimState.CLAIMED
    answer: RecordedAnswer | None = None
    revision: int = 0
    """Revision of the row that contains this claim; 0 before it is written."""


class ClaimDecision(StrEnum):
    """What happens to a request with an idempotency key."""

    RUN = "run"
    """The claim was granted: run the work."""
    REPLAY = "replay"
    """Return the recorded answer."""
    JOIN = "join"
    """Another attempt holds the claim; wait for its row to change."""
    UNKNOWN = "unknown"
    """The work may have run and its answer isn't known."""
    MISMATCH = "mismatch"
    """The key was used for different work: respond with 422."""
    REFUSED = "refused"
    """The work has not run: the claim could not be written in time."""


@dataclass(frozen=True, slots=True)
class ClaimResult:
    """A decision with the claim, answer or refusal that belongs to it."""

    decision: ClaimDecision
    claim: Claim | None = None
    answer: RecordedAnswer | None = None
    refusal: Refusal | None = None


@dataclass(frozen=True, slots=True)
class ClaimWrite:
    """A claim to be written over the revision `claim.revision` of its row."""

    claim: Claim

    @property
    def condition(self) -> Condition:
        """Return the condition under which the write may be applied."""
        return Condition(CLAIMS, self.claim.key.row_key, self.claim.revision)

    @property
    def write(self) -> Write:
        """Return the write of the row."""
        return Write(CLAIMS, self.claim.key.row_key, encode_claim(self.claim))


def resolve_claim(wanted: Claim, row: Row | None, now: datetime) -> ClaimResult | Claim:
    """Return the decision that the row implies, or the claim to write over it.

    `now` is the wall-clock time. An expired row is taken over only `CLOCK_SKEW` later,
    since the clock of the entry that wrote it may be ahead or behind.
    """
    if row is None:
        return replace(wanted, revision=0)
    held = decode_claim(wanted.key, row)
    if held.id == wanted.id:
        # The response to our own write was lost: the row shows that it was applied.
        return _resolve_own(held)
    if now >= held.expires + CLOCK_SKEW:
        return replace(wanted, revision=row.revision)
    if held.digest != wanted.digest:
        return ClaimResult(ClaimDecision.MISMATCH, held)
    return _resolve_other(wanted, held, now)


def _resolve_own(held: Claim) -> ClaimResult:
    if held.state is ClaimState.CLAIMED:
        return ClaimResult(ClaimDecision.RUN, held)
    return ClaimResult(ClaimDecision.UNKNOWN, held)


def _resolve_other(wanted: Claim, held: Claim, now: datetime) -> ClaimResult | Claim:
    if held.state is ClaimState.NOT_RUN:
        return replace(wanted, revision=held.revision)
    if held.state is ClaimState.ANSWERED:
        return ClaimResult(ClaimDecision.REPLAY, held, held.answer)
    if held.state is ClaimState.UNKNOWN or now >= held.finish_by + CLOCK_SKEW:
        # The holder has died: requests that still wait are answered immediately.
        return ClaimResult(ClaimDecision.UNKNOWN, held)
    return ClaimResult(ClaimDecision.JOIN, held)


def rebase_final_write(wanted: Claim, row: Row | None) -> Claim | None:
    """Return the claim to write over the row's revision, or None if none is needed.

    For writes that end a claim: an answer, an unknown or a not-run. A claim that was
    abandoned before its own write was confirmed has revision 0; its not-run is then
    inserted, so that the delayed write conflicts with that row and fails.
    """
    if row is None:
        return wanted if wanted.revision == 0 else None
    held = decode_claim(wanted.key, row)
    if held.id != wanted.id or held.state.final or held.state is wanted.state:
        return None
    return replace(wanted, revision=row.revision)


def group_writes(writes: Iterable[ClaimWrite]) -> Transaction:
    """Combine writes of different keys into one transaction."""
    writes = tuple(writes)
    return Transaction(
        tuple(item.condition for item in writes), tuple(item.write for item in writes)
    )


def split_conflict(
    writes: Sequence[ClaimWrite], rows: Sequence[Row | None]
) -> tuple[list[tuple[ClaimWrite, Row]], list[ClaimWrite], list[ClaimWrite]]:
    """Split conflicting writes: those with a row, ambiguous ones, ones to retry.

    A conflict contains only the rows of failed conditions, and an absent row has no
    key. If one was absent, each write that expected a row is ambiguous until it is
    tried alone; a single write is never ambiguous, so it need not be split.
    """
    present = {row.key: row for row in rows if row is not None}
    absent = any(row is None for row in rows)
    existing, ambiguous, retried = [], [], []
    for item in writes:
        row = present.get(item.claim.key.row_key)
        if row is not None:
            existing.append((item, row))
        elif absent and item.claim.revision > 0:
            ambiguous.append(item)
        else:
            retried.append(item)
    return existing, ambiguous, retried


def plan_expiry(rows: Iterable[Row], now: datetime, limit: int = 100) -> Transaction:
    """Return a transaction that deletes expired rows unless they change meanwhile.

    Rows are deleted twice `CLOCK_SKEW` after they expire, when no entry replays them
    any more.
    """
    expired = [row for row in rows if now >= _read_expiry(row) + 2 * CLOCK_SKEW]
    chosen = expired[:limit]
    return Transaction(
        tuple(Condition(CLAIMS, row.key, row.revision) for row in chosen),
        tuple(Write(CLAIMS, row.key, None) for row in chosen),
    )


def encode_claim(claim: Claim) -> Value:
    """Return the claim as the JSON value of its row."""
    value = {
        "id": claim.id,
        "digest": claim.digest,
        "entry": claim.entry,
        "attempt": claim.attempt,
        "finish_by": claim.finish_by.isoformat(),
        "expires": claim.expires.isoformat(),
        "state": str(claim.state),
    }
    if claim.answer is not None:
        value["answer"] = {
            "status": claim.answer.status,
            "headers": [list(header) for header in claim.answer.headers],
            "body": b64encode(claim.answer.body).decode("ascii"),
            "object": claim.answer.object_name,
        }
    return value


def decode_claim(key: ClaimKey, row: Row) -> Claim:
    """Return the claim that a row contains."""
    value = row.value
    return Claim(
        key=key,
        id=value["id"],
        digest=value["digest"],
        entry=value["entry"],
        attempt=value["attempt"],
        finish_by=datetime.fromisoformat(value["finish_by"]),
        expires=datetime.fromisoformat(value["expires"]),
        state=ClaimState(value["state"]),
        answer=_decode_answer(value.get("answer")),
        revision=row.revision,
    )


def describe_claim(claim: Claim) -> Value:
    """Return a written claim as JSON, for the process that will run its work."""
    key = claim.key
    return {
        "customer": key.customer,
        "service": key.service,
        "key": key.key,
        "revision": claim.revision,
        "value": encode_claim(claim),
    }


def restore_claim(described: Value) -> Claim:
    """Return the claim from the output of `describe_claim`."""
    key = ClaimKey(described["customer"], described["service"], described["key"])
    row = Row(CLAIMS, key.row_key, described["value"], described["revision"])
    return decode_claim(key, row)


def _decode_answer(value: Value | None) -> RecordedAnswer | None:
    if value is None:
        return None
    return RecordedAnswer(
        status=value["status"],
        headers=tuple((name, text) for name, text in value["headers"]),
        body=b64decode(value["body"]),
        object_name=value["object"],
    )


def _read_expiry(row: Row) -> datetime:
    return datetime.fromisoformat(row.value["expires"])
