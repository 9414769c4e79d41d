"""Fleets of gateways that follow the list of upstreams, in virtual time.

Each gateway has the feed, the updater and the relay of a real one; the store, the
upstreams and the links between gateways are simulated, and harmed by a plan.
"""

import asyncio
from collections import Counter, deque
from dataclasses import dataclass, field
from datetime import timedelta
from random import Random

import orjson

from mustardquay.errors import StoreUnavailable
from mustardquay.events import EventRing, HybridClock
from mustardquay.list_readers import ListTimings
from mustardquay.store_eras import StorePosition
from mustardquay.upstream_lists import UpstreamList, UpstreamRecord
from mustardquay_node.adapters import FeedPage, HistoryLost, StoreRow
from mustardquay_node.era_watches import EraWatch
from mustardquay_node.feeds import TableFeed
from mustardquay_node.gateway_feeds import make_upstreams_options
from mustardquay_node.list_relays import ListRelay, RelayDependencies
from mustardquay_node.settings import StoreSettings
from mustardquay_node.upstream_list_updaters import UpstreamListUpdater
from mustardquay_standins.virtual_loops import LoopClock, VirtualLoop

__all__ = ["Fleet", "Member", "run_fleet"]

BOUND = timedelta(seconds=3)
STORE_SECONDS = 0.004
CALL_TIMEOUT = 5.0
"""Seconds without data after which a read fails, as in the client of the store."""
RESEND_SECONDS = 0.1
HEARTBEAT = 1.2
"""Seconds between two records of an upstream."""
RECORD_LIFETIME = 3.0
"""Seconds after which the store removes a record that is not renewed."""
LINK_SECONDS = 0.001
REORDERED_SECONDS = 0.3
"""Seconds by which a reordered datagram is late."""
NEIGHBOURS = 16
START_SECONDS = 0.7
"""Seconds over which the gateways start, so that they don't read in step."""
SETTLED_SECONDS = 2.0
"""Seconds after which each gateway must have a live upstream in its list."""


class SimulatedStore:
    """The rows of one table with their changes, and switches that simulate failures."""

    def __init__(self, loop, random):
        self.loop = loop
        self.random = random
        self.rows = {}
        self.written_at = {}
        self.version = 0
        self.era = 1
        self.log = []
        self.oldest = 0
        """The version before which changes are forgotten."""
        self.is_down = False
        self.delay = 0.0
        self.answer_loss = 0.0
        self.calls = Counter()
        """Reads by gateway."""
        self._changed = asyncio.Event()

    def put(self, key, value):
        self._write(StoreRow(key, value, self.version + 1))
        self.written_at[key] = self.loop.time()

    def remove(self, key):
        if key in self.rows:
            self._write(StoreRow(key, b"", self.version + 1, deleted=True))

    def expire(self):
        """Remove the records that were not renewed, as the store does in an outage."""
        for key in list(self.rows):
            if self.loop.time() - self.written_at[key] > RECORD_LIFETIME:
                self.remove(key)

    def forget(self):
        self.oldest = self.version

    def copy(self):
        return dict(self.rows), self.version, list(self.log)

    def restore(self, copy):
        rows, self.version, log = copy
        self.rows, self.log = dict(rows), list(log)
        self.written_at = dict.fromkeys(self.rows, self.loop.time())
        self.era += 1
        self._wake()

    def read_all(self):
        return FeedPage(list(self.rows.values()), StorePosition(self.era, self.version))

    async def read_changes(self, after, wait):
        if after < self.oldest or after > self.version:
            raise HistoryLost
        deadline = self.loop.time() + wait
        era = self.era
        while True:
            rows = self._list_after(after)
            left = deadline - self.loop.time()
            if rows or left <= 0 or self.era != era:
                return FeedPage(rows, StorePosition(self.era, self.version))
            try:
                await asyncio.wait_for(self._changed.wait(), left)
            except TimeoutError:
                continue

    def _list_after(self, version):
        rows = []
        for row in reversed(self.log):
            if row.version <= version:
                break
            rows.append(row)
        return rows[::-1]

    def _write(self, row):
        self.version = row.version
        if row.deleted:
            self.rows.pop(row.key, None)
        else:
            self.rows[row.key] = row
        self.log.append(row)
        self._wake()

    def _wake(self):
        self._changed.set()
        self._changed = asyncio.Event()


