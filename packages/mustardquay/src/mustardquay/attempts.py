"""Attempts: the life of one request at its entry, as a pure state machine.

Each method is an event and returns the actions to take, in order. The machine
does no I/O, so that tests can try every interleaving of events.

What it promises: a request that must not be repeated is sent again only after the
agent affirmed that the earlier attempt never started; "not run" is said only when
that holds for every attempt; frames of an earlier attempt change nothing; each
token goes to the caller once.
"""

from collections.abc import Callable
from datetime import timedelta
from enum import StrEnum

from .actions import (
    Action,
    AnswerEarly,
    CancelAttempt,
    ChooseUpstream,
    DeliverData,
    DeliverHead,
    Finish,
    ReattachAttempt,
    SendAttempt,
    WaitBeforeRetry,
)
from .errors import Reason, Refusal
from .messages import (
    AttemptFrame,
    Chunk,
    Done,
    Failed,
    FailureKind,
    Head,
    Refused,
    Started,
)
from .outcomes import Outcome

__all__ = ["Phase", "RequestState"]

FINAL_REASONS = frozenset({Reason.CONTRACT, Reason.QUARANTINE})
"""Refusals that hold at every upstream, so that another attempt is no use."""

FREE_REASONS = frozenset({Reason.DRAINING, Reason.STALE_INCARNATION})
"""Refusals that say nothing of the load, and cost nothing of the retry budget."""

MISSING_WAITS = 8
"""How often interrupted work waits for an upstream: some seconds in all."""


class Phase(StrEnum):
    """What the request waits for."""

    CHOOSING = "choosing"
    SENT = "sent"
    REATTACHING = "reattaching"
    BACKING_OFF = "backing_off"
    ENDED = "ended"


