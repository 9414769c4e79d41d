"""Fair shares under overload, played without a network."""

import time
from datetime import timedelta
from random import Random

import pytest
from share_loads import Kind, Load
from simulated_shares import simulate

from mustardquay.fair_shares import (
    FairAdmission,
    FleetUses,
    OrganisationUse,
    PlainExpectation,
    PlainQueues,
    PlainVerdict,
    ReturnPositions,
    UseMeter,
    find_level,
    find_wait_factor,
    fold_uses,
    judge_plain,
)

TARGET = timedelta(milliseconds=400)
LEFT = timedelta(seconds=4)
MIN_SERVED_RATIO = 0.25
"""How often each organisation must be served, relative to all."""
SHORT = (1.0, 5.0, 4.0)
BRIEF = (0.5, 3.0, 1.5)
"""Seconds before, during and after an overload; shorter at many gateways."""


def at(seconds):
    return timedelta(seconds=seconds)


def is_urgent(caller):
    return caller.kind.rank == 0


def is_patient(caller):
    return caller.kind.rank == 2


def check_fair(outcome):
    """Check who is served: no organisation far less than all, the urgent first."""
    served = outcome.measure_served()
    assert min(outcome.list_served().values()) >= MIN_SERVED_RATIO * served
    assert outcome.measure_served(is_urgent) >= outcome.measure_served(is_patient)


@pytest.mark.parametrize(
    ("gateways", "organisations"),
    [(4, 77), (4, 1000), (28, 77), (28, 1000), (100, 77), (100, 1000)],
)
def test_an_overload_is_divided_fairly(gateways, organisations):
    """Guards against large organisations that make all others late."""
    load = Load(gateways, organisations, seconds=SHORT)
    if gateways == 100:
        load = Load(gateways, organisations, ratio=2.2, seconds=BRIEF)
    before, outcome = simulate(load, None), simulate(load)
    check_fair(outcome)
    assert outcome.measure_value() > before.measure_value()
    assert outcome.measure_in_time() > before.measure_in_time()
    small = outcome.measure_served(lambda each: int(each.organisation[1:]) > 10)
    large = outcome.measure_served(lambda each: int(each.organisation[1:]) <= 2)
    assert small > large


@pytest.mark.parametrize("ratio", [2.2, 3.0])
def test_the_largest_organisation_is_not_starved(ratio):
    """Guards against a level far below what the largest organisation asks for."""
    check_fair(simulate(Load(ratio=ratio, seconds=SHORT)))


@pytest.mark.parametrize("gateways", [4, 28])
def test_nothing_is_refused_below_the_capacity(gateways):
    """Guards against shares that limit an organisation of an idle service."""
    outcome = simulate(Load(gateways, ratio=0.6, seconds=SHORT))
    assert not any(each.refusals for each in outcome.callers)


def test_a_single_organisation_may_use_a_whole_service():
    """Guards against capacity that is kept free for organisations that don't ask."""
    load = Load(organisations=1, ratio=1.5, seconds=SHORT)
    many = simulate(Load(ratio=1.5, seconds=SHORT))
    assert simulate(load).measure_served() > 0.95 * many.measure_served()


def test_a_silent_peer_leaves_shares_fair():
    """Guards against a gateway whose use is not known to the others."""
    check_fair(simulate(Load(silent=frozenset({3}), seconds=SHORT)))


def test_a_restarted_peer_leaves_shares_fair():
    """Guards against a gateway that forgets all uses in an overload."""
    restarts = ((2.0, 1), (3.0, 2), (4.0, 1))
    check_fair(simulate(Load(restarts=restarts, seconds=SHORT)))


def test_a_cut_between_gateways_leaves_shares_fair():
    """Guards against sides that each count only their own callers."""
    check_fair(simulate(Load(8, cut=(2.0, 5.0), seconds=SHORT)))


@pytest.mark.parametrize(("delay", "loss"), [(0.3, 0.0), (0.02, 0.5)])
def test_late_and_lost_digests_leave_shares_fair(delay, loss):
    """Guards against decisions that need news of the last milliseconds."""
    load = Load(28, digest_delay=delay, digest_loss=loss, seconds=SHORT)
    check_fair(simulate(load))


def test_anonymous_callers_count_as_one_organisation():
    """Guards against callers that avoid their share by sending no key."""
    outcome = simulate(Load(anonymous_part=0.6, seconds=SHORT))
    served = outcome.list_served()
    assert served[""] < min(served[name] for name in ("o1", "o2", "o3", "o4"))
    check_fair(outcome)


