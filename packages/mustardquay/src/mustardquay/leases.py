"""Leases: which process gives the orders of a control domain.

A domain has two rows. The lease row names the holder and is written only when the
holder changes. Its revision is the fence: every control write carries the condition
that it is unchanged. The heartbeat row is written by each renewal. The rows are
separate because conditions are on revisions: if renewals wrote the lease row, each
would make the holder's own pending writes fail.

Clocks of different processes are never compared. A candidate takes over only after
the heartbeat row has not changed for a whole term on its own monotonic clock.

After the store was restored from a copy, its rows may name a former holder or none.
The lease then has no holder, whatever the rows say, until a candidate takes it over
a whole term after it learned of the restore. By that time the orders of the previous
holder are outdated.
"""

from dataclasses import dataclass
from datetime import timedelta

from .tables import Committed, Condition, Conflict, Row, Transaction, Write

__all__ = ["HEARTBEATS", "LEASES", "Fence", "Lease", "LeaseRows", "fence_writes"]

LEASES = "leases"
HEARTBEATS = "beats"
ERA_UNIT = 10**12
"""Weight of the era in a fence's number: above the versions that a store gives out in
one era, and small enough that the number stays exact in JSON."""


@dataclass(frozen=True, slots=True, order=True)
class Fence:
    """Fencing token of a lease holder, ordered by era of the store, then revision."""

    era: int
    revision: int

    @property
    def number(self) -> int:
        """Return the fence as one number, which rises with each holder.

        >>> Fence(0, 101).number, Fence(2, 7).number
        (101, 2000000000007)
        """
        return self.era * ERA_UNIT + self.revision


@dataclass(frozen=True, slots=True)
class LeaseRows:
    """The two rows of a domain as read; the lease row is read first."""

    lease: Row | None
    heartbeat: Row | None
    era: int = 0
    """The era of the store when they were read; 0 if the store reports none."""

    @property
    def fence(self) -> int:
        """Return the fence of the current holder, 0 if there was none yet."""
        return 0 if self.lease is None else self.lease.revision

    @property
    def holder(self) -> str | None:
        """Return the name of the holder; empty after a release, None if unreadable.

        Who wrote an unreadable row isn't known, so that the lease is not free.
        """
        if self.lease is None:
            return ""
        holder = self.lease.value.get("holder")
        return holder if isinstance(holder, str) else None

    @property
    def heartbeat_revision(self) -> int:
        """Return the revision of the heartbeat row, 0 if there is none."""
        return 0 if self.heartbeat is None else self.heartbeat.revision


