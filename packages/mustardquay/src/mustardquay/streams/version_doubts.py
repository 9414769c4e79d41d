"""Version doubts: upstreams whose software version may have changed unnoticed.

An upstream that was unreachable may have started again under its id, with another
version, before its new record arrives. New streams may begin there, as their origin is
noted once events come; streams that have begun elsewhere may not go on there.
"""

from dataclasses import dataclass

from ..upstream_lists import UpstreamRecord

__all__ = ["VersionDoubts"]

CERTAIN_RECORDS = 2
"""Further records of one incarnation that show that it is still there. The first may
have been written before it ended, as records arrive late."""


@dataclass(frozen=True, slots=True)
class _Doubt:
    started_ms: int
    sequence: int


class VersionDoubts:
    """The upstreams in doubt, as one process knows them."""

    def __init__(self) -> None:
        self._doubts: dict[str, _Doubt] = {}

    def note_unreachable(self, record: UpstreamRecord) -> None:
        """Note that an upstream of this record refused a connection, or timed out."""
        self._doubts[record.id] = _Doubt(record.started_ms, record.sequence)

    def is_certain(self, record: UpstreamRecord) -> bool:
        """Return whether the newest record of an upstream tells its version."""
        doubt = self._doubts.get(record.id)
        if doubt is None:
            return True
        is_new = record.started_ms != doubt.started_ms
        if is_new or record.sequence >= doubt.sequence + CERTAIN_RECORDS:
            del self._doubts[record.id]
            return True
        return False

    def forget(self, id: str) -> None:
        """Drop an upstream that was removed or restarted."""
        self._doubts.pop(id, None)
