"""Authentication: whether a request runs, by its key and the configuration in force."""

from dataclasses import dataclass
from enum import StrEnum

from .directories import Organisation, OrganisationDirectory
from .keys import PresentedKey

__all__ = ["Authenticated", "KeyRejection", "KeyRejectionReason", "authenticate"]


class KeyRejectionReason(StrEnum):
    """Why a request does not run."""

    MISSING = "missing_key"
    MALFORMED = "malformed_key"
    UNKNOWN = "unknown_key"


@dataclass(frozen=True, slots=True)
class Authenticated:
    """A request that may run."""

    organisation: Organisation | None
    """None for an anonymous caller of a route that allows them."""


@dataclass(frozen=True, slots=True)
class KeyRejection:
    """A request that must not run here."""

    reason: KeyRejectionReason
    is_final: bool
    """Whether the configuration in force is known to be the newest. If not, a newer one
    may accept the request, and the caller should retry elsewhere."""


def authenticate(
    directory: OrganisationDirectory,
    presented: PresentedKey,
    allows_anonymous: bool,
    is_current: bool,
) -> Authenticated | KeyRejection:
    """Return the organisation of a request, or why it must not run.

    An unknown key is rejected also on routes that allow anonymous callers: it may have
    been withdrawn. A known key is accepted although a newer configuration may have
    withdrawn it, as all keys would be rejected whenever the store is away.

    >>> directory = OrganisationDirectory([Organisation("a", ("k1",))])
    >>> authenticate(directory, PresentedKey("k1"), False, True).organisation.name
    'a'
    >>> authenticate(directory, PresentedKey("k2"), True, False)
    KeyRejection(reason=<KeyRejectionReason.UNKNOWN: 'unknown_key'>, is_final=False)
    """
    if presented.is_malformed:
        return KeyRejection(KeyRejectionReason.MALFORMED, is_current)
    if presented.key is None:
        if allows_anonymous:
            return Authenticated(None)
        return KeyRejection(KeyRejectionReason.MISSING, is_current)
    organisation = directory.find(presented.key)
    if organisation is None:
        return KeyRejection(KeyRejectionReason.UNKNOWN, is_current)
    return Authenticated(organisation)
