"""Tests of a release on a complete example site, over real sockets."""

import asyncio

import pytest

from mustardquay.plans import Release
from mustardquay.revisions import Edit, ReleaseAmendment
from mustardquay_standins.sites import Site

TIMEOUT = 60.0
POLL_INTERVAL = 0.02


@pytest.fixture
async def site():
    site = Site("strassenmeldung")
    await site.start()
    yield site
    await site.close()


async def wait_until(condition):
    async with asyncio.timeout(TIMEOUT):
        while not condition():
            await asyncio.sleep(POLL_INTERVAL)


async def apply(site, change_id, amendment):
    entry = next(iter(site.entries.values()))
    return await entry.apply_edit(Edit(change_id, "operator", (amendment,)))


async def test_a_release_changes_the_engines_of_a_zone_one_by_one(site):
    models = {model for item in site.contracts for model in item.models}
    model = sorted(models)[0]
    await wait_until(lambda: len(site.platform.tables.tables.scan("orders")) == 9)
    entry = next(iter(site.entries.values()))
    present = (await entry.read_configuration()).releases[model]
    release = Release(
        model, "2", "1", present.adapters, ("wien-nord",), accept_overload=True
    )
    changed = [
        site.engines[name]
        for name in site.engines
        if site.agents[f"agent-{name}"].availability_zone == "wien-nord"
    ]
    await apply(site, "a", ReleaseAmendment(model, present.revision, release))

    def is_done():
        return all(item.orders.setup.models[model] == "2" for item in changed)

    fewest_available = len(site.engines)
    async with asyncio.timeout(TIMEOUT):
        while not is_done():
            unavailable = sum(
                engine.orders.unavailable for engine in site.engines.values()
            )
            fewest_available = min(fewest_available, len(site.engines) - unavailable)
            await asyncio.sleep(POLL_INTERVAL)
    assert fewest_available >= len(site.engines) - 1
    for engine in site.engines.values():
        assert engine.counters.orders.conflicting == 0
    assert len(changed) == 2
    others = [item for item in site.engines.values() if item not in changed]
    assert all(item.orders.setup.models[model] == "1" for item in others)
    await site.wait_until_ready()
