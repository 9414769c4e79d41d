"""Origins of streams in fleets of gateways, and what they cost."""

import asyncio
from datetime import timedelta
from random import Random

import pytest
from simulated_origins import NEW, OLD, Fleet, make_upstreams

from mustardquay.streams import KEEPERS, OriginRecord
from mustardquay_node.stream_origins import MARKS_TABLE
from mustardquay_node.stream_origins.frames import (
    OriginMessage,
    decode_message,
    encode_message,
)
from mustardquay_standins.virtual_loops import VirtualLoop

FLEETS = [3, 28, 1000]
STREAMS = 200


def play(story):
    """Run a story in virtual time."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(story())


@pytest.mark.parametrize("count", FLEETS)
def test_marks_cost_two_calls_for_each_version_and_start(count):
    """Guards against calls to the store that grow with streams or time."""

    async def story():
        fleet = Fleet(count, make_upstreams("v1", "v1"))
        await asyncio.sleep(20)
        at_start = fleet.store.calls[MARKS_TABLE]
        fleet.upstreams = make_upstreams("v1", "v1.1")
        await asyncio.sleep(20)
        in_release = fleet.store.calls[MARKS_TABLE] - at_start
        assert fleet.store.rows[MARKS_TABLE, "llm"].value == {
            "versions": ["v1", "v1.1"]
        }
        await fleet.close()
        return at_start, in_release

    assert max(play(story)) <= 2 * count


@pytest.mark.parametrize("count", [3, 28])
def test_a_version_that_left_is_unmarked_later(count):
    """Guards against a release after which no version is ever the only one."""

    async def story():
        fleet = Fleet(count, make_upstreams("v1", "v1.1"))
        await asyncio.sleep(30)
        fleet.upstreams = make_upstreams("v1.1")
        before = fleet.store.calls[MARKS_TABLE]
        await asyncio.sleep(500)
        rows = fleet.store.rows
        assert rows[MARKS_TABLE, "llm"].value == {"versions": ["v1", "v1.1"]}
        await asyncio.sleep(200)
        assert rows[MARKS_TABLE, "llm"].value == {"versions": ["v1.1"]}
        assert fleet.store.calls[MARKS_TABLE] - before <= 2 * count
        fleet.upstreams = make_upstreams("v1", "v1.1")
        await asyncio.sleep(30)
        assert rows[MARKS_TABLE, "llm"].value == {"versions": ["v1", "v1.1"]}
        await fleet.close()

    play(story)


@pytest.mark.parametrize("count", [1, 3, 28])
@pytest.mark.parametrize("served_for", [0.05, 1.0])
def test_a_version_that_was_used_while_the_store_was_away_is_marked(count, served_for):
    """Guards against its streams, taken for ones of the only version that is marked."""

    async def story():
        fleet = Fleet(count, make_upstreams("v1"))
        fleet.store.silent_until = asyncio.get_running_loop().time() + 3
        fleet.begin("front-0", 7, OLD)
        await asyncio.sleep(served_for)
        fleet.upstreams = make_upstreams("v1.1")
        await asyncio.sleep(6)
        rows = fleet.store.rows
        assert rows[MARKS_TABLE, "llm"].value == {"versions": ["v1", "v1.1"]}
        await fleet.restart(*fleet.members)
        assert await fleet.find("front-0", 8) is None
        await fleet.close()

    play(story)


def test_a_version_that_left_is_marked_again_in_a_restored_store():
    """Guards against a copy of the store that lacks a mark, and only that one."""

    async def story():
        fleet = Fleet(3, make_upstreams("v1"))
        await asyncio.sleep(5)
        fleet.upstreams = make_upstreams("v1.1")
        await asyncio.sleep(5)
        fleet.store.rows.clear()
        for member in fleet.members.values():
            member.note_era()
        await asyncio.sleep(5)
        rows = fleet.store.rows
        assert rows[MARKS_TABLE, "llm"].value == {"versions": ["v1", "v1.1"]}
        await fleet.close()

    play(story)


@pytest.mark.parametrize("count", FLEETS)
def test_streams_cost_a_few_datagrams_and_no_call(count):
    """Guards against costs of a stream that grow with the fleet."""

    async def story():
        fleet = Fleet(count, make_upstreams("v1"))
        await asyncio.sleep(20)
        calls = fleet.store.calls.total()
        fleet.sent.clear()
        names = list(fleet.members)
        for key in range(STREAMS):
            fleet.begin(fleet.random.choice(names), key, OLD)
        assert fleet.sent["datagrams"] <= KEEPERS * STREAMS
        assert fleet.sent["bytes"] <= 100 * fleet.sent["datagrams"]
        await asyncio.sleep(0.1)
        for key in range(STREAMS):
            assert await fleet.find(fleet.random.choice(names), key) == OLD
        assert fleet.store.calls.total() == calls
        await fleet.close()

    play(story)


@pytest.mark.parametrize("count", [5, 28])
@pytest.mark.parametrize("seed", range(4))
def test_origins_outlive_kills_restarts_cuts_and_losses(count, seed):
    """Guards against origins that are lost, or are taken for another one."""

    async def story():
        fleet = Fleet(count, make_upstreams("v1", "v1.1"), seed, loss=0.05)
        await asyncio.sleep(5)
        random = Random(seed)
        names = list(fleet.members)
        truth, found = {}, 0
        for turn in range(12):
            for _ in range(20):
                key = random.getrandbits(64)
                truth[key] = random.choice([OLD, NEW])
                fleet.begin(random.choice(names), key, truth[key])
            await asyncio.sleep(random.uniform(0.1, 1))
            if turn % 3 == 1:
                fleet.cut = {random.choice(names)}
            elif turn % 3 == 2:
                fleet.cut = set()
            killed = random.randrange(1, max(count // 3, 2))
            await fleet.restart(*random.sample(names, killed))
            await asyncio.sleep(0.05)
        fleet.cut = set()
        for key, origin in truth.items():
            known = await fleet.find(random.choice(names), key)
            assert known in (None, origin)
            found += known is not None
        await fleet.close()
        return found / len(truth)

    assert play(story) >= 0.95


def test_a_fleet_that_forgot_all_refuses_unless_one_version_served():
    """Guards against a version that is guessed after all gateways were killed."""

    async def story(versions):
        fleet = Fleet(3, make_upstreams(*versions))
        await asyncio.sleep(5)
        fleet.begin("front-0", 7, OLD)
        await asyncio.sleep(0.02)
        fleet.upstreams = make_upstreams("v1")
        await fleet.restart(*fleet.members)
        found = await fleet.find("front-1", 7)
        await fleet.close()
        return found

    assert play(lambda: story(["v1"])) == OLD
    assert play(lambda: story(["v1", "v1.1"])) is None


@pytest.mark.parametrize("count", FLEETS)
def test_running_streams_are_known_after_all_gateways_were_killed(count):
    """Guards against streams that no gateway knows while two versions serve."""

    async def story():
        fleet = Fleet(count, make_upstreams("v1", "v1.1"))
        await asyncio.sleep(20)
        calls = fleet.store.calls.total()
        for key in range(STREAMS):
            fleet.begin(f"front-{key % count}", key, (OLD, NEW)[key % 2])
        await asyncio.sleep(42)
        # Each gateway reads its row once; all use a quarter of the store's writes.
        assert fleet.store.calls.total() - calls <= count + 100 * 42
        await fleet.restart(*fleet.members)
        await asyncio.sleep(0.5)
        names = list(fleet.members)
        found = [await fleet.find(fleet.random.choice(names), n) for n in range(20)]
        await fleet.close()
        return found

    assert play(story) == [(OLD, NEW)[key % 2] for key in range(20)]


@pytest.mark.parametrize("count", [3, 4, 10, 28])
def test_streams_that_had_just_begun_are_known_after_a_kill_of_all(count):
    """Guards against take-ups that nobody can ever answer after a power loss."""

    async def story():
        fleet = Fleet(count, make_upstreams("v1", "v1.1"))
        await asyncio.sleep(10)
        for key in range(100):
            fleet.begin(f"front-{key % count}", key, (OLD, NEW)[key % 2])
            await asyncio.sleep(0.01)
        await fleet.restart(*fleet.members)
        finds = [fleet.find(f"front-{key % count}", key) for key in range(100)]
        found = await asyncio.gather(*finds)
        await fleet.close()
        assert set(found[:50]) == {OLD, NEW}
        return sum(each is None for each in found)

    # A row is written each 10 ms by one gateway of the fleet, 50 ms after a check.
    assert play(story) <= 100 * (0.01 * count + 0.07)


@pytest.mark.parametrize("kills", [1, 3])
def test_streams_are_known_as_soon_as_all_gateways_are_back(kills):
    """Guards against take-ups that are refused until a gateway has read the marks."""

    async def story():
        fleet = Fleet(3, make_upstreams("v1", "v1.1"))
        await asyncio.sleep(5)
        for key in range(20):
            fleet.begin(f"front-{key % 3}", key, (OLD, NEW)[key % 2])
        await asyncio.sleep(3)
        listed = fleet.upstreams
        for _ in range(kills):
            fleet.upstreams = []
            await fleet.restart(*fleet.members)
            await asyncio.sleep(0.01)
            fleet.upstreams = listed
        finds = [fleet.find(f"front-{key % 3}", key) for key in range(20)]
        found = await asyncio.gather(*finds)
        await fleet.close()
        return found

    assert play(story) == [(OLD, NEW)[key % 2] for key in range(20)]


def test_a_restarted_gateway_keeps_what_it_had_saved():
    """Guards against the second kill of all gateways, soon after the first."""

    async def story():
        fleet = Fleet(3, make_upstreams("v1", "v1.1"))
        await asyncio.sleep(5)
        fleet.begin("front-0", 7, OLD)
        await asyncio.sleep(3)
        for number in range(3):
            await fleet.restart(*fleet.members)
            fleet.begin("front-0", 100 + number, NEW)
            await asyncio.sleep(4)
        await fleet.restart(*fleet.members)
        await asyncio.sleep(0.5)
        found = await fleet.find("front-1", 7)
        await fleet.close()
        return found

    assert play(story) == OLD


def test_nothing_is_saved_while_one_version_serves():
    """Guards against calls to the store for streams whose version is known anyway."""

    async def story():
        fleet = Fleet(3, make_upstreams("v1"))
        await asyncio.sleep(5)
        calls = fleet.store.calls.total()
        for key in range(STREAMS):
            fleet.begin("front-0", key, OLD)
            await asyncio.sleep(0.1)
        await fleet.close()
        return fleet.store.calls.total() - calls

    assert play(story) == 0


def test_take_ups_of_unknown_streams_share_reads_of_the_store():
    """Guards against a call to the store for each caller after a power loss."""

    async def story():
        fleet = Fleet(3, make_upstreams("v1"))
        await asyncio.sleep(5)
        calls = fleet.store.calls.total()
        found = await asyncio.gather(*(fleet.find("front-1", n) for n in range(100)))
        assert set(found) == {OLD}
        await fleet.close()
        return fleet.store.calls.total() - calls

    assert play(story) <= 2


@pytest.mark.parametrize("data", [b"O", b"Orubbish", b""])
def test_a_datagram_that_can_not_be_decoded_is_dropped(data):
    assert decode_message(data) is None


def test_a_message_is_decoded_as_it_was_encoded():
    records = [
        OriginRecord(2**64 - 1, OLD, timedelta(seconds=9)),
        OriginRecord(3, OLD, timedelta(seconds=2)),
        OriginRecord(4, NEW, timedelta(seconds=1)),
    ]
    message = OriginMessage("front-1", records, [5], [6])
    assert decode_message(encode_message(message)) == message
