"""Actions: what the state machine of a request returns for its caller to execute."""

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
    """Choose an upstream, preferably none of `avoid`."""

    avoid: frozenset[str]


@dataclass(frozen=True, slots=True)
class SendAttempt:
    """Send the attempt; `resume` is set if part of the answer was already delivered."""

    number: int
    upstream: str
    incarnation: int
    resume: bool


@dataclass(frozen=True, slots=True)
class ReattachAttempt:
    """Request the frames from index `have` on from the agent, over a new link."""

    number: int
    upstream: str
    incarnation: int
    have: int


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Cancel the attempt at its agent."""

    number: int


@dataclass(frozen=True, slots=True)
class WaitBeforeRetry:
    """Wait, then call `back_off_ended`."""

    delay: timedelta


@dataclass(frozen=True, slots=True)
class DeliverHead:
    """Begin the answer, in place of what an attempt that failed has delivered.

    Status 200 of a stream goes to the caller at once, and is not replaced any more.
    """

    status: int
    headers: tuple[Header, ...]


@dataclass(frozen=True, slots=True)
class DeliverData:
    """Pass the next part of the answer to the caller."""

    data: bytes
    tokens: int


@dataclass(frozen=True, slots=True)
class AnswerEarly:
    """Tell the caller that the outcome is unknown, while the attempt continues.

    Only for non-idempotent requests: they are not cancelled at the deadline, and their
    outcome is still recorded. `Finish` follows.
    """

    refusal: Refusal


@dataclass(frozen=True, slots=True)
class Finish:
    """Tell the caller the outcome, unless `AnswerEarly` did; the last action.

    `refusal` is the reason why there is no answer, or None if there is one.
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
