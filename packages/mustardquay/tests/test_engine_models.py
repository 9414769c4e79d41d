"""Engine models learn any engine from its answers."""

from datetime import timedelta
from random import Random

import pytest

from mustardquay.engine_models import EngineModels, Prefill
from mustardquay.upstream_lists import Stage, UpstreamRecord

NOW = timedelta(seconds=5)
TOKEN = 1.0e-5
PAIR = 2.0e-10
FIXED = 0.004


def make_engine(id="e1", stage=Stage.PREFILL):
    return UpstreamRecord(id, "llm", "10.0.0.1:80", "a", 64, False, stage)


def draw_prefill(random):
    new = int(random.lognormvariate(7.5, 1.0)) + 16
    return Prefill(new, random.choice((0, 2_500, 6_300, 13_300)))


def time_prefill(prefill, slower):
    _, tokens, pairs, _ = prefill.features
    return slower * (tokens * TOKEN + pairs * PAIR)


def teach(models, engine, slower, count, random, unseen=0.0, now=NOW):
    """Have a model see readings, a part of them behind waits that nobody knew of."""
    for _ in range(count):
        prefill = draw_prefill(random)
        took = FIXED + time_prefill(prefill, slower) * random.uniform(0.95, 1.1)
        if random.random() < unseen:
            took += time_prefill(draw_prefill(random), slower)
        models.learn_prefill(engine, prefill, 0.0, took, now)


def measure_error(models, engine, slower, random, now=NOW):
    """Return the ratio of what is expected of many readings to the truth."""
    prefills = [draw_prefill(random) for _ in range(200)]
    expected = sum(models.expect_prefill(engine, each, now) for each in prefills)
    return expected / sum(time_prefill(each, slower) for each in prefills)


@pytest.mark.parametrize("slower", [0.2, 0.45, 1.0, 2.1, 5.0])
@pytest.mark.parametrize("unseen", [0.0, 0.4])
def test_engines_of_any_speed_are_known_after_some_forty_answers(slower, unseen):
    """Every long prompt is late although engines are idle.

    What engines take was stated for one kind of them; on others the gateways believed
    in queues that were not there, or in none where there was one.
    """
    random = Random(f"{slower} {unseen}")
    models, engine = EngineModels(), make_engine()
    teach(models, engine, slower, 40, random, unseen)
    assert 0.75 < measure_error(models, engine, slower, random) < 1.5


def test_an_engine_that_is_slower_than_the_others_is_told_apart():
    random = Random(2)
    models = EngineModels()
    fast, slow = make_engine("fast"), make_engine("slow")
    for _ in range(60):
        teach(models, fast, 1.0, 2, random)
        teach(models, slow, 3.0, 1, random)
    prefill = Prefill(3_000, 6_300)
    ratio = models.expect_prefill(slow, prefill, NOW) / models.expect_prefill(
        fast, prefill, NOW
    )
    assert 1.8 < ratio < 4.0
    later = NOW + timedelta(seconds=60)
    assert models.slowdown_factor(slow, later) < 1.1


def test_a_change_of_speed_is_followed_within_some_thirty_answers():
    random = Random(3)
    models, engine = EngineModels(), make_engine()
    teach(models, engine, 1.0, 100, random)
    teach(models, engine, 4.0, 30, random)
    assert 0.7 < measure_error(models, engine, 4.0, random) < 1.5


def test_one_answer_that_took_very_long_changes_little():
    """All prompts are refused after an engine was frozen for ten seconds."""
    random = Random(4)
    models, engine = EngineModels(), make_engine()
    teach(models, engine, 1.0, 50, random)
    models.learn_prefill(engine, Prefill(3_000, 6_300), 0.0, 10.0, NOW)
    assert measure_error(models, engine, 1.0, random) < 1.3


def test_a_gateway_that_starts_anew_takes_what_its_peers_know():
    random = Random(5)
    known, new, engine = EngineModels(), EngineModels(), make_engine()
    teach(known, engine, 5.0, 60, random)
    new.adopt_speeds(known.export_speeds(), NOW)
    assert 0.75 < measure_error(new, engine, 5.0, random) < 1.5


def test_an_engine_that_generates_reads_at_half_the_speed():
    models = EngineModels()
    prefill = Prefill(3_000)
    alone = models.expect_prefill(make_engine(stage=Stage.DECODE), prefill, NOW)
    assert alone == pytest.approx(
        2 * models.expect_prefill(make_engine(), prefill, NOW)
    )


def test_measurements_behind_a_long_queue_are_left_out():
    models, engine = EngineModels(), make_engine()
    for _ in range(50):
        models.learn_prefill(engine, Prefill(1_000), 5.0, 5.5, NOW)
    assert models.count_samples("llm") == 0


def test_a_gateway_that_learned_from_a_few_late_answers_is_put_right_by_its_peers():
    """A third of the callers get late answers until the end of the day.

    After all gateways were killed, one learned from five readings behind queues that
    it did not know of, placed no more work where it would have learned better, and
    sent every long prompt to the engines that generate.
    """
    random = Random(6)
    known, late, engine = EngineModels(), EngineModels(), make_engine()
    teach(known, engine, 1.0, 60, random)
    for _ in range(5):
        late.learn_prefill(engine, Prefill(2_000), 0.0, 1.5, NOW)
    assert measure_error(late, engine, 1.0, random) > 3
    late.adopt_speeds(known.export_speeds(), NOW)
    assert 0.75 < measure_error(late, engine, 1.0, random) < 1.5


