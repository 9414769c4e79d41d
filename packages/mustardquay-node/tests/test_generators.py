from mustardquay.clocks import VirtualClock
from mustardquay.requests import PromptPart, PromptTraits
from mustardquay.upstream_lists import Stage, UpstreamList, UpstreamRecord
from mustardquay.upstream_loads import LoadBook
from mustardquay_node.generators import GenerationPlanner

PROMPT = PromptTraits("m", 9_190, 6, (PromptPart("a", 6_300), PromptPart("b", 2_890)))
ENGINES = [
    UpstreamRecord("p", "llm", "10.0.0.1:80", "a", 64, False, Stage.PREFILL),
    UpstreamRecord("d", "llm", "10.0.0.2:80", "a", 64, False, Stage.DECODE),
]


def make_planner():
    upstreams = UpstreamList()
    for engine in ENGINES:
        upstreams.put(engine)
    return GenerationPlanner(VirtualClock(), upstreams, LoadBook())


def test_a_prompt_that_waits_to_be_read_holds_no_place_at_the_other_engine():
    """Drafts are refused although half of the places are free.

    In a burst some 30 prompts wait to be read at any time, and were counted as if
    they were being generated.
    """
    planner = make_planner()
    tickets = []
    for _ in range(64):
        placement = planner.choose(PROMPT, ENGINES, ())
        tickets.append(planner.begin(PROMPT, placement))
    assert planner.choose(PROMPT, ENGINES, ()).occupancy == 0
    planner.end_reading(tickets[0], is_handed_over=True)
    assert planner.count_streams("d") == 1
    for ticket in tickets:
        planner.end(ticket)
    assert planner.count_streams("d") == 0


def test_what_is_outstanding_is_told_and_taken_back():
    planner = make_planner()
    ticket = planner.begin(PROMPT, planner.choose(PROMPT, ENGINES, ()))
    digest = planner.build_digest("g1", 1, 1, 7)
    assert digest.engines[0].read_seconds > 0
    assert {part.engine for part in digest.placed} == {"p"}
    other = make_planner()
    other.hear(digest)
    assert other.choose(PROMPT, ENGINES, ()).wait_seconds > 0
    planner.end(ticket)
    other.hear(planner.build_digest("g1", 1, 2, 7))
    assert other.choose(PROMPT, ENGINES, ()).wait_seconds == 0
