"""A link is a TCP connection between an entry and an agent, with heartbeats.

The entry opens it. Both ends send batches of messages, each with a length prefix and
numbered from 0. An end that receives nothing for the heartbeat timeout closes the
link, even if TCP reports no error, because a device between the ends, such as a
firewall, may have dropped the connection's state.
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
"""Frame limit in bytes for a peer that has not authenticated."""
FINISH_TIMEOUT = timedelta(seconds=2)
SEND_LIMIT = 64 * 1024 * 1024
"""Bytes that a link's write buffer may hold before the link is closed."""


@dataclass(frozen=True, slots=True)
class Identity:
    """Identity of a process on its links."""

    process: str
    incarnation: int
    availability_zone: str
    link: int = 0
    """Number that the entry gives the link; higher for each new link."""


@dataclass(frozen=True, slots=True)
class LinkOptions:
    """Keys, intervals and limits of the links of a process."""

    keys: Sequence[str]
    heartbeat: timedelta
    heartbeat_timeout: timedelta
    frame_limit: int
    batch_interval: timedelta = timedelta(milliseconds=1)
    """Minimum interval between two batches; after a longer pause there is no delay."""


class Link(asyncio.Protocol):
    """One end of a link, with callbacks for opening, messages and loss."""

    def __init__(
        self,
        side: Literal["entry", "agent"],
        identity: Identity,
        options: LinkOptions,
        clock: HybridClock,
        make_heartbeat: "Callable[[Link], Heartbeat]",
        on_opened: "Callable[[Link], None]",
        on_received: "Callable[[Link, Message], None]",
        on_lost: "Callable[[Link, str], None]",
    ):
        self._side = side
        self._identity = identity
        self._options = options
        self._clock = clock
        self._make_heartbeat = make_heartbeat
        self._on_opened = on_opened
        self._on_received = on_received
        self._on_lost = on_lost
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
        self._idle_seconds = 0.0
        self._last_heartbeat = self._loop.time()
        self._timer: asyncio.TimerHandle | None = None

    @property
    def is_open(self) -> bool:
        """Return whether the peer has authenticated and the link is not closed."""
        return self._open and not self._closed

    @property
    def peer(self) -> Hello:
        """Return the peer's handshake message; raises `ProtocolError` before it."""
        if self._peer is None:
            raise ProtocolError("The link has no peer yet; wait until it is open.")
        return self._peer

    def send(self, message: Message) -> bool:
        """Queue a message for the next batch; False when the link is not open."""
        if not self.is_open:
            return False
        self._queue(message)
        return True

    def send_heartbeat(self) -> None:
        """Queue a heartbeat at once, because its contents have changed."""
        if self.is_open:
            self._queue(self._make_heartbeat(self))

    def close(self, reason: str) -> None:
        """Close the link at once and notify the owner."""
        if self._closed:
            return
        self._closed = True
        if self._timer is not None:
            self._timer.cancel()
        self._ended.set()
        if self._transport is not None:
            self._transport.abort()
        self._on_lost(self, reason)

    async def finish(self) -> None:
        """Send everything queued and wait until the peer has closed the link.

        Closing at once could lose the last frames: if bytes of the peer are still
        unread here, TCP resets the connection, and the peer drops what it has not
        read yet, such as the end of an answer.
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
            # The peer has reset the connection, and the event loop has not called
            # `connection_lost` yet.
            self.close(f"connection lost: {error}")

    def flush(self) -> None:
        """Write all queued messages as one batch."""
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
            # A suspended peer reads nothing. The buffer would grow until this
            # process runs out of memory and dies with all its requests.
            self.close("the peer does not read")

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start the handshake; the entry sends the first message."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        connection = transport.get_extra_info("socket")
        if connection is not None:
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._last_heartbeat = self._loop.time()
        self._schedule_heartbeat()
        if self._side == "entry":
            self._send_hello(b"")

    def data_received(self, data: bytes) -> None:
        """Split the bytes into batches and deliver their messages."""
        self._idle_seconds = 0.0
        self._buffer += data
        try:
            self._read_batches()
        except ProtocolError as error:
            self.close(str(error))

    def connection_lost(self, exc: Exception | None) -> None:
        """Notify the owner, unless this end closed the link."""
        self.close(f"connection lost: {exc or 'closed by the peer'}")

    def _read_batches(self) -> None:
        start = 0
        while len(self._buffer) - start >= LENGTH_SIZE and not self._closed:
            size = int.from_bytes(self._buffer[start : start + LENGTH_SIZE], "big")
            self._check_size(size)
            end = start + LENGTH_SIZE + size
            if len(self._buffer) < end:
                break
            self._process_batch(bytes(self._buffer[start + LENGTH_SIZE : end]))
            start = end
        del self._buffer[:start]

    def _check_size(self, size: int) -> None:
        limit = self._options.frame_limit if self._open else HELLO_LIMIT
        if size > limit:
            raise ProtocolError(
                f"A frame has {size} bytes and the limit is {limit}; raise [link] "
                "frame_limit on both ends."
            )

    def _process_batch(self, data: bytes) -> None:
        batch = decode_batch(data)
        if batch.sequence != self._expected:
            raise ProtocolError(
                f"Frame {batch.sequence} arrived instead of {self._expected}; the link "
                "is closed and opened again."
            )
        self._expected += 1
        for message in batch.messages:
            if self._closed:
                return
            if isinstance(message, Hello):
                self._handle_hello(message)
            elif not self._open:
                raise ProtocolError("A message arrived before the handshake.")
            else:
                self._on_received(self, message)
        # Only an authenticated peer may advance this process's clock.
        if self._open:
            self._clock.merge(batch.stamp)

    def _handle_hello(self, hello: Hello) -> None:
        if self._open:
            raise ProtocolError("A second handshake arrived on an open link.")
        if self._side == "entry":
            self._handle_agent_hello(hello)
        elif self._peer is None:
            self._handle_entry_hello(hello)
        else:
            self._handle_entry_proof(hello)

    def _handle_entry_hello(self, hello: Hello) -> None:
        self._peer = hello
        self._peer_nonce = hello.nonce
        self._send_hello(self._prove(self._options.keys[0]))

    def _handle_agent_hello(self, hello: Hello) -> None:
        self._peer = hello
        self._peer_nonce = hello.nonce
        key = self._find_key(hello)
        self._send_hello(self._prove(key))
        self._set_open()

    def _handle_entry_proof(self, hello: Hello) -> None:
        self._find_key(hello)
        self._set_open()

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

    def _send_hello(self, proof: bytes) -> None:
        identity = self._identity
        self._queue(
            Hello(
                identity.process,
                identity.incarnation,
                identity.availability_zone,
                self._nonce,
                proof,
                identity.link,
            )
        )

    def _set_open(self) -> None:
        self._open = True
        self._queue(self._make_heartbeat(self))
        self._on_opened(self)

    def _queue(self, message: Message | Hello) -> None:
        self._outgoing.append(message)
        if not self._flush_scheduled:
            self._flush_scheduled = True
            self._schedule_flush()

    def _schedule_flush(self) -> None:
        # The tokens of one engine step arrive over several iterations of the event
        # loop. A batch for each iteration costs both ends more than its contents.
        batch_interval = self._options.batch_interval.total_seconds()
        wait = self._flushed_at + batch_interval - self._loop.time()
        if wait > 0:
            self._loop.call_later(wait, self.flush)
        else:
            self._loop.call_soon(self.flush)

    def _schedule_heartbeat(self) -> None:
        interval = self._options.heartbeat.total_seconds()
        self._timer = self._loop.call_later(interval, self._run_heartbeat)

    def _run_heartbeat(self) -> None:
        # After a device on the path has dropped the connection's state, TCP reports
        # no error for many minutes. The peer always sends heartbeats, so without any
        # data the connection is unusable and a new one is worth a try.
        self._idle_seconds += self._measure_interval()
        if self._idle_seconds > self._options.heartbeat_timeout.total_seconds():
            self.close("no heartbeat within the heartbeat timeout")
            return
        if self._open:
            self._queue(self._make_heartbeat(self))
        self._schedule_heartbeat()

    def _measure_interval(self) -> float:
        """Return the seconds since the last call, with long pauses capped.

        A process that was suspended, or had no processor time, has received nothing for
        long although its peers are healthy and their data waits in the sockets. If the
        pause counted in full, the process would close all its links on resuming.
        """
        now = self._loop.time()
        elapsed = now - self._last_heartbeat
        self._last_heartbeat = now
        return min(elapsed, 2 * self._options.heartbeat.total_seconds())