def test_a_less_urgent_flood_does_not_displace_urgent_requests():
    """Guards against a less urgent kind that is served in place of an urgent one."""
    kinds = (Kind(0, 0.1), Kind(2, 0.9))
    outcome = simulate(Load(ratio=3.0, kinds=kinds, seconds=SHORT))
    assert outcome.measure_served(is_urgent) > 0.97


def test_the_same_seed_has_the_same_outcome():
    load = Load(seconds=(0.5, 1.0, 1.0))
    assert simulate(load).measure_value() == simulate(load).measure_value()


def test_small_demands_are_met_and_large_ones_cut_off_at_one_level():
    random = Random(1)
    for _ in range(200):
        demands = [random.expovariate(1) ** 2 for _ in range(random.randrange(1, 40))]
        capacity = random.random() * sum(demands)
        level = find_level(demands, capacity)
        given = sum(min(each, level.find_share(each)) for each in demands)
        assert given == pytest.approx(capacity)


def test_a_newer_report_replaces_an_older_one_in_any_order():
    """Guards against reordered digests, and against a peer that restarts."""
    fleet = FleetUses()
    for order, seconds in (((1, 9), 3.0), ((1, 8), 7.0), ((2, 1), 1.0)):
        use = OrganisationUse("s", "a", seconds, seconds)
        fleet.apply_report("g2", order, [use], at(1))
    assert fleet.find_standing("s", "a", at(1)).use == pytest.approx(1.0)


def test_the_use_of_a_silent_peer_decays():
    """Guards against an organisation that is refused for what a dead gateway said."""
    fleet = FleetUses()
    fleet.apply_report("g2", (1, 1), [OrganisationUse("s", "a", 9.0, 9.0)], at(0))
    uses = [fleet.find_standing("s", "a", at(now)).use for now in (0, 3, 6, 20)]
    assert uses == sorted(uses, reverse=True)
    assert uses[1] < 0.4 * uses[0] and uses[-1] == 0


def test_reports_of_past_gateways_expire_without_requests():
    """Guards against memory that grows with the restarts of gateways under new names.

    No shares are computed at a gateway without requests.
    """
    fleet = FleetUses()
    use = OrganisationUse("s", "a", 1.0, 1.0)
    for number in range(1_000):
        fleet.apply_report(f"g{number}", (1, 1), [use], at(number))
    assert len(fleet._reports) <= 10
    assert fleet.find_standing("s", "a", at(999)).use > 1.0


def test_the_meter_is_bounded():
    """Guards against memory that grows with the number of organisations."""
    meter = UseMeter()
    for number in range(20_000):
        meter.note_demand("s", f"o{number}", 0.1, at(number / 1000))
    assert len(meter.list_uses(at(20), 10_000)) <= 4096


def test_listed_uses_keep_their_sum():
    """Guards against small organisations that are missing from the fleet's demand."""
    meter = UseMeter()
    for number in range(1, 9):
        meter.note_demand("s", f"o{number}", number, at(1))
    listed = meter.list_uses(at(1), 3)
    assert [each.organisation for each in listed] == ["o8", "o7", "o6", None]
    assert sum(each.demand for each in listed) == pytest.approx(36)


def test_the_meter_outlasts_a_long_idle_time():
    """Guards against an overflow of sums that are stored at a common instant."""
    meter = UseMeter()
    for now in (0, 10_000, 10_001):
        meter.note_demand("s", "a", 1.0, at(now))
    assert meter.read("s", "a", at(10_001))[1] == pytest.approx(1.7165, rel=1e-3)


def test_folded_uses_keep_their_sum():
    uses = [OrganisationUse("s", f"o{each}", each / 10, each) for each in range(1, 9)]
    folded = fold_uses(uses, 3)
    assert len(folded) == 4
    assert sum(each.demand for each in folded) == sum(each.demand for each in uses)


def test_rank_goes_before_share_and_a_return_before_new_callers():
    order = [
        find_wait_factor([0, 2], rank, place, is_return)
        for rank in (0, 2)
        for place in range(3)
        for is_return in (True, False)
    ]
    assert order == sorted(order, reverse=True) and min(order) > 0
    # A wait beyond the bound ends after the target.
    assert max(order) == 1.0


