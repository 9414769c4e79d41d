"""Settings: read and validate the INI files of one process.

The table of keys with their defaults is in `keys`; the models here define the valid
values. Durations are in seconds.
"""

from collections.abc import Mapping
from configparser import ConfigParser, Error as ConfigParserError
from dataclasses import dataclass, field
from datetime import timedelta
from pathlib import Path
from typing import TYPE_CHECKING, Annotated, Any, Literal

from pydantic import (
    AfterValidator,
    BaseModel,
    BeforeValidator,
    ConfigDict,
    Field,
    StringConstraints,
    ValidationError,
)

from mustardquay.errors import SettingsError
from mustardquay.fields import (
    Duration,
    check_address,
    check_socket_address,
)
from mustardquay.validation_errors import describe_errors

from .crosschecks import check_combinations
from .keys import DEFAULTS, KEYS, SECTIONS, SERVICE_PREFIX

if TYPE_CHECKING:
    from .node_settings import Settings

__all__ = [
    "DEFAULTS",
    "BoundsSettings",
    "GatewaySectionSettings",
    "GatewaySettings",
    "NodeSettings",
    "Section",
    "StoreSettings",
    "UsageSettings",
    "check_settings",
    "read_settings",
]


def _check_optional_address(value: str) -> str:
    return check_socket_address(value) if value else value


