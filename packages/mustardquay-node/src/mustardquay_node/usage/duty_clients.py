"""Client of the platform's service that accepts reports."""

from datetime import timedelta
from enum import StrEnum

from mustardquay.clocks import Clock
from mustardquay.usage import UsageReport

from ..adapters import Adapter, DutyAuthority
from ..connections import ConnectionPool, Exchange
from ..engine_calls import run_whole

__all__ = ["DutyClient", "DutyResult"]

CALL_TIMEOUT = timedelta(milliseconds=500)
"""Timeout of a call. It must not exceed what the term of the lease allows for calls
that hang."""
MAX_CONNECTIONS = 2
NO_REUSE = timedelta()
"""An idle connection may no longer respond, and calls are seconds apart."""


class DutyResult(StrEnum):
    """What became of a call."""

    ACCEPTED = "accepted"
    THROTTLED = "throttled"
    REFUSED = "refused"
    UNANSWERED = "unanswered"
    """It may have been accepted, or may be accepted later."""


class DutyClient:
    """Sends reports; each call carries the authority of its sender."""

    def __init__(self, address: str, adapter: Adapter, clock: Clock):
        self._address = address
        self._adapter = adapter
        self._pool = ConnectionPool(address, clock, MAX_CONNECTIONS, NO_REUSE)

    def close(self) -> None:
        """Close the connections."""
        self._pool.close()

    async def report_usage(
        self, report: UsageReport, authority: DutyAuthority
    ) -> DutyResult:
        """Send a report once."""
        call = self._adapter.build_usage_call(self._address, report, authority)
        exchange = Exchange(call.method, call.path, call.headers, call.body)
        answered = await run_whole(self._pool, exchange, CALL_TIMEOUT)
        if answered is None or answered.head is None:
            return DutyResult.UNANSWERED
        return _classify(answered.head.status)


def _classify(status: int) -> DutyResult:
    if status == 200:
        return DutyResult.ACCEPTED
    if status == 429:
        return DutyResult.THROTTLED
    return DutyResult.UNANSWERED if status >= 500 else DutyResult.REFUSED
