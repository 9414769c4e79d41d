"""Upstream pollers: periodic polling of the state and load of an agent's upstream."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, replace
from datetime import timedelta
from typing import Any, Literal

import orjson

from mustardquay.caches import CacheEvent
from mustardquay.messages import CacheEvents
from mustardquay.works import Role

from .loops import cancel_task, start_loop
from .upstreams import CallResult, UpstreamCall, UpstreamClient

__all__ = ["UpstreamPoller", "UpstreamReport"]

TIMEOUT = timedelta(seconds=2)


@dataclass(frozen=True, slots=True)
class UpstreamReport:
    """The state and load that the upstream last reported."""

    reachable: bool = False
    boot: str = ""
    changing: bool = False
    generation: int = 0
    role: Role = Role.MIXED
    models: tuple[str, ...] = ()
    adapters: tuple[str, ...] = ()
    queued_tokens: int = 0
    running: int = 0
    prefill_rate: float = 0.0
    decode_rate: float = 0.0
    cache_events: CacheEvents | None = None
    """The events since the previous report, or None if there are none."""

    def without_load(self) -> "UpstreamReport":
        """Return the report without the fields that change continuously."""
        return replace(
            self,
            queued_tokens=0,
            running=0,
            prefill_rate=0.0,
            decode_rate=0.0,
            cache_events=None,
        )


class UpstreamPoller:
    """Polls one upstream for its state and load."""

    def __init__(
        self,
        url: str,
        kind: Literal["engine", "service"],
        interval: timedelta,
        on_report: Callable[[UpstreamReport, UpstreamReport], None],
    ):
        """Call `on_report` with the previous and the new report after each poll."""
        self._client = UpstreamClient(url)
        self._kind = kind
        self._interval = interval
        self._on_report = on_report
        self._report = UpstreamReport()
        self._task: asyncio.Task[None] | None = None
        self._probing: asyncio.Future[str] | None = None
        self._cache_boot = ""
        self._cache_number = 0

    @property
    def report(self) -> UpstreamReport:
        """Return the last report."""
        return self._report

    def start(self) -> None:
        """Start polling."""
        self._task = start_loop(self.poll, self._interval)

    async def close(self) -> None:
        """Stop polling."""
        await cancel_task(self._task)
        self._client.close()

    def probe(self) -> "asyncio.Future[str]":
        """Request the boot over a new connection; "" if there is no answer.

        Calls that failed at the same time share one probe.
        """
        if self._probing is None or self._probing.done():
            self._probing = asyncio.ensure_future(self._poll_boot())
        return self._probing

    async def poll(self) -> None:
        """Poll now, over a new connection."""
        before = self._report
        self._report = await self._read_report()
        self._on_report(before, self._report)

    async def _poll_boot(self) -> str:
        await self.poll()
        return self._report.boot

    async def _read_report(self) -> UpstreamReport:
        load = await self._get("/load")
        if load is None:
            return UpstreamReport()
        if self._kind == "service":
            return UpstreamReport(
                reachable=True,
                boot="service",
                role=Role.SERVICE,
                running=int(load.get("running", 0)),
            )
        state = await self._get("/state")
        if state is None:
            return UpstreamReport()
        report = _make_engine_report(state, load)
        return replace(report, cache_events=await self._read_cache_events(report.boot))

    async def _read_cache_events(self, boot: str) -> CacheEvents | None:
        if boot != self._cache_boot:
            self._cache_boot = boot
            self._cache_number = 0
        answer = await self._get(f"/cache/events?after={self._cache_number}")
        if answer is None or not answer.get("events"):
            return None
        events = tuple(
            CacheEvent(event["number"], event["kind"] == "stored", event["piece"])
            for event in answer["events"]
        )
        self._cache_number = max(event.number for event in events)
        return CacheEvents(boot, int(answer["oldest"]), events)

    async def _get(self, path: str) -> dict[str, Any] | None:
        parts: list[bytes] = []
        statuses: list[int] = []
        call = UpstreamCall(
            "GET",
            path,
            (),
            b"",
            lambda status, headers: statuses.append(status),
            parts.append,
        )
        try:
            async with asyncio.timeout(TIMEOUT.total_seconds()):
                # A new connection, since a kept one whose state was dropped by a
                # device in between would make a healthy upstream seem to be down.
                end = await self._client.run(call, fresh=True)
        except TimeoutError:
            call.cancel()
            return None
        if end is not CallResult.COMPLETE or statuses[-1] != 200:
            return None
        try:
            answer = orjson.loads(b"".join(parts))
        except orjson.JSONDecodeError:
            return None
        return answer if isinstance(answer, dict) else None


def _make_engine_report(state: dict[str, Any], load: dict[str, Any]) -> UpstreamReport:
    return UpstreamReport(
        reachable=True,
        boot=str(state.get("boot", "")),
        changing=bool(state.get("changing", False)),
        generation=int(state.get("generation", 0)),
        role=Role(state.get("role", Role.MIXED)),
        models=tuple(sorted(state.get("models", {}))),
        adapters=tuple(sorted(state.get("adapters", ()))),
        queued_tokens=int(load.get("queued_tokens", 0)),
        running=int(load.get("running", 0)),
        prefill_rate=float(load.get("prefill_rate", 0.0)),
        decode_rate=float(load.get("decode_rate", 0.0)),
    )
