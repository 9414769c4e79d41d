"""Prefills: the work of an engine to prefill one prompt."""

from dataclasses import dataclass

__all__ = ["Prefill"]


@dataclass(frozen=True, slots=True)
class Prefill:
    """The work of an engine to prefill one prompt."""

    new: int
    """Tokens to compute."""
    cached: int = 0
    """Tokens before them that are cached or copied."""
    copied: int = 0
    """Tokens that are first copied from another engine."""

    @property
    def features(self) -> tuple[float, float, float, float]:
        """Return the features of the model: constant, tokens, pairs, copied tokens."""
        pairs = self.new * (self.cached + self.new / 2)
        return (1.0, float(self.new), float(pairs), float(self.copied))
