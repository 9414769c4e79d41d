"""Dispatches the requests of an entry to agents over its links."""

import asyncio
from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass, field, replace
from datetime import timedelta
from itertools import count
from random import Random

from mustardquay.attempts import RequestState
from mustardquay.caches import PrefixIndex
from mustardquay.clocks import Clock
from mustardquay.errors import Reason, Refusal
from mustardquay.events import EventRing
from mustardquay.membership import Instance
from mustardquay.messages import (
    CacheEvents,
    Chunk,
    Done,
    Failed,
    Head,
    Heartbeat,
    Message,
    Refused,
    Started,
)
from mustardquay.predictions import RateEstimator
from mustardquay.quarantines import (
    FingerprintStatus,
    Quarantine,
    choose_suspect_upstream,
)
from mustardquay.retries import RetryBudget, choose_backoff
from mustardquay.upstream_selection import choose_upstream
from mustardquay.works import UpstreamView, Work

from .dialers import Dialer
from .exchanges import Call, Exchange, Sink
from .links import Identity, Link, LinkOptions
from .upstream_views import subtract_refused, update_view

__all__ = ["Dispatcher", "DispatcherOptions"]

ATTEMPT_FRAMES = (Chunk, Done, Failed, Head, Refused, Started)
REATTACH_MARGIN = timedelta(seconds=2)
"""Added to the heartbeat timeout, to tolerate an agent that is only slow."""
NO_BACK_OFF = timedelta()


@dataclass(frozen=True, slots=True)
class DispatcherOptions:
    """Limits on the attempts and retries of requests."""

    attempts: int
    retry_ratio: float


@dataclass(slots=True)
class _Peer:
    """One agent that this entry links to, with its upstream's view."""

    name: str
    availability_zone: str
    dialer: Dialer | None = None
    view: UpstreamView | None = None
    incarnation: int = 0
    crashes_sent: int = 0
    boot: str = ""
    leaving: bool = False
    link: Link | None = None
    streams: set[int] = field(default_factory=set)