class StoreClient:
    """One gateway's way to the store."""

    def __init__(self, name, fleet, eras):
        self.name = name
        self.fleet = fleet
        self.eras = eras
        self.is_silent = False
        """Whether answers on connections that are open don't arrive."""

    @property
    def era(self):
        return self.eras.era

    async def list_rows(self, table, options):
        return await self._call(options, self._read_all)

    async def follow(self, table, after, options):
        async def read():
            wait = options.wait.total_seconds()
            return await self.fleet.store.read_changes(after, wait)

        return await self._call(options, read)

    async def _read_all(self):
        return self.fleet.store.read_all()

    async def _await_way(self):
        """Wait while the gateway is cut off; its call is sent again afterwards."""
        deadline = self.fleet.loop.time() + CALL_TIMEOUT
        while self.name in self.fleet.cut_from_store:
            if self.fleet.loop.time() >= deadline:
                raise StoreUnavailable("No answer; try again.")
            await asyncio.sleep(RESEND_SECONDS)

    async def _call(self, options, read):
        store = self.fleet.store
        store.calls[self.name] += 1
        if self.is_silent and not options.on_new_connection:
            await asyncio.sleep(CALL_TIMEOUT)
            raise StoreUnavailable("No answer; try again.")
        await self._await_way()
        if options.on_new_connection:
            self.is_silent = False
        if store.is_down:
            await asyncio.sleep(STORE_SECONDS)
            raise StoreUnavailable("Away; try again.")
        page = await read()
        await asyncio.sleep(STORE_SECONDS + store.delay * store.random.random())
        if store.random.random() < store.answer_loss:
            raise StoreUnavailable("Connection lost; try again.")
        if not self.eras.take(page.position.era):
            raise StoreUnavailable("An answer of an earlier era; try again.")
        return page


class CheckedList(UpstreamList):
    """A list that notes records by which an upstream would take work again."""

    def __init__(self):
        super().__init__()
        self.regressions = []

    def put(self, record):
        before = super().put(record)
        if (
            before is not None
            and before.draining
            and not record.draining
            and before.started_ms == record.started_ms
        ):
            self.regressions.append(record.id)
        return before


class SimulatedAdapter:
    """Decodes the records of simulated upstreams."""

    @staticmethod
    def read_upstream(key, value):
        fields = orjson.loads(value)
        return UpstreamRecord(
            key,
            "llm",
            "10.0.0.1:80",
            "a",
            12,
            fields["draining"],
            started_ms=fields["born"],
            sequence=fields["seq"],
        )


class Member:
    """A gateway: its list and what keeps it up to date."""

    def __init__(self, name, fleet, readers):
        self.name = name
        self.fleet = fleet
        self.list = CheckedList()
        clock, self.random = fleet.clock, Random(f"{fleet.seed}-{name}")
        self.events = EventRing(name, HybridClock(clock), 200)
        eras = EraWatch(self.events)
        self.client = StoreClient(name, fleet, eras)
        self.started_at = fleet.loop.time()
        self.heard_at = None
        self.updater = UpstreamListUpdater(
            SimulatedAdapter, self.list, self.events, clock, _ignore, _ignore
        )
        options = make_upstreams_options("servers", _make_settings(readers))
        self.relay = ListRelay(
            RelayDependencies(
                name=name,
                readers=readers,
                timings=ListTimings(BOUND),
                pause=options.pause,
                clock=clock,
                random=self.random,
                events=self.events,
                updater=self.updater,
                make_feed=lambda listener: TableFeed(
                    self.client, options, listener, self.events, clock, self.random
                ),
                read_upstream=SimulatedAdapter.read_upstream,
                send=self._send,
                list_zones=lambda: fleet.zones,
                find_heard_at=self._find_heard_at,
            )
        )
        eras.listen(self.relay.note_era)

    def start(self):
        self.relay.start()

    def knows_draining(self, id):
        record = self.list.get(id)
        return record is None or record.draining

    def _send(self, data, names):
        self.fleet.send(self.name, data, names)

    def _find_heard_at(self):
        """Return when a digest arrived: now, while a neighbour can be reached."""
        if any(self.fleet.can_reach(self.name, n) for n in self.fleet.list_near(self)):
            self.heard_at = self.fleet.clock.monotonic()
        return self.heard_at


