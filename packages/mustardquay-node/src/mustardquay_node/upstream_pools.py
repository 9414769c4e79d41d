"""Connection pools of upstreams, and retry windows of services."""

import asyncio
from collections.abc import Awaitable, Callable
from datetime import timedelta
from functools import partial

from mustardquay.clocks import Clock
from mustardquay.retry_windows import RetryLimits, RetryWindow
from mustardquay.silences import ConnectResult
from mustardquay.upstream_lists import UpstreamRecord

from .client_sockets import make_socket
from .connections import ConnectionPool

__all__ = ["UpstreamPools"]

UPSTREAM_IDLE_LIMIT = timedelta(milliseconds=900)
"""Connections are reused up to this idle time. Upstreams close theirs after some 1.5 s;
a request sent on a connection that is being closed is lost without an error."""
CONNECTION_SHARE = 0.8
"""Share of an upstream's connections that all gateways together open."""
DEFAULT_CONNECTIONS = 64
"""Connections to an upstream whose service is not in the configuration, or not yet."""
PROBE_DELAY = timedelta(milliseconds=30)
"""Time from a broken send to the probe of its upstream: one that crashes closes its
connections a moment before it stops listening."""

PROBE_ATTEMPTS = 10
"""Attempts to probe an upstream while no connection may be opened: those that a crash
cut are closed within a few."""


class UpstreamPools:
    """One pool of connections for each upstream, one retry window for each service."""

    def __init__(
        self,
        clock: Clock,
        retry_limits: RetryLimits,
        processes: int,
        count_gateways: Callable[[], int],
        find_limit: Callable[[str], int | None],
        note_unreachable: Callable[[str], None],
        note_probed: Callable[[str, ConnectResult], None] = lambda id, result: None,
        free_descriptors: Callable[[], bool] = lambda: False,
        socket_buffer: int | None = None,
    ):
        """Take the limits.

        `processes` is the least number of gateways that may run at once;
        `count_gateways` returns how many are listed, `find_limit` the connections that
        an upstream of a service accepts. `note_unreachable` is called for upstreams
        on which a send broke and that a probe can't reach, `note_probed` with the
        results of probes of silent upstreams. `free_descriptors` closes idle
        connections of the process. `socket_buffer` is what the kernel buffers for a
        connection each way; None for what it chooses by itself.
        """
        self._open_socket = partial(make_socket, socket_buffer)
        self._free_descriptors = free_descriptors
        self.retry_limits = retry_limits
        """For the windows of services that are first used from now on."""
        self._clock = clock
        self._processes = processes
        self._count_gateways = count_gateways
        self._find_limit = find_limit
        self._note_unreachable = note_unreachable
        self._note_probed = note_probed
        self._pools: dict[str, ConnectionPool] = {}
        self._windows: dict[str, RetryWindow] = {}
        self._probes: dict[str, asyncio.Task[None]] = {}
        self._silence_probes: dict[str, asyncio.Task[None]] = {}

    async def close(self) -> None:
        """Close the connections."""
        probes = [*self._probes.values(), *self._silence_probes.values()]
        for probe in probes:
            probe.cancel()
        await asyncio.gather(*probes, return_exceptions=True)
        for pool in self._pools.values():
            pool.close()

    def close_idle(self) -> int:
        """Close the idle connections; returns how many."""
        return sum(pool.close_idle() for pool in self._pools.values())

    def get_pool(self, upstream: UpstreamRecord) -> ConnectionPool:
        """Return the connection pool of an upstream."""
        pool = self._pools.get(upstream.id)
        if pool is None:
            most = self._find_limit(upstream.service) or DEFAULT_CONNECTIONS
            gateways = max(self._count_gateways(), 1)
            limit = max(int(most * CONNECTION_SHARE / gateways), 2)
            pool = ConnectionPool(
                upstream.address,
                self._clock,
                limit,
                UPSTREAM_IDLE_LIMIT,
                self._free_descriptors,
                self._open_socket,
            )
            self._pools[upstream.id] = pool
        return pool

    def get_window(self, service: str) -> RetryWindow:
        """Return the retry window of a service."""
        window = self._windows.get(service)
        if window is None:
            processes = max(self._processes, self._count_gateways())
            window = RetryWindow(self.retry_limits, processes)
            self._windows[service] = window
        return window

    def forget(self, id: str) -> None:
        """Drop the connections to an upstream that is gone."""
        pool = self._pools.pop(id, None)
        if pool is not None:
            pool.close()

    def probe(self, upstream: UpstreamRecord) -> "asyncio.Task[None]":
        """Probe an upstream on which a send broke, after a short delay.

        Returns the task of the probe, which ends after `note_unreachable` was called.
        """
        return self._start_probe(self._probes, upstream, self._probe)

    def probe_silent(self, upstream: UpstreamRecord) -> "asyncio.Task[None]":
        """Probe an upstream that is silent while its connections are open.

        Returns the task of the probe, which ends after `note_probed` was called.
        """
        return self._start_probe(self._silence_probes, upstream, self._probe_silent)

    def _start_probe(
        self,
        running: "dict[str, asyncio.Task[None]]",
        upstream: UpstreamRecord,
        probe: Callable[[UpstreamRecord], Awaitable[None]],
    ) -> "asyncio.Task[None]":
        """Return the running probe of an upstream, a new one if there is none."""
        task = running.get(upstream.id)
        if task is None:
            task = asyncio.create_task(self._run_probe(running, upstream, probe))
            running[upstream.id] = task
        return task

    async def _run_probe(
        self,
        running: "dict[str, asyncio.Task[None]]",
        upstream: UpstreamRecord,
        probe: Callable[[UpstreamRecord], Awaitable[None]],
    ) -> None:
        try:
            await probe(upstream)
        finally:
            del running[upstream.id]

    async def _probe(self, upstream: UpstreamRecord) -> None:
        result = ConnectResult.NO_ROOM
        for _ in range(PROBE_ATTEMPTS):
            await asyncio.sleep(PROBE_DELAY.total_seconds())
            result = await self.get_pool(upstream).probe()
            if result is not ConnectResult.NO_ROOM:
                break
        if result in (ConnectResult.REFUSED, ConnectResult.TIMED_OUT):
            self._note_unreachable(upstream.id)

    async def _probe_silent(self, upstream: UpstreamRecord) -> None:
        result = await self.get_pool(upstream).probe()
        self._note_probed(upstream.id, result)
