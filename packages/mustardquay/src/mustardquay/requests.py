"""Requests: the traits of a request that decisions use, and the results of sends."""

from dataclasses import dataclass
from enum import StrEnum

from xxhash import xxh3_64_intdigest

__all__ = ["PromptPart", "PromptTraits", "SendResult", "compute_part_key"]


def compute_part_key(id: str) -> int:
    """Return the key of a part, 64 bits, by which gateways name it to each other."""
    return xxh3_64_intdigest(id.encode())


@dataclass(frozen=True, slots=True)
class PromptPart:
    """One part of a prompt, shared by all requests with the same prefix."""

    id: str
    tokens: int


@dataclass(frozen=True, slots=True)
class PromptTraits:
    """The traits of a generation that its caller declares."""

    model: str
    prompt_tokens: int
    output_tokens: int
    """Maximum number of tokens to generate."""
    parts: tuple[PromptPart, ...]
    """In order; the last one belongs to this request or its session alone."""
    expected_tokens: int | None = None
    """The caller's estimate of the number of tokens generated."""

    @property
    def shared_parts(self) -> tuple[PromptPart, ...]:
        """Return the parts that may occur in other requests, too."""
        return self.parts[:-1]

    @property
    def own_part(self) -> PromptPart | None:
        """Return the part that the caller wrote, None for an empty prompt."""
        return self.parts[-1] if self.parts else None


class SendResult(StrEnum):
    """How one send of a request to an upstream ended."""

    ANSWERED = "answered"
    """The upstream's answer is complete, whether it is a success or a failure."""
    NOT_SENT = "not_sent"
    """No byte was sent: the upstream can't have run the request."""
    NOT_RUN = "not_run"
    """The upstream reported that it did not run the request and won't."""
    OTHER_UPSTREAM = "other_upstream"
    """The address now belongs to another upstream; the request was not run."""
    UNREAD = "unread"
    """The prefill failed; the request itself was not sent."""
    BROKEN = "broken"
    """The connection ended or the answer was invalid: the request may have run."""
    CALLER_LEFT = "caller_left"

    @property
    def is_not_run(self) -> bool:
        """Return whether this send certainly did not run the request."""
        return self in (
            SendResult.NOT_SENT,
            SendResult.NOT_RUN,
            SendResult.OTHER_UPSTREAM,
            SendResult.UNREAD,
        )
