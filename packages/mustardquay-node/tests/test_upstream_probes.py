"""Probes of upstreams on which sends broke."""

import asyncio
from datetime import timedelta

import pytest

from mustardquay.clocks import SystemClock
from mustardquay.retry_windows import RetryLimits
from mustardquay.silences import ConnectResult
from mustardquay.upstream_lists import UpstreamRecord
from mustardquay_node.upstream_pools import UpstreamPools

UPSTREAM = UpstreamRecord("u1", "app", "127.0.0.1:9", "a", 6, False)


class Pool:
    """A pool of connections whose probes have given results."""

    def __init__(self, results):
        self.results = list(results)

    async def probe(self):
        return self.results.pop(0)


@pytest.mark.parametrize("full", [0, 1, 9])
async def test_a_probe_without_room_is_made_again(full, monkeypatch):
    """Guards against a crash that nobody is blamed for, as no connection was left."""
    lost = []
    pools = UpstreamPools(
        SystemClock(),
        RetryLimits(0.2, 10, timedelta(seconds=10)),
        1,
        lambda: 1,
        lambda service: 4,
        lost.append,
    )
    pool = Pool([ConnectResult.NO_ROOM] * full + [ConnectResult.REFUSED])
    monkeypatch.setattr(pools, "get_pool", lambda upstream: pool)
    async with asyncio.timeout(5):
        await pools.probe(UPSTREAM)
    assert lost == ["u1"]
