"""Keys that callers present, and their fingerprints for logs."""

from dataclasses import dataclass, field
from hashlib import sha256

__all__ = ["PresentedKey", "compute_key_fingerprint"]

FINGERPRINT_DIGITS = 8
"""Hexadecimal digits of a fingerprint: enough to compare, too few to recover a key."""


@dataclass(frozen=True, slots=True)
class PresentedKey:
    """The credentials in the headers of one request."""

    key: str | None = field(default=None, repr=False)
    """The key; None if there is none or it can't be read."""
    is_malformed: bool = False
    """Whether there are credentials in another form than one bearer key."""


def compute_key_fingerprint(key: str) -> str:
    """Return the fingerprint by which logs name a key without revealing it.

    >>> compute_key_fingerprint("secret")
    '2bb80d53'
    """
    return sha256(key.encode()).hexdigest()[:FINGERPRINT_DIGITS]
