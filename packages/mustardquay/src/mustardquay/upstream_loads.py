"""Upstream loads: the state of each upstream as known to one process.

Load reports are delayed, and other processes send requests, too. The requests that this
process has in flight are known exactly, so decisions are based on them first.
"""

from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field
from datetime import timedelta
from random import Random

from .silences import ConnectResult, UpstreamSilences, pass_over_silent
from .upstream_capacity import (
    CapacityEstimates,
    CapacityNotice,
    LoadReport,
    choose_shortest,
    estimate_completion,
)
from .upstream_lists import UpstreamRecord

__all__ = ["UpstreamLoads", "UpstreamLoad", "choose_plain"]

FAILURE_WEIGHT = 0.2
"""Weight of the newest send in the failure rate, which covers about ten sends."""
EJECTION_RATE = 0.5
"""Failure rate from which an upstream is ejected. Errors caused by callers are at most
a seventh of the answers of healthy plain services, far below it."""
MIN_EJECTION_SENDS = 4
"""Minimum number of sends before the failure rate is considered."""
EJECTION_TIME = timedelta(seconds=1)
"""Initial duration of an ejection; it doubles with each further failure."""
MAX_EJECTION_TIME = timedelta(seconds=4)
"""Longest time without a probe; upstreams that restart recover within seconds."""
FAILURE_HALF_LIFE = timedelta(seconds=1.5)
"""Half-life of the failure rate: an ejected upstream gets no sends that could show its
recovery."""
UNREACHABLE_TIME = timedelta(milliseconds=700)
"""Duration of an ejection after a failed connection attempt."""
REFUSAL_TIME = timedelta(milliseconds=250)
"""Initial duration of an ejection after a refusal; it doubles with each consecutive
one. An engine that changes its stage refuses for about 3 s."""
MAX_REFUSAL_TIME = timedelta(seconds=1)
"""A third of the time that a change of stage takes, so that its end is detected
soon."""
LOST_TIME = timedelta(seconds=1)
"""How long connection attempts must be refused before an upstream counts as lost."""
EXPIRED_HANDLE_TIME = timedelta(seconds=3)
"""How long the handles of an engine aren't used after one has expired."""
LOAD_LIFETIME = timedelta(milliseconds=300)
"""How long the load reported in an answer is used: about ten requests of plain
services."""
REFERENCE_SLOTS = 6
"""Slots of the upstream in whose requests in flight costs are stated."""
MAX_COMPARED = 32
"""Upstreams whose completion times are compared, drawn at random from more: the best of
them is among the best tenth of all with 97 % probability."""
FAILURE_COST = 10.0
"""Cost of an upstream with a failure rate of 1, in requests in flight."""
ZONE_COST = 0.6
"""Cost of another availability zone, in requests in flight: the round trip takes 1 ms
of about 50, and traffic between zones is charged."""


@dataclass(slots=True)
class UpstreamLoad:
    """The requests of this process to one upstream, and its last reported load."""

    in_flight: int = 0
    failure_rate: float = 0.0
    """At `failure_at`; see `UpstreamLoads.read_failure_rate`."""
    failure_at: timedelta = timedelta()
    sends: int = 0
    ejections: int = 0
    ejected_until: timedelta = timedelta()
    refusals: int = 0
    """Consecutive refusals."""
    unreachable_since: timedelta | None = None
    handles_expired_until: timedelta = timedelta()
    reported: int = 0
    """Requests of all processes at the upstream, from the newest answer."""
    reported_at: timedelta | None = None

    def is_ejected(self, now: timedelta) -> bool:
        """Return whether the upstream is ejected."""
        return now < self.ejected_until


