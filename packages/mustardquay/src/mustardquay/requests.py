"""Requests: what the decisions know of one request, and how a send of it ended."""

from dataclasses import dataclass
from enum import StrEnum

__all__ = ["PromptPart", "PromptTraits", "SendResult"]


@dataclass(frozen=True, slots=True)
class PromptPart:
    """One part of a prompt, shared by all the requests that begin alike."""

    id: str
    tokens: int


@dataclass(frozen=True, slots=True)
class PromptTraits:
    """What a caller declares of a generation."""

    model: str
    prompt_tokens: int
    output_tokens: int
    """The most tokens that may be generated."""
    parts: tuple[PromptPart, ...]
    """In order; the last belongs to the request itself or to its session."""
    expected_tokens: int | None = None
    """The caller's estimate of the tokens that will be generated."""

    @property
    def shared_parts(self) -> tuple[PromptPart, ...]:
        """Return the parts that other requests may have, too."""
        return self.parts[:-1]


class SendResult(StrEnum):
    """How one send of a request to an upstream ended."""

    ANSWERED = "answered"
    """The upstream's whole answer is there, be it a success or a failure."""
    NOT_SENT = "not_sent"
    """No byte left: the upstream can't have run it."""
    NOT_RUN = "not_run"
    """The upstream says that it did not run it and won't."""
    OTHER_UPSTREAM = "other_upstream"
    """The address belongs to another upstream by now; not run."""
    UNREAD = "unread"
    """An engine did not read the prompt; the request itself was not sent."""
    BROKEN = "broken"
    """The connection ended, or what came was no answer: it may have run."""
    CALLER_LEFT = "caller_left"

    @property
    def is_not_run(self) -> bool:
        """Return whether this send surely did not run the request."""
        return self in (
            SendResult.NOT_SENT,
            SendResult.NOT_RUN,
            SendResult.OTHER_UPSTREAM,
            SendResult.UNREAD,
        )
