"""Which start of an upstream a send met, where its newest record may be missing.

An upstream that crashes may be back under its id before its record tells so, for as
long as the store is away. Whatever crashes it then would count as one crash.
"""

from collections import OrderedDict
from datetime import timedelta

from .quarantines import CrashId

__all__ = ["UpstreamStarts", "is_of_record"]

MAX_CRASHES = 1_000
"""Known crashes that are kept, the newest."""
SEPARATOR = "+"


class UpstreamStarts:
    """The known crashes, and the names of starts that follow from them.

    A start is named by its record; after a crash of that start, what is met under the
    same record is `RECORD+1`, and so on.
    """

    def __init__(self) -> None:
        self._known: OrderedDict[CrashId, timedelta] = OrderedDict()
        """When each crash became known here, on the monotonic clock."""

    def add(self, crash: CrashId, now: timedelta) -> bool:
        """Add a crash to the known ones; return whether it is new."""
        if crash in self._known:
            return False
        self._known[crash] = now
        if len(self._known) > MAX_CRASHES:
            self._known.popitem(last=False)
        return True

    def find_name(self, upstream: str, listed: str, begun_at: timedelta | None) -> str:
        """Return the name of the start that a send met.

        `listed` is the start by the newest record, and `begun_at` when the send began:
        one that began before a crash was known may have met the start that crashed.

        >>> starts = UpstreamStarts()
        >>> starts.add(CrashId("u1", "7"), timedelta(seconds=5))
        True
        >>> [starts.find_name("u1", "7", timedelta(seconds=at)) for at in (4, 6)]
        ['7', '7+1']
        """
        name, number = listed, 0
        while begun_at is not None:
            known_at = self._known.get(CrashId(upstream, name))
            if known_at is None or begun_at < known_at:
                break
            number += 1
            name = f"{listed}{SEPARATOR}{number}"
        return name


def is_of_record(start: str, listed: str) -> bool:
    """Return whether a start was met under the record of a listed start.

    >>> is_of_record("7+1", "7"), is_of_record("71", "7")
    (True, False)
    """
    return start.partition(SEPARATOR)[0] == listed
