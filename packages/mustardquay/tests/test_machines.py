"""Orders under crashes, pauses and late messages, on a virtual clock."""

from datetime import timedelta

import pytest
from hypothesis import settings, strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from mustardquay.order_state_machine import OrderResult, OrderStateMachine, Step
from mustardquay.orders import Desired, EngineState, OrderRow, matches_desired
from mustardquay.works import Role

LONGEST = timedelta(seconds=30)
SEND_WINDOW = timedelta(seconds=5)
AGENTS = st.integers(0, 1)


class Engine:
    """An engine that notes every order which it should not have been given."""

    def __init__(self, fencing):
        self.fencing = fencing
        self.boot = 0
        self.fence = 0
        self.highest = 0
        self.generation = 0
        self.desired = Desired(Role.MIXED, {"m": "1"})
        self.running = None
        self.ends_at = timedelta()
        self.violations = []

    def get_state(self):
        return EngineState(
            str(self.boot),
            self.generation,
            self.desired.role,
            self.desired.models,
            self.desired.adapters,
            self.running is not None,
            self.fence,
        )

    def receive(self, order, now):
        if order.fence < self.highest and not self.fencing:
            self.violations.append(f"old fence {order.fence} after {self.highest}")
        self.highest = max(self.highest, order.fence)
        if self.fencing and order.fence < self.fence:
            return OrderResult.STALE
        if self.running is not None:
            self.violations.append("an order while another is carried out")
            return OrderResult.BUSY
        if self.fencing:
            self.fence = order.fence
        self.running = order
        self.ends_at = now + LONGEST
        return OrderResult.ACCEPTED

    def end_order(self, whole=True):
        """End the order; one that fails leaves the engine as it was."""
        if self.running is not None:
            self.generation = self.running.generation
            if whole:
                self.desired = self.running.desired
            self.running = None

    def crash(self, models):
        self.boot += 1
        self.generation = 0
        self.running = None
        self.desired = Desired(Role.MIXED, models)


class Agent:
    """One process beside the engine; what it has begun may end late or never."""

    def __init__(self, fencing, now):
        self.machine = OrderStateMachine(fencing, LONGEST, SEND_WINDOW)
        self.started = now
        self.question = None
        self.answer = None
        self.read = None
        self.sent = None
        self.send_by = timedelta()
        self.has_ended = True

    def end_order(self, answer, now):
        """Pass on the first end of the call; the caller hears of no other."""
        if not self.has_ended:
            self.has_ended = True
            self.machine.end_order(answer, now)


