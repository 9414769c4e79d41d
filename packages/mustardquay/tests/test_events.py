from datetime import timedelta

from mustardquay import EventRing, HybridClock, Stamp, VirtualClock
from mustardquay.events import select_events


def test_stamps_follow_a_stamp_received_from_a_clock_that_is_ahead():
    clock = HybridClock(VirtualClock())
    ahead = Stamp(clock.tick().physical + 5_000_000, 3)
    clock.merge(ahead)
    assert clock.tick() > ahead


def test_ring_keeps_the_newest_events():
    ring = EventRing("entry-1", HybridClock(VirtualClock()), capacity=2)
    for kind in ("request.arrived", "attempt.sent", "attempt.done"):
        ring.record(kind)
    assert [event.kind for event in ring.list_events()] == [
        "attempt.sent",
        "attempt.done",
    ]


def test_events_are_chosen_by_the_head_of_their_kind():
    clock = VirtualClock()
    ring = EventRing("entry-1", HybridClock(clock))
    ring.record("attempt.sent", request="r1")
    clock.advance(timedelta(seconds=1))
    ring.record("attempts.other", request="r1")
    chosen = select_events(ring.list_events(), request="r1", kind="attempt")
    assert [event.kind for event in chosen] == ["attempt.sent"]
