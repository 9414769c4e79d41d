"""What the tests of a whole site share."""

from collections.abc import AsyncIterator

import pytest

from mustardquay_standins.clients import SiteClient
from mustardquay_standins.sites import Site


@pytest.fixture
async def site() -> AsyncIterator[Site]:
    """Give a running site of the first example."""
    running = Site("strassenmeldung", seed=1)
    await running.start()
    yield running
    await running.close()


@pytest.fixture
async def client(site: Site) -> AsyncIterator[SiteClient]:
    """Give a caller with the key of the site's first customer."""
    caller = SiteClient(site.customer.keys[0])
    yield caller
    caller.close()
