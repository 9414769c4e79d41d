"""Shares of organisations in bursts of long prompts, played without a network."""

import pytest
from simulated_bursts import Burst
from simulated_shared_bursts import simulate_shared

SECONDS = (2.0, 4.0, 0.5)
MIN_SERVED_RATIO = 0.25
"""How often each organisation must be served, relative to all."""


@pytest.mark.parametrize(
    ("gateways", "organisations"), [(4, 77), (28, 77), (28, 1000), (100, 77)]
)
def test_small_organisations_are_served_before_large_ones(gateways, organisations):
    """Guards against prompts of large organisations that take the engines of all."""
    burst = Burst(gateways, peak=1.5, seconds=SECONDS)
    shared = simulate_shared(burst, organisations)
    assert shared.measure_served(11) > shared.measure_served(1, 1)
    assert shared.measure_in_time(11) > shared.measure_in_time(1, 1)
    lowest = MIN_SERVED_RATIO * shared.measure_served()
    for first, last in ((1, 1), (2, 3), (4, 10), (11, organisations)):
        assert shared.measure_served(first, last) >= lowest


def test_a_load_within_the_capacity_is_served_as_before():
    """Guards against shares that refuse prompts while engines have room."""
    burst = Burst(4, peak=0.6, seconds=(1.0, 2.0, 0.5))
    assert simulate_shared(burst).measure_served() > 0.99
