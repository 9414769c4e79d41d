"""Clients: calls to the admin ports of processes."""

import asyncio
import errno
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass
from datetime import timedelta
from socket import gaierror
from typing import Any
from urllib.parse import quote, urlencode
from uuid import uuid4

import orjson
from tornado.httpclient import AsyncHTTPClient, HTTPError, HTTPRequest, HTTPResponse

from mustardquay_node.amendments import CHANGE_ID_HEADER

from .failures import (
    CommandError,
    ConflictFailure,
    ExitCode,
    MisdirectedFailure,
)

__all__ = ["AdminClient", "Answer", "join_path"]

ATTEMPTS = 3
BODY_LIMIT = 64 << 20
SERVER_PREFIX = "mustardquay/"
"""Start of the `Server` header of admin ports; the port for callers lacks it."""
RETRY_DELAY = timedelta(seconds=0.5)

_UNREACHABLE = (errno.EHOSTUNREACH, errno.ENETUNREACH)

Sleep = Callable[[float], Awaitable[None]]


@dataclass(frozen=True, slots=True)
class Answer:
    """The answer of one process, or the error that took its place."""

    url: str
    value: Any = None
    error: str = ""


def join_path(*names: str) -> str:
    """Return a path under `/admin` with each name quoted.

    >>> join_path("contracts", "a/b")
    '/admin/contracts/a%2Fb'
    """
    return "/admin/" + "/".join(quote(name, safe="") for name in names)


class AdminClient:
    """Calls the configured admin ports, in the order given."""

    def __init__(
        self,
        urls: Sequence[str],
        key: str,
        timeout: timedelta,
        sleep: Sleep = asyncio.sleep,
    ):
        if not urls:
            raise CommandError(
                "No admin port is named; give --admin URL or set MUSTARDQUAY_ADMIN.",
                ExitCode.USAGE,
            )
        self._urls = [url.rstrip("/") for url in urls]
        self._key = key
        self._timeout = timeout.total_seconds()
        self._sleep = sleep

    async def get(self, path: str, **query: str | int) -> Any:
        """Return the answer of the first process that is available."""
        failure = None
        for url in self._urls:
            try:
                return await self._send(url, "GET", _add_query(path, query))
            except MisdirectedFailure as error:
                failure = failure or error
            except CommandError as error:
                if error.code is not ExitCode.UNAVAILABLE:
                    raise
                failure = error
        raise failure

    async def get_all(self, path: str, **query: str | int) -> list[Answer]:
        """Return the answer or the error of every process."""
        full = _add_query(path, query)
        return await asyncio.gather(*(self._try(url, full) for url in self._urls))

    async def edit(self, method: str, path: str, body: Any = None) -> Any:
        """Send an edit, with retries until its result is known.

        The answer to an edit can be lost after the edit took effect. A retry as a
        new edit would conflict with itself or be applied twice, so all attempts
        carry the same change id, for which the log accepts one edit only.
        """
        change_id = uuid4().hex
        urls = list(self._urls)
        attempts = 0
        unclear = False
        while True:
            url = urls[attempts % len(urls)]
            try:
                return await self._send(url, method, path, body, change_id)
            except MisdirectedFailure:
                urls.remove(url)
                if not urls:
                    raise
                continue
            except CommandError as error:
                if error.code not in (ExitCode.UNAVAILABLE, ExitCode.UNCLEAR):
                    raise
                unclear = unclear or error.code is ExitCode.UNCLEAR
                failure = error
            attempts += 1
            if attempts == ATTEMPTS:
                break
            await self._sleep(RETRY_DELAY.total_seconds())
        if not unclear:
            message = f"Nothing was changed. {failure}"
            raise CommandError(message, ExitCode.UNAVAILABLE)
        raise CommandError(
            f"The edit may or may not be in force ({failure}) Check whether it is, and "
            "send it again if not.",
            ExitCode.UNCLEAR,
        )

    async def _try(self, url: str, path: str) -> Answer:
        try:
            return Answer(url, await self._send(url, "GET", path))
        except CommandError as error:
            return Answer(url, error=str(error))

    async def _send(
        self, url: str, method: str, path: str, body: Any = None, change_id: str = ""
    ) -> Any:
        response = await self._fetch(
            self._build_request(url, method, path, body, change_id)
        )
        if not response.headers.get("Server", "").startswith(SERVER_PREFIX):
            raise CommandError(
                f"{url}: answered {response.code}, but is not an admin port; give the "
                "URL of an admin port, not that of the port for callers.",
            )
        value = _decode(response)
        if response.code == 200:
            return value
        raise _explain_response(url, method, response.code, value)

    def _build_request(
        self, url: str, method: str, path: str, body: Any, change_id: str
    ) -> HTTPRequest:
        headers = {"Authorization": f"Bearer {self._key}"} if self._key else {}
        if change_id:
            headers[CHANGE_ID_HEADER] = change_id
        return HTTPRequest(
            url + path,
            method=method,
            headers=headers,
            body=None if body is None else orjson.dumps(body),
            connect_timeout=self._timeout,
            request_timeout=self._timeout,
            follow_redirects=False,
            allow_nonstandard_methods=True,
        )

    async def _fetch(self, request: HTTPRequest) -> HTTPResponse:
        client = AsyncHTTPClient(force_instance=True, max_body_size=BODY_LIMIT)
        try:
            return await client.fetch(request, raise_error=False)
        except (OSError, HTTPError, ValueError) as error:
            raise _explain_transport_error(request, error) from None
        finally:
            client.close()


def _explain_transport_error(request: HTTPRequest, error: Exception) -> CommandError:
    """Return an error whose exit code shows whether the request may have arrived.

    A reset or a timeout can occur after the request was received. Only the faults
    checked here are certain to occur before anything was sent.
    """
    unsent = isinstance(error, ConnectionRefusedError | gaierror | ValueError)
    unsent = unsent or getattr(error, "errno", None) in _UNREACHABLE
    if unsent or request.method == "GET":
        return CommandError(
            f"{request.url}: can't be reached ({error}); check the URL of the admin "
            "port and that the process is running.",
            ExitCode.UNAVAILABLE,
        )
    return CommandError(f"{request.url}: did not answer ({error}).", ExitCode.UNCLEAR)


def _add_query(path: str, query: dict[str, str | int]) -> str:
    given = {name: value for name, value in query.items() if value}
    return f"{path}?{urlencode(given)}" if given else path


def _decode(response: HTTPResponse) -> Any:
    try:
        return orjson.loads(response.body)
    except orjson.JSONDecodeError:
        return {}


def _explain_response(url: str, method: str, status: int, value: Any) -> CommandError:
    """Return the error for a response with a status other than 200."""
    fields = value if isinstance(value, dict) else {}
    message = f"{url}: {fields.get('error') or f'answered {status}; see its log.'}"
    if status == 401:
        message += " Give the key with --key or MUSTARDQUAY_KEY."
    if status == 409:
        return ConflictFailure(message, fields.get("conflicts", ()))
    if status == 421:
        return MisdirectedFailure(message)
    if status == 503 or (status >= 500 and method == "GET"):
        return CommandError(message, ExitCode.UNAVAILABLE)
    if status >= 500:
        return CommandError(message, ExitCode.UNCLEAR)
    return CommandError(message)
