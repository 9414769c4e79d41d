"""Keys of parts and of starts of engines, as gateways exchange them."""

from collections.abc import Iterable

from xxhash import xxh3_64_intdigest

from ..requests import PromptPart, compute_part_key

__all__ = ["compute_start_key", "list_part_keys"]

MAX_PARTS = 64
"""Parts of one prompt that are kept track of, the first ones."""
START_KEY_BITS = 32
"""Bits of a start's key. At most a few dozen starts are compared with each other."""


def compute_start_key(upstream: str, boot: str) -> int:
    """Return the key of one start of an upstream."""
    return xxh3_64_intdigest(f"{upstream}/{boot}".encode()) >> 64 - START_KEY_BITS


def list_part_keys(parts: Iterable[PromptPart]) -> tuple[int, ...]:
    """Return the keys of a prompt's shared parts.

    >>> len(list_part_keys([PromptPart("a1", 2520), PromptPart("b2", 3780)]))
    2
    """
    keys = (compute_part_key(part.id) for part in parts)
    return tuple(dict.fromkeys(keys))[:MAX_PARTS]
