"""Fetches the configuration from another gateway while the store does not send it."""

import asyncio
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass
from datetime import timedelta
from random import Random

from tornado.httputil import HTTPHeaders

from mustardquay.clocks import Clock
from mustardquay.configuration_sources import (
    ConfigurationSource,
    choose_source,
    find_relay_delay,
)
from mustardquay.events import EventRing

from ..connections import ConnectionPool, Exchange, ExchangeEnd
from ..loops import cancel_task
from ..sleeps import Sleep, sleep as default_sleep
from .documents import RelayedDocument, encode_query, read_document

__all__ = ["ConfigurationRelay", "RelayDependencies"]

CHECK_INTERVAL = timedelta(milliseconds=100)
"""Time between checks while a newer version is known."""
FETCH_TIMEOUT = timedelta(seconds=1)
"""Time for one document: a megabyte takes 0.8 s at 10 Mbit/s."""
RETRY_DELAY = timedelta(milliseconds=500)
"""Pause after all gateways with a newer version were asked in vain."""


@dataclass(frozen=True, slots=True)
class RelayDependencies:
    """Dependencies of `ConfigurationRelay`."""

    clock: Clock
    random: Random
    events: EventRing
    availability_zone: str
    get_version: Callable[[], int]
    """Returns the version in force here."""
    measure_lag: Callable[[], timedelta]
    """Returns for how long a newer version has been known."""
    get_bound: Callable[[], timedelta]
    """Returns the time in which a version must be in force everywhere."""
    is_decoding: Callable[[], bool]
    """Returns whether a version is being decoded."""
    list_sources: Callable[[], Sequence[ConfigurationSource]]
    find_host: Callable[[str], str | None]
    """Returns the IP number of a gateway, None if it isn't listed."""
    apply: Callable[[RelayedDocument, str], Awaitable[None]]
    """Puts a document of a gateway into force if it is newer."""


class ConfigurationRelay:
    """Asks other gateways for a version that is known and does not come."""

    def __init__(self, deps: RelayDependencies, sleep: Sleep = default_sleep):
        self._deps = deps
        self._sleep = sleep
        self._is_behind = asyncio.Event()
        self._tried: set[str] = set()
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Wait for news of versions that are not in force here."""
        self._task = asyncio.create_task(self._run())

    async def close(self) -> None:
        """Stop, also in the middle of a fetch."""
        await cancel_task(self._task)

    def note_behind(self) -> None:
        """Note that another gateway has a newer version in force."""
        self._is_behind.set()

    async def _run(self) -> None:
        while True:
            await self._is_behind.wait()
            self._is_behind.clear()
            self._tried.clear()
            while self._deps.measure_lag():
                await self._sleep(CHECK_INTERVAL)
                await self._check()

    async def _check(self) -> None:
        """Ask another gateway if that is due.

        The relay must survive any error: without it, this gateway would refuse its
        callers until the store answers again.
        """
        try:
            if self._is_due():
                await self._fetch()
        except Exception as error:
            self._deps.events.record("configuration.relay_failed", error=repr(error))
            await self._sleep(RETRY_DELAY)

    def _is_due(self) -> bool:
        deps = self._deps
        if deps.is_decoding():
            return False
        return deps.measure_lag() >= find_relay_delay(deps.get_bound())

    async def _fetch(self) -> None:
        deps = self._deps
        source = choose_source(
            deps.list_sources(),
            deps.get_version(),
            deps.availability_zone,
            self._tried,
            deps.random,
        )
        if source is None:
            self._tried.clear()
            await self._sleep(RETRY_DELAY)
            return
        self._tried.add(source.gateway)
        host = deps.find_host(source.gateway)
        document = None if host is None else await self._ask(f"{host}:{source.port}")
        deps.events.record(
            "configuration.asked",
            gateway=source.gateway,
            version=deps.get_version(),
            known=source.version,
            received=document.version if document else 0,
            behind_ms=round(deps.measure_lag().total_seconds() * 1000),
        )
        if document is not None:
            await deps.apply(document, source.gateway)

    async def _ask(self, address: str) -> RelayedDocument | None:
        """Return the document of the gateway at an address, None if it sends none."""
        # A kept connection may have gone silent; this one is needed once in a while.
        pool = ConnectionPool(address, self._deps.clock, 1, timedelta())
        headers = HTTPHeaders({"Host": address})
        path = encode_query(self._deps.get_version())
        exchange = Exchange("GET", path, headers)
        try:
            async with asyncio.timeout(FETCH_TIMEOUT.total_seconds()):
                end = await pool.run(exchange)
        except TimeoutError:
            return None
        finally:
            pool.close()
        if end != ExchangeEnd.WHOLE or exchange.head is None:
            return None
        return read_document(exchange.head, exchange.content)
