"""Actions: what the state machine of a request asks its caller to do."""

from dataclasses import dataclass
from datetime import timedelta

from .errors import Refusal
from .messages import FailureKind, Header
from .outcomes import Outcome

__all__ = [
    "Action",
    "AnswerEarly",
    "CancelAttempt",
    "ChooseUpstream",
    "DeliverData",
    "DeliverHead",
    "Finish",
    "ReattachAttempt",
    "SendAttempt",
    "WaitBeforeRetry",
]


@dataclass(frozen=True, slots=True)
class ChooseUpstream:
    """Choose an upstream, none of `avoid` if another will do."""

    avoid: frozenset[str]


@dataclass(frozen=True, slots=True)
class SendAttempt:
    """Send the attempt; `resume` when part of the answer was delivered."""

    number: int
    upstream: str
    incarnation: int
    resume: bool


@dataclass(frozen=True, slots=True)
class ReattachAttempt:
    """Ask the agent over a new link for the frames from `have` on."""

    number: int
    upstream: str
    incarnation: int
    have: int


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Tell the agent that the attempt's answer is no longer wanted."""

    number: int


@dataclass(frozen=True, slots=True)
class WaitBeforeRetry:
    """Wait, then call `back_off_ended`."""

    delay: timedelta


@dataclass(frozen=True, slots=True)
class DeliverHead:
    """Pass status and headers to the caller; comes once at the most."""

    status: int
    headers: tuple[Header, ...]


@dataclass(frozen=True, slots=True)
class DeliverData:
    """Pass the next part of the answer to the caller."""

    data: bytes
    tokens: int


@dataclass(frozen=True, slots=True)
class AnswerEarly:
    """Tell the caller that the outcome is unknown; the work itself goes on.

    Only for work that must not be repeated: it is not broken off at the deadline,
    and what becomes of it is still recorded. `Finish` follows.
    """

    refusal: Refusal


@dataclass(frozen=True, slots=True)
class Finish:
    """Tell the caller the outcome, unless it was told early; nothing follows.

    `refusal` tells why there is no answer, and is None with one.
    """

    outcome: Outcome
    refusal: Refusal | None = None
    failure: FailureKind | None = None


Action = (
    ChooseUpstream
    | SendAttempt
    | ReattachAttempt
    | CancelAttempt
    | WaitBeforeRetry
    | DeliverHead
    | DeliverData
    | AnswerEarly
    | Finish
)
