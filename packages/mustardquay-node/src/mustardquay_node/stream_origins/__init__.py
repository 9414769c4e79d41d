"""Where streams began: kept by gateways, shared among them, and marked in the store."""

from .frames import MESSAGE_PREFIX
from .subsystems import FoundOrigin, OriginDependencies, OriginSubsystem
from .version_markers import MARKS_TABLE

__all__ = [
    "MARKS_TABLE",
    "MESSAGE_PREFIX",
    "FoundOrigin",
    "OriginDependencies",
    "OriginSubsystem",
]
