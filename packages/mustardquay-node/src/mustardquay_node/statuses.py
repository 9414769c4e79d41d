"""Statuses: what a process says of itself on its admin port."""

from collections.abc import Mapping
from dataclasses import asdict, dataclass, field
from typing import Any

from mustardquay.works import UpstreamView

__all__ = ["Probe", "ProcessStatus", "UpstreamStatus", "describe_status"]


@dataclass(frozen=True, slots=True)
class Probe:
    """An answer of `/healthz` or `/readyz`, with what is wrong."""

    good: bool
    faults: tuple[str, ...] = ()
    """What is wrong, one sentence each, for people."""


@dataclass(frozen=True, slots=True)
class UpstreamStatus:
    """One upstream as this process sees it, with the age of that view."""

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
        """Return the status of a view whose report is `age` seconds old."""
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
    """One process: what it is, what is in force, what it has to do."""

    process: str
    kind: str
    availability_zone: str
    region: str
    version: str
    """Of the program."""
    configuration: int
    """Version of the configuration log that is in force here."""
    ready: bool
    draining: bool
    faults: tuple[str, ...] = ()
    """Why it is not ready, one sentence each."""
    incarnation: int = 0
    """Of an agent: the fencing number under which it claimed its engine."""
    waiting: int = 0
    running: int = 0
    upstreams: tuple[UpstreamStatus, ...] = ()
    peers: Mapping[str, int] = field(default_factory=dict)
    """Configuration versions of the processes at the other ends of its links."""


def describe_status(status: ProcessStatus) -> dict[str, Any]:
    """Return the fields of a status for JSON."""
    return asdict(status) | {"peers": dict(status.peers)}


def _name_state(view: UpstreamView) -> str:
    if not view.reachable:
        return "unreachable"
    if view.draining:
        return "draining"
    return "ready" if view.ready else "changing"
