"""Encoding of the notices in which gateways exchange their counts."""

from collections.abc import Sequence
from dataclasses import dataclass
from datetime import datetime, timedelta
from pathlib import Path
from typing import Any

import capnp

from mustardquay.borders import or_none
from mustardquay.usage import EPOCH, Source, WindowUsage

__all__ = ["NOTICE_PREFIX", "UsageNotice", "decode_notice", "encode_notice"]

SCHEMA = capnp.load(str(Path(__file__).with_name("usage.capnp")))
NOTICE_PREFIX = b"U"
"""First byte of a notice; a digest never begins with it."""
LAYOUT = 1
MICROSECOND = timedelta(microseconds=1)


@dataclass(frozen=True, slots=True)
class UsageNotice:
    """What one process tells the others of usage."""

    source: Source
    sent_at: datetime
    """The sender's time of day, which may be wrong."""
    leads: bool = False
    """Whether the sender holds the lease of the reports."""
    windows: Sequence[WindowUsage] = ()
    delivered: Sequence[int] = ()
    """Windows whose reports the platform has accepted."""


def encode_notice(notice: UsageNotice) -> bytes:
    """Return the datagram of a notice."""
    message = SCHEMA.Notice.new_message()
    message.layout = LAYOUT
    message.gateway = notice.source.gateway
    message.incarnation = notice.source.incarnation
    message.sentMicroseconds = (notice.sent_at - EPOCH) // MICROSECOND
    message.leads = notice.leads
    message.delivered = list(notice.delivered)
    windows = message.init("windows", len(notice.windows))
    for built, usage in zip(windows, notice.windows, strict=True):
        _write_window(built, usage)
    return NOTICE_PREFIX + message.to_bytes_packed()


@or_none
def decode_notice(data: bytes) -> UsageNotice | None:
    """Return the notice of a datagram, or None if it can't be decoded."""
    message = SCHEMA.Notice.from_bytes_packed(data[len(NOTICE_PREFIX) :])
    if message.layout != LAYOUT:
        return None
    return UsageNotice(
        Source(message.gateway, message.incarnation),
        EPOCH + message.sentMicroseconds * MICROSECOND,
        message.leads,
        [_read_window(each) for each in message.windows],
        list(message.delivered),
    )


def _write_window(built: Any, usage: WindowUsage) -> None:
    built.window = usage.window
    built.closed = usage.is_closed
    built.total = usage.total
    counts = built.init("counts", len(usage.counts))
    for each, (organisation, count) in zip(counts, usage.counts.items(), strict=True):
        each.organisation = organisation
        each.count = count


def _read_window(message: Any) -> WindowUsage:
    counts = {each.organisation: each.count for each in message.counts}
    return WindowUsage(message.window, counts, message.closed, message.total)
