"""The parts of a gateway that know where streams began, and how they are connected."""

from collections.abc import Callable, Collection, Iterable, Sequence
from dataclasses import dataclass
from datetime import timedelta
from random import Random

from mustardquay.clocks import Clock
from mustardquay.events import EventRing
from mustardquay.streams import (
    OriginRecord,
    StreamOrigin,
    find_only_origin,
)
from mustardquay.upstream_lists import UpstreamRecord

from ..adapters import StoreTables
from ..peers import Address
from .exchanges import OriginExchange, OriginExchangeDependencies
from .saved_origins import SavedOriginDependencies, SavedOrigins
from .version_markers import VersionMarkerDependencies, VersionMarkers

__all__ = ["FoundOrigin", "OriginDependencies", "OriginSubsystem"]

TAKE_UP_MARGIN = timedelta(seconds=30)
"""Time after its deadline for which the origin of a stream is kept: clocks and delays
differ, and a caller may take the stream up at the last moment."""


@dataclass(frozen=True, slots=True)
class OriginDependencies:
    """What a gateway provides."""

    name: str
    """Name of this gateway."""
    store: StoreTables
    clock: Clock
    """Must count while the machine is suspended, as streams go on elsewhere."""
    random: Random
    events: EventRing
    list_upstreams: Callable[[], Iterable[UpstreamRecord]]
    send: Callable[[bytes, Iterable[str]], None]
    """Sends a datagram to some gateways."""
    reply: Callable[[bytes, Address], None]
    """Sends a datagram to the sender of another one."""
    list_gateways: Callable[[], Collection[str]]
    """Lists the registered gateways, including this one."""
    list_neighbours: Callable[[], Collection[str]]
    """Lists the gateways that exchange digests with this one."""


@dataclass(frozen=True, slots=True)
class FoundOrigin:
    """An origin, and how it is known."""

    origin: StreamOrigin
    source: str
    """`here`, `gateway` (another one knew it), `saved` or `only_version`."""


class OriginSubsystem:
    """Keeps the origins of streams, and finds those of streams that are taken up."""

    def __init__(self, deps: OriginDependencies):
        """Connect the parts."""
        self._deps = deps
        self._exchange = OriginExchange(
            OriginExchangeDependencies(
                name=deps.name,
                clock=deps.clock,
                send=deps.send,
                reply=deps.reply,
                list_gateways=deps.list_gateways,
                list_neighbours=deps.list_neighbours,
                note_used=lambda origin: self._markers.note_used(origin),
            )
        )
        self._markers = VersionMarkers(
            VersionMarkerDependencies(
                store=deps.store,
                clock=deps.clock,
                random=deps.random,
                events=deps.events,
                list_upstreams=deps.list_upstreams,
                count_gateways=lambda: len(deps.list_gateways()),
            )
        )
        self._saved = SavedOrigins(
            SavedOriginDependencies(
                name=deps.name,
                store=deps.store,
                clock=deps.clock,
                random=deps.random,
                events=deps.events,
                count_gateways=lambda: len(deps.list_gateways()),
                is_mixed=lambda: self._markers.is_mixed,
                list_running=self._exchange.list_running,
                is_ambiguous=self._exchange.is_ambiguous,
                note=self._exchange.note,
            )
        )

    def start(self) -> None:
        """Start to share and save origins, and to mark versions."""
        self._exchange.start()
        self._markers.start()
        self._saved.start()

    async def close(self) -> None:
        """Stop; other gateways keep what they know."""
        await self._saved.close()
        await self._markers.close()
        await self._exchange.close()

    def receive(self, data: bytes, address: Address) -> None:
        """Process a datagram of another gateway."""
        self._exchange.receive(data, address)

    def note_registered(self, gateways: Collection[str]) -> None:
        """Give gateways that have started, or are listed first, what they keep."""
        self._exchange.note_registered(gateways)

    def note_era(self) -> None:
        """Note that the store was restored from a copy."""
        self._markers.note_era()

    def set_services(self, services: Sequence[str]) -> None:
        """Set the services whose streams can be resumed."""
        self._markers.set_services(services)

    def is_marked(self, upstream: UpstreamRecord) -> bool:
        """Return whether the software version of an upstream is marked."""
        return self._markers.is_marked(upstream)

    def begin(
        self, keys: Iterable[int], origin: StreamOrigin, time_left: timedelta
    ) -> None:
        """Note a stream before its first event is passed on."""
        for key in keys:
            record = OriginRecord(key, origin, time_left + TAKE_UP_MARGIN)
            self._exchange.begin(record)

    def end(self, keys: Iterable[int]) -> None:
        """Note that a stream no longer runs here."""
        for key in keys:
            self._exchange.end(key)

    async def find(
        self, key: int | None, services: Sequence[str]
    ) -> FoundOrigin | None:
        """Return the origin of a stream that is taken up, None if it isn't known.

        `services` are those that its route leads to; `key` is None if the caller does
        not name the stream.
        """
        if key is not None:
            origin = self._exchange.find(key)
            if origin is not None:
                return FoundOrigin(origin, "here")
            if not self._exchange.is_ambiguous(key):
                origin = await self._exchange.ask(key)
            if origin is not None:
                return FoundOrigin(origin, "gateway")
            if await self._may_be_saved(services):
                await self._saved.read()
                origin = self._exchange.find(key)
            if origin is not None:
                return FoundOrigin(origin, "saved")
            if self._exchange.is_ambiguous(key):
                return None
        if len(services) != 1:
            return None
        return await self._find_only(services[0])

    async def _may_be_saved(self, services: Sequence[str]) -> bool:
        """Return whether several versions of a service may have begun streams.

        Guards against a gateway that has just started, and knows no marks yet.
        """
        for service in services:
            if not self._markers.knows(service):
                await self._markers.read(service)
        return self._markers.is_mixed

    async def _find_only(self, service: str) -> FoundOrigin | None:
        """Return the origin of all streams of a service, if there is only one."""
        if len(self._markers.list_in_use(service)) > 1:
            return None
        marks = await self._markers.read(service)
        if marks is None:
            return None
        origin = find_only_origin(service, marks, self._markers.list_in_use(service))
        return None if origin is None else FoundOrigin(origin, "only_version")
