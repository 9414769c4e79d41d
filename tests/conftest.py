"""Fixtures for tests of a whole site."""

from collections.abc import AsyncIterator
from datetime import timedelta
from pathlib import Path

import pytest
from rigs import Rig

from mustardquay.documents import LatenessDocument
from mustardquay_standins.clients import SiteClient
from mustardquay_standins.sites import Site

SHORT_INTERVALS = {
    "link": {"heartbeat": "0.1", "silence": "0.6"},
    "entry": {"progress_timeout": "2", "lease_term": "1"},
    "agent": {"progress_timeout": "1", "report_interval": "0.1"},
}
"""Settings with which failures are detected soon enough for tests."""

LENIENT_LATENESS = LatenessDocument(
    first_token=timedelta(seconds=8), whole=timedelta(seconds=60)
)
"""Lateness limits that a busy machine does not exceed."""


@pytest.fixture
async def site() -> AsyncIterator[Site]:
    """Provide a running site of the first example."""
    running = Site("strassenmeldung", seed=1, lateness=LENIENT_LATENESS)
    await running.start()
    yield running
    await running.close()


@pytest.fixture
async def relayed_site() -> AsyncIterator[Site]:
    """Provide a running site with relays in its links and `SHORT_INTERVALS`."""
    running = Site(
        "syndesmos",
        seed=1,
        overrides=SHORT_INTERVALS,
        relayed=True,
        lateness=LENIENT_LATENESS,
    )
    await running.start()
    yield running
    await running.close()


@pytest.fixture
async def rig(tmp_path: Path) -> AsyncIterator[Rig]:
    """Provide a rig with a running site of the first example."""
    running = Rig(tmp_path)
    await running.start()
    yield running
    await running.close()


@pytest.fixture
async def client(request: pytest.FixtureRequest) -> AsyncIterator[SiteClient]:
    """Provide a caller with the key of the site's first customer."""
    name = "relayed_site" if "relayed_site" in request.fixturenames else "site"
    running = request.getfixturevalue(name)
    caller = SiteClient(running.customer.keys[0])
    yield caller
    caller.close()
