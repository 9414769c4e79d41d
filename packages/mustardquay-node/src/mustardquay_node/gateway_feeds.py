"""Feeds of the platform's store tables that a gateway follows."""

from dataclasses import dataclass
from datetime import timedelta
from random import Random

from mustardquay.clocks import Clock
from mustardquay.events import EventRing
from mustardquay.list_readers import ListTimings

from .adapters import Adapter, StoreTables
from .configuration_loaders import ConfigurationLoader
from .feeds import FeedListener, FeedOptions, TableFeed
from .list_relays import NOTICE_PREFIX, ListRelay, RelayDependencies
from .peers import PEERS_TABLE, PeerLink
from .settings import StoreSettings
from .upstream_list_updaters import UpstreamListUpdater

__all__ = ["FeedDependencies", "GatewayFeeds", "make_upstreams_options"]

CONFIGURATION_PAUSE = timedelta(milliseconds=20)
"""Pause after each read, so that one read returns several configurations when they
change rapidly."""
CONFIRMED_SHARE = 1.5
"""How long an answer of the store confirms the configuration, as a share of how long
the store holds a read. Without a change, it answers once in that time."""
UPSTREAMS_PAUSE_SHARE = 0.25
"""Pause between reads, as a share of the time in which a leaving upstream must be
noticed: the list changes with each heartbeat, and each read is a call to the store."""
UPSTREAMS_WAIT_SHARE = 0.1
"""How long the store holds a read at most, as a share of the same time. A longer wait
would save calls while nothing changes, but a connection that has gone silent is noticed
that much later."""
UPSTREAMS_HEDGE_SHARE = 0.14
"""Silence of a read after which another one is started, as a share of the same time:
with the pause and the wait before it, a record read by the second one is known within
half of the time."""
MIN_UPSTREAMS_HEDGE_DELAY = timedelta(milliseconds=400)
"""Least such silence: a slow store answers in 300 ms."""
PEERS_WAIT = timedelta(seconds=20)
"""Long, as the list of gateways seldom changes and missing digests reveal a gateway
that stopped."""
PEERS_PAUSE = timedelta(seconds=1)


@dataclass(frozen=True, slots=True)
class FeedDependencies:
    """The store, and the components that its rows are passed to."""

    adapter: Adapter
    store: StoreTables
    settings: StoreSettings
    clock: Clock
    random: Random
    events: EventRing
    configurations: ConfigurationLoader
    upstreams: UpstreamListUpdater
    peers: PeerLink


class GatewayFeeds:
    """Follows the tables of configurations, upstreams and gateways."""

    def __init__(self, deps: FeedDependencies):
        self._deps = deps
        self._configuration = self._follow_configuration()
        self._list_relay: ListRelay | None = None
        if deps.settings.upstream_readers:
            self._list_relay = self._make_list_relay()
        self._upstreams = self._list_relay or self._follow_upstreams()
        self._feeds = (self._configuration, self._follow_peers(), self._upstreams)

    @property
    def age(self) -> timedelta | None:
        """Return the time since the store last answered, None before the first."""
        answers = [feed.answered_at for feed in self._feeds if feed.answered_at]
        if not answers:
            return None
        return self._deps.clock.monotonic() - max(answers)

    @property
    def list_relay(self) -> ListRelay | None:
        """Return the relay of the list of upstreams, None if each gateway reads it."""
        return self._list_relay

    @property
    def list_age(self) -> timedelta | None:
        """Return the age of the list of upstreams, None before the first read."""
        if self._list_relay is not None:
            return self._list_relay.age
        answered_at = self._upstreams.answered_at
        return answered_at and self._deps.clock.monotonic() - answered_at

    @property
    def is_configuration_confirmed(self) -> bool:
        """Return whether the store has recently answered for the configuration."""
        answered_at = self._configuration.answered_at
        if answered_at is None:
            return False
        age = self._deps.clock.monotonic() - answered_at
        return age <= CONFIRMED_SHARE * self._deps.settings.configuration_wait

    def start(self) -> None:
        """Start to follow the tables."""
        for feed in self._feeds:
            feed.start()

    async def close(self) -> None:
        """Stop following the tables."""
        for feed in self._feeds:
            await feed.close()

    def note_era(self) -> None:
        """Read all tables again: the store was restored from a copy."""
        for feed in self._feeds:
            feed.note_era()

    def fetch_configuration(self) -> None:
        """Start a new read of the configuration, as the pending one may hang."""
        self._configuration.wake()

    def _follow_configuration(self) -> TableFeed:
        deps = self._deps
        options = FeedOptions(
            deps.adapter.CONFIGURATION_TABLE,
            deps.settings.configuration_wait,
            CONFIGURATION_PAUSE,
        )
        return self._make_feed(options, FeedListener(deps.configurations.apply_rows))

    def _follow_peers(self) -> TableFeed:
        options = FeedOptions(PEERS_TABLE, PEERS_WAIT, PEERS_PAUSE)
        return self._make_feed(options, FeedListener(self._deps.peers.apply_rows))

    def _follow_upstreams(self) -> TableFeed:
        updater = self._deps.upstreams
        listener = FeedListener(
            updater.apply_rows, updater.end_outage, updater.begin_restore
        )
        return self._make_feed(self._make_upstreams_options(), listener)

    def _make_list_relay(self) -> ListRelay:
        deps, peers = self._deps, self._deps.peers
        options = self._make_upstreams_options()
        relay = ListRelay(
            RelayDependencies(
                name=peers.name,
                readers=deps.settings.upstream_readers,
                timings=ListTimings(deps.settings.upstreams_delay),
                pause=options.pause,
                clock=deps.clock,
                random=deps.random,
                events=deps.events,
                updater=deps.upstreams,
                make_feed=lambda listener: self._make_feed(options, listener),
                read_upstream=deps.adapter.read_upstream,
                send=peers.send_to,
                list_zones=lambda: peers.zones,
                find_heard_at=lambda: peers.heard_at,
            )
        )
        peers.add_channel(NOTICE_PREFIX, relay.receive)
        return relay

    def _make_upstreams_options(self) -> FeedOptions:
        return make_upstreams_options(
            self._deps.adapter.UPSTREAMS_TABLE, self._deps.settings
        )

    def _make_feed(self, options: FeedOptions, listener: FeedListener) -> TableFeed:
        deps = self._deps
        return TableFeed(
            deps.store, options, listener, deps.events, deps.clock, deps.random
        )


def make_upstreams_options(table: str, settings: StoreSettings) -> FeedOptions:
    """Return the options by which a gateway follows the list of upstreams."""
    delay = settings.upstreams_delay
    return FeedOptions(
        table,
        min(settings.configuration_wait, UPSTREAMS_WAIT_SHARE * delay),
        UPSTREAMS_PAUSE_SHARE * delay,
        max(UPSTREAMS_HEDGE_SHARE * delay, MIN_UPSTREAMS_HEDGE_DELAY),
    )