class EngineMachine(RuleBasedStateMachine):
    """Two agents, one replaced by another at any time, and one engine.

    An agent that is not chosen is paused. Messages to the engine arrive within
    the permit or never; answers are lost or come late.
    """

    fencing = True

    def __init__(self):
        super().__init__()
        self.now = timedelta()
        self.engine = Engine(self.fencing)
        self.agents = [Agent(self.fencing, self.now), Agent(self.fencing, self.now)]
        self.claim_revision = 0
        self.row = None

    @initialize()
    def write_first_row(self):
        self.row = OrderRow(1, Desired(Role.PREFILL, {"m": "2"}))

    @rule(seconds=st.sampled_from([1, 2, 4, 6, 31]))
    def advance(self, seconds):
        self.now += timedelta(seconds=seconds)
        for agent in self.agents:
            if agent.sent and self.now >= agent.send_by:
                agent.sent = None
                agent.end_order(OrderResult.LOST, self.now)
        if self.engine.running and self.now >= self.engine.ends_at:
            self.engine.end_order()

    @rule(models=st.sampled_from([{"m": "1"}, {"m": "2"}, {"m": "3"}]))
    def write_row(self, models):
        role = Role.PREFILL if self.row.generation % 2 else Role.DECODE
        self.row = OrderRow(self.row.generation + 1, Desired(role, models))

    @rule(number=AGENTS)
    def replace_agent(self, number):
        if self.agents[number].sent is None:
            self.agents[number] = Agent(self.fencing, self.now)

    @rule(number=AGENTS)
    def take_turn(self, number):
        """Do all the steps up to an order without a delay."""
        self.claim(number)
        self.look(number)
        self.read(number)
        self.reread(number)
        self.send(number)

    @rule(number=AGENTS)
    def claim(self, number):
        agent = self.agents[number]
        if agent.machine.decide(self.now) is Step.CLAIM:
            self.claim_revision += 1
            agent.machine.claim(self.claim_revision, self.now)

    @rule(number=AGENTS, at_once=st.booleans())
    def ask(self, number, at_once):
        self.agents[number].question = self.now
        if at_once:
            self.answer(number)

    @precondition(lambda self: any(agent.question for agent in self.agents))
    @rule(number=AGENTS)
    def answer(self, number):
        agent = self.agents[number]
        if agent.question is not None:
            agent.answer = (self.engine.get_state(), agent.question)
            agent.question = None

    @rule(number=AGENTS, lost=st.booleans())
    def observe(self, number, lost):
        agent = self.agents[number]
        if agent.answer is not None:
            state, asked_at = agent.answer
            agent.machine.observe(None if lost else state, asked_at)
            agent.answer = None

    @rule(number=AGENTS)
    def look(self, number):
        """Ask and observe in one go, which must show the truth."""
        machine = self.agents[number].machine
        machine.observe(self.engine.get_state(), self.now)
        if machine.ready and machine.incarnation:
            assert self.engine.running is None
            if machine.row is not None:
                assert matches_desired(self.engine.get_state(), machine.row.desired)

    @rule(number=AGENTS)
    def read(self, number):
        self.agents[number].read = (self.row, self.claim_revision, self.now)

    @rule(number=AGENTS)
    def reread(self, number):
        agent = self.agents[number]
        if agent.read is not None and agent.machine.incarnation:
            agent.machine.reread(*agent.read)
            agent.read = None

    @rule(number=AGENTS)
    def send(self, number):
        agent = self.agents[number]
        order = agent.machine.begin_order(self.now)
        if order is not None:
            assert agent.sent is None
            agent.send_by = self.now + agent.machine.get_send_window(self.now)
            agent.sent = order
            agent.has_ended = False
        waiting = [item for item in self.agents if item.sent]
        assert len(waiting) <= 1

    @rule(number=AGENTS, lost=st.booleans())
    def deliver(self, number, lost):
        agent = self.agents[number]
        if agent.sent is not None:
            answer = self.engine.receive(agent.sent, self.now)
            agent.sent = None
            agent.end_order(OrderResult.LOST if lost else answer, self.now)

    @rule(number=AGENTS)
    def lose_answer(self, number):
        """Cut the connection to the engine; the order may still arrive."""
        self.agents[number].end_order(OrderResult.LOST, self.now)

    @rule(whole=st.booleans())
    def end_order(self, whole):
        self.engine.end_order(whole)

    @rule(models=st.sampled_from([{}, {"m": "1"}, {"m": "2"}]))
    def crash_engine(self, models):
        self.engine.crash(models)

    @invariant()
    def the_engine_was_given_no_conflicting_orders(self):
        assert self.engine.violations == []

    def teardown(self):
        """Once the faults end, the engine becomes what its row asks for."""
        if self.row is None:
            return
        self.advance(31)
        agent = Agent(self.fencing, self.now)
        self.agents = [agent, Agent(self.fencing, self.now)]
        for _ in range(60):
            self.claim(0)
            self.look(0)
            self.read(0)
            self.reread(0)
            self.send(0)
            self.deliver(0, lost=False)
            self.advance(4)
        assert agent.machine.ready
        assert matches_desired(self.engine.get_state(), self.row.desired)


class LaxEngineMachine(EngineMachine):
    """The same with an engine that ignores fencing numbers."""

    fencing = False


SETTINGS = settings(
    derandomize=True,
    deadline=None,
    database=None,
    max_examples=150,
    stateful_step_count=40,
)
TestFencingEngine = EngineMachine.TestCase
TestFencingEngine.settings = SETTINGS
TestLaxEngine = LaxEngineMachine.TestCase
TestLaxEngine.settings = SETTINGS


def make_machine(fencing=True, incarnation=1):
    machine = OrderStateMachine(fencing, LONGEST, SEND_WINDOW)
    machine.claim(incarnation, timedelta())
    return machine


def make_state(boot="a", generation=0, **models):
    return EngineState(boot, generation, Role.MIXED, models)


def seconds(number):
    return timedelta(seconds=number)


def test_an_engine_back_in_an_unknown_state_gets_no_requests():
    """Callers would get answers of a model version that nobody announced.

    The engine crashes while it loads version 2 and comes back with version 1. It
    is ready only when it was seen to have carried out a new order.
    """
    machine = make_machine()
    machine.observe(make_state(m="1"), seconds(0))
    assert not machine.ready
    row = OrderRow(1, Desired(models={"m": "2"}))
    machine.reread(row, 1, seconds(1))
    assert machine.begin_order(seconds(1)).generation == 1
    machine.end_order(OrderResult.ACCEPTED, seconds(1))
    machine.observe(make_state(boot="b", m="1"), seconds(2))
    assert not machine.ready and machine.decide(seconds(2)) is Step.REREAD
    machine.reread(row, 1, seconds(3))
    assert machine.begin_order(seconds(3)) is not None
    machine.end_order(OrderResult.ACCEPTED, seconds(3))
    machine.observe(make_state(boot="b", generation=1, m="2"), seconds(4))
    assert machine.ready


