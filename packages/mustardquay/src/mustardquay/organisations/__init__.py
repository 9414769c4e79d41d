"""Organisations: whose key a caller presents, and what a gateway decides by it."""

from .authentication import (
    Authenticated,
    KeyRejection,
    KeyRejectionReason,
    authenticate,
)
from .directories import DirectoryBuilder, Organisation, OrganisationDirectory
from .keys import PresentedKey, compute_key_fingerprint

__all__ = [
    "Authenticated",
    "DirectoryBuilder",
    "KeyRejection",
    "KeyRejectionReason",
    "Organisation",
    "OrganisationDirectory",
    "PresentedKey",
    "authenticate",
    "compute_key_fingerprint",
]
