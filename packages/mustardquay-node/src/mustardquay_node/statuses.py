"""Statuses: the status and probes that a process reports on its admin port."""

from collections.abc import Mapping
from dataclasses import asdict, dataclass, field
from typing import Any

from mustardquay.works import UpstreamView

__all__ = ["Probe", "ProcessStatus", "UpstreamStatus", "describe_status"]


@dataclass(frozen=True, slots=True)
class Probe:
    """The result of `/healthz` or `/readyz`."""

    good: bool
    faults: tuple[str, ...] = ()
    """Problems found, one sentence each, for operators."""


@dataclass(frozen=True, slots=True)
class UpstreamStatus:
    """One upstream as last reported to this process, with the age of that report."""

    name: str
    availability_zone: str
    role: str
    models: tuple[str, ...]
    state: str
    """`ready`, `draining`, `changing` or `unreachable`."""
    queued_tokens: int
    running: int
    age: float
    """Seconds since the last load report."""

    @classmethod
    def from_view(cls, view: UpstreamView, age: float) -> "UpstreamStatus":
        """Return the status of an upstream whose report is `age` seconds old."""
        return cls(
            name=view.name,
            availability_zone=view.availability_zone,
            role=view.role.value,
            models=tuple(sorted(view.models)),
            state=_name_state(view),
            queued_tokens=view.queued_tokens + view.own_tokens,
            running=view.running,
            age=round(age, 3),
        )


@dataclass(frozen=True, slots=True)
class ProcessStatus:
    """Identity, configuration version, readiness and load of one process."""

    process: str
    kind: str
    availability_zone: str
    region: str
    version: str
    """Version of the program."""
    configuration: int
    """Configuration version in force in this process."""
    ready: bool
    draining: bool
    faults: tuple[str, ...] = ()
    """Reasons why it is not ready, one sentence each."""
    incarnation: int = 0
    """For an agent, the fencing number of the claim on its engine."""
    waiting: int = 0
    running: int = 0
    upstreams: tuple[UpstreamStatus, ...] = ()
    peers: Mapping[str, int] = field(default_factory=dict)
    """Configuration versions of the linked processes."""


def describe_status(status: ProcessStatus) -> dict[str, Any]:
    """Return the fields of a status as JSON values."""
    return asdict(status) | {"peers": dict(status.peers)}


def _name_state(view: UpstreamView) -> str:
    if not view.reachable:
        return "unreachable"
    if view.draining:
        return "draining"
    return "ready" if view.ready else "changing"
