"""Releases: documents that set which version of a model the fleet serves."""

from typing import Annotated, Any

from pydantic import Field, StringConstraints

from .documents import Document, Texts, check_document, parse_sections
from .plans import Release

__all__ = ["ReleaseDocument", "describe_release", "parse_release"]

Text = Annotated[str, StringConstraints(pattern=r"^[!-~]{1,200}$")]


class ReleaseDocument(Document):
    """Section `release`: a version of a model, and the one to roll back to."""

    model: Text
    version: Text
    previous: Annotated[str, StringConstraints(pattern=r"^[!-~]{0,200}$")] = ""
    """Version kept for rollback until the rollout ends; empty for none."""
    adapters: Texts = ()
    availability_zones: Texts = ()
    """Zones that should serve the version; empty means all."""
    accept_overload: bool = False
    revision: Annotated[int, Field(ge=0)] = 0
    """The revision that this document amends; 0 creates a release."""

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


def parse_release(text: str, source: str) -> ReleaseDocument:
    """Parse a release from INI text.

    Raises `DocumentError`, which names source, section, field and remedy.
    """
    fields = parse_sections(text, source, "release")["release"]
    return check_document(ReleaseDocument, fields, source, "release")
