"""A simulated fleet of gateways whose engines fall silent, or are gone for good."""

from datetime import timedelta

import pytest
from simulated_silences import Fleet, Gone, make_route

from mustardquay.silences import SOUND_SILENCE

SECONDS = 12
GONE_AT = timedelta(seconds=4)
SOUND = timedelta(seconds=1.2)
FOUND_WITHIN = {
    Gone.CRASHED: timedelta(milliseconds=50),
    Gone.UNREACHABLE: timedelta(seconds=1.7),
    Gone.FROZEN: timedelta(seconds=1.7),
}
"""Time after which no stream that is open waits for an engine that is gone: the idle
timeout, a recheck and the time of a sound silence, unless connections break."""
MARGIN = timedelta(milliseconds=600)
SETTLED = timedelta(seconds=2.5)
MAX_TRIALS = 5
"""Sends of one gateway to an engine that is gone, from `SETTLED` on for 5.5 s."""


@pytest.mark.parametrize("max_attempts", [1, 2, 3])
@pytest.mark.parametrize("seed", range(3))
def test_sound_silences_lose_no_answer_and_use_no_retry(seed, max_attempts):
    """Guards against streams that are ended although their engines go on."""
    fleet = Fleet(seed=seed, route=make_route(max_attempts))
    fleet.draw_silences(SECONDS)
    fleet.run(SECONDS)
    assert not fleet.list_lost()
    assert not fleet.repeats


@pytest.mark.parametrize("count", [1, 3, 7, 8])
def test_silences_of_many_engines_at_once_lose_no_answer(count):
    """Guards against a shortage that is made by gateways as most engines are silent."""
    fleet = Fleet(slots=10)
    for engine in list(fleet.engines.values())[:count]:
        engine.silences += [
            (start, start + SOUND) for start in (GONE_AT, GONE_AT + 2 * SOUND)
        ]
    fleet.run(SECONDS)
    assert not fleet.list_lost()
    assert not fleet.repeats


@pytest.mark.parametrize("gone", FOUND_WITHIN)
@pytest.mark.parametrize("seed", range(3))
def test_an_engine_that_is_gone_is_found_and_loses_no_answer(seed, gone):
    """Guards against callers who wait for an engine that never goes on.

    A stream that moves to an engine which falls silent at that moment is not saved: its
    caller leaves half a second later. So none falls silent as the streams move.
    """
    fleet = Fleet(seed=seed)
    moving = GONE_AT + SOUND_SILENCE - MARGIN, GONE_AT + SOUND_SILENCE + MARGIN
    fleet.draw_silences(SECONDS, spared=moving)
    engine = fleet.engines["e0"]
    engine.gone, engine.gone_at = gone, GONE_AT
    fleet.run(SECONDS)
    assert not fleet.list_lost()
    assert fleet.count_repeats() <= fleet.bound_repeats()
    found = max(fleet.list_waits("e0", GONE_AT, GONE_AT + SETTLED))
    assert found <= FOUND_WITHIN[gone]


@pytest.mark.parametrize("gone", FOUND_WITHIN)
def test_an_engine_that_is_gone_gets_few_trials(gone):
    """Guards against one request after another that is sent to an engine in vain."""
    fleet = Fleet()
    engine = fleet.engines["e0"]
    engine.gone, engine.gone_at = gone, GONE_AT
    fleet.run(SECONDS)
    late = [at for id, at in fleet.sent if id == "e0" and at > GONE_AT + SETTLED]
    assert len(late) <= MAX_TRIALS * fleet.gateways_count


def test_two_of_three_engines_that_are_gone_stay_in_the_retry_allowance():
    """Guards against a retry storm as most engines are silent for good."""
    fleet = Fleet(engines=3)
    for id in ("e0", "e1"):
        fleet.engines[id].gone_at = GONE_AT
    fleet.run(SECONDS)
    assert fleet.count_repeats() <= fleet.bound_repeats()
    settled = [call for call in fleet.calls if call.begun > GONE_AT + 2 * SOUND_SILENCE]
    assert all(call.outcome == "whole" for call in settled)
