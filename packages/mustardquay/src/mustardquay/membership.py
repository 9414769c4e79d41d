"""Membership: the instance list, which lags, combined with heartbeats.

Each entry links to a bounded subset of the agents. The subset is chosen from the
agent's side by rendezvous hashing, so that every agent has several entries, from its
own availability zone if there are any. Rendezvous hashing: Thaler and Ravishankar,
"Using Name-Based Mappings to Increase Hit Rates", 1998.
"""

from collections import defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from datetime import timedelta
from enum import StrEnum
from typing import Literal

from xxhash import xxh3_64_intdigest

__all__ = [
    "Instance",
    "MemberState",
    "Membership",
    "choose_agents",
    "choose_domains",
    "choose_readers",
]

MIN_ENTRIES_PER_AGENT = 3
"""Minimum number of entries linked to each agent, if there are that many."""
READERS_PER_ZONE = 3
"""Number of entries of a zone that poll the head of the configuration log."""


@dataclass(frozen=True, slots=True)
class Instance:
    """An item of the platform's instance list."""

    name: str
    kind: Literal["entry", "agent"]
    address: str
    port: int
    availability_zone: str
    state: Literal["live", "leaving"] = "live"


class MemberState(StrEnum):
    """The state of an instance, from the list and its heartbeats."""

    LISTED = "listed"
    """On the list, without any heartbeat so far."""
    LIVE = "live"
    LEAVING = "leaving"
    SILENT = "silent"
    """Its heartbeats have stopped."""


@dataclass(slots=True)
class _Member:
    instance: Instance | None = None
    incarnation: int = -1
    leaving: bool = False
    heartbeat_at: timedelta | None = None


class Membership:
    """The instance list and the heartbeats that one process has received.

    Heartbeats take precedence over the list, which lags: an instance that announces
    that it is leaving gets no new work although it is still listed, and one that sends
    heartbeats is kept although it is not listed yet.
    """

    def __init__(self, heartbeat_timeout: timedelta):
        self._heartbeat_timeout = heartbeat_timeout
        self._members: dict[str, _Member] = {}

    def update(self, instances: Iterable[Instance], now: timedelta) -> None:
        """Replace the instance list."""
        listed = {instance.name: instance for instance in instances}
        for name, instance in listed.items():
            self._members.setdefault(name, _Member()).instance = instance
        for name in self._members.keys() - listed.keys():
            if not self._is_alive(self._members[name], now):
                del self._members[name]

    def note_heartbeat(
        self, name: str, incarnation: int, leaving: bool, now: timedelta
    ) -> None:
        """Record a heartbeat; `incarnation` rises when the process is replaced.

        Heartbeats of one incarnation must arrive in order, as they do on links, so that
        the end of a drain is recognised. Those of an older incarnation are ignored: an
        abandoned link may still deliver some.
        """
        member = self._members.setdefault(name, _Member())
        if incarnation < member.incarnation:
            return
        member.incarnation = incarnation
        member.leaving = leaving
        member.heartbeat_at = now

    def get_state(self, name: str, now: timedelta) -> MemberState | None:
        """Return the state of an instance, or None if it is unknown."""
        member = self._members.get(name)
        if member is None:
            return None
        if member.leaving:
            return MemberState.LEAVING
        listed_as = member.instance.state if member.instance else "live"
        if listed_as == "leaving":
            return MemberState.LEAVING
        if member.heartbeat_at is None:
            return MemberState.LISTED
        return MemberState.LIVE if self._is_alive(member, now) else MemberState.SILENT

    def list_instances(
        self, kind: Literal["entry", "agent"], now: timedelta
    ) -> list[Instance]:
        """Return the instances to link to, sorted by name, without leaving ones."""
        chosen = []
        for name in sorted(self._members):
            instance = self._members[name].instance
            if instance is None or instance.kind != kind:
                continue
            if self.get_state(name, now) is not MemberState.LEAVING:
                chosen.append(instance)
        return chosen

    def _is_alive(self, member: _Member, now: timedelta) -> bool:
        return (
            member.heartbeat_at is not None
            and now - member.heartbeat_at < self._heartbeat_timeout
        )


def choose_agents(
    name: str,
    entries: Sequence[Instance],
    agents: Sequence[Instance],
    limit: int,
    seed: int = 0,
) -> list[Instance]:
    """Return the agents that the entry `name` links to.

    `limit` is the mean number of links allowed for an entry of the zone. It is
    exceeded where agents would otherwise have fewer than `MIN_ENTRIES_PER_AGENT`
    entries.
    """
    entry_zones = _group(entries)
    agent_zones = _group(agents)
    chosen: dict[str, Instance] = {}
    for zone, members in agent_zones.items():
        pool = _pool_entries(zone, entry_zones, seed)
        if not any(entry.name == name for entry in pool):
            continue
        copies = _count_copies(len(pool), len(members), limit)
        for agent in members:
            if name in _rank(pool, agent.name, seed)[:copies]:
                chosen[agent.name] = agent
    if not chosen:
        names = _rank(agents, name, seed)[:limit]
        chosen = {agent.name: agent for agent in agents if agent.name in names}
    return [chosen[key] for key in sorted(chosen)]


def choose_readers(
    entries: Iterable[Instance], zone: str, count: int = READERS_PER_ZONE, seed: int = 0
) -> list[str]:
    """Return the names of the entries that read the log on behalf of a zone."""
    pool = [entry for entry in entries if entry.availability_zone == zone]
    return _rank(pool, f"readers/{zone}", seed)[:count]


def choose_domains(
    name: str, entries: Sequence[Instance], agents: Iterable[Instance], seed: int = 0
) -> list[str]:
    """Return the zones with agents for whose lease the entry `name` competes.

    These are entries of the zone if there are enough, otherwise also entries of other
    zones, chosen as for links to agents: a zone without entries has a holder too.
    """
    entry_zones = _group(entries)
    chosen = []
    for zone in sorted({agent.availability_zone for agent in agents}):
        pool = _pool_entries(zone, entry_zones, seed)
        if name in _rank(pool, f"holders/{zone}", seed)[:READERS_PER_ZONE]:
            chosen.append(zone)
    return chosen


def _group(instances: Iterable[Instance]) -> dict[str, list[Instance]]:
    zones: dict[str, list[Instance]] = defaultdict(list)
    for instance in instances:
        zones[instance.availability_zone].append(instance)
    return zones


def _pool_entries(
    zone: str, entry_zones: dict[str, list[Instance]], seed: int
) -> list[Instance]:
    """Return the entries of the zone, plus those of other zones if too few.

    Whole zones are added in the order of a hash, so that an entry serves only a few
    other zones.
    """
    pool = list(entry_zones.get(zone, ()))
    if len(pool) >= MIN_ENTRIES_PER_AGENT:
        return pool
    others = [other for other in entry_zones if other != zone]
    for other in sorted(others, key=lambda other: (_hash(seed, zone, other), other)):
        pool += entry_zones[other]
        if len(pool) >= MIN_ENTRIES_PER_AGENT:
            break
    return pool


def _count_copies(entries: int, agents: int, limit: int) -> int:
    return min(max(MIN_ENTRIES_PER_AGENT, limit * entries // agents), entries)


def _rank(pool: Iterable[Instance], key: str, seed: int) -> list[str]:
    names = (instance.name for instance in pool)
    return sorted(names, key=lambda name: (_hash(seed, key, name), name))


def _hash(seed: int, key: str, name: str) -> int:
    return xxh3_64_intdigest(f"{key}\n{name}".encode(), seed=seed)
