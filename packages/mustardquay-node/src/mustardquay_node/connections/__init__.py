"""HTTP/1.1 exchanges over pooled connections."""

from .exchanges import MAX_DROPPED_BYTES, AnswerHead, Exchange, ExchangeEnd
from .pools import ConnectionPool, split_address

__all__ = [
    "MAX_DROPPED_BYTES",
    "AnswerHead",
    "ConnectionPool",
    "Exchange",
    "ExchangeEnd",
    "split_address",
]
