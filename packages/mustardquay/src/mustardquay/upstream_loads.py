"""Upstream loads: what one process knows of the work at each upstream.

Reports lag and other processes send, too. What this process itself has sent and not
yet got back is exact, so the decisions start from that.
"""

from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field
from datetime import timedelta
from random import Random

from .upstream_lists import UpstreamRecord

__all__ = ["UpstreamLoads", "UpstreamLoad", "choose_plain"]

FAILURE_WEIGHT = 0.2
"""Weight of the newest send in the failure rate: some ten sends are remembered."""
EJECTION_RATE = 0.5
"""Failure rate from which an upstream is left alone. Callers' own errors make up to a
seventh of the answers of healthy plain services, far below."""
EJECTION_LEAST = 4
"""Sends before the failure rate counts."""
EJECTION_TIME = timedelta(seconds=1)
"""How long an upstream is left alone at first; twice as long after each failure that
follows."""
LONGEST_EJECTION = timedelta(seconds=4)
"""Longest time without a probe; upstreams that restart are back within seconds."""
FAILURE_HALF_LIFE = timedelta(seconds=1.5)
"""Time in which half of the failure rate is forgotten: an upstream that is avoided
gets no sends that could show that it is well again."""
UNREACHABLE_TIME = timedelta(milliseconds=700)
"""How long an upstream that did not take a connection is left alone."""
REFUSAL_TIME = timedelta(milliseconds=250)
"""How long an upstream that refused work is left alone at first; twice as long after
each refusal in a row. An engine that changes its stage refuses for some 3 s."""
LONGEST_REFUSAL = timedelta(seconds=1)
"""A third of the time that a change takes, so that its end is soon found."""
LOST_TIME = timedelta(seconds=1)
"""How long no connection to an upstream comes about until it counts as lost."""
HEARD_TIME = timedelta(milliseconds=350)
"""How long an upstream counts as alive after a sign of it. The events of a stream come
50 to 110 ms apart."""
LAPSING_TIME = timedelta(seconds=3)
"""How long handles of an engine aren't used after one had lapsed."""
LOAD_LIFETIME = timedelta(milliseconds=300)
"""Age up to which the load in an answer counts: some ten requests of plain work."""
FAILURE_COST = 10.0
"""Requests in flight that an upstream which always fails is taken to have more."""
ZONE_COST = 0.6
"""Requests in flight that an upstream of the same zone may have more: the way to
another zone and back takes 1 ms of some 50, and its bytes cost."""


@dataclass(slots=True)
class UpstreamLoad:
    """The sends of this process to one upstream."""

    in_flight: int = 0
    failure_rate: float = 0.0
    """As of `failure_at`; see `UpstreamLoads.read_failure_rate`."""
    failure_at: timedelta = timedelta()
    sends: int = 0
    ejections: int = 0
    ejected_until: timedelta = timedelta()
    refusals: int = 0
    """Refusals in a row."""
    unreachable_since: timedelta | None = None
    lapsing_until: timedelta = timedelta()
    last_activity_at: timedelta | None = None
    """When anything came from the upstream."""
    reported: int = 0
    """Requests of all processes there, by the newest answer."""
    reported_at: timedelta | None = None

    def is_ejected(self, now: timedelta) -> bool:
        """Return whether the upstream is to be left alone."""
        return now < self.ejected_until


