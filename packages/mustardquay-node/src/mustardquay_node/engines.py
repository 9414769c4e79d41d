"""Engines: control calls from an agent to its upstream."""

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
    """The upstream interface that a reconciler uses."""

    async def start(self) -> None:
        """Open the resources for calls."""

    async def close(self) -> None:
        """Abort the calls in progress."""

    async def read_state(self) -> EngineState | None:
        """Return the upstream's state, or None if it does not answer."""

    async def send_order(self, order: Order, timeout: timedelta) -> OrderResult:
        """Send an order; give up after `timeout`."""


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
    """A model engine with the HTTP interface of docs/PLATFORM.md."""

    def __init__(self, base_url: str):
        self._base_url = base_url.rstrip("/")
        self._client: AsyncHTTPClient | None = None

    async def start(self) -> None:
        """Create the HTTP client."""
        self._client = AsyncHTTPClient(force_instance=True, max_clients=4)

    async def close(self) -> None:
        """Abort the calls in progress."""
        if self._client is not None:
            self._client.close()
            self._client = None

    async def read_state(self) -> EngineState | None:
        """Return the engine's state, or None if it does not answer."""
        response = await self._fetch("/state", "GET", None, STATE_TIMEOUT)
        if response is None or response.code != 200:
            return None
        try:
            state = _StateDocument.model_validate_json(response.body)
        except ValidationError:
            return None
        return EngineState(**state.model_dump())

    async def send_order(self, order: Order, timeout: timedelta) -> OrderResult:
        """Send an order; give up after `timeout`."""
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
        # Not an answer of the protocol; the next observed state shows the result.
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
    """A plain service: it accepts no orders and is always in its desired state."""

    async def start(self) -> None:
        """Do nothing."""

    async def close(self) -> None:
        """Do nothing."""

    async def read_state(self) -> EngineState | None:
        """Return a constant state with no change in progress."""
        return EngineState("service", 1, Role.SERVICE, {})

    async def send_order(self, order: Order, timeout: timedelta) -> OrderResult:
        """Refuse the order, since a plain service can't be changed."""
        return OrderResult.BUSY
