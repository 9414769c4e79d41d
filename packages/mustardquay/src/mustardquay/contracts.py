"""Contracts: what one customer may use, and how late it may be served."""

from dataclasses import dataclass, field
from datetime import timedelta

__all__ = ["Contract", "Lateness"]


@dataclass(frozen=True, slots=True)
class Lateness:
    """The lateness that a customer tolerates."""

    first_token: timedelta = timedelta(seconds=1.2)
    """From the arrival of the request to the first token of its answer."""
    between_tokens: timedelta = timedelta(milliseconds=60)
    """Mean gap between two tokens of a streamed answer."""
    whole: timedelta = timedelta(seconds=30)
    """From the arrival of the request to the end of its answer."""


@dataclass(frozen=True, slots=True)
class Contract:
    """The agreement with one customer, from which every limit follows."""

    customer: str
    key_hashes: tuple[str, ...]
    """SHA-256 digests, in hex, of the customer's bearer keys."""
    share: float
    """Part of the fleet that the customer is entitled to, over 0 up to 1."""
    priority: int = 0
    """Higher goes first where shares don't decide; 0 to 9."""
    models: tuple[str, ...] = ()
    adapters: tuple[str, ...] = ()
    services: tuple[str, ...] = ()
    """Plain services that the customer may call."""
    lateness: Lateness = field(default_factory=Lateness)
    revision: int = 0
    """Version of the configuration log that last wrote this contract."""
