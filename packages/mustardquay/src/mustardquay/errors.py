"""Errors: typed kinds whose messages name the remedy.

Faults of a setting, a document or the platform are raised. Expected refusals of
work are returned as `Refusal` values, which say why and what the caller can do.
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
    "StoreUnclear",
]


class MustardquayError(Exception):
    """Base of the errors of this project; the message ends with the remedy."""


class SettingsError(MustardquayError):
    """A settings file can't be used; names file, section, key and remedy."""


class DocumentError(MustardquayError):
    """A contract or planned change is not valid; names the field and remedy."""


class ConflictError(MustardquayError):
    """An edit names a revision that is no longer the current one."""


class ProtocolError(MustardquayError):
    """A peer sent something that its protocol does not allow."""


class StoreUnavailable(MustardquayError):
    """The platform's service did not apply the call; it may be repeated."""


class StoreUnclear(MustardquayError):
    """A write may or may not have been applied; read back before going on."""


class Reason(StrEnum):
    """Why work was refused; each refusal with a reason is a true "not run"."""

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
    """Work that was not run and never will be under this attempt.

    `retry_after` is given where waiting helps; None means it does not.
    """

    reason: Reason
    message: str
    retry_after: timedelta | None = None

    def __bool__(self) -> bool:
        """Be false, so that `if not result` reads as "was refused"."""
        return False
