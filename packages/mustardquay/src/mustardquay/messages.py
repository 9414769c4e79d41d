"""Messages: what entries and agents tell each other about attempts.

Frames from the agent to the entry carry `index`, counted from 0 in each attempt,
so that a frame that is late, doubled or missing is seen as such.
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
    """Why an attempt that may have run has no whole answer."""

    CRASH = "crash"
    """The upstream died while the attempt ran."""
    ERROR = "error"
    """The engine answered with a status of 500 or above."""
    LOST = "lost"
    """The agent no longer knows what became of the attempt."""
    STALLED = "stalled"
    """The upstream made no progress for the time that the settings allow."""
    TRUNCATED = "truncated"
    """The answer ended before its end mark."""


@dataclass(frozen=True, slots=True)
class Attempt:
    """Entry to agent: run this on your upstream."""

    stream: int
    """Number of the attempt in its entry process; rises with each attempt."""
    request: str
    number: int
    """Number of the attempt within its request, from 1."""
    incarnation: int
    """Incarnation of the agent that the attempt is meant for."""
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
    """Time left until the first token must come, when the frame was sent."""
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
    """Claim of non-repeatable work, in JSON, under which the agent records an
    answer that the entry can't take any more."""


@dataclass(frozen=True, slots=True)
class Reattach:
    """Entry to agent, over a new link: go on sending from frame `have`."""

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
    """Entry to agent: the caller has taken this many more bytes."""

    stream: int
    size: int


@dataclass(frozen=True, slots=True)
class Started:
    """Agent to entry: the attempt goes to the upstream now."""

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
    """Agent to entry: the next part of the answer; whole events of a stream."""

    stream: int
    index: int
    tokens: int
    data: bytes


@dataclass(frozen=True, slots=True)
class Done:
    """Agent to entry: the answer is whole."""

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
    """Agent to entry: the attempt may have run, and has no whole answer."""

    stream: int
    index: int
    kind: FailureKind
    message: str


AttemptFrame = Started | Head | Chunk | Done | Refused | Failed


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """Both ways: the sender lives; an agent adds the state of its upstream."""

    version: int = 0
    """Configuration version in force at the sender."""
    confirmed: bool = False
    """Whether the sender knows its version to have been the store's head."""
    draining: bool = False
    ready: bool = True
    upstream: str = ""
    """Name of the upstream beside an agent."""
    role: Role = Role.MIXED
    models: tuple[str, ...] = ()
    adapters: tuple[str, ...] = ()
    queued_tokens: int = 0
    queued_tokens_within: int = 0
    """The part of them that customers within their share wait for."""
    waiting: int = 0
    running: int = 0
    prefill_rate: float = 0.0
    """Prompt tokens a second; 0 when not known."""
    decode_rate: float = 0.0
    """Tokens a second of one stream; 0 when not known."""
    agents: int = 0
    """Agents in the fleet, as an entry has them from the instance list."""
    concurrency: int = 0
    """Attempts that the agent runs at once; 0 when not told."""
    crashes: tuple[CrashRecord, ...] = ()
    """What was in flight when upstreams crashed, changed since the last one sent."""


@dataclass(frozen=True, slots=True)
class CacheEvents:
    """Agent to entry: what its engine's prefix cache took in and dropped.

    Each link gets the events from when it was opened; the numbers tell of gaps.
    """

    boot: str
    """The engine's boot; the events of another boot say nothing of its cache."""
    oldest: int
    events: tuple[CacheEvent, ...] = ()


@dataclass(frozen=True, slots=True)
class OrderChanged:
    """Entry to agent: the order row of your upstream has changed; read it."""


@dataclass(frozen=True, slots=True)
class ConfigurationEntries:
    """Both ways: entries of the configuration log, encoded, in order."""

    entries: tuple[bytes, ...] = ()


@dataclass(frozen=True, slots=True)
class ConfigurationWanted:
    """Both ways: send me the entries behind this version."""

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
