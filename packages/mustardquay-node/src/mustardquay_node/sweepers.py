"""Sweepers: delete the rows of claims that have expired."""

import logging

from mustardquay.claims import CLAIMS, plan_expiry
from mustardquay.clocks import Clock
from mustardquay.errors import StoreResultUnknown, StoreUnavailable
from mustardquay.tables import TableService

__all__ = ["ClaimSweeper"]

PAGE = 500
"""Rows that are read at a time."""

logger = logging.getLogger(__name__)


class ClaimSweeper:
    """Goes round the table of claims, a page with each call.

    Several processes may do so at once without authority: each deletion depends on
    the revision that was read, so that a claim made anew meanwhile stays.
    """

    def __init__(self, tables: TableService, clock: Clock):
        self._tables = tables
        self._clock = clock
        self._after = ""

    async def sweep(self) -> None:
        """Delete what has expired on the next page."""
        try:
            rows = await self._tables.scan(CLAIMS, self._after, PAGE)
            transaction = plan_expiry(rows, self._clock.now(), PAGE)
            if transaction.writes:
                await self._tables.transact(transaction)
        except (StoreUnavailable, StoreResultUnknown) as error:
            # The page is left for the next round.
            logger.info("Expired claims were not deleted: %s", error)
            return
        self._after = rows[-1].key if len(rows) == PAGE else ""