def test_engines_that_only_generate_are_learned_from_their_first_events():
    """No engine reads apart, so that no reading is ever seen by itself."""
    random = Random(7)
    models, engine = EngineModels(), make_engine(stage=Stage.DECODE)
    for _ in range(60):
        prefill = draw_prefill(random)
        took = 0.04 + 2 * time_prefill(prefill, 3.0)
        models.learn_combined(engine, prefill, 4, took, NOW)
    assert 0.7 < measure_error(models, engine, 3.0, random) / 2 < 1.4


def test_a_change_of_the_configuration_leaves_what_peers_told():
    """Prompts are misplaced after each change of a route for some seconds.

    Each configuration tells of the engines again. For a gateway that had just started
    from its peers' speeds, the priors went in their place, with their weight.
    """
    random = Random(8)
    known, new, engine = EngineModels(), EngineModels(), make_engine()
    teach(known, engine, 5.0, 60, random)
    new.set_traits("llm", 13, 4e-7)
    new.adopt_speeds(known.export_speeds(), NOW)
    new.set_traits("llm", 13, 4e-7)
    assert 0.75 < measure_error(new, engine, 5.0, random) < 1.5


def test_a_queue_that_nobody_knew_of_is_not_taken_for_slow_engines():
    """Guards against a burst after which prompts are refused at idle engines.

    For a second each reading waits for others, and takes four times as long as
    expected, behind a known wait of twice its own time.
    """
    models = EngineModels()
    prefill = Prefill(4_000, 6_300)
    engine = UpstreamRecord("e", "llm", "10.0.0.1:80", "a", 12, False, Stage.PREFILL)
    now = timedelta()
    for _ in range(60):
        models.learn_prefill(engine, prefill, 0.0, 0.025, now)
    known = models.expect_prefill(engine, prefill, now)
    for _ in range(20):
        models.learn_prefill(engine, prefill, 0.05, 0.15, now)
    assert models.expect_prefill(engine, prefill, now) <= 1.5 * known
    assert models.count_samples("llm") >= 20


def test_a_model_that_takes_reading_for_nothing_is_put_right_by_prompts_read_alone():
    """Guards against a start in a burst after which no engine reads for others.

    Short prompts waited for long ones that were under way, so that all readings seemed
    to take the same time.
    """
    models = EngineModels()
    reader = UpstreamRecord("p", "llm", "10.0.0.1:80", "a", 64, False, Stage.PREFILL)
    decoder = UpstreamRecord("d", "llm", "10.0.0.2:80", "a", 64, False, Stage.DECODE)
    now = timedelta()
    for tokens in (100, 8_000, 300, 2_000, 200, 9_000) * 3:
        models.learn_prefill(reader, Prefill(tokens), 0.0, 0.05, now)
    for _ in range(30):
        models.learn_combined(decoder, Prefill(9_000), 8, 0.2, now)
    assert models.expect_prefill(decoder, Prefill(9_000), now) >= 0.1
    assert models.expect_overhead("llm") <= 0.03


@pytest.mark.parametrize("share", [0.7, 0.85, 1.0, 1.3])
def test_speeds_hold_in_a_queue_that_is_shorter_or_longer_than_thought(share):
    """Guards against a burst after which reading is taken to need no time at all.

    Each prompt waits for others, for that `share` of the time that was expected.
    """
    models, engine = EngineModels(), make_engine()
    teach(models, engine, 1.0, 60, Random(7))
    prefill = Prefill(2_900, 6_300)
    truth = time_prefill(prefill, 1.0)
    for _ in range(200):
        read = models.expect_prefill(engine, prefill, NOW)
        wait = 3 * read
        took = FIXED + share * 3 * truth + truth
        models.learn_prefill(engine, prefill, wait, took, NOW)
    known = models.expect_prefill(engine, prefill, NOW)
    assert 0.6 * truth <= known <= 1.5 * truth


@pytest.mark.parametrize("share", [0.7, 0.85, 1.0, 1.3])
def test_speeds_hold_where_one_engine_reads_and_generates_behind_others(share):
    """Guards against engines that generate getting all prompts, as if unread ones."""
    models = EngineModels()
    reader, decoder = make_engine(), make_engine("d1", Stage.DECODE)
    teach(models, reader, 1.0, 60, Random(7))
    prefill = Prefill(2_900, 6_300)
    truth = 2 * time_prefill(prefill, 1.0)
    for _ in range(200):
        wait = 3 * models.expect_prefill(decoder, prefill, NOW)
        took = share * 3 * truth + truth + 0.02
        models.learn_combined(decoder, prefill, 4, took, NOW, wait)
    known = models.expect_prefill(decoder, prefill, NOW)
    assert 0.6 * truth <= known <= 1.5 * truth