def test_a_lost_answer_is_waited_out_before_the_next_order():
    """The engine would get a second order while the first is still on its way."""
    machine = make_machine()
    machine.observe(make_state(m="1"), seconds(0))
    machine.reread(OrderRow(1, Desired(models={"m": "2"})), 1, seconds(1))
    machine.begin_order(seconds(1))
    machine.end_order(OrderResult.LOST, seconds(2))
    machine.observe(make_state(m="1"), seconds(5))
    assert machine.decide(seconds(5)) is Step.WAIT
    machine.observe(make_state(m="1"), seconds(6))
    assert machine.decide(seconds(6)) is Step.REREAD


def test_a_state_from_before_an_order_does_not_end_it():
    """The engine would get the next order while it carries out this one.

    Its state was asked for just before the order, and the answer comes behind the
    confirmation, so that it seems to show an engine that is done.
    """
    machine = make_machine()
    machine.observe(make_state(m="1"), seconds(0))
    machine.reread(OrderRow(1, Desired(models={"m": "2"})), 1, seconds(1))
    machine.begin_order(seconds(1))
    machine.end_order(OrderResult.ACCEPTED, seconds(2))
    machine.observe(make_state(m="1"), seconds(2))
    assert machine.decide(seconds(3)) is Step.WAIT


def test_an_order_that_failed_is_not_taken_for_its_repetition():
    """The engine would get a third order while the second is still on its way.

    The engine ends an order without becoming what it should, and gets it again
    under the same number. That answer is lost; the number it shows is the old one.
    """
    machine = make_machine()
    row = OrderRow(1, Desired(models={"m": "2"}))
    machine.observe(make_state(generation=1, m="1"), seconds(0))
    machine.reread(row, 1, seconds(1))
    machine.begin_order(seconds(1))
    machine.end_order(OrderResult.LOST, seconds(2))
    machine.observe(make_state(generation=1, m="1"), seconds(3))
    assert machine.decide(seconds(3)) is Step.WAIT
    machine.observe(make_state(generation=1, m="1"), seconds(6))
    assert machine.decide(seconds(6)) is Step.REREAD


@pytest.mark.parametrize(("fencing", "quiet"), [(True, 5), (False, 35)])
def test_a_new_incarnation_waits_for_its_predecessor(fencing, quiet):
    machine = make_machine(fencing, incarnation=2)
    machine.note_row(OrderRow(1, Desired(models={"m": "2"})))
    machine.observe(make_state(m="1"), seconds(quiet - 1))
    assert machine.decide(seconds(quiet)) is Step.WAIT
    machine.observe(make_state(m="1"), seconds(quiet))
    assert machine.decide(seconds(quiet)) is Step.REREAD


def test_a_paused_agent_reads_again_before_it_orders():
    machine = make_machine()
    machine.observe(make_state(m="1"), seconds(0))
    machine.reread(OrderRow(1, Desired(models={"m": "2"})), 1, seconds(1))
    assert machine.begin_order(seconds(6)) is None
    machine.reread(machine.row, 2, seconds(7))
    assert machine.superseded and machine.decide(seconds(7)) is Step.STOP


def test_an_order_that_can_not_be_reread_leaves_the_engine_in_service():
    """Every engine of a roll-out would stop serving with the store for an hour."""
    machine = make_machine()
    machine.note_row(OrderRow(1, Desired(models={"m": "1"})))
    machine.observe(make_state(m="1"), seconds(0))
    machine.note_row(OrderRow(2, Desired(models={"m": "2"})))
    assert not machine.ready
    machine.note_store(False)
    assert machine.ready
    machine.note_store(True)
    assert not machine.ready
    machine.note_store(False)
    machine.observe(make_state(boot="b", m="1"), seconds(1))
    assert not machine.ready


def test_work_is_finished_before_an_order():
    machine = make_machine()
    machine.observe(make_state(m="1"), seconds(0))
    machine.reread(OrderRow(1, Desired(models={"m": "2"})), 1, seconds(1))
    assert machine.decide(seconds(1), idle=False) is Step.DRAIN
    assert machine.begin_order(seconds(1), idle=False) is None
    assert machine.begin_order(seconds(1), idle=True) is not None
