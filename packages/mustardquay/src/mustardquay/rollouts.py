"""Rollouts: which order rows the holder of a lease writes next.

The progress of a rollout is recorded in the order rows themselves, so a new holder
continues where the previous one stopped. A planned change takes engines out of service
one instance at a time, and a release never more than the contracts can spare.
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, replace
from datetime import datetime

from .costs import FleetUpstream, count_spare_engines, select_targets
from .orders import Desired, EngineReport, OrderRow
from .plans import Action, PlannedChange, Release
from .revisions import Configuration

__all__ = ["EngineStatus", "propose_rows"]

LARGEST_PART = 50
"""A release takes at most one in this many engines at a time, but at least one."""
ADOPTIONS = 20
"""Maximum number of order rows written in one turn for engines without one."""


@dataclass(frozen=True, slots=True)
class EngineStatus:
    """The rows of one engine of the domain."""

    upstream: FleetUpstream
    row: OrderRow | None = None
    row_revision: int = 0
    report: EngineReport | None = None

    @property
    def is_available(self) -> bool:
        """Return whether the engine is ready and has reached its order row."""
        if self.row is None or self.report is None:
            return False
        return self.report.ready and self.report.generation >= self.row.generation


def propose_rows(
    configuration: Configuration,
    engines: Sequence[EngineStatus],
    now: datetime,
    fleet: Sequence[EngineStatus] = (),
) -> list[tuple[EngineStatus, OrderRow]]:
    """Return the rows to write now; more follow once these are reached.

    `engines` are those of the domain. For a small fleet, `fleet` has the engines of
    all domains: its zones may each be too small to spare an engine, so a release is
    rolled out to one zone after the other.
    """
    adopted = [status for status in engines if _is_adoptable(status)]
    if adopted:
        return [(status, _adopt(status.report)) for status in adopted[:ADOPTIONS]]
    engines = [status for status in engines if status.row is not None]
    causes = _assign_changes(configuration, engines, now)
    proposals = _propose_returns(engines, causes)
    if not proposals:
        proposals = _propose_removals(engines, causes)
    if not proposals:
        proposals = _propose_releases(configuration, engines, fleet or engines)
    return proposals


def _is_adoptable(status: EngineStatus) -> bool:
    if status.row is not None or status.report is None:
        return False
    return status.report.ready


def _adopt(report: EngineReport) -> OrderRow:
    desired = Desired(report.role, dict(report.models), report.adapters)
    return OrderRow(1, desired, "adopted")


def _assign_changes(
    configuration: Configuration, engines: Sequence[EngineStatus], now: datetime
) -> dict[str, PlannedChange]:
    # If several changes include an engine, the one that takes it out of service the
    # longest applies; among equals the one announced first.
    ranks = {Action.WITHDRAW: 0, Action.DRAIN: 1, Action.REPLACE: 2}
    fleet = [status.upstream for status in engines]
    standing = [
        change
        for change in configuration.changes.values()
        if change.starts_at is None or change.starts_at <= now
    ]
    standing.sort(key=lambda item: (ranks[item.action], item.revision, item.name))
    causes: dict[str, PlannedChange] = {}
    for change in standing:
        for name in select_targets(change, fleet):
            causes.setdefault(name, change)
    return causes


def _propose_returns(
    engines: Iterable[EngineStatus], causes: dict[str, PlannedChange]
) -> list[tuple[EngineStatus, OrderRow]]:
    returns = []
    for status in engines:
        change = causes.get(status.upstream.name)
        if status.row.desired.serving or not _may_return(status, change):
            continue
        cause = _name_cause(change, "done") if change else "returned"
        returns.append((status, _follow(status.row, cause, serving=True)))
    return returns


def _may_return(status: EngineStatus, change: PlannedChange | None) -> bool:
    if change is None:
        return True
    if change.action is not Action.REPLACE or status.report is None:
        return False
    # The row's cause records the agent's incarnation when this change drained the
    # engine; a higher one means that the instance was replaced since.
    prefix = _name_cause(change, "from ")
    if not status.row.cause.startswith(prefix):
        return False
    return status.report.incarnation > int(status.row.cause.removeprefix(prefix))


def _propose_removals(
    engines: Sequence[EngineStatus], causes: dict[str, PlannedChange]
) -> list[tuple[EngineStatus, OrderRow]]:
    for status in engines:
        if status.upstream.name in causes and _is_leaving(status, causes):
            return []
    for status in sorted(engines, key=lambda item: item.upstream.name):
        change = causes.get(status.upstream.name)
        if change is None or not _needs_removal(status, change):
            continue
        # Upstreams of an instance drain together: it is restarted when all are empty.
        return [
            (mate, _remove(mate, change))
            for mate in engines
            if mate.upstream.instance == status.upstream.instance
            and causes.get(mate.upstream.name) is change
            and _needs_removal(mate, change)
        ]
    return []


def _needs_removal(status: EngineStatus, change: PlannedChange) -> bool:
    row = status.row
    if row.desired.serving:
        return row.cause != _name_cause(change, "done")
    # Drained for another change, or before this one was amended: a replacement must
    # record the incarnation that it waits to see replaced.
    if change.action is not Action.REPLACE:
        return False
    return not row.cause.startswith(_name_cause(change, "from "))


def _remove(status: EngineStatus, change: PlannedChange) -> OrderRow:
    incarnation = status.report.incarnation if status.report else 0
    cause = _name_cause(change, f"from {incarnation}")
    return _follow(status.row, cause, serving=False)


def _is_leaving(status: EngineStatus, causes: dict[str, PlannedChange]) -> bool:
    """Return whether the engine is draining or, for a replacement, coming back."""
    change = causes[status.upstream.name]
    report = status.report
    if status.row.desired.serving:
        done = status.row.cause == _name_cause(change, "done")
        return done and not status.is_available
    if change.action is Action.REPLACE:
        return not _needs_removal(status, change)
    if report is None:
        # It has never reported, so it has no running requests to interrupt.
        return False
    return not report.empty or report.generation < status.row.generation


def _propose_releases(
    configuration: Configuration,
    engines: Sequence[EngineStatus],
    fleet: Sequence[EngineStatus],
) -> list[tuple[EngineStatus, OrderRow]]:
    shares = sum(contract.share for contract in configuration.contracts.values())
    releases = sorted(configuration.releases.values(), key=lambda item: item.model)
    for release in releases:
        proposals = _propose_release(release, shares, engines, fleet)
        if proposals:
            return proposals
    return []


def _propose_release(
    release: Release,
    shares: float,
    engines: Sequence[EngineStatus],
    fleet: Sequence[EngineStatus],
) -> list[tuple[EngineStatus, OrderRow]]:
    late = [item for item in engines if _can_take(item, release)]
    zones = {
        item.upstream.availability_zone for item in fleet if _can_take(item, release)
    }
    # Zones take turns in the order of their names. Otherwise two holders that read
    # before either has written could take one engine each where only one can be spared.
    if not late or late[0].upstream.availability_zone != min(zones):
        return []
    serving = [
        item for item in fleet if item.row and release.model in item.row.desired.models
    ]
    spare = count_spare_engines(shares, len(serving), release.accept_overload)
    largest = max(1, len(serving) // LARGEST_PART)
    away = sum(not item.is_available for item in serving)
    free = min(spare, largest) - away
    # Updating an unavailable engine takes no further capacity. The others are updated
    # in the order of their names, so that a version that fails stops at the first ones.
    late.sort(key=lambda item: (item.is_available, item.upstream.name))
    chosen = []
    for status in late:
        if status.is_available:
            if free <= 0:
                break
            free -= 1
        chosen.append((status, _release(status.row, release)))
    return chosen


def _can_take(status: EngineStatus, release: Release) -> bool:
    """Return whether the engine lacks the release and can be updated now."""
    if not _needs_release(status, release):
        return False
    if status.is_available or not status.row.desired.serving:
        return True
    # It has not reached its row, possibly because of the version that is being rolled
    # back. An engine that is only down keeps its row and comes back as it was.
    return status.report is None or status.report.generation < status.row.generation


def _needs_release(status: EngineStatus, release: Release) -> bool:
    if status.row is None or release.model not in status.row.desired.models:
        return False
    zones = release.availability_zones
    if zones and status.upstream.availability_zone not in zones:
        return False
    desired = status.row.desired
    if desired.models[release.model] != release.version:
        return True
    return not set(release.adapters) <= set(desired.adapters)


def _release(row: OrderRow, release: Release) -> OrderRow:
    desired = replace(
        row.desired,
        models={**row.desired.models, release.model: release.version},
        adapters=tuple(sorted({*row.desired.adapters, *release.adapters})),
    )
    cause = f"release {release.model} {release.version}"
    if not row.desired.serving:
        cause = row.cause
    return OrderRow(row.generation + 1, desired, cause)


def _follow(row: OrderRow, cause: str, serving: bool) -> OrderRow:
    return OrderRow(row.generation + 1, replace(row.desired, serving=serving), cause)


def _name_cause(change: PlannedChange, stage: str) -> str:
    return f"change {change.name} {change.revision} {stage}"
