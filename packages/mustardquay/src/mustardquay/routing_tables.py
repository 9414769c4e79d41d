"""Routing tables: which service handles a request, and under which limits.

A table is one version of the operator's configuration, validated and immutable. A
request uses the table that was in force when its head was read.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field, replace
from datetime import timedelta
from enum import StrEnum
from functools import cached_property, lru_cache

from .organisations import OrganisationDirectory

__all__ = [
    "Backend",
    "CallerLimits",
    "EngineTraits",
    "Repeat",
    "Route",
    "RoutingTable",
    "Service",
    "choose_backend",
]


MAX_RANKED_ROUTES = 1024
"""Routes with the rank of an organisation that are kept, of all configurations."""


class Repeat(StrEnum):
    """Whether a request may be executed more than once."""

    IDEMPOTENT = "idempotent"
    AT_MOST_ONCE = "at_most_once"
    STREAM = "stream"
    """Streams of events; at most once, unless the route allows resuming a stream."""


@dataclass(frozen=True, slots=True)
class Backend:
    """A service behind a route, with its weight among the backends of the route."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """The operator's settings for the requests under one host and path prefix."""

    name: str
    host: str
    prefix: str
    """Begins and ends with a slash."""
    repeat: Repeat
    backends: tuple[Backend, ...]
    timeout: timedelta
    """Maximum time until the caller has the complete answer."""
    latency_target: timedelta
    """Time to the first byte within which an answer is on time."""
    priority: int = 0
    """Rank among routes; 0 is the highest."""
    max_attempts: int = 1
    """Maximum number of upstreams to which one request may be sent."""
    has_prompt: bool = False
    """Whether requests declare the parts of a prompt, so that prefix caches matter."""
    resumable: bool = False
    longest_pause: timedelta | None = None
    """Maximum time between two events of a stream that is on time."""
    allows_anonymous: bool = False
    """Whether requests need no key where there are organisations."""

    @property
    def is_repeatable(self) -> bool:
        """Return whether a request may be sent again after it may have run.

        A resumable stream of which no event was delivered is started again.
        """
        if self.repeat is Repeat.STREAM:
            return self.resumable
        return self.repeat is Repeat.IDEMPOTENT

    def with_priority(self, priority: int | None) -> "Route":
        """Return this route with another rank; None keeps that of the route."""
        if priority is None or priority == self.priority:
            return self
        return _replace_priority(self, priority)


@dataclass(frozen=True, slots=True)
class EngineTraits:
    """The operator's settings for the model engines of one service."""

    slots: int
    kv_tokens: int
    """KV cache capacity of one engine, in tokens."""
    handle_lifetime: timedelta
    """How long an engine keeps a prefilled prompt for another engine to fetch."""
    switch_time: timedelta
    """How long an engine is unavailable while it changes its role."""
    steps_per_event: int = 1
    """Generation steps that an engine combines in one event of a stream."""
    copy_seconds: float = 0.0
    """Seconds to copy one token of KV cache between engines; 0 if not declared."""


@dataclass(frozen=True, slots=True)
class Service:
    """A group of interchangeable upstreams."""

    name: str
    max_connections: int
    """Maximum connections to one upstream, from all its clients together."""
    engine: EngineTraits | None = None


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Size and time limits for the requests of callers."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout: timedelta = timedelta(seconds=3)
    idle_timeout: timedelta = timedelta(seconds=15)


@dataclass(frozen=True)
class RoutingTable:
    """One version of the configuration."""

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    limits: CallerLimits = field(default_factory=CallerLimits)
    organisations: OrganisationDirectory | None = None
    """Whose keys callers need; None if callers need no key."""

    @cached_property
    def _by_host(self) -> dict[str, dict[str, Route]]:
        hosts: dict[str, dict[str, Route]] = {}
        for route in self.routes:
            hosts.setdefault(route.host.lower(), {})[route.prefix] = route
        return hosts

    @property
    def engine_services(self) -> list[str]:
        """Return the names of the services whose upstreams are engines."""
        return [name for name, each in self.services.items() if each.engine]

    @property
    def resumable_services(self) -> list[str]:
        """Return the names of the services whose streams may be resumed."""
        names = {
            backend.service
            for route in self.routes
            if route.resumable and route.repeat is Repeat.STREAM
            for backend in route.backends
        }
        return sorted(names)

    def find_switch_time(self, service: str) -> timedelta:
        """Return how long an engine of a service is unavailable while it changes."""
        found = self.services.get(service)
        engine = None if found is None else found.engine
        return timedelta() if engine is None else engine.switch_time

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route of `host` with the longest prefix of `path`.

        The cost grows with the number of slashes in the path, not of routes.

        >>> everything = Route("all", "a.example", "/", Repeat.IDEMPOTENT, (),
        ...     timedelta(1), timedelta(1))
        >>> table = RoutingTable(1, (everything,), {})
        >>> table.find_route("A.example:80", "/x/y?z=/").name
        'all'
        >>> table.find_route("b.example", "/x") is None
        True
        """
        prefixes = self._by_host.get(host.partition(":")[0].lower())
        if prefixes is None:
            return None
        path = path.partition("?")[0]
        end = path.rfind("/")
        while end >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None


@lru_cache(maxsize=MAX_RANKED_ROUTES)
def _replace_priority(route: Route, priority: int) -> Route:
    return replace(route, priority=priority)


def choose_backend(backends: Iterable[Backend], draw: float) -> str | None:
    """Return the service selected by `draw`, a uniform random number from [0, 1).

    >>> pair = (Backend("a", 90), Backend("b", 10))
    >>> choose_backend(pair, 0.89), choose_backend(pair, 0.91)
    ('a', 'b')
    """
    weighted = [backend for backend in backends if backend.weight > 0]
    rest = draw * sum(backend.weight for backend in weighted)
    for backend in weighted:
        rest -= backend.weight
        if rest < 0:
            return backend.service
    return weighted[-1].service if weighted else None
