"""Configurations: the configuration in force in one process, and how it is updated.

A few entry processes of each zone poll the head row of the configuration log; all
other processes get the log's entries over their links. The version never decreases. A
process is current, and may accept work, once its version was confirmed: by the head
row of the table service or, while the store is unavailable, by peers that are current
themselves.
"""

import asyncio
import logging
from collections import deque
from collections.abc import Callable, Iterable, Mapping, Sequence
from datetime import timedelta
from random import Random

from blinker import Signal

from mustardquay.configuration_log import (
    CONFIGURATIONS,
    ENTRY_PREFIX,
    HEAD_KEY,
    SNAPSHOT_KEY,
    build_entry_key,
    build_snapshot_name,
    decode_snapshot,
    encode_snapshot,
    read_version,
)
from mustardquay.encodings import decode, decode_bytes, encode_bytes
from mustardquay.errors import MustardquayError, ProtocolError
from mustardquay.revisions import Configuration, Entry, apply_entry
from mustardquay.tables import ObjectStore, Row, TableService

from .loops import cancel_task, start_loop

__all__ = ["ConfigurationReplica", "configuration_changed"]

logger = logging.getLogger(__name__)

configuration_changed = Signal(
    "Sent by a replica when a new version is in force, with the argument "
    "`configuration`."
)

KEPT_ENTRIES = 1000
PENDING_ENTRIES = 1000
BATCH = 200
ENTRY_MARK = b"E"
SNAPSHOT_MARK = b"S"


