"""Leases under pauses, lost answers and late writes, on a virtual clock."""

from datetime import timedelta

from hypothesis import settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from mustardquay.leases import HEARTBEATS, LEASES, Lease, LeaseRows, fence_writes
from mustardquay.memory_tables import apply_transaction
from mustardquay.tables import Committed, Write

DOMAIN = "linz"
TERM = timedelta(seconds=10)
CANDIDATES = st.integers(0, 2)
OFFSETS = (timedelta(), timedelta(days=3), timedelta(hours=-1))


class Candidate:
    """A process: its monotonic clock, and what it has read or sent and not ended."""

    def __init__(self, number):
        self.offset = OFFSETS[number]
        self.lease = Lease(DOMAIN, f"entry-{number}", TERM)
        self.read = None
        self.sent = None
        self.answer = None
        self.control = None


class LeaseMachine(RuleBasedStateMachine):
    """Three processes whose steps come in any order, each delayed at will.

    A process that is not chosen is paused; one whose answer is dropped sees an
    answer that was lost after commit.
    """

    def __init__(self):
        super().__init__()
        self.now = timedelta(hours=2)
        self.rows = {}
        self.candidates = [Candidate(number) for number in range(3)]
        self.last_beat = None
        self.released = False
        self.applied = []

    def clock(self, candidate):
        return self.now + candidate.offset

    @rule(number=CANDIDATES)
    def take_turn(self, number):
        """Do all the steps of a turn without a delay."""
        self.read(number)
        self.propose(number)
        self.deliver(number, copy=False, lost=False)
        self.settle(number)

    @rule(number=CANDIDATES)
    def prepare(self, number):
        """Do all the steps of a turn up to a transaction that comes late."""
        self.read(number)
        self.propose(number)

    @rule(seconds=st.sampled_from([1, 3, 5, 10]))
    def advance(self, seconds):
        self.now += timedelta(seconds=seconds)

    @rule(number=CANDIDATES)
    def read(self, number):
        lease, heartbeat = (
            self.rows.get((LEASES, DOMAIN)),
            self.rows.get((HEARTBEATS, DOMAIN)),
        )
        self.candidates[number].read = LeaseRows(lease, heartbeat)

    @rule(number=CANDIDATES)
    def propose(self, number):
        candidate = self.candidates[number]
        if candidate.read is None or candidate.sent or candidate.answer:
            return
        candidate.lease.observe(candidate.read, self.clock(candidate))
        candidate.read = None
        candidate.sent = candidate.lease.propose(self.clock(candidate))

    @rule(number=CANDIDATES, copy=st.booleans(), lost=st.booleans())
    def deliver(self, number, copy, lost):
        candidate = self.candidates[number]
        if candidate.sent is None:
            return
        transaction = candidate.sent
        result = apply_transaction(self.rows, transaction)
        if isinstance(result, Committed):
            self.check_takeover(transaction)
            self.last_beat = self.now
            self.released = False
        if not copy:
            candidate.sent = None
            candidate.answer = None if lost else (result, transaction)

    @rule(number=CANDIDATES)
    def settle(self, number):
        candidate = self.candidates[number]
        if candidate.answer:
            candidate.lease.handle_result(*candidate.answer)
            candidate.answer = None

    @rule(number=CANDIDATES)
    def begin_control_write(self, number):
        candidate = self.candidates[number]
        if candidate.lease.is_held(self.clock(candidate)):
            fence = candidate.lease.fence
            write = Write("orders", "engine", {"fence": fence})
            candidate.control = fence_writes(DOMAIN, fence, write)

    @rule(number=CANDIDATES)
    def deliver_control_write(self, number):
        candidate = self.candidates[number]
        if candidate.control is None:
            return
        if apply_transaction(self.rows, candidate.control):
            self.applied.append(candidate.control.writes[0].value["fence"])
        candidate.control = None

    @rule(number=CANDIDATES)
    def release(self, number):
        candidate = self.candidates[number]
        transaction = candidate.lease.release()
        if transaction and apply_transaction(self.rows, transaction):
            self.released = True

    def check_takeover(self, transaction):
        if transaction.writes[0].table == LEASES and self.last_beat is not None:
            assert self.released or self.now - self.last_beat >= TERM

    @invariant()
    def fences_of_applied_writes_never_fall(self):
        assert self.applied == sorted(self.applied)

    @invariant()
    def an_old_fence_writes_nothing(self):
        lease = self.rows.get((LEASES, DOMAIN))
        if self.applied:
            assert self.applied[-1] <= lease.revision

    @invariant()
    def one_at_most_believes_that_it_holds(self):
        held = [
            item for item in self.candidates if item.lease.is_held(self.clock(item))
        ]
        assert len(held) <= 1


TestLease = LeaseMachine.TestCase
TestLease.settings = settings(
    derandomize=True,
    deadline=None,
    database=None,
    max_examples=200,
    stateful_step_count=40,
)


def test_a_holder_that_wakes_up_late_writes_nothing():
    """Two operators' engines would get orders from two entries at once.

    The holder builds a write, is paused for longer than its term, and another
    entry takes over. The first wakes up, still believes that it is in charge and
    sends its write, which meets another fence.
    """
    rows = {}
    old, new = Lease(DOMAIN, "old", TERM), Lease(DOMAIN, "new", TERM)

    def turn(lease, now):
        read = LeaseRows(rows.get((LEASES, DOMAIN)), rows.get((HEARTBEATS, DOMAIN)))
        lease.observe(read, now)
        transaction = lease.propose(now)
        if transaction:
            lease.handle_result(apply_transaction(rows, transaction), transaction)

    turn(old, timedelta())
    write = fence_writes(DOMAIN, old.fence, Write("orders", "engine", {"by": "old"}))
    turn(new, timedelta(seconds=1))
    turn(new, timedelta(seconds=10.9))
    assert not new.is_held(timedelta(seconds=10.9))
    turn(new, timedelta(seconds=11))
    assert new.is_held(timedelta(seconds=11)) and new.fence == old.fence + 1
    assert not apply_transaction(rows, write)
    assert ("orders", "engine") not in rows


def test_orders_of_two_holders_are_apart_where_nothing_checks_their_fence():
    """An engine gets orders of two holders within moments.

    The first holder is cut off from the store and still counts its last renewal as
    good; a challenger has waited for the term and begins. The holder must have
    stopped well before.
    """
    term, validity = timedelta(seconds=5), timedelta(seconds=1)
    lease = Lease("d", "a", term, validity)
    now = timedelta(seconds=10)
    lease.observe(LeaseRows(None, None), now)
    transaction = lease.propose(now)
    lease.handle_result(Committed((1, 1)), transaction)
    assert lease.is_held(now + validity / 2)
    assert not lease.is_held(now + validity)
