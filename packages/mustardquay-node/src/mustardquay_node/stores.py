"""Stores: HTTP clients of the platform's services, which docs/PLATFORM.md describes.

Every call has a deadline that includes its retries, is rate limited by a budget and
passes a circuit breaker. Calls that certainly had no effect are retried with full
jitter. A transaction whose answer was lost raises `StoreResultUnknown` and is never
retried here, since only the caller can read back whether it was applied.
"""

from dataclasses import dataclass
from datetime import timedelta
from random import Random
from typing import Any

import orjson
from tornado.httpclient import AsyncHTTPClient, HTTPError, HTTPRequest, HTTPResponse

from mustardquay.breakers import CircuitBreaker
from mustardquay.budgets import Budget, draw_delay
from mustardquay.clocks import Clock
from mustardquay.encodings import decode
from mustardquay.errors import ProtocolError, StoreResultUnknown, StoreUnavailable
from mustardquay.membership import Instance
from mustardquay.tables import Committed, Conflict, Row, Transaction

from .pauses import PauseMeter
from .sleeps import Sleep, sleep as default_sleep

__all__ = [
    "HttpInstances",
    "HttpObjects",
    "HttpTables",
    "HttpWeights",
    "PlatformClient",
    "StoreLimits",
]

MIN_RETRY_DELAY = timedelta(milliseconds=50)
MAX_RETRY_DELAY = timedelta(seconds=1)
CONNECTIONS = 32


@dataclass(frozen=True, slots=True)
class StoreLimits:
    """Rate limits of one process for the table service, in calls per second."""

    read_rate: float = 20.0
    read_burst: int = 40
    write_rate: float = 10.0
    write_burst: int = 20


class _Throttled(StoreUnavailable):
    """The service refused the call because of its rate limit."""

    def __init__(self, message: str, retry_after: timedelta):
        super().__init__(message)
        self.retry_after = retry_after


@dataclass(frozen=True, slots=True)
class _Call:
    method: str
    path: str
    body: bytes | None
    is_write: bool
    meter: PauseMeter
    """Measures for how long this process did not run since the call began."""


class PlatformClient:
    """Calls one of the platform's services."""

    def __init__(
        self,
        base_url: str,
        timeout: timedelta,
        clock: Clock,
        random: Random,
        sleep: Sleep = default_sleep,
        breaker: CircuitBreaker | None = None,
    ):
        self._base_url = base_url.rstrip("/")
        self._timeout = timeout
        self._clock = clock
        self._random = random
        self._sleep = sleep
        self._breaker = breaker or CircuitBreaker(random)
        self._client: AsyncHTTPClient | None = None

    @property
    def is_available(self) -> bool:
        """Return whether the service answered recently."""
        return not self._breaker.is_open

    async def start(self) -> None:
        """Create the HTTP client."""
        self._client = AsyncHTTPClient(force_instance=True, max_clients=CONNECTIONS)

    async def close(self) -> None:
        """Abort the calls in progress."""
        if self._client is not None:
            self._client.close()
            self._client = None

    async def call(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        budget: Budget | None = None,
        is_write: bool = False,
    ) -> HTTPResponse:
        """Return a response with status 200, 204, 404 or 409.

        Raises `StoreUnavailable`, `ProtocolError` and, with `is_write`,
        `StoreResultUnknown`. Time in which this process was paused does not count
        towards the deadline. Otherwise all its calls would have timed out when it
        resumes, and answers of the service that have arrived would not be read.
        """
        call = _Call(method, path, body, is_write, PauseMeter())
        try:
            return await self._repeat(call, budget)
        finally:
            call.meter.close()

    async def _repeat(self, call: _Call, budget: Budget | None) -> HTTPResponse:
        limit = self._clock.monotonic() + self._timeout
        attempt = 0
        while True:
            deadline = limit + call.meter.lost
            await self._await_budget(budget, deadline)
            try:
                return await self._try_once(call, deadline)
            except StoreUnavailable as error:
                delay = draw_delay(
                    self._random, attempt, MIN_RETRY_DELAY, MAX_RETRY_DELAY
                )
                if isinstance(error, _Throttled):
                    delay += error.retry_after
                if self._clock.monotonic() + delay >= limit + call.meter.lost:
                    raise
            attempt += 1
            await self._sleep(delay)

    async def _await_budget(self, budget: Budget | None, deadline: timedelta) -> None:
        if budget is None:
            return
        now = self._clock.monotonic()
        wait = budget.reserve(now, deadline - now)
        if wait > deadline - now:
            raise StoreUnavailable(
                "This process has exceeded its rate limit for calls to the table "
                "service; try again later."
            )
        if wait:
            await self._sleep(wait)

    async def _try_once(self, call: _Call, deadline: timedelta) -> HTTPResponse:
        now = self._clock.monotonic()
        if not self._breaker.allow(now):
            raise StoreUnavailable(
                f"{self._base_url} does not answer; it is probed periodically, try "
                "again later."
            )
        seconds = max((deadline - now).total_seconds(), 0.001)
        request = HTTPRequest(
            self._base_url + call.path,
            call.method,
            body=call.body,
            headers={"Content-Type": "application/json"} if call.body else None,
            connect_timeout=seconds,
            request_timeout=seconds,
        )
        lost = call.meter.lost
        try:
            response = await self._client.fetch(request, raise_error=False)
        except ConnectionRefusedError as error:
            self._breaker.fail(self._clock.monotonic())
            raise StoreUnavailable(f"{self._base_url} refuses connections.") from error
        except (HTTPError, OSError) as error:
            # Timed out or disconnected: the service may have applied the call. A
            # failure during a pause of this process is not one of the service.
            if call.meter.lost == lost:
                self._breaker.fail(self._clock.monotonic())
            raise self._make_lost_error(call.is_write, str(error)) from error
        return self._check(response, call.is_write)

    def _check(self, response: HTTPResponse, is_write: bool) -> HTTPResponse:
        if response.code in (200, 204, 404, 409):
            self._breaker.succeed()
            return response
        if response.code == 429:
            self._breaker.succeed()
            raise _Throttled(
                f"{self._base_url} has reached its rate limit.",
                _parse(response),
            )
        if response.code == 503:
            self._breaker.fail(self._clock.monotonic())
            raise StoreUnavailable(f"{self._base_url} is unavailable (status 503).")
        if response.code >= 500:
            self._breaker.fail(self._clock.monotonic())
            raise self._make_lost_error(is_write, f"status {response.code}")
        self._breaker.succeed()
        raise ProtocolError(
            f"{self._base_url} answered {response.code}: {response.body[:200]!r}; "
            "check the platform's address and version."
        )

    def _make_lost_error(self, is_write: bool, reason: str) -> Exception:
        if is_write:
            return StoreResultUnknown(
                f"The answer of {self._base_url} was lost ({reason}); read back the "
                "result before continuing."
            )
        return StoreUnavailable(f"{self._base_url} did not answer ({reason}).")


