"""Load reports of upstreams: from their answers and from other gateways."""

from collections import Counter
from collections.abc import Callable, Collection
from datetime import timedelta

from mustardquay.clocks import Clock
from mustardquay.events import EventRing
from mustardquay.peer_digests import PeerDigest
from mustardquay.upstream_capacity import MAX_NOTICES, CapacityNotice
from mustardquay.upstream_lists import UpstreamList, UpstreamRecord
from mustardquay.upstream_loads import UpstreamLoads

from .adapters import AnswerFacts
from .peers import MAX_PLACED_PARTS

__all__ = ["SLOW_FACTOR", "LoadReporter"]

SLOW_FACTOR = 1.5
"""Current factor from which an upstream is shown and logged as slow: its requests take
half as long again."""
PARTS_PER_NOTICE = 4
"""Placed prompt parts that take more bytes in a digest than a notice."""
MIN_NOTICES = 2
"""Notices in a digest that is full of placed parts; the next one has room again."""


class LoadReporter:
    """Keeps the load reports of upstreams, and shares them with other gateways.

    Does nothing unless the loads use reports.
    """

    def __init__(
        self,
        clock: Clock,
        events: EventRing,
        upstreams: UpstreamList,
        loads: UpstreamLoads,
        note_change: Callable[[], None],
    ):
        """Initialise without reports; `note_change` is called with those to share."""
        self._clock = clock
        self._events = events
        self._upstreams = upstreams
        self._loads = loads
        self._note_change = note_change
        self._invalid: set[tuple[str, int]] = set()
        """Incarnations of upstreams whose invalid reports were logged."""
        self._orders: dict[str, tuple[int, int]] = {}
        """Order of the newest digest of each gateway."""
        self.counts: Counter[tuple[str]] = Counter()
        """Reports by what came of them."""

    def note(
        self, upstream: UpstreamRecord, facts: AnswerFacts, request: str = ""
    ) -> None:
        """Record the report in the head of an answer, if there is one."""
        if not self._loads.uses_reports:
            return
        if facts.is_load_invalid:
            self._log_invalid(upstream, facts, request)
        listed = self._upstreams.get(upstream.id)
        # An answer may arrive after its upstream was removed or has restarted.
        is_current = listed is not None and listed.started_ms == upstream.started_ms
        if facts.load is None or not is_current:
            return
        self.counts["answer",] += 1
        self._loads.note_capacity(upstream.id, facts.load, self._now)
        if self._loads.capacities.has_notices():
            self._note_change()

    def list_notices(self, placed: int) -> tuple[CapacityNotice, ...]:
        """Return the reports for the next digest, which has some placed parts."""
        room = (MAX_PLACED_PARTS - placed) // PARTS_PER_NOTICE
        limit = min(max(room, MIN_NOTICES), MAX_NOTICES)
        return self._loads.capacities.list_notices(self._now, limit)

    def apply_digest(self, digest: PeerDigest) -> None:
        """Apply the reports that another gateway got.

        Those of a digest that arrives after a later one are ignored: their ages don't
        include the delay.
        """
        if not self._loads.uses_reports:
            return
        known = self._orders.get(digest.gateway)
        if known is not None and digest.order <= known:
            self.counts["outdated",] += len(digest.capacities)
            return
        self._orders[digest.gateway] = digest.order
        listed = [
            notice
            for notice in digest.capacities
            if self._upstreams.get(notice.upstream) is not None
        ]
        applied = self._loads.apply_notices(listed, self._now, self._find_service)
        self.counts["peer",] += applied
        self.counts["outdated",] += len(digest.capacities) - applied

    def set_gateways(self, senders: Collection[str]) -> None:
        """Drop the state of gateways that are no longer listed."""
        for gateway in self._orders.keys() - set(senders):
            del self._orders[gateway]

    def forget(self, id: str) -> None:
        """Drop an upstream that is gone or has restarted."""
        self._invalid = {known for known in self._invalid if known[0] != id}

    def count_reporting(self) -> int:
        """Return the number of upstreams whose reported speed is still in use."""
        return self._loads.capacities.count_reporting(self._now)

    def count_slow(self) -> int:
        """Return the number of upstreams that are slow at this moment."""
        return self._loads.capacities.count_slow(self._now, SLOW_FACTOR)

    @property
    def _now(self) -> timedelta:
        return self._clock.monotonic()

    def _find_service(self, id: str) -> str:
        record = self._upstreams.get(id)
        return record.service if record is not None else ""

    def _log_invalid(
        self, upstream: UpstreamRecord, facts: AnswerFacts, request: str
    ) -> None:
        """Log an invalid report, once for each incarnation of its upstream."""
        self.counts["invalid",] += 1
        incarnation = (upstream.id, upstream.started_ms)
        if incarnation in self._invalid:
            return
        self._invalid.add(incarnation)
        report = facts.load
        self._events.record(
            "upstream.load_invalid",
            request=request,
            upstream=upstream.id,
            running=report.running if report else None,
            waiting=report.waiting if report else None,
            slots=report.slots if report else None,
            work_time=report.work_time if report else None,
        )
