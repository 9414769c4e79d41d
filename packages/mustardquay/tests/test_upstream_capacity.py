"""Estimates of the capacity of upstreams from reports that are lost, late or wrong."""

from dataclasses import replace
from datetime import timedelta
from random import Random

import pytest
from hypothesis import given, settings, strategies as st

from mustardquay.upstream_capacity import (
    MAX_NOTICES,
    CapacityEstimates,
    CapacityNotice,
    LoadReport,
)

NOW = timedelta(seconds=50)
SLOW = LoadReport(5, 2, 6, 2.5)


def milliseconds(number):
    return timedelta(milliseconds=number)


def make_notice(age=0, work_time=2.5, running=5, waiting=2):
    return CapacityNotice("u", running, waiting, work_time, milliseconds(age))


def test_a_reported_factor_returns_to_one_with_its_age():
    """Guards against an upstream that is avoided after the reports of it are lost."""
    estimates = CapacityEstimates()
    estimates.note_report("u", SLOW, NOW)
    factors = [
        estimates.current_factor("u", NOW + milliseconds(age))
        for age in (0, 100, 600, 3_000)
    ]
    assert factors[0] == 2.5
    assert factors == sorted(factors, reverse=True)
    assert 1.3 < factors[2] < 1.8
    assert factors[3] < 1.02


def test_an_unknown_upstream_has_usual_speed():
    estimates = CapacityEstimates()
    assert estimates.current_factor("u", NOW) == 1.0
    assert estimates.lasting_factor("u") == 1.0
    assert estimates.count_others("u", NOW) == 0.0


@pytest.mark.parametrize("is_reversed", [False, True])
def test_the_newest_report_counts_in_whatever_order(is_reversed):
    """Guards against datagrams that overtake each other."""
    notices = [make_notice(200, 8.0), make_notice(20, 1.5)]
    estimates = CapacityEstimates()
    for notice in reversed(notices) if is_reversed else notices:
        estimates.apply_notices([notice], NOW)
    assert estimates.measure_age("u", NOW) == milliseconds(20)
    assert estimates.current_factor("u", NOW) < 1.5


def test_an_own_report_replaces_older_ones_of_peers_only():
    estimates = CapacityEstimates()
    estimates.note_report("u", replace(SLOW, work_time=1.0), NOW)
    assert estimates.apply_notices([make_notice(5)], NOW) == 0
    assert estimates.current_factor("u", NOW) == 1.0
    assert estimates.apply_notices([make_notice(5)], NOW + milliseconds(10)) == 1


def test_a_missing_figure_leaves_the_known_one():
    estimates = CapacityEstimates()
    estimates.note_report("u", SLOW, NOW)
    estimates.note_report("u", LoadReport(work_time=2.0), NOW + milliseconds(1))
    assert estimates.count_others("u", NOW + milliseconds(1)) == 7
    estimates.note_report("u", LoadReport(running=1), NOW + milliseconds(2))
    assert estimates.count_others("u", NOW + milliseconds(2)) == 1
    assert 1.9 < estimates.current_factor("u", NOW + milliseconds(2)) < 2.0


def test_own_requests_are_not_counted_twice():
    estimates = CapacityEstimates()
    estimates.note_report("u", SLOW, NOW, own=3)
    assert estimates.count_others("u", NOW) == 4
    estimates.apply_notices([make_notice()], NOW + milliseconds(1), lambda id: 30)
    assert estimates.count_others("u", NOW + milliseconds(1)) == 0


def test_a_notice_is_sent_once_with_its_age():
    estimates = CapacityEstimates()
    estimates.note_report("u", SLOW, NOW)
    later = NOW + milliseconds(30)
    assert estimates.list_notices(later) == (make_notice(30),)
    assert estimates.list_notices(later) == ()


def test_ages_are_sent_instead_of_times():
    """Guards against gateways whose clocks differ: reports would be old or of later."""
    teacher, learner = CapacityEstimates(), CapacityEstimates()
    teacher.note_report("u", SLOW, NOW)
    notices = teacher.list_notices(NOW + milliseconds(30))
    other_clock = timedelta(days=9)
    learner.apply_notices(notices, other_clock)
    assert learner.measure_age("u", other_clock) == milliseconds(30)


