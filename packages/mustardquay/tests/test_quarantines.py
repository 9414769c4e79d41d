"""Stateful tests of the quarantine in several processes; retries and tombstones."""

from collections import Counter
from datetime import timedelta
from random import Random

from hypothesis import given, settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule, run_state_machine_as_test

from mustardquay.quarantines import (
    CrashId,
    CrashRecord,
    FingerprintStatus,
    Quarantine,
    SuspectGate,
    choose_suspect_upstream,
)
from mustardquay.retries import RetryBudget, choose_backoff
from mustardquay.tombstones import Tombstones

UPSTREAMS = ("u1", "u2", "u3", "u4", "u5", "u6")
ENTRIES = ("e1", "e2", "e3")
CRASHING = 666
STEADY = settings(derandomize=True, deadline=None, database=None, max_examples=150)


class Fleet(RuleBasedStateMachine):
    """Entries and agents that exchange crash records over links with any delay."""

    def __init__(self):
        super().__init__()
        self.now = timedelta()
        self.quarantines = {name: Quarantine() for name in (*ENTRIES, *UPSTREAMS)}
        self.gates = {name: SuspectGate() for name in UPSTREAMS}
        self.running = {name: {} for name in UPSTREAMS}
        self.boots = Counter()
        self.sent = 0
        self.in_flight_at_crashes = Counter()

    @rule(
        entry=st.sampled_from(ENTRIES),
        upstream=st.sampled_from(UPSTREAMS),
        fingerprint=st.sampled_from([CRASHING, 1, 2, 3]),
    )
    def call(self, entry, upstream, fingerprint):
        known = self.quarantines[entry]
        status = known.find_status(fingerprint, self.now)
        if status is FingerprintStatus.REFUSED:
            return
        if status is FingerprintStatus.SUSPECT:
            crashed = known.list_crashed(fingerprint)
            upstream = choose_suspect_upstream(fingerprint, UPSTREAMS, crashed)
        self._arrive(upstream, fingerprint)

    def _arrive(self, upstream, fingerprint):
        status = self.quarantines[upstream].find_status(fingerprint, self.now)
        if status is FingerprintStatus.REFUSED:
            return
        self.sent += 1
        key = (f"r{self.sent}", 1)
        if status is FingerprintStatus.SUSPECT and not self.gates[upstream].admit(key):
            return
        self.running[upstream][key] = fingerprint

    @rule(upstream=st.sampled_from(UPSTREAMS))
    def engine_goes_on(self, upstream):
        """Crash if the crashing request runs here, else answer all requests."""
        running = self.running[upstream]
        if CRASHING in running.values():
            self.boots[upstream] += 1
            crash = CrashId(upstream, f"b{self.boots[upstream]}")
            fingerprints = set(running.values())
            self.in_flight_at_crashes.update(fingerprints)
            self.quarantines[upstream].note_crash(crash, fingerprints, self.now)
        else:
            for fingerprint in running.values():
                self.quarantines[upstream].note_answer(fingerprint, self.now)
        for key in running:
            self.gates[upstream].finish(key)
        running.clear()

    @rule(
        sender=st.sampled_from((*ENTRIES, *UPSTREAMS)),
        receiver=st.sampled_from((*ENTRIES, *UPSTREAMS)),
    )
    def heartbeat(self, sender, receiver):
        self._send(sender, receiver)

    @rule()
    def all_heartbeats_arrive(self):
        for _ in range(2):
            for entry in ENTRIES:
                for upstream in UPSTREAMS:
                    self._send(upstream, entry)
                    self._send(entry, upstream)
        statuses = {
            tuple(known.find_status(name, self.now) for name in (CRASHING, 1, 2, 3))
            for known in self.quarantines.values()
        }
        assert len(statuses) == 1, "the records did not converge"
        self._check_that_a_suspect_has_one_upstream()

    def _check_that_a_suspect_has_one_upstream(self):
        if (
            self.quarantines["e1"].find_status(CRASHING, self.now)
            is not FingerprintStatus.SUSPECT
        ):
            return
        before = [CRASHING in running.values() for running in self.running.values()]
        if any(before):
            return
        # Retries through all entries at once, whichever upstream they would choose.
        for entry in ENTRIES:
            for upstream in UPSTREAMS:
                self.call(entry, upstream, CRASHING)
        after = [
            list(running.values()).count(CRASHING) for running in self.running.values()
        ]
        assert sorted(after) in ([0] * 6, [0] * 5 + [1])

    def _send(self, sender, receiver):
        records, _ = self.quarantines[sender].list_changes(0, self.now)
        self.quarantines[receiver].merge(records, self.now)

    @rule(fingerprint=st.sampled_from([1, 2, 3]))
    def refused_requests_have_two_crashes(self, fingerprint):
        for known in self.quarantines.values():
            if known.find_status(fingerprint, self.now) is FingerprintStatus.REFUSED:
                assert self.in_flight_at_crashes[fingerprint] >= 2

    def teardown(self):
        """Check that all records converge: refused after two crashes, then expired."""
        self.all_heartbeats_arrive()
        known = self.quarantines["e1"]
        counted = self.in_flight_at_crashes[CRASHING]
        if counted >= 2:
            assert known.find_status(CRASHING, self.now) is FingerprintStatus.REFUSED
        elif counted == 1:
            assert known.find_status(CRASHING, self.now) is FingerprintStatus.SUSPECT
        for _ in range(2400):
            self.now += timedelta(seconds=1)
            if self.now.total_seconds() % 60 == 0:
                for entry in ENTRIES:
                    self._send("u1", entry)
                    self._send(entry, "u1")
        assert (
            self.quarantines["u1"].find_status(CRASHING, self.now)
            is FingerprintStatus.CLEAR
        )


