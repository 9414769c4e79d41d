"""Closing of new connections that a gateway could not serve in time."""

from .monitors import GateMonitor

__all__ = ["GateMonitor"]
