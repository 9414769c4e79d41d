"""Engines: a stand-in for a model engine with continuous batching.

One loop advances all running requests step by step, as an engine does: each step
generates one token for every request in its decode phase and prefills part of the
prompts of the others. `answers` generates the answers; `states` holds the state that
orders change.
"""

import asyncio
from datetime import timedelta
from typing import Any

import orjson

from mustardquay import Clock

from .answers import hash_prompt
from .caches import PrefixCache
from .costs import Batch, EngineCosts, estimate_step_time
from .engine_calls import EngineRequest, OpenAIWriter, parse_request
from .engine_switches import EngineCounters, EngineFaults
from .servers import Call, Route, StandinServer
from .states import EngineOrders, EngineSetup

__all__ = ["EngineCounters", "EngineFaults", "EngineStandin"]

COMPLETIONS = "/v1/completions"
CHAT_COMPLETIONS = "/v1/chat/completions"
KV_PREFIX = "/kv/"
POLL_INTERVAL = 0.01
"""Seconds between checks of a switch that blocks the loop."""


class EngineStandin(StandinServer):
    """A model engine over HTTP."""

    faults: EngineFaults
    counters: EngineCounters

    def __init__(
        self,
        clock: Clock | None = None,
        seed: int = 0,
        setup: EngineSetup | None = None,
        token_gap: timedelta = timedelta(milliseconds=2),
        prefill_rate: float = 200_000.0,
        concurrency: int = 256,
        cache_pieces: int = 64,
        change_time: timedelta = timedelta(milliseconds=200),
        restart_time: timedelta = timedelta(milliseconds=200),
        weights_url: str = "",
        costs: EngineCosts | None = None,
    ):
        """Create an engine that is not started.

        Each step lasts `token_gap` and prefills at most `prefill_rate` times
        `token_gap` tokens. With `costs`, the cost model determines both instead.
        """
        super().__init__(EngineFaults(), EngineCounters(), clock, seed)
        self._token_gap = token_gap
        self._prefill_rate = prefill_rate
        self._concurrency = concurrency
        self._restart_time = restart_time
        self._costs = costs
        self._cache = PrefixCache(cache_pieces, self._clock, self._random)
        self._orders = EngineOrders(
            setup or EngineSetup(),
            self.counters.orders,
            change_time,
            weights_url,
            self._interrupt_generations,
        )
        self._waiting: list[EngineRequest] = []
        self._running: list[EngineRequest] = []
        self._exports: dict[str, bytes] = {}
        self._imports: set[str] = set()
        self._loads: list[tuple[timedelta, dict[str, Any]]] = []
        self._wake = asyncio.Event()

    @property
    def boot(self) -> int:
        """Return the boot number."""
        return self._orders.boot

    @property
    def running(self) -> int:
        """Return the number of running and waiting generations."""
        return len(self._running) + len(self._waiting)

    @property
    def orders(self) -> EngineOrders:
        """Return the state of the engine and the orders that change it."""
        return self._orders

    def list_routes(self) -> tuple[Route, ...]:
        """Return the routes of an engine."""
        return (
            Route("POST", CHAT_COMPLETIONS, self._generate),
            Route("POST", COMPLETIONS, self._generate),
            Route("GET", "/v1/models", self._list_models),
            Route("DELETE", "/v1/requests/", self._cancel),
            Route("GET", "/state", self._show_state),
            Route("POST", "/orders", self._order),
            Route("GET", "/load", self._show_load),
            Route("GET", "/cache/events", self._show_events),
            Route("GET", KV_PREFIX, self._export_cache),
            Route("PUT", KV_PREFIX, self._import_cache),
            Route("POST", "/crash", self._crash_on_call),
        )

    async def start(self, address: str = "127.0.0.1", port: int = 0) -> None:
        """Listen and start the loop of steps."""
        await super().start(address, port)
        self._spawn(self._run_steps())

    async def crash(self) -> None:
        """Drop every connection, stop listening, and restart with unknown state."""
        self.counters.crashes += 1
        port = self.port
        self._disconnect()
        self._waiting.clear()
        self._running.clear()
        self._exports.clear()
        self._imports.clear()
        self._cache.clear()
        self._orders.crash(self._random, self.faults.forget_fence)
        await asyncio.sleep(self._restart_time.total_seconds())
        self._listen(port)

    async def _generate(self, call: Call) -> None:
        request = parse_request(call, call.path == CHAT_COMPLETIONS)
        if self.faults.refuse or self._orders.unavailable:
            call.answer(503, {"error": "the engine takes no requests now"})
            return
        refusal = self._orders.check_model(request.model, request.adapter)
        if refusal:
            call.answer(404, {"error": refusal})
            return
        self.counters.runs_by_request[request.id] += 1
        self.counters.runs_by_prompt[hash_prompt(request.prompt)] += 1
        marker = self.faults.crash_marker
        if marker and marker in request.prompt:
            await self.crash()
            return
        request.writer = OpenAIWriter(call, request)
        self._waiting.append(request)
        self._wake.set()

    async def _run_steps(self) -> None:
        loop = asyncio.get_running_loop()
        due = loop.time()
        while True:
            if not self._waiting and not self._running:
                self._wake.clear()
                await self._wake.wait()
                due = loop.time()
            duration = self._step().total_seconds() * self.faults.slow_factor
            due = max(due + duration, loop.time())
            await asyncio.sleep(due - loop.time())
            while self.faults.freeze_streams:
                await asyncio.sleep(POLL_INTERVAL)
            await self._active.wait()

    def _step(self) -> timedelta:
        self.counters.steps += 1
        self._admit()
        budget = self._find_prefill_budget()
        prefilled = attended = sequences = context = 0
        for request in list(self._running):
            if request.writer.disconnected:
                self._remove(request)
                self.counters.cancelled += 1
            elif request.prefill_left > 0:
                part = min(request.prefill_left, budget - prefilled)
                attended += part * (request.prompt_tokens - request.prefill_left)
                request.prefill_left -= part
                prefilled += part
            elif request.writer.ready:
                sequences += 1
                context += request.prompt_tokens + request.produced
                self._generate_token(request)
        if self._costs is None:
            return self._token_gap
        batch = Batch(prefilled, attended, sequences, context)
        return estimate_step_time(self._costs, batch)

    def _find_prefill_budget(self) -> int:
        if self._costs is not None:
            return self._costs.chunk[self._orders.setup.role]
        return max(1, int(self._prefill_rate * self._token_gap.total_seconds()))

    def _admit(self) -> None:
        self._waiting.sort(key=lambda request: -request.priority)
        while self._waiting and len(self._running) < self._concurrency:
            request = self._waiting.pop(0)
            cached = self._cache.use(request.pieces, self.faults.lost_events)
            request.cached_tokens = min(cached, request.prompt_tokens)
            if request.id in self._imports:
                self._imports.discard(request.id)
                request.cached_tokens = request.prompt_tokens
            request.prefill_left = request.prompt_tokens - request.cached_tokens
            self._running.append(request)

    def _generate_token(self, request: EngineRequest) -> None:
        if request.position < len(request.tokens):
            request.writer.write_token(request.tokens[request.position])
            request.position += 1
            request.produced += 1
            self.counters.tokens += 1
        if self._must_drop(request):
            self.faults.drops -= 1
            request.writer.drop()
            self._remove(request)
        elif request.position >= len(request.tokens):
            request.writer.finish()
            self._remove(request)
            self.counters.finished += 1
            self._keep_export(request)

    def _must_drop(self, request: EngineRequest) -> bool:
        after = self.faults.drop_after
        return self.faults.drops > 0 and 0 < after <= request.produced

    def _remove(self, request: EngineRequest) -> None:
        if request in self._running:
            self._running.remove(request)
        if request in self._waiting:
            self._waiting.remove(request)

    def _keep_export(self, request: EngineRequest) -> None:
        self._exports[request.id] = orjson.dumps(
            {"request": request.id, "pieces": request.pieces}
        )
        while len(self._exports) > self._concurrency:
            del self._exports[next(iter(self._exports))]

    def _interrupt_generations(self) -> None:
        for request in [*self._running, *self._waiting]:
            self.counters.cut_by_change += 1
            request.writer.drop()
        self._running.clear()
        self._waiting.clear()
        self._cache.clear()

    async def _cancel(self, call: Call) -> None:
        name = call.path.rsplit("/", 1)[-1]
        for request in [*self._running, *self._waiting]:
            if request.id == name:
                self.counters.cancelled += 1
                self._remove(request)
                request.writer.drop()
        call.answer(204)

    async def _list_models(self, call: Call) -> None:
        setup = self._orders.setup
        names = [*setup.models, *setup.adapters]
        data = [
            {"id": name, "object": "model", "created": 0, "owned_by": "engine"}
            for name in names
        ]
        call.answer(200, {"object": "list", "data": data})

    async def _show_state(self, call: Call) -> None:
        call.answer(200, self._orders.show())

    async def _order(self, call: Call) -> None:
        status, body, change = self._orders.receive(
            call.parse(), self.faults.ignore_fences
        )
        if change is not None:
            self._spawn(change())
        call.answer(status, body)

    async def _show_load(self, call: Call) -> None:
        now = self._clock.monotonic()
        self._loads.append((now, self._measure_load()))
        limit = now - self.faults.report_lag
        while len(self._loads) > 1 and self._loads[1][0] <= limit:
            del self._loads[0]
        call.answer(200, self._loads[0][1])

    def _measure_load(self) -> dict[str, Any]:
        waiting = sum(request.prompt_tokens for request in self._waiting)
        left = sum(request.prefill_left for request in self._running)
        rate = 1.0 / self._token_gap.total_seconds() / self.faults.slow_factor
        return {
            "queued_tokens": waiting + left,
            "running": len(self._running),
            "prefill_rate": self._prefill_rate / self.faults.slow_factor,
            "decode_rate": rate,
            "kv_used": self._cache.used,
            "kv_capacity": self._cache.capacity,
        }

    async def _show_events(self, call: Call) -> None:
        after = int(call.get_argument("after", "0"))
        call.answer(200, self._cache.show_events(after, self.faults.report_lag))

    async def _export_cache(self, call: Call) -> None:
        name = call.path.removeprefix(KV_PREFIX)
        for request in self._running:
            if request.id == name and request.prefill_left == 0:
                self._keep_export(request)
        data = self._exports.get(name)
        if data is None:
            call.answer(404, {"error": "no cache of this request is kept"})
        else:
            call.answer_bytes(200, data)

    async def _import_cache(self, call: Call) -> None:
        pieces = orjson.loads(call.body)["pieces"]
        self._cache.use(tuple(pieces), self.faults.lost_events)
        self._imports.add(call.path.removeprefix(KV_PREFIX))
        call.answer(204)

    async def _crash_on_call(self, call: Call) -> None:
        await self.crash()
