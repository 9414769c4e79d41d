"""What is known of whether a request was run, and by which evidence.

A status of refusals promises callers that their request has not run and never will.
`answers` judges whose an answer is and what it shows; `ledgers` keeps what the sends of
one request leave open. No other place decides whether a promise may be made.
"""

from .answers import (
    REFUSAL_STATUSES,
    AnswerClaims,
    AnswerVerdict,
    judge_answer,
    judge_peer_answer,
)
from .ledgers import RunLedger

__all__ = [
    "REFUSAL_STATUSES",
    "AnswerClaims",
    "AnswerVerdict",
    "RunLedger",
    "judge_answer",
    "judge_peer_answer",
]
