"""HTTP/1.1 exchanges over pooled connections."""

from .exchanges import AnswerHead, Exchange, ExchangeEnd
from .pools import ConnectionPool, split_address

__all__ = ["AnswerHead", "ConnectionPool", "Exchange", "ExchangeEnd", "split_address"]
