from datetime import timedelta

import pytest

from mustardquay.engine_models import EngineModels
from mustardquay.engine_states import (
    EngineStates,
    OutstandingWork,
    PrefixCaches,
    hash_parts,
)
from mustardquay.requests import PromptPart
from mustardquay.retained_prefills import PrefillLoss, find_prefill_loss
from mustardquay.upstream_lists import Stage, UpstreamRecord
from mustardquay.upstream_loads import LOST_TIME, MIN_EJECTION_SENDS, UpstreamLoads

NOW = timedelta(seconds=5)
PARTS = hash_parts([PromptPart("doc", 6_300), PromptPart("own", 2_890)])


def make_engine(id, stage):
    return UpstreamRecord(id, "llm", f"{id}:80", "a", 64, False, stage)


READER = make_engine("p-1", Stage.PREFILL)
OTHER_READER = make_engine("p-2", Stage.PREFILL)
ENGINES = [
    READER,
    make_engine("d-1", Stage.DECODE),
    make_engine("d-2", Stage.DECODE),
]


@pytest.fixture
def states():
    """Return the state after the reader has prefilled the prompt."""
    states = EngineStates(
        UpstreamLoads(), OutstandingWork(), PrefixCaches(), EngineModels()
    )
    states.prefixes.note(READER.id, READER.stage, PARTS)
    return states


def find_loss(
    states,
    engines=ENGINES,
    is_copied=True,
    avoid=("d-1",),
    now=NOW,
    silent_since=None,
):
    return find_prefill_loss(
        READER, PARTS, is_copied, engines, states, now, avoid, silent_since
    )


def test_another_engine_can_use_a_prefill(states):
    assert find_loss(states) is None


def test_an_unlisted_reader_can_not_be_copied_from(states):
    assert find_loss(states, ENGINES[1:]) is PrefillLoss.READER_GONE


def test_no_decode_engine_is_left(states):
    assert find_loss(states, avoid=("d-1", "d-2")) is PrefillLoss.NO_GENERATOR


def test_an_evicted_prompt_is_not_copied(states):
    """Guards against prefill of a whole prompt between the steps of a decode engine."""
    own = hash_parts([PromptPart("other", 370_000)])
    states.prefixes.note(READER.id, READER.stage, own)
    assert find_loss(states) is PrefillLoss.DISPLACED
    assert find_loss(states, is_copied=False) is None


def test_a_lost_reader_is_not_copied_from(states):
    """Guards against copies that wait for an unreachable engine."""
    states.loads.note_unreachable(READER.id, NOW)
    assert find_loss(states, now=NOW + LOST_TIME) is PrefillLoss.READER_LOST
    states.loads.note_reached(READER.id, NOW)
    assert find_loss(states, now=NOW + LOST_TIME) is None


def test_one_failed_connection_keeps_the_prefill(states):
    """Guards against discarding prefills in a gateway that is itself hard to reach."""
    for _ in range(MIN_EJECTION_SENDS):
        states.loads.end(READER.id, True, NOW)
    states.loads.note_unreachable(READER.id, NOW)
    assert find_loss(states) is None


def test_a_refusing_reader_is_still_copied_from(states):
    """Guards against repeated prefills while the engines that did them are full."""
    states.loads.note_refusal(READER.id, NOW)
    assert find_loss(states) is None


def test_a_reader_that_is_silent_is_not_copied_from_if_there_is_another(states):
    """Guards against two hand-overs that wait for a reader which is gone."""
    engines = [*ENGINES, OTHER_READER]
    assert find_loss(states, engines, silent_since=NOW) is PrefillLoss.READER_SILENT
    assert find_loss(states, silent_since=NOW) is None


def test_a_reader_that_was_heard_since_is_still_copied_from(states):
    """Guards against a second prefill when it is the decode engine that is silent."""
    engines = [*ENGINES, OTHER_READER]
    states.loads.silences.note_activity(READER.id, NOW)
    assert find_loss(states, engines, silent_since=NOW) is None


def test_a_reader_is_kept_if_the_other_one_is_silent_too(states):
    silences = states.loads.silences
    silences.begin(OTHER_READER.id)
    silences.note_quiet(OTHER_READER.id, LOST_TIME, NOW)
    assert find_loss(states, [*ENGINES, OTHER_READER], silent_since=NOW) is None
