"""Messages: what entries and agents exchange about attempts.

Frames from the agent to the entry have an `index`, counted from 0 in each attempt, so
that late, duplicate and missing frames are detected.
"""

from dataclasses import dataclass
from datetime import timedelta
from enum import StrEnum

from .caches import CacheEvent
from .errors import Reason
from .quarantines import CrashRecord
from .works import Role

__all__ = [
    "Attempt",
    "AttemptFrame",
    "CacheEvents",
    "Cancel",
    "Chunk",
    "ConfigurationEntries",
    "ConfigurationWanted",
    "Credit",
    "Done",
    "Failed",
    "FailureKind",
    "Head",
    "Header",
    "Heartbeat",
    "Message",
    "OrderChanged",
    "Reattach",
    "Refused",
    "Started",
]

Header = tuple[str, str]


class FailureKind(StrEnum):
    """Why an attempt that may have run has no complete answer."""

    CRASH = "crash"
    """The upstream crashed while the attempt ran."""
    ERROR = "error"
    """The engine answered with a status of 500 or above."""
    LOST = "lost"
    """The agent has no state of the attempt any more."""
    STALLED = "stalled"
    """The upstream made no progress within the configured timeout."""
    TRUNCATED = "truncated"
    """The answer ended before its end marker."""


@dataclass(frozen=True, slots=True)
class Attempt:
    """Entry to agent: run this on your upstream."""

    stream: int
    """Number of the attempt in its entry process; increases with each attempt."""
    request: str
    number: int
    """Number of the attempt within its request, from 1."""
    incarnation: int
    """Incarnation of the agent for which the attempt is intended."""
    customer: str
    model: str
    adapter: str
    method: str
    path: str
    headers: tuple[Header, ...]
    body: bytes
    prompt_tokens: int
    output_tokens: int
    share: float
    priority: int
    start_within: timedelta
    """Time left until the first token is due, when the frame was sent."""
    finish_within: timedelta
    prefix: tuple[int, ...]
    fingerprint: int
    repeatable: bool
    streamed: bool
    version: int
    """Configuration version under which the entry admitted the request."""
    cached_tokens: int = 0
    """Prompt tokens that the entry expects the engine to have cached."""
    between_tokens: timedelta = timedelta(milliseconds=60)
    claim: bytes = b""
    """Claim of non-idempotent work, in JSON, under which the agent records an answer
    that it can no longer deliver to the entry."""


@dataclass(frozen=True, slots=True)
class Reattach:
    """Entry to agent, over a new link: continue sending from frame `have`."""

    stream: int
    request: str
    number: int
    incarnation: int
    have: int


@dataclass(frozen=True, slots=True)
class Cancel:
    """Entry to agent: the answer is no longer wanted."""

    stream: int


@dataclass(frozen=True, slots=True)
class Credit:
    """Entry to agent: the caller has received this many more bytes."""

    stream: int
    size: int


@dataclass(frozen=True, slots=True)
class Started:
    """Agent to entry: the attempt is being sent to the upstream."""

    stream: int
    index: int


@dataclass(frozen=True, slots=True)
class Head:
    """Agent to entry: status and headers of the answer."""

    stream: int
    index: int
    status: int
    headers: tuple[Header, ...]


@dataclass(frozen=True, slots=True)
class Chunk:
    """Agent to entry: the next part of the answer; for a stream, whole events."""

    stream: int
    index: int
    tokens: int
    data: bytes


@dataclass(frozen=True, slots=True)
class Done:
    """Agent to entry: the answer is complete."""

    stream: int
    index: int


@dataclass(frozen=True, slots=True)
class Refused:
    """Agent to entry: the attempt was never started and never will be."""

    stream: int
    index: int
    reason: Reason
    message: str
    retry_after: timedelta | None


@dataclass(frozen=True, slots=True)
class Failed:
    """Agent to entry: the attempt may have run, and has no complete answer."""

    stream: int
    index: int
    kind: FailureKind
    message: str


AttemptFrame = Started | Head | Chunk | Done | Refused | Failed


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """Both ways: the sender is alive; an agent adds the state of its upstream."""

    version: int = 0
    """Configuration version in force at the sender."""
    confirmed: bool = False
    """Whether the sender has verified that its version was the store's head."""
    draining: bool = False
    ready: bool = True
    upstream: str = ""
    """Name of the agent's upstream."""
    role: Role = Role.MIXED
    models: tuple[str, ...] = ()
    adapters: tuple[str, ...] = ()
    queued_tokens: int = 0
    queued_tokens_within: int = 0
    """The part of `queued_tokens` of customers within their share."""
    waiting: int = 0
    running: int = 0
    prefill_rate: float = 0.0
    """Prompt tokens per second; 0 if not known."""
    decode_rate: float = 0.0
    """Tokens per second of one stream; 0 if not known."""
    agents: int = 0
    """Number of agents in the fleet, by the instance list of an entry."""
    concurrency: int = 0
    """Maximum concurrent attempts at the agent; 0 if not reported."""
    crashes: tuple[CrashRecord, ...] = ()
    """Crash records that changed since the last heartbeat."""


@dataclass(frozen=True, slots=True)
class CacheEvents:
    """Agent to entry: what the engine's prefix cache has stored and evicted.

    Each link gets the events since it was opened; gaps in their numbers show losses.
    """

    boot: str
    """The engine's boot; events of another boot don't apply to its cache."""
    oldest: int
    events: tuple[CacheEvent, ...] = ()


@dataclass(frozen=True, slots=True)
class OrderChanged:
    """Entry to agent: the order row of the agent's upstream has changed; read it."""


@dataclass(frozen=True, slots=True)
class ConfigurationEntries:
    """Both ways: encoded entries of the configuration log, in order."""

    entries: tuple[bytes, ...] = ()


@dataclass(frozen=True, slots=True)
class ConfigurationWanted:
    """Both ways: request the entries after this version."""

    after: int = 0


Message = (
    Attempt
    | Reattach
    | Cancel
    | Credit
    | AttemptFrame
    | Heartbeat
    | CacheEvents
    | OrderChanged
    | ConfigurationEntries
    | ConfigurationWanted
)
