"""Version marks: the software versions at which streams of a service may have begun.

They are kept in the platform's store, so that a process that knows no stream can still
tell where all of them began if only one version served in the last minutes.
"""

from collections.abc import Collection, Iterable
from dataclasses import dataclass
from datetime import timedelta

from ..upstream_lists import UpstreamRecord
from .origins import StreamOrigin

__all__ = ["ListedVersions", "VersionMarks", "find_only_origin", "list_versions"]

MARK_LIFETIME = timedelta(minutes=10)
"""How long a version stays marked that no gateway lists any more: far longer than its
last streams can be taken up."""
KNOWN_LIFETIME = MARK_LIFETIME / 2
"""How long a gateway relies on its knowledge of the mark of a version that it does not
list; after that, another one may be about to remove the mark."""


@dataclass(frozen=True, slots=True)
class VersionMarks:
    """The marks of one service, as they were read from the store."""

    versions: frozenset[str] = frozenset()
    revision: int = 0
    """Revision of the row; 0 if there is none."""


def list_versions(service: str, upstreams: Iterable[UpstreamRecord]) -> frozenset[str]:
    """Return the software versions of the listed upstreams of a service."""
    return frozenset(
        each.software_version for each in upstreams if each.service == service
    )


class ListedVersions:
    """When a process last listed the software versions of one service.

    >>> versions = ListedVersions()
    >>> versions.note({"1"}, marked=(), now=timedelta())
    >>> versions.note({"2"}, marked={"2"}, now=timedelta(seconds=1))
    >>> versions.unmarked
    frozenset({'1'})
    """

    def __init__(self) -> None:
        self._listed_at: dict[str, timedelta] = {}
        self._unmarked: set[str] = set()

    @property
    def unmarked(self) -> frozenset[str]:
        """Return the versions that were listed and not found marked since.

        Streams may have begun at them while the store was away, also if they have left.
        """
        return frozenset(self._unmarked)

    def note(
        self, listed: Iterable[str], marked: Iterable[str], now: timedelta
    ) -> None:
        """Note the versions that are listed, and those that are known to be marked.

        A marked version that was never listed here counts as listed when it was found.
        """
        for version in marked:
            self._listed_at.setdefault(version, now)
        for version in listed:
            self._listed_at[version] = now
        self._unmarked.update(listed)
        self._unmarked.difference_update(marked)

    def note_marks_lost(self) -> None:
        """Note that any mark may be gone."""
        self._unmarked.update(self._listed_at)

    def find_known(self, marked: Iterable[str], now: timedelta) -> frozenset[str]:
        """Return the marked versions whose marks are certainly still there."""
        return frozenset(
            version
            for version in marked
            if now - self._listed_at.get(version, now) < KNOWN_LIFETIME
        )

    def find_expired(self, now: timedelta) -> frozenset[str]:
        """Return the versions whose marks should be removed."""
        return frozenset(
            version
            for version, at in self._listed_at.items()
            if now - at >= MARK_LIFETIME
        )

    def forget(self, versions: Iterable[str]) -> None:
        """Forget versions whose marks are gone."""
        for version in versions:
            self._listed_at.pop(version, None)
            self._unmarked.discard(version)


def find_only_origin(
    service: str, marks: VersionMarks, listed: Collection[str]
) -> StreamOrigin | None:
    """Return the origin of all streams of a service, None if there may be several.

    A version is marked before streams begin at it, so `marks` must have been read after
    the stream in question began. `listed` are versions that serve now, or were used
    without a mark while the store was away.

    >>> find_only_origin("app", VersionMarks(frozenset({"1"}), 5), {"1"})
    StreamOrigin(service='app', version='1')
    >>> find_only_origin("app", VersionMarks(frozenset({"1", "2"}), 5), {"2"})
    >>> find_only_origin("app", VersionMarks(frozenset({"1"}), 5), {"1", "2"})
    """
    if len(marks.versions) != 1 or not marks.versions.issuperset(listed):
        return None
    [version] = marks.versions
    return StreamOrigin(service, version)
