"""Gateways that keep the origins of streams, in virtual time and without sockets."""

import asyncio
from collections import Counter
from dataclasses import dataclass, field
from datetime import timedelta
from random import Random

import orjson

from mustardquay.events import EventRing, HybridClock
from mustardquay.memory_tables import apply_transaction
from mustardquay.store_eras import StorePosition
from mustardquay.streams import StreamOrigin
from mustardquay.upstream_lists import UpstreamRecord
from mustardquay_node.adapters import FeedPage, StoreRow
from mustardquay_node.stream_origins import OriginDependencies, OriginSubsystem
from mustardquay_standins.virtual_loops import LoopClock

__all__ = ["NEW", "OLD", "Fleet", "make_upstreams"]

OLD, NEW = StreamOrigin("llm", "v1"), StreamOrigin("llm", "v1.1")
STORE_SECONDS = 0.004
LINK_SECONDS = 0.001
LEFT = timedelta(seconds=15)
"""Time that the callers of streams still wait."""


def make_upstreams(*versions):
    return [
        UpstreamRecord(
            f"e{n}", "llm", "10.0.0.1:80", "a", 64, False, software_version=version
        )
        for n, version in enumerate(versions)
    ]


@dataclass
class Store:
    """Rows in memory; counts its calls by table."""

    rows: dict = field(default_factory=dict)
    calls: Counter = field(default_factory=Counter)
    silent_until: float = 0.0
    """Time of the loop until which calls wait."""

    async def _serve(self, table):
        self.calls[table] += 1
        left = self.silent_until - asyncio.get_running_loop().time()
        await asyncio.sleep(max(left, 0) + STORE_SECONDS)

    async def read(self, table, key):
        await self._serve(table)
        return self.rows.get((table, key))

    async def list_rows(self, table, options):
        await self._serve(table)
        rows = [
            StoreRow(key, orjson.dumps(row.value), row.revision)
            for (name, key), row in self.rows.items()
            if name == table
        ]
        return FeedPage(rows, StorePosition(0, 0))

    async def transact(self, transaction):
        await self._serve(transaction.writes[0].table)
        return apply_transaction(self.rows, transaction)


class Fleet:
    """Gateways with one store, one list of upstreams and links that lose datagrams."""

    def __init__(self, count, upstreams, seed=1, loss=0.0):
        self.loop = asyncio.get_running_loop()
        self.clock = LoopClock(self.loop)
        self.random = Random(seed)
        self.store = Store()
        self.upstreams = upstreams
        self.loss = loss
        self.cut = set()
        """Names of gateways that reach no others, nor are reached."""
        self.sent = Counter()
        """Datagrams and bytes that were sent."""
        self.members = {}
        for number in range(count):
            self.members[f"front-{number}"] = None
        for name in self.members:
            self.members[name] = self._make_member(name)
        for member in self.members.values():
            self._start(member)
            member.note_registered(list(self.members))

    async def close(self):
        for member in self.members.values():
            await member.close()

    async def restart(self, *names):
        """Kill gateways at the same moment, and start them again without memory."""
        for name in names:
            await self.members[name].close()
            self.members[name] = self._make_member(name)
        for name in names:
            self._start(self.members[name])
        for member in self.members.values():
            member.note_registered(names)

    def begin(self, name, key, origin):
        self.members[name].begin([key], origin, LEFT)

    async def find(self, name, key):
        found = await self.members[name].find(key, ["llm"])
        return None if found is None else found.origin

    def _make_member(self, name):
        return OriginSubsystem(
            OriginDependencies(
                name=name,
                store=self.store,
                clock=self.clock,
                random=self.random,
                events=EventRing(name, HybridClock(self.clock), 10),
                list_upstreams=lambda: self.upstreams,
                send=lambda data, names: self._send(name, data, names),
                reply=lambda data, address: self._send(name, data, [address[0]]),
                list_gateways=lambda: list(self.members),
                list_neighbours=lambda: self._list_neighbours(name),
            )
        )

    def _start(self, member):
        member.set_services(["llm"])
        member.start()

    def _list_neighbours(self, name):
        names = list(self.members)
        first = names.index(name)
        ring = names[first + 1 :] + names[:first]
        return ring if len(ring) <= 32 else ring[:16] + ring[-16:]

    def _send(self, sender, data, names):
        for name in names:
            self.sent["datagrams"] += 1
            self.sent["bytes"] += len(data)
            is_lost = self.random.random() < self.loss or {sender, name} & self.cut
            if not is_lost and name in self.members:
                self.loop.call_later(LINK_SECONDS, self._deliver, sender, data, name)

    def _deliver(self, sender, data, name):
        self.members[name].receive(data, (sender, 0))
