"""Upstream statements: what upstreams say of themselves in their answers.

An upstream may say that it is leaving, which
binds the process that got the answer, whatever the store says of that upstream: the
store may be away, or its news late. A statement ends with the incarnation that made it.
"""

from collections import OrderedDict
from dataclasses import dataclass
from datetime import timedelta

from .clocks import Clock
from .upstream_lists import UpstreamRecord

__all__ = ["UpstreamStatements"]

MAX_STATEMENTS = 1_000
"""Statements of one kind that are kept, the newest ones."""
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

    def note_leaving(self, record: UpstreamRecord) -> bool:
        """Record that an upstream says that it is leaving; return if that is new."""
        is_news = not self.is_leaving(record)
        self._put(self._leaving, record)
        return is_news

    def is_leaving(self, record: UpstreamRecord) -> bool:
        """Return whether an upstream has said that it is leaving."""
        statement = self._leaving.get(record.id)
        return statement is not None and statement.binds(record)

    def is_accepting(self, record: UpstreamRecord) -> bool:
        """Return whether an upstream may get requests by all that it has said."""
        return not self.is_leaving(record)

    def _put(
        self,
        statements: OrderedDict[str, _Statement],
        record: UpstreamRecord,
    ) -> None:
        made_ms = int(self._clock.now().timestamp() * 1000)
        statement = _Statement(record.address, record.started_ms, made_ms)
        statements[record.id] = statement
        statements.move_to_end(record.id)
        if len(statements) > MAX_STATEMENTS:
            statements.popitem(last=False)
