"""Predictions, cache index, routing and role plans handle any input."""

from datetime import timedelta
from random import Random

from hypothesis import given, settings, strategies as st

from mustardquay.caches import CacheEvent, PrefixIndex
from mustardquay.predictions import (
    OutputLengths,
    PromptLengths,
    RateEstimator,
    estimate_queued_tokens,
)
from mustardquay.roles import RolePlanner, RoleRates, RoleSettings
from mustardquay.upstream_selection import choose_upstream
from mustardquay.works import Role, UpstreamView, Work

CHECK = settings(derandomize=True, deadline=None, database=None, max_examples=60)
RATES = {
    Role.PREFILL: RoleRates(13_000.0, 0.0),
    Role.MIXED: RoleRates(9_000.0, 2_000.0, 14_000.0),
    Role.DECODE: RoleRates(7_000.0, 3_000.0, 14_000.0),
}


def span(seconds):
    return timedelta(seconds=seconds)


def make_view(number, role=Role.MIXED, **changes):
    models = frozenset({"m"})
    return UpstreamView(f"e{number}", "a", role, models, reachable=True, **changes)


def make_work(output_tokens=1, prompt_tokens=4000, **changes):
    return Work(
        "r",
        1,
        "c",
        "m",
        prompt_tokens=prompt_tokens,
        output_tokens=output_tokens,
        **changes,
    )


@CHECK
@given(st.lists(st.integers(-5, 200_000)), st.integers(0, 50))
def test_output_lengths_stay_within_their_samples(samples, limit):
    lengths = OutputLengths(prior=100, capacity=4)
    for position, sample in enumerate(samples):
        lengths.learn(f"c{position % 7}", "draft", sample)
    assert len(lengths) <= 4
    predicted = lengths.predict("c0", "draft", limit)
    possible = [100, *(s for s in samples if 0 < s <= 100_000)]
    assert 0 < predicted <= max(possible)
    assert not limit or predicted <= limit


def test_output_lengths_follow_a_change():
    lengths = OutputLengths()
    for length in [10] * 200 + [90] * 64:
        lengths.learn("c", "draft", length)
    assert lengths.predict("c", "draft") == 90


@CHECK
@given(st.lists(st.tuples(st.integers(-9, 10**6), st.integers(-9, 10**6))))
def test_prompt_lengths_stay_within_limits(samples):
    lengths = PromptLengths()
    for size, tokens in samples:
        lengths.learn("m", size, tokens)
    assert 1000 / 8 - 1 <= lengths.predict("m", 1000) <= 1000


@CHECK
@given(st.lists(st.floats(allow_nan=True, allow_infinity=True), max_size=20))
def test_rates_survive_wrong_reports(reports):
    rates = RateEstimator()
    for report in reports:
        rates.learn("e", Role.MIXED, report, report)
    assert 1.0 <= rates.prefill_rate("e", 8000.0) < 1e7
    assert 0.1 <= rates.decode_rate("e", 40.0) < 1e5
    assert rates.slowness("e") >= 1.0


def test_a_slow_engine_is_detected_and_recovers():
    rates = RateEstimator()

    def report(rate):
        for name in ("a", "b", "c"):
            rates.learn(name, Role.MIXED, rate if name == "c" else 9000.0, 40.0)

    for rate, slow in ((9000, False), (2000, False), (2000, False), (2000, True)):
        report(rate)
        assert (rates.slowness("c") > 1.0) is slow
    report(8500)
    assert rates.slowness("c") == rates.slowness("a") == 1.0


@CHECK
@given(st.floats(0, 100), st.floats(0, 100))
def test_older_reports_contain_less_queued_work(earlier, later):
    view = make_view(0, queued_tokens=50_000, own_tokens=7)
    first, second = sorted((earlier, later))
    assert (
        estimate_queued_tokens(view, span(first))
        >= estimate_queued_tokens(view, span(second))
        >= 7
    )


@CHECK
@given(
    st.lists(
        st.tuples(
            st.integers(0, 3), st.booleans(), st.integers(0, 40), st.integers(1, 3)
        ),
        max_size=200,
    )
)
def test_the_index_is_bounded_and_matches_only_prefixes(events):
    index = PrefixIndex(pieces_per_upstream=8, upstreams=3)
    numbers = {}
    for engine, stored, piece, step in events:
        number = numbers[engine] = numbers.get(engine, 0) + step
        name = f"e{engine}"
        index.apply(name, 1, [CacheEvent(number, stored, piece)])
        assert 0.5 <= index.confidence(name) <= 1.0
        assert index.expected_tokens(name, [piece]) <= 2000 * stored
    assert len(index) <= 24
    for engine in range(4):
        assert index.match(f"e{engine}", [999, *range(40)]) == 0


