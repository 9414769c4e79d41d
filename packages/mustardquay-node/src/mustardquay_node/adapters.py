"""The interface of adapters, which translate between a platform and this project.

An adapter is a Python package named in the settings. It contains the platform's names,
formats and calls, and makes no decisions.
"""

import importlib
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from datetime import timedelta
from typing import Any, Protocol

from tornado.httputil import HTTPHeaders

from mustardquay.errors import SettingsError
from mustardquay.organisations import PresentedKey
from mustardquay.requests import PromptPart, PromptTraits
from mustardquay.routing_tables import RoutingTable
from mustardquay.run_evidence import AnswerClaims
from mustardquay.stepwise_decoding import Steps
from mustardquay.store_eras import StorePosition
from mustardquay.tables import TableService
from mustardquay.upstream_capacity import LoadReport
from mustardquay.upstream_lists import Stage, UpstreamRecord
from mustardquay.usage import UsageReport

from .connections import AnswerHead
from .era_watches import EraWatch

__all__ = [
    "Adapter",
    "AnswerFacts",
    "ConfigurationDecoder",
    "DutyAuthority",
    "DutyCall",
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
    """Properties of a caller's request, as read from its headers."""

    id: str
    time_allowed: timedelta | None
    """How long the caller waits; None if the headers don't specify it."""
    prompt: PromptTraits | None
    resumes_after: str | None
    """Id of the last event that the caller received of an interrupted stream."""
    resumes: str | None = None
    """Id of the caller's attempt that brought the first event of that stream."""


@dataclass(frozen=True, slots=True)
class SendTarget:
    """What a send adds to the caller's request for the upstream."""

    upstream_id: str
    time_left: timedelta
    prefill_only: bool = False
    kv_source: str = ""
    """Where the upstream fetches a prefilled prompt; see `Adapter.build_kv_source`."""
    fetch_from: str = ""
    """Address of an engine from which cached parts of the prompt are copied first."""
    resumes_after: str | None = None
    urgency: int | None = None
    """From 0, which is served first, to 9."""
    organisation: str | None = None
    """Name of the caller's organisation, which the upstream is told in place of the
    caller's key; empty for an anonymous caller. None without organisations, where these
    headers are passed on as the caller sent them."""


@dataclass(frozen=True, slots=True)
class AnswerFacts:
    """Properties of an upstream's answer, as read from its headers."""

    request_id: str
    not_run: bool
    """The upstream confirms that it did not and will not run the request."""
    is_other_upstream: bool
    """The address now belongs to another upstream, which did not run the request."""
    is_signed: bool
    """The answer has the header by which upstreams mark answers as their own."""
    is_encoded: bool
    """The body was encoded in transit, since requests never ask for an encoding."""
    retry_after: timedelta | None
    load: LoadReport | None
    """The load of the upstream at the time of the answer."""
    rate_limit: float | None
    """Requests a second that the upstream accepts from all gateways together; None for
    no limit."""
    is_leaving: bool
    """The upstream is leaving and wants no more requests."""
    rest: timedelta
    """For how long a refusing upstream wants no requests from this process; 0 for no
    such request."""
    is_load_invalid: bool = False
    """Whether a figure of the load is missing or can't be used."""

    def make_claims(self, status: int) -> AnswerClaims:
        """Return what an answer of this status says of itself."""
        return AnswerClaims(
            self.request_id,
            status,
            self.is_signed,
            self.not_run,
            self.is_other_upstream,
        )


@dataclass(frozen=True, slots=True)
class Prefilled:
    """A prompt that an engine has prefilled and keeps for another to fetch."""

    handle: str
    tokens: int
    version: int


@dataclass(frozen=True, slots=True)
class EngineReport:
    """The state that an engine reports; some hundred milliseconds old."""

    stage: Stage
    is_switching: bool
    """Whether the engine is carrying out an order to change its stage."""
    orders_accepted: int
    """Orders accepted since the start; an order may state the number it expects."""
    waiting: int
    running: int
    kv_used: int
    """Tokens of cache memory in use that can't be evicted."""
    kv_total: int
    started_ms: int
    """Start of this incarnation in Unix milliseconds; 0 if not reported."""


@dataclass(frozen=True, slots=True)
class DutyAuthority:
    """In whose name a call is sent that only one instance may send."""

    holder: str
    fence: int


@dataclass(frozen=True, slots=True)
class DutyCall:
    """Such a call, encoded."""

    method: str
    path: str
    headers: HTTPHeaders
    body: bytes


@dataclass(frozen=True, slots=True)
class StoreRow:
    """A row of the platform's store."""

    key: str
    value: bytes
    version: int
    """Increases with each write to any row, within an era of the store."""
    deleted: bool = False


@dataclass(frozen=True, slots=True)
class FeedPage:
    """Rows that were returned by one read."""

    rows: Sequence[StoreRow]
    position: StorePosition
    """Where the next read continues."""


def _ignore_bytes(count: int) -> None:
    """Ignore the progress of a read."""


@dataclass(frozen=True, slots=True)
class ReadOptions:
    """Options of a read."""

    wait: timedelta = timedelta()
    """How long the store may hold a read while there are no changes (long polling)."""
    on_new_connection: bool = False
    """Bypasses pooled connections, which may no longer respond."""
    note_bytes: Callable[[int], None] = _ignore_bytes
    """Called with the number of bytes of each part of the answer as it arrives."""


class HistoryLost(Exception):
    """The store no longer has the changes since a version; read all rows instead."""


class StoreTables(TableService, Protocol):
    """The platform's store: a table service that also reports changes of tables."""

    @property
    def era(self) -> int:
        """Return the newest era that the store has reported, 0 if it reports none."""

    async def list_rows(self, table: str, options: ReadOptions) -> FeedPage:
        """Return all rows of a table; each page is a consistent snapshot."""

    async def follow(self, table: str, after: int, options: ReadOptions) -> FeedPage:
        """Return the changes since a version, once there are any; may be empty.

        Raises `HistoryLost`.
        """

    def close(self) -> None:
        """Close the connections."""


class ConfigurationDecoder(Protocol):
    """Decodes versions of the operator's configuration, one after another."""

    def decode(self, value: bytes) -> Steps[RoutingTable]:
        """Decode a version in steps; raises `ProtocolError` if it is invalid."""


class Adapter(Protocol):
    """The interface that the module of an adapter provides."""

    CONFIGURATION_TABLE: str
    CONFIGURATION_KEY: str
    UPSTREAMS_TABLE: str
    READINESS_PATH: str
    ORDER_PATH: str
    REPORT_PATH: str
    CACHE_PATH: str

    def open_store(self, address: str, clock: Any, eras: EraWatch) -> StoreTables:
        """Return a client of the store that passes the era of each answer to `eras`."""

    def make_configuration_decoder(self) -> ConfigurationDecoder:
        """Return a decoder of the operator's configuration."""

    def read_upstream(self, key: str, value: bytes) -> UpstreamRecord:
        """Return an upstream's record; raises `ProtocolError`."""

    def read_request(self, headers: HTTPHeaders) -> RequestFacts:
        """Return what a caller's headers specify; raises `ProtocolError`."""

    def read_request_id(self, headers: HTTPHeaders) -> str:
        """Return the id that a caller gives its request; empty for none."""

    def read_key(self, headers: HTTPHeaders) -> PresentedKey:
        """Return the credentials in a caller's headers."""

    def read_answer(self, head: AnswerHead) -> AnswerFacts:
        """Return what the headers of an upstream's answer specify."""

    def build_headers(self, headers: HTTPHeaders, target: SendTarget) -> HTTPHeaders:
        """Return the headers of a send: the caller's and those for the target."""

    def build_answer_headers(self, request_id: str) -> dict[str, str]:
        """Return the headers by which an answer of this gateway names its request."""

    def build_peer_headers(
        self, headers: HTTPHeaders, time_left: timedelta
    ) -> HTTPHeaders:
        """Return a caller's headers for another gateway, with the time that is left."""

    def read_prefilled(self, body: bytes) -> Prefilled:
        """Return the result of a prefill; raises `ProtocolError`."""

    def read_report(self, body: bytes) -> EngineReport:
        """Return the state that an engine reports; raises `ProtocolError`."""

    def read_cache(self, body: bytes) -> tuple[PromptPart, ...]:
        """Return the parts that an engine has cached; raises `ProtocolError`."""

    def build_kv_source(self, address: str, prefilled: Prefilled) -> str:
        """Return where an upstream fetches a prefilled prompt."""

    def build_handle_path(self, handle: str) -> str:
        """Return the path at which a prefilled prompt is released."""

    def build_usage_call(
        self, address: str, report: UsageReport, authority: DutyAuthority
    ) -> DutyCall:
        """Return the call that reports usage; equal reports have equal bodies."""

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
            "package or correct the name."
        ) from None
