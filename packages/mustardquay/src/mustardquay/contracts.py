"""Contracts: what a customer may use, and the latency that it tolerates."""

from dataclasses import dataclass, field
from datetime import timedelta

__all__ = ["Contract", "Lateness"]


@dataclass(frozen=True, slots=True)
class Lateness:
    """The latency limits that a customer tolerates."""

    first_token: timedelta = timedelta(seconds=1.2)
    """From the arrival of the request to the first token of its answer."""
    between_tokens: timedelta = timedelta(milliseconds=60)
    """Mean gap between two tokens of a streamed answer."""
    whole: timedelta = timedelta(seconds=30)
    """From the arrival of the request to the end of its answer."""


@dataclass(frozen=True, slots=True)
class Contract:
    """The agreement with one customer, from which all its limits are derived."""

    customer: str
    key_hashes: tuple[str, ...]
    """SHA-256 digests, in hex, of the customer's bearer keys."""
    share: float
    """Fraction of the fleet that the customer is entitled to, above 0 and up to 1."""
    priority: int = 0
    """0 to 9; higher is served first where the shares don't determine the order."""
    models: tuple[str, ...] = ()
    adapters: tuple[str, ...] = ()
    services: tuple[str, ...] = ()
    """Services other than models that the customer may call."""
    lateness: Lateness = field(default_factory=Lateness)
    revision: int = 0
    """Version of the configuration log that last changed this contract."""