@dataclass
class Drain:
    """An upstream that began to drain."""

    id: str
    at: float
    late: list = field(default_factory=list)
    """Gateways that didn't know it in the end."""


class Fleet:
    """Gateways, upstreams, a store, and links between gateways that lose datagrams."""

    def __init__(self, gateways, readers, seed, upstreams=27, zones=3, forwards=()):
        """Initialise; with `forwards`, gateways pass notices on to these neighbours.

        Each is a distance in the order of names. Readers then send to theirs only.
        """
        self.loop = asyncio.get_running_loop()
        self.clock = LoopClock(self.loop)
        self.seed = seed
        self.random = Random(seed)
        self.readers = readers
        self.store = SimulatedStore(self.loop, Random(seed + 1))
        letters = "abcdef"[:zones]
        self.zones = {}
        for number in range(gateways):
            zone = letters[number % zones]
            self.zones[f"{zone}-{number:03}"] = zone
        self.cut_from_store = set()
        self.groups = {}
        """The part of a divided network in which a gateway is; 0 by default."""
        self.muted = set()
        """Gateways whose datagrams are all lost."""
        self.loss = self.doubled = self.reordered = 0.0
        self.sent = Counter()
        self.sent_by = Counter()
        """Bytes that each gateway sent."""
        self.drains = []
        self.delays = []
        """Seconds from the store's answer to a gateway's list, for each of both."""
        self.dropped = set()
        """Gateways with a live upstream that they had dropped from their lists."""
        self.members = {}
        self._forwards = forwards
        self._seen = {name: deque(maxlen=200) for name in self.zones}
        """The last notices that each gateway has passed on."""
        self._draining = {}
        self._tasks = []
        self._live_since = {}
        self._upstreams = {f"e-{n:03}": (1000 + n, 0) for n in range(upstreams)}
        self._next_id = upstreams

    async def start(self):
        for id in self._upstreams:
            self._spawn(self._beat(id, self.random.random() * HEARTBEAT))
            self._write(id)
        for name in self.zones:
            self._spawn(self._start_late(name))
        self._spawn(self._expire_forever())
        self._spawn(self._check_forever())

    async def close(self):
        for task in self._tasks:
            task.cancel()
        for name in list(self.members):
            await self.kill(name)

    async def _start_late(self, name):
        await asyncio.sleep(self.random.random() * START_SECONDS)
        self.start_member(name)

    def start_member(self, name):
        self.members[name] = Member(name, self, self.readers)
        self.members[name].start()

    async def kill(self, name):
        member = self.members.pop(name, None)
        if member is not None:
            await member.relay.close()

    def list_readers(self):
        return [name for name, each in self.members.items() if each.relay.is_reader]

    def list_near(self, member):
        names = list(self.zones)
        first = names.index(member.name)
        ring = names[first + 1 :] + names[:first]
        return ring[:NEIGHBOURS] + ring[-NEIGHBOURS:]

    def can_reach(self, sender, name):
        return (
            sender in self.members
            and name in self.members
            and self.groups.get(sender, 0) == self.groups.get(name, 0)
        )

    def send(self, sender, data, names):
        if self._forwards:
            names = self._list_forwards(sender)
            self._seen[sender].append(data)
        for name in names:
            self.sent_by[sender] += len(data)
            self.sent["datagrams"] += 1
            self.sent["bytes"] += len(data)
            if sender in self.muted or self.random.random() < self.loss:
                continue
            copies = 1 + (self.random.random() < self.doubled)
            for _ in range(copies):
                late = self.random.random() < self.reordered
                delay = LINK_SECONDS + late * REORDERED_SECONDS * self.random.random()
                self.loop.call_later(delay, self._deliver, sender, data, name)

    def drain(self):
        """Let a random upstream begin to drain once the store takes its record."""
        ready = [id for id in self._upstreams if id not in self._draining]
        if ready:
            self._spawn(self._drain(self.random.choice(ready)))

    def list_regressions(self):
        return [id for each in self.members.values() for id in each.list.regressions]

    def list_outdated(self):
        """Return the gateways whose list is not that of the store."""
        draining = {
            id: orjson.loads(row.value)["draining"]
            for id, row in self.store.rows.items()
        }
        return [
            name
            for name, member in self.members.items()
            if {each.id: each.draining for each in member.list} != draining
        ]

    def _spawn(self, work):
        self._tasks.append(asyncio.ensure_future(work))

    def _deliver(self, sender, data, name):
        if not self.can_reach(sender, name):
            return
        if self._forwards and data in self._seen[name]:
            return
        if self._forwards:
            self.send(name, data, ())
        self.members[name].relay.receive(data, (sender, 0))

    def _list_forwards(self, name):
        names = list(self.zones)
        first = names.index(name)
        return [names[(first + each) % len(names)] for each in self._forwards]

    async def _drain(self, id):
        self._draining[id] = True
        while not self._write(id):
            await asyncio.sleep(0.1)
        drain = Drain(id, self.loop.time())
        self.drains.append(drain)
        added = f"e-{self._next_id:03}"
        self._next_id += 1
        self._upstreams[added] = (1000 + self._next_id, 0)
        self._spawn(self._beat(added, 0.0))
        await self._watch(drain)
        await asyncio.sleep(1.0)
        del self._upstreams[id]
        self.store.remove(id)

    async def _watch(self, drain):
        """Measure when each gateway that stays connected knows of a drain."""
        missing = {n: m for n, m in self.members.items() if self._is_connected(m)}
        while missing and self.loop.time() - drain.at < 4.0:
            for name, member in list(missing.items()):
                if not self._is_connected(member):
                    del missing[name]
                elif member.knows_draining(drain.id):
                    self.delays.append(self.loop.time() - drain.at)
                    del missing[name]
            await asyncio.sleep(0.01)
        drain.late = list(missing)
        self.delays += [self.loop.time() - drain.at] * len(missing)

    def _is_connected(self, member):
        return (
            self.members.get(member.name) is member
            and member.name not in self.cut_from_store
            and not self.store.is_down
            and member.list.is_known
        )

    async def _beat(self, id, delay):
        await asyncio.sleep(delay)
        while id in self._upstreams:
            self._write(id)
            await asyncio.sleep(HEARTBEAT)

    def _write(self, id):
        if self.store.is_down:
            return False
        born, sequence = self._upstreams[id]
        self._upstreams[id] = (born, sequence + 1)
        draining = id in self._draining
        self._live_since.setdefault(id, self.loop.time())
        fields = {"born": born, "seq": sequence + 1, "draining": draining}
        # As long as a record of an upstream with its address, zone and models.
        self.store.put(id, orjson.dumps(fields | {"rest": "x" * 180}))
        return True

    async def _check_forever(self):
        while True:
            await asyncio.sleep(0.1)
            settled = self.loop.time() - SETTLED_SECONDS
            live = {
                id
                for id, since in self._live_since.items()
                if since < settled and id in self._upstreams
            }
            live -= self._draining.keys()
            for name, member in self.members.items():
                known = {each.id for each in member.list}
                if member.list.is_known and not live <= known:
                    self.dropped.add(name)

    async def _expire_forever(self):
        while True:
            await asyncio.sleep(0.5)
            self.store.expire()
            for member in list(self.members.values()):
                member.updater.expire()


def run_fleet(play, gateways, readers=4, seed=1, **options):
    """Run `play` with a fleet in virtual time; return the fleet."""
    loop = VirtualLoop()

    async def run():
        fleet = Fleet(gateways, readers, seed, **options)
        await fleet.start()
        await play(fleet)
        await fleet.close()
        return fleet

    try:
        return loop.run_until_complete(run())
    finally:
        loop.close()


def _make_settings(readers):
    return StoreSettings(
        adapter="a",
        address="127.0.0.1:1",
        upstreams_delay=BOUND,
        configuration_wait=timedelta(seconds=2),
        upstream_readers=readers,
    )


def _ignore(_):
    """Ignore what the rest of a gateway would be told."""
