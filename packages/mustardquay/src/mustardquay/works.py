"""Works: the inputs of admission and routing for a request and for an upstream."""

from dataclasses import dataclass
from datetime import timedelta
from enum import StrEnum

__all__ = ["Role", "UpstreamView", "Work"]


class Role(StrEnum):
    """Which stages of a generation an engine runs; `service` is not an engine."""

    PREFILL = "prefill"
    DECODE = "decode"
    MIXED = "mixed"
    SERVICE = "service"


@dataclass(frozen=True, slots=True)
class Work:
    """One attempt of a request, with all inputs of admission and routing."""

    request: str
    attempt: int
    customer: str
    model: str
    """Name of the model, or of the plain service."""
    adapter: str = ""
    prompt_tokens: int = 0
    """Estimated from the length of the prompt; 0 for a plain service."""
    output_tokens: int = 0
    """Expected number, not the limit set by the caller."""
    share: float = 1.0
    """The customer's share according to its contract."""
    priority: int = 0
    start_by: timedelta = timedelta.max
    """Monotonic time of this process until which the first token is due."""
    finish_by: timedelta = timedelta.max
    """Monotonic time until which the whole answer is due."""
    prefix: tuple[int, ...] = ()
    """Hashes of the prompt's leading pieces, each including all pieces before it."""
    fingerprint: int = 0
    """Hash of the request's content; the same when the same body is sent again."""
    repeatable: bool = True
    """Whether the work is idempotent and may be retried."""
    cached_tokens: int = 0
    """Leading prompt tokens expected in the engine's prefix cache."""
    over_share: bool = False
    """Whether the customer currently uses more than its share of the fleet."""
    between_tokens: timedelta = timedelta(milliseconds=60)
    """Mean time between two tokens that the customer tolerates."""

    @property
    def uncached_tokens(self) -> int:
        """Return the prompt tokens that the engine has to compute."""
        return max(self.prompt_tokens - self.cached_tokens, 1)

    @property
    def key(self) -> tuple[str, int]:
        """Return the key that identifies this attempt."""
        return (self.request, self.attempt)


@dataclass(slots=True)
class UpstreamView:
    """The state of one upstream as known to an entry.

    Combines reports with the requests of the entry itself. Reports are outdated on
    arrival; `reported_at` gives their age, and the entry's own requests in flight
    correct them at once.
    """

    name: str
    availability_zone: str
    role: Role = Role.MIXED
    models: frozenset[str] = frozenset()
    adapters: frozenset[str] = frozenset()
    incarnation: int = 0
    reachable: bool = False
    draining: bool = False
    ready: bool = True
    """False until the engine has confirmed the state that it was ordered to take."""
    reported_at: timedelta = timedelta()
    """Monotonic time at which the last load report arrived."""
    queued_tokens: int = 0
    """Prefill tokens queued at the agent, as reported."""
    queued_tokens_within: int | None = None
    """The part of them that belongs to customers within their share, if reported."""
    running: int = 0
    """Requests running on the engine, as reported."""
    prefill_rate: float = 8000.0
    """Prompt tokens per second, learned."""
    decode_rate: float = 40.0
    """Output tokens per second of one stream, learned."""
    own_tokens: int = 0
    """Prompt tokens of this entry's attempts sent since the last report."""
    own_running: int = 0
    """Attempts of this entry that are in flight."""
    concurrency: int = 32
    """Requests that the engine runs concurrently in its current role."""
    slowness: float = 1.0
    """How many times slower than its peers the engine is; 1 if healthy."""
