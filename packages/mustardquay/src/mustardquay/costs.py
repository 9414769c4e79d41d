"""Costs: the capacity that a planned change or release takes from the fleet.

The operator is shown the cost. A change that leaves too little capacity for the
contracts is refused unless the operator explicitly accepts the overload.
"""

from collections import defaultdict
from collections.abc import Collection, Iterable, Mapping, Sequence
from dataclasses import dataclass, field

from .contracts import Contract
from .errors import DocumentError
from .plans import Action, PlannedChange, Release, Scope
from .revisions import Configuration, Edit

__all__ = [
    "SMALL_FLEET_ENGINES",
    "Cost",
    "FleetUpstream",
    "check_costs",
    "compute_cost",
    "count_spare_engines",
    "select_targets",
]

TOLERANCE = 1e-9
SMALL_FLEET_ENGINES = 300
"""Up to this many engines, spare engines are counted across all zones together."""


@dataclass(frozen=True, slots=True)
class FleetUpstream:
    """The properties of an upstream that the capacity check needs."""

    name: str
    availability_zone: str
    instance: str
    models: Mapping[str, str] = field(default_factory=dict)
    """Version by model."""
    rate: float = 1.0
    """Relative capacity, in any unit that is the same for all upstreams."""


@dataclass(frozen=True, slots=True)
class Cost:
    """The capacity that a planned change takes at its worst moment."""

    upstreams: tuple[str, ...]
    """All upstreams that the change affects."""
    lost: float
    """Largest fraction of the fleet's capacity that is unavailable at one time."""
    remaining: float
    """Fraction of the fleet's capacity that remains then, given all other changes."""
    entitled: float
    """Sum of the shares of all contracts."""
    missing_models: tuple[str, ...] = field(default=())
    """Models named in contracts that no upstream would serve any more."""

    @property
    def is_covered(self) -> bool:
        """Return whether the remaining capacity covers every contract."""
        if self.missing_models:
            return False
        return self.entitled <= self.remaining + TOLERANCE

    def __str__(self) -> str:
        text = (
            f"It touches {len(self.upstreams)} upstreams and takes {self.lost:.4f} of "
            f"the fleet at its worst; {self.remaining:.4f} is left for contracts over "
            f"{self.entitled:.4f}."
        )
        if self.missing_models:
            text += f" No upstream is left for {', '.join(self.missing_models)}."
        return text


def select_targets(
    change: PlannedChange, fleet: Iterable[FleetUpstream]
) -> tuple[str, ...]:
    """Return the sorted names of the upstreams that the change applies to."""
    return tuple(sorted(item.name for item in fleet if _is_target(change, item)))


def compute_cost(
    change: PlannedChange, configuration: Configuration, fleet: Sequence[FleetUpstream]
) -> Cost:
    """Return the cost of the change, on top of the other changes in force."""
    changes = configuration.changes.values()
    others = (item for item in changes if item.name != change.name)
    away: set[str] = set()
    for other in sorted(others, key=lambda item: item.action is Action.REPLACE):
        away |= _list_taken(other, fleet, away)
    fresh = _list_taken(change, fleet, away)
    rates = {item.name: item.rate for item in fleet}
    whole = sum(rates.values()) or 1.0
    gone = away | fresh
    lost = sum(rates[name] for name in fresh) / whole
    remaining = sum(rate for name, rate in rates.items() if name not in gone) / whole
    contracts = configuration.contracts.values()
    return Cost(
        select_targets(change, fleet),
        lost,
        remaining,
        sum(contract.share for contract in contracts),
        _list_missing(contracts, fleet, gone),
    )


def count_spare_engines(shares: float, engines: int, accept_overload: bool) -> int:
    """Return how many of a number of equal engines the contracts can spare.

    >>> count_spare_engines(0.75, 9, False), count_spare_engines(1.0, 9, False)
    (2, 0)
    >>> count_spare_engines(1.0, 9, True)
    1
    """
    spare = int(engines * (1 - shares) + TOLERANCE)
    return max(spare, 1 if accept_overload else 0)


def check_costs(
    result: Configuration, edit: Edit, fleet: Sequence[FleetUpstream]
) -> list[Cost]:
    """Return the costs of the changes in the edit.

    `result` is the configuration after the edit.

    Raises `DocumentError` for a change that matches no upstream, and for one that
    leaves too little capacity for the contracts without `accept_overload`.
    """
    costs = []
    for amendment in edit.amendments:
        value = amendment.value
        if isinstance(value, PlannedChange):
            costs.append(_check_change(value, result, fleet))
        elif isinstance(value, Release):
            _check_release(value, result, fleet)
    return costs


def _check_change(
    change: PlannedChange, result: Configuration, fleet: Sequence[FleetUpstream]
) -> Cost:
    cost = compute_cost(change, result, fleet)
    if not cost.upstreams:
        raise DocumentError(
            f"The change {change.name} names the {change.scope} {change.target}, "
            "which has no upstream; correct the name."
        )
    if not cost.is_covered and not change.accept_overload:
        raise DocumentError(
            f"The fleet can't honour its contracts during {change.name}. {cost} "
            "Lower shares, split the change or set accept_overload."
        )
    return cost


def _check_release(
    release: Release, result: Configuration, fleet: Sequence[FleetUpstream]
) -> None:
    shares = sum(contract.share for contract in result.contracts.values())
    for name, engines in _group_engines(release, fleet).items():
        if all(item.models[release.model] == release.version for item in engines):
            continue
        if count_spare_engines(shares, len(engines), release.accept_overload) < 1:
            raise DocumentError(
                f"The contracts over {shares:.4f} of the fleet spare none of the "
                f"{len(engines)} engines {name} for the release of "
                f"{release.model}; lower shares or set accept_overload."
            )


def _group_engines(
    release: Release, fleet: Sequence[FleetUpstream]
) -> dict[str, list[FleetUpstream]]:
    groups: dict[str, list[FleetUpstream]] = defaultdict(list)
    for item in fleet:
        if release.model not in item.models:
            continue
        zone = item.availability_zone
        if release.availability_zones and zone not in release.availability_zones:
            continue
        groups["in all" if len(fleet) <= SMALL_FLEET_ENGINES else f"in {zone}"].append(
            item
        )
    return groups


def _is_target(change: PlannedChange, upstream: FleetUpstream) -> bool:
    if change.scope is Scope.UPSTREAM:
        return change.target == upstream.name
    if change.scope is Scope.INSTANCE:
        return change.target == upstream.instance
    return change.target == upstream.availability_zone


def _list_taken(
    change: PlannedChange, fleet: Sequence[FleetUpstream], away: set[str]
) -> set[str]:
    """Return what the change takes at its worst moment, besides those in `away`."""
    taken = set(select_targets(change, fleet)) - away
    if change.action is not Action.REPLACE:
        return taken
    # Instances are replaced one at a time: the worst moment is that of the largest.
    instances: dict[str, set[str]] = defaultdict(set)
    rates: dict[str, float] = defaultdict(float)
    for item in fleet:
        if item.name in taken:
            instances[item.instance].add(item.name)
            rates[item.instance] += item.rate
    return instances[max(rates, key=rates.get)] if rates else set()


def _list_missing(
    contracts: Iterable[Contract],
    fleet: Iterable[FleetUpstream],
    gone: Collection[str],
) -> tuple[str, ...]:
    fleet = tuple(fleet)
    served = {name for item in fleet for name in item.models}
    left = {name for item in fleet if item.name not in gone for name in item.models}
    wanted = {model for contract in contracts for model in contract.models}
    return tuple(sorted(wanted & served - left))
