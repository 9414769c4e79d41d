"""Connection gates: whether to take a new connection, or to close it unread.

Guards against a load balancer that hands most new connections to one gateway: it would
read all requests, and answer all of them late or never, while others have little to do.
A caller whose connection is closed unread loses no time and connects elsewhere.

The share of connections that are closed rises while the process runs behind its timers
and falls while it keeps up (additive control of an admission rate; compare Welsh and
Culler, "Adaptive overload control for busy internet servers", 2003).
"""

from datetime import timedelta
from random import Random

from ..peer_digests import PeerDigest
from .free_peers import FreePeers
from .loop_lags import LoopLag

__all__ = ["MAX_REFUSED_SHARE", "ConnectionGate"]

MAX_REFUSED_SHARE = 0.9
"""Largest share of new connections that is closed: callers who know no other gateway
get through, and what the process can do is found out again."""
RISE = 0.8
"""Change of the share in a second in which the process does not keep up."""
FALL = 0.25
"""Change of the share in a second in which it keeps up. Slower than the rise:
connections that are taken too early are all answered late."""
MAX_STEP = timedelta(milliseconds=250)
"""Longest time that one sample counts for; a suspended process takes none."""


class ConnectionGate:
    """Decides on the new connections of one gateway."""

    def __init__(self, random: Random):
        self._random = random
        self._lag = LoopLag()
        self._peers = FreePeers()
        self._refused_share = 0.0

    @property
    def is_busy(self) -> bool:
        """Return whether this gateway could not take more callers."""
        return self._refused_share > 0 or self._lag.is_high

    @property
    def refused_share(self) -> float:
        """Return the share of new connections to close while others are free."""
        return self._refused_share

    @property
    def mean_lag(self) -> timedelta:
        """Return by how much the process runs behind its timers."""
        return self._lag.mean

    def note_lag(self, lag: timedelta, elapsed: timedelta) -> None:
        """Note the lag of a timer, and the time since the sample before it."""
        self._lag.note(lag, elapsed)
        seconds = min(elapsed, MAX_STEP).total_seconds()
        if self._lag.is_high:
            share = self._refused_share + RISE * seconds
            self._refused_share = min(share, MAX_REFUSED_SHARE)
        else:
            self._refused_share = max(self._refused_share - FALL * seconds, 0.0)

    def apply_digest(self, digest: PeerDigest, now: timedelta) -> None:
        """Apply the newest digest of another gateway."""
        self._peers.apply_digest(digest, now)

    def admits(self, now: timedelta) -> bool:
        """Return whether to take a new connection.

        All are taken while no other gateway is free: their callers would find nobody
        who serves them better.
        """
        if not self._refused_share or not self._peers.has_any(now):
            return True
        return self._random.random() >= self._refused_share
