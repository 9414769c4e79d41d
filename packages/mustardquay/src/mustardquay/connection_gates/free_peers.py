"""Free peers: the other gateways that could take more callers, by their digests."""

from datetime import timedelta

from ..peer_digests import DIGEST_LIFETIME, PeerDigest

__all__ = ["FreePeers"]


class FreePeers:
    """The gateways that are ready and keep up with their callers."""

    def __init__(self) -> None:
        self._free: dict[str, timedelta] = {}
        """When each of them last said so."""

    def apply_digest(self, digest: PeerDigest, now: timedelta) -> None:
        """Apply the newest digest of a gateway."""
        if digest.is_ready and digest.ends_in is None and not digest.is_busy:
            self._free[digest.gateway] = now
        else:
            self._free.pop(digest.gateway, None)

    def has_any(self, now: timedelta) -> bool:
        """Return whether a gateway has recently said that it keeps up."""
        silent = [name for name, at in self._free.items() if now - at > DIGEST_LIFETIME]
        for name in silent:
            del self._free[name]
        return bool(self._free)
