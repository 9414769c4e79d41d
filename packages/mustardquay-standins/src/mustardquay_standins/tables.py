"""Tables: a stand-in for the platform's transactional table service, in memory."""

import asyncio
from bisect import bisect_right, insort
from dataclasses import asdict, dataclass
from datetime import timedelta
from typing import Any

from mustardquay import Clock
from mustardquay.tables import Committed, Condition, Conflict, Row, Transaction, Write

from .rates import RateLimit
from .servers import Call, Route, StandinServer

__all__ = ["TableCounters", "TableFaults", "TableStandin", "Tables"]


class Tables:
    """The rows, with atomic transactions.

    >>> tables = Tables()
    >>> tables.apply(Transaction(writes=(Write("t", "k", {"n": 1}),)))
    Committed(revisions=(1,))
    >>> bool(tables.apply(Transaction(conditions=(Condition("t", "k", 0),))))
    False
    """

    def __init__(self):
        self._tables: dict[str, dict[str, Row]] = {}
        self._keys: dict[str, list[str]] = {}

    def read(self, table: str, key: str) -> Row | None:
        """Return the row, or None when there is none."""
        return self._tables.get(table, {}).get(key)

    def scan(self, table: str, after: str = "", limit: int = 1000) -> tuple[Row, ...]:
        """Return the rows whose keys sort after `after`, in the order of keys."""
        keys = self._keys.get(table, [])
        start = bisect_right(keys, after) if after else 0
        rows = self._tables.get(table, {})
        return tuple(rows[key] for key in keys[start : start + limit])

    def apply(self, transaction: Transaction) -> Committed | Conflict:
        """Apply all the writes if all the conditions hold."""
        present = [
            (condition, self.read(condition.table, condition.key))
            for condition in transaction.conditions
        ]
        failed = tuple(
            row for condition, row in present if not _is_satisfied(condition, row)
        )
        if failed:
            return Conflict(failed)
        return Committed(tuple(self._write(write) for write in transaction.writes))

    def _write(self, write: Write) -> int:
        rows = self._tables.setdefault(write.table, {})
        keys = self._keys.setdefault(write.table, [])
        before = rows.get(write.key)
        if write.value is None:
            if rows.pop(write.key, None):
                keys.remove(write.key)
            return 0
        if before is None:
            insort(keys, write.key)
        revision = before.revision + 1 if before else 1
        rows[write.key] = Row(write.table, write.key, write.value, revision)
        return revision


@dataclass(slots=True)
class TableFaults:
    """Fault switches of the table service."""

    down: bool = False
    """Every call is answered with 503 and has no effect."""
    frozen: bool = False
    """Every call blocks, without effect, until the switch is off, then proceeds."""
    slow: timedelta = timedelta()
    """Delay before each call takes effect."""
    lose_answers: int = 0
    """Number of next transactions that are executed but get no answer: their
    connection is closed."""
    read_rate: float = 2000.0
    """Reads and scans per second; 0 for no limit."""
    write_rate: float = 400.0
    """Transactions per second; 0 for no limit."""


@dataclass(slots=True)
class TableCounters:
    """Counters of the table service."""

    reads: int = 0
    """Reads and scans that were executed."""
    writes: int = 0
    """Transactions that were applied."""
    conflicts: int = 0
    """Transactions with a failed condition."""
    rows_written: int = 0
    limited: int = 0
    """Calls answered with 429."""
    lost_answers: int = 0


class TableStandin(StandinServer):
    """The table service over HTTP; `tables` holds its rows."""

    faults: TableFaults
    counters: TableCounters

    def __init__(self, clock: Clock | None = None, seed: int = 0):
        super().__init__(TableFaults(), TableCounters(), clock, seed)
        self.tables = Tables()
        self._reads = RateLimit(self._clock)
        self._writes = RateLimit(self._clock)

    def list_routes(self) -> tuple[Route, ...]:
        """Return the routes of the table service."""
        return (
            Route("POST", "/transact", self._transact),
            Route("POST", "/read", self._read),
            Route("POST", "/scan", self._scan),
        )

    async def _admit(self, call: Call, limit: RateLimit, rate: float) -> bool:
        while self.faults.frozen:
            await asyncio.sleep(0.01)
        if self.faults.slow:
            await asyncio.sleep(self.faults.slow.total_seconds())
        if self.faults.down:
            call.answer(503, {"error": "the table service is down"})
            return False
        wait = limit.take(rate)
        if wait is None:
            return True
        self.counters.limited += 1
        headers = {"Retry-After": f"{wait.total_seconds():.3f}"}
        call.answer(429, {"error": "over the rate"}, headers)
        return False

    async def _transact(self, call: Call) -> None:
        transaction = _parse_transaction(call.parse())
        if not await self._admit(call, self._writes, self.faults.write_rate):
            return
        result = self.tables.apply(transaction)
        if isinstance(result, Committed):
            self.counters.writes += 1
            self.counters.rows_written += len(transaction.writes)
        else:
            self.counters.conflicts += 1
        if self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            self.counters.lost_answers += 1
            call.drop()
        elif isinstance(result, Committed):
            call.answer(200, {"revisions": result.revisions})
        else:
            call.answer(409, {"error": "conflict", "rows": _describe_rows(result.rows)})

    async def _read(self, call: Call) -> None:
        body = call.parse()
        table, key = body["table"], body["key"]
        if not await self._admit(call, self._reads, self.faults.read_rate):
            return
        self.counters.reads += 1
        row = self.tables.read(table, key)
        call.answer(200, {"row": _describe_rows((row,))[0]})

    async def _scan(self, call: Call) -> None:
        body = call.parse()
        table, after = body["table"], body.get("after", "")
        limit = int(body.get("limit", 1000))
        if not await self._admit(call, self._reads, self.faults.read_rate):
            return
        self.counters.reads += 1
        call.answer(
            200, {"rows": _describe_rows(self.tables.scan(table, after, limit))}
        )


def _is_satisfied(condition: Condition, row: Row | None) -> bool:
    return condition.revision == (row.revision if row else 0)


def _parse_transaction(body: dict[str, Any]) -> Transaction:
    return Transaction(
        tuple(Condition(**condition) for condition in body.get("conditions", ())),
        tuple(Write(**write) for write in body.get("writes", ())),
    )


def _describe_rows(rows: tuple[Row | None, ...]) -> list[dict[str, Any] | None]:
    return [asdict(row) if row else None for row in rows]
