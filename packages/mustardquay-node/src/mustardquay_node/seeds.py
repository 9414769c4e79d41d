"""Seeds: where the random numbers of a process begin."""

from random import SystemRandom

__all__ = ["make_seed"]


def make_seed() -> int:
    """Return a seed that no two processes share."""
    return SystemRandom().getrandbits(64)
