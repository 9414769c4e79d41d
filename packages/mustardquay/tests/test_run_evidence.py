"""No promise is made for a request that may have run, in any order of events."""

from datetime import timedelta

from hypothesis import given, settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from mustardquay.requests import SendResult
from mustardquay.retry_decisions import (
    NextStep,
    SendHistory,
    decide_next,
    may_follow,
)
from mustardquay.routing_tables import Repeat, Route
from mustardquay.run_evidence import (
    REFUSAL_STATUSES,
    AnswerClaims,
    AnswerVerdict,
    RunLedger,
    judge_answer,
    judge_peer_answer,
)

OWN_ID = "r1"
IDS = st.sampled_from([OWN_ID, "r2", "", "r1,r1", "R1"])
STEADY = settings(derandomize=True, deadline=None, database=None, max_examples=150)
CLAIMS = st.builds(
    AnswerClaims,
    IDS,
    st.integers(200, 599),
    st.booleans(),
    st.booleans(),
    st.booleans(),
)


@STEADY
@given(CLAIMS, st.booleans())
def test_an_answer_that_does_not_name_the_request_is_foreign(claims, needs_signature):
    verdict = judge_answer(claims, OWN_ID, needs_signature)
    is_foreign = claims.request_id != OWN_ID
    assert (verdict is AnswerVerdict.FOREIGN) == is_foreign


@STEADY
@given(CLAIMS)
def test_only_an_upstream_that_says_so_has_not_run_the_request(claims):
    verdict = judge_answer(claims, OWN_ID)
    if verdict is AnswerVerdict.NOT_RUN:
        assert claims.says_not_run and claims.status >= 400
    if verdict is AnswerVerdict.OTHER_UPSTREAM:
        assert claims.says_other_upstream


@STEADY
@given(CLAIMS)
def test_a_result_that_is_passed_on_promises_nothing(claims):
    verdict = judge_answer(claims, OWN_ID)
    if verdict is AnswerVerdict.OWN:
        assert claims.status not in REFUSAL_STATUSES
        assert claims.is_signed or not 200 <= claims.status < 300


@STEADY
@given(CLAIMS)
def test_no_answer_belongs_to_a_request_without_an_id(claims):
    assert judge_answer(claims, "") is AnswerVerdict.FOREIGN
    assert judge_peer_answer(claims, "") is AnswerVerdict.FOREIGN


@STEADY
@given(CLAIMS)
def test_a_refusal_of_another_gateway_names_the_request(claims):
    verdict = judge_peer_answer(claims, OWN_ID)
    if verdict is AnswerVerdict.NOT_RUN:
        assert claims.request_id == OWN_ID


SECOND = timedelta(seconds=1)


def make_route(repeat, resumable):
    fields = {"max_attempts": 3, "resumable": resumable}
    return Route("r", "h", "/", repeat, (), SECOND, SECOND, **fields)


class Requests(RuleBasedStateMachine):
    """One request whose sends overlap, end in any order, and are cancelled."""

    @initialize(repeat=st.sampled_from(Repeat), resumable=st.booleans())
    def begin(self, repeat, resumable):
        self.route = make_route(repeat, resumable)
        self.ledger = RunLedger()
        self.history = SendHistory(ledger=self.ledger)
        self.sends = []
        """Whether each open send has been run by its upstream."""
        self.runs = 0
        self.is_refused = False

    @rule()
    def send(self):
        if self.ledger.begin_send(self.route.is_repeatable):
            self.sends.append(False)

    @rule()
    def refuse(self):
        """Promise that the request never runs, where that is true."""
        if self.ledger.is_surely_not_run:
            self.ledger.close()
            self.is_refused = True

    @rule(position=st.integers(0, 3))
    def run(self, position):
        if position < len(self.sends) and not self.sends[position]:
            self.sends[position] = True
            self.runs += 1

    @rule(claims=CLAIMS, position=st.integers(0, 3))
    def answer(self, claims, position):
        if position >= len(self.sends):
            return
        verdict = judge_answer(claims, OWN_ID)
        says_not_run = verdict in (AnswerVerdict.NOT_RUN, AnswerVerdict.OTHER_UPSTREAM)
        if verdict is AnswerVerdict.FOREIGN or (says_not_run and self.sends[position]):
            # Foreign bytes are skipped, and no upstream denies what it has run.
            return
        self.sends.pop(position)
        end = SendResult.NOT_RUN if says_not_run else SendResult.BROKEN
        self.ledger.end_send(says_not_run)
        self.history.note(end)

    @rule(position=st.integers(0, 3))
    def lose(self, position):
        if position < len(self.sends):
            self.sends.pop(position)
            self.ledger.end_send(False)
            self.history.note(SendResult.BROKEN)

    @rule(end=st.sampled_from(SendResult))
    def foresee(self, end):
        """A foreseen end leaves the ledger as it is."""
        before = (self.ledger.open_sends, self.ledger.may_have_run)
        may_follow(self.route, self.history, end, self.route.timeout)
        assert (self.ledger.open_sends, self.ledger.may_have_run) == before

    @invariant()
    def promises_only_what_has_not_run(self):
        if not hasattr(self, "ledger"):
            return
        if self.runs or self.sends:
            assert not self.ledger.is_surely_not_run
            for end in (SendResult.NOT_RUN, SendResult.NOT_SENT, SendResult.BROKEN):
                step = decide_next(self.route, self.history, end, 0, self.route.timeout)
                assert step is not NextStep.REFUSE
                if self.runs and self.route.repeat is Repeat.AT_MOST_ONCE:
                    assert step is not NextStep.SEND_AGAIN

    @invariant()
    def runs_once_unless_it_may_be_repeated(self):
        if hasattr(self, "ledger") and not self.route.is_repeatable:
            assert self.runs <= 1

    @invariant()
    def never_runs_after_a_promise(self):
        if hasattr(self, "ledger") and self.is_refused:
            assert not self.runs


TestRequests = Requests.TestCase
TestRequests.settings = settings(STEADY, max_examples=60, stateful_step_count=25)
