"""Encoding of the notices of list readers."""

from collections.abc import Sequence
from dataclasses import replace
from datetime import timedelta
from pathlib import Path

import capnp

from mustardquay.borders import or_none
from mustardquay.list_readers import ListNotice, ListRow, measure_row

__all__ = ["NOTICE_PREFIX", "decode_notice", "encode_notice"]

SCHEMA = capnp.load(str(Path(__file__).with_name("lists.capnp")))
NOTICE_PREFIX = b"L"
"""First byte of a notice; no digest and no other message begins with it."""
LAYOUT = 1
PART_BYTES = 1_050
"""Bytes of rows in one datagram, which stays below 1400 bytes when it is packed."""
MAX_PARTS = 11
"""Datagrams of one notice. Two successive ones have more than `PART_BYTES` of rows, and
a notice has at most the 6000 bytes of `change_windows.MAX_BYTES`."""
MAX_MS = 2**32 - 1


def encode_notice(notice: ListNotice) -> list[bytes]:
    """Return the datagrams of a notice."""
    groups = _split(notice.rows)
    return [
        _encode(replace(notice, rows=rows, part=part, parts=len(groups)))
        for part, rows in enumerate(groups)
    ]


@or_none
def decode_notice(data: bytes) -> ListNotice | None:
    """Return the notice of a datagram, or None if it is damaged."""
    read = SCHEMA.Notice.from_bytes_packed(data[len(NOTICE_PREFIX) :])
    is_valid = read.part < read.parts <= MAX_PARTS and read.base <= read.version
    if read.layout != LAYOUT or not is_valid:
        return None
    return ListNotice(
        read.sender,
        read.number,
        read.era,
        read.base,
        read.version,
        timedelta(milliseconds=read.ageMs),
        tuple(ListRow(r.key, r.value, r.version, r.deleted) for r in read.rows),
        read.part,
        read.parts,
        timedelta(milliseconds=read.graceMs),
        read.isAway,
    )


def _encode(notice: ListNotice) -> bytes:
    built = SCHEMA.Notice.new_message()
    built.layout = LAYOUT
    built.sender = notice.sender
    built.number = notice.number % 2**32
    built.era = notice.era
    built.base = notice.base
    built.version = notice.version
    built.ageMs = _to_milliseconds(notice.age)
    rows = built.init("rows", len(notice.rows))
    for each, row in zip(rows, notice.rows, strict=True):
        each.key, each.value = row.key, row.value
        each.version, each.deleted = row.version, row.deleted
    built.part, built.parts = notice.part, notice.parts
    built.graceMs = _to_milliseconds(notice.grace)
    built.isAway = notice.is_away
    return NOTICE_PREFIX + built.to_bytes_packed()


def _split(rows: Sequence[ListRow]) -> list[tuple[ListRow, ...]]:
    """Return the rows in groups that fit into one datagram each; one group at least."""
    groups: list[list[ListRow]] = [[]]
    size = 0
    for row in rows:
        size += measure_row(row)
        if groups[-1] and size > PART_BYTES:
            groups.append([])
            size = measure_row(row)
        groups[-1].append(row)
    return [tuple(group) for group in groups]


def _to_milliseconds(duration: timedelta) -> int:
    """Return whole milliseconds, rounded up: no exchange makes a state younger."""
    return min(-(-duration // timedelta(milliseconds=1)), MAX_MS)
