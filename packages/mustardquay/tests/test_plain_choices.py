"""The choice of plain upstreams, played without a network at uneven speeds."""

from dataclasses import replace
from datetime import timedelta
from random import Random
from time import process_time

import pytest
from simulated_capacity import PlainService, ServiceLoad, choose_by_truth

from mustardquay.upstream_capacity import LoadReport
from mustardquay.upstream_lists import UpstreamRecord
from mustardquay.upstream_loads import UpstreamLoads, choose_plain

NOW = timedelta(seconds=50)
SECONDS = 15.0
SEEDS = (1, 2)


def play(load, choose=None):
    """Return the share of calls on time over some seeds."""
    runs = [PlainService(replace(load, seed=s), choose).run() for s in SEEDS]
    return sum(run.on_time for run in runs) / len(runs)


@pytest.mark.parametrize("gateways", [4, 28, 100])
def test_more_calls_are_on_time_than_without_reports(gateways):
    """Guards against calls that wait at a slow upstream beside idle fast ones.

    Each gateway knew its own calls only. With reports, at least two of three calls that
    only the knowledge of queue and speed can save are on time.
    """
    load = ServiceLoad(gateways, seconds=SECONDS)
    before = play(replace(load, uses_reports=False))
    possible = play(load, choose_by_truth)
    assert play(load) >= before + (possible - before) * 2 / 3


def test_gateways_with_the_same_reports_do_not_all_choose_alike():
    """Guards against a herd: all gateways send to the one upstream that looks best."""
    records = [make_record(n) for n in range(3)]
    chosen = set()
    for gateway in range(30):
        loads = make_loads({record.id: 1.0 for record in records})
        record = choose_plain(records, loads, NOW, "a", Random(gateway))
        chosen.add(record.id)
    assert len(chosen) == 3


def test_lost_reports_are_survived():
    """Guards against a choice by old figures: each digest is lost."""
    load = ServiceLoad(28, seconds=SECONDS, loss=1.0)
    assert play(load) >= play(replace(load, uses_reports=False))


def test_half_of_the_reports_suffice():
    load = ServiceLoad(28, seconds=SECONDS)
    assert play(replace(load, loss=0.5)) >= play(load) - 0.005


def test_late_and_reordered_reports_suffice():
    """Guards against a choice by digests that overtook each other."""
    load = ServiceLoad(28, seconds=SECONDS)
    before = play(replace(load, uses_reports=False))
    assert play(replace(load, jitter=0.2)) >= before


def test_stale_reports_end():
    """Guards against an upstream that is avoided, or flooded, by its last report."""
    records = [make_record(0), make_record(1)]
    loads = make_loads({"u0": 8.0, "u1": 1.0})
    random = Random(1)

    def share(now):
        chosen = [choose_plain(records, loads, now, "a", random) for _ in range(200)]
        return sum(record.id == "u0" for record in chosen) / 200

    assert share(NOW) == 0
    assert 0.3 < share(NOW + timedelta(seconds=5)) < 0.7


@pytest.mark.parametrize("claimed", [0.0001, 0.125, 8.0, 9_999.0])
def test_a_false_speed_costs_little(claimed):
    """Guards against an upstream that attracts all calls, or drives them away.

    One upstream of four claims a speed that it hasn't; answers show how long they take,
    so that its lasting factor makes up for the claim.
    """

    def lie(upstream, now):
        report = upstream.report()
        is_liar = upstream.record.id == "u1"
        return replace(report, work_time=claimed) if is_liar else report

    load = ServiceLoad(28, seconds=SECONDS, speeds=(0.55, 1.2, 1.2, 1.2))
    before = play(replace(load, uses_reports=False))
    assert play(replace(load, reports=lie)) >= before


def test_a_false_queue_costs_little():
    """Guards against an upstream that claims to be empty and gets all calls."""

    def lie(upstream, now):
        report = upstream.report()
        is_liar = upstream.record.id == "u1"
        return replace(report, running=0, waiting=0) if is_liar else report

    load = ServiceLoad(28, seconds=SECONDS)
    assert play(replace(load, reports=lie)) >= play(replace(load, uses_reports=False))


def test_a_restarted_upstream_is_chosen_as_a_new_one():
    """Guards against the spell of an incarnation that has ended, as peers report it."""
    records = [make_record(0), make_record(1)]
    loads = make_loads({"u0": 8.0, "u1": 1.0})
    loads.forget("u0")
    random = Random(1)
    chosen = {choose_plain(records, loads, NOW, "a", random).id for _ in range(50)}
    assert chosen == {"u0", "u1"}


def test_reports_without_a_speed_change_nothing():
    """Guards against another choice where upstreams report three figures only."""
    load = ServiceLoad(28, seconds=10, reports=lambda each, now: LoadReport(1, 0, 6))
    before = PlainService(replace(load, uses_reports=False, reports=None))
    after = PlainService(load)
    # Reports of three figures are also used as before.
    for service in (before, after):
        service.choose = choose_after_report
        service.run()
    assert before.times == after.times


def choose_after_report(service, gateway, now):
    records = [each.record for each in service.upstreams]
    for record in records:
        gateway.loads.note_report(record.id, 1, 0, now)
    return choose_plain(records, gateway.loads, now, gateway.zone, gateway.random)


def test_without_the_setting_speeds_decide_nothing():
    records = [make_record(0), make_record(1)]
    loads = make_loads({"u0": 8.0, "u1": 1.0})
    plain = UpstreamLoads()
    loads.uses_reports = False
    first, second = Random(3), Random(3)
    for _ in range(100):
        chosen = choose_plain(records, loads, NOW, "a", first)
        assert chosen == choose_plain(records, plain, NOW, "a", second)


def test_rate_limits_go_before_speeds():
    records = [make_record(0), make_record(1)]
    loads = make_loads({"u0": 8.0, "u1": 1.0})
    waits = {"u0": 0.0, "u1": 0.5}
    for seed in range(20):
        chosen = choose_plain(
            records, loads, NOW, "a", Random(seed), (), lambda each: waits[each.id]
        )
        assert chosen.id == "u0"


def test_a_decision_takes_less_than_a_millisecond_at_300_upstreams():
    records = [make_record(n) for n in range(300)]
    loads = make_loads({record.id: 1.0 + n % 3 for n, record in enumerate(records)})
    for record in records:
        loads.capacities.note_answer(record.id, 0.1, NOW, "app")
    random = Random(1)
    spent = []
    for _ in range(20):
        begun = process_time()
        for _ in range(20):
            choose_plain(records, loads, NOW, "a", random)
        spent.append((process_time() - begun) / 20)
    assert min(spent) < 0.001


def make_record(number):
    return UpstreamRecord(f"u{number}", "app", f"10.0.0.{number}:80", "a", 6, False)


def make_loads(work_times):
    loads = UpstreamLoads(uses_reports=True)
    for id, work_time in work_times.items():
        loads.note_capacity(id, LoadReport(0, 0, 6, work_time), NOW)
    return loads
