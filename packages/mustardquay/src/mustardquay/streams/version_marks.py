"""Version marks: the software versions at which streams of a service may have begun.

They are kept in the platform's store, so that a process that knows no stream can still
tell where all of them began if only one version ever served.
"""

from collections.abc import Collection, Iterable
from dataclasses import dataclass

from ..upstream_lists import UpstreamRecord
from .origins import StreamOrigin

__all__ = ["VersionMarks", "find_only_origin", "list_versions"]


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


def find_only_origin(
    service: str, marks: VersionMarks, listed: Collection[str]
) -> StreamOrigin | None:
    """Return the origin of all streams of a service, None if there may be several.

    A version is marked before streams begin at it, so `marks` must have been read after
    the stream in question began. `listed` are versions that serve now; another one than
    the marked one may have been used without a mark while the store was away.

    >>> find_only_origin("app", VersionMarks(frozenset({"1"}), 5), {"1"})
    StreamOrigin(service='app', version='1')
    >>> find_only_origin("app", VersionMarks(frozenset({"1", "2"}), 5), {"2"})
    >>> find_only_origin("app", VersionMarks(frozenset({"1"}), 5), {"1", "2"})
    """
    if len(marks.versions) != 1 or not marks.versions.issuperset(listed):
        return None
    [version] = marks.versions
    return StreamOrigin(service, version)
