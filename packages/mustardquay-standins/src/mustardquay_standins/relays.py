"""Relays: a TCP relay that simulates network failures."""

import asyncio
import socket
import struct
from dataclasses import dataclass
from datetime import timedelta

from mustardquay import Clock

from .servers import StandinServer

__all__ = ["RelayCounters", "RelayFaults", "RelayStandin", "reset_connection"]

CHUNK_SIZE = 65_536
HOLD_CHECK_INTERVAL = 0.01
"""Seconds between checks whether a relay still holds data back."""


@dataclass(slots=True)
class RelayFaults:
    """Fault switches of a relay; those of swallowing also affect open connections."""

    cut: bool = False
    """New connections are closed, and open ones at their next byte. Idle ones are
    closed too if it is set over HTTP or followed by `cut_connections`."""
    swallow_forward: bool = False
    """Bytes to the target are discarded, while the connections stay open."""
    swallow_back: bool = False
    """Bytes from the target are discarded, while the connections stay open."""
    hold: bool = False
    """Data and ends of connections are kept in either direction, and forwarded once
    the switch is off, as by a process that is suspended and goes on."""
    delay: timedelta = timedelta()
    """Delay before each chunk is forwarded, in either direction."""


@dataclass(slots=True)
class RelayCounters:
    """Counters of a relay."""

    connections: int = 0
    forwarded: int = 0
    """Bytes forwarded in either direction."""
    swallowed: int = 0


@dataclass(eq=False, slots=True)
class _Connection:
    writers: tuple[asyncio.StreamWriter, asyncio.StreamWriter]
    blackholed: bool = False


class RelayStandin:
    """Forwards TCP connections to one target, with faults on request."""

    def __init__(
        self,
        target_address: str,
        target_port: int,
        clock: Clock | None = None,
        seed: int = 0,
    ):
        self._target = (target_address, target_port)
        self._server: asyncio.Server | None = None
        self._connections: set[_Connection] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._address = ""
        self._port = 0
        self._control: _RelayControl | None = None
        self._restarting: asyncio.Future[None] | None = None
        self._control_arguments = (clock, seed)
        self.faults = RelayFaults()
        self.counters = RelayCounters()

    @property
    def address(self) -> str:
        """Return the IP address that the relay listens on."""
        return self._address

    @property
    def port(self) -> int:
        """Return the port that the relay listens on."""
        return self._port

    @property
    def url(self) -> str:
        """Return the base URL of the relay, for an HTTP target."""
        return f"http://{self._address}:{self._port}"

    @property
    def control_url(self) -> str:
        """Return the base URL of `/faults`, "" before `start_control`."""
        return self._control.url if self._control else ""

    async def start(self, address: str = "127.0.0.1", port: int = 0) -> None:
        """Listen; port 0 selects a free port."""
        self._server = await asyncio.start_server(self._accept, address, port)
        self._address, self._port = self._server.sockets[0].getsockname()[:2]

    async def start_control(self, address: str = "127.0.0.1", port: int = 0) -> None:
        """Serve `/faults` on a separate port, for other processes."""
        self._control = _RelayControl(self, *self._control_arguments)
        await self._control.start(address, port)

    async def close(self) -> None:
        """Close the listener and every connection."""
        if self._control is not None:
            await self._control.close()
        if self._server is not None:
            self._server.close()
        self.cut_connections()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def cut_connections(self) -> None:
        """Reset every open connection; new ones are accepted."""
        for connection in list(self._connections):
            for writer in connection.writers:
                reset_connection(writer)

    def set_down(self, down: bool) -> None:
        """Close the listener, or open it again on the same port.

        While it is closed, connections are refused, as when no process listens.
        """
        if down and self._server is not None:
            self._server.close()
            self._server = None
            self.cut_connections()
        elif not down and self._server is None:
            self._restarting = asyncio.ensure_future(
                self.start(self._address, self._port)
            )

    def blackhole_connections(self) -> None:
        """Discard all further data of open connections; new connections work."""
        for connection in self._connections:
            connection.blackholed = True

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.faults.cut:
            writer.transport.abort()
            return
        task = asyncio.current_task()
        self._tasks.add(task)
        try:
            await self._relay(reader, writer)
        except OSError:
            writer.transport.abort()
        except asyncio.CancelledError:
            pass
        finally:
            self._tasks.discard(task)

    async def _relay(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        target_reader, target_writer = await asyncio.open_connection(*self._target)
        connection = _Connection((writer, target_writer))
        self._connections.add(connection)
        self.counters.connections += 1
        try:
            await asyncio.gather(
                self._pump(connection, reader, target_writer, "swallow_forward"),
                self._pump(connection, target_reader, writer, "swallow_back"),
            )
        except OSError:
            # A reset of one side is one of the other: an end without it would mark an
            # answer that has no length as complete.
            reset_connection(writer)
            reset_connection(target_writer)
        finally:
            self._connections.discard(connection)
            writer.transport.abort()
            target_writer.transport.abort()

    async def _pump(
        self,
        connection: _Connection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        switch: str,
    ) -> None:
        while True:
            data = await reader.read(CHUNK_SIZE)
            if self.faults.cut:
                raise ConnectionResetError
            if self.faults.delay:
                await asyncio.sleep(self.faults.delay.total_seconds())
            while self.faults.hold:
                await asyncio.sleep(HOLD_CHECK_INTERVAL)
            if connection.blackholed or getattr(self.faults, switch):
                self.counters.swallowed += len(data)
                if not data:
                    return
                continue
            if not data:
                if writer.can_write_eof():
                    writer.write_eof()
                return
            self.counters.forwarded += len(data)
            writer.write(data)
            await writer.drain()


def reset_connection(writer: asyncio.StreamWriter) -> None:
    """End a connection so that the other end gets a reset."""
    connection = writer.transport.get_extra_info("socket")
    if connection is not None and not writer.transport.is_closing():
        linger = struct.pack("ii", 1, 0)
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


class _RelayControl(StandinServer):
    def __init__(self, relay: RelayStandin, clock: Clock | None, seed: int):
        super().__init__(relay.faults, relay.counters, clock, seed)
        self._relay = relay

    def set_faults(self, values: dict[str, object]) -> None:
        super().set_faults(values)
        if self._relay.faults.cut:
            self._relay.cut_connections()