def test_reports_that_confirm_what_is_known_are_not_sent():
    """Guards against digests that grow with the answers of upstreams."""
    estimates = CapacityEstimates()
    sent = 0
    for step in range(300):
        now = NOW + milliseconds(10 * step)
        estimates.note_report("u", LoadReport(1, 0, 6, 1.0), now)
        sent += len(estimates.list_notices(now))
    assert sent == 1
    estimates.note_report("u", SLOW, now)
    assert len(estimates.list_notices(now)) == 1


def test_reports_of_peers_are_not_passed_on():
    """Guards against reports that go round between gateways for ever."""
    estimates = CapacityEstimates()
    estimates.apply_notices([make_notice()], NOW)
    assert estimates.list_notices(NOW) == ()


def test_all_notices_are_sent_in_turn():
    """Guards against upstreams whose reports are never shared, as others go before."""
    estimates = CapacityEstimates()
    sent = set()
    for step in range(5):
        now = NOW + milliseconds(40 * step)
        for number in range(3 * MAX_NOTICES):
            estimates.note_report(f"u{number}", SLOW, now)
        sent |= {notice.upstream for notice in estimates.list_notices(now)}
    assert len(sent) == 3 * MAX_NOTICES


def test_a_restarted_upstream_is_forgotten():
    """Guards against reports of an incarnation that has ended, also late ones."""
    estimates = CapacityEstimates()
    estimates.note_report("u", SLOW, NOW)
    for _ in range(50):
        estimates.note_answer("u", 1.0, NOW, "app")
    estimates.forget("u")
    assert estimates.list_notices(NOW) == ()
    later = NOW + milliseconds(10)
    assert estimates.apply_notices([make_notice(20)], later) == 0
    assert estimates.apply_notices([make_notice(30)], later + milliseconds(15)) == 0
    assert estimates.current_factor("u", later) == 1.0
    assert estimates.lasting_factor("u") == 1.0
    assert estimates.apply_notices([make_notice()], later + milliseconds(15)) == 1


def test_upstreams_that_come_and_go_leave_nothing():
    """Guards against memory that grows with the restarts of upstreams."""
    estimates = CapacityEstimates()
    for number in range(1_000):
        now = NOW + timedelta(seconds=number)
        estimates.note_report(f"u{number}", SLOW, now)
        estimates.note_answer(f"u{number}", 0.1, now, "app")
        estimates.forget(f"u{number}")
        estimates.list_notices(now)
    kept = (estimates._queues, estimates._speeds, estimates._unshared)
    assert not any(kept)
    assert len(estimates._forgotten) < 5
    assert not estimates._lasting._times and not estimates._lasting._services


def feed_answers(estimates, answers, speeds, seed=1, spells=True):
    """Record answers of upstreams with such speeds; each is answered in turn."""
    random = Random(seed)
    for number in range(answers):
        now = NOW + milliseconds(10 * number)
        for id, speed in speeds.items():
            factor = 2.5 if spells and random.random() < 0.15 else 1.0
            estimates.note_report(id, LoadReport(1, 0, 6, factor), now)
            seconds = random.expovariate(1 / 0.06) * factor / speed
            estimates.note_answer(id, seconds, now, "app")


@pytest.mark.parametrize("seed", range(5))
def test_lasting_factors_are_learned_without_slow_spells(seed):
    speeds = {"u0": 0.55, "u1": 1.2, "u2": 1.2}
    mean = sum(1 / speed for speed in speeds.values()) / 3
    estimates = CapacityEstimates()
    feed_answers(estimates, 200, speeds, seed)
    for id, speed in speeds.items():
        assert estimates.lasting_factor(id) == pytest.approx(1 / speed / mean, rel=0.25)


def test_gateways_learn_lasting_factors_from_each_other():
    """Guards against gateways that need minutes, as each sees one answer a second."""
    speeds = {"u0": 0.55, "u1": 1.2, "u2": 1.2}
    teacher, learner = CapacityEstimates(), CapacityEstimates()
    for _ in range(20):
        feed_answers(teacher, 10, speeds)
        learner.apply_notices(teacher.list_notices(NOW), NOW, find_service=str)
    learned = CapacityEstimates()
    feed_answers(learned, 40, speeds)
    notices = learned.list_notices(NOW + milliseconds(400))
    later = NOW + milliseconds(401)
    fresh = CapacityEstimates()
    fresh.apply_notices(notices, later, find_service=lambda id: "app")
    for id in speeds:
        assert fresh.lasting_factor(id) == pytest.approx(
            learned.lasting_factor(id), rel=0.15
        )


