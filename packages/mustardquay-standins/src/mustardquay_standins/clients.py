"""Clients: a caller of a site, for demos, load tests and tests."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta
from typing import Any

import orjson
from tornado.httpclient import AsyncHTTPClient, HTTPRequest, HTTPResponse
from tornado.httputil import HTTPHeaders

__all__ = ["Answer", "SiteClient", "read_stream_text"]

TIMEOUT = timedelta(seconds=60)
FAILED_STATUS = 599
"""Tornado's status for a connection that broke."""


@dataclass(frozen=True, slots=True)
class Answer:
    """The response that a caller received."""

    status: int
    headers: HTTPHeaders
    body: bytes
    duration: timedelta
    first_data: timedelta | None = None
    """Time to the first data of a stream."""

    @property
    def outcome(self) -> str:
        """Return the outcome that the entry reported, "" for none."""
        return self.headers.get("Mustardquay-Outcome", "")

    @property
    def request(self) -> str:
        """Return the request id that the entry assigned."""
        return self.headers.get("Mustardquay-Request", "")

    def parse(self) -> Any:
        """Return the JSON body."""
        return orjson.loads(self.body)


@dataclass(slots=True)
class _ReceivedData:
    data: list[bytes] = field(default_factory=list)
    first: float | None = None


class SiteClient:
    """Calls entries with one customer's key."""

    def __init__(self, key: str):
        self._key = key
        self._client = AsyncHTTPClient(force_instance=True, max_clients=1000)

    def close(self) -> None:
        """Close the HTTP client; calls in progress are aborted."""
        self._client.close()

    async def call(
        self,
        method: str,
        url: str,
        body: Any = None,
        headers: dict[str, str] | None = None,
        on_data: Callable[[bytes], None] | None = None,
    ) -> Answer:
        """Make a call; returns what was received, even if the connection was lost."""
        received = _ReceivedData()
        loop = asyncio.get_running_loop()
        started = loop.time()

        def take(data: bytes) -> None:
            if received.first is None:
                received.first = loop.time()
            received.data.append(data)
            if on_data is not None:
                on_data(data)

        data = body if body is None or isinstance(body, bytes) else orjson.dumps(body)
        request = HTTPRequest(
            url,
            method=method,
            body=data,
            headers={"Authorization": f"Bearer {self._key}"} | (headers or {}),
            streaming_callback=take,
            request_timeout=TIMEOUT.total_seconds(),
            allow_nonstandard_methods=True,
        )
        response: HTTPResponse = await self._client.fetch(request, raise_error=False)
        first = None if received.first is None else received.first - started
        return Answer(
            response.code,
            response.headers,
            b"".join(received.data),
            timedelta(seconds=loop.time() - started),
            None if first is None else timedelta(seconds=first),
        )

    async def chat(
        self, entry: str, model: str, prompt: str, max_tokens: int, stream: bool
    ) -> Answer:
        """Request a chat completion."""
        body = {
            "model": model,
            "messages": [{"role": "user", "content": prompt}],
            "max_tokens": max_tokens,
            "stream": stream,
        }
        return await self.call("POST", f"{entry}/v1/chat/completions", body)


def read_stream_text(body: bytes) -> tuple[str, bool]:
    """Return the text of a streamed chat, and whether `[DONE]` was received."""
    texts = []
    done = False
    for event in body.split(b"\n\n"):
        data = event.removeprefix(b"data: ")
        if data == b"[DONE]":
            done = True
        elif data and "choices" in (parsed := orjson.loads(data)):
            for choice in parsed["choices"]:
                delta = choice.get("delta") or {}
                texts.append(delta.get("content") or choice.get("text") or "")
    return "".join(texts), done
