"""Adapters: what a platform must give, in the product's own types.

An adapter is a Python package that the settings name. It holds the platform's names,
formats and calls and decides nothing.
"""

import importlib
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from datetime import timedelta
from typing import Any, Protocol

from tornado.httputil import HTTPHeaders

from mustardquay.errors import SettingsError
from mustardquay.requests import PromptPart, PromptTraits
from mustardquay.routing_tables import RoutingTable
from mustardquay.store_eras import StorePosition
from mustardquay.tables import TableService
from mustardquay.upstream_lists import Stage, UpstreamRecord

from .connections import AnswerHead
from .era_watches import EraWatch

__all__ = [
    "Adapter",
    "AnswerFacts",
    "EngineReport",
    "FeedPage",
    "HistoryLost",
    "Prefilled",
    "ReadOptions",
    "RequestFacts",
    "SendTarget",
    "StoreRow",
    "StoreTables",
    "load_adapter",
]


@dataclass(frozen=True, slots=True)
class RequestFacts:
    """What the platform's headers say of a caller's request."""

    id: str
    time_allowed: timedelta | None
    """How long the caller waits; None when it does not say."""
    prompt: PromptTraits | None
    resumes_after: str | None
    """The last event that the caller has of a stream that broke."""


@dataclass(frozen=True, slots=True)
class SendTarget:
    """What a send tells the upstream beside the caller's request."""

    upstream_id: str
    time_left: timedelta
    prefill_only: bool = False
    kv_source: str = ""
    """Where the upstream fetches the prefilled prompt, as `Prefilled` has it."""
    fetch_from: str = ""
    """Address of an engine from which cached parts of the prompt are copied first."""
    resumes_after: str | None = None
    urgency: int | None = None
    """0 goes first, 9 last."""


@dataclass(frozen=True, slots=True)
class AnswerFacts:
    """What the platform's headers say of an upstream's answer."""

    request_id: str
    not_run: bool
    """The upstream affirms that it did not run the request and won't."""
    is_other_upstream: bool
    """Another upstream has the address by now; it did not run the request."""
    is_signed: bool
    """The answer bears the mark of an upstream's own work."""
    is_encoded: bool
    """The body was changed on its way, since nobody asks for an encoding."""
    retry_after: timedelta | None
    load: tuple[int, int, int] | None
    """Requests that run and that wait, and slots, at the time of the answer."""
    rate_limit: float | None
    """Requests a second that the upstream takes from all gateways together; None for
    as many as come."""


@dataclass(frozen=True, slots=True)
class Prefilled:
    """A prompt that an engine has read and keeps for another to fetch."""

    handle: str
    tokens: int
    version: int


@dataclass(frozen=True, slots=True)
class EngineReport:
    """What an engine says of itself; some hundred milliseconds old."""

    stage: Stage
    is_switching: bool
    """Whether it carries out an order."""
    orders_accepted: int
    """Since its start; an order may name the number that it expects."""
    waiting: int
    running: int
    kv_used: int
    """Tokens of memory that can't be given up."""
    kv_total: int
    started_ms: int
    """Start of this incarnation in Unix milliseconds; 0 when it is not told."""


@dataclass(frozen=True, slots=True)
class StoreRow:
    """A row of the platform's store."""

    key: str
    value: bytes
    version: int
    """Rises with each write, over all rows, within an era of the store."""
    deleted: bool = False


@dataclass(frozen=True, slots=True)
class FeedPage:
    """Rows that were read together."""

    rows: Sequence[StoreRow]
    position: StorePosition
    """From where the next read goes on."""


def _ignore_bytes(count: int) -> None:
    """Take no note of how a read gets on."""


@dataclass(frozen=True, slots=True)
class ReadOptions:
    """How rows are read."""

    wait: timedelta = timedelta()
    """How long the store may hold a read that has nothing to tell."""
    on_new_connection: bool = False
    """Guards against kept connections that went silent."""
    note_bytes: Callable[[int], None] = _ignore_bytes
    """Hears of each part of the answer as it comes, by its bytes."""


class HistoryLost(Exception):
    """The store no longer knows the changes since a version; read all rows."""


class StoreTables(TableService, Protocol):
    """The platform's store: a table service whose tables can be followed."""

    @property
    def era(self) -> int:
        """Return the newest era that the store has told, 0 where it tells none."""

    async def list_rows(self, table: str, options: ReadOptions) -> FeedPage:
        """Return all rows of a table, as of one moment for each page."""

    async def follow(self, table: str, after: int, options: ReadOptions) -> FeedPage:
        """Return the changes since a version, once there is one; may be empty.

        Raises `HistoryLost`.
        """

    def close(self) -> None:
        """Close the connections."""


class Adapter(Protocol):
    """The module that a package of an adapter offers under this interface."""

    CONFIGURATION_TABLE: str
    CONFIGURATION_KEY: str
    UPSTREAMS_TABLE: str
    READINESS_PATH: str
    ORDER_PATH: str
    REPORT_PATH: str
    CACHE_PATH: str

    def open_store(self, address: str, clock: Any, eras: EraWatch) -> StoreTables:
        """Return a client of the store, which tells the era of each answer."""

    def read_configuration(self, value: bytes) -> RoutingTable:
        """Return the operator's configuration; raises `ProtocolError`."""

    def read_upstream(self, key: str, value: bytes) -> UpstreamRecord:
        """Return an upstream's record; raises `ProtocolError`."""

    def read_request(self, headers: HTTPHeaders) -> RequestFacts:
        """Return what a caller's headers say; raises `ProtocolError`."""

    def read_answer(self, head: AnswerHead) -> AnswerFacts:
        """Return what an upstream's headers say."""

    def build_headers(self, headers: HTTPHeaders, target: SendTarget) -> HTTPHeaders:
        """Return the headers of a send: the caller's, and what the target needs."""

    def read_prefilled(self, body: bytes) -> Prefilled:
        """Return what a prefill gave; raises `ProtocolError`."""

    def read_report(self, body: bytes) -> EngineReport:
        """Return what an engine says of itself; raises `ProtocolError`."""

    def read_cache(self, body: bytes) -> tuple[PromptPart, ...]:
        """Return the parts that an engine holds; raises `ProtocolError`."""

    def build_kv_source(self, address: str, prefilled: Prefilled) -> str:
        """Return where an upstream fetches a prefilled prompt."""

    def build_handle_path(self, handle: str) -> str:
        """Return the path under which a prefilled prompt is given up."""

    def build_order(self, stage: Stage, holder: str, fence: int, after: int) -> bytes:
        """Return the body of an order that changes an engine's stage."""


def load_adapter(name: str) -> Adapter:
    """Return the adapter that the settings name.

    Raises `SettingsError` if there is no such package.
    """
    try:
        return importlib.import_module(name)  # type: ignore[return-value]
    except ImportError as error:
        raise SettingsError(
            f"[platform] adapter: {name} can't be imported ({error}); install the "
            "package or mend the name."
        ) from None
