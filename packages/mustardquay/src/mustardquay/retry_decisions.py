"""Retry decisions: whether a request is sent again, and the response if it isn't.

They handle failures of single upstreams. Three statuses guarantee callers that a
request has not run: they are returned only if none of its sends can have run. In all
other cases the outcome is unknown, and callers decide whether to retry.
"""

from dataclasses import dataclass, field, replace
from datetime import timedelta
from enum import StrEnum

from .requests import SendResult
from .routing_tables import Route
from .run_evidence import RunLedger

__all__ = [
    "FAILED_STATUSES",
    "NextStep",
    "PrefillState",
    "SendHistory",
    "count_repeats",
    "decide_next",
    "may_follow",
]

FAILED_STATUSES = range(500, 600)
"""Statuses of upstreams after which a repeatable request may be sent again."""

MIN_SEND_TIME = timedelta(milliseconds=20)
"""Minimum time left for a send. No upstream can answer within less: the shortest
requests of the plain services take about as long."""


class NextStep(StrEnum):
    """The next step after a send has ended."""

    SEND_AGAIN = "send_again"
    RESUME = "resume"
    PASS_ON = "pass_on"
    """Pass the upstream's answer to the caller."""
    REFUSE = "refuse"
    """Refuse with a status which guarantees that the request has not run."""
    FAIL = "fail"
    """Fail with a status that leaves open whether the request has run."""


class PrefillState(StrEnum):
    """State of a separate prefill when its request is sent again."""

    NONE = "none"
    """No separate prefill was run."""
    KEPT = "kept"
    """Another engine can generate from the prefilled prompt."""
    LOST = "lost"
    """The prefilled prompt is no longer available."""


@dataclass(slots=True)
class SendHistory:
    """The sends of one request so far."""

    attempts: int = 0
    """Sends after which their upstream may have run the request."""
    has_sent_events: bool = False
    """Whether any event of a stream was sent to the caller."""
    is_origin_known: bool = True
    """Whether it is known at which software version a resumable stream began."""
    misdirected: int = 0
    """Sends that reached a different upstream than intended."""
    refusals: int = 0
    """Sends that an upstream refused without running the request."""
    ledger: RunLedger = field(default_factory=RunLedger)

    @property
    def sends(self) -> int:
        """Return the number of upstreams that have got the request."""
        return self.attempts + self.refusals

    @property
    def may_have_run(self) -> bool:
        """Return whether a send may have run the request, or may still."""
        return not self.ledger.is_surely_not_run

    def note(self, end: SendResult) -> None:
        """Record the result of a send."""
        if end is SendResult.OTHER_UPSTREAM:
            self.misdirected += 1
        elif end is SendResult.NOT_RUN:
            self.refusals += 1
        elif not end.is_not_run:
            self.attempts += 1
        self.ledger.note(end.is_not_run)


MAX_MISDIRECTED = 2
"""Maximum sends to addresses now used by another upstream, before the request is
refused: the list of upstreams is then outdated."""


def decide_next(
    route: Route,
    history: SendHistory,
    end: SendResult,
    status: int,
    time_left: timedelta,
) -> NextStep:
    """Return what follows a send that is already recorded in `history`.

    The calling code checks whether the retry budget allows another send.

    >>> from datetime import timedelta as t
    >>> from mustardquay.routing_tables import Repeat
    >>> once = Route("r", "h", "/", Repeat.AT_MOST_ONCE, (), t(1), t(1))
    >>> history = SendHistory()
    >>> history.note(SendResult.BROKEN)
    >>> decide_next(once, history, SendResult.BROKEN, 0, t(seconds=1)).value
    'fail'
    """
    if end is SendResult.ANSWERED:
        if not _is_worth_repeating(route, history, status, time_left):
            return NextStep.PASS_ON
        return NextStep.SEND_AGAIN
    has_time = time_left > MIN_SEND_TIME
    if history.has_sent_events:
        may_resume = route.resumable and history.is_origin_known
        may_resume = may_resume and history.attempts < route.max_attempts
        return NextStep.RESUME if may_resume and has_time else NextStep.FAIL
    if history.may_have_run and not route.is_repeatable:
        return NextStep.FAIL
    if has_time and _has_attempts(route, history, end):
        return NextStep.SEND_AGAIN
    return NextStep.FAIL if history.may_have_run else NextStep.REFUSE


def may_follow(
    route: Route, history: SendHistory, end: SendResult, time_left: timedelta
) -> bool:
    """Return whether another send may follow one that runs, if it ended as `end`."""
    history = replace(history, ledger=replace(history.ledger, open_sends=0))
    history.note(end)
    step = decide_next(route, history, end, 0, time_left)
    return step in (NextStep.SEND_AGAIN, NextStep.RESUME)


def count_repeats(route: Route, end: SendResult, prefill: PrefillState) -> int:
    """Return how many sends a retry takes from the retry allowance.

    The first prefill of a prompt and the first send of the request itself are free.

    >>> from datetime import timedelta as t
    >>> from mustardquay.routing_tables import Repeat
    >>> stream = Route("r", "h", "/", Repeat.STREAM, (), t(1), t(1), has_prompt=True)
    >>> [count_repeats(stream, SendResult.BROKEN, each) for each in PrefillState]
    [2, 1, 2]
    >>> [count_repeats(stream, SendResult.NOT_SENT, each) for each in PrefillState]
    [0, 0, 1]
    """
    sends = 0 if end is SendResult.NOT_SENT else 1
    needs_prefill = route.has_prompt and prefill is not PrefillState.KEPT
    if needs_prefill and (sends or prefill is PrefillState.LOST):
        sends += 1
    return sends


def _has_attempts(route: Route, history: SendHistory, end: SendResult) -> bool:
    if end is SendResult.OTHER_UPSTREAM:
        return history.misdirected < MAX_MISDIRECTED
    # What nothing has run can be refused, which costs its caller less than a search.
    used = history.attempts if history.may_have_run else history.sends
    return used < route.max_attempts


def _is_worth_repeating(
    route: Route, history: SendHistory, status: int, time_left: timedelta
) -> bool:
    return (
        status in FAILED_STATUSES
        and route.is_repeatable
        and not history.has_sent_events
        and history.attempts < route.max_attempts
        and time_left > MIN_SEND_TIME
    )
