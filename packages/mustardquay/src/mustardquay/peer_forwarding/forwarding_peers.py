"""Forwarding peers: the gateways to which others may forward requests."""

from collections.abc import Collection
from dataclasses import dataclass, field
from datetime import timedelta
from random import Random

from ..peer_digests import DIGEST_LIFETIME, PeerDigest
from .forwarding_rules import RATE_RATIO

__all__ = ["ForwardingPeers"]

FAILURE_PAUSE = timedelta(seconds=1)
"""Time for which a gateway that could not be reached gets no more requests. It is
longer than its digests count as current, in case it has ended."""
MAX_RATE = 1e6
"""Highest rate in Mbit/s that is believed: a larger one, or none that is finite, would
make the choice in proportion to the rates fail for all gateways of the zone."""


@dataclass(frozen=True, slots=True)
class _Peer:
    link_rate: float
    configuration: int
    """Version of the configuration that it has in force."""
    at: timedelta
    """When its digest was received."""


@dataclass(slots=True)
class ForwardingPeers:
    """The gateways that are ready, keep up, and are reached over a faster link."""

    availability_zone: str
    link_rate: float
    """Rate of the own link in Mbit/s, 0 if it makes nothing wait."""
    _peers: dict[str, _Peer] = field(default_factory=dict)
    _paused_until: dict[str, timedelta] = field(default_factory=dict)

    def apply_digest(self, digest: PeerDigest, now: timedelta) -> None:
        """Apply the newest digest of a gateway."""
        if self._may_use(digest):
            self._peers[digest.gateway] = _Peer(
                digest.link_rate, digest.configuration, now
            )
        else:
            self._peers.pop(digest.gateway, None)

    def note_failure(self, name: str, now: timedelta) -> None:
        """Note that a gateway could not be reached."""
        self._paused_until[name] = now + FAILURE_PAUSE

    def forget(self, names: Collection[str]) -> None:
        """Drop gateways that are not listed any more."""
        for name in names:
            self._peers.pop(name, None)
            self._paused_until.pop(name, None)

    def choose(self, now: timedelta, random: Random, version: int) -> str | None:
        """Return a gateway to forward a request to, None if there is none.

        The choice is random, in proportion to the links' rates, among those that have
        this version of the configuration or a newer one.
        """
        self._expire(now)
        names = [
            name
            for name, peer in self._peers.items()
            if name not in self._paused_until and peer.configuration >= version
        ]
        if not names:
            return None
        rates = [self._peers[name].link_rate for name in names]
        return random.choices(names, rates)[0]

    def _may_use(self, digest: PeerDigest) -> bool:
        """Return whether a gateway takes requests of this one.

        Traffic between availability zones is charged, so that one of another zone is
        not used.
        """
        is_serving = digest.is_ready and digest.ends_in is None and not digest.is_busy
        is_near = digest.availability_zone == self.availability_zone
        is_faster = MAX_RATE >= digest.link_rate >= RATE_RATIO * self.link_rate > 0
        return is_serving and is_near and is_faster and digest.forward_port > 0

    def _expire(self, now: timedelta) -> None:
        self._peers = {
            name: peer
            for name, peer in self._peers.items()
            if now - peer.at <= DIGEST_LIFETIME
        }
        self._paused_until = {
            name: until for name, until in self._paused_until.items() if until > now
        }
