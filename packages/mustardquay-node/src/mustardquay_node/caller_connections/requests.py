"""Requests of callers as they were received."""

from dataclasses import dataclass
from datetime import timedelta

from tornado.httputil import HTTPHeaders

__all__ = ["CallerConnection", "CallerRequest"]


@dataclass(frozen=True, slots=True)
class CallerConnection:
    """A caller's connection, as it is identified in the log."""

    number: int = 0
    """Counts the connections that the process has accepted, from 1."""
    opened_at: timedelta = timedelta()
    """On the monotonic clock."""

    def describe(self, now: timedelta, position: int) -> dict[str, int]:
        """Return log fields: the connection, its age, and the request's position.

        They show whether a request came on a connection from before a stop.
        """
        return {
            "connection": self.number,
            "connection_ms": (now - self.opened_at) // timedelta(milliseconds=1),
            "position": position,
        }


@dataclass(slots=True)
class CallerRequest:
    """One request as it was received."""

    method: str
    path: str
    """Includes the query, as it was sent."""
    headers: HTTPHeaders
    """Without hop-by-hop headers."""
    received_at: timedelta
    position: int = 1
    """Position among the requests of its connection, from 1."""
    connection: CallerConnection = CallerConnection()
    body: bytes = b""

    def describe_connection(self) -> dict[str, int]:
        """Return log fields: the connection, its age, and the request's position."""
        return self.connection.describe(self.received_at, self.position)
