"""Connections of callers: reading requests and writing answers.

HTTP is parsed by tornado. This package adds the owner of each request, who sees to it
that a request that was read is answered, the operator's limits, which may change while
connections are open, and a graceful shutdown.
"""

from .answers import CallerAnswer
from .connections import CallerConnections, ConnectionOptions
from .paces import CallerPace
from .requests import CallerConnection, CallerRequest

__all__ = [
    "CallerAnswer",
    "CallerConnection",
    "CallerConnections",
    "CallerPace",
    "CallerRequest",
    "ConnectionOptions",
]
