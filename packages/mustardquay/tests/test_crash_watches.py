from datetime import timedelta

from mustardquay.crash_watches import WATCH_TIME, CrashWatch, UnblamedReason
from mustardquay.quarantines import CrashId

NOW = timedelta(seconds=70)


def test_a_broken_connection_alone_is_no_crash():
    """Guards against quarantining a harmless request for minutes.

    Its answers were lost three times in a row while its upstreams were alive.
    """
    watch = CrashWatch()
    watch.note_broken("u1", "b1", 5, NOW)
    late = NOW + WATCH_TIME + timedelta(milliseconds=1)
    assert watch.note_lost("u1", late) is None
    assert watch.note_lost("u2", NOW) is None


def test_requests_in_flight_at_a_crash_are_reported_once():
    watch = CrashWatch()
    for fingerprint in (5, 6, 5):
        watch.note_broken("u1", "b1", fingerprint, NOW)
    assert watch.note_lost("u1", NOW) == (CrashId("u1", "b1"), {5, 6})
    assert watch.note_lost("u1", NOW) is None


def test_it_is_told_why_broken_sends_are_not_blamed():
    """Guards against crashes that no log line ties to the requests they ended."""
    told = []
    watch = CrashWatch(2, lambda *details: told.append(details))
    watch.note_broken("u1", "b1", 5, NOW)
    watch.note_lost("u1", NOW + WATCH_TIME * 2)
    watch.note_broken("u1", "b1", 5, NOW, watch_time=WATCH_TIME / 5)
    watch.note_lost("u1", NOW + WATCH_TIME * 2)
    assert told == [("u1", UnblamedReason.EXPIRED, 1)]
    for fingerprint in (5, 6, 7):
        watch.note_broken("u2", "b1", fingerprint, NOW)
    assert told[-1][:2] == ("u2", UnblamedReason.EVICTED)


def test_without_room_the_oldest_sends_are_dropped_only():
    """Guards against a crash that is blamed on nothing as many answers were lost."""
    watch = CrashWatch(20)
    for number in range(61):
        at = NOW + timedelta(milliseconds=number)
        watch.note_broken(f"u{number % 3}", "b1", number, at)
    crash, suspects = watch.note_lost("u2", NOW + timedelta(milliseconds=60))
    assert crash == CrashId("u2", "b1")
    assert {53, 56, 59} <= suspects


def test_room_is_made_when_all_sends_break_at_one_moment():
    watch = CrashWatch(20)
    for number in range(100):
        watch.note_broken("u1", "b1", number, NOW)
    _, suspects = watch.note_lost("u1", NOW)
    assert 99 in suspects and len(suspects) <= 20


def test_a_crash_that_only_the_list_shows_is_blamed():
    """Guards against a crashed upstream that was still reached when it was probed."""
    watch = CrashWatch()
    watch.note_broken("u1", "b1", 5, NOW)
    removed_at = NOW + 3 * timedelta(milliseconds=1200) + timedelta(milliseconds=600)
    assert watch.note_lost("u1", removed_at) == (CrashId("u1", "b1"), {5})


def test_sends_that_are_watched_no_longer_make_room_silently():
    """Guards against log lines on sends whose upstreams did not crash."""
    told = []
    watch = CrashWatch(2, lambda *details: told.append(details))
    for number in range(6):
        at = NOW + number * 2 * WATCH_TIME
        watch.note_broken("u1", "b1", number, at)
    assert not told
    assert watch.note_lost("u1", at) == (CrashId("u1", "b1"), {5})
