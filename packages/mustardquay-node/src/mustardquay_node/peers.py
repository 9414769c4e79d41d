"""Exchange of digests between the gateways listed in the store, over UDP.

Datagrams need no connections, which could hang: a lost digest is replaced by the next
one.
"""

import asyncio
import logging
from bisect import bisect
from collections.abc import Callable, Collection, Iterable, Sequence
from datetime import timedelta
from random import Random
from typing import Any

import orjson

from mustardquay.borders import or_none
from mustardquay.clocks import Clock
from mustardquay.errors import MustardquayError
from mustardquay.events import EventRing
from mustardquay.peer_digests import PeerDigest
from mustardquay.tables import Transaction, Write

from .adapters import StoreRow, StoreTables
from .connections import split_address
from .digest_frames import DATAGRAM_LIMIT, decode_digest, encode_digest

__all__ = [
    "PEERS_TABLE",
    "Address",
    "PeerLink",
    "list_recipients",
]

logger = logging.getLogger(__name__)

Address = tuple[str, int]
"""IP address and port of a gateway."""
PEERS_TABLE = "gateways"
"""Table in which each gateway registers its address when it starts."""
BUSY_INTERVAL = timedelta(milliseconds=40)
"""Minimum time between digests; an engine prefills some two prompts in it."""
PEER_INTERVAL = timedelta(milliseconds=2.5)
"""Minimum time between digests for each recipient, which limits a gateway with many
peers to some 400 datagrams a second."""
STEADY_INTERVAL = timedelta(milliseconds=200)
"""Maximum time between digests while there is outstanding work that does not change, so
that a lost one is replaced well before the previous one expires."""
IDLE_INTERVAL = timedelta(milliseconds=400)
"""Maximum time between digests without outstanding work."""
MAX_PLACED_PARTS = 60
"""Prompt parts in one digest: with their engines they fit into `DATAGRAM_LIMIT`."""
MAX_RECIPIENTS = 32
"""Recipients of the digests of one gateway, its neighbours in the order of names. More
would be too expensive in a large fleet."""
REGISTER_SPREAD = timedelta(seconds=1)
"""Time over which the gateways spread their new registrations after a restore of the
store."""
REGISTER_RETRY = timedelta(seconds=1)
DEREGISTER_TIMEOUT = timedelta(milliseconds=300)
"""Timeout of the call that removes the registration: the platform kills a stopping
process one second after its drain timeout. An address that stays registered has no
further effect."""