class Lease:
    """One candidate's view of the lease of one domain.

    The caller reads the rows, passes them to `observe`, runs the transaction that
    `propose` returns, and passes its result to `handle_result`. If the answer to a
    transaction was lost, `handle_result` is not called: the rows that are read next
    show whether it was applied.
    """

    def __init__(
        self,
        domain: str,
        candidate: str,
        term: timedelta,
        validity: timedelta | None = None,
    ):
        """Create a candidate; after `term` without renewal, another takes over.

        `validity` is how long a renewal is valid for the holder, by default the whole
        term. Where the receivers of orders check no fence, it is shorter, so that at
        least the difference lies between the orders of two holders.
        """
        self._domain = domain
        self._candidate = candidate
        self._term = term
        self._validity = term if validity is None else validity
        self._rows: LeaseRows | None = None
        self._seen_since = timedelta()
        self._fence = 0
        self._era: int | None = None
        self._is_disowned = False
        """Whether a restore of the store prevents the rows from naming the holder."""
        self._valid_until: timedelta | None = None
        self._proposed_at = timedelta()

    @property
    def domain(self) -> str:
        """Return the control domain."""
        return self._domain

    @property
    def fence(self) -> int:
        """Return the revision under which this candidate last held the lease."""
        return self._fence

    @property
    def order_fence(self) -> Fence:
        """Return the fence with which this candidate gives orders."""
        return Fence(self._era or 0, self._fence)

    def is_held(self, now: timedelta) -> bool:
        """Return whether this candidate holds the lease by its own clock.

        This only avoids useless writes to the store. It guarantees nothing: the writes
        of a process that was paused after this call are rejected by the condition on
        the fence.
        """
        return self._valid_until is not None and now < self._valid_until

    def begin_era(self, era: int, now: timedelta) -> None:
        """Drop the lease, as the store was restored from a copy.

        Rows that name this candidate prove nothing either: another candidate may have
        taken over since the copy was made, and may still be giving orders.
        """
        if self._era is not None and era <= self._era:
            return
        self._era = era
        self._is_disowned = True
        self._valid_until = None
        self._rows = None
        self._seen_since = now

    def observe(self, rows: LeaseRows, now: timedelta) -> None:
        """Process rows that were read; `now` is when the answer arrived.

        Counting from the arrival instead of the request can only make a candidate
        wait longer before it takes over.
        """
        if self._era is None:
            self._begin_first(rows, now)
        if rows.era < (self._era or 0):
            return
        self.begin_era(rows.era, now)
        known = self._rows
        if known is None:
            self._seen_since = max(self._seen_since, now)
        elif (known.fence, known.heartbeat_revision) != (
            rows.fence,
            rows.heartbeat_revision,
        ):
            self._seen_since = now
        self._rows = rows
        if self._valid_until is not None and rows.fence != self._fence:
            self._valid_until = None

    def propose(self, now: timedelta) -> Transaction | None:
        """Return the renewal or takeover that is due, or None."""
        rows = self._rows
        if rows is None:
            return None
        self._proposed_at = now
        if rows.holder == self._candidate and not self._is_disowned:
            # Also reached after a takeover whose answer was lost: the row shows that
            # it was applied, and the renewal then makes the lease valid.
            self._fence = rows.fence
            return self._build_renewal()
        is_free = rows.holder == "" and not self._is_disowned
        if is_free or now - self._seen_since >= self._term:
            return self._build_takeover(rows)
        return None

    def _begin_first(self, rows: LeaseRows, now: timedelta) -> None:
        """Record the era of the first rows.

        For a process that starts after a restore: a missing lease row may mean that
        the copy is older than the first holder, not that the lease is free.
        """
        self._era = rows.era
        self._seen_since = now
        self._is_disowned = rows.era > 0 and rows.lease is None

    def handle_result(
        self,
        result: Committed | Conflict,
        transaction: Transaction,
        now: timedelta | None = None,
    ) -> None:
        """Process the result of a transaction that `propose` returned.

        `now` is when its answer arrived; not needed for a store without eras.
        """
        now = self._proposed_at if now is None else now
        if not isinstance(result, Committed):
            self._valid_until = None
            self._rows = None
            return
        if result.era != (self._era or 0):
            # Its conditions were on revisions that stand for other writes in that era.
            self.begin_era(result.era, now)
            return
        if transaction.writes[0].table == LEASES:
            self._fence = result.revisions[0]
            self._is_disowned = False
        # Counted from before the write, so that a slow answer can't extend the lease
        # beyond the term that other candidates wait.
        self._valid_until = self._proposed_at + self._validity

    def release(self) -> Transaction | None:
        """Return the write that lets another candidate take over at once, or None."""
        if self._valid_until is None:
            return None
        self._valid_until = None
        self._rows = None
        return fence_writes(
            self._domain,
            self._fence,
            Write(LEASES, self._domain, {"holder": ""}),
        )

    def _build_renewal(self) -> Transaction:
        heartbeat = Write(HEARTBEATS, self._domain, {"holder": self._candidate})
        return fence_writes(self._domain, self._fence, heartbeat)

    def _build_takeover(self, rows: LeaseRows) -> Transaction:
        value = {"holder": self._candidate}
        return Transaction(
            conditions=(
                Condition(LEASES, self._domain, rows.fence),
                Condition(HEARTBEATS, self._domain, rows.heartbeat_revision),
            ),
            writes=(
                Write(LEASES, self._domain, value),
                Write(HEARTBEATS, self._domain, value),
            ),
        )


def fence_writes(
    domain: str,
    fence: int,
    *writes: Write,
    conditions: tuple[Condition, ...] = (),
) -> Transaction:
    """Return control writes that apply only while `fence` is the domain's fence.

    A holder that was paused for longer than its term resumes without noticing the
    takeover. The condition fails on the higher revision of the lease row, so that
    its writes have no effect.
    """
    return Transaction((Condition(LEASES, domain, fence), *conditions), writes)
