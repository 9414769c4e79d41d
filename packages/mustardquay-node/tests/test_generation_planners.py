from collections import Counter, deque
from datetime import timedelta

from mustardquay.clocks import VirtualClock
from mustardquay.engine_models import EngineModels, PoolSpeeds
from mustardquay.peer_digests import EngineDigest, PeerDigest
from mustardquay.requests import PromptPart, PromptTraits
from mustardquay.routing_tables import Backend, Repeat, Route, RoutingTable
from mustardquay.uplinks import Uplink
from mustardquay.upstream_lists import Stage, UpstreamList, UpstreamRecord
from mustardquay.upstream_loads import UpstreamLoads
from mustardquay_node.generation_planners import GenerationPlanner

PROMPT = PromptTraits("m", 9_190, 6, (PromptPart("a", 6_300), PromptPart("b", 2_890)))
ENGINES = [
    UpstreamRecord("p", "llm", "10.0.0.1:80", "a", 64, False, Stage.PREFILL),
    UpstreamRecord("d", "llm", "10.0.0.2:80", "a", 64, False, Stage.DECODE),
]


PAUSE = timedelta(milliseconds=200)
ROUTE = Route(
    "r",
    "h",
    "/",
    Repeat.STREAM,
    (Backend("llm", 1),),
    timedelta(seconds=2),
    PAUSE,
    has_prompt=True,
    longest_pause=PAUSE,
)
TABLE = RoutingTable(1, (ROUTE,), {})
SPEEDS = PoolSpeeds("llm", 50.0, (0.003, 4.24e-6, 1.38e-10, 1e-7), (0.04, 0.0003))


def make_prompt(number):
    """Return a prompt that shares its first part with all others."""
    return PromptTraits(
        "m", 9_190, 6, (PROMPT.parts[0], PromptPart(str(number), 2_890))
    )


def make_models():
    models = EngineModels()
    models.adopt_speeds((SPEEDS,), timedelta())
    return models


def make_planner():
    upstreams = UpstreamList()
    for engine in ENGINES:
        upstreams.put(engine)
    planner = GenerationPlanner(
        VirtualClock(), upstreams, UpstreamLoads(), make_models()
    )
    planner.apply_table(TABLE)
    return planner


def make_busy(planner):
    """Have the decoder run 30 streams of another gateway."""
    planner.apply_digest(PeerDigest("g9", 1, 1, 1, (EngineDigest("d", (0.0,), 30),)))


def test_a_prompt_waiting_for_its_prefill_occupies_no_decoder_slot():
    """Guards against refusals of long answers while half of the slots are free.

    In a burst some 30 prompts wait for their prefill at any time. They were counted as
    if they were being generated.
    """
    planner = make_planner()
    make_busy(planner)
    tickets = []
    for number in range(64):
        prompt = make_prompt(number)
        tickets.append(planner.begin(prompt, planner.choose(prompt, ENGINES, ())))
    separate = [each for each in tickets if each.placement.prefiller]
    assert len(separate) > 32
    running = 30 + len(tickets) - len(separate)
    assert planner.choose(PROMPT, ENGINES, ()).occupancy == running / 64
    planner.end_prefill(separate[0], is_handed_over=True)
    assert planner.count_streams("d") == running + 1
    for ticket in tickets:
        planner.end(ticket)
    assert planner.count_streams("d") == 30


def test_outstanding_work_is_reported_and_withdrawn():
    planner = make_planner()
    make_busy(planner)
    ticket = planner.begin(PROMPT, planner.choose(PROMPT, ENGINES, ()))
    digest = planner.build_digest("g1", 1, 1, 7)
    assert sum(digest.engines[0].prefill_seconds) > 0
    assert {part.engine for part in digest.placed} == {"p"}
    other = make_planner()
    make_busy(other)
    other.apply_digest(digest)
    assert other.choose(make_prompt(1), ENGINES, ()).wait_seconds > 0
    planner.end(ticket)
    other.apply_digest(planner.build_digest("g1", 1, 2, 7))
    assert other.choose(make_prompt(1), ENGINES, ()).wait_seconds == 0


FLEET = [
    UpstreamRecord(f"{stage}{n}", "llm", f"10.0.{n}.1:80", "a", 64, False, stage)
    for stage, count in ((Stage.PREFILL, 19), (Stage.DECODE, 5))
    for n in range(count)
]
BODY = 18_000
"""Size of a long prompt in bytes."""


def place_burst(planner, clock, uplink, seconds, per_second):
    """Place long prompts; return each one's wait for the uplink, and their readers."""
    waits, readers = [], Counter()
    ended = deque()
    for number in range(int(seconds * per_second)):
        clock.advance(timedelta(seconds=1 / per_second))
        now = clock.monotonic()
        while ended and ended[0][0] <= now:
            planner.end(ended.popleft()[1])
        prompt = make_prompt(number)
        placement = planner.choose(prompt, FLEET, (), BODY)
        waits.append(uplink.predict_time(BODY, now))
        readers[placement.reader.stage] += 1
        ticket = planner.begin(prompt, placement, BODY)
        took = timedelta(seconds=placement.wait_seconds + placement.prefill_seconds)
        ended.append((now + waits[-1] + took, ticket))
    return waits, readers


def test_a_burst_of_long_prompts_does_not_wait_for_a_slow_link():
    """Guards against short answers that are a second late while engines are idle.

    The gateways of one availability zone have uplinks of 14 Mbit/s. Each of 70 prompts
    a second was sent twice, for its prefill and its generation, which takes 20 Mbit/s,
    so that the queue of the uplink grew without limit.
    """
    clock, uplink = VirtualClock(), Uplink(14)
    planner = GenerationPlanner(
        clock, UpstreamList(), UpstreamLoads(), make_models(), uplink
    )
    planner.apply_table(TABLE)
    waits, readers = place_burst(planner, clock, uplink, 5, per_second=70)
    assert max(waits) < timedelta(milliseconds=120)
    # The rest of the uplink is still used for prefills apart from running streams.
    assert readers[Stage.PREFILL] > 50


def test_a_fast_link_changes_nothing():
    clock, uplink = VirtualClock(), Uplink(100)
    planner = GenerationPlanner(
        clock, UpstreamList(), UpstreamLoads(), make_models(), uplink
    )
    planner.apply_table(TABLE)
    _, readers = place_burst(planner, clock, uplink, 5, per_second=70)
    assert readers[Stage.DECODE] == 0


def test_ended_generations_leave_no_trace_in_the_duration_of_streams():
    planner = make_planner()
    placement = planner.choose(make_prompt(1), ENGINES, set())
    ticket = planner.begin(make_prompt(1), placement)
    planner.end_prefill(ticket, is_handed_over=True)
    planner._clock.advance(timedelta(seconds=2))
    assert planner.estimate_stream_duration("llm") == timedelta(seconds=4)
    planner.end(ticket)
    planner.end(ticket)
    assert planner.estimate_stream_duration("llm") == timedelta()
