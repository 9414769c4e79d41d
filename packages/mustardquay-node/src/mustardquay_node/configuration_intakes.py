"""Configuration intakes: the operator's configuration, from the store into force."""

from collections.abc import Callable, Sequence

from mustardquay.errors import ProtocolError
from mustardquay.events import EventRing
from mustardquay.routing_tables import RoutingTable

from .adapters import Adapter, StoreRow

__all__ = ["ConfigurationIntake"]


class ConfigurationIntake:
    """Puts each newer configuration in force; a version never goes back."""

    def __init__(
        self,
        adapter: Adapter,
        events: EventRing,
        get_version: Callable[[], int],
        put: Callable[[RoutingTable], None],
    ):
        """Take `put`, which puts a configuration in force."""
        self._adapter = adapter
        self._events = events
        self._get_version = get_version
        self._put = put

    def take(self, rows: Sequence[StoreRow], is_whole: bool) -> None:
        """Take in rows: all there are, or those that have changed."""
        for row in rows:
            if row.key != self._adapter.CONFIGURATION_KEY or row.deleted:
                continue
            try:
                table = self._adapter.read_configuration(row.value)
            except ProtocolError as error:
                self._events.record("configuration.refused", error=str(error))
                continue
            self._offer(table)

    def _offer(self, table: RoutingTable) -> None:
        before = self._get_version()
        if before and table.version <= before:
            return
        self._put(table)
        self._events.record(
            "configuration.in_force",
            version=table.version,
            before=before,
            routes=len(table.routes),
        )
