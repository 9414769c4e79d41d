"""Exchange of what gateways saw of parts, in datagrams of their own.

News goes at once to the neighbours in the ring of gateways and to some others, and each
gateway passes on what was new to it, so that it is everywhere after a few hops.
"""

import asyncio
from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass
from datetime import timedelta
from random import Random

from ..loops import start_loop
from .frames import PartNotice, decode_notice, encode_notice
from .part_reporters import PartReporter

__all__ = ["PartExchange", "PartExchangeDependencies", "choose_recipients"]

NEWS_INTERVAL = timedelta(milliseconds=50)
"""Least time between two datagrams of news."""
REPEAT_INTERVAL = timedelta(seconds=1)
FAR_RECIPIENTS = 4
"""Recipients beside the neighbours, drawn anew for each datagram: in a large fleet news
would need dozens of hops around the ring."""


@dataclass(frozen=True, slots=True)
class PartExchangeDependencies:
    """What a gateway provides."""

    name: str
    """Name of this gateway."""
    random: Random
    send: Callable[[bytes, Iterable[str]], None]
    """Sends a datagram to some gateways."""
    list_gateways: Callable[[], Collection[str]]
    """Lists the registered gateways, including this one."""
    list_neighbours: Callable[[], Collection[str]]
    """Lists the gateways that exchange digests with this one."""


class PartExchange:
    """Tells other gateways of parts, and hears from them."""

    def __init__(self, reporter: PartReporter, deps: PartExchangeDependencies):
        self._reporter = reporter
        self._deps = deps
        self._news = asyncio.Event()
        self._tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Start to send news, and to repeat what is suspected."""
        self._tasks = [
            start_loop(self._send_news, NEWS_INTERVAL),
            start_loop(self._repeat, REPEAT_INTERVAL, self._deps.random),
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
        if notice is not None and notice.sender != self._deps.name:
            self._reporter.merge(notice.records)

    def note_registered(self, gateways: Collection[str]) -> None:
        """Tell gateways that have started, or are listed first, of refused parts."""
        neighbours = set(self._deps.list_neighbours())
        names = [name for name in gateways if name in neighbours]
        records = self._reporter.list_refused_records()
        if names and records:
            notice = PartNotice(self._deps.name, records)
            self._deps.send(encode_notice(notice), names)

    async def _send_news(self) -> None:
        await self._news.wait()
        self._news.clear()
        records = self._reporter.take_records()
        if records:
            recipients = choose_recipients(self._deps)
            notice = PartNotice(self._deps.name, records)
            self._deps.send(encode_notice(notice), recipients)
        if self._reporter.has_news:
            self._news.set()

    def _repeat(self) -> None:
        self._reporter.repeat()
        if self._reporter.has_news:
            self._news.set()


def choose_recipients(deps: PartExchangeDependencies) -> list[str]:
    """Return the neighbours, and a few gateways that are drawn from all others."""
    neighbours = [name for name in deps.list_neighbours() if name != deps.name]
    others = sorted({*deps.list_gateways()} - {deps.name, *neighbours})
    far = deps.random.sample(others, min(FAR_RECIPIENTS, len(others)))
    return neighbours + far
