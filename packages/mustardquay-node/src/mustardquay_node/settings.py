"""Settings: the INI file of one process, read and checked in one place.

`DEFAULTS` holds every key that has a default; the models say which values are
valid. Durations are in seconds.
"""

from configparser import ConfigParser, Error as ConfigParserError
from ipaddress import ip_address
from pathlib import Path
from typing import Annotated, Any, Literal

from pydantic import (
    AfterValidator,
    BaseModel,
    ConfigDict,
    Field,
    ValidationError,
)

from mustardquay import fields
from mustardquay.errors import SettingsError
from mustardquay.fields import Duration

__all__ = [
    "DEFAULTS",
    "AgentSettings",
    "EntrySettings",
    "LinkSettings",
    "NodeSettings",
    "PlatformSettings",
    "ServiceSettings",
    "Settings",
    "read_settings",
]

DEFAULTS: dict[str, dict[str, str]] = {
    "node": {
        "address": "127.0.0.1",
        "region": "local",
        "admin_port": "0",
        "log_level": "info",
        "ring_capacity": "10000",
    },
    "platform": {"timeout": "2"},
    "link": {
        "heartbeat": "1",
        "silence": "4",
        "frame_limit": "16777216",
    },
    "entry": {
        "port": "0",
        "body_limit": "4194304",
        "header_timeout": "10",
        "body_timeout": "30",
        "idle_timeout": "60",
        "progress_timeout": "20",
        "drain_timeout": "120",
        "claim_lifetime": "86400",
        "claim_window": "0.005",
        "retry_ratio": "0.1",
        "attempts": "3",
        "agents": "64",
        "certificate": "",
        "private_key": "",
    },
    "agent": {
        "port": "0",
        "kind": "engine",
        "fencing": "true",
        "concurrency": "32",
        "queue_capacity": "1000",
        "progress_timeout": "20",
        "report_interval": "0.5",
        "longest_order": "30",
        "drain_timeout": "120",
    },
}


def _check_address(value: str) -> str:
    ip_address(value)
    return value


Words = Annotated[tuple[str, ...], fields.Words]
Address = Annotated[str, AfterValidator(_check_address)]
Port = Annotated[int, Field(ge=0, le=65535)]
Count = Annotated[int, Field(ge=1)]


class _Section(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)


class NodeSettings(_Section):
    """Section `node`: what this process is and where it runs."""

    name: Annotated[str, Field(min_length=1)]
    kind: Literal["entry", "agent"]
    availability_zone: Annotated[str, Field(min_length=1)]
    region: str
    address: Address
    admin_port: Port
    log_level: Literal["debug", "info", "warning", "error"]
    ring_capacity: Count


class PlatformSettings(_Section):
    """Section `platform`: where the platform's services are."""

    tables: str
    objects: str
    instances: str
    timeout: Duration


class LinkSettings(_Section):
    """Section `link`: the links between entries and agents."""

    keys: Words
    """Shared secrets; the first signs, all are accepted, so that they rotate."""
    heartbeat: Duration
    silence: Duration
    frame_limit: Count


class EntrySettings(_Section):
    """Section `entry`: towards callers."""

    port: Port
    operator_keys: Words
    body_limit: Count
    header_timeout: Duration
    body_timeout: Duration
    idle_timeout: Duration
    progress_timeout: Duration
    drain_timeout: Duration
    claim_lifetime: Duration
    claim_window: Duration
    retry_ratio: Annotated[float, Field(ge=0, le=1)]
    attempts: Count
    agents: Count
    certificate: str
    private_key: str


class AgentSettings(_Section):
    """Section `agent`: towards the upstream beside this process."""

    port: Port
    kind: Literal["engine", "service"]
    upstream: str
    """Base URL of the engine or plain service, with an IP number."""
    upstream_name: str
    service: str = ""
    """Name under which a plain service is called."""
    fencing: bool
    """Whether the engine refuses an order with an old fencing number."""
    concurrency: Count
    queue_capacity: Count
    progress_timeout: Duration
    report_interval: Duration
    longest_order: Duration
    drain_timeout: Duration


class ServiceSettings(_Section):
    """Section `service:NAME`: which calls of a plain service are idempotent."""

    idempotent_methods: Words = ("GET", "HEAD", "OPTIONS", "PUT", "DELETE")
    idempotent_paths: Words = ()
    """Path prefixes that are idempotent with any method."""


class Settings(_Section):
    """All the settings of one process."""

    node: NodeSettings
    platform: PlatformSettings
    link: LinkSettings
    entry: EntrySettings | None = None
    agent: AgentSettings | None = None
    services: dict[str, ServiceSettings] = Field(default_factory=dict)


def read_settings(*paths: Path) -> Settings:
    """Read INI files, later ones over earlier ones, and check every key.

    Raises `SettingsError`, which names the file, the section, the key and the
    remedy of each fault.
    """
    parser = ConfigParser(interpolation=None)
    for path in paths:
        _read_file(parser, path)
    source = ", ".join(str(path) for path in paths)
    return check_settings(
        {name: dict(parser[name]) for name in parser.sections()}, source
    )


def check_settings(sections: dict[str, dict[str, str]], source: str) -> Settings:
    """Check sections of strings; `source` names them in errors."""
    kind = sections.get("node", {}).get("kind", "")
    tree: dict[str, Any] = {"services": {}}
    for name, defaults in DEFAULTS.items():
        if name in ("entry", "agent") and name != kind:
            continue
        tree[name] = defaults | sections.get(name, {})
    for name, section in sections.items():
        if name.startswith("service:"):
            tree["services"][name.removeprefix("service:")] = section
        elif name not in DEFAULTS:
            raise SettingsError(
                f"{source}: section [{name}] is unknown; remove it or use one of "
                f"{', '.join(DEFAULTS)} or service:NAME."
            )
    try:
        return Settings.model_validate(tree)
    except ValidationError as error:
        raise SettingsError(_describe(error, source)) from None


def _read_file(parser: ConfigParser, path: Path) -> None:
    try:
        with path.open(encoding="utf-8") as file:
            parser.read_file(file, str(path))
    except OSError as error:
        raise SettingsError(
            f"{path}: can't be read ({error.strerror}); check the path and its rights."
        ) from None
    except (ConfigParserError, UnicodeDecodeError) as error:
        raise SettingsError(f"{path}: is not an INI file; mend it: {error}") from None


def _describe(error: ValidationError, source: str) -> str:
    lines = []
    for fault in error.errors():
        section, *rest = (str(part) for part in fault["loc"])
        key = ".".join(rest)
        remedy = fault["msg"]
        if fault["type"] == "missing":
            remedy = "is missing; add it"
        elif fault["type"] == "extra_forbidden":
            remedy = "is unknown; remove it or mend its spelling"
        lines.append(f"{source}: [{section}] {key}: {remedy}.")
    return "\n".join(lines)
