"""The description of one setting."""

from dataclasses import dataclass

__all__ = ["Key"]


@dataclass(frozen=True, slots=True)
class Key:
    """One key of a section; it is required if its default is None."""

    section: str
    name: str
    default: str | None
    unit: str
    meaning: str