def test_a_crashing_request_is_limited_to_one_upstream_and_then_refused():
    """Guards against engines failing one after the other: a request crashes each engine
    that runs it, and its caller retries it through every entry. Other requests that
    were in flight at a crash must still be answered."""
    run_state_machine_as_test(
        Fleet, settings=settings(STEADY, max_examples=100, stateful_step_count=30)
    )


def test_an_answer_clears_a_suspect_but_not_a_refused_request():
    quarantine = Quarantine()
    now = timedelta()
    quarantine.note_crash(CrashId("u1", "b1"), [CRASHING, 1], now)
    quarantine.note_answer(1, now)
    quarantine.note_crash(CrashId("u2", "b1"), [CRASHING], now)
    quarantine.note_answer(CRASHING, now)
    assert quarantine.find_status(1, now) is FingerprintStatus.CLEAR
    assert quarantine.find_status(CRASHING, now) is FingerprintStatus.REFUSED
    refusal = quarantine.refuse(CRASHING, now)
    assert (
        quarantine.find_status(CRASHING, now + refusal.retry_after)
        is FingerprintStatus.CLEAR
    )


@given(order=st.permutations(range(6)))
@STEADY
def test_records_merge_in_any_order_and_twice(order):
    now = timedelta()
    sources = [Quarantine() for _ in range(6)]
    for number, source in enumerate(sources):
        source.note_crash(CrashId(f"u{number // 2}", "b1"), [1, number], now)
    sources[5].note_answer(5, now)
    records = [source.list_changes(0, now)[0] for source in sources]
    target, other = Quarantine(), Quarantine()
    for number in order:
        target.merge(records[number], now)
        assert not target.merge(records[number], now)
    for batch in records:
        other.merge(batch, now)
    for fingerprint in range(6):
        expected = other.find_status(fingerprint, now)
        assert target.find_status(fingerprint, now) is expected


def test_changes_are_sent_in_bounded_batches():
    quarantine, peer = Quarantine(), Quarantine()
    now = timedelta()
    quarantine.note_crash(CrashId("u1", "b1"), range(250), now)
    since, sizes = 0, []
    for _ in range(4):
        records, since = quarantine.list_changes(since, now)
        sizes.append(len(records))
        peer.merge(records, now)
    assert sizes == [100, 100, 50, 0]
    assert len(peer) == 250


@given(
    calls=st.lists(st.tuples(st.sampled_from("ab"), st.integers(0, 300)), max_size=300)
)
@STEADY
def test_retries_stay_within_the_ratio_of_first_attempts(calls):
    """All upstreams fail and all work is retried as often as the budget allows."""
    budget = RetryBudget(ratio=0.1, capacity=3, refill_rate=0.1, entry_capacity=5)
    now, retries, first = timedelta(), 0, 0
    for customer, pause in calls:
        now += timedelta(milliseconds=pause)
        budget.earn(customer, now)
        first += 1
        while budget.spend(customer, now):
            retries += 1
    assert retries <= 5 + 0.1 * first + 0.1 * now.total_seconds() + 1e-6


@given(
    retry=st.integers(1, 100),
    remaining=st.timedeltas(timedelta(), timedelta(seconds=5)),
    seed=st.integers(0, 100),
)
@STEADY
def test_a_backoff_never_exceeds_the_deadline(retry, remaining, seed):
    pause = choose_backoff(retry, remaining, Random(seed))
    assert pause is None or timedelta() <= pause < remaining


@given(gaps=st.lists(st.integers(0, 100_000), max_size=40))
@STEADY
def test_a_tombstone_outlives_every_pause_of_its_process(gaps):
    """Guards against running an attempt that was confirmed as never started: the agent
    is paused for hours while the frame of the attempt is in its socket buffer."""
    tombstones = Tombstones(retention=timedelta(seconds=60))
    now = timedelta()
    assert tombstones.add(("r", 1), now)
    for ran, gap in enumerate(gaps):
        now += timedelta(seconds=gap)
        assert tombstones.contains(("r", 1), now), f"forgotten after {ran} steps"


def test_a_full_store_adds_no_tombstone_and_drops_none_early():
    tombstones = Tombstones(retention=timedelta(seconds=60), capacity=1)
    assert tombstones.add(("r", 1), timedelta())
    assert not tombstones.add(("r", 2), timedelta())
    assert tombstones.contains(("r", 1), timedelta())
    for second in range(1, 62):
        tombstones.tick(timedelta(seconds=second))
    assert not tombstones.contains(("r", 1), timedelta(seconds=61))
    assert tombstones.add(("r", 2), timedelta(seconds=61))


def test_a_refused_request_is_evicted_after_suspects_whatever_the_limit():
    """Guards against a deadly request that is forgotten for one with two crashes."""
    quarantine = Quarantine(capacity=2, refused_after=3)
    now = timedelta(seconds=9)
    for number in range(3):
        quarantine.note_crash(CrashId(f"u{number}", "b"), [1], now)
    two = frozenset(CrashId(f"u{number}", "b") for number in range(2))
    for fingerprint in (2, 3):
        record = CrashRecord(fingerprint, two, frozenset(), timedelta(minutes=1))
        quarantine.merge([record], now)
    assert quarantine.find_status(1, now) is FingerprintStatus.REFUSED
