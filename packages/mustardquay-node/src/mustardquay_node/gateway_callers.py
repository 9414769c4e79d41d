"""The caller side of a gateway: its port, its connections and their requests."""

from datetime import timedelta

from mustardquay.clocks import Clock
from mustardquay.events import EventRing

from .caller_connections import CallerConnections, ConnectionOptions
from .forwarders import Forwarder
from .gateway_servers import GatewayServers
from .memory_guards import MemoryOptions, make_memory_guard

__all__ = ["GatewayCallers"]

END_MARGIN = timedelta(milliseconds=400)
"""How long after the drain timeout answers are still written. The platform kills the
process a second after it, and what else ends in it takes up to half of that."""


class GatewayCallers:
    """The callers of one gateway, from their connections to their answers."""

    def __init__(
        self,
        clock: Clock,
        events: EventRing,
        forwarder: Forwarder,
        servers: GatewayServers,
        memory: MemoryOptions,
    ):
        self._clock = clock
        self._forwarder = forwarder
        self._servers = servers
        self._connections = CallerConnections(
            ConnectionOptions(
                clock,
                events,
                lambda: forwarder.table_or_empty.limits,
                forwarder.handle,
                make_memory_guard(memory, clock, events),
            )
        )

    @property
    def connections(self) -> CallerConnections:
        """Return the connections."""
        return self._connections

    @property
    def in_flight(self) -> int:
        """Return the requests that are owed an answer, or run without their caller."""
        return self._connections.unanswered + self._forwarder.without_caller

    def start(self, address: str) -> str:
        """Listen for callers; returns the address with its real port."""
        self._connections.start()
        return self._servers.listen_to_callers(address, self._connections)

    def end_keep_alive(self) -> None:
        """Close each connection after its next answer."""
        self._servers.end_connections()
        self._connections.end_keep_alive()

    async def end(self, ends_in: timedelta) -> None:
        """Answer what was read, and close all connections.

        `ends_in` is the rest of the drain timeout.
        """
        end_by = self._clock.monotonic() + ends_in + END_MARGIN
        self._servers.stop_accepting()
        # Must precede the closing of connections, which would be taken for callers that
        # disconnected.
        await self._forwarder.close()
        await self._connections.end(end_by)
        self._connections.close()
