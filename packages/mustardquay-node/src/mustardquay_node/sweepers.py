"""Deletes the rows of claims that have expired."""

import logging

from mustardquay.claims import CLAIMS, plan_expiry
from mustardquay.clocks import Clock
from mustardquay.errors import StoreResultUnknown, StoreUnavailable
from mustardquay.tables import TableService

__all__ = ["ClaimSweeper"]

PAGE_SIZE = 500
"""Rows read at a time."""

logger = logging.getLogger(__name__)


class ClaimSweeper:
    """Scans the claim table cyclically, one page per call.

    Several processes may sweep at once without a lease: each deletion is conditional
    on the revision that was read, so a claim that was renewed meanwhile stays.
    """

    def __init__(self, tables: TableService, clock: Clock):
        self._tables = tables
        self._clock = clock
        self._after = ""

    async def sweep(self) -> None:
        """Delete the expired claims of the next page."""
        try:
            rows = await self._tables.scan(CLAIMS, self._after, PAGE_SIZE)
            transaction = plan_expiry(rows, self._clock.now(), PAGE_SIZE)
            if transaction.writes:
                await self._tables.transact(transaction)
        except (StoreUnavailable, StoreResultUnknown) as error:
            # The next call reads the same page again.
            logger.info("Expired claims were not deleted: %s", error)
            return
        self._after = rows[-1].key if len(rows) == PAGE_SIZE else ""
