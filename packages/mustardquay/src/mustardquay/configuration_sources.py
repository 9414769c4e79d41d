"""Configuration sources: which gateway to ask for a version that the store withholds.

Designed for a store that turns some gateways away, or is silent to them, while it
serves the others: a gateway that lacks an overdue version refuses its callers, and the
gateways that are left get all of them.
"""

from collections.abc import Collection, Sequence
from dataclasses import dataclass
from datetime import timedelta
from random import Random

__all__ = ["ConfigurationSource", "choose_source", "find_relay_delay"]

RELAY_SHARE = 0.2
"""Fraction of the time in which a version must be in force everywhere that is left to
the store: half of that time makes a gateway outdated, and a large version takes a
while to send and to decode."""


@dataclass(frozen=True, slots=True)
class ConfigurationSource:
    """The configuration in force at another gateway, by its newest digest."""

    gateway: str
    version: int
    availability_zone: str
    port: int = 0
    """Where it hands on its configuration."""


def choose_source(
    sources: Sequence[ConfigurationSource],
    in_force: int,
    availability_zone: str,
    avoid: Collection[str],
    random: Random,
) -> ConfigurationSource | None:
    """Return a gateway with the newest version, None if none is newer than `in_force`.

    One of the same availability zone is preferred. Among equals the choice is random,
    so that several gateways behind don't all ask the same one.

    >>> sources = [ConfigurationSource("a", 3, "x"), ConfigurationSource("b", 4, "y")]
    >>> choose_source(sources, 3, "x", (), Random(1)).gateway
    'b'
    >>> choose_source(sources, 3, "x", {"b"}, Random(1)) is None
    True
    """
    newer = [
        each
        for each in sources
        if each.version > in_force and each.gateway not in avoid
    ]
    newest = max((each.version for each in newer), default=0)
    usable = [each for each in newer if each.version == newest]
    near = [each for each in usable if each.availability_zone == availability_zone]
    return random.choice(near or usable) if usable else None


def find_relay_delay(bound: timedelta) -> timedelta:
    """Return for how long a version must be known before another gateway is asked.

    `bound` is the time in which a version must be in force everywhere.

    >>> find_relay_delay(timedelta(seconds=3))
    datetime.timedelta(microseconds=600000)
    """
    return RELAY_SHARE * bound
