"""Judging an answer: which request it belongs to, and whether that was run."""

from dataclasses import dataclass
from enum import StrEnum

__all__ = [
    "REFUSAL_STATUSES",
    "AnswerClaims",
    "AnswerVerdict",
    "judge_answer",
    "judge_peer_answer",
]

REFUSAL_STATUSES = frozenset({408, 421, 429, 503})
"""Statuses which promise callers that the request has not run and never will."""
SUCCESS_STATUSES = range(200, 300)
MIN_ERROR_STATUS = 400


class AnswerVerdict(StrEnum):
    """What an answer shows."""

    FOREIGN = "foreign"
    """It belongs to another request, or to none."""
    NOT_RUN = "not_run"
    """The upstream did not run this request and won't."""
    OTHER_UPSTREAM = "other_upstream"
    """Another upstream has the address now, and did not run this request."""
    OWN = "own"
    """It is the result of this request, and promises nothing else."""
    UNCLEAR = "unclear"
    """It belongs to this request, and does not show whether that was run."""


@dataclass(frozen=True, slots=True)
class AnswerClaims:
    """What an answer says of itself."""

    request_id: str
    """The request that it names; empty for none."""
    status: int
    is_signed: bool = False
    """Whether it has the header by which upstreams mark results as their own."""
    says_not_run: bool = False
    says_other_upstream: bool = False


def judge_answer(
    claims: AnswerClaims, request_id: str, needs_signature: bool = True
) -> AnswerVerdict:
    """Return what an upstream's answer shows for a request.

    Only its id ties an answer to a request: bytes that a faulty upstream sends after an
    answer arrive where the next one is expected. `needs_signature` says whether a
    success has to be signed.

    >>> judge_answer(AnswerClaims("", 503, says_not_run=True), "r1").value
    'foreign'
    >>> judge_answer(AnswerClaims("r1", 503, says_not_run=True), "r1").value
    'not_run'
    >>> judge_answer(AnswerClaims("r1", 503), "r1").value
    'unclear'
    """
    if not request_id or claims.request_id != request_id:
        return AnswerVerdict.FOREIGN
    if claims.says_other_upstream:
        return AnswerVerdict.OTHER_UPSTREAM
    if claims.says_not_run:
        is_error = claims.status >= MIN_ERROR_STATUS
        return AnswerVerdict.NOT_RUN if is_error else AnswerVerdict.UNCLEAR
    if claims.status in REFUSAL_STATUSES:
        return AnswerVerdict.UNCLEAR
    if claims.status in SUCCESS_STATUSES and needs_signature and not claims.is_signed:
        return AnswerVerdict.UNCLEAR
    return AnswerVerdict.OWN


def judge_peer_answer(claims: AnswerClaims, request_id: str) -> AnswerVerdict:
    """Return what the answer of another gateway shows for a forwarded request.

    A gateway passes a status of refusals on only as a promise of its own, and says by
    421 that it has an older configuration than the one that forwards.

    >>> judge_peer_answer(AnswerClaims("r1", 503), "r1").value
    'not_run'
    >>> judge_peer_answer(AnswerClaims("", 503), "r1").value
    'foreign'
    """
    verdict = judge_answer(claims, request_id)
    if verdict in (AnswerVerdict.FOREIGN, AnswerVerdict.OTHER_UPSTREAM):
        return verdict
    if claims.status in REFUSAL_STATUSES:
        return AnswerVerdict.NOT_RUN
    return verdict
