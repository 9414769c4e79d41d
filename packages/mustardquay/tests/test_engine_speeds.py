"""Factors of engines on machines of different speed that are slow for short spells."""

from datetime import timedelta
from math import inf, nan
from random import Random

import pytest

from mustardquay.engine_models import EngineModels, Prefill
from mustardquay.engine_speeds import EngineFactor, EngineSpeeds
from mustardquay.upstream_capacity import CapacityEstimates, LoadReport
from mustardquay.upstream_lists import Stage, UpstreamRecord

TOKEN = 1 / 305_000
FIXED = 0.01
FAST, SLOW = 1 / 1.2, 1 / 0.55
STEP = timedelta(milliseconds=30)


def make_models():
    return EngineModels(EngineSpeeds(CapacityEstimates()))


def make_engine(id, stage=Stage.PREFILL):
    return UpstreamRecord(id, "llm", "10.0.0.1:80", "a", 12, False, stage)


def measure(models, engine, factor, now, random, work_time=None):
    """Learn one prefill of a prompt whose own part varies tenfold."""
    if work_time is not None:
        report = LoadReport(work_time=work_time)
        models.speeds.capacities.note_report(engine.id, report, now)
    prefill = Prefill(int(random.lognormvariate(7.5, 1.0)) + 50, 6_300)
    noise = random.uniform(0.95, 1.05)
    took = FIXED * random.uniform(0.8, 1.2) + prefill.new * TOKEN * factor * noise
    models.learn_prefill(engine, prefill, 0.0, took, now)


def train(models, count=120, spells=0.0, reports=True):
    """Learn from a slow engine and three fast ones; returns the time at the end."""
    random = Random(1)
    now = timedelta(seconds=1)
    for number in range(count):
        now += STEP
        factor = SLOW if number % 4 == 0 else FAST
        factor *= 2.5 if (is_slow := random.random() < spells) else 1.0
        work_time = (2.5 if is_slow else 1.0) if reports else None
        measure(models, make_engine(f"e{number % 4}"), factor, now, random, work_time)
    return now


def compare(models, now, left="e0", others=("e1", "e2", "e3")):
    """Return the ratio of an engine's lasting factor to the mean of others."""
    factors = [models.slowdown_factor(make_engine(id), now) for id in others]
    return models.slowdown_factor(make_engine(left), now) * len(others) / sum(factors)


@pytest.mark.parametrize("spells", [0.0, 0.15, 0.5])
def test_a_spell_is_not_learned_as_lasting(spells):
    """Guards against an engine that counts as slow after its spell is over."""
    models = make_models()
    now = train(models, spells=spells)
    assert compare(models, now) == pytest.approx(SLOW / FAST, rel=0.25)


def test_expectations_multiply_both_factors():
    """Guards against times in a spell that are expected as usual."""
    models = make_models()
    now = train(models)
    engine, prefill = make_engine("e0"), Prefill(2_890, 6_300)
    usual = models.expect_prefill(engine, prefill, now)
    first = models.expect_first(engine, 2, now)
    pause = models.expect_pause(engine, 2, now)
    report = LoadReport(work_time=2.5)
    models.speeds.capacities.note_report("e0", report, now)
    assert models.expect_prefill(engine, prefill, now) == pytest.approx(2.5 * usual)
    assert models.expect_pause(engine, 2, now) == pytest.approx(2.5 * pause)
    assert models.expect_first(engine, 2, now) > first


def test_without_reports_lasting_factors_are_learned():
    """Guards against engines that count as equal where none reports its factor."""
    models = make_models()
    now = train(models, reports=False)
    assert compare(models, now) == pytest.approx(SLOW / FAST, rel=0.25)
    assert models.current_factor("e0", now) == 1.0


def test_a_new_engine_counts_as_the_mean():
    """Guards against an engine that gets all work, or none, before it is known."""
    models = make_models()
    now = train(models)
    new = make_engine("e9")
    assert models.slowdown_factor(new, now) == 1.0
    assert models.decode_factor(new, now) == 1.0
    measure(models, new, SLOW, now, Random(3))
    assert 1.0 < models.slowdown_factor(new, now) < SLOW / FAST


def test_an_engine_that_started_again_is_forgotten():
    """Guards against the factor of the machine on which it ran before."""
    models = make_models()
    now = train(models)
    models.forget("e0")
    assert models.slowdown_factor(make_engine("e0"), now) == 1.0


