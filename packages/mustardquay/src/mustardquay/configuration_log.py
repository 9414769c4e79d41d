"""The configuration log as rows of a table and as snapshots.

All rows are in one table. `head` holds the newest version, `entry/N` the entry of
version N, `change/ID` the version in which a change id was accepted, and `snapshot`
the version of the newest snapshot in the object store.
"""

from dataclasses import dataclass

from .contracts import Contract
from .encodings import decode_bytes, encode, encode_bytes
from .plans import PlannedChange, Release
from .revisions import Configuration, Entry
from .tables import Committed, Condition, Conflict, Row, Transaction, Write

__all__ = [
    "CHANGE_PREFIX",
    "ENTRY_PREFIX",
    "HEAD_KEY",
    "SNAPSHOT_KEY",
    "CONFIGURATIONS",
    "Accepted",
    "HeadMoved",
    "build_transaction",
    "decode_snapshot",
    "encode_snapshot",
    "interpret_result",
    "build_entry_key",
    "build_snapshot_name",
    "read_version",
]

CONFIGURATIONS = "configurations"
HEAD_KEY = "head"
SNAPSHOT_KEY = "snapshot"
ENTRY_PREFIX = "entry/"
CHANGE_PREFIX = "change/"


@dataclass(frozen=True, slots=True)
class Accepted:
    """The edit is in the log, as this version."""

    version: int


@dataclass(frozen=True, slots=True)
class HeadMoved:
    """Another edit was accepted first; check this one against the new head."""

    version: int
    """Version of the new head."""


@dataclass(frozen=True, slots=True)
class _Snapshot:
    version: int
    contracts: tuple[Contract, ...]
    changes: tuple[PlannedChange, ...]
    releases: tuple[Release, ...]


def build_entry_key(version: int) -> str:
    """Return the key of an entry; keys sort by version."""
    return f"{ENTRY_PREFIX}{version:012d}"


def build_snapshot_name(version: int) -> str:
    """Return the name of a snapshot in the object store."""
    return f"configurations/{version:012d}"


def read_version(row: Row | None) -> int:
    """Return the version in a `head` or `snapshot` row; 0 if absent."""
    return 0 if row is None else int(row.value["version"])


def build_transaction(head: Row | None, entry: Entry) -> Transaction:
    """Return the transaction that appends the entry.

    It applies only if the head has not moved and the change id is not in the log.
    The transaction is idempotent, as the condition on `change/ID` lets it apply only
    once. If the answer was lost, send it again. This also decides the fate of a first
    copy that is still in flight: once the head has moved, that copy can't apply.
    """
    change = CHANGE_PREFIX + entry.edit.change_id
    version = {"version": entry.version}
    return Transaction(
        conditions=(
            Condition(CONFIGURATIONS, HEAD_KEY, 0 if head is None else head.revision),
            Condition(CONFIGURATIONS, change, 0),
        ),
        writes=(
            Write(CONFIGURATIONS, HEAD_KEY, version),
            Write(CONFIGURATIONS, build_entry_key(entry.version), encode(entry)),
            Write(CONFIGURATIONS, change, version),
        ),
    )


def interpret_result(
    entry: Entry, result: Committed | Conflict
) -> Accepted | HeadMoved:
    """Return what a transaction's result means for the edit.

    A conflict holds the current row of each failed condition. If only the head is
    among them, the change id is not in the log, and neither this transaction nor a
    copy of it can ever apply.
    """
    if isinstance(result, Committed):
        return Accepted(entry.version)
    rows = [row for row in result.rows if row is not None]
    for row in rows:
        if row.key == CHANGE_PREFIX + entry.edit.change_id:
            return Accepted(read_version(row))
    heads = [row for row in rows if row.key == HEAD_KEY]
    return HeadMoved(read_version(heads[0] if heads else None))


def encode_snapshot(configuration: Configuration) -> bytes:
    """Return the whole configuration as JSON."""
    snapshot = _Snapshot(
        configuration.version,
        tuple(configuration.contracts.values()),
        tuple(configuration.changes.values()),
        tuple(configuration.releases.values()),
    )
    return encode_bytes(snapshot)


def decode_snapshot(data: bytes) -> Configuration:
    """Return the configuration; raises `ProtocolError` if the data is invalid."""
    snapshot = decode_bytes(_Snapshot, data)
    owners = {
        key_hash: contract.customer
        for contract in snapshot.contracts
        for key_hash in contract.key_hashes
    }
    return Configuration(
        snapshot.version,
        {contract.customer: contract for contract in snapshot.contracts},
        {change.name: change for change in snapshot.changes},
        {release.model: release for release in snapshot.releases},
        owners,
    )
