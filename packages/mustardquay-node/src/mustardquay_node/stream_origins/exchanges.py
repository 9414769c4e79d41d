"""Exchange of the origins of streams between gateways.

The origin of a stream is sent to its keepers before its first event goes to the caller,
and again while the stream runs, so that it outlives the gateway, a cut and lost
datagrams. Keepers that start, or become ones as the list of gateways changes, get what
the others keep. A gateway that doesn't know a stream asks its keepers and neighbours.
"""

import asyncio
from collections import defaultdict
from collections.abc import Callable, Collection, Iterable, Sequence
from dataclasses import dataclass, field
from datetime import timedelta

from mustardquay.clocks import Clock
from mustardquay.streams import GatewayRing, OriginRecord, OriginTable, StreamOrigin

from ..loops import cancel_task, start_loop
from ..peers import Address
from .frames import OriginMessage, decode_message, encode_message

__all__ = ["OriginExchange", "OriginExchangeDependencies"]

REFRESH_INTERVAL = timedelta(seconds=2)
"""Time between two sends of the origins of running streams."""
ANSWER_TIMEOUT = timedelta(milliseconds=120)
"""Time for which answers of other gateways are awaited."""
REPEAT_DELAY = timedelta(milliseconds=40)
"""Time after which a question without answers is sent again, as datagrams are lost."""
MAX_RECORDS = 80
"""Records in one datagram, which stays below 1400 bytes."""


@dataclass(frozen=True, slots=True)
class OriginExchangeDependencies:
    """Dependencies of an `OriginExchange`."""

    name: str
    """Name of this gateway."""
    clock: Clock
    send: Callable[[bytes, Iterable[str]], None]
    """Sends a datagram to some gateways."""
    reply: Callable[[bytes, Address], None]
    """Sends a datagram to the sender of another one."""
    list_gateways: Callable[[], Collection[str]]
    """Lists the registered gateways, including this one."""
    list_neighbours: Callable[[], Collection[str]]
    """Lists the gateways that exchange digests with this one."""
    note_used: Callable[[StreamOrigin], None]
    """Notes where a stream began."""


@dataclass(slots=True, eq=False)
class _Question:
    """A question that other gateways were asked."""

    unanswered: set[str]
    ended: asyncio.Event = field(default_factory=asyncio.Event)


class OriginExchange:
    """Keeps the origins of streams, and shares them with other gateways."""

    def __init__(self, deps: OriginExchangeDependencies):
        self._deps = deps
        self._table = OriginTable()
        self._ring = GatewayRing()
        self._running: set[int] = set()
        """Keys of streams of this gateway that have begun and not ended."""
        self._questions: defaultdict[int, set[_Question]] = defaultdict(set)
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start to repeat the origins of running streams."""
        self._task = start_loop(self._repeat_running, REFRESH_INTERVAL)

    async def close(self) -> None:
        """Stop; other gateways keep what they have."""
        await cancel_task(self._task)

    def find(self, key: int) -> StreamOrigin | None:
        """Return the origin of a stream if this gateway knows it."""
        return self._table.find(key, self._now)

    def is_ambiguous(self, key: int) -> bool:
        """Return whether streams of different origins have this key."""
        return self._table.is_ambiguous(key, self._now)

    def begin(self, record: OriginRecord) -> None:
        """Note a stream that begins here, and tell its keepers at once."""
        self.note([record])
        self._running.add(record.key)
        self._send(self._list_keepers(record.key), [record])

    def note(self, records: Iterable[OriginRecord]) -> None:
        """Note where streams began."""
        for record in records:
            self._table.note(record, self._now)
            self._deps.note_used(record.origin)

    def list_running(self) -> list[OriginRecord]:
        """Return the streams that have begun here and not ended."""
        found = (self._table.export(key, self._now) for key in self._running)
        return [record for record in found if record is not None]

    def end(self, key: int) -> None:
        """Note that a stream doesn't run here any more; its origin is kept."""
        self._running.discard(key)

    async def ask(self, key: int) -> StreamOrigin | None:
        """Return the origin of a stream by the answers of other gateways."""
        names = {*self._list_keepers(key), *self._deps.list_neighbours()}
        if not names:
            return None
        question = _Question(names)
        self._questions[key].add(question)
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT.total_seconds()):
                while not question.ended.is_set():
                    self._send(question.unanswered, questions=[key])
                    await self._await_answers(question)
        except TimeoutError:
            pass
        finally:
            self._questions[key].discard(question)
            if not self._questions[key]:
                del self._questions[key]
        return self.find(key)

    def receive(self, data: bytes, address: Address) -> None:
        """Process a datagram of another gateway."""
        message = decode_message(data)
        if message is None or message.sender == self._deps.name:
            return
        self.note(message.records)
        for key in message.answered:
            self._note_answer(key, message.sender)
        if message.questions:
            self._answer(message.questions, address)

    def note_registered(self, gateways: Collection[str]) -> None:
        """Give keepers the origins that they lack: those that started, and new ones."""
        before, self._ring = self._ring, GatewayRing(self._deps.list_gateways())
        started = set(gateways)
        lacking: defaultdict[str, list[OriginRecord]] = defaultdict(list)
        for record in self._table.list_records(self._now):
            known = set(before.find_keepers(record.key)) - started
            for name in set(self._ring.find_keepers(record.key)) - known:
                lacking[name].append(record)
        lacking.pop(self._deps.name, None)
        for name, records in lacking.items():
            self._send_records([name], records)

    async def _await_answers(self, question: _Question) -> None:
        try:
            async with asyncio.timeout(REPEAT_DELAY.total_seconds()):
                await question.ended.wait()
        except TimeoutError:
            return

    def _note_answer(self, key: int, sender: str) -> None:
        is_known = self.find(key) is not None or self.is_ambiguous(key)
        for question in self._questions.get(key, ()):
            question.unanswered.discard(sender)
            if is_known or not question.unanswered:
                question.ended.set()

    def _answer(self, questions: Sequence[int], address: Address) -> None:
        """Answer a gateway, which may have started too late to be listed here."""
        found = (self._table.export(key, self._now) for key in questions)
        records = [record for record in found if record is not None]
        message = OriginMessage(self._deps.name, records, answered=questions)
        self._deps.reply(encode_message(message), address)

    def _repeat_running(self) -> None:
        """Send the origins of running streams once more, and drop expired ones."""
        self._table.expire(self._now)
        self._tell(self.list_running())

    def _list_keepers(self, key: int) -> list[str]:
        """Return the other gateways that keep the origin of a stream."""
        keepers = self._ring.find_keepers(key)
        return [name for name in keepers if name != self._deps.name]

    def _tell(self, records: Sequence[OriginRecord]) -> None:
        """Send origins to their keepers."""
        kept: defaultdict[str, list[OriginRecord]] = defaultdict(list)
        for record in records:
            for name in self._list_keepers(record.key):
                kept[name].append(record)
        for name, chosen in kept.items():
            self._send_records([name], chosen)

    def _send_records(
        self, names: Collection[str], records: Sequence[OriginRecord]
    ) -> None:
        for start in range(0, len(records), MAX_RECORDS):
            self._send(names, records[start : start + MAX_RECORDS])

    def _send(
        self,
        names: Collection[str],
        records: Sequence[OriginRecord] = (),
        questions: Sequence[int] = (),
    ) -> None:
        message = OriginMessage(self._deps.name, records, questions)
        self._deps.send(encode_message(message), list(names))

    @property
    def _now(self) -> timedelta:
        return self._deps.clock.monotonic()