class RequestState:
    """One request at its entry, from admission to its outcome."""

    def __init__(
        self,
        repeatable: bool,
        streamed: bool,
        attempts: int,
        spend_retry: Callable[[], bool],
        back_off: Callable[[int], timedelta],
    ):
        """Take the limits of the request.

        `spend_retry` takes one retry from the budget, or says that there is none;
        `back_off` gives the wait before a retry from the number of retries so far.
        """
        self._repeatable = repeatable
        self._streamed = streamed
        self._attempts = attempts
        self._spend_retry = spend_retry
        self._back_off = back_off
        self._phase = Phase.CHOOSING
        self._number = 0
        self._retries = 0
        self._waits = 0
        self._upstream = ""
        self._incarnation = 0
        self._have = 0
        self._avoid: frozenset[str] = frozenset()
        self._may_have_run = False
        self._is_late = False
        self._head_delivered = False
        self._tokens_delivered = 0
        self._resumable = True

    @property
    def phase(self) -> Phase:
        """Return what the request waits for."""
        return self._phase

    @property
    def number(self) -> int:
        """Return the number of the present attempt, 0 before the first."""
        return self._number

    @property
    def upstream(self) -> str:
        """Return the upstream of the present attempt."""
        return self._upstream

    @property
    def tokens_delivered(self) -> int:
        """Return how many tokens the caller was sent."""
        return self._tokens_delivered

    @property
    def may_have_run(self) -> bool:
        """Return whether any attempt may have run in whole or in part."""
        return self._may_have_run

    def start(self) -> list[Action]:
        """Begin with the choice of an upstream."""
        return [ChooseUpstream(self._avoid)]

    def upstream_chosen(self, upstream: str, incarnation: int) -> list[Action]:
        """Send the next attempt to this upstream."""
        if self._phase is not Phase.CHOOSING:
            return []
        self._phase = Phase.SENT
        self._number += 1
        self._upstream = upstream
        self._incarnation = incarnation
        self._have = 0
        resume = self._head_delivered
        return [SendAttempt(self._number, upstream, incarnation, resume)]

    def upstream_missing(self, refusal: Refusal) -> list[Action]:
        """Wait for an upstream within the budget, or give up at once."""
        if self._phase is not Phase.CHOOSING:
            return []
        if refusal.reason in FINAL_REASONS:
            return self._finish(refusal)
        if self._number > 0 and self._waits < MISSING_WAITS:
            # Work that was interrupted waits for another upstream. When many links
            # are lost at once, none is reached for a moment, and a stream that was
            # cut would be given up in it. A wait sends nothing, so costs no retry.
            self._waits += 1
            self._phase = Phase.BACKING_OFF
            return [WaitBeforeRetry(self._back_off(self._waits))]
        return self._back_off_or_finish(refusal)

    def send_failed(self) -> list[Action]:
        """Go on after an attempt of which not a byte was sent."""
        if self._phase is not Phase.SENT:
            return []
        return self._choose_other()

    def back_off_ended(self) -> list[Action]:
        """Choose again after the wait."""
        if self._phase is not Phase.BACKING_OFF:
            return []
        self._phase = Phase.CHOOSING
        return [ChooseUpstream(self._avoid)]

    def frame_received(self, number: int, frame: AttemptFrame) -> list[Action]:
        """Take a frame of attempt `number`.

        Frames of attempts that were replaced, and frames seen before, are
        dropped: after a retry or a new link the old agent may go on sending, which
        would show as doubled or foreign tokens at the caller.
        """
        if self._phase not in (Phase.SENT, Phase.REATTACHING):
            return []
        if number != self._number or frame.index < self._have:
            return []
        if frame.index > self._have:
            return self._reattach()
        self._have += 1
        self._phase = Phase.SENT
        return self._take_frame(frame)

    def link_lost(self) -> list[Action]:
        """Ask for the rest over a new link; the agent may still be at work."""
        if self._phase is not Phase.SENT:
            return []
        return self._reattach()

    def reattach_failed(self) -> list[Action]:
        """Go on after the agent could not be reached, or is another process."""
        if self._phase is not Phase.REATTACHING:
            return []
        return self._after_failure(FailureKind.LOST)

    def deadline_passed(self) -> list[Action]:
        """Give the caller the final word at once; what was sent may have run."""
        refusal = Refusal(
            Reason.DEADLINE,
            "The tolerated lateness has passed; ask again when load is lower.",
            timedelta(seconds=1),
        )
        self._is_late = True
        if not self._repeatable and self._phase in (Phase.SENT, Phase.REATTACHING):
            return [AnswerEarly(refusal)]
        return self._give_up(refusal)

    def caller_left(self) -> list[Action]:
        """Stop idempotent work; what must not be repeated runs to its end."""
        if not self._repeatable:
            return []
        return self._give_up(Refusal(Reason.DEADLINE, "The caller has left."))

    def resume_impossible(self) -> None:
        """Note that what was delivered can't be given to another engine."""
        self._resumable = False

    def resume_refused(self) -> list[Action]:
        """Give up on a stream that was to be resumed and can't be."""
        if self._phase is not Phase.SENT:
            return []
        return self._after_failure(FailureKind.TRUNCATED)

    def _take_frame(self, frame: AttemptFrame) -> list[Action]:
        match frame:
            case Started():
                self._may_have_run = True
                return []
            case Head():
                return self._take_head(frame)
            case Chunk():
                self._tokens_delivered += frame.tokens
                return [DeliverData(frame.data, frame.tokens)]
            case Done():
                self._phase = Phase.ENDED
                return [Finish(Outcome.ANSWERED)]
            case Refused():
                refusal = Refusal(frame.reason, frame.message, frame.retry_after)
                return self._after_refusal(refusal)
            case Failed():
                return self._after_failure(frame.kind)

    def _take_head(self, frame: Head) -> list[Action]:
        self._may_have_run = True
        if self._head_delivered:
            # A resumed stream has a second head. Only that of a stream that goes
            # on is dropped: an error's body must not be spliced into the answer.
            if frame.status == 200:
                return []
            return self._cancel() + self._after_failure(FailureKind.ERROR)
        self._head_delivered = self._streamed and frame.status == 200
        return [DeliverHead(frame.status, frame.headers)]

    def _reattach(self) -> list[Action]:
        self._phase = Phase.REATTACHING
        return [
            ReattachAttempt(self._number, self._upstream, self._incarnation, self._have)
        ]

    def _after_refusal(self, refusal: Refusal) -> list[Action]:
        if refusal.reason in FINAL_REASONS:
            return self._finish(refusal)
        if not self._repeatable and self._may_have_run:
            # An agent that refuses what it has started breaks its protocol. The
            # work would run twice if it were sent again on that word.
            return self._finish(refusal)
        if self._number >= self._attempts:
            return self._finish(refusal)
        if refusal.reason not in FREE_REASONS and not self._spend_retry():
            return self._finish(refusal)
        return self._choose_other()

    def _after_failure(self, kind: FailureKind) -> list[Action]:
        self._may_have_run = True
        refusal = Refusal(
            Reason.NO_UPSTREAM,
            f"The upstream gave no whole answer ({kind}); what ran is not known.",
            timedelta(seconds=1),
        )
        if not self._repeatable or not self._may_go_on():
            return self._finish(refusal, kind)
        self._avoid |= {self._upstream}
        return self._back_off_or_finish(refusal, kind)

    def _may_go_on(self) -> bool:
        return not self._head_delivered or self._resumable

    def _choose_other(self) -> list[Action]:
        self._avoid |= {self._upstream}
        # Once the caller has heard `unknown` at its deadline, work that was refused
        # is not begun elsewhere: its true end is a not-run, which frees its key.
        if self._is_late or self._number >= self._attempts:
            return self._finish(
                Refusal(
                    Reason.NO_UPSTREAM,
                    "No upstream took the request; ask again later.",
                    timedelta(seconds=1),
                )
            )
        self._phase = Phase.CHOOSING
        return [ChooseUpstream(self._avoid)]

    def _back_off_or_finish(
        self, refusal: Refusal, kind: FailureKind | None = None
    ) -> list[Action]:
        if self._retries + 1 >= self._attempts or self._number >= self._attempts:
            return self._finish(refusal, kind)
        if not self._spend_retry():
            return self._finish(refusal, kind)
        self._retries += 1
        self._phase = Phase.BACKING_OFF
        return [WaitBeforeRetry(self._back_off(self._retries))]

    def _give_up(self, refusal: Refusal) -> list[Action]:
        if self._phase is Phase.ENDED:
            return []
        if self._phase in (Phase.SENT, Phase.REATTACHING):
            # Sent and not affirmed as refused: it may be running at this moment.
            self._may_have_run = True
        return self._cancel() + self._finish(refusal)

    def _cancel(self) -> list[Action]:
        if self._phase in (Phase.SENT, Phase.REATTACHING):
            return [CancelAttempt(self._number)]
        return []

    def _finish(
        self, refusal: Refusal, kind: FailureKind | None = None
    ) -> list[Action]:
        self._phase = Phase.ENDED
        outcome = Outcome.UNKNOWN if self._may_have_run else Outcome.NOT_RUN
        return [Finish(outcome, refusal, kind)]
