from datetime import timedelta

from mustardquay.placements import Placement
from mustardquay.routing_tables import Repeat, Route
from mustardquay.stall_timeouts import find_first_event_timeout, find_prefill_timeout
from mustardquay.upstream_lists import Stage, UpstreamRecord

TARGET = timedelta(milliseconds=800)
ROUTE = Route("r", "h", "/", Repeat.STREAM, (), 5 * TARGET, TARGET)
ENGINE = UpstreamRecord("e", "llm", "10.0.0.1:80", "a", 64, False, Stage.PREFILL)


def make_placement(wait, work, read=0.4):
    return Placement(ENGINE, ENGINE, None, read, wait, 0.1, 0.1, 1.0, work_seconds=work)


def test_a_prompt_that_others_overtake_is_not_taken_from_its_engine():
    """Callers are refused after two seconds although their prompt was next.

    Prompts of a lower rank wait while more urgent ones come. The gateway knew only
    of what was before them when they were sent, took the engine for silent, and had
    the prompt read from the start elsewhere.
    """
    limit = find_prefill_timeout(ROUTE, make_placement(wait=0.0, work=0.6))
    # Twice the work at the engine comes before it.
    assert limit > timedelta(seconds=2 * 0.6 + 0.4)


def test_an_engine_without_work_is_left_soon():
    limit = find_prefill_timeout(ROUTE, make_placement(wait=0.0, work=0.0, read=0.1))
    assert limit == TARGET + timedelta(seconds=0.2)


def test_where_streams_may_not_be_resumed_nothing_is_cut():
    assert find_first_event_timeout(ROUTE, make_placement(0.0, 0.0)) is None
