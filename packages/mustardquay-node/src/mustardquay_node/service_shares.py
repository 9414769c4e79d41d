"""Shares of services: the state of `mustardquay.fair_shares` at one gateway."""

from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass, replace
from datetime import timedelta

from mustardquay.clocks import Clock
from mustardquay.fair_shares import (
    FairAdmission,
    Judgement,
    PlainExpectation,
    PlainQueues,
    limit_in_flight,
)
from mustardquay.peer_digests import EngineDigest, PeerDigest
from mustardquay.routing_tables import Route
from mustardquay.upstream_lists import UpstreamRecord
from mustardquay.upstream_loads import UpstreamLoads

__all__ = ["PlainSend", "ServiceShares"]

USES_INTERVAL = timedelta(milliseconds=200)
"""Time between digests with uses: a fifteenth of the time in which uses decay."""
MAX_NAMED = 24
"""Organisations that a digest names at most; their names take half of a datagram."""
MAX_PLAIN_COUNTS = 32
"""Upstreams whose plain requests a digest states at most, those with the most of them,
so that digests don't grow with the number of upstreams."""
MAX_COMPARED = 32
"""Upstreams by which it is estimated whether a service has free slots."""


@dataclass(frozen=True, slots=True)
class PlainSend:
    """A plain request that was sent, for what is learned from its answer."""

    upstream: UpstreamRecord
    queue: int
    started: timedelta


class ServiceShares:
    """Uses, queues and refusals of services, shared with other gateways."""

    def __init__(
        self,
        clock: Clock,
        loads: UpstreamLoads,
        count_peer_requests: Callable[[str], int],
        expire_peers: Callable[[], object],
        note_change: Callable[[], None],
    ):
        """Initialise without uses.

        `count_peer_requests` returns the requests of other gateways at an upstream, and
        `expire_peers` drops those of silent ones; `note_change` is called when the
        requests of this one have changed.
        """
        self.expire_peers = expire_peers
        self._clock = clock
        self._loads = loads
        self._count_peer_requests = count_peer_requests
        self._note_change = note_change
        self._in_flight: Counter[str] = Counter()
        """Plain requests of this gateway, by upstream."""
        self._uses_sent_at: timedelta | None = None
        self.admission = FairAdmission()
        self.queues = PlainQueues()

    def count_queue(self, upstream: UpstreamRecord) -> int:
        """Return the requests of all gateways at a plain upstream."""
        own = self._in_flight[upstream.id]
        queue = own + self._count_peer_requests(upstream.id)
        reported = self._loads.read_reported(upstream.id, self._clock.monotonic())
        return max(queue, reported)

    def expect(self, upstream: UpstreamRecord) -> PlainExpectation:
        """Return what a plain request has to expect at an upstream now."""
        return self.queues.expect(
            upstream.service,
            self.count_queue(upstream),
            upstream.slots,
            self._find_factor(upstream.id),
        )

    def is_within_part(
        self,
        route: Route,
        expected: PlainExpectation,
        judgement: Judgement,
        candidates: Sequence[UpstreamRecord],
    ) -> bool:
        """Return whether this gateway may fill more of the queue of a service."""
        if not judgement.standing.is_contended or not candidates:
            return True
        now = self._clock.monotonic()
        slots = sum(each.slots for each in candidates)
        service = candidates[0].service
        part = self.admission.uses.find_gateway_part(service, now)
        in_flight = sum(self._in_flight[each.id] for each in candidates)
        limit = limit_in_flight(
            expected, route.latency_target, judgement.factor, slots, part
        )
        return in_flight < limit or self._has_free_slots(candidates)

    def _has_free_slots(self, candidates: Sequence[UpstreamRecord]) -> bool:
        """Return whether a service has fewer requests than slots.

        The sum counts: among many upstreams, there is always one whose queue is
        estimated too short, and all gateways would send there.
        """
        compared = candidates[:: max(len(candidates) // MAX_COMPARED, 1)]
        slots = sum(each.slots for each in compared)
        return sum(self.count_queue(each) for each in compared) < slots

    def begin(self, upstream: UpstreamRecord) -> PlainSend:
        """Note a plain request that is about to be sent."""
        send = PlainSend(upstream, self.count_queue(upstream), self._clock.monotonic())
        self._in_flight[upstream.id] += 1
        self._note_change()
        return send

    def end(self, send: PlainSend, is_answered: bool) -> None:
        """Note the end of a plain request; learn from it if it was answered."""
        upstream = send.upstream
        self._in_flight[upstream.id] -= 1
        if not self._in_flight[upstream.id]:
            del self._in_flight[upstream.id]
        self._note_change()
        if is_answered:
            took = (self._clock.monotonic() - send.started).total_seconds()
            queue = max(send.queue, self.count_queue(upstream))
            factor = self._find_factor(upstream.id)
            self.queues.learn(upstream.service, took, queue, upstream.slots, factor)

    def complete_digest(self, digest: PeerDigest) -> PeerDigest:
        """Return a digest with the plain requests of this gateway, and due uses."""
        now = self._clock.monotonic()
        plain = tuple(
            EngineDigest(id, (), count)
            for id, count in self._in_flight.most_common(MAX_PLAIN_COUNTS)
        )
        uses = ()
        sent_at = self._uses_sent_at
        if sent_at is None or now - sent_at >= USES_INTERVAL:
            self._uses_sent_at = now
            uses = self.admission.uses.own.list_uses(now, MAX_NAMED)
        return replace(digest, engines=digest.engines + plain, uses=uses)

    def apply_digest(self, digest: PeerDigest) -> None:
        """Apply the uses at another gateway; its requests are applied with its work."""
        if digest.uses:
            now = self._clock.monotonic()
            uses = self.admission.uses
            uses.apply_report(digest.gateway, digest.order, digest.uses, now)

    def set_gateway_counts(self, senders: int, others: int) -> None:
        """Note how many gateways send digests here, and how many others there are."""
        self.admission.uses.unreported_ratio = others / senders if senders else 0.0

    def _find_factor(self, id: str) -> float:
        return self._loads.capacities.current_factor(id, self._clock.monotonic())