@pytest.mark.parametrize(
    ("wait", "elapsed", "left", "factor", "verdict"),
    [
        (0.0, 0.0, 4.0, 0.25, PlainVerdict.IN_TIME),
        (0.05, 0.0, 4.0, 0.25, PlainVerdict.IN_TIME),
        (0.1, 0.0, 4.0, 0.25, PlainVerdict.NO_ROOM),
        (0.1, 0.0, 4.0, 1.0, PlainVerdict.IN_TIME),
        (0.1, 1.0, 3.0, 1.0, PlainVerdict.LATE),
        (0.1, 3.9, 0.1, 1.0, PlainVerdict.NO_TIME),
        (0.0, 1.0, 3.0, 0.25, PlainVerdict.LATE),
    ],
)
def test_a_plain_request_is_judged_by_its_wait(wait, elapsed, left, factor, verdict):
    expected = PlainExpectation(wait, 0.09)
    found = judge_plain(expected, TARGET, at(elapsed), at(left), factor)
    assert found is verdict


def judge_at_full_upstream(queues):
    """Judge a request behind twelve others at an upstream with six slots."""
    expected = queues.expect("s", 12, 6)
    return judge_plain(expected, TARGET, at(0), LEFT, 1.0)


def test_one_long_first_answer_refuses_no_request():
    """Guards against refusals that rely on a single answer, and a slow recovery."""
    queues = PlainQueues()
    queues.learn("s", 20.0, 0, 6)
    assert judge_at_full_upstream(queues).is_admitted
    for _ in range(20):
        queues.learn("s", 0.06, 0, 6)
        assert judge_at_full_upstream(queues).is_admitted
    assert 0.05 < queues.expect("s", 0, 6).work < 0.2


def test_one_long_answer_changes_the_known_work_by_little():
    """Guards against a stream or a slow caller whose answer counts without a bound."""
    queues = PlainQueues()
    for _ in range(20):
        queues.learn("s", 0.06, 0, 6)
    queues.learn("s", 1e9, 0, 6)
    assert queues.expect("s", 0, 6).work < 0.1
    assert judge_at_full_upstream(queues).is_admitted


@pytest.mark.parametrize("first", [0.0, 0.01])
def test_work_that_has_become_longer_is_learned(first):
    """Guards against a bound of the samples that keeps the known work too short."""
    queues = PlainQueues()
    for _ in range(20):
        queues.learn("s", first, 0, 6)
    for _ in range(100):
        queues.learn("s", 1.0, 0, 6)
    assert queues.expect("s", 0, 6).work > 0.9
    assert judge_at_full_upstream(queues) is PlainVerdict.NO_ROOM


def test_returns_are_spread_in_the_order_of_refusals():
    """Guards against refused callers that all return at once."""
    positions = ReturnPositions()
    for number in range(40):
        positions.note_admitted("s", 1, at(number / 20))
    delays = [positions.take("s", 1, at(0.1), LEFT, at(2)) for _ in range(9)]
    assert delays == sorted(set(delays))
    assert max(delays) <= LEFT / 3
    capped = [positions.take("s", 1, at(0.1), LEFT, at(2)) for _ in range(90)]
    assert max(capped) <= LEFT / 3
    # A caller with little time left is told no later time than it can wait.
    assert positions.take("s", 1, at(0.1), at(0.3), at(2)) <= at(0.1)


@pytest.mark.parametrize("idle", [60, 100, 1_480, 100_000])
def test_a_refusal_long_after_the_last_admission_has_a_delay(idle):
    """Guards against an interval beyond the range of `timedelta`, which failed it."""
    positions = ReturnPositions()
    positions.note_admitted("s", 1, at(1))
    for _ in range(2):
        delay = positions.take("s", 1, at(0.1), LEFT, at(1 + idle))
        assert at(0.1) <= delay <= LEFT / 3


def test_a_decision_takes_less_than_a_millisecond():
    """Guards against a gateway that is busy with shares: the mean of many decisions.

    With 1,000 organisations here, and reports of 32 gateways; at 300 upstreams.
    """
    fair = FairAdmission()
    names = [f"organisation-{number}" for number in range(1000)]
    for number, name in enumerate(names):
        fair.note_demand("s", name, 5 / (number + 1), at(1))
        fair.note_admitted("s", name, 1, 2 / (number + 1), at(1))
    for gateway in range(32):
        uses = [OrganisationUse("s", name, 0.1, 0.2) for name in names[gateway:][:20]]
        fair.uses.apply_report(f"g{gateway}", (1, 1), uses, at(1))
    began = time.perf_counter()
    for number in range(500):
        now = at(1 + number / 1000)
        fair.judge("s", names[number], 1, False, now)
        fair.uses.find_gateway_part("s", now)
    assert (time.perf_counter() - began) / 500 < 0.001
