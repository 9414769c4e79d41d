"""Service quality for callers while the load exceeds the prefill capacity briefly."""

from dataclasses import replace

import pytest
from simulated_bursts import Burst, simulate

SHORT = Burst(seconds=(2.0, 2.0, 0.5))


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_half_of_the_callers_of_a_burst_are_answered_in_time(seed):
    """Guards against engines that alternate between idle and overloaded.

    The prefill capacity is three quarters of the load.
    """
    outcome = simulate(replace(SHORT, seed=seed))
    assert outcome.share_in_time() >= 0.5


@pytest.mark.parametrize("gateways", [1, 4, 18, 28, 100])
def test_callers_admitted_as_in_time_are_in_time(gateways):
    """Guards against waits estimated from the digests of other gateways alone."""
    outcome = simulate(replace(SHORT, gateways=gateways))
    assert outcome.share_admitted_in_time() >= 0.85


def test_a_burst_at_one_gateway_is_served_equally_well():
    """Guards against a gateway that assumes outstanding work at idle gateways."""
    outcome = simulate(replace(SHORT, busy_gateways=1))
    assert outcome.share_in_time() >= 0.6


def test_a_load_within_prefill_capacity_is_answered_in_time():
    """Guards against callers that are refused although there is capacity for them."""
    outcome = simulate(replace(SHORT, peak=0.85))
    assert outcome.share_in_time() >= 0.8


def test_a_burst_beyond_decode_capacity_still_serves_half_in_time():
    """Guards against prefills of prompts for which no decoder has capacity."""
    outcome = simulate(replace(SHORT, peak=0.7, decode_seconds=0.009))
    assert outcome.share_in_time() >= 0.5


@pytest.mark.parametrize("seed", [1, 2])
def test_one_gateway_keeps_what_it_admits_in_a_steep_burst(seed):
    """Guards against speed models corrupted by a burst, which misplace all prompts.

    The load is 2.5 times the prefill capacity.
    """
    steep = replace(SHORT, gateways=1, peak=2.5, decode_seconds=0.002, seed=seed)
    assert simulate(steep).share_admitted_in_time() >= 0.85


def test_many_gateways_keep_what_they_admit_in_a_steep_burst():
    """Guards against late answers to prompts that many gateways admit as in time."""
    steep = replace(SHORT, gateways=28, peak=2.5)
    assert simulate(steep).share_admitted_in_time() >= 0.85