def test_samples_behind_a_long_queue_are_not_learned():
    """Guards against an engine that counts as slow for a queue that was too short.

    The queue is expected to take a third of the time that it does.
    """
    models = make_models()
    now = train(models)
    known = compare(models, now)
    for _ in range(30):
        now += STEP
        engine = make_engine("e1")
        models.learn_prefill(engine, Prefill(2_890, 6_300), 0.1, 0.3, now, 0.1)
    assert compare(models, now) == pytest.approx(known, rel=0.1)


@pytest.mark.parametrize(("lost", "seconds"), [(0.0, 2), (0.5, 4)])
def test_gateways_learn_from_each_other(lost, seconds):
    """Guards against factors that stay unknown where each gateway sees 1 request in 29.

    Each gateway measures each engine once in some seconds. Two seconds suffice, or four
    while half of the digests are lost.
    """
    random = Random(2)
    gateways = [make_models() for _ in range(29)]
    coefficients = train_coefficients()
    for each in gateways:
        each.adopt_speeds(coefficients, timedelta(seconds=1))
    now = timedelta(seconds=1)
    for number in range(240 * seconds):
        now += timedelta(seconds=1 / 240)
        sender = random.randrange(29)
        id = random.randrange(27)
        factor = SLOW if id % 4 == 0 else FAST
        measure(gateways[sender], make_engine(f"e{id}"), factor, now, random, 1.0)
        if number % 2 == 0:
            exchange(gateways, number // 2 % 29, now, lost, random)
    ratios = [compare(each, now, "e4", ("e5", "e6", "e7")) for each in gateways]
    close = [each for each in ratios if 1.5 < each < 2.9]
    assert len(close) >= 26


def train_coefficients():
    """Return the coefficients of engines of the mean speed."""
    known, random = make_models(), Random(5)
    for _ in range(60):
        measure(known, make_engine("e1"), 1.0, timedelta(), random, 1.0)
    return known.export_speeds()


def exchange(gateways, sender, now, lost, random):
    notices = gateways[sender].speeds.list_notices(now)
    for other, models in enumerate(gateways):
        if other == sender or random.random() < lost:
            continue
        models.apply_factors(f"g{sender}", notices, make_engine, now)


def test_a_notice_replaces_the_previous_one():
    """Guards against measurements that count twice, as digests repeat them."""
    speeds = EngineSpeeds(CapacityEstimates())
    now = timedelta(seconds=1)
    for _ in range(5):
        speeds.apply_notice("g1", "llm", EngineFactor("e1", 2.0, 1.0, 3.0, 0.0), now)
    assert speeds.count_samples("e1", now) == pytest.approx(3.0)


@pytest.mark.parametrize("factor", [nan, inf, -1.0, 0.0])
@pytest.mark.parametrize("samples", [nan, inf, -1.0, 1e9])
def test_false_notices_have_bounded_effect(factor, samples):
    """Guards against a gateway whose figures make an engine useless for all others."""
    models = make_models()
    now = train(models)
    known = compare(models, now)
    notice = EngineFactor("e0", factor, 1.0, samples, 0.0)
    models.apply_factors("g1", (notice,), make_engine, now)
    assert compare(models, now) == known
    huge = EngineFactor("e0", 1e30, 1.0, 1e30, 0.0)
    models.apply_factors("g1", (huge,), make_engine, now)
    assert 1 / 64 <= compare(models, now) <= 64


def test_few_notices_go_into_one_digest():
    """Guards against digests that exceed a datagram in a large service."""
    models = make_models()
    now = timedelta(seconds=1)
    for number in range(100):
        measure(models, make_engine(f"e{number}"), 1.0, now, Random(4))
    sent = [models.speeds.list_notices(now) for _ in range(20)]
    assert max(map(len, sent)) <= 6
    assert len({each.engine for notices in sent for each in notices}) == 100


def test_an_engine_that_was_not_measured_for_long_counts_by_its_present_factor():
    """Guards against pauses that are learned as short after a spell long ago."""
    speeds, now = EngineSpeeds(CapacityEstimates()), timedelta(seconds=100)
    speeds.capacities.note_report("e1", LoadReport(1, 0, 12, 2.5), now)
    speeds.learn_prefill("llm", "e1", 1.0, 1.0, now)
    later = now + timedelta(seconds=60)
    assert speeds.get_recent("e1", later) == pytest.approx(1.0, abs=0.01)
