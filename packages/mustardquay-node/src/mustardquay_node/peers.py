"""Peers: digests between gateways, as datagrams, to those that the store lists.

A datagram needs no connection that could go silent: what does not arrive is replaced
by the next one.
"""

import asyncio
import logging
from bisect import bisect
from collections.abc import Callable, Collection, Iterable, Sequence
from datetime import timedelta
from random import Random
from typing import Any

import orjson

from mustardquay.clocks import Clock
from mustardquay.errors import MustardquayError
from mustardquay.events import EventRing
from mustardquay.peer_digests import PeerDigest
from mustardquay.tables import Transaction, Write

from .adapters import StoreRow, StoreTables
from .connections import split_address
from .digest_frames import decode_digest, encode_digest

__all__ = [
    "PEERS_TABLE",
    "PeerLink",
    "list_told",
]

logger = logging.getLogger(__name__)

PEERS_TABLE = "gateways"
"""Table where each gateway writes its address, once in its life."""
BUSY_INTERVAL = timedelta(milliseconds=40)
"""Least time between digests; an engine reads some two prompts in it."""
PEER_INTERVAL = timedelta(milliseconds=2.5)
"""The same for each peer that is told, so that many peers don't make a gateway spend
more: some 400 datagrams a second at most."""
STEADY_INTERVAL = timedelta(milliseconds=200)
"""Most time between digests of work that does not change: lost ones are replaced well
within the time for which a digest counts."""
IDLE_INTERVAL = timedelta(milliseconds=400)
"""The same without work."""
DATAGRAM_LIMIT = 1400
"""Bytes; more would be split into several packets, of which one lost loses all."""
PARTS_LIMIT = 60
"""Parts in one datagram: with their engines they stay within the limit."""
PEERS_LIMIT = 32
"""Peers that are told, the nearest in the order of names. More would cost a
large fleet too much."""
REGISTER_SPREAD = timedelta(seconds=1)
"""Time over which gateways list their addresses again."""
REGISTER_RETRY = timedelta(seconds=1)
FAREWELL_LIMIT = timedelta(milliseconds=300)
"""How long the store may take for the last call: the platform kills a process that
stops one second after its time to drain. An address that stays listed harms nobody."""


