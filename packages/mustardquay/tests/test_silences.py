"""Who is suspected when it is silent, and which answers are given up."""

from datetime import timedelta

import pytest
from hypothesis import settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from mustardquay.requests import SendResult
from mustardquay.retry_decisions import SendHistory, may_follow
from mustardquay.routing_tables import Repeat, Route
from mustardquay.silences import (
    SOUND_SILENCE,
    ConnectResult,
    GiveUpReason,
    SilentSend,
    Suspicion,
    UpstreamSilences,
    find_give_up_reason,
    pass_over_silent,
)
from mustardquay.upstream_lists import UpstreamRecord
from mustardquay.upstream_loads import UpstreamLoads

NOW = timedelta(seconds=100)
QUIET = timedelta(milliseconds=450)
LEFT = timedelta(seconds=2)
UPSTREAMS = [
    UpstreamRecord(f"u{n}", "app", f"10.0.0.{n}:80", "a", 6, False) for n in range(6)
]


def make_send(**changes):
    usual = {"quiet": SOUND_SILENCE, "may_be_repeated": True, "has_other": True}
    return SilentSend("u0", time_left=LEFT, **(usual | changes))


def suspect(silences, *ids, quiet=QUIET):
    for id in ids:
        silences.begin(id)
        silences.note_quiet(id, quiet, NOW)


def find(send, silences=None, has_allowance=True):
    return find_give_up_reason(
        send, silences or UpstreamSilences(), lambda: has_allowance
    )


def test_a_sound_silence_is_no_reason_to_give_up():
    almost = SOUND_SILENCE - timedelta(milliseconds=1)
    assert find(make_send(quiet=almost)) is None


def test_a_longer_silence_is_one():
    assert find(make_send()) is GiveUpReason.OVERDUE


@pytest.mark.parametrize(
    "change",
    [
        {"may_be_repeated": False},
        {"has_other": False},
        {"time_left": timedelta(milliseconds=50)},
        {"shows_progress": False},
    ],
)
def test_a_send_that_nothing_could_follow_is_never_given_up(change):
    """Guards against answers that end although their upstream may still go on."""
    send = SilentSend(
        **(
            {
                "upstream": "u0",
                "quiet": 3 * SOUND_SILENCE,
                "may_be_repeated": True,
                "has_other": True,
                "time_left": LEFT,
            }
            | change
        )
    )
    assert find(send) is None


def test_a_send_without_a_retry_allowance_is_not_given_up():
    assert find(make_send(), has_allowance=False) is None


def test_the_allowance_is_not_charged_for_a_send_that_goes_on():
    charged = []
    for send in (make_send(quiet=QUIET), make_send(has_other=False)):
        find_give_up_reason(send, UpstreamSilences(), lambda: charged.append(1))
    assert not charged


@pytest.mark.parametrize("shows_progress", [True, False])
def test_an_upstream_that_refuses_connections_is_given_up_at_once(shows_progress):
    """Guards against a wait for an upstream that is known to be gone."""
    silences = UpstreamSilences()
    suspect(silences, "u0")
    silences.note_connect("u0", ConnectResult.REFUSED, NOW)
    send = make_send(quiet=QUIET, shows_progress=shows_progress)
    assert find(send, silences) is GiveUpReason.GONE


@pytest.mark.parametrize(
    "result", [ConnectResult.TIMED_OUT, ConnectResult.NO_ROOM, ConnectResult.CONNECTED]
)
def test_other_results_of_a_probe_are_no_reason_to_give_up(result):
    """Guards against a full backlog that is taken for a crash."""
    silences = UpstreamSilences()
    suspect(silences, "u0")
    silences.note_connect("u0", result, NOW)
    assert find(make_send(quiet=QUIET), silences) is None


def test_later_sends_to_an_overdue_upstream_do_not_wait_as_long_again():
    silences = UpstreamSilences()
    suspect(silences, "u0", quiet=SOUND_SILENCE)
    assert find(make_send(quiet=QUIET), silences) is GiveUpReason.OVERDUE


@pytest.mark.parametrize("attempts, expected", [(0, True), (1, False)])
def test_the_last_allowed_send_is_followed_by_none(attempts, expected):
    target = timedelta(milliseconds=500)
    route = Route(
        "r", "h", "/", Repeat.STREAM, (), LEFT, target, max_attempts=2, resumable=True
    )
    history = SendHistory(attempts, has_sent_events=True)
    assert may_follow(route, history, SendResult.BROKEN, LEFT) is expected
    assert history.attempts == attempts


@pytest.mark.parametrize("repeat", [Repeat.STREAM, Repeat.AT_MOST_ONCE])
def test_a_request_that_must_not_be_repeated_is_followed_by_no_send(repeat):
    target = timedelta(milliseconds=500)
    route = Route("r", "h", "/", repeat, (), LEFT, target, max_attempts=3)
    assert not may_follow(route, SendHistory(), SendResult.BROKEN, LEFT)


def test_an_upstream_that_works_on_other_requests_is_not_suspected():
    silences = UpstreamSilences()
    silences.begin("u0")
    silences.note_activity("u0", NOW - timedelta(milliseconds=100))
    assert silences.note_quiet("u0", QUIET, NOW) is Suspicion.ACTIVE
    assert not silences.is_suspected("u0", NOW)


def test_anything_that_it_sends_ends_the_suspicion_of_an_upstream():
    silences = UpstreamSilences()
    suspect(silences, "u0", quiet=SOUND_SILENCE)
    later = NOW + timedelta(milliseconds=300)
    assert silences.note_activity("u0", later) == SOUND_SILENCE + later - NOW
    assert not silences.is_suspected("u0", later)
    assert not silences.is_overdue("u0")


