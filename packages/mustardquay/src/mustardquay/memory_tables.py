"""The transaction rules of the table service, applied to rows in memory.

For tests and stand-ins only; shared state of a fleet is never kept here.
"""

from collections.abc import MutableMapping
from typing import TypeAlias

from .tables import Committed, Condition, Conflict, Row, Transaction, Write

__all__ = ["Rows", "apply_transaction"]

Rows: TypeAlias = MutableMapping[tuple[str, str], Row]
"""Rows by table and key."""


def apply_transaction(rows: Rows, transaction: Transaction) -> Committed | Conflict:
    """Apply all writes if all conditions hold, otherwise none.

    A row that is deleted and written again starts at revision 1.
    """
    failed = [item for item in transaction.conditions if not _holds(rows, item)]
    if failed:
        return Conflict(tuple(rows.get((item.table, item.key)) for item in failed))
    return Committed(tuple(_write(rows, item) for item in transaction.writes))


def _holds(rows: Rows, condition: Condition) -> bool:
    row = rows.get((condition.table, condition.key))
    return condition.revision == (0 if row is None else row.revision)


def _write(rows: Rows, write: Write) -> int:
    place = (write.table, write.key)
    before = rows.get(place)
    if write.value is None:
        rows.pop(place, None)
        return 0
    revision = 1 if before is None else before.revision + 1
    rows[place] = Row(write.table, write.key, write.value, revision)
    return revision
