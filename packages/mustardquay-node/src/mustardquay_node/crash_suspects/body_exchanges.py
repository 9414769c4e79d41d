"""Exchange of what gateways saw of requests that crash upstreams.

News goes in datagrams of its own, as many as it takes, and each gateway passes on what
was new to it. Digests repeat all suspects slowly, for gateways that started later.

Epidemic news: Demers et al., "Epidemic algorithms for replicated database
maintenance", 1987.
"""

import asyncio
from collections.abc import Sequence
from datetime import timedelta
from random import Random

from mustardquay.quarantines import CrashRecord

from ..digest_frames import DATAGRAM_LIMIT, decode_crashes, encode_crashes
from ..loops import cancel_task, start_loop
from .body_reporters import CrashReporter
from .links import GatewayLink, choose_recipients

__all__ = ["BodyExchange"]

NEWS_PREFIX = b"B"
NEWS_INTERVAL = timedelta(milliseconds=20)
"""Least time between two datagrams of news."""
RECORDS_LIMIT = 12
"""Records that are told at a time; with two crashes each they fit in a datagram."""


class BodyExchange:
    """Tells other gateways of requests that crash upstreams, and hears from them."""

    def __init__(
        self, name: str, reporter: CrashReporter, link: GatewayLink, random: Random
    ):
        """Take the name of this gateway, what it knows, and its link to others."""
        self._name = name
        self._reporter = reporter
        self._link = link
        self._random = random
        self._has_news = asyncio.Event()
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start to hear and send news."""
        self._link.add_channel(NEWS_PREFIX, lambda data, _: self.receive(data))
        self._reporter.on_news = self._has_news.set
        self._task = start_loop(self._send_news, NEWS_INTERVAL)

    async def close(self) -> None:
        """Stop; other gateways keep what they know."""
        await cancel_task(self._task)

    def receive(self, data: bytes) -> None:
        """Process a datagram of another gateway."""
        records = decode_crashes(data[len(NEWS_PREFIX) :])
        if records:
            self._reporter.merge(records)

    async def _send_news(self) -> None:
        await self._has_news.wait()
        records = self._reporter.take_news(RECORDS_LIMIT)
        if not records:
            self._has_news.clear()
            return
        recipients = choose_recipients(self._link, self._name, self._random)
        for data in _encode(records):
            self._link.send_to(data, recipients)


def _encode(records: Sequence[CrashRecord]) -> list[bytes]:
    """Return the datagrams of records, none of which is fragmented."""
    data = NEWS_PREFIX + encode_crashes(records)
    if len(data) <= DATAGRAM_LIMIT or len(records) == 1:
        return [data]
    half = len(records) // 2
    return _encode(records[:half]) + _encode(records[half:])
