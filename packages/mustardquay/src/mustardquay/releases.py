"""Releases: which version of a model the fleet serves, as operators write it."""

from typing import Annotated, Any

from pydantic import Field, StringConstraints

from .documents import Document, Texts, check_document, read_sections
from .plans import Release

__all__ = ["ReleaseDocument", "describe_release", "read_release"]

Text = Annotated[str, StringConstraints(pattern=r"^[!-~]{1,200}$")]


class ReleaseDocument(Document):
    """Section `release`: a version of a model, and the way back."""

    model: Text
    version: Text
    previous: Annotated[str, StringConstraints(pattern=r"^[!-~]{0,200}$")] = ""
    """Version that is kept until the roll-out is over; empty if there is none."""
    adapters: Texts = ()
    availability_zones: Texts = ()
    """Where the version is to be served; empty means in all."""
    accept_overload: bool = False
    revision: Annotated[int, Field(ge=0)] = 0
    """The revision that this document amends; 0 makes a new release."""

    def to_release(self) -> Release:
        """Return the data class."""
        return Release(**dict(self))


def describe_release(release: Release) -> dict[str, Any]:
    """Return a release's fields for JSON."""
    return {
        "model": release.model,
        "version": release.version,
        "previous": release.previous,
        "adapters": list(release.adapters),
        "availability_zones": list(release.availability_zones),
        "accept_overload": release.accept_overload,
        "revision": release.revision,
    }


def read_release(text: str, source: str) -> ReleaseDocument:
    """Return the release that an INI text holds.

    Raises `DocumentError`, which names source, section, field and remedy.
    """
    fields = read_sections(text, source, "release")["release"]
    return check_document(ReleaseDocument, fields, source, "release")
