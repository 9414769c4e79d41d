"""Seeds of the random number generators of processes."""

from random import SystemRandom

__all__ = ["make_seed"]


def make_seed() -> int:
    """Return a random 64-bit seed, different for each process."""
    return SystemRandom().getrandbits(64)
