"""Which requests count as begun, and when they began."""

from datetime import timedelta

from mustardquay.requests import SendResult
from mustardquay.routing_tables import Repeat

from ..connections import ExchangeEnd
from ..forwarder_dependencies import ForwardedRequest, ForwarderDependencies

__all__ = ["may_have_begun", "note_begun"]

MAX_PLAIN_WORK = timedelta(milliseconds=200)
"""Time before the answer in which a plain upstream began: it was busy before that."""
LOST_ANSWER_ENDS = (
    ExchangeEnd.BROKEN,
    ExchangeEnd.MALFORMED,
    ExchangeEnd.INCOMPLETE,
    ExchangeEnd.WHOLE,
)
"""Ends of an exchange without an answer that upstreams cause, not this process."""


def may_have_begun(result: SendResult, end: str) -> bool:
    """Return whether an upstream has run a request, or its answer may be lost."""
    if result is SendResult.ANSWERED:
        return True
    return result is SendResult.BROKEN and end in LOST_ANSWER_ENDS


def note_begun(
    deps: ForwarderDependencies, request: ForwardedRequest, now: timedelta
) -> None:
    """Count a request for its organisation, once whatever follows.

    A plain upstream begins when it gets the request, unless it is busy.
    """
    if request.was_begun or not request.organisation:
        return
    request.was_begun = True
    begun_at = now
    if request.route.repeat is not Repeat.STREAM:
        begun_at = max(request.sent_at, now - MAX_PLAIN_WORK)
    deps.note_begun(request.organisation, begun_at)
