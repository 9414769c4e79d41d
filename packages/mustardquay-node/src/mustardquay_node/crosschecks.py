"""Checks of combinations of settings that are valid on their own."""

from collections.abc import Iterator
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from .node_settings import Settings

__all__ = ["FRAME_MARGIN", "Fault", "check_combinations"]

FRAME_MARGIN = 65_536
"""Bytes of a frame beside the body in it."""


class Fault(NamedTuple):
    """A key that conflicts with another one, and the remedy."""

    section: str
    key: str
    remedy: str


def check_combinations(settings: "Settings") -> Iterator[Fault]:
    """Yield each conflict between keys that are valid on their own."""
    yield from _check_link(settings)
    if settings.entry is not None:
        yield from _check_entry(settings)
    if settings.agent is not None:
        yield from _check_agent(settings)


def _check_link(settings: "Settings") -> Iterator[Fault]:
    link = settings.link
    if link.silence <= 2 * link.heartbeat:
        longest = (2 * link.heartbeat).total_seconds()
        yield Fault(
            "link",
            "silence",
            f"must be over two heartbeats, {longest:g} s, or one late heartbeat "
            "closes a working link; raise it",
        )


def _check_entry(settings: "Settings") -> Iterator[Fault]:
    entry = settings.entry
    if bool(entry.certificate) != bool(entry.private_key):
        missing = "private_key" if entry.certificate else "certificate"
        other = "certificate" if entry.certificate else "private_key"
        yield Fault("entry", missing, f"is missing beside {other}; set both or neither")
    if entry.body_limit + FRAME_MARGIN > settings.link.frame_limit:
        most = settings.link.frame_limit - FRAME_MARGIN
        yield Fault(
            "entry",
            "body_limit",
            f"must be at most {most}, 64 KiB under the frame limit of [link]; lower "
            "it or raise frame_limit everywhere",
        )
    if entry.port and entry.port == settings.node.admin_port:
        yield Fault("entry", "port", "is also the admin port; choose another")


def _check_agent(settings: "Settings") -> Iterator[Fault]:
    agent = settings.agent
    if agent.kind == "service" and not agent.service:
        yield Fault("agent", "service", "is missing where kind is service; name it")
    if agent.kind == "engine" and agent.service:
        yield Fault(
            "agent", "service", "is set where kind is engine; remove it or correct kind"
        )
    if agent.port and agent.port == settings.node.admin_port:
        yield Fault("agent", "port", "is also the admin port; choose another")
