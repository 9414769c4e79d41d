"""Retained prefills: whether a finished prefill can still be used for decoding.

Handles decode engines that are lost, refuse a request or stop responding after another
engine has prefilled its prompt. While that engine retains the result, any other engine
can decode after copying it, which avoids a second prefill of every request in progress.
"""

from collections.abc import Collection, Sequence
from datetime import timedelta
from enum import StrEnum

from .engine_states import EngineStates, HashedPart
from .placements import choose_decoder
from .upstream_lists import UpstreamRecord

__all__ = ["PrefillLoss", "find_prefill_loss"]


class PrefillLoss(StrEnum):
    """Why a finished prefill can't be used any more."""

    READER_GONE = "reader_gone"
    """The engine that did the prefill is no longer listed, or is draining."""
    READER_LOST = "reader_lost"
    """It has been unreachable for longer than `LOST_TIME`."""
    DISPLACED = "displaced"
    """It has evicted the prompt from its cache."""
    NO_GENERATOR = "no_generator"
    """No other decode engine is usable."""


def find_prefill_loss(
    reader: UpstreamRecord,
    parts: Sequence[HashedPart],
    is_copied: bool,
    engines: Sequence[UpstreamRecord],
    states: EngineStates,
    now: timedelta,
    avoid: Collection[str] = (),
) -> PrefillLoss | None:
    """Return why none of `engines` can use a prefill, or None if one can.

    With `is_copied`, the prompt is copied from the prefix cache of its reader, where it
    may be evicted like any other; a handle pins it there.
    """
    if all(engine.id != reader.id for engine in engines):
        return PrefillLoss.READER_GONE
    if states.loads.is_lost(reader.id, now):
        return PrefillLoss.READER_LOST
    if is_copied and not states.prefixes.holds(reader.id, parts):
        return PrefillLoss.DISPLACED
    if choose_decoder(engines, states, now, avoid) is None:
        return PrefillLoss.NO_GENERATOR
    return None