class Dispatcher:
    """Chooses upstreams, maintains the links and routes frames to their exchanges."""

    def __init__(
        self,
        identity: Identity,
        links: LinkOptions,
        options: DispatcherOptions,
        clock: Clock,
        random: Random,
        events: EventRing,
        quarantine: Quarantine,
        make_heartbeat: Callable[[], Heartbeat],
        on_received: Callable[[Link, Message], None],
    ):
        """Take the dependencies.

        `on_received` is called with the messages that don't belong to an attempt.
        """
        self._identity = identity
        self._link_options = links
        self._options = options
        self._clock = clock
        self._random = random
        self._events = events
        self._quarantine = quarantine
        self._make_heartbeat = make_heartbeat
        self._on_received = on_received
        self._index = PrefixIndex()
        self._rates = RateEstimator()
        self._budget = RetryBudget(options.retry_ratio, now=clock.monotonic())
        self._peers: dict[str, _Peer] = {}
        self._upstreams: dict[str, _Peer] = {}
        self._exchanges: set[Exchange] = set()
        self._streams: dict[int, tuple[Exchange, _Peer | None]] = {}
        self._last_stream = 0
        self._link_numbers = count(1)
        self._empty = asyncio.Event()
        self._empty.set()

    @property
    def views(self) -> list[UpstreamView]:
        """Return the views of all upstreams that have sent a heartbeat."""
        return [peer.view for peer in self._upstreams.values() if peer.view]

    @property
    def running(self) -> int:
        """Return the number of requests in flight."""
        return len(self._exchanges)

    @property
    def open_links(self) -> list[Link]:
        """Return the open links."""
        return [peer.link for peer in self._peers.values() if peer.link is not None]

    def set_agents(
        self, agents: Iterable[Instance], leaving: Collection[str] = ()
    ) -> None:
        """Link to these agents, and drop others once nothing runs there.

        Agents in `leaving` get no new work from now on, whatever their heartbeats say.
        """
        for peer in self._peers.values():
            peer.leaving = peer.name in leaving
            if peer.leaving and peer.view is not None:
                peer.view.draining = True
        wanted = {agent.name: agent for agent in agents}
        for name, agent in wanted.items():
            peer = self._peers.get(name)
            endpoint = (agent.address, agent.port)
            if peer is not None and peer.dialer and peer.dialer.endpoint != endpoint:
                self._drop(peer)
                peer = None
            if peer is None:
                self._add(agent)
        for name in self._peers.keys() - wanted.keys():
            peer = self._peers[name]
            if not peer.streams and peer.link is None:
                self._drop(peer)

    def find_instance(self, upstream: str) -> str:
        """Return the instance of an upstream's agent, or the upstream if unknown."""
        peer = self._upstreams.get(upstream)
        return upstream if peer is None else peer.name

    def run(self, call: Call, sink: Sink) -> Exchange:
        """Start an admitted request."""
        work = call.work
        self._budget.earn(work.customer, self.now())
        state = RequestState(
            work.repeatable,
            call.streamed,
            self._options.attempts,
            lambda: self._budget.spend(work.customer, self.now()),
            lambda retry: self._back_off(work, retry),
        )
        window = self._link_options.heartbeat_timeout + REATTACH_MARGIN
        exchange = Exchange(call, sink, state, self, window, self._end)
        self._exchanges.add(exchange)
        self._empty.clear()
        exchange.start()
        return exchange

    def send_heartbeat(self) -> None:
        """Send a heartbeat on every link now."""
        for link in self.open_links:
            link.send_heartbeat()

    async def wait_until_empty(self) -> None:
        """Wait until no request is in flight."""
        await self._empty.wait()

    def close(self) -> None:
        """Close the links."""
        for peer in list(self._peers.values()):
            self._drop(peer)

    def choose(self, call: Call, avoid: frozenset[str]) -> UpstreamView | Refusal:
        """Return the upstream for the next attempt."""
        now = self.now()
        fingerprint = call.work.fingerprint
        refusal = self._quarantine.refuse(fingerprint, now)
        if refusal is not None:
            return refusal
        if self._quarantine.find_status(fingerprint, now) is FingerprintStatus.SUSPECT:
            return self._choose_for_suspect(call.work)
        zone = self._identity.availability_zone
        views = self.views

        def choose_without(names: Collection[str]) -> UpstreamView | Refusal:
            return choose_upstream(
                call.work, views, now, self._random, names, zone, self._index
            )

        chosen = choose_without(avoid)
        if isinstance(chosen, Refusal) and avoid:
            chosen = choose_without(())
        return chosen

    def expect_cached(self, upstream: str, work: Work) -> int:
        """Return the prompt tokens that the upstream is expected to have cached.

        Also records the whole prompt as expected in its cache from now on.
        """
        if not work.prefix:
            return 0
        cached = self._index.expected_tokens(upstream, work.prefix)
        self._index.note_sent(upstream, work.prefix)
        return cached

    def reserve(self, exchange: Exchange) -> int:
        """Register a new stream and return its number, higher than all before it."""
        self._last_stream += 1
        stream = self._last_stream
        peer = self._upstreams.get(exchange.state.upstream)
        self._streams[stream] = (exchange, peer)
        if peer is not None:
            peer.streams.add(stream)
            if peer.view is not None:
                peer.view.own_running += 1
                peer.view.own_tokens += exchange.call.work.prompt_tokens
        return stream

    def release(self, stream: int) -> None:
        """Unregister a stream; its frames are dropped from now on."""
        _, peer = self._streams.pop(stream, (None, None))
        if peer is not None:
            peer.streams.discard(stream)
            if peer.view is not None:
                peer.view.own_running = max(peer.view.own_running - 1, 0)

    def send(self, upstream: str, message: Message) -> bool:
        """Send over the upstream's link; False when none is open."""
        peer = self._upstreams.get(upstream)
        if peer is None or peer.link is None:
            return False
        return peer.link.send(message)

    def reach(self, upstream: str, incarnation: int) -> bool | None:
        """Return whether this incarnation is linked, or None if it is gone."""
        peer = self._upstreams.get(upstream)
        if peer is None or peer.incarnation != incarnation:
            return None
        return peer.link is not None

    def now(self) -> timedelta:
        """Return the monotonic time."""
        return self._clock.monotonic()

    def record(
        self, kind: str, exchange: Exchange, upstream: str = "", **details: object
    ) -> None:
        """Record an event of a request."""
        work = exchange.call.work
        self._events.record(
            kind,
            request=work.request,
            customer=work.customer,
            upstream=upstream,
            attempt=exchange.state.number,
            **details,
        )

    def _add(self, agent: Instance) -> None:
        peer = _Peer(agent.name, agent.availability_zone)
        peer.dialer = Dialer(
            agent.address,
            agent.port,
            lambda number: self._make_link(peer, number),
            lambda refused: self._note_failed_dial(peer, refused),
            self._random,
            self._link_numbers,
        )
        self._peers[agent.name] = peer
        peer.dialer.start()

    def _drop(self, peer: _Peer) -> None:
        self._peers.pop(peer.name, None)
        if peer.view is not None and self._upstreams.get(peer.view.name) is peer:
            del self._upstreams[peer.view.name]
        if peer.dialer is not None:
            peer.dialer.close()

    def _make_link(self, peer: _Peer, number: int) -> Link:
        return Link(
            "entry",
            replace(self._identity, link=number),
            self._link_options,
            self._events.clock,
            lambda link: self._make_peer_heartbeat(peer),
            lambda link: self._note_open(peer, link),
            lambda link, message: self._receive(peer, link, message),
            lambda link, reason: self._note_lost(peer, link, reason),
        )

    def _make_peer_heartbeat(self, peer: _Peer) -> Heartbeat:
        crashes, peer.crashes_sent = self._quarantine.list_changes(
            peer.crashes_sent, self.now()
        )
        return replace(self._make_heartbeat(), crashes=crashes)

    def _note_open(self, peer: _Peer, link: Link) -> None:
        peer.link = link
        # A heartbeat lost with the previous link may have contained crash records, so
        # all of them are sent again.
        peer.crashes_sent = 0
        peer.incarnation = link.peer.incarnation
        if peer.dialer is not None:
            peer.dialer.note_open()
        self._events.record("link.opened", peer=peer.name)
        for exchange in self._list_exchanges(peer):
            exchange.note_link_opened()

    def _note_lost(self, peer: _Peer, link: Link, reason: str) -> None:
        if peer.link is link:
            peer.link = None
            self._events.record("link.lost", peer=peer.name, reason=reason)
        if peer.view is not None:
            peer.view.reachable = False
        if self._peers.get(peer.name) is peer and peer.dialer is not None:
            peer.dialer.start()
        for exchange in self._list_exchanges(peer):
            exchange.note_link_lost()

    def _note_failed_dial(self, peer: _Peer, refused: bool) -> None:
        if not refused:
            return
        for exchange in self._list_exchanges(peer):
            exchange.note_agent_gone()

    def _list_exchanges(self, peer: _Peer) -> list[Exchange]:
        return [self._streams[stream][0] for stream in sorted(peer.streams)]

    def _receive(self, peer: _Peer, link: Link, message: Message) -> None:
        if isinstance(message, ATTEMPT_FRAMES):
            # A released stream is not found, so late frames, and frames from another
            # agent, are dropped and can't reach the caller of another request.
            found = self._streams.get(message.stream)
            if found is not None and found[1] is peer:
                if isinstance(message, Refused):
                    subtract_refused(peer.view, found[0].call.work)
                found[0].receive(message)
            return
        if isinstance(message, CacheEvents):
            self._apply_cache_events(peer, message)
            return
        if isinstance(message, Heartbeat):
            self._apply_heartbeat(peer, message)
        self._on_received(link, message)

    def _apply_heartbeat(self, peer: _Peer, heartbeat: Heartbeat) -> None:
        view = peer.view
        if view is None or view.name != heartbeat.upstream:
            view = UpstreamView(heartbeat.upstream, peer.availability_zone)
            peer.view = view
        self._upstreams[view.name] = peer
        view.incarnation = peer.incarnation
        update_view(view, heartbeat, self._rates, self.now())
        view.draining = view.draining or peer.leaving
        if self._quarantine.merge(heartbeat.crashes, self.now()):
            self.send_heartbeat()

    def _apply_cache_events(self, peer: _Peer, message: CacheEvents) -> None:
        if peer.view is None:
            return
        name = peer.view.name
        if message.boot != peer.boot:
            # A restarted engine has an empty cache and restarts its event numbers.
            peer.boot = message.boot
            self._index.forget(name)
        self._index.apply(name, message.oldest, message.events)

    def _choose_for_suspect(self, work: Work) -> UpstreamView | Refusal:
        names = [view.name for view in self.views if work.model in view.models]
        crashed = self._quarantine.list_crashed(work.fingerprint)
        name = choose_suspect_upstream(work.fingerprint, names, crashed)
        peer = self._upstreams.get(name or "")
        view = peer.view if peer is not None else None
        if view is not None and view.reachable and view.ready and not view.draining:
            return view
        return Refusal(
            Reason.NO_UPSTREAM,
            "The one upstream that may run this request now is not ready; ask again.",
            timedelta(seconds=2),
        )

    def _back_off(self, work: Work, retry: int) -> timedelta:
        remaining = work.finish_by - self.now()
        return choose_backoff(retry, remaining, self._random) or NO_BACK_OFF

    def _end(self, exchange: Exchange) -> None:
        self._exchanges.discard(exchange)
        if not self._exchanges:
            self._empty.set()
