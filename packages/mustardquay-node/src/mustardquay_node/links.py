"""Links: one TCP connection between an entry and an agent, with heartbeats.

A link is opened by the entry. It carries batches of messages both ways, each
behind its length, numbered from 0. A link on which nothing arrives for the time of
silence is closed by whoever notices, although TCP may call it healthy: something
between the ends may have forgotten the connection.
"""

import asyncio
import secrets
import socket
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from datetime import timedelta
from typing import Literal

from mustardquay.errors import ProtocolError
from mustardquay.events import HybridClock
from mustardquay.messages import Heartbeat, Message

from .frames import Batch, Hello, decode_batch, encode_batch
from .handshakes import NONCE_SIZE, find_key, make_proof

__all__ = ["Identity", "Link", "LinkOptions"]

LENGTH_SIZE = 4
HELLO_LIMIT = 4096
"""Bytes that an end which has not proved itself may send in one frame."""
FINISH_TIMEOUT = timedelta(seconds=2)
SEND_LIMIT = 64 * 1024 * 1024
"""Bytes that may wait in a link's buffer before the peer counts as stuck."""


@dataclass(frozen=True, slots=True)
class Identity:
    """Who a process is on its links."""

    process: str
    incarnation: int
    availability_zone: str
    link: int = 0
    """Number that an entry gives the link; rises with each link to an agent."""


@dataclass(frozen=True, slots=True)
class LinkOptions:
    """Limits and keys of the links of one process."""

    keys: Sequence[str]
    heartbeat: timedelta
    silence: timedelta
    frame_limit: int
    gather: timedelta = timedelta(milliseconds=1)
    """Least time between two batches; a message after a pause goes at once."""


