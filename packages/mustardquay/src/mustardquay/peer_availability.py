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

RESTART_TIME = timedelta(seconds=2)
"""Usual time from the end of a gateway to the readiness of its successor."""
MEMBER_LIFETIME = timedelta(seconds=10)
"""How long a silent gateway still counts as registered with the load balancer."""
MIN_RESTART_TIME = timedelta(milliseconds=500)
"""Expected time to readiness of a gateway that has been unavailable for longer than
usual."""
PROBE_INTERVAL = timedelta(seconds=1)
"""Interval between two readiness probes of the load balancer: a gateway that has become
ready gets no callers before the next probe."""


class MemberState(StrEnum):
    """Whether a gateway serves callers."""

    READY = "ready"
    LEAVING = "leaving"
    """It is stopping, and accepts requests that end in time."""
    AWAY = "away"
    """It is starting, has ended or is silent."""


@dataclass(frozen=True, slots=True)
class Member:
    """Another gateway of the fleet, by its last digest."""

    name: str
    availability_zone: str
    state: MemberState
    changes_at: timedelta
    """When a leaving gateway ends, or when one that is away becomes ready."""


@dataclass(frozen=True, slots=True)
class _ReceivedDigest:
    digest: PeerDigest
    at: timedelta
    ready_since: timedelta
    """Start of the current uninterrupted period of readiness."""


@dataclass(slots=True)
class PeerAvailability:
    """The other gateways with a recent digest."""

    _received: dict[str, _ReceivedDigest] = field(default_factory=dict)

    def apply_digest(self, digest: PeerDigest, now: timedelta) -> None:
        """Record a digest; one that arrives out of order is dropped."""
        known = self._received.get(digest.gateway)
        if known is not None and digest.order <= known.digest.order:
            return
        ready_since = now
        if known is not None and _was_ready(known.digest, digest):
            ready_since = known.ready_since
        self._received[digest.gateway] = _ReceivedDigest(digest, now, ready_since)

    def list_members(self, now: timedelta) -> list[Member]:
        """Return the gateways that may be registered with the load balancer."""
        self._received = {
            name: received
            for name, received in self._received.items()
            if now - received.at <= MEMBER_LIFETIME
        }
        return [_make_member(received, now) for received in self._received.values()]


def _was_ready(before: PeerDigest, digest: PeerDigest) -> bool:
    """Return whether the same process was ready in the previous digest."""
    return before.incarnation == digest.incarnation and before.is_ready


def _make_member(received: _ReceivedDigest, now: timedelta) -> Member:
    digest = received.digest
    name, availability_zone = digest.gateway, digest.availability_zone
    if now - received.at > DIGEST_LIFETIME:
        back_at = max(received.at + RESTART_TIME, now + MIN_RESTART_TIME)
        return Member(name, availability_zone, MemberState.AWAY, back_at)
    if digest.ends_in is not None:
        ends_at = received.at + digest.ends_in
        return Member(name, availability_zone, MemberState.LEAVING, ends_at)
    probed_at = received.ready_since + PROBE_INTERVAL
    if digest.is_ready and now >= probed_at:
        return Member(name, availability_zone, MemberState.READY, probed_at)
    back_at = max(probed_at, now + MIN_RESTART_TIME)
    return Member(name, availability_zone, MemberState.AWAY, back_at)


def is_still_routed(availability_zone: str, members: Collection[Member]) -> bool:
    """Return whether the load balancer sends callers to a gateway that isn't ready.

    It does when fewer than half of the gateways of an availability zone are ready; a
    zone without any ready gateway is served by the other zones. Guards against a fleet
    that is stopped all at once: callers were sent to gateways that had stopped
    listening long before they ended, and got no connection.
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
    """Return whether a gateway that is still routed may end early, to be ready early.

    One at a time, in the order of their names, which is the same on all gateways
    whatever digests they received: otherwise gateways that stop together would be
    unavailable together. A gateway without peers is unavailable for the same time
    either way.
    """
    return all(
        each.state is MemberState.READY
        or (each.state is MemberState.LEAVING and name < each.name)
        for each in members
    )


def find_retry_delay(
    members: Collection[Member], own_end: timedelta, longest: timedelta, now: timedelta
) -> timedelta:
    """Return the time after which a refused caller may find a gateway that serves it.

    A leaving gateway may still serve a request that ends within `longest`.
    """
    if any(each.state is MemberState.READY for each in members):
        return timedelta()
    leaving = [each for each in members if each.state is MemberState.LEAVING]
    if any(now + longest < each.changes_at - ANSWER_MARGIN for each in leaving):
        return timedelta()
    ends = [own_end, *(each.changes_at for each in leaving)]
    backs = [each.changes_at for each in members if each.state is MemberState.AWAY]
    back_at = min([*(end + RESTART_TIME for end in ends), *backs])
    return max(back_at - now, timedelta())
