"""Silences of upstreams: which ones are passed over, and which answers are given up.

A sound upstream may fall silent for a second or so and go on. Two questions are kept
apart: whether an upstream is suspected, so that new requests go elsewhere, and whether
the answer that it has begun is given up, so that its request goes elsewhere.
"""

from .policies import (
    SOUND_SILENCE,
    GiveUpReason,
    SilentSend,
    find_give_up_reason,
    find_recheck_time,
    pass_over_silent,
)
from .upstream_silences import ConnectResult, Suspicion, UpstreamSilences

__all__ = [
    "SOUND_SILENCE",
    "ConnectResult",
    "GiveUpReason",
    "SilentSend",
    "Suspicion",
    "UpstreamSilences",
    "find_give_up_reason",
    "find_recheck_time",
    "pass_over_silent",
]
