"""Plans: changes to the fleet that operators announce in advance."""

from dataclasses import dataclass
from datetime import datetime
from enum import StrEnum

__all__ = ["Action", "PlannedChange", "Release", "Scope"]


class Action(StrEnum):
    """What a planned change does to each of its upstreams."""

    DRAIN = "drain"
    """Drain, and keep running without new work until the change is removed."""
    REPLACE = "replace"
    """Drain, then let the platform restart the instance, then serve again."""
    WITHDRAW = "withdraw"
    """Drain, and don't serve again while the change is in force."""


class Scope(StrEnum):
    """What kind of thing the target of a planned change names."""

    UPSTREAM = "upstream"
    INSTANCE = "instance"
    AVAILABILITY_ZONE = "availability_zone"


@dataclass(frozen=True, slots=True)
class PlannedChange:
    """A change that operators announce, in force until removed from the log."""

    name: str
    action: Action
    scope: Scope
    target: str
    """Name of the upstream, instance or availability zone."""
    starts_at: datetime | None = None
    """Wall-clock time in UTC at which the change begins; None means at once."""
    accept_overload: bool = False
    """Whether the operator accepts too little capacity for the contracts."""
    revision: int = 0
    """Version of the configuration log that last set this change."""


@dataclass(frozen=True, slots=True)
class Release:
    """The version of a model that engines should serve, and the one before it."""

    model: str
    version: str
    previous: str = ""
    """Version for rollback, kept in the weight store until the rollout ends."""
    adapters: tuple[str, ...] = ()
    availability_zones: tuple[str, ...] = ()
    """Zones that should serve this version; empty means all."""
    accept_overload: bool = False
    """Whether engines may be updated one at a time although none can be spared."""
    revision: int = 0
    """Version of the configuration log that last set this release."""
