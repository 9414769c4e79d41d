"""What silences and attempts to connect show of an upstream, and what they do not."""

from datetime import timedelta

from mustardquay.silences import (
    SOUND_SILENCE,
    ConnectResult,
    SilentSend,
    UpstreamSilences,
    find_give_up_reason,
)
from mustardquay.upstream_loads import UpstreamLoads

SECOND = timedelta(seconds=1)


def time_out(loads, at):
    loads.begin("a")
    loads.note_timed_out("a", at)
    loads.end("a", None, at)


def test_an_upstream_that_was_heard_after_a_late_connection_is_not_lost():
    """Guards against the loss of what an engine holds by one lost packet."""
    loads = UpstreamLoads()
    time_out(loads, 0 * SECOND)
    loads.silences.note_activity("a", SECOND)
    time_out(loads, 4 * SECOND)
    assert not loads.is_lost("a", 4 * SECOND)


def test_one_late_connection_is_no_loss_however_long_ago():
    loads = UpstreamLoads()
    time_out(loads, 0 * SECOND)
    assert not loads.is_lost("a", 3600 * SECOND)


def test_a_probe_that_connects_ends_the_time_outs():
    loads = UpstreamLoads()
    time_out(loads, 0 * SECOND)
    loads.silences.note_connect("a", ConnectResult.CONNECTED, SECOND)
    time_out(loads, 4 * SECOND)
    assert not loads.is_lost("a", 4 * SECOND)


def test_an_upstream_that_was_removed_stays_forgotten():
    """Guards against states that grow with each upstream that ever left."""
    loads = UpstreamLoads()
    loads.begin("a")
    loads.forget("a")
    loads.end("a", False, SECOND)
    assert not loads.silences._states and not loads.loads


def test_a_slow_short_answer_does_not_end_a_stream_beside_it():
    """Guards against a stream that is given up at the first suspicion of it."""
    silences = UpstreamSilences()
    silences.begin("a")
    silences.note_quiet("a", SOUND_SILENCE, SOUND_SILENCE, shows_progress=False)
    silences.begin("a")
    quiet = 0.45 * SECOND
    silences.note_quiet("a", quiet, SOUND_SILENCE + quiet)
    send = SilentSend("a", quiet, True, True, 5 * SECOND)
    assert find_give_up_reason(send, silences, lambda: True) is None


def test_a_silent_upstream_is_silent_also_where_a_trial_is_due():
    """Guards against a stream that is given up for one that is frozen for good."""
    silences = UpstreamSilences()
    silences.begin("a")
    silences.note_quiet("a", SECOND, SECOND)
    silences.end("a", SECOND)
    later = 10 * SECOND
    assert not silences.is_suspected("a", later)
    assert silences.is_silent("a")