def test_services_do_not_share_a_mean():
    """Guards against long work of one service that makes it look slow beside others."""
    estimates = CapacityEstimates()
    for number in range(100):
        now = NOW + milliseconds(number)
        for id, service, seconds in (("u", "app", 0.06), ("v", "batch", 6.0)):
            estimates.note_report(id, LoadReport(work_time=1.0), now)
            estimates.note_answer(id, seconds, now, service)
    assert estimates.lasting_factor("u") == pytest.approx(1.0)
    assert estimates.lasting_factor("v") == pytest.approx(1.0)


def test_an_upstream_without_answers_returns_to_the_mean():
    """Guards against an upstream that is avoided for good after it has recovered."""
    estimates = CapacityEstimates()
    feed_answers(estimates, 100, {"u0": 0.2, "u1": 1.0, "u2": 1.0})
    slow = estimates.lasting_factor("u0")
    for second in range(300):
        now = NOW + timedelta(seconds=second)
        for id in ("u1", "u2"):
            estimates.note_answer(id, 0.06, now, "app")
    assert 1.0 <= estimates.lasting_factor("u0") < 1 + (slow - 1) / 5


weird = st.one_of(
    st.none(), st.floats(allow_nan=False, min_value=1e-9), st.just(float("inf"))
)
counts = st.one_of(st.none(), st.integers(0, 2**31))


@given(
    st.lists(st.tuples(counts, counts, weird, st.integers(0, 4_000), st.integers())),
    st.floats(allow_nan=True),
)
@settings(derandomize=True)
def test_false_figures_have_a_bounded_effect(figures, seconds):
    """Guards against a false report that fails a choice or outweighs all others."""
    estimates = CapacityEstimates()
    for running, waiting, work_time, age, answers in figures:
        estimates.note_report("u", LoadReport(running, waiting, 6, work_time), NOW)
        estimates.note_answer("u", seconds, NOW, "app")
        notice = CapacityNotice(
            "u", running, waiting, work_time, milliseconds(age), answers, seconds
        )
        estimates.apply_notices([notice], NOW, find_service=lambda id: "app")
        note_usual_answers(estimates, ("v", "w"), 1)
        for id in ("u", "v", "w"):
            for now in (NOW, NOW + milliseconds(age)):
                assert 1 / 8 <= estimates.current_factor(id, now) <= 8
            assert 1 / 8 <= estimates.lasting_factor(id) <= 8
        for id in ("v", "w"):
            assert 1 / 2 <= estimates.lasting_factor(id) <= 2
        assert estimates.count_others("u", NOW) >= 0


def note_usual_answers(estimates, ids, count):
    """Record answers of upstreams that report usual speed and take 60 ms."""
    for _ in range(count):
        for id in ids:
            estimates.note_report(id, LoadReport(work_time=1.0), NOW)
            estimates.note_answer(id, 0.06, NOW, "app")


@pytest.mark.parametrize("seconds", [1e30, 1e300, 1e-300])
@pytest.mark.parametrize(("known", "notices"), [(0, 1), (1, 1), (200, 1), (200, 50)])
@pytest.mark.parametrize("others", [("v", "w"), ("v", "w", "x", "y", "z")])
def test_false_times_of_one_upstream_have_a_passing_effect(
    seconds, known, notices, others
):
    """Guards against a sum that one false notice of an upstream spoils for good.

    The upstreams `others` answer as usual; `known` of their answers come before it.
    """
    estimates = CapacityEstimates()
    note_usual_answers(estimates, others, known)
    notice = CapacityNotice("u", 1, 0, 1.0, milliseconds(5), 1, seconds)
    for _ in range(notices):
        estimates.apply_notices([notice], NOW, find_service=lambda id: "app")
    for _ in range(1_000):
        for id in others:
            assert 1 / 2 <= estimates.lasting_factor(id) <= 2
        note_usual_answers(estimates, ("u", *others), 1)
    for id in ("u", *others):
        assert estimates.lasting_factor(id) == pytest.approx(1.0, abs=0.05)
    estimates.forget("u")
    for id in others:
        assert estimates.lasting_factor(id) == pytest.approx(1.0, abs=0.05)
