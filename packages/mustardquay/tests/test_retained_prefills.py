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
from mustardquay.upstream_loads import EJECTION_LEAST, LOST_TIME, UpstreamLoads

NOW = timedelta(seconds=5)
PARTS = hash_parts([PromptPart("doc", 6_300), PromptPart("own", 2_890)])


def make_engine(id, stage):
    return UpstreamRecord(id, "llm", f"{id}:80", "a", 64, False, stage)


READER = make_engine("p-1", Stage.PREFILL)
ENGINES = [
    READER,
    make_engine("d-1", Stage.DECODE),
    make_engine("d-2", Stage.DECODE),
]


@pytest.fixture
def states():
    """What is known after the reader has read the prompt."""
    states = EngineStates(
        UpstreamLoads(), OutstandingWork(), PrefixCaches(), EngineModels()
    )
    states.prefixes.note(READER.id, READER.stage, PARTS)
    return states


def judge(states, engines=ENGINES, is_copied=True, avoid=("d-1",), now=NOW):
    return find_prefill_loss(READER, PARTS, is_copied, engines, states, now, avoid)


def test_another_engine_generates_from_a_reading(states):
    assert judge(states) is None


def test_a_reader_that_is_not_listed_can_not_be_copied_from(states):
    assert judge(states, ENGINES[1:]) is PrefillLoss.READER_GONE


def test_nobody_generates_once_all_engines_have_been_tried(states):
    assert judge(states, avoid=("d-1", "d-2")) is PrefillLoss.NO_GENERATOR


def test_a_prompt_that_its_reader_gave_up_is_not_copied(states):
    """Guards against engines that read a whole prompt between their streams' steps."""
    own = hash_parts([PromptPart("other", 370_000)])
    states.prefixes.note(READER.id, READER.stage, own)
    assert judge(states) is PrefillLoss.DISPLACED
    assert judge(states, is_copied=False) is None


def test_a_reader_out_of_reach_for_long_is_not_copied_from(states):
    """Guards against copies that wait for an engine that has gone dark."""
    states.loads.note_unreachable(READER.id, NOW)
    assert judge(states, now=NOW + LOST_TIME) is PrefillLoss.READER_LOST
    states.loads.note_reached(READER.id, NOW)
    assert judge(states, now=NOW + LOST_TIME) is None


def test_a_reader_is_copied_from_though_one_connection_to_it_failed(states):
    """Guards against readings dropped by a gateway that is itself hard to reach."""
    for _ in range(EJECTION_LEAST):
        states.loads.end(READER.id, True, NOW)
    states.loads.note_unreachable(READER.id, NOW)
    assert judge(states) is None


def test_a_reader_that_refuses_new_work_is_still_copied_from(states):
    """Guards against readings done twice while their readers are full."""
    states.loads.note_refusal(READER.id, NOW)
    assert judge(states) is None
