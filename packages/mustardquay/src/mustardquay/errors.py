"""Exceptions and refusals, whose messages state the remedy.

Errors in settings, documents and the platform are raised. Expected refusals of
work are returned as `Refusal` values, with the reason and what the caller can do.
"""

from dataclasses import dataclass
from datetime import timedelta
from enum import StrEnum

__all__ = [
    "ConflictError",
    "DocumentError",
    "MustardquayError",
    "ProtocolError",
    "Reason",
    "Refusal",
    "SettingsError",
    "StoreUnavailable",
    "StoreResultUnknown",
]


class MustardquayError(Exception):
    """Base class of all errors of this project; messages end with the remedy."""


class SettingsError(MustardquayError):
    """A settings file is invalid; names the file, section, key and remedy."""


class DocumentError(MustardquayError):
    """A contract or planned change is invalid; names the field and remedy."""


class ConflictError(MustardquayError):
    """An edit is based on a revision that is no longer the current one."""


class ProtocolError(MustardquayError):
    """A peer sent something that violates its protocol."""


class StoreUnavailable(MustardquayError):
    """The platform's service did not apply the call, which can be retried."""


class StoreResultUnknown(MustardquayError):
    """A write may or may not have been applied; read the rows before continuing."""


class Reason(StrEnum):
    """Why work was refused; refused work is guaranteed not to have run."""

    CONTRACT = "contract"
    DEADLINE = "deadline"
    DRAINING = "draining"
    MODEL_MISSING = "model_missing"
    NO_UPSTREAM = "no_upstream"
    NOT_CURRENT = "not_current"
    OVERLOAD = "overload"
    QUARANTINE = "quarantine"
    STALE_INCARNATION = "stale_incarnation"
    STORE = "store"
    TOMBSTONE = "tombstone"


@dataclass(frozen=True, slots=True)
class Refusal:
    """Work that has not run and never will under this attempt.

    `retry_after` is None when a later retry would not help.
    """

    reason: Reason
    message: str
    retry_after: timedelta | None = None

    def __bool__(self) -> bool:
        """Return False, so that `if not result` means "was refused"."""
        return False
