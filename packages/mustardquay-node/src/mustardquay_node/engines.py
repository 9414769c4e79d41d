"""Engines: the control calls of an agent to the upstream beside it."""

from datetime import timedelta
from typing import Any, Protocol

import orjson
from pydantic import BaseModel, ConfigDict, ValidationError
from tornado.httpclient import AsyncHTTPClient, HTTPError, HTTPRequest, HTTPResponse

from mustardquay.order_state_machine import OrderResult
from mustardquay.orders import EngineState, Order
from mustardquay.works import Role

__all__ = ["EngineControl", "HttpEngine", "PlainService"]

STATE_TIMEOUT = timedelta(seconds=2)


class EngineControl(Protocol):
    """What a reconciler needs of an upstream."""

    async def start(self) -> None:
        """Open what the calls need."""

    async def close(self) -> None:
        """Abandon the calls under way."""

    async def read_state(self) -> EngineState | None:
        """Return what the upstream is, or None when it does not answer."""

    async def send_order(self, order: Order, timeout: timedelta) -> OrderResult:
        """Send an order and give up after `timeout`."""


class _StateDocument(BaseModel):
    model_config = ConfigDict(extra="ignore", coerce_numbers_to_str=True)

    boot: str
    fence: int
    generation: int
    role: Role
    models: dict[str, str]
    adapters: tuple[str, ...]
    changing: bool


class HttpEngine:
    """A model engine, as docs/PLATFORM.md describes it."""

    def __init__(self, base_url: str):
        self._base_url = base_url.rstrip("/")
        self._client: AsyncHTTPClient | None = None

    async def start(self) -> None:
        """Make the HTTP client."""
        self._client = AsyncHTTPClient(force_instance=True, max_clients=4)

    async def close(self) -> None:
        """Abandon the calls under way."""
        if self._client is not None:
            self._client.close()
            self._client = None

    async def read_state(self) -> EngineState | None:
        """Return what the engine is, or None when it does not answer."""
        response = await self._fetch("/state", "GET", None, STATE_TIMEOUT)
        if response is None or response.code != 200:
            return None
        try:
            state = _StateDocument.model_validate_json(response.body)
        except ValidationError:
            return None
        return EngineState(**state.model_dump())

    async def send_order(self, order: Order, timeout: timedelta) -> OrderResult:
        """Send an order and give up after `timeout`."""
        body = orjson.dumps(
            {
                "fence": order.fence,
                "generation": order.generation,
                "role": order.desired.role,
                "models": dict(order.desired.models),
                "adapters": list(order.desired.adapters),
            }
        )
        response = await self._fetch("/orders", "POST", body, timeout)
        if response is None:
            return OrderResult.LOST
        if response.code == 202:
            return OrderResult.ACCEPTED
        if response.code == 409:
            return _read_conflict(response)
        # Not one of the protocol's answers: the state that is observed next tells.
        return OrderResult.LOST

    async def _fetch(
        self, path: str, method: str, body: bytes | None, timeout: timedelta
    ) -> HTTPResponse | None:
        seconds = timeout.total_seconds()
        request = HTTPRequest(
            self._base_url + path,
            method,
            body=body,
            headers={"Content-Type": "application/json"} if body else None,
            connect_timeout=seconds,
            request_timeout=seconds,
        )
        try:
            return await self._client.fetch(request, raise_error=False)
        except (HTTPError, OSError):
            return None


def _read_conflict(response: HTTPResponse) -> OrderResult:
    try:
        answer: Any = orjson.loads(response.body)
    except orjson.JSONDecodeError:
        return OrderResult.LOST
    if isinstance(answer, dict) and answer.get("error") == "stale fence":
        return OrderResult.STALE
    return OrderResult.BUSY


class PlainService:
    """A plain service: it takes no orders and is always what it should be."""

    async def start(self) -> None:
        """Do nothing."""

    async def close(self) -> None:
        """Do nothing."""

    async def read_state(self) -> EngineState | None:
        """Return a state that is settled."""
        return EngineState("service", 1, Role.SERVICE, {})

    async def send_order(self, order: Order, timeout: timedelta) -> OrderResult:
        """Answer that the order changes nothing."""
        return OrderResult.BUSY
