"""Directories: the organisations of one configuration, found by key."""

from collections.abc import Iterable
from dataclasses import dataclass, field

__all__ = ["DirectoryBuilder", "Organisation", "OrganisationDirectory"]


@dataclass(frozen=True, slots=True)
class Organisation:
    """The operator's settings for one organisation."""

    name: str
    keys: tuple[str, ...] = field(default=(), repr=False)
    priority: int | None = None
    """Rank of its requests, in place of the route's; None for the route's."""


class OrganisationDirectory:
    """The organisations of a configuration; a lookup costs the same at any number."""

    def __init__(self, organisations: Iterable[Organisation] = ()):
        """Index the organisations; of several with the same key, the first has it."""
        self._by_key: dict[str, Organisation] = {}
        _index(self._by_key, organisations)

    def find(self, key: str) -> Organisation | None:
        """Return the organisation that has a key.

        >>> directory = OrganisationDirectory([Organisation("a", ("k1", "k2"))])
        >>> directory.find("k2").name
        'a'
        >>> directory.find("k3") is None
        True
        """
        return self._by_key.get(key)


class DirectoryBuilder:
    """Indexes organisations in parts, as thousands of them take milliseconds."""

    def __init__(self):
        self._directory = OrganisationDirectory()

    def add(self, organisations: Iterable[Organisation]) -> None:
        """Index organisations; of several with the same key, the first has it."""
        _index(self._directory._by_key, organisations)

    def build(self) -> OrganisationDirectory:
        """Return the directory, to which nothing may be added any more.

        >>> builder = DirectoryBuilder()
        >>> builder.add([Organisation("a", ("k1",))])
        >>> builder.build().find("k1").name
        'a'
        """
        return self._directory


def _index(
    by_key: dict[str, Organisation], organisations: Iterable[Organisation]
) -> None:
    for organisation in organisations:
        for key in organisation.keys:
            by_key.setdefault(key, organisation)
