"""Counts calls and bytes for relaying a token; the same on every run.

The links of an agent and an entry are connected in memory, without sockets and HTTP.
Each round adds one token to each of `STREAMS` streams, as an engine's step does. Calls
of Python functions and of built-in functions are counted, so the bounds hold on any
machine with the pinned versions. The costs of tornado and the kernel are not included;
`paths` measures them.
"""

import asyncio
import sys
from collections import Counter
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from datetime import timedelta
from types import FrameType
from typing import Any

import typer

from mustardquay import HybridClock, Role, UpstreamView, VirtualClock, Work
from mustardquay.attempts import RequestState
from mustardquay.messages import Attempt, AttemptFrame, Heartbeat, Message
from mustardquay_node.answers import StreamSink
from mustardquay_node.callback_batches import CallbackBatcher
from mustardquay_node.exchanges import Call, Exchange
from mustardquay_node.links import Identity, Link, LinkOptions
from mustardquay_node.runs import Run
from mustardquay_standins.engine_calls import EVENT_PREFIX

__all__ = ["Bounds", "Figures", "measure", "run"]

STREAMS = 64
ROUNDS = 20
HOUR = timedelta(hours=1)
EVENT = (
    EVENT_PREFIX + b'{"id":"chatcmpl-0123456789abcdef0123456789abcdef",'
    b'"object":"chat.completion.chunk","created":0,"model":"model",'
    b'"choices":[{"index":0,"finish_reason":null,"delta":{"content":" tunnel7"}}]}\n\n'
)


@dataclass(frozen=True, slots=True)
class Figures:
    """Costs of one token."""

    agent_calls: float
    entry_calls: float
    link_bytes: float
    """Bytes on the link beyond those of the token itself."""
    batches: float
    """Frames on the link in each round."""


@dataclass(frozen=True, slots=True)
class Bounds(Figures):
    """Maximum costs: those measured at the last change, plus a tenth."""

    agent_calls: float = 14.3
    entry_calls: float = 36.4
    link_bytes: float = 24.4
    batches: float = 1.0


class _Transport(asyncio.Transport):
    """Stores written data, to be passed to the other end."""

    def __init__(self) -> None:
        super().__init__()
        self.written: list[bytes] = []

    def write(self, data: Any) -> None:
        self.written.append(data)

    def get_write_buffer_size(self) -> int:
        return 0

    def abort(self) -> None:
        self.written.clear()


class _Dispatcher:
    """Passes frames to their exchanges, as a dispatcher does."""

    def __init__(self, clock: VirtualClock):
        self._clock = clock
        self._exchanges: dict[int, Exchange] = {}
        self.sent: list[Attempt] = []

    def receive(self, link: Link, message: Message) -> None:
        if isinstance(message, AttemptFrame):
            self._exchanges[message.stream].receive(message)

    def choose(self, call: Call, avoid: frozenset[str]) -> UpstreamView:
        return UpstreamView("engine-1", "zone-a", Role.MIXED)

    def reserve(self, exchange: Exchange) -> int:
        stream = len(self._exchanges) + 1
        self._exchanges[stream] = exchange
        return stream

    def release(self, stream: int) -> None:
        del self._exchanges[stream]

    def send(self, upstream: str, message: Message) -> bool:
        if isinstance(message, Attempt):
            self.sent.append(message)
        return True

    def reach(self, upstream: str, incarnation: int) -> bool:
        return True

    def expect_cached(self, upstream: str, work: Work) -> int:
        return 0

    def now(self) -> timedelta:
        return self._clock.monotonic()

    def record(self, kind: str, exchange: Exchange, **details: object) -> None:
        return None


