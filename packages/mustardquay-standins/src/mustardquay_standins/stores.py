"""Stores: table service, object store and engine orders without sockets.

They have the interfaces of the node's HTTP clients, so that tests on a virtual clock
and benchmarks of many instances in one process don't need HTTP.
"""

from dataclasses import dataclass, replace
from datetime import timedelta

from mustardquay.clocks import Clock
from mustardquay.errors import StoreResultUnknown, StoreUnavailable
from mustardquay.order_state_machine import OrderResult
from mustardquay.orders import Desired, EngineState, Order
from mustardquay.tables import Committed, Conflict, Row, Transaction

from .tables import Tables

__all__ = ["LocalEngine", "LocalObjects", "LocalTables", "StoreCounters"]


@dataclass(slots=True)
class StoreCounters:
    """Calls that reached the store, including refused ones."""

    reads: int = 0
    writes: int = 0
    conflicts: int = 0


class LocalTables:
    """The table service; several clients can share the rows of one `tables`."""

    def __init__(self, tables: Tables | None = None):
        self.tables = tables or Tables()
        self.counters = StoreCounters()
        self.era = 0
        """Era of the store; platforms that may restore it from a copy report one."""
        self.down = False
        """Every call is refused and has no effect."""
        self.lose_answers = 0
        """Number of next transactions that are applied but whose answers are lost."""
        self.lose_calls = 0
        """Number of next transactions that are lost before they take effect."""

    async def transact(self, transaction: Transaction) -> Committed | Conflict:
        """Apply all the writes if all the conditions hold."""
        self.counters.writes += 1
        self._check()
        if self.lose_calls:
            self.lose_calls -= 1
            raise StoreResultUnknown("The call was lost; read back.")
        result = self.tables.apply(transaction)
        if not result:
            self.counters.conflicts += 1
        if self.lose_answers:
            self.lose_answers -= 1
            raise StoreResultUnknown("The answer was lost; read back.")
        return replace(result, era=self.era) if result else result

    async def read(self, table: str, key: str) -> Row | None:
        """Return the row, or None when there is none."""
        self.counters.reads += 1
        self._check()
        return self.tables.read(table, key)

    async def scan(
        self, table: str, after: str = "", limit: int = 1000
    ) -> tuple[Row, ...]:
        """Return the rows whose keys sort after `after`, in the order of keys."""
        self.counters.reads += 1
        self._check()
        return self.tables.scan(table, after, limit)

    def _check(self) -> None:
        if self.down:
            raise StoreUnavailable("The store is down; try again later.")


class LocalObjects:
    """The object store."""

    def __init__(self):
        self.objects: dict[str, bytes] = {}
        self.down = False

    async def put(self, name: str, data: bytes) -> None:
        """Store an object."""
        self._check()
        self.objects[name] = data

    async def get(self, name: str) -> bytes | None:
        """Return the object, or None."""
        self._check()
        return self.objects.get(name)

    def _check(self) -> None:
        if self.down:
            raise StoreUnavailable("The store is down; try again later.")


class LocalEngine:
    """The control interface of an engine, which executes each order in `duration`.

    `conflicts` counts the orders that arrived while another was being executed or with
    a lower fencing number than an earlier one, whether or not they were refused.
    """

    def __init__(
        self,
        clock: Clock,
        desired: Desired,
        fencing: bool = True,
        duration: timedelta = timedelta(seconds=10),
    ):
        self._clock = clock
        self._desired = desired
        self._fencing = fencing
        self._duration = duration
        self._boot = 1
        self._fence = 0
        self._generation = 0
        self._order: Order | None = None
        self._ends_at = timedelta()
        self.orders: list[Order] = []
        self.conflicts = 0
        self.down = False

    async def start(self) -> None:
        """Do nothing."""

    async def close(self) -> None:
        """Do nothing."""

    async def read_state(self) -> EngineState | None:
        """Return the state of the engine, or None while it is down."""
        if self.down:
            return None
        self._advance()
        return EngineState(
            str(self._boot),
            self._generation,
            self._desired.role,
            self._desired.models,
            self._desired.adapters,
            self._order is not None,
            self._fence,
        )

    async def send_order(self, order: Order, timeout: timedelta) -> OrderResult:
        """Accept or refuse an order."""
        if self.down:
            return OrderResult.LOST
        self._advance()
        if order.fence < self._fence or self._order is not None:
            self.conflicts += 1
        if order.fence < self._fence and self._fencing:
            return OrderResult.STALE
        if self._order is not None:
            return OrderResult.BUSY
        self._fence = max(order.fence, self._fence)
        self._order = order
        self._ends_at = self._clock.monotonic() + self._duration
        self.orders.append(order)
        return OrderResult.ACCEPTED

    def crash(self, desired: Desired) -> None:
        """Restart with the state `desired`; an order in progress is lost."""
        self._boot += 1
        self._generation = 0
        self._order = None
        self._desired = desired

    def _advance(self) -> None:
        if self._order is not None and self._clock.monotonic() >= self._ends_at:
            self._desired = self._order.desired
            self._generation = self._order.generation
            self._order = None
