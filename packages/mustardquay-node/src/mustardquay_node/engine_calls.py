"""Calls of a gateway to an engine on its own behalf, not for a caller's request."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from datetime import timedelta

from tornado.httputil import HTTPHeaders

from mustardquay.upstream_lists import UpstreamRecord

from .adapters import Adapter, SendTarget
from .connections import ConnectionPool, Exchange, ExchangeEnd

__all__ = ["CallEngine", "EngineCall", "call_engine", "run_whole"]

CALL_TIMEOUT = timedelta(milliseconds=500)
"""Engines answer such calls within some milliseconds. One that is silent for a second
or so is called again by those who need an answer; an order that waited for longer might
be sent when its sender no longer holds the lease."""


@dataclass(frozen=True, slots=True)
class EngineCall:
    """Method, path and body of such a call."""

    method: str
    path: str
    body: bytes = b""


CallEngine = Callable[[UpstreamRecord, EngineCall], Awaitable[Exchange | None]]
"""Calls an engine, and counts the call towards the engine's rate limit."""


async def call_engine(
    adapter: Adapter,
    pool: ConnectionPool,
    engine: UpstreamRecord,
    call: EngineCall,
    may_send: Callable[[], bool],
) -> Exchange | None:
    """Return the complete answer of an engine, None if there was none in time.

    `may_send` is asked right before the first byte, as connecting takes time.
    """
    base = HTTPHeaders({"Host": engine.address})
    if call.body:
        base["Content-Type"] = "application/json"
    target = SendTarget(engine.id, CALL_TIMEOUT)
    headers = adapter.build_headers(base, target)
    exchange = Exchange(call.method, call.path, headers, call.body, may_send=may_send)
    return await run_whole(pool, exchange, CALL_TIMEOUT)


async def run_whole(
    pool: ConnectionPool, exchange: Exchange, timeout: timedelta
) -> Exchange | None:
    """Run an exchange on a new connection; None without a complete answer in time."""
    try:
        async with asyncio.timeout(timeout.total_seconds()):
            end = await pool.run(exchange, timedelta())
    except TimeoutError:
        return None
    return exchange if end == ExchangeEnd.WHOLE else None
