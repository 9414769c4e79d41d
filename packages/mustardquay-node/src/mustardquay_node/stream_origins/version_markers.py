"""Marks, in the platform's store, of the software versions that serve.

A version is marked before streams begin at it. A gateway reads the marks of a service
when it first lists one of its versions, and writes the one that is missing: two calls
for each version and start. Gateways do so one after the other, so that most of them
find the mark that another one has written. Versions that left are unmarked alike.
"""

import asyncio
from collections import defaultdict
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from datetime import timedelta
from functools import partial
from random import Random

from mustardquay.clocks import Clock
from mustardquay.errors import MustardquayError
from mustardquay.events import EventRing
from mustardquay.streams import (
    ListedVersions,
    StreamOrigin,
    VersionMarks,
    list_versions,
)
from mustardquay.tables import Condition, Row, Transaction, Write
from mustardquay.upstream_lists import UpstreamRecord

from ..adapters import StoreTables
from ..loops import cancel_task, start_loop
from .shared_reads import SharedRead

__all__ = ["MARKS_TABLE", "VersionMarkerDependencies", "VersionMarkers"]

MARKS_TABLE = "software_versions"
"""Table with one row for each service."""
CHECK_INTERVAL = timedelta(milliseconds=250)
"""Time between two comparisons of marks and listed versions, which cost no call."""
SPREAD = timedelta(milliseconds=5)
"""Time for each gateway over which all of them mark a new version: the store makes some
200 transactions a second on one part."""
RETRY_DELAY = timedelta(milliseconds=600)
"""Mean time after which a call that failed is made again."""
READ_INTERVAL = timedelta(milliseconds=200)
"""Minimum time between two reads of the marks of one service."""
READ_TIMEOUT = timedelta(milliseconds=400)
"""Time for which a request may wait for such a read."""


@dataclass(frozen=True, slots=True)
class VersionMarkerDependencies:
    """Dependencies of `VersionMarkers`."""

    store: StoreTables
    clock: Clock
    random: Random
    events: EventRing
    list_upstreams: Callable[[], Iterable[UpstreamRecord]]
    count_gateways: Callable[[], int]


class VersionMarkers:
    """Marks the versions that this gateway lists, and reads all marks when asked."""

    def __init__(self, deps: VersionMarkerDependencies):
        self._deps = deps
        self._services: Sequence[str] = ()
        self._marked: defaultdict[str, frozenset[str]] = defaultdict(frozenset)
        """Versions that were found marked, by service."""
        self._listed: defaultdict[str, ListedVersions] = defaultdict(ListedVersions)
        self._reads: dict[str, SharedRead[VersionMarks]] = {}
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start to mark versions."""
        self._task = start_loop(self._check, CHECK_INTERVAL)

    async def close(self) -> None:
        """Stop."""
        await cancel_task(self._task)

    def set_services(self, services: Sequence[str]) -> None:
        """Set the services whose streams can be resumed."""
        self._services = services

    def is_marked(self, upstream: UpstreamRecord) -> bool:
        """Return whether the software version of an upstream is marked."""
        return upstream.software_version in self._marked[upstream.service]

    def note_used(self, origin: StreamOrigin) -> None:
        """Note a version at which a stream began, here or at another gateway."""
        marked = self._marked[origin.service]
        if origin.version not in marked:
            now = self._deps.clock.monotonic()
            self._listed[origin.service].note([origin.version], marked, now)

    def list_in_use(self, service: str) -> frozenset[str]:
        """Return the versions that are listed, or were used and not marked yet."""
        return self._list_versions(service) | self._listed[service].unmarked

    def knows(self, service: str) -> bool:
        """Return whether any mark of a service is known here."""
        return bool(self._marked[service])

    @property
    def is_mixed(self) -> bool:
        """Return whether several versions of a service are marked."""
        return any(len(self._marked[service]) > 1 for service in self._services)

    def note_era(self) -> None:
        """Mark all versions again: the store was restored from a copy."""
        self._marked.clear()
        for versions in self._listed.values():
            versions.note_marks_lost()

    async def read(self, service: str) -> VersionMarks | None:
        """Return the marks of a service as of now or later, None without an answer."""
        if service not in self._reads:
            self._reads[service] = SharedRead(
                self._deps.clock,
                partial(self._read_marks, service),
                READ_INTERVAL,
                READ_TIMEOUT,
                partial(self._note_unread, service),
            )
        return await self._reads[service].run()

    def _note_unread(self, service: str, error: str) -> None:
        self._deps.events.record("versions.unread", service=service, error=error)

    async def _read_marks(self, service: str) -> VersionMarks:
        row = await self._deps.store.read(MARKS_TABLE, service)
        marks = VersionMarks() if row is None else _decode_marks(row)
        self._marked[service] = marks.versions
        return marks

    async def _check(self) -> None:
        """Update the marks that may differ from what they should be."""
        due = [service for service in self._services if self._is_due(service)]
        if not due:
            return
        spread = SPREAD * self._deps.count_gateways() * self._deps.random.random()
        await asyncio.sleep(spread.total_seconds())
        try:
            for service in due:
                await self._update(service)
        except MustardquayError as error:
            self._deps.events.record("versions.unmarked", error=str(error))
            delay = RETRY_DELAY * (0.5 + self._deps.random.random())
            await asyncio.sleep(delay.total_seconds())

    def _is_due(self, service: str) -> bool:
        """Return whether the marks of a service may differ from what they should be."""
        now = self._deps.clock.monotonic()
        listed, marked = self._list_versions(service), self._marked[service]
        self._listed[service].note(listed, marked, now)
        if self._listed[service].find_expired(now):
            return True
        self._marked[service] &= listed | self._listed[service].find_known(marked, now)
        return not self.list_in_use(service) <= self._marked[service]

    def _list_versions(self, service: str) -> frozenset[str]:
        return list_versions(service, self._deps.list_upstreams())

    async def _update(self, service: str) -> None:
        """Mark the versions of a service in use, and unmark those gone for long.

        One that was used while the store was away is marked also if it has left.
        """
        marks = await self._read_marks(service)
        listed, unmarked = self._list_versions(service), self._listed[service].unmarked
        expired = self._listed[service].find_expired(self._deps.clock.monotonic())
        versions = ((marks.versions | unmarked) - expired) | listed
        if versions == marks.versions:
            self._listed[service].forget(expired)
            return
        condition = Condition(MARKS_TABLE, service, marks.revision)
        write = Write(MARKS_TABLE, service, {"versions": sorted(versions)})
        transaction = Transaction(conditions=(condition,), writes=(write,))
        if await self._deps.store.transact(transaction):
            self._marked[service] = versions
            self._listed[service].forget(expired)
            self._deps.events.record(
                "versions.marked", service=service, versions=sorted(versions)
            )


def _decode_marks(row: Row) -> VersionMarks:
    """Return the marks in a row; what can't be decoded marks nothing."""
    value = row.value.get("versions") if isinstance(row.value, dict) else None
    versions = value if isinstance(value, list) else []
    return VersionMarks(
        frozenset(each for each in versions if isinstance(each, str)), row.revision
    )
