"""Tables: the interface to the platform's transactional table service.

A row has a table, a key, a JSON value and a revision that each write raises by one.
A transaction applies all its writes if all its conditions hold, otherwise none.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any, Protocol

__all__ = [
    "Committed",
    "Condition",
    "Conflict",
    "ObjectStore",
    "Row",
    "TableService",
    "Transaction",
    "Write",
]

Value = Mapping[str, Any]


@dataclass(frozen=True, slots=True)
class Row:
    """A row as read; `revision` is 1 after the first write."""

    table: str
    key: str
    value: Value
    revision: int


@dataclass(frozen=True, slots=True)
class Condition:
    """Holds if the row has this revision; 0 means that the row is absent."""

    table: str
    key: str
    revision: int


@dataclass(frozen=True, slots=True)
class Write:
    """Sets the row's value; None deletes the row."""

    table: str
    key: str
    value: Value | None


@dataclass(frozen=True, slots=True)
class Transaction:
    """Writes that are applied atomically if every condition holds."""

    conditions: tuple[Condition, ...] = ()
    writes: tuple[Write, ...] = ()


@dataclass(frozen=True, slots=True)
class Committed:
    """The transaction was applied; the revisions are those of its writes."""

    revisions: tuple[int, ...]
    era: int = field(default=0, repr=False)
    """The era of the store in which it was applied; 0 if the store reports none."""


@dataclass(frozen=True, slots=True)
class Conflict:
    """Nothing was applied; `rows` are the current rows of the failed conditions."""

    rows: tuple[Row | None, ...]

    def __bool__(self) -> bool:
        """Return False, so that `if not result` means "was not applied"."""
        return False


class TableService(Protocol):
    """The transactional table service.

    Calls raise `StoreUnavailable` if they are certain to have had no effect, and
    `transact` raises `StoreResultUnknown` if its answer was lost.
    """

    async def transact(self, transaction: Transaction) -> Committed | Conflict:
        """Apply all writes if all conditions hold."""

    async def read(self, table: str, key: str) -> Row | None:
        """Return the row, or None if there is none."""

    async def scan(
        self, table: str, after: str = "", limit: int = 1000
    ) -> tuple[Row, ...]:
        """Return rows whose key sorts after `after`, in the order of keys."""


class ObjectStore(Protocol):
    """The object store: write-once values by name."""

    async def put(self, name: str, data: bytes) -> None:
        """Store `data`; raises `StoreUnavailable` or `StoreResultUnknown`."""

    async def get(self, name: str) -> bytes | None:
        """Return the object, or None; raises `StoreUnavailable`."""