def _parse(response: HTTPResponse) -> timedelta:
    try:
        return timedelta(seconds=float(response.headers.get("Retry-After", "0")))
    except ValueError:
        return timedelta()


class HttpTables:
    """The table service."""

    def __init__(self, client: PlatformClient, limits: StoreLimits | None = None):
        limits = limits or StoreLimits()
        self._client = client
        self._reads = Budget(limits.read_rate, limits.read_burst)
        self._writes = Budget(limits.write_rate, limits.write_burst)

    @property
    def is_available(self) -> bool:
        """Return whether the service answered recently."""
        return self._client.is_available

    async def transact(self, transaction: Transaction) -> Committed | Conflict:
        """Apply all writes if all conditions hold."""
        response = await self._client.call(
            "POST",
            "/transact",
            orjson.dumps(transaction),
            self._writes,
            is_write=True,
        )
        answer = orjson.loads(response.body)
        if response.code == 409:
            return Conflict(tuple(_build_row(row) for row in answer["rows"]))
        return Committed(tuple(answer["revisions"]))

    async def read(self, table: str, key: str) -> Row | None:
        """Return the row, or None if there is none."""
        body = {"table": table, "key": key}
        return _build_row((await self._read("/read", body))["row"])

    async def scan(
        self, table: str, after: str = "", limit: int = 1000
    ) -> tuple[Row, ...]:
        """Return the rows with keys greater than `after`, sorted by key."""
        body = {"table": table, "after": after, "limit": limit}
        answer = await self._read("/scan", body)
        return tuple(_build_row(row) for row in answer["rows"])

    async def _read(self, path: str, body: dict[str, Any]) -> dict[str, Any]:
        response = await self._client.call(
            "POST", path, orjson.dumps(body), self._reads
        )
        return orjson.loads(response.body)


def _build_row(value: dict[str, Any] | None) -> Row | None:
    if value is None:
        return None
    return Row(value["table"], value["key"], value["value"], value["revision"])


class HttpObjects:
    """The object store."""

    def __init__(self, client: PlatformClient):
        self._client = client

    async def put(self, name: str, data: bytes) -> None:
        """Store an object.

        Idempotent: a lost answer raises `StoreUnavailable`, and the same bytes may be
        stored again under the same name.
        """
        await self._client.call("PUT", f"/objects/{name}", data)

    async def get(self, name: str) -> bytes | None:
        """Return the object, or None if there is none."""
        response = await self._client.call("GET", f"/objects/{name}")
        return None if response.code == 404 else response.body


class HttpWeights:
    """The weight store."""

    def __init__(self, client: PlatformClient):
        self._client = client

    async def has(self, model: str, version: str) -> bool:
        """Return whether the store has this version of the model."""
        try:
            response = await self._client.call("GET", f"/weights/{model}/{version}")
        except _Throttled:
            return True
        return response.code == 200


class HttpInstances:
    """The list of instances, which may be out of date."""

    def __init__(self, client: PlatformClient):
        self._client = client

    async def list_instances(self) -> tuple[Instance, ...]:
        """Return the list; raises `StoreUnavailable`."""
        response = await self._client.call("GET", "/instances")
        answer = orjson.loads(response.body)
        return tuple(decode(Instance, item) for item in answer["instances"])
