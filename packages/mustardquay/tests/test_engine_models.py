"""Engine models learn the speed of any engine from its answers."""

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


def train(models, engine, slower, count, random, unknown_share=0.0, now=NOW):
    """Train a model with prefills, some of them after a wait that was not known."""
    for _ in range(count):
        prefill = draw_prefill(random)
        took = FIXED + time_prefill(prefill, slower) * random.uniform(0.95, 1.1)
        if random.random() < unknown_share:
            took += time_prefill(draw_prefill(random), slower)
        models.learn_prefill(engine, prefill, 0.0, took, now)


def measure_error(models, engine, slower, random, now=NOW):
    """Return the ratio of the expected to the actual time of many prefills."""
    prefills = [draw_prefill(random) for _ in range(200)]
    expected = sum(models.expect_prefill(engine, each, now) for each in prefills)
    return expected / sum(time_prefill(each, slower) for each in prefills)


@pytest.mark.parametrize("slower", [0.2, 0.45, 1.0, 2.1, 5.0])
@pytest.mark.parametrize("unknown_share", [0.0, 0.4])
def test_any_speed_is_learned_from_forty_answers(slower, unknown_share):
    """Guards against late long prompts while engines are idle.

    With constants measured for one type of engine, gateways with other types estimated
    queues that did not exist, or missed those that did.
    """
    random = Random(f"{slower} {unknown_share}")
    models, engine = EngineModels(), make_engine()
    train(models, engine, slower, 40, random, unknown_share)
    assert 0.75 < measure_error(models, engine, slower, random) < 1.5


def test_a_slow_engine_is_detected():
    random = Random(2)
    models = EngineModels()
    fast, slow = make_engine("fast"), make_engine("slow")
    for _ in range(60):
        train(models, fast, 1.0, 2, random)
        train(models, slow, 3.0, 1, random)
    prefill = Prefill(3_000, 6_300)
    ratio = models.expect_prefill(slow, prefill, NOW) / models.expect_prefill(
        fast, prefill, NOW
    )
    assert 1.8 < ratio < 4.0
    later = NOW + timedelta(seconds=60)
    assert models.slowdown_factor(slow, later) < 1.1


def test_a_change_of_speed_is_learned_from_thirty_answers():
    random = Random(3)
    models, engine = EngineModels(), make_engine()
    train(models, engine, 1.0, 100, random)
    train(models, engine, 4.0, 30, random)
    assert 0.7 < measure_error(models, engine, 4.0, random) < 1.5


def test_a_single_outlier_changes_little():
    """Guards against refusing all prompts after an engine froze for ten seconds."""
    random = Random(4)
    models, engine = EngineModels(), make_engine()
    train(models, engine, 1.0, 50, random)
    models.learn_prefill(engine, Prefill(3_000, 6_300), 0.0, 10.0, NOW)
    assert measure_error(models, engine, 1.0, random) < 1.3


def test_a_new_gateway_adopts_the_speeds_of_its_peers():
    random = Random(5)
    known, new, engine = EngineModels(), EngineModels(), make_engine()
    train(known, engine, 5.0, 60, random)
    new.adopt_speeds(known.export_speeds(), NOW)
    assert 0.75 < measure_error(new, engine, 5.0, random) < 1.5


def test_decode_engines_prefill_at_half_the_speed():
    models = EngineModels()
    prefill = Prefill(3_000)
    alone = models.expect_prefill(make_engine(stage=Stage.DECODE), prefill, NOW)
    assert alone == pytest.approx(
        2 * models.expect_prefill(make_engine(), prefill, NOW)
    )


def test_measurements_behind_a_long_queue_are_ignored():
    models, engine = EngineModels(), make_engine()
    for _ in range(50):
        models.learn_prefill(engine, Prefill(1_000), 5.0, 5.5, NOW)
    assert models.count_samples("llm") == 0


def test_peers_correct_a_model_of_few_late_answers():
    """Guards against late answers for a third of the callers until the end of the day.

    After all gateways were killed, one learned from five prefills behind queues that it
    did not know of. It sent every long prompt to the decode engines and no work to the
    prefill engines, whose measurements would have corrected the model.
    """
    random = Random(6)
    known, late, engine = EngineModels(), EngineModels(), make_engine()
    train(known, engine, 1.0, 60, random)
    for _ in range(5):
        late.learn_prefill(engine, Prefill(2_000), 0.0, 1.5, NOW)
    assert measure_error(late, engine, 1.0, random) > 3
    late.adopt_speeds(known.export_speeds(), NOW)
    assert 0.75 < measure_error(late, engine, 1.0, random) < 1.5


def test_decode_engines_are_learned_from_first_events():
    """Without prefill engines, no prefill is ever measured on its own."""
    random = Random(7)
    models, engine = EngineModels(), make_engine(stage=Stage.DECODE)
    for _ in range(60):
        prefill = draw_prefill(random)
        took = 0.04 + 2 * time_prefill(prefill, 3.0)
        models.learn_combined(engine, prefill, 4, took, NOW)
    assert 0.7 < measure_error(models, engine, 3.0, random) / 2 < 1.4


def test_configuration_changes_keep_adopted_speeds():
    """Guards against misplaced prompts for some seconds after each change of a route.

    Each configuration sets the traits of the engines again. In a gateway that had just
    started with its peers' coefficients, the priors replaced them, with their weight.
    """
    random = Random(8)
    known, new, engine = EngineModels(), EngineModels(), make_engine()
    train(known, engine, 5.0, 60, random)
    new.set_traits("llm", 13, 4e-7)
    new.adopt_speeds(known.export_speeds(), NOW)
    new.set_traits("llm", 13, 4e-7)
    assert 0.75 < measure_error(new, engine, 5.0, random) < 1.5


def test_unknown_queues_are_not_learned_as_slow_engines():
    """Guards against refusals at idle engines after a burst.

    For a second, each prefill waits for others and takes four times as long as
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


def test_combined_measurements_correct_a_prefill_time_of_zero():
    """Guards against prefill engines that get no work after a start during a burst.

    Short prompts waited for long ones in progress, so that all prefills seemed to take
    the same time.
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
def test_speeds_are_stable_when_queue_estimates_are_wrong(share):
    """Guards against a model that predicts no time for prefill after a burst.

    Each prompt waits for others, for `share` times the expected wait.
    """
    models, engine = EngineModels(), make_engine()
    train(models, engine, 1.0, 60, Random(7))
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
def test_combined_speeds_are_stable_when_queue_estimates_are_wrong(share):
    """Guards against sending all prompts to decode engines, as if prefill were free."""
    models = EngineModels()
    reader, decoder = make_engine(), make_engine("d1", Stage.DECODE)
    train(models, reader, 1.0, 60, Random(7))
    prefill = Prefill(2_900, 6_300)
    truth = 2 * time_prefill(prefill, 1.0)
    for _ in range(200):
        wait = 3 * models.expect_prefill(decoder, prefill, NOW)
        took = share * 3 * truth + truth + 0.02
        models.learn_combined(decoder, prefill, 4, took, NOW, wait)
    known = models.expect_prefill(decoder, prefill, NOW)
    assert 0.6 * truth <= known <= 1.5 * truth
