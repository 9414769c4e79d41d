"""Queries of what engines have cached."""

import asyncio
from types import SimpleNamespace

from mustardquay.upstream_lists import Stage, UpstreamRecord
from mustardquay_node.cache_probes import (
    MAX_QUERIES,
    CacheProbe,
    CacheProbeDependencies,
)
from mustardquay_standins.virtual_loops import VirtualLoop

ENGINE = UpstreamRecord("e1", "llm", "10.0.0.1:80", "a", 64, False, Stage.PREFILL)
CALL_TIME = 0.5
"""Seconds after which a call to a silent engine ends."""


class Calls:
    """Calls to an engine that is silent until a given time."""

    def __init__(self, silent_until=0.0, status=200):
        self._silent_until, self._status = silent_until, status
        self.count = 0
        self.listed = []

    async def call(self, engine, call):
        self.count += 1
        if asyncio.get_running_loop().time() < self._silent_until:
            await asyncio.sleep(CALL_TIME)
            return None
        return SimpleNamespace(head=SimpleNamespace(status=self._status), content=b"")

    def note(self, engine, parts):
        self.listed.append(engine.id)

    async def probe(self, seconds):
        adapter = SimpleNamespace(CACHE_PATH="/cache", read_cache=lambda content: ())
        events = SimpleNamespace(record=lambda *names, **details: None)
        probe = CacheProbe(
            CacheProbeDependencies(
                adapter, events, lambda: [ENGINE], self.call, self.note
            )
        )
        probe.start()
        await asyncio.sleep(seconds)
        await probe.close()


def run(calls, seconds=10.0):
    loop = VirtualLoop()
    try:
        loop.run_until_complete(calls.probe(seconds))
    finally:
        loop.close()
    return calls


def test_an_engine_is_queried_once():
    calls = run(Calls())
    assert (calls.count, calls.listed) == (1, ["e1"])


def test_an_engine_that_is_silent_for_a_while_is_queried_again():
    """Guards against prompts that are prefilled again after a silence at the start."""
    assert run(Calls(silent_until=1.2)).listed == ["e1"]


def test_an_engine_that_stays_silent_is_queried_a_few_times():
    assert run(Calls(silent_until=60.0)).count == MAX_QUERIES


def test_an_engine_that_answers_with_an_error_is_queried_once():
    assert run(Calls(status=500)).count == 1
