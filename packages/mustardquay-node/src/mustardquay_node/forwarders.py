"""Forwarder: all the requests that one gateway is forwarding."""

import asyncio
from functools import partial

from mustardquay.routing_tables import RoutingTable

from .arrivals import admit_request
from .caller_connections import CallerAnswer, CallerRequest
from .forwarder_dependencies import ForwarderDependencies
from .forwardings import forward
from .gateway_stops import DEFAULT_RETRY_AFTER
from .replies import OUTCOME_UNKNOWN, Failure, Reply

__all__ = ["Forwarder"]

UNANSWERED = Failure(504, OUTCOME_UNKNOWN.message)
NO_TABLE = RoutingTable(0, (), {})


class Forwarder:
    """Forwards each request by the configuration in force when it arrived."""

    def __init__(self, deps: ForwarderDependencies):
        self._deps = deps
        self._table: RoutingTable | None = None
        self._running: dict[asyncio.Task[None], Reply] = {}
        self._has_served = False

    @property
    def table(self) -> RoutingTable | None:
        """Return the configuration in force."""
        return self._table

    @property
    def table_or_empty(self) -> RoutingTable:
        """Return the configuration in force, an empty one before the first."""
        return self._table or NO_TABLE

    @property
    def has_organisations(self) -> bool:
        """Return whether the configuration in force has organisations."""
        return self.table_or_empty.organisations is not None

    @property
    def in_flight(self) -> int:
        """Return the number of requests that are being forwarded."""
        return len(self._running)

    @property
    def without_caller(self) -> int:
        """Return the number of those whose caller has left, and which run to an end."""
        return sum(reply.is_caller_gone for reply in self._running.values())

    @property
    def has_served(self) -> bool:
        """Return whether a request has arrived since the start."""
        return self._has_served

    def put_table(self, table: RoutingTable) -> None:
        """Put a configuration in force for new requests."""
        self._table = table

    def handle(self, request: CallerRequest, answer: CallerAnswer) -> None:
        """Answer a request, or start a task that forwards it.

        What needs no waiting is decided here, so that no request depends on a task that
        may be cancelled before it runs.
        """
        self._has_served = True
        reply = Reply(self._deps, request, answer)
        try:
            admitted = admit_request(self._deps, self._table, request, reply)
        except Exception as error:
            self._record_fault(error)
            if not reply.has_ended:
                reply.refuse("fault", DEFAULT_RETRY_AFTER)
            request.body = b""
            return
        if admitted is None:
            request.body = b""
            return
        task = asyncio.create_task(forward(self._deps, admitted, reply, answer))
        self._running[task] = reply
        task.add_done_callback(partial(self._settle, reply))

    async def close(self) -> None:
        """Cancel the remaining requests; each gets an answer."""
        tasks = list(self._running)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _settle(self, reply: Reply, task: asyncio.Task[None]) -> None:
        """Answer a request whose task has ended without an answer.

        A task that is cancelled before its first step runs no code.
        """
        self._running.pop(task, None)
        if not task.cancelled() and (error := task.exception()) is not None:
            self._record_fault(error)
        if reply.is_caller_gone or reply.has_ended:
            return
        retry_after = self._deps.stop.draw_retry_delay(DEFAULT_RETRY_AFTER)
        reply.refuse("unanswered", retry_after, UNANSWERED)

    def _record_fault(self, error: BaseException) -> None:
        self._deps.events.record("forwarding.fault", error=repr(error))
