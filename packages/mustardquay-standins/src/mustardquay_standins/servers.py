"""Servers: the base of the HTTP stand-ins, on tornado's server.

Each stand-in has two dataclasses: `faults`, the switches that a test or a demo sets,
and `counters`. Both are also available over HTTP, as `GET` and `POST /faults` (JSON,
durations in seconds) and `GET /counters`.
"""

import asyncio
import logging
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass, fields
from datetime import timedelta
from random import Random
from typing import Any

import orjson
from pydantic import TypeAdapter, ValidationError
from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPHeaders, HTTPServerRequest, ResponseStartLine
from tornado.netutil import bind_sockets

from mustardquay import Clock, SystemClock

__all__ = ["Call", "Route", "StandinServer", "dump_json"]

logger = logging.getLogger(__name__)

BODY_LIMIT = 64 * 1024 * 1024
REASONS = {
    200: "OK",
    201: "Created",
    202: "Accepted",
    204: "No Content",
    400: "Bad Request",
    404: "Not Found",
    409: "Conflict",
    429: "Too Many Requests",
    503: "Service Unavailable",
}


class Call:
    """One HTTP request to a stand-in, with methods to answer or to drop it."""

    def __init__(self, request: HTTPServerRequest):
        self._request = request
        self._connection = request.connection
        self._done = False

    @property
    def method(self) -> str:
        """Return the HTTP method."""
        return self._request.method or ""

    @property
    def path(self) -> str:
        """Return the path, without the query."""
        return self._request.path

    @property
    def headers(self) -> HTTPHeaders:
        """Return the headers of the request."""
        return self._request.headers

    @property
    def body(self) -> bytes:
        """Return the whole body of the request."""
        return self._request.body

    @property
    def done(self) -> bool:
        """Return whether the call was answered or dropped, or its caller left."""
        stream = self._connection.stream
        return self._done or stream is None or stream.closed()

    def get_argument(self, name: str, default: str) -> str:
        """Return a query argument."""
        values = self._request.query_arguments.get(name)
        return values[-1].decode() if values else default

    def parse(self) -> Any:
        """Return the JSON body; raises `ValueError` when it isn't JSON."""
        return orjson.loads(self.body)

    def on_close(self, callback: Callable[[], None]) -> None:
        """Call `callback` when the caller disconnects."""
        self._connection.set_close_callback(callback)

    def answer(
        self, status: int, body: Any = None, headers: Mapping[str, str] | None = None
    ) -> None:
        """Answer with a JSON body, or with an empty body."""
        data = b"" if body is None else orjson.dumps(body)
        self.answer_bytes(status, data, "application/json", headers)

    def answer_bytes(
        self,
        status: int,
        data: bytes,
        content_type: str = "application/octet-stream",
        headers: Mapping[str, str] | None = None,
    ) -> None:
        """Answer with a body of bytes; does nothing if the caller has disconnected."""
        if self.done:
            return
        lines = HTTPHeaders({"Content-Type": content_type})
        if status != 204:
            lines["Content-Length"] = str(len(data))
        lines.update(headers or {})
        start = ResponseStartLine("", status, REASONS.get(status, "Unknown"))
        self._connection.write_headers(start, lines, data or None)
        self.finish()

    def start_stream(self, content_type: str) -> None:
        """Begin an answer of unknown length."""
        if self.done:
            return
        # Without this, Nagle's algorithm and delayed acknowledgements delay single
        # tokens by about 40 ms.
        self._connection.stream.set_nodelay(True)
        lines = HTTPHeaders({"Content-Type": content_type, "Cache-Control": "no-cache"})
        self._connection.write_headers(ResponseStartLine("", 200, "OK"), lines)

    def write(self, data: bytes) -> Awaitable[None] | None:
        """Send a chunk of a streamed answer; None if the caller has disconnected."""
        if self.done:
            return None
        return self._connection.write(data)

    def finish(self) -> None:
        """End the answer."""
        if not self.done:
            self._done = True
            self._connection.finish()

    def drop(self) -> None:
        """Close the connection without sending anything more."""
        if not self.done:
            self._done = True
            self._connection.detach().close()


