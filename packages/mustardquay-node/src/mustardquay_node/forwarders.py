"""Forwarder: all the requests that one gateway is forwarding."""

import asyncio

from mustardquay.routing_tables import RoutingTable

from .caller_connections import CallerAnswer, CallerRequest
from .forwarder_dependencies import ForwarderDependencies
from .forwardings import forward

__all__ = ["Forwarder"]


class Forwarder:
    """Forwards each request by the configuration in force when it arrived."""

    def __init__(self, deps: ForwarderDependencies):
        self._deps = deps
        self._table: RoutingTable | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._has_served = False

    @property
    def table(self) -> RoutingTable | None:
        """Return the configuration in force."""
        return self._table

    @property
    def in_flight(self) -> int:
        """Return the number of requests without a complete answer."""
        return len(self._tasks)

    @property
    def has_served(self) -> bool:
        """Return whether a request has arrived since the start."""
        return self._has_served

    def put_table(self, table: RoutingTable) -> None:
        """Put a configuration in force for new requests."""
        self._table = table

    def handle(self, request: CallerRequest, answer: CallerAnswer) -> None:
        """Start a task that forwards a request."""
        self._has_served = True
        work = forward(self._deps, self._table, request, answer)
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._forget_task)

    async def close(self) -> None:
        """Cancel the remaining requests; each gets an answer.

        Yields to the event loop first, so that tasks created in this iteration start: a
        task that is cancelled before its start runs no code, and its caller would get
        no answer.
        """
        await asyncio.sleep(0)
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _forget_task(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            error = repr(task.exception())
            self._deps.events.record("forwarding.fault", error=error)
