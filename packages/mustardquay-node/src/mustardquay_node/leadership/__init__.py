"""Leadership: which gateway carries out a duty that only one may carry out."""

from .lease_keepers import HOLDER_VALIDITY, LEASE_TERM, LeaseKeeper

__all__ = ["HOLDER_VALIDITY", "LEASE_TERM", "LeaseKeeper"]
