"""Timeouts in a process that is paused for a while."""

import asyncio
import time
from datetime import timedelta

import pytest

from mustardquay.clocks import SystemClock
from mustardquay.silences import ConnectResult
from mustardquay_node.connections import ConnectionPool
from mustardquay_node.pauses import (
    IdleTimeout,
    PauseMeter,
    RunningTimer,
    running_timeout,
)
from mustardquay_standins.virtual_loops import VirtualLoop

LIMIT = 0.45
"""Seconds."""
PAUSE = 2.0


class PausedLoop(VirtualLoop):
    """A virtual loop whose process can be paused."""

    def pause(self, seconds):
        self._elapsed += seconds


async def time_out(pauses):
    """Return when a timer started at 0 calls back, with pauses by their start."""
    loop = asyncio.get_running_loop()
    called = asyncio.Event()
    RunningTimer(timedelta(seconds=LIMIT), called.set)
    for start, seconds in pauses.items():
        loop.call_at(start, loop.pause, seconds)
    await called.wait()
    return loop.time()


def run(work):
    loop = PausedLoop()
    try:
        return loop.run_until_complete(work)
    finally:
        loop.close()


def test_without_a_pause_a_timeout_is_exact():
    assert run(time_out({})) == pytest.approx(LIMIT)


@pytest.mark.parametrize("start", [0.01, 0.2, 0.44])
def test_a_pause_is_not_counted_and_data_from_it_is_read_first(start):
    ended = run(time_out({start: PAUSE}))
    left = ended - (start + PAUSE)
    assert LIMIT - start <= left + 0.001
    # One more step is counted, so that the loop reads before the timeout expires.
    assert 0.09 <= left + 0.001 <= LIMIT + 0.1


def test_a_timeout_expires_despite_many_pauses():
    pauses = {n * 1.0: 0.5 for n in range(1, 9)}
    assert run(time_out({0.01: 0.3} | pauses)) < 1.5


async def measure(pauses, until):
    """Return the seconds that a meter counts as lost, with pauses by their start."""
    loop = asyncio.get_running_loop()
    meter = PauseMeter()
    for start, seconds in pauses.items():
        loop.call_at(start, loop.pause, seconds)
    await asyncio.sleep(until)
    meter.close()
    return meter.lost.total_seconds()


def test_a_meter_counts_pauses_and_little_of_the_time_between():
    assert run(measure({}, 3.0)) == 0
    lost = run(measure({0.5: 2.0, 2.7: 1.0}, 5.0))
    assert 3.0 <= lost <= 3.2 + 0.001


def test_a_meter_counts_a_pause_that_has_just_ended():
    assert run(measure({0.05: 1.0}, 0.5)) == pytest.approx(1.05)


def test_a_meter_counts_all_of_pauses_in_a_row():
    """Guards against a call without time left after several pauses of its process."""
    pauses = {0.01: 0.5, 0.52: 0.5, 1.03: 0.5, 1.54: 0.5}
    assert run(measure(pauses, 3.0)) >= 2.0


async def test_a_block_ends_at_its_timeout():
    with pytest.raises(TimeoutError):
        async with running_timeout(timedelta(milliseconds=20)):
            await asyncio.sleep(5)


async def test_a_connection_established_during_a_pause_is_used():
    """Guards against a healthy upstream that counts as unreachable after a pause.

    The gateway's process is paused for 0.4 s while it connects. When it resumes, the
    connect timeout has expired and the connection is established. A gateway that drops
    it sends nothing to the upstream, and refuses or cuts off callers.
    """
    server = await asyncio.start_server(lambda reader, writer: None, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    limit = timedelta(seconds=1)
    pool = ConnectionPool(f"{host}:{port}", SystemClock(), 1, limit)
    probe = asyncio.create_task(pool.probe())
    await asyncio.sleep(0)
    time.sleep(0.4)
    assert await probe is ConnectResult.CONNECTED
    pool.close()
    server.close()


async def take_parts(gaps):
    """Return when an idle timeout ends the wait for parts, None if it does not."""
    loop = asyncio.get_running_loop()
    try:
        async with IdleTimeout(timedelta(seconds=1), timedelta(seconds=LIMIT)) as limit:
            for gap in gaps:
                await asyncio.sleep(gap)
                limit.note()
    except TimeoutError:
        return round(loop.time(), 2)
    return None


@pytest.mark.parametrize(
    "gaps, ended", [([0.9, *[0.4] * 20], None), ([1.1], 1.0), ([0.1, 0.6], 0.55)]
)
def test_an_idle_timeout_counts_from_the_last_part(gaps, ended):
    """Guards against a long answer that is abandoned although it makes progress."""
    assert run(take_parts(gaps)) == ended