class _LinkPair:
    """Two connected links, and the streams that run over them."""

    def __init__(self) -> None:
        self._clock = VirtualClock()
        self._callbacks = CallbackBatcher()
        self.dispatch = _Dispatcher(self._clock)
        self.entry = self._make_link("entry", self.dispatch.receive)
        self.agent = self._make_link("agent", lambda link, message: None)
        self._ends = {self.entry: _Transport(), self.agent: _Transport()}
        self.written = 0

    async def start(self) -> None:
        """Open both links."""
        for link, transport in self._ends.items():
            link.connection_made(transport)
        while not (self.entry.is_open and self.agent.is_open):
            await self._transfer_both()
        # Transfers the first heartbeats: a missing batch closes the link.
        await self._transfer_both()

    def close(self) -> None:
        """Close both links."""
        for link in self._ends:
            link.close("the benchmark has ended")

    def take_batches(self) -> list[bytes]:
        """Remove and return the data that the agent has written."""
        written = self._ends[self.agent].written
        batches = list(written)
        written.clear()
        return batches

    def open_stream(self) -> Run:
        """Start a request and return its run at the agent."""
        work = Work("request", 1, "customer", "model", finish_by=HOUR)
        body = b'{"model":"model","messages":[],"stream":true}'
        call = Call(work, "POST", "/v1/chat/completions", (), body, True, 1)
        sink = StreamSink(
            lambda headers: None,
            self._write,
            self._clock.monotonic,
            self._callbacks.add,
        )
        state = RequestState(True, True, 1, lambda: False, lambda retry: HOUR)
        exchange = Exchange(call, sink, state, self.dispatch, HOUR, lambda end: None)
        sink.connect(exchange.note_taken)
        exchange.start()
        attempt = self.dispatch.sent[-1]
        run = Run(("entry-1", 1), attempt, work, self.agent)
        run.start(timedelta())
        run.add_head(200, ())
        return run

    def _write(self, data: bytes) -> "asyncio.Future[None]":
        self.written += len(data)
        future = asyncio.get_running_loop().create_future()
        future.set_result(None)
        return future

    async def _transfer_both(self) -> None:
        await asyncio.sleep(0)
        self._transfer(self.entry, self.agent)
        self._transfer(self.agent, self.entry)

    def _transfer(self, source: Link, target: Link) -> None:
        written = self._ends[source].written
        while written:
            target.data_received(written.pop(0))

    def _make_link(self, side: Any, received: Callable[[Link, Message], None]) -> Link:
        return Link(
            side,
            Identity(f"{side}-1", 1, "zone-a", 1),
            LinkOptions(("benchmark-link-key",), HOUR, HOUR, 1 << 24, timedelta()),
            HybridClock(self._clock),
            lambda link: Heartbeat(),
            lambda link: None,
            received,
            lambda link, reason: None,
        )


@contextmanager
def _count_calls() -> Iterator[Counter[str]]:
    counts: Counter[str] = Counter()

    def count_event(frame: FrameType, event: str, argument: Any) -> None:
        counts[event] += 1

    sys.setprofile(count_event)
    try:
        yield counts
    finally:
        sys.setprofile(None)


async def _measure() -> Figures:
    pair = _LinkPair()
    await pair.start()
    runs = [pair.open_stream() for _ in range(STREAMS)]
    await asyncio.sleep(0)
    for data in pair.take_batches():
        pair.entry.data_received(data)
    await asyncio.sleep(0)
    calls: Counter[str] = Counter()
    batches: list[bytes] = []
    for _ in range(ROUNDS):
        with _count_calls() as counts:
            for stream_run in runs:
                stream_run.add_chunk(EVENT, 1)
            await asyncio.sleep(0)
        calls["agent"] += counts["call"] + counts["c_call"]
        new_batches = pair.take_batches()
        batches += new_batches
        with _count_calls() as counts:
            for data in new_batches:
                pair.entry.data_received(data)
            await asyncio.sleep(0)
        calls["entry"] += counts["call"] + counts["c_call"]
    pair.close()
    tokens = STREAMS * ROUNDS
    if pair.written != tokens * len(EVENT):
        raise AssertionError(f"{pair.written} bytes reached the callers.")
    size = sum(len(data) for data in batches)
    return Figures(
        calls["agent"] / tokens,
        calls["entry"] / tokens,
        size / tokens - len(EVENT),
        len(batches) / ROUNDS,
    )


def measure() -> Figures:
    """Return the costs of one token; the same on every run."""
    return asyncio.run(_measure())


def run(short: bool) -> bool:
    """Print the costs with their bounds; return whether they were met."""
    figures, bounds = measure(), Bounds()
    met = True
    for name in Figures.__slots__:
        value, bound = getattr(figures, name), getattr(bounds, name)
        met = met and value <= bound
        typer.echo(f"{name:12} {value:8.2f} a token, bound {bound:8.2f}")
    return met


if __name__ == "__main__":
    sys.exit(not run(short=True))
