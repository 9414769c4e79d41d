"""Configuration intakes: the operator's configuration, from the store into force."""

from collections.abc import Callable, Sequence
from datetime import timedelta
from operator import attrgetter

from mustardquay.clocks import Clock
from mustardquay.errors import ProtocolError
from mustardquay.events import EventRing
from mustardquay.routing_tables import RoutingTable
from mustardquay.version_trackers import TableState, VersionTracker

from .adapters import Adapter, StoreRow

__all__ = ["ConfigurationIntake"]


class ConfigurationIntake:
    """Puts each newer configuration in force; a version never goes back."""

    def __init__(
        self,
        adapter: Adapter,
        events: EventRing,
        clock: Clock,
        put: Callable[[RoutingTable], None],
        list_others: Callable[[], Sequence[int]],
        get_bound: Callable[[], timedelta],
    ):
        """Take `put`, which puts a configuration in force.

        `list_others` returns the versions of the other gateways, `get_bound` the time
        in which a version has to be in force everywhere.
        """
        self._adapter = adapter
        self._events = events
        self._clock = clock
        self._put = put
        self._list_others = list_others
        self._get_bound = get_bound
        self._versions = VersionTracker()

    @property
    def version(self) -> int:
        """Return the version in force, 0 before the first."""
        return self._versions.in_force

    @property
    def known_version(self) -> int:
        """Return the newest version that is known to exist."""
        return self._versions.known

    @property
    def lag(self) -> timedelta:
        """Return for how long a version that isn't in force here is known."""
        return self._versions.measure_lag(self._clock.monotonic())

    def judge(self) -> TableState:
        """Return what may be concluded from the configuration in force."""
        if not self._versions.is_behind:
            return TableState.CURRENT
        others = self._list_others()
        now = self._clock.monotonic()
        return self._versions.find_state(others, self._get_bound(), now)

    def hear(self, gateway: str, version: int) -> bool:
        """Take in the version of another gateway; returns whether it is newer."""
        if self._versions.note_version(version, self._clock.monotonic()):
            self._events.record(
                "configuration.behind",
                version=self.version,
                known=version,
                gateway=gateway,
            )
        return version > self.version

    def take(self, rows: Sequence[StoreRow], is_whole: bool) -> None:
        """Take in rows: all there are, or those that have changed.

        Of several versions only the newest is decoded that can be: a large one takes a
        busy process some 100 ms.
        """
        for row in sorted(rows, key=attrgetter("version"), reverse=True):
            if row.key != self._adapter.CONFIGURATION_KEY or row.deleted:
                continue
            if self._read(row):
                return

    def _read(self, row: StoreRow) -> bool:
        """Take in one row; returns whether it could be decoded."""
        begun = self._clock.monotonic()
        try:
            table = self._adapter.read_configuration(row.value)
        except ProtocolError as error:
            self._events.record("configuration.refused", error=str(error))
            return False
        self._offer(table, begun, len(row.value))
        return True

    def _offer(self, table: RoutingTable, begun: timedelta, size: int) -> None:
        before = self.version
        if before and table.version <= before:
            return
        lag = self.lag
        self._put(table)
        self._versions.set_in_force(table.version)
        self._events.record(
            "configuration.in_force",
            version=table.version,
            before=before,
            routes=len(table.routes),
            bytes=size,
            behind_ms=_to_milliseconds(lag),
            decode_ms=_to_milliseconds(self._clock.monotonic() - begun),
        )


def _to_milliseconds(duration: timedelta) -> float:
    return round(duration.total_seconds() * 1000, 1)
