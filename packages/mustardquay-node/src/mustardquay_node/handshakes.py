"""Mutual authentication of the two ends of a new link.

Both ends hold the shared keys of the settings. Each sends a random nonce, and a
keyed hash (HMAC) over both nonces and both names. Without it, anybody who can reach
the port could send work to an agent. A recorded handshake can't be replayed on
another link, since the other end's nonce differs.
"""

import hmac
from collections.abc import Sequence
from hashlib import sha256

from mustardquay.errors import ProtocolError

__all__ = ["NONCE_SIZE", "find_key", "make_proof"]

NONCE_SIZE = 32
"""Size of a nonce in bytes."""


def make_proof(
    key: str, side: str, prover: str, verifier: str, nonces: tuple[bytes, bytes]
) -> bytes:
    """Return the keyed hash that `prover` sends.

    `side` is "entry" or "agent", so that a proof can't be reflected to its
    sender; `nonces` are the entry's and the agent's.

    >>> one = make_proof("k", "entry", "e", "a", (b"1", b"2"))
    >>> one == make_proof("k", "agent", "e", "a", (b"1", b"2"))
    False
    """
    parts = [side.encode(), prover.encode(), verifier.encode(), *nonces]
    text = b"".join(len(part).to_bytes(4, "big") + part for part in parts)
    return hmac.new(key.encode(), text, sha256).digest()


def find_key(
    keys: Sequence[str],
    proof: bytes,
    side: str,
    prover: str,
    verifier: str,
    nonces: tuple[bytes, bytes],
) -> str:
    """Return the key that the proof was made with.

    Raises `ProtocolError` if it was made with none of `keys`.
    """
    for key in keys:
        expected = make_proof(key, side, prover, verifier, nonces)
        if hmac.compare_digest(expected, proof):
            return key
    raise ProtocolError(
        f"{prover} holds none of the keys in [link] keys; give both ends a common one."
    )
