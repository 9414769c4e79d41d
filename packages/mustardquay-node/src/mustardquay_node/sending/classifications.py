"""How a send ended: the result that decides what follows it."""

from mustardquay.requests import SendResult
from mustardquay.routing_tables import Repeat, Route
from mustardquay.run_evidence import AnswerVerdict

from ..connections import Exchange, ExchangeEnd
from ..replies import Reply
from .results import Send

__all__ = ["classify_send", "is_stream_answer"]

NOT_RUN_RESULTS = {
    AnswerVerdict.NOT_RUN: SendResult.NOT_RUN,
    AnswerVerdict.OTHER_UPSTREAM: SendResult.OTHER_UPSTREAM,
}
STREAM_STATUS = 200


def classify_send(
    route: Route, reply: Reply, send: Send, exchange: Exchange, end: str
) -> SendResult:
    """Return the result of a send; `end` is an `ExchangeEnd`."""
    if reply.is_caller_gone:
        return SendResult.CALLER_LEFT
    if not exchange.was_sent:
        return SendResult.NOT_SENT
    if end != ExchangeEnd.WHOLE or send.facts is None:
        return SendResult.BROKEN
    if send.verdict in NOT_RUN_RESULTS:
        return NOT_RUN_RESULTS[send.verdict]
    if not send.is_own:
        return SendResult.BROKEN
    is_begun = reply.has_begun and not send.is_passed_on
    if is_begun and not is_stream_answer(route, send, exchange):
        # An error instead of the rest of a stream whose head was already sent.
        return SendResult.BROKEN
    return SendResult.ANSWERED


def is_stream_answer(route: Route, send: Send, exchange: Exchange) -> bool:
    """Return whether an answer is a stream that may be passed on to the caller."""
    if route.repeat is not Repeat.STREAM or not send.is_own:
        return False
    return exchange.head.status == STREAM_STATUS and send.facts.is_signed