def test_a_gap_reduces_confidence_until_pieces_are_confirmed():
    """Guards against late prompts sent to an engine that has evicted their prefix.

    The event of the eviction was lost, and the entry's index keeps the piece until
    another event stores or evicts it.
    """
    index = PrefixIndex()
    index.apply("e", 1, [CacheEvent(1, True, 7)])
    assert index.expected_tokens("e", [7]) == 2000
    index.apply("e", 5, [CacheEvent(5, True, 8)])
    assert index.expected_tokens("e", [7]) < 2000
    index.apply("e", 5, [CacheEvent(6, True, 7)])
    assert index.expected_tokens("e", [7]) == 2000
    index.forget("e")
    assert len(index) == 0


class CountingIndex(PrefixIndex):
    """Counts the upstreams that are compared."""

    compared = 0

    def expected_tokens(self, upstream, prefix):
        self.compared += 1
        return super().expected_tokens(upstream, prefix)


@CHECK
@given(st.integers(9, 600), st.integers(0, 99))
def test_few_of_many_upstreams_are_compared(count, seed):
    views = [make_view(number) for number in range(count)]
    index = CountingIndex()
    for view in views[:20]:
        index.note_sent(view.name, [1, 2])
    work = make_work(prefix=(1, 2))
    assert choose_upstream(work, views, span(0), Random(seed), index=index)
    assert index.compared <= 9


@CHECK
@given(st.lists(st.tuples(st.booleans(), st.booleans(), st.booleans()), max_size=30))
def test_unusable_upstreams_are_never_chosen(states):
    views = [
        make_view(number, draining=draining, ready=ready)
        for number, (draining, ready, _) in enumerate(states)
    ]
    avoid = [view.name for view, state in zip(views, states, strict=True) if state[2]]
    chosen = choose_upstream(make_work(), views, span(0), Random(1), avoid)
    usable = [v for v in views if v.ready and not v.draining and v.name not in avoid]
    if chosen:
        assert chosen in usable
    else:
        assert not usable and chosen.retry_after > timedelta()


def test_streams_avoid_prefill_engines_and_slow_ones():
    views = [
        make_view(0, Role.PREFILL),
        make_view(1, decode_rate=14.0),
        make_view(2, queued_tokens=5000),
    ]
    chosen = choose_upstream(make_work(output_tokens=80), views, span(0), Random(1))
    assert chosen.name == "e2"


def plan_for(works, seconds, views, price=2.0):
    """Run a planner with a given demand; return its changes, which take effect."""
    planner = RolePlanner(RoleSettings(RATES, change_cost=price))
    changes = []
    for second in range(seconds):
        for work in works(second):
            planner.note(work, work.prompt_tokens, span(second))
        change = planner.plan(views, span(second))
        if change is not None:
            changes.append((second, change))
            view = next(view for view in views if view.name == change.upstream)
            view.role = change.role
    return changes


@settings(CHECK, max_examples=15)
@given(st.integers(0, 10**6), st.integers(0, 40), st.integers(0, 40))
def test_role_plans_keep_roles_and_an_engine_for_streams(seed, reads, drafts):
    random = Random(seed)
    views = [make_view(number) for number in range(6)]

    def make(second):
        read = make_work(prompt_tokens=random.randint(500, 6000))
        draft = make_work(output_tokens=80, prompt_tokens=150)
        return [read] * random.randint(0, reads) + [draft] * random.randint(0, drafts)

    last = {}
    for second, change in plan_for(make, 90, views):
        assert second - last.get(change.upstream, -20) >= 20
        assert second >= 10
        last[change.upstream] = second
    assert any(view.role is not Role.PREFILL for view in views)


def test_no_change_while_an_engine_is_unavailable():
    """Guards against refusals while two of six engines are unavailable at once.

    One engine is draining for its replacement when the demand shifts, and the planner
    takes a second one for a change of its role.
    """
    views = [make_view(number) for number in range(6)]
    views[3].draining = True
    works = [make_work(prompt_tokens=6000)] * 12
    assert plan_for(lambda second: works, 60, views) == []
    views[3].draining = False
    assert plan_for(lambda second: works, 60, views)
