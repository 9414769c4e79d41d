from datetime import timedelta

import pytest

from mustardquay import HybridClock, VirtualClock
from mustardquay.messages import Heartbeat
from mustardquay_node.links import Identity, Link, LinkOptions


class ManualLoop:
    """An event loop whose time the test sets; its timers never fire."""

    def __init__(self):
        self.now = 0.0

    def time(self):
        return self.now

    def call_later(self, delay, callback):
        return self

    def call_soon(self, callback):
        return self

    def cancel(self):
        return None


@pytest.fixture
async def link():
    lost = []
    options = LinkOptions(
        ("key",), timedelta(seconds=1), timedelta(seconds=4), 1_000_000
    )
    link = Link(
        "entry",
        Identity("entry-1", 1, "zone-a"),
        options,
        HybridClock(VirtualClock()),
        lambda link: Heartbeat(),
        lambda link: None,
        lambda link, message: None,
        lambda link, reason: lost.append(reason),
    )
    link.lost = lost
    link._loop = ManualLoop()
    link._last_heartbeat = 0.0
    return link


def run_heartbeats_at(link, *instants):
    for instant in instants:
        link._loop.now = instant
        link._run_heartbeat()


async def test_link_is_closed_after_the_heartbeat_timeout(link):
    run_heartbeats_at(link, 1, 2, 3, 4)
    assert not link.lost
    run_heartbeats_at(link, 5)
    assert link.lost


async def test_suspended_process_keeps_its_links_on_resuming(link):
    """
    A host under load suspends the entry for a minute. All agents are healthy, and their
    heartbeats wait in the sockets. The resumed entry must read them first; otherwise it
    would close every link and interrupt every request.
    """
    run_heartbeats_at(link, 1, 61)
    assert not link.lost
    run_heartbeats_at(link, 62, 63)
    assert link.lost
