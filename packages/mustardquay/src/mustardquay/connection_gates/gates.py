"""Connection gates: whether to take a new connection, or to close it unread.

Guards against a load balancer that hands most new connections to one gateway: it would
read all requests, and answer all of them late or never, while others have little to do.

A caller whose connection is closed unread has one try less and loses some time, so a
late answer is better for it than none of them, but a refusal is not. The share of
connections that are closed rises while the process runs far behind its timers, or runs
behind them and refuses requests, and falls otherwise (additive control of an admission
rate; compare Welsh and Culler, "Adaptive overload control for busy internet servers",
2003).
"""

from datetime import timedelta
from random import Random

from ..peer_digests import PeerDigest
from .free_peers import FreePeers
from .loop_lags import MAX_LAG, NOTICEABLE_LAG, LoopLag
from .refusal_shares import RefusalShare

__all__ = ["MAX_REFUSED_SHARE", "ConnectionGate"]

MAX_REFUSED_SHARE = 0.95
"""Largest share of new connections that is closed: callers who know no other gateway
get through, and what the process can do is found out again."""
RISE = 1.5
"""Change of the share in a second in which the process does not keep up."""
FALL = 0.25
"""Change of the share in a second in which it keeps up. Slower than the rise:
connections that are taken too early are all answered late."""
NOTICEABLE_REFUSALS = 0.1
"""Share of refusals from which on a process that is slowed by its work can't serve."""
MAX_STEP = timedelta(milliseconds=250)
"""Longest time that one sample counts for; a suspended process takes none."""


class ConnectionGate:
    """Decides on the new connections of one gateway."""

    def __init__(self, random: Random):
        self._random = random
        self._lag = LoopLag()
        self._refusals = RefusalShare()
        self._is_overloaded = False
        self._peers = FreePeers()
        self._refused_share = 0.0

    @property
    def is_busy(self) -> bool:
        """Return whether this gateway could not take more callers."""
        return self._refused_share > 0 or self._is_overloaded

    @property
    def refused_share(self) -> float:
        """Return the share of new connections to close while others are free."""
        return self._refused_share

    @property
    def mean_lag(self) -> timedelta:
        """Return by how much the process runs behind its timers."""
        return self._lag.mean

    def note_answer(self, is_refusal: bool, now: timedelta) -> None:
        """Note an answer to a request that was read."""
        self._refusals.note(is_refusal, now)

    def note_lag(self, lag: timedelta, elapsed: timedelta, now: timedelta) -> None:
        """Note the lag of a timer, and the time since the sample before it."""
        self._lag.note(lag, elapsed)
        self._is_overloaded = self._lag.mean > MAX_LAG or (
            self._lag.mean > NOTICEABLE_LAG
            and self._refusals.measure(now) > NOTICEABLE_REFUSALS
        )
        seconds = min(elapsed, MAX_STEP).total_seconds()
        change = RISE if self._is_overloaded else -FALL
        share = self._refused_share + change * seconds
        self._refused_share = min(max(share, 0.0), MAX_REFUSED_SHARE)

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
