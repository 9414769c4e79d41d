import asyncio
from datetime import timedelta

import pytest

from mustardquay import EventRing, HybridClock, VirtualClock
from mustardquay.messages import Attempt, Refused
from mustardquay.quarantines import Quarantine
from mustardquay.queues import FairQueue
from mustardquay_node.executors import Executor, ExecutorOptions
from mustardquay_node.upstreams import CallResult

SECOND = timedelta(seconds=1)
OWNER = ("entry-1", 1)


class RecordingLink:
    """A link that records the messages sent on it."""

    def __init__(self):
        self.sent = []

    def send(self, message):
        self.sent.append(message)
        return True


class CountingClient:
    """An upstream client that counts the calls it sends and answers them."""

    def __init__(self):
        self.reached = 0

    async def run(self, call, fresh):
        await asyncio.sleep(0)
        if call.cancelled:
            return CallResult.NOT_SENT
        self.reached += 1
        call._on_send()
        call._on_head(201, ())
        return CallResult.COMPLETE

    def close(self):
        return None


@pytest.fixture
async def executor():
    clock = VirtualClock()
    client = CountingClient()
    executor = Executor(
        ExecutorOptions("bookings-1", "service", SECOND, SECOND, 32),
        client,
        FairQueue(),
        Quarantine(),
        clock,
        EventRing("agent-1", HybridClock(clock)),
        lambda: None,
        lambda: None,
        lambda run: None,
    )
    executor.client = client
    yield executor
    await executor.close()


def make_attempt(stream, repeatable=False):
    return Attempt(
        stream=stream,
        request=f"r{stream}",
        number=1,
        incarnation=1,
        customer="host-desk",
        model="services/bookings",
        adapter="",
        method="POST",
        path="/bookings",
        headers=(),
        body=b"{}",
        prompt_tokens=0,
        output_tokens=0,
        share=1.0,
        priority=0,
        start_within=10 * SECOND,
        finish_within=10 * SECOND,
        prefix=(),
        fingerprint=stream,
        repeatable=repeatable,
        streamed=False,
        version=1,
    )


def was_refused(link):
    return any(isinstance(message, Refused) for message in link.sent)


async def run_pending_tasks():
    for _ in range(10):
        await asyncio.sleep(0)


async def test_a_drain_does_not_refuse_a_run_that_was_just_started(executor):
    """
    A Booking arrives just before the service's agent starts to drain. Its call was
    taken from the queue, but the task has not run yet. If it were refused as never
    started, the entry would send the Booking to another service, and it would be
    executed twice.
    """
    link = RecordingLink()
    executor.accept(OWNER, make_attempt(1), link)
    executor.start_drain()
    await run_pending_tasks()
    assert executor.client.reached == 1
    assert not was_refused(link)


async def test_cancelled_work_does_not_reach_the_upstream(executor):
    """
    A caller disconnects just as its attempt is started. The cancellation precedes the
    first byte, so nothing is sent to the upstream.
    """
    link = RecordingLink()
    executor.accept(OWNER, make_attempt(1, repeatable=True), link)
    executor.cancel(OWNER, 1)
    await run_pending_tasks()
    assert executor.client.reached == 0
    assert was_refused(link)


async def test_queued_attempts_are_refused_by_a_drain(executor):
    """
    More attempts arrive than the engine runs concurrently, and its agent drains. The
    queued ones are refused as never started, so they can run on another upstream.
    """
    link = RecordingLink()
    for stream in range(1, 60):
        executor.accept(OWNER, make_attempt(stream), link)
    waiting = executor.waiting
    assert waiting > 0
    executor.start_drain()
    refused = [message for message in link.sent if isinstance(message, Refused)]
    assert len(refused) == waiting
    await run_pending_tasks()
    assert executor.client.reached == 59 - waiting
