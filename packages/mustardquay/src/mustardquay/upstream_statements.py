"""Upstream statements: what upstreams say of themselves in their answers.

An upstream may say that it is leaving, or refuse a request and ask for a rest. Either
binds the process that got the answer, whatever the store says of that upstream: the
store may be away, or its news late. A statement ends with the incarnation that made it.
"""

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass
from datetime import timedelta

from .clocks import Clock
from .upstream_lists import UpstreamRecord

__all__ = ["UpstreamStatements"]

MAX_STATEMENTS = 1_000
"""Statements of one kind that are kept, the newest ones."""
MAX_REST = timedelta(days=1)
"""Longest rest that is kept; the sum of a longer one and the time might overflow."""
MAX_RECORD_DELAY = timedelta(seconds=30)
"""Time within which the record of a new incarnation arrives, outages of the store
included. Until then, its answers are taken for those of the one before."""


@dataclass(frozen=True, slots=True)
class _Statement:
    address: str
    started_ms: int
    """Start of the incarnation by the record then known, in Unix milliseconds."""
    made_ms: int
    """When the answer arrived, in Unix milliseconds."""
    until: timedelta
    """When it ends on the monotonic clock."""

    def binds(self, record: UpstreamRecord) -> bool:
        """Return whether a record is of the incarnation that made the statement."""
        if record.address != self.address:
            return False
        if record.started_ms <= self.started_ms:
            return True
        age = timedelta(milliseconds=self.made_ms - record.started_ms)
        return timedelta() <= age <= MAX_RECORD_DELAY


class UpstreamStatements:
    """The statements that upstreams have made to one process."""

    def __init__(self, clock: Clock):
        self._clock = clock
        self._leaving: OrderedDict[str, _Statement] = OrderedDict()
        self._rests: OrderedDict[str, _Statement] = OrderedDict()

    def note_leaving(self, record: UpstreamRecord) -> bool:
        """Record that an upstream says that it is leaving; return if that is new."""
        is_news = not self.is_leaving(record)
        self._put(self._leaving, record, timedelta.max)
        return is_news

    def note_rest(self, record: UpstreamRecord, rest: timedelta) -> bool:
        """Record that an upstream asks for a rest; return whether it is news.

        A shorter rest does not end a longer one that was asked for earlier.
        """
        left = self.measure_rest(record)
        if rest > left:
            until = self._clock.monotonic() + min(rest, MAX_REST)
            self._put(self._rests, record, until)
        return rest > left == timedelta()

    def is_leaving(self, record: UpstreamRecord) -> bool:
        """Return whether an upstream has said that it is leaving."""
        statement = self._leaving.get(record.id)
        return statement is not None and statement.binds(record)

    def measure_rest(self, record: UpstreamRecord) -> timedelta:
        """Return for how much longer an upstream wants to rest, 0 if it does not."""
        statement = self._rests.get(record.id)
        if statement is None or not statement.binds(record):
            return timedelta()
        return max(statement.until - self._clock.monotonic(), timedelta())

    def is_accepting(self, record: UpstreamRecord) -> bool:
        """Return whether an upstream may get requests by all that it has said."""
        return not self.is_leaving(record) and not self.measure_rest(record)

    def find_shortest_rest(self, records: Iterable[UpstreamRecord]) -> timedelta:
        """Return the time until the first of some upstreams accepts requests again.

        That is 0 if one of them does now, or if there is none that will.
        """
        staying = [record for record in records if not self.is_leaving(record)]
        return min(map(self.measure_rest, staying), default=timedelta())

    def _put(
        self,
        statements: OrderedDict[str, _Statement],
        record: UpstreamRecord,
        until: timedelta,
    ) -> None:
        made_ms = int(self._clock.now().timestamp() * 1000)
        statement = _Statement(record.address, record.started_ms, made_ms, until)
        statements[record.id] = statement
        statements.move_to_end(record.id)
        if len(statements) > MAX_STATEMENTS:
            statements.popitem(last=False)