@dataclass(frozen=True, slots=True)
class Route:
    """A method and a path prefix with their handler; "" matches any method."""

    method: str
    prefix: str
    handle: Callable[[Call], Awaitable[None]]

    def matches(self, call: Call) -> bool:
        """Return whether the call is for this route."""
        if self.method and self.method != call.method:
            return False
        return call.path.startswith(self.prefix)


class StandinServer:
    """An HTTP server with fault injection."""

    def __init__(
        self, faults: Any, counters: Any, clock: Clock | None = None, seed: int = 0
    ):
        self._clock = clock or SystemClock()
        self._random = Random(seed)
        self._server: HTTPServer | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._active = asyncio.Event()
        """Not set while the server is silent."""
        self._active.set()
        self._address = ""
        self._port = 0
        self.faults = faults
        self.counters = counters
        self._controls = (
            Route("GET", "/faults", self._show_faults),
            Route("POST", "/faults", self._set_faults),
            Route("GET", "/counters", self._show_counters),
        )
        """Routes for tests, which a silent server serves too."""
        self._routes = (*self._controls, *self.list_routes())

    @property
    def address(self) -> str:
        """Return the IP address that the server listens on."""
        return self._address

    @property
    def port(self) -> int:
        """Return the port, which a restart after a crash keeps."""
        return self._port

    @property
    def url(self) -> str:
        """Return the base URL."""
        return f"http://{self._address}:{self._port}"

    def list_routes(self) -> tuple[Route, ...]:
        """Return the routes, the first match of which handles a call."""
        return ()

    async def start(self, address: str = "127.0.0.1", port: int = 0) -> None:
        """Listen; port 0 selects a free port."""
        self._address = address
        self._listen(port)

    async def close(self) -> None:
        """Stop listening, close connections and cancel running calls."""
        self._disconnect()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def fall_silent(self, duration: timedelta) -> None:
        """Begin and answer nothing for a time, then go on; connections stay open."""
        self._active.clear()
        try:
            await asyncio.sleep(duration.total_seconds())
        finally:
            self._active.set()

    def set_faults(self, values: Mapping[str, Any]) -> None:
        """Set switches by name; raises `ValueError` for an unknown one or value."""
        types = {field.name: field.type for field in fields(self.faults)}
        for name, value in values.items():
            if name not in types:
                raise ValueError(f"No switch {name}; use one of {', '.join(types)}.")
            checked = TypeAdapter(types[name]).validate_python(value)
            setattr(self.faults, name, checked)

    def _listen(self, port: int) -> None:
        sockets = bind_sockets(port, self._address)
        self._port = sockets[0].getsockname()[1]
        self._server = HTTPServer(self._receive, max_buffer_size=BODY_LIMIT)
        self._server.add_sockets(sockets)

    def _disconnect(self) -> None:
        if self._server is None:
            return
        self._server.stop()
        for connection in list(self._server._connections):
            connection.stream.close()
        self._server = None

    def _spawn(self, work: Awaitable[None]) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _receive(self, request: HTTPServerRequest) -> None:
        self._spawn(self._handle(Call(request)))

    async def _handle(self, call: Call) -> None:
        for route in self._routes:
            if route.matches(call):
                break
        else:
            call.answer(404, {"error": f"no route for {call.path}"})
            return
        if route not in self._controls:
            await self._active.wait()
        try:
            await route.handle(call)
        except (KeyError, TypeError, ValueError, ValidationError) as error:
            call.answer(400, {"error": f"{type(error).__name__}: {error}"})
        except Exception:
            logger.exception("%s %s failed", call.method, call.path)
            call.drop()

    async def _show_faults(self, call: Call) -> None:
        call.answer_bytes(200, dump_json(self.faults), "application/json")

    async def _set_faults(self, call: Call) -> None:
        self.set_faults(call.parse())
        await self._show_faults(call)

    async def _show_counters(self, call: Call) -> None:
        call.answer_bytes(200, dump_json(self.counters), "application/json")


def dump_json(value: Any) -> bytes:
    """Return the JSON of a dataclass; durations become seconds."""
    return orjson.dumps(
        value,
        default=_convert,
        option=orjson.OPT_NON_STR_KEYS | orjson.OPT_PASSTHROUGH_SUBCLASS,
    )


def _convert(value: Any) -> Any:
    if isinstance(value, timedelta):
        return value.total_seconds()
    if isinstance(value, dict):
        return dict(value)
    raise TypeError(f"{type(value).__name__} has no JSON form.")