class PeerLink(asyncio.DatagramProtocol):
    """Tells the other gateways what this one has outstanding."""

    def __init__(
        self,
        name: str,
        address: str,
        store: StoreTables,
        clock: Clock,
        events: EventRing,
        build: Callable[[], PeerDigest],
        hear: Callable[[PeerDigest], None],
        note_listed: Callable[[Collection[str], int], None] = lambda told, others: None,
        random: Random | None = None,
    ):
        """Take `build`, which makes the next digest, and `hear` for those of others.

        `note_listed` hears of the gateways that are listed: which ones this one tells
        and is told by, and how many there are besides.
        """
        self._name = name
        self._address = address
        self._store = store
        self._clock = clock
        self._events = events
        self._build = build
        self._hear = hear
        self._note_listed = note_listed
        self._random = random or Random(name)
        self._peers: dict[str, tuple[str, int]] = {}
        self._hurry = asyncio.Event()
        self._changed = asyncio.Event()
        self._transport: asyncio.DatagramTransport | None = None
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Listen, and begin to tell."""
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=split_address(self._address)
        )
        host, port = self._transport.get_extra_info("sockname")
        self._address = f"{host}:{port}"
        self._tasks = [
            asyncio.create_task(self._register()),
            asyncio.create_task(self._tell_forever()),
        ]

    async def close(self) -> None:
        """Stop, and take the address back."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        if self._transport is not None:
            self._transport.close()
        write = Write(PEERS_TABLE, self._name, None)
        try:
            async with asyncio.timeout(FAREWELL_LIMIT.total_seconds()):
                await self._store.transact(Transaction(writes=(write,)))
        except (MustardquayError, TimeoutError) as error:
            logger.info("The address stays listed: %r", error)

    @property
    def count(self) -> int:
        """Return how many gateways are listed, this one included."""
        return len(self._peers) + 1

    def hurry(self) -> None:
        """Send the next digest now: there is news that can't wait."""
        self._hurry.set()
        self._changed.set()

    def note_change(self) -> None:
        """Send the next digest as soon as one may follow the last one."""
        self._changed.set()

    def take_rows(self, rows: Sequence[StoreRow], is_whole: bool) -> None:
        """Take in the addresses of the gateways."""
        if is_whole:
            self._peers.clear()
        for row in rows:
            if row.key == self._name:
                continue
            address = None if row.deleted else _read_address(row.value)
            if address is None:
                self._peers.pop(row.key, None)
            else:
                self._peers[row.key] = address
        self._events.record("peers.listed", peers=len(self._peers))
        told = list_told(self._name, self._peers)
        self._note_listed(told, len(self._peers) - len(told))

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """Take in a datagram."""
        digest = decode_digest(data)
        if digest is None:
            self._events.record("peer.unreadable", address=str(addr))
        elif digest.gateway != self._name:
            self._hear(digest)

    def error_received(self, exc: Exception) -> None:
        """Leave a peer that does not listen to the next digest."""

    def note_era(self) -> None:
        """List the address again: the copy that the store came back from may lack it.

        Spread in time, as all gateways do so at once.
        """
        delay = REGISTER_SPREAD * self._random.random()
        self._tasks.append(asyncio.create_task(self._register(delay)))

    async def _register(self, delay: timedelta = timedelta()) -> None:
        await asyncio.sleep(delay.total_seconds())
        value = {"address": self._address}
        write = Write(PEERS_TABLE, self._name, value)
        while True:
            try:
                await self._store.transact(Transaction(writes=(write,)))
                return
            except MustardquayError as error:
                logger.info("The address is not listed yet: %s", error)
                await asyncio.sleep(REGISTER_RETRY.total_seconds())

    async def _tell_forever(self) -> None:
        while True:
            digest = self._build()
            if self._peers:
                self._send(encode_digest(digest))
            told = min(len(self._peers), PEERS_LIMIT)
            await self._wait_for(self._hurry, max(BUSY_INTERVAL, told * PEER_INTERVAL))
            if digest.demands is None:
                steady = STEADY_INTERVAL if digest.engines else IDLE_INTERVAL
                await self._wait_for(self._changed, steady)
            self._hurry.clear()
            self._changed.clear()

    async def _wait_for(self, event: asyncio.Event, limit: timedelta) -> None:
        try:
            async with asyncio.timeout(limit.total_seconds()):
                await event.wait()
        except TimeoutError:
            return

    def _send(self, data: bytes) -> None:
        assert self._transport is not None
        if len(data) > DATAGRAM_LIMIT:
            self._events.record("peer.digest_large", bytes=len(data))
        for name in list_told(self._name, self._peers):
            self._transport.sendto(data, self._peers[name])


def list_told(name: str, peers: Iterable[str]) -> list[str]:
    """Return the peers that a gateway tells: its neighbours, around the ring.

    Guards against gateways that nobody tells: if all told the same few, the others of
    a large fleet would place work as if they were alone. On both sides, since names
    begin with those of availability zones: the first of one would hear of no other one
    there, and not know whether callers need it while it stops.

    >>> list_told("c", ["a", "b", "d"])
    ['d', 'a', 'b']
    """
    names = sorted(peers)
    first = bisect(names, name)
    ring = names[first:] + names[:first]
    if len(ring) <= PEERS_LIMIT:
        return ring
    return ring[: PEERS_LIMIT // 2] + ring[-PEERS_LIMIT // 2 :]


def _read_address(value: bytes) -> tuple[str, int] | None:
    try:
        return split_address(orjson.loads(value)["address"])
    except (ValueError, KeyError, TypeError):
        return None
