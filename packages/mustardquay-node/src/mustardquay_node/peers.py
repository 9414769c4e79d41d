"""Peers: digests between gateways, as datagrams, to those that the store lists.

A datagram needs no connection that could go silent: what does not arrive is replaced
by the next one.
"""

import asyncio
import logging
from bisect import bisect
from collections.abc import Callable, Collection, Iterable, Sequence
from datetime import timedelta
from pathlib import Path
from typing import Any

import capnp
import orjson

from mustardquay.clocks import Clock
from mustardquay.engine_models import READ_SCALES, STREAM_SCALES, PoolSpeeds
from mustardquay.errors import MustardquayError
from mustardquay.events import EventRing
from mustardquay.peer_books import (
    LOWEST_RANK,
    EngineDigest,
    PeerDigest,
    PlacedPart,
)
from mustardquay.quarantines import CrashId, CrashRecord
from mustardquay.rate_divisions import ServiceDemand
from mustardquay.rate_limits import LimitNotice
from mustardquay.tables import Transaction, Write

from .adapters import StoreRow, StoreTables
from .connections import split_address

__all__ = [
    "PEERS_TABLE",
    "PeerLink",
    "decode_digest",
    "encode_digest",
    "list_told",
]

logger = logging.getLogger(__name__)

capnp.remove_import_hook()
WIRE = capnp.load(str(Path(__file__).with_name("peers.capnp")))

MICROSECONDS = 1_000_000
PEERS_TABLE = "gateways"
"""Table where each gateway writes its address, once in its life."""
BUSY_INTERVAL = timedelta(milliseconds=40)
"""Time between digests while there is work; an engine reads some two prompts in it."""
PEER_INTERVAL = timedelta(milliseconds=10)
"""Time between digests for each peer that is told, so that many peers don't make a
gateway spend more: some 100 digests a second at most. On a day of eleven gateways,
processor time fell from 90 to 65 s, bytes between availability zones by a tenth, and
no more prompts were read again."""
IDLE_INTERVAL = timedelta(milliseconds=400)
DATAGRAM_LIMIT = 1400
"""Bytes; more would be split into several packets, of which one lost loses all."""
PARTS_LIMIT = 60
"""Parts in one datagram: with their engines they stay within the limit."""
PEERS_LIMIT = 16
"""Peers that are told, the nearest in the order of names. More would cost a
large fleet too much."""
REGISTER_RETRY = timedelta(seconds=1)
FAREWELL_LIMIT = timedelta(milliseconds=300)
"""How long the store may take for the last call: the platform kills a process that
stops one second after its time to drain. An address that stays listed harms nobody."""


def encode_digest(digest: PeerDigest) -> bytes:
    """Return a datagram."""
    message = WIRE.Digest.new_message()
    message.gateway = digest.gateway
    message.incarnation = digest.incarnation
    message.number = digest.number
    message.configuration = digest.configuration
    positions = {each.engine: index for index, each in enumerate(digest.engines)}
    message.changing = list(digest.changing)
    _write_crashes(message, digest.crashes)
    _write_speeds(message, digest.speeds)
    _write_presence(message, digest)
    _write_limits(message, digest)
    engines = message.init("engines", len(digest.engines))
    for built, each in zip(engines, digest.engines, strict=True):
        built.engine = each.engine
        built.readMicroseconds = [_to_microseconds(s) for s in each.read_seconds]
        built.running = min(each.running, 2**16 - 1)
    parts = [part for part in digest.placed if part.engine in positions]
    placed = message.init("placed", len(parts))
    for built, part in zip(placed, parts, strict=True):
        built.engine = positions[part.engine]
        built.part = part.part
        built.tokens = part.tokens
    return message.to_bytes_packed()


def decode_digest(data: bytes) -> PeerDigest | None:
    """Return the digest of a datagram, or None if it can't be read."""
    try:
        message = WIRE.Digest.from_bytes_packed(data)
        engines = tuple(
            EngineDigest(each.engine, _read_ranks(each.readMicroseconds), each.running)
            for each in message.engines
        )
        placed = tuple(
            PlacedPart(engines[each.engine].engine, each.part, each.tokens)
            for each in message.placed
        )
        return PeerDigest(
            message.gateway,
            message.incarnation,
            message.number,
            message.configuration,
            engines,
            placed,
            tuple(message.changing),
            tuple(map(_read_crash, message.crashes)),
            tuple(map(_read_speeds, message.speeds)),
            message.availabilityZone,
            message.ready,
            tuple(map(_read_limit, message.limits)),
            _read_demands(message),
            _read_end(message),
        )
    except (capnp.KjException, IndexError, ValueError):
        return None