class PeerLink(asyncio.DatagramProtocol):
    """Sends the digests of this gateway to its peers and receives theirs."""

    def __init__(
        self,
        name: str,
        address: str,
        store: StoreTables,
        clock: Clock,
        events: EventRing,
        build: Callable[[], PeerDigest],
        apply_digest: Callable[[PeerDigest], None],
        set_gateways: Callable[[Collection[str], int], None] = lambda senders, others: (
            None
        ),
        random: Random | None = None,
        note_registered: Callable[[Collection[str]], None] = lambda names: None,
        availability_zone: str = "",
    ):
        """Initialise without peers; `build` returns the next digest of this gateway.

        `apply_digest` is called with each digest received. `set_gateways` is called
        with each new list of gateways: those that exchange digests with this one, and
        the number of the others. `note_registered` is called after it with the names of
        gateways that have started, or are listed for the first time.
        """
        self._name = name
        self._address = address
        self._store = store
        self._clock = clock
        self._events = events
        self._build = build
        self._apply_digest = apply_digest
        self._set_gateways = set_gateways
        self._note_registered = note_registered
        self._random = random or Random(name)
        self._availability_zone = availability_zone
        self._peers: dict[str, Address] = {}
        self._zones: dict[str, str] = {}
        self._heard_at: timedelta | None = None
        self._channels: dict[bytes, Callable[[bytes, Address], None]] = {}
        """Receivers of other datagrams than digests, by their first byte."""
        self._urgent = asyncio.Event()
        self._changed = asyncio.Event()
        self._transport: asyncio.DatagramTransport | None = None
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Open the socket, register the address and start to send digests."""
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=split_address(self._address)
        )
        host, port = self._transport.get_extra_info("sockname")
        self._address = f"{host}:{port}"
        self._tasks = [
            asyncio.create_task(self._register()),
            asyncio.create_task(self._send_forever()),
        ]

    async def close(self) -> None:
        """Stop, and remove the registration of the address."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        if self._transport is not None:
            self._transport.close()
        write = Write(PEERS_TABLE, self._name, None)
        try:
            async with asyncio.timeout(DEREGISTER_TIMEOUT.total_seconds()):
                await self._store.transact(Transaction(writes=(write,)))
        except (MustardquayError, TimeoutError) as error:
            logger.info("Could not remove the registered peer address: %r", error)

    @property
    def address(self) -> str:
        """Return the address of this gateway; after `start`, with the port in use."""
        return self._address

    @property
    def count(self) -> int:
        """Return the number of listed gateways, including this one."""
        return len(self._peers) + 1

    @property
    def names(self) -> list[str]:
        """Return the names of the listed gateways, including this one."""
        return sorted({*self._peers, self._name})

    @property
    def name(self) -> str:
        """Return the name of this gateway."""
        return self._name

    @property
    def zones(self) -> dict[str, str]:
        """Return the availability zone of each listed gateway and of this one.

        It is empty for a gateway that has not registered one.
        """
        return {**self._zones, self._name: self._availability_zone}

    @property
    def heard_at(self) -> timedelta | None:
        """Return when the last datagram of another gateway arrived."""
        return self._heard_at

    @property
    def neighbours(self) -> list[str]:
        """Return the names of the recipients of this gateway's digests."""
        return list_recipients(self._name, self._peers)

    def find_host(self, name: str) -> str | None:
        """Return the IP number of another gateway, None if it isn't listed."""
        address = self._peers.get(name)
        return None if address is None else address[0]

    def add_channel(
        self, prefix: bytes, receive: Callable[[bytes, Address], None]
    ) -> None:
        """Pass on datagrams that begin with a prefix, which no digest begins with.

        `receive` is called with the datagram and the address that it came from.
        """
        self._channels[prefix] = receive

    def send_datagram(self, data: bytes, more: Collection[str] = ()) -> None:
        """Send a datagram to the recipients of digests, and to some gateways more."""
        self.send_to(data, dict.fromkeys([*self.neighbours, *more]))

    def send_to(self, data: bytes, names: Iterable[str]) -> None:
        """Send a datagram to some gateways; those that aren't listed are left out."""
        if self._transport is None or self._transport.is_closing():
            return
        for name in names:
            address = self._peers.get(name)
            if address is not None:
                self._transport.sendto(data, address)

    def reply(self, data: bytes, address: Address) -> None:
        """Send a datagram to the sender of another one, which may not be listed yet."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.sendto(data, address)

    def send_now(self) -> None:
        """Send the next digest as soon as possible, for urgent changes."""
        self._urgent.set()
        self._changed.set()

    def note_change(self) -> None:
        """Send the next digest once the minimum interval since the last one is over."""
        self._changed.set()

    def apply_rows(self, rows: Sequence[StoreRow], is_whole: bool) -> None:
        """Apply rows of the table of gateways: all if `is_whole`, else changes."""
        if is_whole:
            self._peers.clear()
            self._zones.clear()
        registered = {row.key for row in rows if not row.deleted}
        for row in rows:
            if row.key == self._name:
                continue
            registered_as = None if row.deleted else _read_registration(row.value)
            if registered_as is None:
                self._peers.pop(row.key, None)
                self._zones.pop(row.key, None)
            else:
                self._peers[row.key], self._zones[row.key] = registered_as
        self._events.record("peers.listed", peers=len(self._peers))
        recipients = list_recipients(self._name, self._peers)
        self._set_gateways(recipients, len(self._peers) - len(recipients))
        self._note_registered(registered - {self._name})

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """Decode a datagram and pass on its digest, unless it is this gateway's own."""
        self._heard_at = self._clock.monotonic()
        receive = self._channels.get(data[:1])
        if receive is not None:
            receive(data, addr)
            return
        digest = decode_digest(data)
        if digest is None:
            self._events.record("peer.unreadable", address=str(addr))
        elif digest.gateway != self._name:
            self._apply_digest(digest)

    def error_received(self, exc: Exception) -> None:
        """Ignore an unreachable peer; the next digest is sent to it as well."""

    def note_era(self) -> None:
        """Register the address again: the restored copy of the store may lack it.

        After a random delay, as all gateways register at the same time.
        """
        delay = REGISTER_SPREAD * self._random.random()
        self._tasks.append(asyncio.create_task(self._register(delay)))

    async def _register(self, delay: timedelta = timedelta()) -> None:
        await asyncio.sleep(delay.total_seconds())
        value = {"address": self._address, "zone": self._availability_zone}
        write = Write(PEERS_TABLE, self._name, value)
        while True:
            try:
                await self._store.transact(Transaction(writes=(write,)))
                return
            except MustardquayError as error:
                logger.info(
                    "Could not register the peer address, will retry: %s", error
                )
                await asyncio.sleep(REGISTER_RETRY.total_seconds())

    async def _send_forever(self) -> None:
        while True:
            digest = self._build()
            if self._peers:
                self._send(encode_digest(digest))
            recipients = min(len(self._peers), MAX_RECIPIENTS)
            await self._wait_for(
                self._urgent, max(BUSY_INTERVAL, recipients * PEER_INTERVAL)
            )
            if digest.demands is None:
                steady = STEADY_INTERVAL if digest.engines else IDLE_INTERVAL
                await self._wait_for(self._changed, steady)
            self._urgent.clear()
            self._changed.clear()

    async def _wait_for(self, event: asyncio.Event, limit: timedelta) -> None:
        try:
            async with asyncio.timeout(limit.total_seconds()):
                await event.wait()
        except TimeoutError:
            return

    def _send(self, data: bytes) -> None:
        if len(data) > DATAGRAM_LIMIT:
            self._events.record("peer.digest_large", bytes=len(data))
        self.send_datagram(data)


def list_recipients(name: str, peers: Iterable[str]) -> list[str]:
    """Return the recipients of a gateway's digests: its neighbours in a ring of names.

    Guards against gateways that receive no digests: if all gateways sent theirs to the
    same few, the others of a large fleet would place work as if they were alone.
    Neighbours on both sides are chosen since names begin with those of availability
    zones: otherwise the first gateway of a zone would receive nothing from others of
    that zone, and could not tell while it stops whether callers still need it.

    >>> list_recipients("c", ["a", "b", "d"])
    ['d', 'a', 'b']
    """
    names = sorted(peers)
    first = bisect(names, name)
    ring = names[first:] + names[:first]
    if len(ring) <= MAX_RECIPIENTS:
        return ring
    return ring[: MAX_RECIPIENTS // 2] + ring[-MAX_RECIPIENTS // 2 :]


@or_none
def _read_registration(value: bytes) -> tuple[Address, str] | None:
    """Return the address and the availability zone of a registered gateway."""
    fields = orjson.loads(value)
    return split_address(fields["address"]), str(fields.get("zone", ""))
