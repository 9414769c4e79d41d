"""One send of a request to one upstream: its options and its result."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from datetime import timedelta

from mustardquay.requests import SendResult
from mustardquay.run_evidence import AnswerVerdict
from mustardquay.silences import GiveUpReason
from mustardquay.upstream_lists import UpstreamRecord

from ..adapters import AnswerFacts
from ..connections import AnswerHead
from ..crash_suspects import Blame

__all__ = ["DEFAULT_OPTIONS", "Send", "SendOptions"]


@dataclass(slots=True)
class Send:
    """One send and its result."""

    upstream: UpstreamRecord
    facts: AnswerFacts | None = None
    verdict: AnswerVerdict | None = None
    """What the answer shows; None without one."""
    head: AnswerHead | None = None
    content: bytes = b""
    """The body, unless it was streamed to the caller."""
    end: SendResult = SendResult.NOT_SENT
    detail: str = ""
    was_reused: bool = False
    """Whether the connection had been used before."""
    was_sent: bool = False
    """Whether a byte of the request may have been sent."""
    was_lost: bool = False
    """Whether the connection ended before the whole answer, or the answer without its
    whole content, other than by the caller's leave."""
    blame: Blame = Blame.NONE
    """What its end says of a crash of its upstream."""
    first_at: timedelta | None = None
    """When the first part of a stream was received, on the monotonic clock."""
    last_at: timedelta = timedelta()
    events: int = 0
    """Events of a stream that were received whole."""
    has_outlasted_onset: bool = False
    """Whether a stream has gone on for longer than `CRASH_ONSET`."""
    given_up: GiveUpReason | None = None
    """Why this gateway gave the send up while its upstream was silent, if it did."""
    was_ended_here: bool = False
    """Whether this gateway ended the send, for whatever reason."""
    was_silent: bool = False
    """Whether the upstream was known as silent during the send."""
    expected_wait: float = 0.0
    """Expected time in the upstream's queue, in times of one request."""
    inputs: Mapping[str, float] = field(default_factory=dict)
    """Log fields with the figures by which a plain upstream was chosen."""
    is_passed_on: bool = False
    """Whether a large plain answer was passed on as it came."""
    framing: str = ""
    """What marked the end of the answer, a value of `Framing`; empty without one."""

    @property
    def status(self) -> int:
        """Return the status of the answer, 0 without one."""
        return self.head.status if self.head else 0

    @property
    def is_own(self) -> bool:
        """Return whether the answer is a result that may be passed on."""
        is_own = self.verdict is AnswerVerdict.OWN
        return is_own and self.facts is not None and not self.facts.is_encoded

    def describe_answer(self) -> dict[str, str | bool]:
        """Return log fields on what the answer says of itself; none without one."""
        facts = self.facts
        if facts is None:
            return {}
        return {
            "answers": facts.request_id,
            "signed": facts.is_signed,
            "says_not_run": facts.not_run,
            "shows": self.verdict.value if self.verdict else "",
        }


@dataclass(frozen=True, slots=True)
class SendOptions:
    """Options of a send to an engine beside the request."""

    prefill_only: bool = False
    """Only prefill the prompt."""
    kv_source: str = ""
    """Where the engine fetches the KV cache of a prompt that another one prefilled."""
    holder: UpstreamRecord | None = None
    """Another engine whose cached blocks are copied first."""
    on_first_part: Callable[[], None] = lambda: None
    """Called with the first part of a stream, by which the prefill has ended."""
    first_part_timeout: timedelta | None = None
    """Timeout for the first part of the answer; None for the route's idle timeout."""


DEFAULT_OPTIONS = SendOptions()
