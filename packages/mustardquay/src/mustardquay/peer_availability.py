"""Peer availability: which other gateways take callers, by their digests."""

from collections.abc import Collection, Iterable
from dataclasses import dataclass, field
from datetime import timedelta
from enum import StrEnum

from .peer_digests import DIGEST_LIFETIME, PeerDigest
from .stops import ANSWER_MARGIN

__all__ = [
    "PeerAvailability",
    "Member",
    "MemberState",
    "find_retry_delay",
    "is_still_routed",
    "may_stop_early",
]

COMEBACK_TIME = timedelta(seconds=2)
"""Usual time from the end of a gateway to the moment when its successor is ready."""
MEMORY = timedelta(seconds=10)
"""How long a gateway that is silent counts as one that the balancer knows."""
LEAST_COMEBACK = timedelta(milliseconds=500)
"""Time in which one may be back that has been away for longer than usual."""
BALANCER_PACE = timedelta(seconds=1)
"""Time between two questions of the balancer whether a gateway is ready: until it has
asked, it sends nobody to one that has just become so."""


class MemberState(StrEnum):
    """Whether callers get an answer from a gateway."""

    READY = "ready"
    LEAVING = "leaving"
    """It stops, and takes what ends in time."""
    AWAY = "away"
    """It starts, has ended or is silent."""


@dataclass(frozen=True, slots=True)
class Member:
    """Another gateway of the fleet, as it was last heard."""

    name: str
    availability_zone: str
    state: MemberState
    changes_at: timedelta
    """When it ends if it is leaving, and when it is back if it is away."""


@dataclass(frozen=True, slots=True)
class _Heard:
    digest: PeerDigest
    at: timedelta
    ready_since: timedelta
    """When it was first heard to be ready without a break."""


@dataclass(slots=True)
class PeerAvailability:
    """The other gateways that were heard lately."""

    _heard: dict[str, _Heard] = field(default_factory=dict)

    def apply_digest(self, digest: PeerDigest, now: timedelta) -> None:
        """Take in what a gateway says; an older word that comes late is dropped."""
        known = self._heard.get(digest.gateway)
        if known is not None and digest.order <= known.digest.order:
            return
        ready_since = now
        if known is not None and _goes_on(known.digest, digest):
            ready_since = known.ready_since
        self._heard[digest.gateway] = _Heard(digest, now, ready_since)

    def list_members(self, now: timedelta) -> list[Member]:
        """Return the gateways that the balancer may know."""
        self._heard = {
            name: heard
            for name, heard in self._heard.items()
            if now - heard.at <= MEMORY
        }
        return [_make_member(heard, now) for heard in self._heard.values()]


def _goes_on(before: PeerDigest, digest: PeerDigest) -> bool:
    """Return whether one process was ready before and may still be."""
    return before.incarnation == digest.incarnation and before.is_ready


def _make_member(heard: _Heard, now: timedelta) -> Member:
    digest = heard.digest
    name, availability_zone = digest.gateway, digest.availability_zone
    if now - heard.at > DIGEST_LIFETIME:
        back_at = max(heard.at + COMEBACK_TIME, now + LEAST_COMEBACK)
        return Member(name, availability_zone, MemberState.AWAY, back_at)
    if digest.ends_in is not None:
        ends_at = heard.at + digest.ends_in
        return Member(name, availability_zone, MemberState.LEAVING, ends_at)
    asked_at = heard.ready_since + BALANCER_PACE
    if digest.is_ready and now >= asked_at:
        return Member(name, availability_zone, MemberState.READY, asked_at)
    back_at = max(asked_at, now + LEAST_COMEBACK)
    return Member(name, availability_zone, MemberState.AWAY, back_at)


def is_still_routed(availability_zone: str, members: Collection[Member]) -> bool:
    """Return whether the balancer sends callers to a gateway that isn't ready.

    It does when fewer than half of the gateways of an availability zone are ready; one
    without any is served by the others. Guards against a fleet that is stopped in one
    go: callers were sent to gateways that had closed their doors long before they
    ended, and got no connection.
    """
    own = [each for each in members if each.availability_zone == availability_zone]
    ready = _count_ready(own)
    if ready:
        return 2 * ready < len(own) + 1
    others = {each.availability_zone for each in members} - {availability_zone}
    return not any(_is_open(zone, members) for zone in others)


def _is_open(availability_zone: str, members: Iterable[Member]) -> bool:
    own = [each for each in members if each.availability_zone == availability_zone]
    return 2 * _count_ready(own) >= len(own)


def _count_ready(members: Iterable[Member]) -> int:
    return sum(each.state is MemberState.READY for each in members)


def may_stop_early(name: str, members: Iterable[Member]) -> bool:
    """Return whether a gateway that is needed may end early, so as to be back early.

    One at a time, in the order of their names, on which all agree whatever they have
    heard: those that stop together would else be away together. One that knows no other
    is away as long either way.
    """
    return all(
        each.state is MemberState.READY
        or (each.state is MemberState.LEAVING and name < each.name)
        for each in members
    )


def find_retry_delay(
    members: Collection[Member], own_end: timedelta, longest: timedelta, now: timedelta
) -> timedelta:
    """Return the time after which a refused caller may find a gateway that takes it.

    A gateway that leaves may still take a request that ends within `longest`.
    """
    if any(each.state is MemberState.READY for each in members):
        return timedelta()
    leaving = [each for each in members if each.state is MemberState.LEAVING]
    if any(now + longest < each.changes_at - ANSWER_MARGIN for each in leaving):
        return timedelta()
    ends = [own_end, *(each.changes_at for each in leaving)]
    backs = [each.changes_at for each in members if each.state is MemberState.AWAY]
    back_at = min([*(end + COMEBACK_TIME for end in ends), *backs])
    return max(back_at - now, timedelta())
