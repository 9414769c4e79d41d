"""Usage reports of a fleet of gateways, on a virtual clock."""

from copy import deepcopy
from datetime import timedelta

import pytest
from hypothesis import settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from simulated_usage import SCHEDULE, Fleet

from mustardquay.leases import LEASES
from mustardquay.usage import REPORTS
from mustardquay_node.usage.reporters import USAGE_DOMAIN


@pytest.fixture
def fleet():
    fleet = Fleet()
    yield fleet
    fleet.close()


def serve(fleet, seconds, organisations=("acme", "small")):
    """Have requests begin at all gateways, four a second each."""
    for number in range(seconds * 4):
        for name in fleet.names:
            fleet.count(name, organisations[number % len(organisations)])
        fleet.run(0.25)


def assert_reported(fleet, windows=None):
    reported = {window: dict(r.counts) for window, r in fleet.duty.accepted.items()}
    assert fleet.duty.list_conflicts() == []
    for window in windows or fleet.truth:
        assert reported[window] == fleet.truth[window]


def test_each_window_is_reported_once_and_exactly(fleet):
    serve(fleet, 15)
    fleet.run(5)
    assert_reported(fleet)
    assert len(fleet.duty.calls) == len(fleet.truth)


def test_reports_are_in_time(fleet):
    """Guards against reports that wait for something that does not come."""
    serve(fleet, 5)
    fleet.run(3)
    assert_reported(fleet)


def test_a_clock_that_jumps_puts_no_request_into_another_window(fleet):
    fleet.run(2)
    fleet.members["g1"].clock.error = timedelta(seconds=7)
    serve(fleet, 4)
    fleet.members["g1"].clock.error = timedelta()
    serve(fleet, 6)
    fleet.run(6)
    assert_reported(fleet)


@pytest.mark.parametrize("mode", ["throttles", "is_down", "loses_answers"])
def test_a_report_is_sent_again_until_it_is_accepted(fleet, mode):
    """Guards against a report that is given up, or that is sent again with changes."""
    serve(fleet, 5)
    fleet.duty.mode = mode
    fleet.run(4)
    fleet.duty.mode = "accepts"
    fleet.run(4)
    assert_reported(fleet)


def find_leader(fleet):
    return next(name for name in fleet.names if fleet.members[name].exchange.leads)


def test_the_next_holder_repeats_what_the_first_one_may_have_sent(fleet):
    """Guards against two bills: the holder is killed before it knows the result."""
    serve(fleet, 10)
    leader = find_leader(fleet)
    fleet.duty.mode = "loses_answers"
    fleet.run(2)
    fleet.kill(leader)
    fleet.duty.mode = "accepts"
    fleet.run(8)
    assert fleet.duty.list_conflicts() == []
    assert set(fleet.truth) <= set(fleet.duty.accepted)


def test_counts_that_arrive_late_change_no_report_that_may_have_been_sent(fleet):
    """Guards against two bills: the next holder knows more than the first one did."""
    serve(fleet, 8)
    leader = find_leader(fleet)
    late = next(name for name in fleet.names if name != leader)
    fleet.duty.mode = "loses_answers"
    fleet.members[late].is_cut_off = True
    serve(fleet, 2)
    fleet.run(3.5)
    fleet.members[late].is_cut_off = False
    fleet.kill(leader)
    fleet.duty.mode = "accepts"
    fleet.run(7)
    assert len({call.holder for call in fleet.duty.calls}) == 2
    assert fleet.duty.list_conflicts() == []


def test_holders_do_not_act_by_turns(fleet):
    """Guards against two holders that each wake up while the other one is frozen."""
    serve(fleet, 6)
    fleet.duty.mode = "loses_answers"
    for turn in range(16):
        for number, name in enumerate(fleet.names):
            fleet.members[name].is_frozen = number != turn % 2
        fleet.count(fleet.names[turn % 2])
        fleet.run(1.25)
    assert fleet.duty.list_conflicts() == []


def test_counts_of_a_killed_gateway_are_kept_by_the_others(fleet):
    """Guards against bills that lack what a killed gateway has served."""
    serve(fleet, 3)
    fleet.run(0.5)
    fleet.kill("g2")
    serve(fleet, 2)
    fleet.run(6)
    assert_reported(fleet)


def test_another_gateway_reports_for_a_holder_without_the_store(fleet, monkeypatch):
    """Guards against windows that nobody reports while the holder lives but is cut off.

    Its notices still name it as the leader.
    """
    serve(fleet, 8)
    leader = find_leader(fleet)

    async def fail():
        raise ConnectionError

    monkeypatch.setattr(fleet.members[leader].reporter._deps.lease, "renew", fail)
    serve(fleet, 10)
    fleet.run(8)
    assert_reported(fleet)