Name = Annotated[str, StringConstraints(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$")]
Address = Annotated[str, AfterValidator(check_address)]
SocketAddress = Annotated[str, AfterValidator(check_socket_address)]
OptionalSocketAddress = Annotated[str, AfterValidator(_check_optional_address)]
PositiveDuration = Annotated[Duration, Field(gt=timedelta())]
Port = Annotated[int, Field(ge=0, le=65535)]
Count = Annotated[int, Field(ge=1)]


def _lower(value: Any) -> Any:
    return value.lower() if isinstance(value, str) else value


class Section(BaseModel):
    """A section of settings, or all the sections of a process."""

    # Models are built at their first use, as a process uses only sections of its kind.
    model_config = ConfigDict(
        extra="forbid", frozen=True, hide_input_in_errors=True, defer_build=True
    )


class NodeSettings(Section):
    """Section `node`: identity, kind and location of this process."""

    name: Name
    kind: Literal["entry", "agent", "gateway"]
    availability_zone: Name
    region: Name
    address: Address
    admin_port: Port
    log_level: Annotated[
        Literal["debug", "info", "warning", "error"], BeforeValidator(_lower)
    ]
    ring_capacity: Count


class StoreSettings(Section):
    """Section `store`: the platform's store, and the adapter for its protocol."""

    adapter: Annotated[str, StringConstraints(pattern=r"^[A-Za-z_][A-Za-z0-9_.]*$")]
    address: SocketAddress
    upstreams_delay: Duration
    configuration_wait: Duration
    upstream_readers: Annotated[int, Field(ge=0)]


class GatewaySectionSettings(Section):
    """Section `gateway`: connections to callers and to upstreams without agents."""

    listen: SocketAddress
    readiness: SocketAddress
    peer_port: Port
    metrics_port: Port
    processes: Count
    drain_timeout: Duration
    link_rate: Annotated[float, Field(ge=0, allow_inf_nan=False)]
    load_reports: bool
    configuration_relay: bool
    peer_forwarding: bool
    organisation_shares: bool
    memory: Annotated[float, Field(ge=0, allow_inf_nan=False)]


class BoundsSettings(Section):
    """Section `bounds`: guarantees and requirements of the platform."""

    retry_ratio: Annotated[float, Field(ge=0, le=1)]
    retry_allowance: Annotated[float, Field(ge=0)]
    retry_window: Duration
    configuration_delay: Duration


class UsageSettings(Section):
    """Section `usage`: reports of the requests of each organisation."""

    address: OptionalSocketAddress
    window: PositiveDuration
    due: PositiveDuration


class GatewaySettings(Section):
    """All the settings of one gateway."""

    node: NodeSettings
    store: StoreSettings
    gateway: GatewaySectionSettings
    bounds: BoundsSettings
    usage: UsageSettings


SECTIONS_BY_KIND = {
    "entry": ("node", "platform", "link", "entry"),
    "agent": ("node", "platform", "link", "agent"),
    "gateway": ("node", "store", "gateway", "bounds", "usage"),
}
"""Sections that a process of each kind reads."""


@dataclass(slots=True)
class _Sources:
    """Which file set each section and key, for error messages."""

    files: list[str] = field(default_factory=list)
    keys: dict[tuple[str, str], str] = field(default_factory=dict)
    sections: dict[str, str] = field(default_factory=dict)

    def add(self, source: str, sections: Mapping[str, Mapping[str, str]]) -> None:
        """Record that `source` set these sections."""
        self.files.append(source)
        for section, values in sections.items():
            self.sections[section] = source
            self.keys |= {(section, name): source for name in values}

    def locate(self, section: str, key: str = "") -> str:
        """Return file, section and key, with the file that set the key last."""
        fallback = self.sections.get(section) or ", ".join(self.files)
        source = self.keys.get((section, key), fallback)
        return f"{source}: [{section}] {key}".rstrip()


def read_settings(*paths: Path) -> "Settings | GatewaySettings":
    """Read INI files, of which later ones override earlier ones, and check every key.

    Raises `SettingsError`, which names the file, the section, the key and the remedy of
    each fault.
    """
    sources = _Sources()
    merged: dict[str, dict[str, str]] = {}
    for path in paths:
        sections = _read_file(path)
        sources.add(str(path), sections)
        for name, values in sections.items():
            merged.setdefault(name, {}).update(values)
    return _check(merged, sources)


def check_settings(
    sections: Mapping[str, Mapping[str, str]], source: str = "settings"
) -> "Settings | GatewaySettings":
    """Check sections of strings; `source` names them in errors."""
    sources = _Sources()
    sources.add(source, sections)
    return _check(sections, sources)


def _check(
    sections: Mapping[str, Mapping[str, str]], sources: _Sources
) -> "Settings | GatewaySettings":
    _check_names(sections, sources)
    kind = sections.get("node", {}).get("kind", "")
    read = SECTIONS_BY_KIND.get(kind, SECTIONS_BY_KIND["entry"][:-1])
    tree: dict[str, Any] = {
        name: DEFAULTS.get(name, {}) | dict(sections.get(name, {})) for name in read
    }
    model = GatewaySettings if kind == "gateway" else _load_node_settings()
    if model is not GatewaySettings:
        tree["services"] = {
            name.removeprefix(SERVICE_PREFIX): dict(values)
            for name, values in sections.items()
            if name.startswith(SERVICE_PREFIX)
        }

    def locate(path: tuple[int | str, ...]) -> str:
        section, *rest = map(str, path)
        if section == "services" and rest:
            section = SERVICE_PREFIX + rest.pop(0)
        return sources.locate(section, rest[0] if rest else "")

    try:
        settings = model.model_validate(tree)
    except ValidationError as error:
        raise SettingsError(describe_errors(error, locate)) from None
    if isinstance(settings, GatewaySettings):
        return settings
    faults = [
        f"{sources.locate(section, key)}: {remedy}."
        for section, key, remedy in check_combinations(settings)
    ]
    if faults:
        raise SettingsError("\n".join(faults))
    return settings


def _load_node_settings() -> "type[Settings]":
    from .node_settings import Settings

    return Settings


def _check_names(sections: Mapping[str, Mapping[str, str]], sources: _Sources) -> None:
    """Refuse unknown names, also in sections that this kind of process doesn't use."""
    faults = []
    for section, values in sections.items():
        known = "service:NAME" if section.startswith(SERVICE_PREFIX) else section
        if known not in SECTIONS:
            faults.append(
                f"{sources.locate(section)}: is an unknown section; remove it or use "
                f"one of {', '.join(SECTIONS)}."
            )
            continue
        names = {key.name for key in KEYS if key.section == known}
        faults += [
            f"{sources.locate(section, name)}: is unknown; remove it or correct its "
            "spelling."
            for name in values
            if name not in names
        ]
    if faults:
        raise SettingsError("\n".join(faults))


def _read_file(path: Path) -> dict[str, dict[str, str]]:
    parser = ConfigParser(interpolation=None, default_section="")
    try:
        with path.open(encoding="utf-8") as file:
            parser.read_file(file, str(path))
    except OSError as error:
        raise SettingsError(
            f"{path}: can't be read ({error.strerror}); check the path and its "
            "permissions."
        ) from None
    except (ConfigParserError, UnicodeDecodeError) as error:
        raise SettingsError(
            f"{path}: is not an INI file; correct it: {error}"
        ) from None
    return {name: dict(parser[name]) for name in parser.sections()}