@dataclass(slots=True)
class UpstreamLoads:
    """The loads of all upstreams, by their ids."""

    loads: dict[str, UpstreamLoad] = field(default_factory=dict)

    def get(self, id: str) -> UpstreamLoad:
        """Return the load of an upstream, empty when none is known."""
        load = self.loads.get(id)
        if load is None:
            load = self.loads[id] = UpstreamLoad()
        return load

    def begin(self, id: str) -> None:
        """Count a send."""
        self.get(id).in_flight += 1

    def end(self, id: str, has_failed: bool, now: timedelta) -> bool:
        """Count the end of a send; returns whether the upstream is now ejected."""
        load = self.get(id)
        load.in_flight = max(load.in_flight - 1, 0)
        load.sends += 1
        rate = self.read_failure_rate(id, now)
        load.failure_rate = rate + FAILURE_WEIGHT * (has_failed - rate)
        load.failure_at = now
        if not has_failed:
            if load.failure_rate < EJECTION_RATE / 2:
                load.ejections = 0
            return False
        if load.sends < EJECTION_LEAST or load.failure_rate < EJECTION_RATE:
            return False
        pause = min(EJECTION_TIME * 2 ** min(load.ejections, 8), LONGEST_EJECTION)
        load.ejections += 1
        load.ejected_until = now + pause
        return True

    def read_failure_rate(self, id: str, now: timedelta) -> float:
        """Return the part of the late sends to an upstream that failed."""
        load = self.get(id)
        if not load.failure_rate:
            return 0.0
        return load.failure_rate * 0.5 ** ((now - load.failure_at) / FAILURE_HALF_LIFE)

    def note_unreachable(self, id: str, now: timedelta) -> None:
        """Note that no connection came about."""
        load = self.get(id)
        load.ejected_until = max(load.ejected_until, now + UNREACHABLE_TIME)
        if load.unreachable_since is None:
            load.unreachable_since = now

    def note_refusal(self, id: str, now: timedelta) -> None:
        """Note that an upstream refused work, so that the next goes elsewhere."""
        load = self.get(id)
        pause = min(REFUSAL_TIME * 2 ** min(load.refusals, 8), LONGEST_REFUSAL)
        load.refusals += 1
        load.ejected_until = max(load.ejected_until, now + pause)

    def note_reached(self, id: str, now: timedelta) -> None:
        """Note that an upstream has answered."""
        load = self.get(id)
        load.last_activity_at = now
        load.refusals = 0
        load.unreachable_since = None

    def note_activity(self, id: str, now: timedelta) -> None:
        """Note that an upstream has sent something."""
        self.get(id).last_activity_at = now

    def has_recent_activity(self, id: str, now: timedelta) -> bool:
        """Return whether an upstream has sent something lately, so that it lives."""
        last_activity_at = self.get(id).last_activity_at
        return last_activity_at is not None and now - last_activity_at < HEARD_TIME

    def is_lost(self, id: str, now: timedelta) -> bool:
        """Return whether an upstream has been out of reach for long."""
        load = self.loads.get(id)
        since = load.unreachable_since if load else None
        return since is not None and now - since >= LOST_TIME

    def note_expired_handle(self, id: str, now: timedelta) -> None:
        """Note that what an engine had read could not be fetched."""
        self.get(id).lapsing_until = now + LAPSING_TIME

    def has_expired_handles(self, id: str, now: timedelta) -> bool:
        """Return whether handles of an engine lapsed lately."""
        return now < self.get(id).lapsing_until

    def note_report(self, id: str, running: int, waiting: int, now: timedelta) -> None:
        """Take in the load that an answer tells."""
        load = self.get(id)
        load.reported = running + waiting
        load.reported_at = now

    def forget(self, id: str) -> None:
        """Drop an upstream that is gone."""
        self.loads.pop(id, None)


def choose_plain(
    candidates: Sequence[UpstreamRecord],
    book: UpstreamLoads,
    now: timedelta,
    availability_zone: str,
    random: Random,
    avoid: Iterable[str] = (),
    expect_limit_wait: Callable[[UpstreamRecord], float] = lambda record: 0.0,
) -> UpstreamRecord | None:
    """Return the plain upstream with the shortest known queue.

    Upstreams without a rate limit wait are preferred; `expect_limit_wait` returns the
    seconds until the rate limit of an upstream allows another request.

    Answers the load of short calls on a few upstreams with some slots each. Ejected
    upstreams are used only when all are ejected, so that a place known to be free is
    never refused.
    """
    avoided = set(avoid)
    usable = [record for record in candidates if record.id not in avoided]
    if not usable:
        return None
    healthy = [record for record in usable if not book.get(record.id).is_ejected(now)]
    best, least = None, (float("inf"), 0.0)
    for record in healthy or usable:
        cost = _weigh_plain(record, book, now, availability_zone)
        cost += random.random() * 0.1
        order = (expect_limit_wait(record), cost)
        if order < least:
            best, least = record, order
    return best


def _weigh_plain(
    record: UpstreamRecord, book: UpstreamLoads, now: timedelta, availability_zone: str
) -> float:
    load = book.get(record.id)
    count = float(load.in_flight)
    if load.reported_at is not None and now - load.reported_at < LOAD_LIFETIME:
        count = max(count, float(load.reported))
    cost = count * 6 / max(record.slots, 1)
    cost += FAILURE_COST * book.read_failure_rate(record.id, now)
    if record.availability_zone != availability_zone:
        cost += ZONE_COST
    return cost
