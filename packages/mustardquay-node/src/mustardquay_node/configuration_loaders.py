"""Loading of the operator's configuration from the store or from another gateway."""

import asyncio
from collections.abc import Callable, Sequence
from datetime import timedelta
from operator import attrgetter

from mustardquay.clocks import Clock
from mustardquay.errors import ProtocolError
from mustardquay.events import EventRing
from mustardquay.routing_tables import RoutingTable
from mustardquay.version_trackers import TableState, VersionTracker

from .adapters import Adapter, StoreRow
from .configuration_relays.documents import RelayedDocument
from .time_slices import run_in_slices

__all__ = ["ConfigurationLoader"]

STORE = "store"
"""The source of versions that this process has read itself, in its log."""


class ConfigurationLoader:
    """Activates each newer configuration; the active version never decreases."""

    def __init__(
        self,
        adapter: Adapter,
        events: EventRing,
        clock: Clock,
        activate: Callable[[RoutingTable], None],
        list_peer_versions: Callable[[], Sequence[int]],
        get_bound: Callable[[], timedelta],
    ):
        """Initialise the loader without a configuration.

        `activate` puts a configuration into force. `list_peer_versions` returns the
        active versions of the other gateways. `get_bound` returns the time within which
        a version has to be active everywhere.
        """
        self._key = adapter.CONFIGURATION_KEY
        self._decoder = adapter.make_configuration_decoder()
        self._is_decoding = False
        self._events = events
        self._clock = clock
        self._activate = activate
        self._list_peer_versions = list_peer_versions
        self._get_bound = get_bound
        self._versions = VersionTracker()
        self._document: RelayedDocument | None = None
        # The store and another gateway may deliver versions at the same time.
        self._lock = asyncio.Lock()

    @property
    def document(self) -> RelayedDocument | None:
        """Return the configuration in force as it was received, None before it."""
        return self._document

    @property
    def is_decoding(self) -> bool:
        """Return whether a version is being decoded."""
        return self._is_decoding

    @property
    def version(self) -> int:
        """Return the active version, 0 before the first."""
        return self._versions.in_force

    @property
    def known_version(self) -> int:
        """Return the newest version known to exist, active here or not."""
        return self._versions.known

    @property
    def lag(self) -> timedelta:
        """Return for how long a version newer than the active one has been known."""
        return self._versions.measure_lag(self._clock.monotonic())

    def find_state(self) -> TableState:
        """Return how far the active configuration may be relied on."""
        if not self._versions.is_behind:
            # What is being decoded may have the route or key that a caller names.
            return TableState.BEHIND if self._is_decoding else TableState.CURRENT
        others = self._list_peer_versions()
        now = self._clock.monotonic()
        return self._versions.find_state(others, self._get_bound(), now)

    def note_peer_version(self, gateway: str, version: int) -> bool:
        """Note the version of another gateway and return whether it is newer."""
        if self._versions.note_version(version, self._clock.monotonic()):
            self._events.record(
                "configuration.behind",
                version=self.version,
                known=version,
                gateway=gateway,
            )
        return version > self.version

    async def apply_rows(self, rows: Sequence[StoreRow], is_whole: bool) -> None:
        """Apply rows of the store: with `is_whole` all of them, else changed ones.

        Of several versions, only the newest one that can be decoded is activated, and
        older ones are not decoded: a large one takes a busy process some 100 ms. Other
        work goes on meanwhile.
        """
        async with self._lock:
            for row in sorted(rows, key=attrgetter("version"), reverse=True):
                if row.key != self._key or row.deleted:
                    continue
                if await self._load(row.value, STORE):
                    return

    async def apply_document(self, document: RelayedDocument, gateway: str) -> None:
        """Activate the configuration of another gateway if it is newer."""
        async with self._lock:
            if document.version > self.version:
                await self._load(document.value, gateway)

    async def _load(self, value: bytes, source: str) -> bool:
        """Decode and activate one version; return whether it could be decoded."""
        if self._document is not None and value == self._document.value:
            return True
        started_at = self._clock.monotonic()
        self._is_decoding = True
        try:
            steps = self._decoder.decode(value)
            table = await run_in_slices(steps, self._clock)
        except ProtocolError as error:
            self._events.record("configuration.refused", error=str(error))
            return False
        finally:
            self._is_decoding = False
        self._activate_if_newer(table, started_at, value, source)
        return True

    def _activate_if_newer(
        self, table: RoutingTable, started_at: timedelta, value: bytes, source: str
    ) -> None:
        before = self.version
        if before and table.version <= before:
            return
        lag = self.lag
        self._activate(table)
        self._versions.set_in_force(table.version)
        self._document = RelayedDocument(table.version, value)
        self._events.record(
            "configuration.in_force",
            version=table.version,
            before=before,
            routes=len(table.routes),
            bytes=len(value),
            source=source,
            behind_ms=_to_milliseconds(lag),
            decode_ms=_to_milliseconds(self._clock.monotonic() - started_at),
        )


def _to_milliseconds(duration: timedelta) -> float:
    return round(duration.total_seconds() * 1000, 1)
