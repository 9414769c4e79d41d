from datetime import timedelta

import pytest

from mustardquay.engine_books import EngineBooks, PrefixBook, WorkBook, hash_parts
from mustardquay.engine_models import EngineModels
from mustardquay.kept_readings import ReadingLoss, find_loss
from mustardquay.requests import PromptPart
from mustardquay.upstream_lists import Stage, UpstreamRecord
from mustardquay.upstream_loads import EJECTION_LEAST, LOST_TIME, LoadBook

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
def books():
    """What is known after the reader has read the prompt."""
    books = EngineBooks(LoadBook(), WorkBook(), PrefixBook(), EngineModels())
    books.prefixes.note(READER.id, READER.stage, PARTS)
    return books


def judge(books, engines=ENGINES, is_copied=True, avoid=("d-1",), now=NOW):
    return find_loss(READER, PARTS, is_copied, engines, books, now, avoid)


def test_another_engine_generates_from_a_reading(books):
    assert judge(books) is None


def test_a_reader_that_is_not_listed_can_not_be_copied_from(books):
    assert judge(books, ENGINES[1:]) is ReadingLoss.READER_GONE


def test_nobody_generates_once_all_engines_have_been_tried(books):
    assert judge(books, avoid=("d-1", "d-2")) is ReadingLoss.NO_GENERATOR


def test_a_prompt_that_its_reader_gave_up_is_not_copied(books):
    """Guards against engines that read a whole prompt between their streams' steps."""
    own = hash_parts([PromptPart("other", 370_000)])
    books.prefixes.note(READER.id, READER.stage, own)
    assert judge(books) is ReadingLoss.DISPLACED
    assert judge(books, is_copied=False) is None


def test_a_reader_out_of_reach_for_long_is_not_copied_from(books):
    """Guards against copies that wait for an engine that has gone dark."""
    books.loads.note_unreachable(READER.id, NOW)
    assert judge(books, now=NOW + LOST_TIME) is ReadingLoss.READER_LOST
    books.loads.note_reached(READER.id, NOW)
    assert judge(books, now=NOW + LOST_TIME) is None


def test_a_reader_is_copied_from_though_one_connection_to_it_failed(books):
    """Guards against readings dropped by a gateway that is itself hard to reach."""
    for _ in range(EJECTION_LEAST):
        books.loads.end(READER.id, True, NOW)
    books.loads.note_unreachable(READER.id, NOW)
    assert judge(books) is None


def test_a_reader_that_refuses_new_work_is_still_copied_from(books):
    """Guards against readings done twice while their readers are full."""
    books.loads.note_refusal(READER.id, NOW)
    assert judge(books) is None
