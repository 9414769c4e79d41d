"""Leases while the store comes back from copies, on a virtual clock."""

from datetime import timedelta

from hypothesis import settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from mustardquay.leases import HEARTBEATS, LEASES, Fence, Lease, LeaseRows
from mustardquay.tables import Committed, Conflict, Row

DOMAIN = "stages"
TERM = timedelta(seconds=3)
VALIDITY = timedelta(seconds=1)
CANDIDATES = st.integers(0, 2)
SECOND = timedelta(seconds=1)


class Store:
    """Rows of one counter of versions, with copies to come back from."""

    def __init__(self):
        self.rows = {}
        self.version = 100
        self.era = 1

    def make_copy(self):
        return dict(self.rows), self.version

    def return_from(self, copy):
        self.rows, self.version = dict(copy[0]), copy[1]
        self.era += 1

    def read(self):
        lease = self.rows.get((LEASES, DOMAIN))
        return LeaseRows(lease, self.rows.get((HEARTBEATS, DOMAIN)), self.era)

    def transact(self, transaction):
        for each in transaction.conditions:
            row = self.rows.get((each.table, each.key))
            if (row.revision if row else 0) != each.revision:
                return Conflict(())
        self.version += 1
        for write in transaction.writes:
            row = Row(write.table, write.key, write.value, self.version)
            self.rows[write.table, write.key] = row
        return Committed((self.version,) * len(transaction.writes), self.era)


def take_turn(store, lease, now):
    lease.observe(store.read(), now)
    transaction = lease.propose(now)
    if transaction is not None:
        lease.handle_result(store.transact(transaction), transaction, now)


def test_a_holder_that_the_copy_names_does_not_order_beside_its_successor():
    """Guards against two holders at once, the later one with the lower fence."""
    store = Store()
    a, b = Lease(DOMAIN, "a", TERM, VALIDITY), Lease(DOMAIN, "b", TERM, VALIDITY)
    take_turn(store, b, timedelta())
    copy = store.make_copy()
    take_turn(store, a, timedelta())
    take_turn(store, a, 4.2 * SECOND)
    take_turn(store, a, 5 * SECOND)
    assert a.is_held(5 * SECOND)
    before = a.order_fence
    store.return_from(copy)
    take_turn(store, b, 5.2 * SECOND)
    assert not b.is_held(5.2 * SECOND)
    take_turn(store, b, 8.3 * SECOND)
    assert b.is_held(8.3 * SECOND)
    assert b.order_fence > before


def test_a_process_that_starts_after_a_return_waits_although_there_is_no_row():
    """Guards against a copy from before the first holder, who orders still."""
    store = Store()
    copy = store.make_copy()
    a, late = Lease(DOMAIN, "a", TERM, VALIDITY), Lease(DOMAIN, "late", TERM, VALIDITY)
    take_turn(store, a, timedelta())
    take_turn(store, a, TERM)
    assert a.is_held(TERM)
    store.return_from(copy)
    take_turn(store, late, TERM)
    assert not late.is_held(TERM)


class ReturnMachine(RuleBasedStateMachine):
    """Three processes whose turns come in any order; the store returns at will."""

    def __init__(self):
        super().__init__()
        self.now = timedelta(hours=1)
        self.store = Store()
        self.copies = []
        self.leases = [Lease(DOMAIN, f"g{n}", TERM, VALIDITY) for n in range(3)]
        self.sent = [None] * 3
        self.orders = []

    @rule(number=CANDIDATES)
    def turn(self, number):
        take_turn(self.store, self.leases[number], self.now)
        self.order(number)

    @rule(number=CANDIDATES)
    def propose(self, number):
        """Read, and decide on a write that reaches the store later."""
        lease = self.leases[number]
        lease.observe(self.store.read(), self.now)
        self.sent[number] = lease.propose(self.now)

    @rule(number=CANDIDATES, is_lost=st.booleans())
    def deliver(self, number, is_lost):
        transaction, self.sent[number] = self.sent[number], None
        if transaction is None:
            return
        result = self.store.transact(transaction)
        if not is_lost:
            self.leases[number].handle_result(result, transaction, self.now)

    @rule()
    def let_all_order(self):
        for number in range(3):
            self.order(number)

    def order(self, number):
        lease = self.leases[number]
        if lease.is_held(self.now):
            self.orders.append((self.now, number, lease.order_fence))

    @rule(milliseconds=st.sampled_from((300, 900, 1_600, 3_100)))
    def wait(self, milliseconds):
        self.now += timedelta(milliseconds=milliseconds)

    @rule()
    def make_copy(self):
        self.copies.append(self.store.make_copy())

    @rule(index=st.integers(0, 5))
    def come_back(self, index):
        """Return from a copy, of which every process learns by its next answer."""
        if not self.copies:
            return
        self.store.return_from(self.copies[index % len(self.copies)])

    @invariant()
    def two_holders_never_order_within_the_term(self):
        for (one_at, one, _), (two_at, two, _) in zip(
            self.orders, self.orders[1:], strict=False
        ):
            assert one == two or two_at - one_at >= TERM - VALIDITY

    @invariant()
    def fences_only_rise(self):
        fences = [fence for _, _, fence in self.orders]
        assert fences == sorted(fences)


ReturnMachine.TestCase.settings = settings(max_examples=400, stateful_step_count=30)
TestReturns = ReturnMachine.TestCase


def test_a_fence_of_a_later_era_is_higher():
    assert Fence(2, 1) > Fence(1, 10**9)
    assert Fence(2, 1).number > Fence(1, 10**9).number