def test_a_frozen_holder_does_not_report_beside_its_successor(fleet):
    """Guards against a holder that wakes up and sends with an outdated fence."""
    serve(fleet, 8)
    leader = find_leader(fleet)
    fleet.members[leader].is_frozen = True
    others = [name for name in fleet.names if name != leader]
    for _ in range(20):
        fleet.count(others[0])
        fleet.run(0.5)
    fleet.members[leader].is_frozen = False
    serve(fleet, 10)
    fleet.run(6)
    assert fleet.duty.list_conflicts() == []
    assert len({call.holder for call in fleet.duty.calls}) == 2


def test_a_window_is_not_settled_again_after_the_store_came_back_from_a_copy(fleet):
    """Guards against two bills: the copy lacks the report that was already sent."""
    serve(fleet, 8)
    leader = find_leader(fleet)
    late = next(name for name in fleet.names if name != leader)
    fleet.members[late].is_cut_off = True
    fleet.count(late)
    serve(fleet, 2)
    copy = deepcopy(fleet.store.tables)
    fleet.duty.mode = "loses_answers"
    fleet.run(3.5)
    fleet.store.tables = copy
    fleet.store.era += 1
    fleet.members[late].is_cut_off = False
    fleet.kill(leader)
    for name in fleet.names:
        fleet.members[name].reporter.note_era()
    fleet.duty.mode = "accepts"
    fleet.run(7)
    assert fleet.duty.list_conflicts() == []


def test_a_gateway_that_starts_later_settles_no_window_that_ended_before(fleet):
    """Guards against two bills: the store came back from a copy before it started.

    The report that the copy lacks was sent, and the gateway has heard other counts.
    """
    serve(fleet, 8)
    leader = find_leader(fleet)
    late = next(name for name in fleet.names if name != leader)
    fleet.members[late].is_cut_off = True
    fleet.count(late)
    serve(fleet, 2)
    copy = deepcopy(fleet.store.tables)
    fleet.duty.mode = "loses_answers"
    fleet.run(3.5)
    fleet.store.tables = copy
    fleet.store.era += 1
    fleet.members[late].is_cut_off = False
    newcomer = next(name for name in fleet.names if name not in (leader, late))
    fleet.kill(newcomer)
    fleet.run(1)
    for name in (leader, late):
        fleet.members[name].is_frozen = True
    fleet.duty.mode = "accepts"
    fleet.run(7)
    assert fleet.duty.list_conflicts() == []


def test_the_lease_is_of_its_own_domain(fleet):
    serve(fleet, 6)
    assert fleet.store.tables.read(LEASES, USAGE_DOMAIN) is not None


NAMES = st.sampled_from(["g0", "g1", "g2"])


class ReportMachine(RuleBasedStateMachine):
    """Gateways that are killed, frozen and cut off, and calls whose results are lost.

    Whatever happens, no window has two reports, and no two holders act by turns.
    """

    def __init__(self):
        super().__init__()
        self.fleet = Fleet()

    def teardown(self):
        self.fleet.close()

    @rule(name=NAMES, organisation=st.sampled_from(["acme", "small"]))
    def begin(self, name, organisation):
        if not self.fleet.members[name].is_frozen:
            self.fleet.count(name, organisation)

    @rule(quarters=st.integers(1, 24))
    def wait(self, quarters):
        self.fleet.run(quarters / 4)

    @rule(name=NAMES)
    def kill(self, name):
        self.fleet.kill(name)

    @rule()
    def kill_a_leader(self):
        for name, member in self.fleet.members.items():
            if member.exchange.leads:
                self.fleet.kill(name)
                return

    @rule(name=NAMES)
    def freeze_or_wake(self, name):
        member = self.fleet.members[name]
        member.is_frozen = not member.is_frozen

    @rule(name=NAMES)
    def cut_or_heal(self, name):
        member = self.fleet.members[name]
        member.is_cut_off = not member.is_cut_off

    @rule(name=NAMES, seconds=st.integers(-6, 6))
    def step_clock(self, name, seconds):
        self.fleet.members[name].clock.error = timedelta(seconds=seconds)

    @rule(mode=st.sampled_from(["accepts", "throttles", "is_down", "loses_answers"]))
    def change_duty(self, mode):
        self.fleet.duty.mode = mode

    @rule(answers=st.integers(0, 2), calls=st.integers(0, 2))
    def lose_results(self, answers, calls):
        self.fleet.store.lose_answers = answers
        self.fleet.store.lose_calls = calls

    @rule()
    def stop_or_start_the_store(self):
        self.fleet.store.down = not self.fleet.store.down

    @invariant()
    def there_is_one_report_and_one_holder(self):
        assert self.fleet.duty.list_conflicts() == []

    @invariant()
    def rows_are_bounded(self):
        reports = self.fleet.store.tables.scan(REPORTS)
        assert len(reports) <= 3 * SCHEDULE.retained_windows


TestReportMachine = ReportMachine.TestCase
TestReportMachine.settings = settings(
    max_examples=60, stateful_step_count=40, deadline=None, derandomize=True
)
