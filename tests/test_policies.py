"""The decision code as a whole: regression bounds and recorded decisions."""

from dataclasses import replace

import pytest

from benchmarks.policies import SCENARIOS, make_policies, run_scenario
from benchmarks.regressions import measure_bounds
from benchmarks.workloads import USERS

SECONDS = 16.0


def alternating_mix(at):
    return 0.85 if at < SECONDS / 2 else 0.2


@pytest.mark.parametrize("user", USERS, ids=lambda user: user.name)
def test_decisions_of_a_swing_are_as_recorded(user, snapshot):
    scenario = next(s for s in SCENARIOS if s.name == "peak 1.0")
    scenario = replace(scenario, seconds=SECONDS, load=0.3, mix=alternating_mix)
    run, arrivals = run_scenario(user, scenario, make_policies(user)[0], 5)
    outcomes = [
        f"{answer.at:.3f} {answer.arrival.name} {answer.outcome}"
        for answer in run.answers
        if answer.outcome != "met"
    ]
    assert len(run.answers) == len(arrivals)
    assert "\n".join([*run.decisions, *outcomes]) == snapshot


@pytest.mark.parametrize("user", USERS, ids=lambda user: user.name)
def test_regression_bounds_hold(user):
    for bound in measure_bounds([user]):
        assert bound.holds, bound
