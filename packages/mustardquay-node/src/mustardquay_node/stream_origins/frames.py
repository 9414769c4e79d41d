"""Encoding of the messages in which gateways exchange the origins of streams."""

from collections.abc import Sequence
from dataclasses import dataclass
from datetime import timedelta
from pathlib import Path

import capnp

from mustardquay.borders import or_none
from mustardquay.streams import OriginRecord, StreamOrigin, group_by_origin

__all__ = ["MESSAGE_PREFIX", "OriginMessage", "decode_message", "encode_message"]

SCHEMA = capnp.load(str(Path(__file__).with_name("origins.capnp")))
MESSAGE_PREFIX = b"O"
"""First byte of a message; no digest and no usage notice begins with it."""
LAYOUT = 1
MAX_SECONDS = 2**16 - 1


@dataclass(frozen=True, slots=True)
class OriginMessage:
    """What one gateway tells and asks others."""

    sender: str
    records: Sequence[OriginRecord] = ()
    questions: Sequence[int] = ()
    """Keys of streams whose origins the sender asks for."""
    answered: Sequence[int] = ()
    """Keys that the sender was asked for."""


def encode_message(message: OriginMessage) -> bytes:
    """Return the datagram of a message."""
    built = SCHEMA.Message.new_message()
    built.layout = LAYOUT
    built.sender = message.sender
    built.questions = list(message.questions)
    built.answered = list(message.answered)
    groups = group_by_origin(message.records)
    origins = built.init("origins", len(groups))
    for each, (origin, records) in zip(origins, groups.items(), strict=True):
        each.service = origin.service
        each.version = origin.version
        each.keys = [record.key for record in records]
        each.seconds = [_to_seconds(record.lifetime) for record in records]
    return MESSAGE_PREFIX + built.to_bytes_packed()


@or_none
def decode_message(data: bytes) -> OriginMessage | None:
    """Return the message of a datagram, or None if it can't be decoded."""
    read = SCHEMA.Message.from_bytes_packed(data[len(MESSAGE_PREFIX) :])
    if read.layout != LAYOUT:
        return None
    records = [
        OriginRecord(key, origin, timedelta(seconds=seconds))
        for each in read.origins
        for origin in [StreamOrigin(each.service, each.version)]
        for key, seconds in zip(each.keys, each.seconds, strict=True)
    ]
    return OriginMessage(
        read.sender, records, list(read.questions), list(read.answered)
    )


def _to_seconds(lifetime: timedelta) -> int:
    """Return whole seconds, rounded down: no exchange makes a lifetime longer."""
    return min(int(lifetime.total_seconds()), MAX_SECONDS)
