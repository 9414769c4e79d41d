"""Costs of planned changes, and the order rows that carry them out."""

from dataclasses import replace
from datetime import UTC, datetime, timedelta

import pytest
from hypothesis import given, settings, strategies as st

from mustardquay.contracts import Contract
from mustardquay.costs import (
    FleetUpstream,
    check_costs,
    compute_cost,
    count_spare_engines,
)
from mustardquay.errors import DocumentError
from mustardquay.orders import Desired, EngineReport, OrderRow
from mustardquay.plans import Action, PlannedChange, Release, Scope
from mustardquay.revisions import (
    ChangeAmendment,
    Configuration,
    Edit,
    ReleaseAmendment,
)
from mustardquay.rollouts import EngineStatus, propose_rows
from mustardquay.works import Role

NOW = datetime(2026, 1, 1, tzinfo=UTC)
FLEET = [
    FleetUpstream(
        f"runner-{number}", f"zone-{number % 3}", f"host-{number}", {"m": "1"}
    )
    for number in range(9)
]


def make_configuration(share, *changes):
    contracts = {"radio": Contract("radio", ("hash",), share, models=("m",))}
    return Configuration(1, contracts, {change.name: change for change in changes})


def make_change(action=Action.DRAIN, scope=Scope.AVAILABILITY_ZONE, target="zone-0"):
    return PlannedChange(f"{action} {target}", action, scope, target)


def check_change(change, share, *others):
    accepted = replace(change, revision=5)
    configuration = make_configuration(share, accepted, *others)
    edit = Edit("x", "operator", (ChangeAmendment(change.name, 0, change),))
    return check_costs(configuration, edit, FLEET)


def test_the_cost_of_a_zone_is_told():
    (cost,) = check_change(make_change(), 0.6)
    assert cost.upstreams == ("runner-0", "runner-3", "runner-6")
    assert cost.lost == pytest.approx(1 / 3)
    assert cost.remaining == pytest.approx(2 / 3)


def test_a_change_that_contracts_do_not_spare_is_refused_with_the_sum():
    with pytest.raises(DocumentError, match=r"0\.6667 is left .* 0\.7000"):
        check_change(make_change(), 0.7)
    accepted = replace(make_change(), accept_overload=True)
    assert not check_change(accepted, 0.7)[0].is_covered


def test_changes_that_stand_count_too():
    other = make_change(target="zone-1")
    with pytest.raises(DocumentError, match=r"0\.3333 is left"):
        check_change(make_change(), 0.6, other)


def test_a_replacement_takes_one_at_a_time():
    (cost,) = check_change(make_change(Action.REPLACE), 0.8)
    assert cost.lost == pytest.approx(1 / 9) and len(cost.upstreams) == 3


def test_replacements_in_two_zones_take_one_each():
    other = make_change(Action.REPLACE, target="zone-1")
    (cost,) = check_change(make_change(Action.REPLACE), 0.7, other)
    assert cost.remaining == pytest.approx(7 / 9)


def test_an_unknown_target_is_refused():
    with pytest.raises(DocumentError, match="no upstream; correct the name"):
        check_change(make_change(target="zone-9"), 0.1)


def test_a_model_that_would_have_no_upstream_is_named():
    fleet = [replace(FLEET[0], models={"only": "1"}), *FLEET[1:]]
    contracts = {"radio": Contract("radio", ("hash",), 0.1, models=("only",))}
    change = make_change(scope=Scope.UPSTREAM, target="runner-0")
    cost = compute_cost(change, Configuration(1, contracts), fleet)
    assert cost.missing_models == ("only",) and not cost.is_covered


def test_a_release_needs_an_engine_to_spare():
    release = Release("m", "2")
    edit = Edit("x", "operator", (ReleaseAmendment("m", 0, release),))
    with pytest.raises(DocumentError, match="spare none of the 9 engines in all"):
        check_costs(make_configuration(0.9), edit, FLEET)
    assert check_costs(make_configuration(0.8), edit, FLEET) == []
    present = Edit("x", "operator", (ReleaseAmendment("m", 0, Release("m", "1")),))
    assert check_costs(make_configuration(1.0), present, FLEET) == []


REPORTS = st.sampled_from(["ready", "away", "unknown"])


def make_status(upstream, kind, version):
    row = OrderRow(3, Desired(Role.MIXED, {"m": version}), "adopted")
    report = EngineReport(3, True, False, models={"m": version}, incarnation=1)
    if kind == "away":
        report = replace(report, ready=False)
    return EngineStatus(upstream, row, 3, None if kind == "unknown" else report)


@settings(derandomize=True, deadline=None, database=None, max_examples=300)
@given(
    kinds=st.lists(REPORTS, min_size=9, max_size=9),
    versions=st.lists(st.sampled_from("12"), min_size=9, max_size=9),
    share=st.sampled_from([0.1, 0.5, 0.75, 0.9, 1.0]),
    changes=st.lists(
        st.builds(
            make_change,
            st.sampled_from(Action),
            st.just(Scope.AVAILABILITY_ZONE),
            st.sampled_from(["zone-0", "zone-1", "zone-2"]),
        ),
        max_size=3,
    ),
)
def test_rows_take_no_more_engines_than_can_be_spared(kinds, versions, share, changes):
    fleet = [make_status(*item) for item in zip(FLEET, kinds, versions, strict=True)]
    configuration = replace(
        make_configuration(share, *changes), releases={"m": Release("m", "2")}
    )
    released = []
    for zone in ("zone-0", "zone-1", "zone-2"):
        own = [item for item in fleet if item.upstream.availability_zone == zone]
        proposals = propose_rows(configuration, own, NOW, fleet)
        assert all(
            row.generation == status.row.generation + 1 for status, row in proposals
        )
        taken = [status for status, _ in proposals if status.is_available]
        assert len(taken) <= 1
        if taken and proposals[0][1].desired.serving:
            released += taken
    away = sum(not status.is_available for status in fleet)
    assert not released or len(released) + away <= count_spare_engines(share, 9, False)


def test_a_change_begins_at_its_time():
    change = replace(make_change(), starts_at=NOW + timedelta(hours=1))
    engines = [make_status(upstream, "ready", "1") for upstream in FLEET]
    configuration = make_configuration(0.5, change)
    assert propose_rows(configuration, engines, NOW) == []
    ((status, row),) = propose_rows(configuration, engines, change.starts_at)
    assert status.upstream.name == "runner-0" and not row.desired.serving


def test_upstreams_of_one_instance_are_drained_together():
    """An instance would wait for ever for its second upstream to be drained."""
    fleet = [replace(item, instance="host") for item in FLEET]
    change = make_change(Action.REPLACE, Scope.INSTANCE, "host")
    engines = [make_status(upstream, "ready", "1") for upstream in fleet]
    proposals = propose_rows(make_configuration(0.5, change), engines, NOW)
    assert len(proposals) == 9
    assert compute_cost(change, make_configuration(0.5), fleet).lost == 1
