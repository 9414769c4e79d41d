from dataclasses import replace
from datetime import timedelta

from mustardquay.placements import Placement
from mustardquay.routing_tables import Repeat, Route
from mustardquay.stall_timeouts import (
    find_first_event_timeout,
    find_idle_timeout,
    find_prefill_timeout,
)
from mustardquay.upstream_lists import Stage, UpstreamRecord

TARGET = timedelta(milliseconds=800)
ROUTE = Route("r", "h", "/", Repeat.STREAM, (), 5 * TARGET, TARGET)
ENGINE = UpstreamRecord("e", "llm", "10.0.0.1:80", "a", 64, False, Stage.PREFILL)


def make_placement(wait, work, read=0.4):
    return Placement(ENGINE, ENGINE, None, read, wait, 0.1, 0.1, 1.0, work_seconds=work)


def test_prefill_timeout_includes_later_urgent_work():
    """Guards against refusals after two seconds although the prompt was next.

    Prompts of a lower rank wait while more urgent ones arrive. The gateway only
    considered the work ahead of them when they were sent, timed out and had the prompt
    prefilled from the start on another engine.
    """
    limit = find_prefill_timeout(ROUTE, make_placement(wait=0.0, work=0.6))
    # Twice the outstanding work of the engine precedes it.
    assert limit > timedelta(seconds=2 * 0.6 + 0.4)


def test_idle_engines_have_a_short_prefill_timeout():
    limit = find_prefill_timeout(ROUTE, make_placement(wait=0.0, work=0.0, read=0.1))
    assert limit == TARGET + timedelta(seconds=0.2)


def test_streams_of_all_routes_are_suspected_at_the_same_time():
    """Whether they are given up is decided in `silences`, and not by a timeout."""
    placement = make_placement(0.0, 0.0)
    limits = [
        find_first_event_timeout(replace(ROUTE, resumable=resumable), placement)
        for resumable in (True, False)
    ]
    assert limits[0] == limits[1] > find_prefill_timeout(ROUTE, placement)


def test_a_short_answer_may_take_some_latency_targets():
    route = replace(ROUTE, repeat=Repeat.IDEMPOTENT)
    assert find_idle_timeout(route) == 3 * TARGET
