"""Node settings: the sections that entries and agents read.

They are separate from the sections of gateways, which start faster without them.
"""

from typing import Annotated, Literal

from pydantic import AfterValidator, Field, StringConstraints

from mustardquay import fields
from mustardquay.fields import Duration, check_url

from .keys import DEFAULTS
from .settings import Count, Name, NodeSettings, Port, Section

__all__ = [
    "AgentSettings",
    "EntrySettings",
    "LinkSettings",
    "PlatformSettings",
    "ServiceSettings",
    "Settings",
]

Words = Annotated[tuple[str, ...], fields.SplitWords]
SomeWords = Annotated[Words, Field(min_length=1)]
URL = Annotated[str, AfterValidator(check_url)]


class PlatformSettings(Section):
    """Section `platform`: addresses of the platform's services."""

    tables: URL
    objects: URL
    instances: URL
    timeout: Duration


class LinkSettings(Section):
    """Section `link`: the links between entries and agents."""

    keys: SomeWords
    """Shared secrets; the first one signs and all are accepted, to allow rotation."""
    heartbeat: Duration
    silence: Duration
    frame_limit: Count


class EntrySettings(Section):
    """Section `entry`: the caller side of an entry."""

    port: Port
    operator_keys: SomeWords
    body_limit: Count
    output_limit: Count
    body_timeout: Duration
    idle_timeout: Duration
    progress_timeout: Duration
    lease_term: Duration
    drain_timeout: Duration
    claim_lifetime: Duration
    claim_window: Duration
    retry_ratio: Annotated[float, Field(ge=0, le=1)]
    attempts: Count
    agents: Count
    certificate: str
    private_key: str


class AgentSettings(Section):
    """Section `agent`: the upstream side of an agent."""

    port: Port
    operator_keys: Words = ()
    kind: Literal["engine", "service"]
    upstream: URL
    """Base URL of the engine or plain service, with an IP address."""
    upstream_name: Name
    service: Annotated[str, StringConstraints(pattern=r"^[A-Za-z0-9._-]{0,63}$")] = ""
    """Name by which callers address a plain service."""
    fencing: bool
    """Whether the engine refuses orders with an outdated fencing number."""
    concurrency: Count
    queue_capacity: Count
    progress_timeout: Duration
    report_interval: Duration
    longest_order: Duration
    drain_timeout: Duration


class ServiceSettings(Section):
    """Section `service:NAME`: which calls of a plain service are idempotent."""

    idempotent_methods: Words = tuple(
        DEFAULTS["service:NAME"]["idempotent_methods"].split()
    )
    idempotent_paths: Words = ()
    """Path prefixes that are idempotent with any method."""


class Settings(Section):
    """All settings of one process."""

    node: NodeSettings
    platform: PlatformSettings
    link: LinkSettings
    entry: EntrySettings | None = None
    agent: AgentSettings | None = None
    services: dict[Name, ServiceSettings] = Field(default_factory=dict)
