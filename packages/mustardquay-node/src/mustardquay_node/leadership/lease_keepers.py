"""Lease keepers: read, take and renew the lease of one control domain.

Receivers of orders and of reports don't check fencing tokens, so those of two holders
must be kept apart in time: after a renewal the holder may act only for
`HOLDER_VALIDITY`, while a challenger waits `LEASE_TERM` before it takes over.
"""

from datetime import timedelta

from mustardquay.clocks import Clock
from mustardquay.events import EventRing
from mustardquay.leases import HEARTBEATS, LEASES, Lease, LeaseRows

from ..adapters import StoreTables

__all__ = ["HOLDER_VALIDITY", "LEASE_TERM", "LeaseKeeper"]

HOLDER_VALIDITY = timedelta(seconds=0.7)
"""How long the holder may act after it sent a renewal."""
LEASE_TERM = timedelta(seconds=4.4)
"""How long a challenger must observe no renewal before it takes over. The platform
treats acts of two holders within 3 s as a conflict; the sum of `HOLDER_VALIDITY`, these
3 s and 0.5 s for calls that hang is less than the term."""


class LeaseKeeper:
    """One candidate for the lease of a domain, and its rows in the store."""

    def __init__(
        self,
        domain: str,
        candidate: str,
        store: StoreTables,
        clock: Clock,
        events: EventRing,
    ):
        """Initialise without reading the rows.

        `candidate` must differ for each start of a process, and `clock` must keep
        running while the machine is suspended.
        """
        self._lease = Lease(domain, candidate, LEASE_TERM, HOLDER_VALIDITY)
        self._store = store
        self._clock = clock
        self._events = events

    @property
    def is_held(self) -> bool:
        """Return whether this process may act now."""
        return self._lease.is_held(self._clock.monotonic())

    @property
    def fence(self) -> int:
        """Return the fencing token with which this process acts."""
        return self._lease.order_fence.number

    @property
    def revision(self) -> int:
        """Return the revision of the lease row, on which fenced writes depend."""
        return self._lease.fence

    def note_era(self) -> None:
        """Give up the lease immediately: the store was restored from a copy.

        Another process may have taken it over since the copy was made and may already
        act.
        """
        if self.is_held:
            self._events.record(
                "lease.ended", domain=self._lease.domain, fence=self.fence
            )
        self._lease.begin_era(self._store.era, self._clock.monotonic())

    async def observe(self) -> None:
        """Read the rows; raises `StoreUnavailable`."""
        domain = self._lease.domain
        lease = await self._store.read(LEASES, domain)
        era = self._store.era
        heartbeat = await self._store.read(HEARTBEATS, domain)
        if self._store.era != era:
            # The store was restored between the two reads.
            self.note_era()
            return
        self._lease.observe(LeaseRows(lease, heartbeat, era), self._clock.monotonic())

    async def renew(self) -> bool:
        """Take or renew the lease if it may be; returns whether it is held."""
        await self.observe()
        transaction = self._lease.propose(self._clock.monotonic())
        if transaction is None:
            return False
        fence = self._lease.order_fence
        result = await self._store.transact(transaction)
        self._lease.handle_result(result, transaction, self._clock.monotonic())
        if self._lease.order_fence != fence:
            domain = self._lease.domain
            self._events.record("lease.taken", domain=domain, fence=self.fence)
        return self.is_held
