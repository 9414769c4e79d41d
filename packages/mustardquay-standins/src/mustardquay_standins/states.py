"""States: the state of an engine stand-in, and the orders that change it."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field, replace
from datetime import timedelta
from random import Random
from typing import Any

from tornado.httpclient import AsyncHTTPClient, HTTPError

from mustardquay import Role

__all__ = ["EngineOrders", "OrderCounters", "EngineSetup"]

Change = Callable[[], Awaitable[None]]
LOAD_RETRY_DELAY = 0.2
"""Seconds between attempts to load weights, where there is no `Retry-After`."""


@dataclass(frozen=True, slots=True)
class EngineSetup:
    """The role of an engine, and the models and adapters that it has loaded."""

    role: Role = Role.MIXED
    models: dict[str, str] = field(default_factory=lambda: {"model": "1"})
    """Version by model name."""
    adapters: tuple[str, ...] = ()


@dataclass(slots=True)
class OrderCounters:
    """Counters of the orders that an engine has received."""

    accepted: int = 0
    conflicting: int = 0
    """Received while another order was being executed."""
    stale: int = 0
    """Received with a fencing number below the highest seen."""
    stale_applied: int = 0
    """Stale orders that were executed, by an engine that ignores fences."""
    highest_fence: int = 0
    """Over all boots, also if the engine itself has lost it in a crash."""


class EngineOrders:
    """The state of one engine, changed by one order at a time."""

    def __init__(
        self,
        setup: EngineSetup,
        counters: OrderCounters,
        change_time: timedelta,
        weights_url: str,
        interrupt: Callable[[], None],
    ):
        self._setup = setup
        self._counters = counters
        self._change_time = change_time
        self._weights_url = weights_url
        self._interrupt = interrupt
        self._fence = 0
        self._generation = 0
        self._boot = 1
        self._changing = False
        self._unavailable = False

    @property
    def setup(self) -> EngineSetup:
        """Return the role, models and adapters of the engine."""
        return self._setup

    @property
    def boot(self) -> int:
        """Return the boot number."""
        return self._boot

    @property
    def generation(self) -> int:
        """Return the generation of the last completed order, or 0."""
        return self._generation

    @property
    def changing(self) -> bool:
        """Return whether an order is being executed."""
        return self._changing

    @property
    def unavailable(self) -> bool:
        """Return whether an order keeps the engine from generating."""
        return self._unavailable

    def show(self) -> dict[str, Any]:
        """Return the body of `GET /state`."""
        return {
            "boot": self._boot,
            "fence": self._fence,
            "generation": self._generation,
            "role": self._setup.role,
            "models": self._setup.models,
            "adapters": self._setup.adapters,
            "changing": self._changing,
        }

    def check_model(self, model: str, adapter: str) -> str:
        """Return why the engine can't run a request, or an empty string."""
        if model not in self._setup.models:
            if model not in self._setup.adapters:
                return f"model {model} is not loaded"
        if adapter and adapter not in self._setup.adapters:
            return f"adapter {adapter} is not loaded"
        return ""

    def receive(
        self, order: dict[str, Any], ignore_fences: bool
    ) -> tuple[int, dict[str, Any], Change | None]:
        """Accept or refuse an order; returns status, body and the work to execute."""
        fence, generation = int(order["fence"]), int(order["generation"])
        wanted = EngineSetup(
            Role(order["role"]), dict(order["models"]), tuple(order["adapters"])
        )
        highest = self._counters.highest_fence
        self._counters.highest_fence = max(fence, highest)
        if fence < max(self._fence, highest):
            self._counters.stale += 1
        if fence < self._fence and not ignore_fences:
            return 409, {"error": "stale fence", "fence": self._fence}, None
        if self._changing:
            self._counters.conflicting += 1
            return 409, {"error": "busy"}, None
        if fence < highest:
            self._counters.stale_applied += 1
        self._counters.accepted += 1
        self._fence = max(fence, self._fence)
        self._changing = True
        boot = self._boot
        return 202, {}, lambda: self._carry_out(wanted, generation, boot)

    def crash(self, random: Random, forget_fence: bool) -> None:
        """Begin a new boot; some of the models and all adapters are lost."""
        self._boot += 1
        self._generation = 0
        self._changing = False
        self._unavailable = False
        if forget_fence:
            self._fence = 0
        kept = {
            name: version
            for name, version in self._setup.models.items()
            if random.random() < 0.5
        }
        self._setup = replace(self._setup, models=kept, adapters=())

    async def _carry_out(self, wanted: EngineSetup, generation: int, boot: int) -> None:
        present = self._setup
        if (wanted.role, wanted.models) != (present.role, present.models):
            self._unavailable = True
            self._interrupt()
        for name, version in wanted.models.items():
            if present.models.get(name) != version:
                await self._load_weights(name, version)
        await asyncio.sleep(self._change_time.total_seconds())
        if boot != self._boot:
            return
        self._setup = wanted
        self._generation = generation
        self._changing = False
        self._unavailable = False

    async def _load_weights(self, name: str, version: str) -> None:
        url = f"{self._weights_url}/weights/{name}/{version}"
        while self._weights_url:
            try:
                await AsyncHTTPClient().fetch(url)
                return
            except HTTPError as error:
                headers = error.response.headers if error.response else {}
                wait = float(headers.get("Retry-After", LOAD_RETRY_DELAY))
            except OSError:
                wait = LOAD_RETRY_DELAY
            await asyncio.sleep(wait)
