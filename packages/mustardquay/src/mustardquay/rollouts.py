"""Rollouts: which order row the holder of a lease writes next.

What is under way stands in the order rows themselves, so another holder goes on
where the last one stopped. Engines are taken away one at a time for a planned
change, and for a release never more than the contracts can spare.
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, replace
from datetime import datetime

from .costs import FleetUpstream, count_spare, select_targets
from .orders import Desired, EngineReport, OrderRow
from .plans import Action, PlannedChange, Release
from .revisions import Configuration

__all__ = ["EngineStatus", "propose_rows"]

LARGEST_PART = 50
"""At most one in so many engines is away for a release, but one always may be."""
ADOPTIONS = 20
"""Order rows written in one turn for engines that have none."""


@dataclass(frozen=True, slots=True)
class EngineStatus:
    """What the tables say of one engine of the domain."""

    upstream: FleetUpstream
    row: OrderRow | None = None
    row_revision: int = 0
    report: EngineReport | None = None

    @property
    def is_available(self) -> bool:
        """Return whether the engine serves and has reached its order row."""
        if self.row is None or self.report is None:
            return False
        return self.report.ready and self.report.generation >= self.row.generation


def propose_rows(
    configuration: Configuration,
    engines: Sequence[EngineStatus],
    now: datetime,
    fleet: Sequence[EngineStatus] = (),
) -> list[tuple[EngineStatus, OrderRow]]:
    """Return the rows to write now; the next ones follow when these are reached.

    `engines` are those of the domain. `fleet` is given for a small fleet and has
    those of all domains: its zones may be too small to spare an engine each, so
    that they take a release one after the other.
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
    # Where several changes name one engine, the one that takes it for longest
    # decides; of equals the one announced first.
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
    # The row was written for this change with the incarnation of the agent at that
    # time; a higher one says that the instance was replaced since.
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
        # Upstreams of one instance go together: it is restarted when all are empty.
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
    # Drained for something else, or before the change was amended: a replacement
    # has to note the incarnation that it waits to see replaced.
    if change.action is not Action.REPLACE:
        return False
    return not row.cause.startswith(_name_cause(change, "from "))


def _remove(status: EngineStatus, change: PlannedChange) -> OrderRow:
    incarnation = status.report.incarnation if status.report else 0
    cause = _name_cause(change, f"from {incarnation}")
    return _follow(status.row, cause, serving=False)


def _is_leaving(status: EngineStatus, causes: dict[str, PlannedChange]) -> bool:
    """Whether the engine is on its way out or, when it is replaced, back in."""
    change = causes[status.upstream.name]
    report = status.report
    if status.row.desired.serving:
        done = status.row.cause == _name_cause(change, "done")
        return done and not status.is_available
    if change.action is Action.REPLACE:
        return not _needs_removal(status, change)
    if report is None:
        # Never seen, so nothing runs on it that could be cut.
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
    # The first zone goes first. Two holders that each looked before the other wrote
    # would otherwise take an engine each where only one can be spared.
    if not late or late[0].upstream.availability_zone != min(zones):
        return []
    serving = [
        item for item in fleet if item.row and release.model in item.row.desired.models
    ]
    spare = count_spare(shares, len(serving), release.accept_overload)
    largest = max(1, len(serving) // LARGEST_PART)
    away = sum(not item.is_available for item in serving)
    free = min(spare, largest) - away
    # One that is away costs nothing more. Of the others the first by name go first,
    # so that a version that fails stops at these.
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
    """Whether the engine lacks the release and is up to take it."""
    if not _needs_release(status, release):
        return False
    if status.is_available or not status.row.desired.serving:
        return True
    # It can't do what its row asks for, perhaps the version that is taken back. One
    # that is only down keeps its row: it comes back as it was.
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
