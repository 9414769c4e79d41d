"""Works: a request as the decisions see it, and what is known of an upstream."""

from dataclasses import dataclass
from datetime import timedelta
from enum import StrEnum

__all__ = ["Role", "UpstreamView", "Work"]


class Role(StrEnum):
    """Which phases of a generation an engine runs; `service` is no engine."""

    PREFILL = "prefill"
    DECODE = "decode"
    MIXED = "mixed"
    SERVICE = "service"


@dataclass(frozen=True, slots=True)
class Work:
    """One attempt of a request, with all that admission and routing need."""

    request: str
    attempt: int
    customer: str
    model: str
    """Name of the model, or of the plain service."""
    adapter: str = ""
    prompt_tokens: int = 0
    """Estimated from the length of the prompt; 0 for a plain service."""
    output_tokens: int = 0
    """Expected, not the limit that the caller sets."""
    share: float = 1.0
    """The customer's share from its contract."""
    priority: int = 0
    start_by: timedelta = timedelta.max
    """Monotonic instant of this process by which the first token must come."""
    finish_by: timedelta = timedelta.max
    """Monotonic instant by which the whole answer must be there."""
    prefix: tuple[int, ...] = ()
    """Hashes of the prompt's leading pieces, each over all before it."""
    fingerprint: int = 0
    """Hash of what is run, equal for the same body sent again."""
    repeatable: bool = True
    """Whether the work is idempotent and may be retried."""
    cached_tokens: int = 0
    """Leading prompt tokens that the engine is expected to have cached."""
    over_share: bool = False
    """Whether the customer uses more than its share of the fleet just now."""
    between_tokens: timedelta = timedelta(milliseconds=60)
    """Mean gap between two tokens that the customer tolerates."""

    @property
    def uncached_tokens(self) -> int:
        """Return the prompt tokens that the engine has to compute."""
        return max(self.prompt_tokens - self.cached_tokens, 1)

    @property
    def key(self) -> tuple[str, int]:
        """Return what names this attempt."""
        return (self.request, self.attempt)


@dataclass(slots=True)
class UpstreamView:
    """What an entry knows of one upstream: reported, with its age, and its own.

    The view is already old when it is read; `reported_at` says how old, and the
    entry's own requests in flight correct it at once.
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
    """False while the engine's state is not confirmed against its order."""
    reported_at: timedelta = timedelta()
    """Monotonic instant at which the last load report arrived here."""
    queued_tokens: int = 0
    """Prefill tokens waiting at the agent, as reported."""
    queued_tokens_within: int | None = None
    """The part of them that customers within their share wait for, if reported."""
    running: int = 0
    """Requests running on the engine, as reported."""
    prefill_rate: float = 8000.0
    """Prompt tokens a second, learned."""
    decode_rate: float = 40.0
    """Output tokens a second of one stream, learned."""
    own_tokens: int = 0
    """Prompt tokens of this entry's attempts sent after the last report."""
    own_running: int = 0
    """Attempts of this entry that are in flight."""
    concurrency: int = 32
    """Requests that the engine runs at once in its present role."""
    slowness: float = 1.0
    """How many times slower than its peers the engine is; 1 when healthy."""
