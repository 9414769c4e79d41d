"""Plans: changes to the fleet that operators announce ahead."""

from dataclasses import dataclass
from datetime import datetime
from enum import StrEnum

__all__ = ["Action", "PlannedChange", "Release", "Scope"]


class Action(StrEnum):
    """What a planned change does to each upstream that it names."""

    DRAIN = "drain"
    """Take no new work and stay, until the change is removed."""
    REPLACE = "replace"
    """Drain, then let the platform restart the instance, then serve again."""
    WITHDRAW = "withdraw"
    """Drain, and never serve again while the change stands."""


class Scope(StrEnum):
    """What the target of a planned change names."""

    UPSTREAM = "upstream"
    INSTANCE = "instance"
    AVAILABILITY_ZONE = "availability_zone"


@dataclass(frozen=True, slots=True)
class PlannedChange:
    """A change that operators announce; in force while it stands in the log."""

    name: str
    action: Action
    scope: Scope
    target: str
    """Name of the upstream, instance or availability zone."""
    starts_at: datetime | None = None
    """Wall-clock time in UTC before which nothing is done; None is at once."""
    accept_overload: bool = False
    """Whether the operator accepts that the rest can't honour every contract."""
    revision: int = 0
    """Version of the configuration log that last wrote this change."""


@dataclass(frozen=True, slots=True)
class Release:
    """The version of a model that engines are to serve, and the way back."""

    model: str
    version: str
    previous: str = ""
    """Version that is kept in the weight store until the roll-out is over."""
    adapters: tuple[str, ...] = ()
    availability_zones: tuple[str, ...] = ()
    """Where this version is to be served; empty means in all."""
    accept_overload: bool = False
    """Whether engines may be taken one at a time though contracts can't spare any."""
    revision: int = 0
    """Version of the configuration log that last wrote this release."""
