"""Leases: which process gives the orders of a control domain.

A domain has two rows. The lease row names the holder, and is written only when
the holder changes: its revision is the fence, and every control write has the
condition that it is still the same. The beat row is written by each renewal. They
are apart because conditions are on revisions: a fence in the row that beats would
make each renewal refuse the holder's own writes.

Nobody compares clocks. A challenger takes over only after it has itself seen the
beat unchanged for a whole term on its own monotonic clock.

A store that comes back from a copy may name a holder that was replaced since, or none.
Nobody holds the lease then, whatever the rows say, until somebody has taken it over a
whole term after learning of it: what the last holder ordered is out of date by then.
"""

from dataclasses import dataclass
from datetime import timedelta

from .tables import Committed, Condition, Conflict, Row, Transaction, Write

__all__ = ["BEATS", "LEASES", "Fence", "Lease", "LeaseRows", "fence_writes"]

LEASES = "leases"
BEATS = "beats"
ERA_UNIT = 10**12
"""What an era counts in the number of a fence: more versions than a store gives out in
one, and still exact in JSON."""


@dataclass(frozen=True, slots=True, order=True)
class Fence:
    """The order of holders: those of a later era of the store come later."""

    era: int
    revision: int

    @property
    def number(self) -> int:
        """Return one number that rises from holder to holder.

        >>> Fence(0, 101).number, Fence(2, 7).number
        (101, 2000000000007)
        """
        return self.era * ERA_UNIT + self.revision


@dataclass(frozen=True, slots=True)
class LeaseRows:
    """The two rows of a domain as they were read, lease first."""

    lease: Row | None
    beat: Row | None
    era: int = 0
    """The era of the store in which they were read; 0 where it tells none."""

    @property
    def fence(self) -> int:
        """Return the fence of the present holder, 0 when there was none yet."""
        return 0 if self.lease is None else self.lease.revision

    @property
    def holder(self) -> str:
        """Return the name of the holder, empty after a release."""
        return "" if self.lease is None else self.lease.value["holder"]

    @property
    def beat_revision(self) -> int:
        """Return the revision of the beat row, 0 when there is none."""
        return 0 if self.beat is None else self.beat.revision


class Lease:
    """One candidate's view of the lease of one domain.

    The caller reads the rows, passes them to `observe`, and carries out what
    `propose` returns; the result goes to `settle`. A transaction whose answer was
    lost needs no `settle`: the rows that are read next tell.
    """

    def __init__(
        self,
        domain: str,
        candidate: str,
        term: timedelta,
        validity: timedelta | None = None,
    ):
        """Take the term after which a challenger takes over.

        `validity` is how long a renewal counts for the holder, the whole term unless
        given. Where what is ordered knows no fence, it is shorter, so that the orders
        of two holders are apart by the difference at least.
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
        """Whether the rows can't make this candidate the holder, by a return."""
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
        """Return the fence of the orders that this candidate gives."""
        return Fence(self._era or 0, self._fence)

    def is_held(self, now: timedelta) -> bool:
        """Return whether it is worth trying a control write.

        This spares the store useless writes. It is no authority: a process that
        was paused just after this call is stopped by the condition on the fence.
        """
        return self._valid_until is not None and now < self._valid_until

    def begin_era(self, era: int, now: timedelta) -> None:
        """Hold nothing, as the store has come back from a copy.

        Also the rows that name this candidate are no proof: another one may have
        taken over since the copy was made, and order still.
        """
        if self._era is not None and era <= self._era:
            return
        self._era = era
        self._is_disowned = True
        self._valid_until = None
        self._rows = None
        self._seen_since = now

    def observe(self, rows: LeaseRows, now: timedelta) -> None:
        """Take in rows that were read; `now` is when the answer came.

        Counting from the arrival, not from the request, can only make a
        challenger wait longer.
        """
        if self._era is None:
            self._begin_first(rows, now)
        if rows.era < (self._era or 0):
            return
        self.begin_era(rows.era, now)
        known = self._rows
        if known is None:
            self._seen_since = max(self._seen_since, now)
        elif (known.fence, known.beat_revision) != (rows.fence, rows.beat_revision):
            self._seen_since = now
        self._rows = rows
        if self._valid_until is not None and rows.fence != self._fence:
            self._valid_until = None

    def propose(self, now: timedelta) -> Transaction | None:
        """Return the renewal or the takeover that is due, or None."""
        rows = self._rows
        if rows is None:
            return None
        self._proposed_at = now
        if rows.holder == self._candidate and not self._is_disowned:
            # Also after a takeover whose answer was lost: the row tells that it
            # was applied, and only the renewal makes it count.
            self._fence = rows.fence
            return self._build_renewal()
        is_free = not rows.holder and not self._is_disowned
        if is_free or now - self._seen_since >= self._term:
            return self._build_takeover(rows)
        return None

    def _begin_first(self, rows: LeaseRows, now: timedelta) -> None:
        """Take in the era of the first rows.

        Guards against a process that starts after a return: no row at all may mean
        that the copy is older than the first holder.
        """
        self._era = rows.era
        self._seen_since = now
        self._is_disowned = rows.era > 0 and rows.lease is None

    def settle(
        self,
        result: Committed | Conflict,
        transaction: Transaction,
        now: timedelta | None = None,
    ) -> None:
        """Take in the result of a transaction that `propose` returned.

        `now` is when its answer came; a store without eras needs none.
        """
        now = self._proposed_at if now is None else now
        if not isinstance(result, Committed):
            self._valid_until = None
            self._rows = None
            return
        if result.era != (self._era or 0):
            # Its conditions were on revisions that mean other writes there.
            self.begin_era(result.era, now)
            return
        if transaction.writes[0].table == LEASES:
            self._fence = result.revisions[0]
            self._is_disowned = False
        # From before the write: a slow answer must not make the term longer than
        # what a challenger counts.
        self._valid_until = self._proposed_at + self._validity

    def release(self) -> Transaction | None:
        """Return the write that lets another take over at once, or None."""
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
        beat = Write(BEATS, self._domain, {"holder": self._candidate})
        return fence_writes(self._domain, self._fence, beat)

    def _build_takeover(self, rows: LeaseRows) -> Transaction:
        value = {"holder": self._candidate}
        return Transaction(
            conditions=(
                Condition(LEASES, self._domain, rows.fence),
                Condition(BEATS, self._domain, rows.beat_revision),
            ),
            writes=(
                Write(LEASES, self._domain, value),
                Write(BEATS, self._domain, value),
            ),
        )


def fence_writes(
    domain: str,
    fence: int,
    *writes: Write,
    conditions: tuple[Condition, ...] = (),
) -> Transaction:
    """Return control writes that apply only while `fence` is the domain's fence.

    A holder that was paused over its term and wakes up still believes it is in
    charge; its write then meets a higher revision of the lease row and has no
    effect.
    """
    return Transaction((Condition(LEASES, domain, fence), *conditions), writes)