@dataclass(slots=True)
class UpstreamLoads:
    """The loads of all upstreams, by their ids."""

    loads: dict[str, UpstreamLoad] = field(default_factory=dict)
    silences: UpstreamSilences = field(default_factory=UpstreamSilences)
    capacities: CapacityEstimates = field(default_factory=CapacityEstimates)
    uses_reports: bool = False
    """Whether plain upstreams are chosen by the speed that they report."""

    def get(self, id: str) -> UpstreamLoad:
        """Return the load of an upstream, a new one if none is known."""
        load = self.loads.get(id)
        if load is None:
            load = self.loads[id] = UpstreamLoad()
        return load

    def begin(self, id: str) -> None:
        """Count a request sent."""
        self.get(id).in_flight += 1
        self.silences.begin(id)

    def end(self, id: str, has_failed: bool | None, now: timedelta) -> bool:
        """Count the end of a send; return whether the upstream is now ejected.

        `has_failed` is None for a send that shows neither, as it was ended while its
        upstream was silent.
        """
        load = self.loads.get(id)
        if load is None:
            # Removed while the send ran.
            return False
        load.in_flight = max(load.in_flight - 1, 0)
        self.silences.end(id, now)
        if has_failed is None:
            return False
        load.sends += 1
        rate = self.read_failure_rate(id, now)
        load.failure_rate = rate + FAILURE_WEIGHT * (has_failed - rate)
        load.failure_at = now
        if not has_failed:
            if load.failure_rate < EJECTION_RATE / 2:
                load.ejections = 0
            return False
        if load.sends < MIN_EJECTION_SENDS or load.failure_rate < EJECTION_RATE:
            return False
        pause = min(EJECTION_TIME * 2 ** min(load.ejections, 8), MAX_EJECTION_TIME)
        load.ejections += 1
        load.ejected_until = now + pause
        return True

    def read_failure_rate(self, id: str, now: timedelta) -> float:
        """Return the fraction of recent sends to an upstream that failed."""
        load = self.get(id)
        if not load.failure_rate:
            return 0.0
        return load.failure_rate * 0.5 ** ((now - load.failure_at) / FAILURE_HALF_LIFE)

    def note_unreachable(self, id: str, now: timedelta) -> None:
        """Record a refused connection attempt."""
        self.silences.note_connect(id, ConnectResult.REFUSED, now)
        load = self.get(id)
        load.ejected_until = max(load.ejected_until, now + UNREACHABLE_TIME)
        if load.unreachable_since is None:
            load.unreachable_since = now

    def note_timed_out(self, id: str, now: timedelta) -> None:
        """Record a connection attempt without a reply, which a silence may explain."""
        self.silences.note_connect(id, ConnectResult.TIMED_OUT, now)

    def note_refusal(self, id: str, now: timedelta) -> None:
        """Record a refusal, so that the next requests go elsewhere."""
        load = self.get(id)
        pause = min(REFUSAL_TIME * 2 ** min(load.refusals, 8), MAX_REFUSAL_TIME)
        load.refusals += 1
        load.ejected_until = max(load.ejected_until, now + pause)

    def note_reached(self, id: str, now: timedelta) -> None:
        """Record that an upstream has answered."""
        self.silences.note_activity(id, now)
        load = self.get(id)
        load.refusals = 0
        load.unreachable_since = None

    def is_lost(self, id: str, now: timedelta) -> bool:
        """Return whether an upstream has been unreachable for long."""
        load = self.loads.get(id)
        since = load.unreachable_since if load else None
        is_refusing = since is not None and now - since >= LOST_TIME
        return is_refusing or self.silences.is_lost(id)

    def note_expired_handle(self, id: str, now: timedelta) -> None:
        """Record that the result of a prefill could not be fetched from an engine."""
        self.get(id).handles_expired_until = now + EXPIRED_HANDLE_TIME

    def has_expired_handles(self, id: str, now: timedelta) -> bool:
        """Return whether a handle of an engine has expired recently."""
        return now < self.get(id).handles_expired_until

    def note_report(self, id: str, running: int, waiting: int, now: timedelta) -> None:
        """Record the load reported in an answer."""
        load = self.get(id)
        load.reported = running + waiting
        load.reported_at = now

    def read_reported(self, id: str, now: timedelta) -> int:
        """Return the requests at an upstream by its newest answer, 0 if that is old."""
        load = self.get(id)
        if load.reported_at is None or now - load.reported_at >= LOAD_LIFETIME:
            return 0
        return load.reported

    def note_capacity(self, id: str, report: LoadReport, now: timedelta) -> None:
        """Record all figures of a report, to be shared with other gateways."""
        self.capacities.note_report(id, report, now, self._count_in_flight(id))

    def apply_notices(
        self,
        notices: Iterable[CapacityNotice],
        now: timedelta,
        find_service: Callable[[str], str],
    ) -> int:
        """Apply reports that another gateway got; return how many were news."""
        return self.capacities.apply_notices(
            notices, now, self._count_in_flight, find_service
        )

    def knows_speed(self, id: str) -> bool:
        """Return whether an upstream is chosen by the speed that it has reported."""
        return self.uses_reports and self.capacities.reports_speed(id)

    def count_queue(self, id: str, now: timedelta) -> float:
        """Return the requests of all gateways at an upstream, as far as known."""
        return self._count_in_flight(id) + self.capacities.count_others(id, now)

    def describe(self, id: str, now: timedelta) -> dict[str, float]:
        """Return log fields with the figures by which a plain upstream is chosen."""
        age = self.capacities.measure_age(id, now)
        fields = {
            "queue": self.count_queue(id, now),
            "current_factor": round(self.capacities.current_factor(id, now), 2),
            "lasting_factor": round(self.capacities.lasting_factor(id), 2),
        }
        if age is not None:
            fields["report_age_ms"] = round(age.total_seconds() * 1000)
        return fields

    def _count_in_flight(self, id: str) -> int:
        load = self.loads.get(id)
        return load.in_flight if load is not None else 0

    def forget(self, id: str) -> None:
        """Drop an upstream that has been removed."""
        self.loads.pop(id, None)
        self.silences.forget(id)
        self.capacities.forget(id)


