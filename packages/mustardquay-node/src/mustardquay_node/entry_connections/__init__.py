"""Connections of callers to an entry: what is owed on each, and how it is closed.

Tornado's server reads requests and writes answers. This package applies the limits and
ends the connections of a stopping entry, so that no request that has arrived is cut off
by a timer that fires late or by a close.
"""

from .connections import EntryConnection, EntryConnections
from .servers import OwningServer

__all__ = ["EntryConnection", "EntryConnections", "OwningServer"]
