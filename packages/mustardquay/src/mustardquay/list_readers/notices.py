"""Notices of list readers, and the reads that they are made of.

The load condition: datagrams are lost, doubled and reordered. Each notice repeats the
changes of the last seconds, so that no single one is needed.
"""

from dataclasses import dataclass
from datetime import timedelta

from ..store_eras import StorePosition
from ..upstream_lists import UpstreamRecord

__all__ = ["ListNotice", "ListRead", "ListRow", "ReadRow"]


@dataclass(frozen=True, slots=True)
class ListRow:
    """A row of the list of upstreams, as in the store."""

    key: str
    value: bytes
    version: int
    deleted: bool = False


@dataclass(frozen=True, slots=True)
class ReadRow:
    """A row that was read, with what it contains."""

    row: ListRow
    record: UpstreamRecord | None
    """None for a removed row, and for one that can't be decoded."""


@dataclass(frozen=True, slots=True)
class ListRead:
    """A read of the list from the store."""

    before: StorePosition | None
    """The position that the read continued from; None for a first read."""
    position: StorePosition
    rows: tuple[ReadRow, ...]
    is_whole: bool
    begun_at: timedelta
    """When the read began; the store had the state of `position` then or later."""


@dataclass(frozen=True, slots=True)
class ListNotice:
    """A notice of a list reader, or one part of it.

    All parts together contain each row with a relevant change in the versions after
    `base`, up to `version`.
    """

    sender: str
    number: int
    """Increases with each notice of a sender; its parts have the same."""
    era: int
    base: int
    version: int
    age: timedelta
    """Time since the reader began the read that returned `version`."""
    rows: tuple[ListRow, ...] = ()
    part: int = 0
    parts: int = 1
    grace: timedelta = timedelta()
    """For how much longer the sender keeps entries that lapsed in an outage."""
    is_away: bool = False
    """Whether the store doesn't answer the sender."""