def choose_plain(
    candidates: Sequence[UpstreamRecord],
    loads: UpstreamLoads,
    now: timedelta,
    availability_zone: str,
    random: Random,
    avoid: Iterable[str] = (),
    expect_limit_wait: Callable[[UpstreamRecord], float] = lambda record: 0.0,
) -> UpstreamRecord | None:
    """Return the plain upstream with the shortest known queue.

    If upstreams report their speed and reports are used, one of those that are expected
    to complete the request soonest. Upstreams without a rate limit wait are preferred;
    `expect_limit_wait` returns the seconds until the rate limit of an upstream allows
    another request.

    Designed for short calls to a few upstreams with several slots each. Ejected
    upstreams are used only when all are ejected, and silent ones when all are silent,
    so that no call is refused while a slot is known to be free.
    """
    avoided = set(avoid)
    usable = [record for record in candidates if record.id not in avoided]
    if not usable:
        return None
    healthy = [record for record in usable if not loads.get(record.id).is_ejected(now)]
    healthy = pass_over_silent(healthy, loads.silences, now)
    if any(loads.knows_speed(record.id) for record in usable):
        return _choose_soonest(
            healthy or usable, loads, now, availability_zone, random, expect_limit_wait
        )
    best, lowest = None, (float("inf"), 0.0)
    for record in healthy or usable:
        cost = _estimate_plain_cost(record, loads, now, availability_zone)
        cost += random.random() * 0.1
        order = (expect_limit_wait(record), cost)
        if order < lowest:
            best, lowest = record, order
    return best


def _choose_soonest(
    records: Sequence[UpstreamRecord],
    loads: UpstreamLoads,
    now: timedelta,
    availability_zone: str,
    random: Random,
    expect_limit_wait: Callable[[UpstreamRecord], float],
) -> UpstreamRecord:
    """Return one of the upstreams that complete a request soonest, at random."""
    waits = [expect_limit_wait(record) for record in records]
    shortest = min(waits)
    best = [
        record for record, wait in zip(records, waits, strict=True) if wait <= shortest
    ]
    if len(best) > MAX_COMPARED:
        best = random.sample(best, MAX_COMPARED)
    costs = [
        (record, _estimate_completion_cost(record, loads, now, availability_zone))
        for record in best
    ]
    return choose_shortest(costs, random)


def _estimate_completion_cost(
    record: UpstreamRecord, loads: UpstreamLoads, now: timedelta, availability_zone: str
) -> float:
    """Return the expected time to completion, in times of one request at usual speed.

    With the terms for failures and the zone, which are in requests in flight.
    """
    id, capacities = record.id, loads.capacities
    factor = capacities.current_factor(id, now) * capacities.lasting_factor(id)
    queue = loads.count_queue(id, now)
    penalty = FAILURE_COST * loads.read_failure_rate(id, now)
    if record.availability_zone != availability_zone:
        penalty += ZONE_COST
    cost = estimate_completion(queue, record.slots, factor)
    return cost + penalty / REFERENCE_SLOTS


def _estimate_plain_cost(
    record: UpstreamRecord, loads: UpstreamLoads, now: timedelta, availability_zone: str
) -> float:
    in_flight = loads.get(record.id).in_flight
    count = float(max(in_flight, loads.read_reported(record.id, now)))
    cost = count * REFERENCE_SLOTS / max(record.slots, 1)
    cost += FAILURE_COST * loads.read_failure_rate(record.id, now)
    if record.availability_zone != availability_zone:
        cost += ZONE_COST
    return cost
