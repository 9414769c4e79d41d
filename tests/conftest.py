"""What the tests of a whole site share."""

from collections.abc import AsyncIterator
from datetime import timedelta

import pytest

from mustardquay.documents import LatenessDocument
from mustardquay_standins.clients import SiteClient
from mustardquay_standins.sites import Site

QUICK = {
    "link": {"heartbeat": "0.1", "silence": "0.6"},
    "entry": {"progress_timeout": "2", "lease_term": "1"},
    "agent": {"progress_timeout": "1", "report_interval": "0.1"},
}
"""Settings under which failures are noticed soon enough for tests."""

PATIENT = LatenessDocument(
    first_token=timedelta(seconds=8), whole=timedelta(seconds=60)
)
"""Lateness that a busy machine does not exceed."""


@pytest.fixture
async def site() -> AsyncIterator[Site]:
    """Give a running site of the first example."""
    running = Site("strassenmeldung", seed=1, lateness=PATIENT)
    await running.start()
    yield running
    await running.close()


@pytest.fixture
async def frail_site() -> AsyncIterator[Site]:
    """Give a running site whose links go through relays, and that notices soon."""
    running = Site("syndesmos", seed=1, overrides=QUICK, relayed=True, lateness=PATIENT)
    await running.start()
    yield running
    await running.close()


@pytest.fixture
async def client(request: pytest.FixtureRequest) -> AsyncIterator[SiteClient]:
    """Give a caller with the key of the site's first customer."""
    name = "frail_site" if "frail_site" in request.fixturenames else "site"
    running = request.getfixturevalue(name)
    caller = SiteClient(running.customer.keys[0])
    yield caller
    caller.close()
