"""Attempts: the lifecycle of one request at its entry, as a pure state machine.

Each method handles one event and returns the actions to take, in order. The state
machine does no I/O, so that tests can exercise every interleaving of events.

Invariants: a non-idempotent request is sent again only after the agent has confirmed
that the earlier attempt never started; the outcome is "not run" only when that holds
for every attempt; frames of an earlier attempt are ignored; each token is delivered
to the caller once.
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
"""Refusals that every upstream would give, so that a retry is pointless."""

UNCHARGED_REASONS = frozenset({Reason.DRAINING, Reason.STALE_INCARNATION})
"""Refusals unrelated to load; a retry after one doesn't use the retry budget."""

MAX_UPSTREAM_WAITS = 8
"""Maximum waits of an interrupted request for an upstream: a few seconds in total."""


class Phase(StrEnum):
    """The event that the request is waiting for."""

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
        """Initialise the state machine with the limits of the request.

        `spend_retry` takes one retry from the budget and returns False if none is
        left; `back_off` returns the delay before the retry with the given number.
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
        self._frames_received = 0
        self._avoid: frozenset[str] = frozenset()
        self._may_have_run = False
        self._is_past_deadline = False
        self._head_delivered = False
        self._tokens_delivered = 0
        self._resumable = True

    @property
    def phase(self) -> Phase:
        """Return the phase that the request is in."""
        return self._phase

    @property
    def number(self) -> int:
        """Return the number of the current attempt, 0 before the first."""
        return self._number

    @property
    def upstream(self) -> str:
        """Return the upstream of the current attempt."""
        return self._upstream

    @property
    def tokens_delivered(self) -> int:
        """Return how many tokens of the present answer were delivered."""
        return self._tokens_delivered

    @property
    def may_have_run(self) -> bool:
        """Return whether any attempt may have run in whole or in part."""
        return self._may_have_run

    def start(self) -> list[Action]:
        """Start by choosing an upstream."""
        return [ChooseUpstream(self._avoid)]

    def upstream_chosen(self, upstream: str, incarnation: int) -> list[Action]:
        """Send the next attempt to the chosen upstream."""
        if self._phase is not Phase.CHOOSING:
            return []
        self._phase = Phase.SENT
        self._number += 1
        self._upstream = upstream
        self._incarnation = incarnation
        self._frames_received = 0
        resume = self._head_delivered
        return [SendAttempt(self._number, upstream, incarnation, resume)]

    def upstream_missing(self, refusal: Refusal) -> list[Action]:
        """Wait for an upstream to become available, or finish with the refusal."""
        if self._phase is not Phase.CHOOSING:
            return []
        if refusal.reason in FINAL_REASONS:
            return self._finish(refusal)
        if self._number > 0 and self._waits < MAX_UPSTREAM_WAITS:
            # A request that was interrupted waits for another upstream. When many
            # links are lost at once, no upstream is reachable for a moment, and an
            # interrupted stream would fail then. Waiting sends nothing, so it doesn't
            # use the retry budget.
            self._waits += 1
            self._phase = Phase.BACKING_OFF
            return [WaitBeforeRetry(self._back_off(self._waits))]
        return self._back_off_or_finish(refusal)

    def send_failed(self) -> list[Action]:
        """Choose another upstream after an attempt of which no byte was sent."""
        if self._phase is not Phase.SENT:
            return []
        return self._choose_another()

    def back_off_ended(self) -> list[Action]:
        """Choose an upstream again after the backoff delay."""
        if self._phase is not Phase.BACKING_OFF:
            return []
        self._phase = Phase.CHOOSING
        return [ChooseUpstream(self._avoid)]

    def frame_received(self, number: int, frame: AttemptFrame) -> list[Action]:
        """Handle a frame of attempt `number`.

        Frames of superseded attempts and duplicate frames are dropped: after a retry
        or a reconnect the earlier agent may still be sending, and the caller would
        receive duplicate tokens or tokens of another attempt.
        """
        if self._phase not in (Phase.SENT, Phase.REATTACHING):
            return []
        if number != self._number or frame.index < self._frames_received:
            return []
        if frame.index > self._frames_received:
            return self._reattach()
        self._frames_received += 1
        self._phase = Phase.SENT
        return self._handle_frame(frame)

    def link_lost(self) -> list[Action]:
        """Reattach over a new link; the agent may still be running the attempt."""
        if self._phase is not Phase.SENT:
            return []
        return self._reattach()

    def reattach_failed(self) -> list[Action]:
        """Handle an agent that is unreachable or has been replaced by a new process."""
        if self._phase is not Phase.REATTACHING:
            return []
        return self._after_failure(FailureKind.LOST)

    def deadline_passed(self) -> list[Action]:
        """Answer the caller at the deadline; an attempt that was sent may have run."""
        refusal = Refusal(
            Reason.DEADLINE,
            "The tolerated lateness has passed; ask again when load is lower.",
            timedelta(seconds=1),
        )
        self._is_past_deadline = True
        if not self._repeatable and self._phase in (Phase.SENT, Phase.REATTACHING):
            return [AnswerEarly(refusal)]
        return self._give_up(refusal)

    def caller_left(self) -> list[Action]:
        """Cancel an idempotent request; a non-idempotent one runs to completion."""
        if not self._repeatable:
            return []
        return self._give_up(Refusal(Reason.DEADLINE, "The caller has left."))

    def resume_impossible(self) -> None:
        """Record that no other engine can continue what was delivered so far."""
        self._resumable = False

    def resume_refused(self) -> list[Action]:
        """Handle a stream that can't be resumed at the chosen upstream."""
        if self._phase is not Phase.SENT:
            return []
        return self._after_failure(FailureKind.TRUNCATED)

    def _handle_frame(self, frame: AttemptFrame) -> list[Action]:
        match frame:
            case Started():
                self._may_have_run = True
                return []
            case Head():
                return self._handle_head(frame)
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

    def _handle_head(self, frame: Head) -> list[Action]:
        self._may_have_run = True
        if self._head_delivered:
            # A resumed stream has a second head. It is dropped only when the stream
            # continues: the body of an error must not be spliced into the answer.
            if frame.status == 200:
                return []
            return self._cancel() + self._after_failure(FailureKind.ERROR)
        self._head_delivered = self._streamed and frame.status == 200
        # What an attempt that failed has delivered is replaced.
        self._tokens_delivered = 0
        return [DeliverHead(frame.status, frame.headers)]

    def _reattach(self) -> list[Action]:
        self._phase = Phase.REATTACHING
        return [
            ReattachAttempt(
                self._number, self._upstream, self._incarnation, self._frames_received
            )
        ]

    def _after_refusal(self, refusal: Refusal) -> list[Action]:
        if refusal.reason in FINAL_REASONS:
            return self._finish(refusal)
        if not self._repeatable and self._may_have_run:
            # An agent that refuses an attempt after starting it violates the protocol.
            # The work could run twice if it were sent again because of that refusal.
            return self._finish(refusal)
        if self._number >= self._attempts:
            return self._finish(refusal)
        if refusal.reason not in UNCHARGED_REASONS and not self._spend_retry():
            return self._finish(refusal)
        return self._choose_another()

    def _after_failure(self, kind: FailureKind) -> list[Action]:
        self._may_have_run = True
        refusal = Refusal(
            Reason.NO_UPSTREAM,
            f"The upstream gave no whole answer ({kind}); what ran is not known.",
            timedelta(seconds=1),
        )
        if not self._repeatable or not self._may_continue():
            return self._finish(refusal, kind)
        self._avoid |= {self._upstream}
        return self._back_off_or_finish(refusal, kind)

    def _may_continue(self) -> bool:
        return not self._head_delivered or self._resumable

    def _choose_another(self) -> list[Action]:
        self._avoid |= {self._upstream}
        # After the caller was told `unknown` at its deadline, a refused attempt is not
        # sent elsewhere: the outcome is then not-run, which releases the claim.
        if self._is_past_deadline or self._number >= self._attempts:
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
            # Sent and not confirmed as refused: it may be running right now.
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