def test_suspected_upstreams_are_passed_over():
    silences = UpstreamSilences()
    suspect(silences, "u0", "u1")
    assert pass_over_silent(UPSTREAMS, silences, NOW) == UPSTREAMS[2:]


def test_none_is_passed_over_if_all_are_suspected():
    silences = UpstreamSilences()
    suspect(silences, *(each.id for each in UPSTREAMS), quiet=SOUND_SILENCE)
    assert pass_over_silent(UPSTREAMS, silences, NOW) == UPSTREAMS


def test_few_others_do_not_get_all_requests_during_a_sound_silence():
    """Guards against a last upstream that is flooded while the others are silent."""
    silences = UpstreamSilences()
    suspect(silences, *(each.id for each in UPSTREAMS[1:]))
    assert pass_over_silent(UPSTREAMS, silences, NOW) == UPSTREAMS


def test_few_others_get_all_requests_if_the_silence_lasts():
    silences = UpstreamSilences()
    suspect(silences, *(each.id for each in UPSTREAMS[1:]), quiet=SOUND_SILENCE)
    assert pass_over_silent(UPSTREAMS, silences, NOW) == UPSTREAMS[:1]


def test_an_upstream_without_work_gets_one_trial_at_a_time():
    """Guards against a suspicion that nothing could end, and against many trials."""
    silences = UpstreamSilences()
    suspect(silences, "u0")
    silences.end("u0", NOW)
    assert silences.is_suspected("u0", NOW)
    later = NOW + timedelta(seconds=1)
    assert not silences.is_suspected("u0", later)
    silences.begin("u0")
    assert silences.is_suspected("u0", later)


def test_one_connection_is_tried_in_each_silence():
    """Guards against connections that are opened again and again for one silence."""
    silences = UpstreamSilences()
    assert not silences.take_probe("u0")
    for _ in range(2):
        suspect(silences, "u0")
        assert [silences.take_probe("u0") for _ in range(3)] == [True, False, False]
        silences.note_activity("u0", NOW - timedelta(seconds=1))


def test_trials_of_an_upstream_that_stays_silent_become_rare():
    silences = UpstreamSilences()
    suspect(silences, "u0")
    now, trials = NOW, 0
    silences.end("u0", now)
    while now < NOW + timedelta(seconds=20):
        now += timedelta(milliseconds=100)
        if not silences.is_suspected("u0", now):
            trials += 1
            silences.begin("u0")
            silences.end("u0", now)
    assert 4 <= trials <= 8


def test_a_send_ended_in_a_silence_is_no_failure():
    """Guards against sound upstreams that are ejected for their silence."""
    loads = UpstreamLoads()
    for _ in range(10):
        loads.begin("u0")
        assert not loads.end("u0", None, NOW)
    assert not loads.get("u0").is_ejected(NOW)
    assert loads.read_failure_rate("u0", NOW) == 0


def test_connections_that_time_out_are_lost_later_than_refused_ones():
    """Guards against the loss of what a silent engine still holds."""
    loads = UpstreamLoads()
    loads.note_timed_out("u0", NOW)
    loads.note_unreachable("u1", NOW)
    soon, late = NOW + SOUND_SILENCE, NOW + 3 * SOUND_SILENCE
    assert [loads.is_lost(id, soon) for id in ("u0", "u1")] == [False, True]
    assert not loads.is_lost("u0", late)
    loads.note_timed_out("u0", late)
    assert loads.is_lost("u0", late)
    loads.note_reached("u0", late)
    assert not loads.is_lost("u0", late)


class Silences(RuleBasedStateMachine):
    """One upstream, whose sends begin, get data, are quiet and end in any order."""

    def __init__(self):
        super().__init__()
        self.silences = UpstreamSilences()
        self.now = NOW
        self.heard_at = None
        self.open = 0

    @rule(seconds=st.sampled_from([0.05, 0.2, 0.4, 1.0, 4.0]))
    def wait(self, seconds):
        self.now += timedelta(seconds=seconds)

    @rule()
    def begin(self):
        self.silences.begin("u0")
        self.open += 1

    @precondition(lambda self: self.open)
    @rule()
    def end(self):
        self.silences.end("u0", self.now)
        self.open -= 1

    @precondition(lambda self: self.open)
    @rule()
    def hear(self):
        self.silences.note_activity("u0", self.now)
        self.heard_at = self.now
        assert not self.silences.is_suspected("u0", self.now)
        assert not self.silences.is_gone("u0")

    @precondition(lambda self: self.open)
    @rule(quiet=st.sampled_from([QUIET, SOUND_SILENCE]))
    def be_quiet(self, quiet):
        is_active = self.silences.has_recent_activity("u0", self.now)
        suspicion = self.silences.note_quiet("u0", quiet, self.now)
        assert (suspicion is Suspicion.ACTIVE) == is_active

    @precondition(lambda self: self.open)
    @rule(result=st.sampled_from(ConnectResult))
    def connect(self, result):
        self.silences.note_connect("u0", result, self.now)

    @invariant()
    def is_overdue_only_in_a_silence(self):
        if self.silences.is_overdue("u0") or self.silences.is_gone("u0"):
            assert self.silences.was_silent_since("u0", self.now)

    @invariant()
    def is_tried_again_in_time(self):
        """An upstream without work is tried again within the longest interval."""
        if not self.open:
            later = self.now + timedelta(seconds=4.1)
            assert not self.silences.is_suspected("u0", later)

    @invariant()
    def is_not_given_up_after_it_was_heard(self):
        if self.heard_at == self.now:
            assert find(make_send(quiet=QUIET), self.silences) is None


TestSilences = Silences.TestCase
TestSilences.settings = settings(max_examples=200, stateful_step_count=30)
