"""Engine pools: the model coefficients of one service's engines, and their priors."""

from collections.abc import Sequence
from dataclasses import dataclass, field
from datetime import timedelta

from .decaying_fits import DecayingFit, dot
from .engine_speeds import OwnFactors

__all__ = ["DECODER_SLOWDOWN", "PREFILL_SCALES", "STREAM_SCALES", "EnginePool"]

DECODER_SLOWDOWN = 2.0
"""How many times longer a decode engine takes to prefill a prompt: a rule of the
platform's engines, whatever their speed."""
MAX_FIXED = 0.03
"""Upper bound for the fixed seconds of a prefill: a larger value is caused by an
unknown queue, and would move all prefill to the decode engines."""
PRIOR_FIXED = 0.005
"""Prior for the fixed seconds of a prefill: a few network round trips."""
PRIOR_TOKEN = 1e-5
"""Prior for the seconds per token: between the engines known so far (4 and 21
microseconds). A prior of half or twice the true value misplaces the first dozen prompts
of a gateway without peers."""
PRIOR_PAIR = 2e-10
"""Prior for the seconds per pair of a new token and an earlier one, as above."""
PRIOR_COPIED = 1e-6
"""Seconds per token copied between engines when the operator declares none."""
PRIOR_STEP = 0.002
"""Prior for the seconds of a decode step."""
PRIOR_STREAM = 0.00003
"""Prior for the seconds by which each other stream lengthens a decode step."""
PREFILL_SCALES = (1.0, 4_000.0, 2e7, 4_000.0)
"""Typical sizes of the prefill features: constant, tokens, pairs, copied tokens."""
PREFILL_STRENGTHS = (1.0, 0.2, 0.2, 0.5)
"""Relative confidence in the prefill priors: high for the network, low for the engine's
speed."""
STREAM_SCALES = (1.0, 16.0)
STREAM_STRENGTHS = (0.2, 0.2)
"""The same for streams: the length of a step is as uncertain as the engine's speed."""


def _make_prefill_fit() -> DecayingFit:
    prior = (PRIOR_FIXED, PRIOR_TOKEN, PRIOR_PAIR, PRIOR_COPIED)
    return DecayingFit(prior, PREFILL_SCALES, PREFILL_STRENGTHS)


def _make_stream_fit() -> DecayingFit:
    prior = (PRIOR_STEP, PRIOR_STREAM)
    return DecayingFit(prior, STREAM_SCALES, STREAM_STRENGTHS)


@dataclass(slots=True)
class EnginePool:
    """What is known of the engines of one service."""

    factors: OwnFactors = field(default_factory=OwnFactors)
    read: DecayingFit = field(default_factory=_make_prefill_fit)
    first: DecayingFit = field(default_factory=_make_stream_fit)
    pause: DecayingFit = field(default_factory=_make_stream_fit)
    steps: int = 1
    """Decode steps between two events of a stream."""
    copy_seconds: float | None = None
    """Seconds to copy a token, as declared by the operator; None until configured."""
    usual: float = 0.0
    """Exponential mean of the expected prefill seconds of placements, on the mean
    engine at its usual speed where speeds are known."""
    adopted_at: timedelta | None = None
    """When the coefficients of a peer were last taken over."""

    def set_traits(self, steps: int, copy_seconds: float) -> None:
        """Apply the operator's settings, if one of them has changed.

        Each change of the configuration calls this again, and would otherwise replace
        coefficients taken over from a peer by the priors.
        """
        if (steps, copy_seconds) == (self.steps, self.copy_seconds):
            return
        self.steps, self.copy_seconds = steps, copy_seconds
        copied = copy_seconds or PRIOR_COPIED
        self.read.set_prior((PRIOR_FIXED, PRIOR_TOKEN, PRIOR_PAIR, copied))
        streams = (PRIOR_STEP * steps, PRIOR_STREAM * steps)
        self.first.set_prior(streams)
        self.pause.set_prior(streams)

    @property
    def fixed(self) -> float:
        """Return the seconds of a prefill that don't depend on its engine."""
        return min(self.read.coefficients[0], MAX_FIXED)

    def find_fixed_first(self, first: float) -> float:
        """Return the part of the time to a first event that the network takes."""
        return min(self.fixed, first / 2)

    def is_long(self, features: Sequence[float]) -> bool:
        """Return whether a prefill takes longer than a first event by the priors."""
        read = DECODER_SLOWDOWN * dot(self.read.prior, features)
        return read > dot(self.first.prior, (1.0, 0.0))
