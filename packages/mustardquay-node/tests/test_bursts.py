"""What callers get while more is asked than engines can read, for a few seconds."""

from dataclasses import replace

import pytest
from simulated_bursts import Burst, play

SHORT = Burst(seconds=(2.0, 2.0, 0.5))


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_half_of_the_callers_of_a_burst_are_answered_in_time(seed):
    """Guards against engines that are idle and overrun in turns.

    Engines can read three quarters of what is asked.
    """
    outcome = play(replace(SHORT, seed=seed))
    assert outcome.share_in_time() >= 0.5


@pytest.mark.parametrize("gateways", [1, 4, 18, 28, 100])
def test_who_is_admitted_as_in_time_is_in_time(gateways):
    """Guards against waits that are reckoned from what is heard of others alone."""
    outcome = play(replace(SHORT, gateways=gateways))
    assert outcome.share_kept() >= 0.85


def test_a_burst_that_all_comes_to_one_gateway_is_served_alike():
    """Guards against a gateway that counts on the work of those that have none."""
    outcome = play(replace(SHORT, busy_gateways=1))
    assert outcome.share_in_time() >= 0.6


def test_a_load_that_engines_can_read_is_answered_in_time():
    """Guards against callers who are refused although there is room for them."""
    outcome = play(replace(SHORT, peak=0.85))
    assert outcome.share_in_time() >= 0.8


def test_a_burst_beyond_what_is_generated_still_serves_half_in_time():
    """Guards against prompts that are read while nobody can generate from them."""
    outcome = play(replace(SHORT, peak=0.7, generating=0.009))
    assert outcome.share_in_time() >= 0.5


@pytest.mark.parametrize("seed", [1, 2])
def test_one_gateway_keeps_what_it_admits_in_a_steep_burst(seed):
    """Guards against a burst in which speeds are unlearned and all prompts misplaced.

    Five prompts come for each two that engines can read.
    """
    steep = replace(SHORT, gateways=1, peak=2.5, generating=0.002, seed=seed)
    assert play(steep).share_kept() >= 0.85


def test_many_gateways_keep_what_they_admit_in_a_steep_burst():
    """Guards against prompts admitted as in time that are late among many gateways."""
    steep = replace(SHORT, gateways=28, peak=2.5)
    assert play(steep).share_kept() >= 0.85
