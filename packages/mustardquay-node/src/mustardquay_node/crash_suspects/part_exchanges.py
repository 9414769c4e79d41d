"""Exchange of what gateways saw of parts, in datagrams of their own.

News goes at once to some gateways, and each of them passes on what was new to it, so
that it is everywhere after a few hops.

Epidemic news: Demers et al., "Epidemic algorithms for replicated database
maintenance", 1987.
"""

import asyncio
from collections.abc import Collection, Iterable, Sequence
from datetime import timedelta
from random import Random

from mustardquay.crashing_parts import PartRecord

from ..loops import start_loop
from .frames import NOTICE_PREFIX, PartNotice, decode_notice, encode_notice
from .links import GatewayLink, choose_recipients
from .part_reporters import PartReporter

__all__ = ["PartExchange"]

NEWS_INTERVAL = timedelta(milliseconds=20)
"""Least time between two datagrams of news."""
REPEAT_INTERVAL = timedelta(seconds=1)


class PartExchange:
    """Tells other gateways of parts, and hears from them."""

    def __init__(
        self, name: str, reporter: PartReporter, link: GatewayLink, random: Random
    ):
        """Take the name of this gateway, what it knows, and its link to others."""
        self._name = name
        self._reporter = reporter
        self._link = link
        self._random = random
        self._news = asyncio.Event()
        self._tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Start to hear and send news, and to repeat what is suspected."""
        self._link.add_channel(NOTICE_PREFIX, lambda data, _: self.receive(data))
        self._tasks = [
            start_loop(self._send_news, NEWS_INTERVAL),
            start_loop(self._repeat, REPEAT_INTERVAL, self._random),
        ]

    async def close(self) -> None:
        """Stop; other gateways keep what they know."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def notify(self) -> None:
        """Have news sent at once."""
        self._news.set()

    def receive(self, data: bytes) -> None:
        """Process a datagram of another gateway."""
        notice = decode_notice(data)
        if notice is None or notice.sender == self._name:
            return
        unknown_there = self._reporter.merge(notice.records)
        if unknown_there:
            self._send(unknown_there, [notice.sender])

    def note_registered(self, gateways: Collection[str]) -> None:
        """Tell gateways that have started, or are listed first, of refused parts."""
        records = self._reporter.list_refused_records()
        if not records:
            return
        neighbours = set(self._link.neighbours)
        names = [name for name in gateways if name in neighbours]
        self._send(records, names)

    async def _send_news(self) -> None:
        await self._news.wait()
        self._news.clear()
        records = self._reporter.take_records()
        if records:
            recipients = choose_recipients(self._link, self._name, self._random)
            self._send(records, recipients)
        if self._reporter.has_news:
            self._news.set()

    def _send(self, records: Sequence[PartRecord], names: Iterable[str]) -> None:
        notice = PartNotice(self._name, records)
        self._link.send_to(encode_notice(notice), names)

    def _repeat(self) -> None:
        self._reporter.repeat()
        if self._reporter.has_news:
            self._news.set()