def _to_microseconds(seconds: float) -> int:
    return min(int(seconds * MICROSECONDS), 2**32 - 1)


def _read_ranks(microseconds: Any) -> tuple[float, ...]:
    if len(microseconds) > LOWEST_RANK + 1:
        raise ValueError("The ranks are those of another version; upgrade it.")
    return tuple(each / MICROSECONDS for each in microseconds)


def _write_crashes(message: Any, records: Sequence[CrashRecord]) -> None:
    built_records = message.init("crashes", len(records))
    for built, record in zip(built_records, records, strict=True):
        built.fingerprint = record.fingerprint
        built.remainingMilliseconds = record.remaining // timedelta(milliseconds=1)
        for name in ("crashes", "cleared"):
            ids = sorted(getattr(record, name))
            for each, id in zip(built.init(name, len(ids)), ids, strict=True):
                each.upstream = id.upstream
                each.boot = id.boot


def _read_crash(record: Any) -> CrashRecord:
    return CrashRecord(
        record.fingerprint,
        frozenset(CrashId(each.upstream, each.boot) for each in record.crashes),
        frozenset(CrashId(each.upstream, each.boot) for each in record.cleared),
        timedelta(milliseconds=record.remainingMilliseconds),
    )


def _write_speeds(message: Any, speeds: Sequence[PoolSpeeds]) -> None:
    for built, each in zip(message.init("speeds", len(speeds)), speeds, strict=True):
        built.service = each.service
        built.samples = each.samples
        built.read = list(each.read)
        built.first = list(each.first)


def _read_speeds(built: Any) -> PoolSpeeds:
    read, first = tuple(built.read), tuple(built.first)
    if len(read) != len(READ_SCALES) or len(first) != len(STREAM_SCALES):
        raise ValueError("The speeds are those of another version; upgrade it.")
    return PoolSpeeds(built.service, built.samples, read, first)


def _write_presence(message: Any, digest: PeerDigest) -> None:
    message.availabilityZone = digest.availability_zone
    message.ready = digest.is_ready
    if digest.ends_in is not None:
        message.stopping = True
        left = max(digest.ends_in, timedelta())
        message.endsInMilliseconds = left // timedelta(milliseconds=1)


def _read_end(message: Any) -> timedelta | None:
    if not message.stopping:
        return None
    return timedelta(milliseconds=message.endsInMilliseconds)


def _write_limits(message: Any, digest: PeerDigest) -> None:
    limits = message.init("limits", len(digest.limits))
    for built, limit in zip(limits, digest.limits, strict=True):
        built.upstream = limit.upstream
        built.perSecond = limit.per_second
        built.ageMilliseconds = limit.age // timedelta(milliseconds=1)
    if digest.demands is None:
        return
    message.tellsDemands = True
    demands = message.init("demands", len(digest.demands))
    for built, demand in zip(demands, digest.demands, strict=True):
        built.service = demand.service
        built.perSecond = demand.per_second


def _read_limit(built: Any) -> LimitNotice:
    age = timedelta(milliseconds=built.ageMilliseconds)
    return LimitNotice(built.upstream, built.perSecond, age)


def _read_demands(message: Any) -> tuple[ServiceDemand, ...] | None:
    if not message.tellsDemands:
        return None
    return tuple(
        ServiceDemand(each.service, each.perSecond) for each in message.demands
    )


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
        self._peers: dict[str, tuple[str, int]] = {}
        self._hurry = asyncio.Event()
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

    async def _register(self) -> None:
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
        was_busy = False
        while True:
            digest = self._build()
            is_busy = bool(digest.engines) or digest.demands is not None
            if self._peers:
                self._send(encode_digest(digest))
            interval = IDLE_INTERVAL
            if is_busy or was_busy:
                told = min(len(self._peers), PEERS_LIMIT)
                interval = max(BUSY_INTERVAL, told * PEER_INTERVAL)
            was_busy = is_busy
            await self._pause(interval)

    async def _pause(self, interval: timedelta) -> None:
        try:
            async with asyncio.timeout(interval.total_seconds()):
                await self._hurry.wait()
        except TimeoutError:
            return
        self._hurry.clear()

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