class Link(asyncio.Protocol):
    """One end of a link; calls back when it opens, receives or is lost."""

    def __init__(
        self,
        side: Literal["entry", "agent"],
        identity: Identity,
        options: LinkOptions,
        clock: HybridClock,
        make_heartbeat: "Callable[[Link], Heartbeat]",
        opened: "Callable[[Link], None]",
        received: "Callable[[Link, Message], None]",
        lost: "Callable[[Link, str], None]",
    ):
        self._side = side
        self._identity = identity
        self._options = options
        self._clock = clock
        self._make_heartbeat = make_heartbeat
        self._opened = opened
        self._received = received
        self._lost = lost
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._buffer = bytearray()
        self._outgoing: list[Message | Hello] = []
        self._flush_scheduled = False
        self._flushed_at = 0.0
        self._sent = 0
        self._expected = 0
        self._nonce = secrets.token_bytes(NONCE_SIZE)
        self._peer: Hello | None = None
        self._peer_nonce = b""
        self._open = False
        self._closed = False
        self._ended = asyncio.Event()
        self._silent = 0.0
        self._beaten = self._loop.time()
        self._timer: asyncio.TimerHandle | None = None

    @property
    def is_open(self) -> bool:
        """Return whether the peer has proved itself and the link stands."""
        return self._open and not self._closed

    @property
    def peer(self) -> Hello:
        """Return who the peer is; only while open."""
        if self._peer is None:
            raise ProtocolError("The link has no peer yet; wait until it is open.")
        return self._peer

    def send(self, message: Message) -> bool:
        """Send with the next batch; False when the link is not open."""
        if not self.is_open:
            return False
        self._queue(message)
        return True

    def beat(self) -> None:
        """Send a heartbeat now, since something in it has changed."""
        if self.is_open:
            self._queue(self._make_heartbeat(self))

    def close(self, reason: str) -> None:
        """Close the link at once and tell the owner."""
        if self._closed:
            return
        self._closed = True
        if self._timer is not None:
            self._timer.cancel()
        self._ended.set()
        if self._transport is not None:
            self._transport.abort()
        self._lost(self, reason)

    async def finish(self) -> None:
        """Send all that is queued and wait until the peer has closed the link.

        To close at once could lose the last frames: bytes of the peer that are
        still unread here make TCP reset the connection, and the peer would drop
        what it has not read yet, such as the end of an answer.
        """
        if not self.is_open or self._transport is None:
            self.close("the link was not open")
            return
        self.flush()
        try:
            self._transport.write_eof()
            async with asyncio.timeout(FINISH_TIMEOUT.total_seconds()):
                await self._ended.wait()
        except TimeoutError:
            self.close("the peer did not close the link")
        except OSError as error:
            # The peer has reset the connection and the loop has not told yet.
            self.close(f"connection lost: {error}")

    def flush(self) -> None:
        """Write what was queued, as one batch."""
        self._flush_scheduled = False
        if self._closed or not self._outgoing or self._transport is None:
            return
        messages = tuple(self._outgoing)
        self._outgoing.clear()
        data = encode_batch(Batch(self._sent, self._clock.tick(), messages))
        self._sent += 1
        self._flushed_at = self._loop.time()
        self._transport.write(len(data).to_bytes(LENGTH_SIZE, "big") + data)
        if self._transport.get_write_buffer_size() > SEND_LIMIT:
            # A peer that was stopped takes nothing in, which would show here as
            # memory that grows until this process dies with all its requests.
            self.close("the peer takes nothing in")

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start the handshake; the entry speaks first."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        connection = transport.get_extra_info("socket")
        if connection is not None:
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._beaten = self._loop.time()
        self._schedule_beat()
        if self._side == "entry":
            self._say_hello(b"")

    def data_received(self, data: bytes) -> None:
        """Cut the bytes into batches and hand on their messages."""
        self._silent = 0.0
        self._buffer += data
        try:
            self._take_batches()
        except ProtocolError as error:
            self.close(str(error))

    def connection_lost(self, exc: Exception | None) -> None:
        """Tell the owner, unless this end closed the link."""
        self.close(f"connection lost: {exc or 'closed by the peer'}")

    def _take_batches(self) -> None:
        start = 0
        while len(self._buffer) - start >= LENGTH_SIZE and not self._closed:
            size = int.from_bytes(self._buffer[start : start + LENGTH_SIZE], "big")
            self._check_size(size)
            end = start + LENGTH_SIZE + size
            if len(self._buffer) < end:
                break
            self._take_batch(bytes(self._buffer[start + LENGTH_SIZE : end]))
            start = end
        del self._buffer[:start]

    def _check_size(self, size: int) -> None:
        limit = self._options.frame_limit if self._open else HELLO_LIMIT
        if size > limit:
            raise ProtocolError(
                f"A frame has {size} bytes and the limit is {limit}; raise [link] "
                "frame_limit on both ends."
            )

    def _take_batch(self, data: bytes) -> None:
        batch = decode_batch(data)
        if batch.sequence != self._expected:
            raise ProtocolError(
                f"Frame {batch.sequence} came in place of {self._expected}; the link "
                "is closed and opened again."
            )
        self._expected += 1
        for message in batch.messages:
            if self._closed:
                return
            if isinstance(message, Hello):
                self._take_hello(message)
            elif not self._open:
                raise ProtocolError("A message came before the handshake.")
            else:
                self._received(self, message)
        # Only a peer that has proved itself may move this process's clock.
        if self._open:
            self._clock.merge(batch.stamp)

    def _take_hello(self, hello: Hello) -> None:
        if self._open:
            raise ProtocolError("A second handshake came on an open link.")
        if self._side == "entry":
            self._take_answer(hello)
        elif self._peer is None:
            self._answer_hello(hello)
        else:
            self._take_proof(hello)

    def _answer_hello(self, hello: Hello) -> None:
        self._peer = hello
        self._peer_nonce = hello.nonce
        self._say_hello(self._prove(self._options.keys[0]))

    def _take_answer(self, hello: Hello) -> None:
        self._peer = hello
        self._peer_nonce = hello.nonce
        key = self._find_key(hello)
        self._say_hello(self._prove(key))
        self._become_open()

    def _take_proof(self, hello: Hello) -> None:
        self._find_key(hello)
        self._become_open()

    def _prove(self, key: str) -> bytes:
        return make_proof(
            key,
            self._side,
            self._identity.process,
            self.peer.process,
            self._nonces(),
        )

    def _find_key(self, hello: Hello) -> str:
        other = "agent" if self._side == "entry" else "entry"
        return find_key(
            self._options.keys,
            hello.proof,
            other,
            hello.process,
            self._identity.process,
            self._nonces(),
        )

    def _nonces(self) -> tuple[bytes, bytes]:
        if self._side == "entry":
            return (self._nonce, self._peer_nonce)
        return (self._peer_nonce, self._nonce)

    def _say_hello(self, proof: bytes) -> None:
        me = self._identity
        self._queue(
            Hello(
                me.process,
                me.incarnation,
                me.availability_zone,
                self._nonce,
                proof,
                me.link,
            )
        )

    def _become_open(self) -> None:
        self._open = True
        self._queue(self._make_heartbeat(self))
        self._opened(self)

    def _queue(self, message: Message | Hello) -> None:
        self._outgoing.append(message)
        if not self._flush_scheduled:
            self._flush_scheduled = True
            self._schedule_flush()

    def _schedule_flush(self) -> None:
        # The tokens of one step of an engine come over some turns of the loop. A
        # batch for each turn costs both ends more than what is in it.
        gather = self._options.gather.total_seconds()
        wait = self._flushed_at + gather - self._loop.time()
        if wait > 0:
            self._loop.call_later(wait, self.flush)
        else:
            self._loop.call_soon(self.flush)

    def _schedule_beat(self) -> None:
        interval = self._options.heartbeat.total_seconds()
        self._timer = self._loop.call_later(interval, self._beat)

    def _beat(self) -> None:
        # A connection that was forgotten on its way looks healthy to TCP for many
        # minutes. The peer beats at all times, so silence means that this
        # connection is of no use, and a new one is worth a try.
        self._silent += self._measure_beat()
        if self._silent > self._options.silence.total_seconds():
            self.close("no heartbeat within the time of silence")
            return
        if self._open:
            self._queue(self._make_heartbeat(self))
        self._schedule_beat()

    def _measure_beat(self) -> float:
        """Return the seconds since the last beat, without pauses.

        A process that was paused, or starved of processor time, finds that nothing
        came for long, although its peers were well and what they sent waits in the
        socket. Were the pause counted, it would close all its links as it wakes.
        """
        now = self._loop.time()
        elapsed = now - self._beaten
        self._beaten = now
        return min(elapsed, 2 * self._options.heartbeat.total_seconds())
