"""Fleets of gateways that find the part of prompts which crashes engines."""

import asyncio
from datetime import timedelta

import pytest
from simulated_crashes import BAD, CONTACT, Fleet

from mustardquay.crashing_parts import PartRecord
from mustardquay_node.crash_suspects.frames import (
    LAYOUT,
    NOTICE_PREFIX,
    SCHEMA,
    PartNotice,
    decode_notice,
    encode_notice,
)
from mustardquay_standins.virtual_loops import VirtualLoop

SIZES = [(3, 6), (28, 30), (1000, 300)]
"""Gateways, and engines that they share."""
ALLOWED = 3
"""Sends with the part that are allowed once all gateways should know of it."""
BYTES_PER_SECOND = 14_000
"""What one gateway may send for control, by the capacity page."""
MAX_SUSPECTS = 1000
DATAGRAM_LIMIT = 1400
"""Bytes that fit into one datagram without fragments."""


def play(story):
    """Run a story in virtual time."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(story())


def draw_sound(random):
    return [f"first{random.randrange(4)}", f"second{random.randrange(400)}"]


def draw_first(random):
    return ["first"]


def draw_bad(random):
    return [f"first{random.randrange(4)}", BAD]


def draw_short(random):
    return random.uniform(0.02, 0.1)


def draw_long(random):
    return random.uniform(0.5, 5.0)


async def play_bad_part(fleet, rate=100, seconds=8.0, duration=draw_short):
    """Play calls with the bad part beside sound ones."""
    sound = fleet.call_regularly(draw_sound, rate, seconds + 2, duration)
    sound = asyncio.create_task(sound)
    await asyncio.sleep(2)
    await fleet.call_regularly(draw_bad, 4, seconds, duration)
    await sound


@pytest.mark.parametrize(("gateways", "engines"), SIZES)
@pytest.mark.parametrize("duration", [draw_short, draw_long])
def test_a_bad_part_is_known_by_all_gateways(gateways, engines, duration):
    """Guards against gateways that each saw one crash of many."""

    async def story():
        fleet = Fleet(gateways, engines)
        await play_bad_part(fleet, duration=duration)
        fleet.elapsed = fleet.loop.time()
        await fleet.close()
        return fleet

    fleet = play(story)
    assert fleet.count_later_sends() <= ALLOWED
    assert len(fleet.list_refusing(BAD)) == gateways
    assert fleet.served[False, "refused"] == 0
    assert fleet.largest <= DATAGRAM_LIMIT
    assert max(fleet.bytes.values()) <= BYTES_PER_SECOND * fleet.elapsed
    books = [reporter._book for reporter in fleet.reporters.values()]
    assert max(map(len, books)) <= MAX_SUSPECTS


@pytest.mark.parametrize("seed", range(5))
def test_a_bad_part_is_known_though_datagrams_are_lost(seed):
    """Guards against news that is told once, over links that lose a third."""

    async def story():
        fleet = Fleet(28, 30, seed, loss=0.33)
        await play_bad_part(fleet, duration=draw_long)
        await fleet.close()
        return fleet

    fleet = play(story)
    assert fleet.count_later_sends() <= ALLOWED
    assert len(fleet.list_refusing(BAD)) == 28
    assert fleet.served[False, "refused"] == 0


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("duration", [draw_short, draw_long])
@pytest.mark.parametrize("gap", [0.0, 0.3])
def test_crashes_that_no_part_caused_refuse_none(seed, duration, gap):
    """Guards against refusing parts that were in flight when engines were lost."""

    async def story():
        fleet = Fleet(3, 12, seed)
        calling = fleet.call_regularly(draw_sound, 100, 20.0, duration)
        calling = asyncio.create_task(calling)
        for _ in range(3):
            await asyncio.sleep(4)
            # One that started a moment ago has seen no answers.
            fleet.start_gateway(f"front-{fleet.random.randrange(3):04}")
            for engine in list(fleet.engines)[:8]:
                fleet.crash(engine)
                await asyncio.sleep(gap)
        await calling
        await fleet.close()
        return fleet

    fleet = play(story)
    assert fleet.served[False, "broken"] > 0
    assert fleet.served[False, "refused"] == 0


@pytest.mark.parametrize("unseen", [1, 2, 3, 4])
@pytest.mark.parametrize("seed", range(3))
def test_a_first_part_is_not_refused_for_a_crash_whose_cause_nobody_saw(seed, unseen):
    """Guards against evidence that is lost with a gateway while all have just started.

    No prompt with the first part has been answered when engines crash.
    """

    async def story():
        fleet = Fleet(6, 30, seed)
        fleet.unseen_crash = unseen
        sound = fleet.call_regularly(draw_first, 300, 4.0, draw_long)
        sound = asyncio.create_task(sound)
        await fleet.call_regularly(lambda random: ["first", BAD], 30, 2.0, draw_short)
        await sound
        await fleet.close()
        return fleet

    fleet = play(story)
    assert len(fleet.crashed_at) >= unseen
    assert fleet.count_later_sends() <= ALLOWED
    assert len(fleet.list_refusing(BAD)) == 6
    assert fleet.served[False, "refused"] == 0


@pytest.mark.parametrize("gateways", [28, 1000])
def test_a_gateway_that_starts_or_was_cut_off_refuses_the_part_too(gateways):
    """Guards against gateways that count the crashes of a part anew."""

    async def story():
        fleet = Fleet(gateways, 30)
        fleet.cut = {"front-0001"}
        await play_bad_part(fleet, seconds=4.0)
        fleet.cut = set()
        fleet.start_gateway("front-9999")
        await asyncio.sleep(CONTACT)
        refusing = fleet.list_refusing(BAD)
        await fleet.close()
        return refusing

    assert {"front-0001", "front-9999"} <= set(play(story))


def test_notices_keep_records():
    records = [
        PartRecord(
            2**64 - 1, frozenset({1, 2**32 - 1}), frozenset(), 1, False, timedelta(9)
        ),
        PartRecord(
            7, frozenset({3}), frozenset({4, 5}), 0, True, timedelta(seconds=61)
        ),
    ]
    notice = decode_notice(encode_notice(PartNotice("front-1", records)))
    assert notice.sender == "front-1"
    assert notice.records[1] == records[1]
    assert notice.records[0].crashed == records[0].crashed
    assert notice.records[0].has_crashed_apart is False
    assert decode_notice(b"Cgarbage") is None


def test_notices_of_earlier_versions_are_read():
    """Guards against gateways that don't hear each other while they are replaced."""
    message = SCHEMA.Notice.new_message(layout=LAYOUT, sender="front-1", parts=[7])
    message.remainingSeconds, message.depths = [9], [1]
    message.crashed, message.answered, message.starts = [1], [0], [3]
    notice = decode_notice(NOTICE_PREFIX + message.to_bytes_packed())
    record = PartRecord(7, frozenset({3}), frozenset(), 1, False, timedelta(seconds=9))
    assert notice.records == [record]
