"""Streams that callers take up while engines crash and have too much to do."""

import asyncio
from functools import cache

import pytest
from simulated_take_ups import Load, play_load

from mustardquay_standins.virtual_loops import VirtualLoop

LOADS = [0.8, 1.0, 1.5, 2.5]
"""Ratios of what the engines can serve if none is away."""
VERSIONS = {"one": ("v1",) * 10, "two": ("v1",) * 8 + ("v1.1",) * 2}
CRASH_INTERVALS = [1.0, 0.3]
"""Seconds between two crashes: two, or six to seven, of ten engines are away."""


@cache
def play(load):
    """Play a load in virtual time."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(play_load(load))


@pytest.mark.parametrize("ratio", LOADS)
@pytest.mark.parametrize("versions", VERSIONS)
@pytest.mark.parametrize("interval", CRASH_INTERVALS)
def test_streams_that_are_taken_up_are_refused_no_more_often_than_new_ones(
    ratio, versions, interval
):
    """Guards against new streams that leave no capacity to those that have begun."""
    played = play(Load(ratio, versions=VERSIONS[versions], crash_interval=interval))
    assert played.share_first("take_up") >= played.share_first("new")
    assert played.share_final("take_up") >= played.share_final("new")


@pytest.mark.parametrize("versions", VERSIONS)
def test_no_stream_is_lost_that_the_engines_can_serve(versions):
    """Guards against lost streams while eight of ten engines have 0.8 times their load.

    Those that are left can serve all.
    """
    played = play(Load(0.8, versions=VERSIONS[versions]))
    assert played.final["take_up", False] == 0