class ConfigurationReplica:
    """One process's replica of the configuration log.

    `is_reader` returns whether this process is currently one of those of its zone
    that poll the head row. Every process polls until it is current.
    """

    def __init__(
        self,
        tables: TableService,
        objects: ObjectStore,
        random: Random,
        is_reader: Callable[[], bool],
        interval: timedelta = timedelta(seconds=2),
    ):
        self._tables = tables
        self._objects = objects
        self._random = random
        self._is_reader = is_reader
        self._interval = interval
        self._configuration = Configuration()
        self._current = False
        self._store_up = True
        self._current_peers: dict[str, int] = {}
        self._peer_versions: dict[str, int] = {}
        self._pending: dict[int, Entry] = {}
        self._recent: deque[tuple[int, bytes]] = deque(maxlen=KEPT_ENTRIES)
        self._snapshot: tuple[int, bytes] | None = None
        self._highest = 0
        self._lock = asyncio.Lock()
        self._task: asyncio.Task[None] | None = None

    @property
    def configuration(self) -> Configuration:
        """Return the configuration in force here."""
        return self._configuration

    @property
    def version(self) -> int:
        """Return the version in force here."""
        return self._configuration.version

    @property
    def current(self) -> bool:
        """Return whether the version was confirmed since the process started."""
        return self._current

    @property
    def peer_versions(self) -> Mapping[str, int]:
        """Return the configuration versions of the linked processes."""
        return self._peer_versions

    @property
    def missing_after(self) -> int | None:
        """Return the version after which entries are missing, or None."""
        return self.version if self._highest > self.version else None

    async def start(self) -> None:
        """Start polling."""
        self._task = start_loop(self._poll_if_due, self._interval, self._random)

    async def close(self) -> None:
        """Stop polling."""
        await cancel_task(self._task)
        self._task = None

    async def poll(self) -> Row | None:
        """Read the head row, catch up with it and return it.

        Raises `StoreUnavailable` when the store can't be reached.
        """
        async with self._lock:
            try:
                head = await self._tables.read(CONFIGURATIONS, HEAD_KEY)
                await self._catch_up(read_version(head))
            except MustardquayError:
                self._store_up = False
                self._confirm_by_peers()
                raise
            self._store_up = True
            if self.version >= read_version(head):
                self._confirm()
            return head

    def note_peer_version(self, peer: str, version: int, current: bool) -> None:
        """Update a peer's version, and whether it is current, from its heartbeat."""
        self._highest = max(self._highest, version)
        self._peer_versions[peer] = version
        if current:
            self._current_peers[peer] = version
        else:
            self._current_peers.pop(peer, None)
        self._confirm_by_peers()

    def forget_peer(self, peer: str) -> None:
        """Remove a peer whose link is lost; it can't confirm a version any more."""
        self._current_peers.pop(peer, None)
        self._peer_versions.pop(peer, None)

    def add_entries(self, entries: Iterable[Entry]) -> None:
        """Add entries in any order; those after a gap are applied once it is filled."""
        for entry in entries:
            self._highest = max(self._highest, entry.version)
            if entry.version <= self.version:
                continue
            if len(self._pending) < PENDING_ENTRIES:
                self._pending[entry.version] = entry
        self._apply_pending()

    def add_items(self, items: Iterable[bytes]) -> None:
        """Add the result of a peer's `list_items`; raises `ProtocolError`."""
        entries = []
        for item in items:
            mark, data = item[:1], item[1:]
            if mark == SNAPSHOT_MARK:
                self._adopt(decode_snapshot(data))
            elif mark == ENTRY_MARK:
                entries.append(decode_bytes(Entry, data))
            else:
                raise ProtocolError(
                    "A configuration log item has an unknown type; upgrade the peer."
                )
        self.add_entries(entries)

    def list_items(self, after: int) -> Sequence[bytes]:
        """Return the items that a peer at version `after` lacks, oldest first.

        A peer that is too far behind gets the whole configuration as one item.
        """
        if after >= self.version:
            return ()
        if self._recent and self._recent[0][0] <= after + 1:
            missing = [data for version, data in self._recent if version > after]
            return missing[:BATCH]
        if self._snapshot is None or self._snapshot[0] < self.version:
            data = SNAPSHOT_MARK + encode_snapshot(self._configuration)
            self._snapshot = (self.version, data)
        return (self._snapshot[1],)

    async def _poll_if_due(self) -> None:
        if not self._is_reader() and self._current:
            return
        try:
            await self.poll()
        except MustardquayError as error:
            logger.info("Polling the configuration failed: %s", error)

    async def _catch_up(self, head: int) -> None:
        self._highest = max(self._highest, head)
        while self.version < head:
            before = self.version
            rows = await self._tables.scan(
                CONFIGURATIONS, build_entry_key(before), BATCH
            )
            rows = [row for row in rows if row.key.startswith(ENTRY_PREFIX)]
            self.add_entries(decode(Entry, row.value) for row in rows)
            if self.version == before:
                await self._load_snapshot()
            if self.version == before:
                raise ProtocolError(
                    f"The log has no entry {before + 1} and no newer snapshot; "
                    "restore the table `configurations`."
                )

    async def _load_snapshot(self) -> None:
        version = read_version(await self._tables.read(CONFIGURATIONS, SNAPSHOT_KEY))
        if version <= self.version:
            return
        data = await self._objects.get(build_snapshot_name(version))
        if data is not None:
            self._adopt(decode_snapshot(data))

    def _adopt(self, configuration: Configuration) -> None:
        self._highest = max(self._highest, configuration.version)
        if configuration.version <= self.version:
            return
        self._recent.clear()
        self._put_in_force(configuration)
        self._apply_pending()

    def _apply_pending(self) -> None:
        while (entry := self._pending.pop(self.version + 1, None)) is not None:
            self._recent.append((entry.version, ENTRY_MARK + encode_bytes(entry)))
            self._put_in_force(apply_entry(self._configuration, entry))
        for version in [item for item in self._pending if item <= self.version]:
            del self._pending[version]

    def _put_in_force(self, configuration: Configuration) -> None:
        self._configuration = configuration
        self._confirm_by_peers()
        configuration_changed.send(self, configuration=configuration)

    def _confirm_by_peers(self) -> None:
        # Only while the store is unavailable: a peer may have lost contact with the
        # store itself, so the head row takes precedence over it.
        if self._store_up or self._current or not self._current_peers:
            return
        if (
            self.version >= max(self._current_peers.values())
            and self.missing_after is None
        ):
            self._confirm()

    def _confirm(self) -> None:
        if not self._current:
            self._current = True
            logger.info("The configuration is current at version %d.", self.version)
