"""Encoding of the notices in which gateways exchange the records of parts."""

from collections.abc import Sequence
from dataclasses import dataclass
from datetime import timedelta
from itertools import islice
from pathlib import Path

import capnp

from mustardquay.borders import or_none
from mustardquay.crashing_parts import PartRecord

__all__ = ["NOTICE_PREFIX", "PartNotice", "decode_notice", "encode_notice"]

SCHEMA = capnp.load(str(Path(__file__).with_name("parts.capnp")))
NOTICE_PREFIX = b"C"
"""First byte of a notice; no other datagram begins with it."""
LAYOUT = 1
MAX_SECONDS = 2**16 - 1
MAX_DEPTH = 2**8 - 1


@dataclass(frozen=True, slots=True)
class PartNotice:
    """What one gateway tells others of parts."""

    sender: str
    records: Sequence[PartRecord]


def encode_notice(notice: PartNotice) -> bytes:
    """Return the datagram of a notice."""
    message = SCHEMA.Notice.new_message()
    message.layout = LAYOUT
    message.sender = notice.sender
    records = notice.records
    message.parts = [each.part for each in records]
    message.remainingSeconds = [_to_seconds(each.remaining) for each in records]
    message.depths = [min(each.depth, MAX_DEPTH) for each in records]
    message.crashedApart = [each.has_crashed_apart for each in records]
    message.crashed = [len(each.crashed) for each in records]
    message.answered = [len(each.answered) for each in records]
    message.starts = [
        start
        for each in records
        for start in (*sorted(each.crashed), *sorted(each.answered))
    ]
    return NOTICE_PREFIX + message.to_bytes_packed()


@or_none
def decode_notice(data: bytes) -> PartNotice | None:
    """Return the notice of a datagram, or None if it can't be decoded."""
    message = SCHEMA.Notice.from_bytes_packed(data[len(NOTICE_PREFIX) :])
    if message.layout != LAYOUT:
        return None
    starts = iter(list(message.starts))
    columns = (
        message.parts,
        message.remainingSeconds,
        message.crashed,
        message.answered,
        message.depths,
        message.crashedApart or [False] * len(message.parts),
    )
    records = [
        PartRecord(
            part,
            frozenset(islice(starts, crashed)),
            frozenset(islice(starts, answered)),
            depth,
            has_crashed_apart,
            timedelta(seconds=seconds),
        )
        for part, seconds, crashed, answered, depth, has_crashed_apart in zip(
            *map(list, columns), strict=True
        )
    ]
    return PartNotice(message.sender, records)


def _to_seconds(remaining: timedelta) -> int:
    """Return whole seconds, rounded down: no exchange makes a record last longer."""
    return min(int(remaining.total_seconds()), MAX_SECONDS)
