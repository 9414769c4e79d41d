"""Admin handlers: base classes of the admin port's request handlers."""

import hmac
import logging
from collections.abc import Iterable
from hashlib import sha256
from typing import Any

import orjson
from tornado.web import HTTPError, RequestHandler

from mustardquay import __version__
from mustardquay.errors import (
    ConflictError,
    DocumentError,
    MustardquayError,
    StoreResultUnknown,
    StoreUnavailable,
)

__all__ = ["AdminHandler", "BaseHandler", "FallbackHandler", "hash_keys"]

logger = logging.getLogger(__name__)

_STATUSES: tuple[tuple[type[MustardquayError], int], ...] = (
    (DocumentError, 400),
    (ConflictError, 409),
    (StoreUnavailable, 503),
    (StoreResultUnknown, 504),
    (MustardquayError, 500),
)


def hash_keys(keys: Iterable[str]) -> tuple[bytes, ...]:
    """Return digests of equal length, so that comparisons don't leak key lengths."""
    return tuple(sha256(key.encode()).digest() for key in keys)


class BaseHandler(RequestHandler):
    """Responds with JSON, also to errors, and never includes a traceback."""

    def set_default_headers(self) -> None:
        """Set the server header and disable caching."""
        self.set_header("Server", f"mustardquay/{__version__}")
        self.set_header("Cache-Control", "no-store")

    def compute_etag(self) -> None:
        """Omit the ETag, since responses are not cached."""
        return None

    def send(self, value: Any) -> None:
        """Send a JSON value and finish the response."""
        self.set_header("Content-Type", "application/json")
        self.finish(orjson.dumps(value, option=orjson.OPT_APPEND_NEWLINE))

    def make_error(self, status: int, message: str) -> HTTPError:
        """Return an error to raise; the message says how to correct the request."""
        # Passed as an argument, since Tornado would treat a `%` in it as a format.
        return HTTPError(status, "%s", message, reason=None)

    def read_number(self, name: str, default: int, low: int, high: int) -> int:
        """Return an integer from the query."""
        text = self.get_query_argument(name, str(default))
        if not (text.isascii() and text.isdigit() and low <= int(text) <= high):
            raise self.make_error(400, f"{name} must be {low} to {high}; change it.")
        return int(text)

    def write_error(self, status_code: int, **options: Any) -> None:
        """Send an error as JSON; known errors have their own status and message."""
        error = options.get("exc_info", (None, None))[1]
        if isinstance(error, MustardquayError):
            status_code = next(
                code for kind, code in _STATUSES if isinstance(error, kind)
            )
            self.set_status(status_code)
        if status_code in (503, 504):
            self.set_header("Retry-After", "1")
        self.send(
            {"error": self._describe(status_code, error)} | self.add_details(error)
        )

    def add_details(self, error: BaseException | None) -> dict[str, Any]:
        """Return additional fields for the body of an error."""
        return {}

    def log_exception(self, kind: Any, error: Any, traceback: Any) -> None:
        """Log a traceback only for unexpected exceptions."""
        if isinstance(error, HTTPError | MustardquayError):
            logger.info("Admin request refused: %s", error)
        else:
            super().log_exception(kind, error, traceback)

    def _describe(self, status: int, error: BaseException | None) -> str:
        if isinstance(error, MustardquayError):
            return str(error)
        if isinstance(error, HTTPError) and error.args:
            return str(error.args[0])
        if status == 405:
            return f"{self.request.method} is not possible here; see the docs."
        if status == 400:
            return "The request is malformed; see the docs."
        return "An internal fault; see this process's log."


class AdminHandler(BaseHandler):
    """Requires an operator's key."""

    def initialize(self, digests: tuple[bytes, ...]) -> None:
        """Set the digests of the operators' keys."""
        self._digests = digests

    @property
    def operator(self) -> str:
        """Return an identifier of the operator's key that does not reveal it."""
        return f"key-{self._given.hex()[:8]}"

    def prepare(self) -> None:
        """Refuse a request without an operator's key."""
        scheme, _, key = self.request.headers.get("Authorization", "").partition(" ")
        self._given = sha256(key.strip().encode()).digest()
        # Every digest is compared, each in constant time, so that the duration reveals
        # neither how much of a key is correct nor which key matched.
        matches = [hmac.compare_digest(self._given, digest) for digest in self._digests]
        if scheme.lower() != "bearer" or not any(matches):
            self.set_header("WWW-Authenticate", "Bearer")
            raise self.make_error(
                401, "An operator's key is needed; send Authorization: Bearer KEY."
            )


class FallbackHandler(BaseHandler):
    """Responds to requests for unknown paths."""

    def initialize(self, has_editors: bool) -> None:
        """Set whether this process can edit the configuration."""
        self._has_editors = has_editors

    def prepare(self) -> None:
        """Refuse the request; on an agent, refer to entries for their paths."""
        if self.request.path.startswith("/admin/") and not self._has_editors:
            raise self.make_error(421, "An agent has no such path; ask an entry.")
        raise self.make_error(404, f"There is no {self.request.path}; see the docs.")
