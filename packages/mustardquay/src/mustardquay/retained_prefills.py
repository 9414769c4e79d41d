"""Retained prefills: whether a prompt that was read can still be generated from.

Answers engines that generate and are lost, refuse or fall silent after another engine
has read the prompt. While that one holds it, any engine can generate from it by a copy,
which spares the readers' queue a second reading of every request that was under way.
"""

from collections.abc import Collection, Sequence
from datetime import timedelta
from enum import StrEnum

from .engine_states import EngineStates, HashedPart
from .placements import choose_decoder
from .upstream_lists import UpstreamRecord

__all__ = ["PrefillLoss", "find_prefill_loss"]


class PrefillLoss(StrEnum):
    """Why nothing can be generated from what an engine has read."""

    READER_GONE = "reader_gone"
    """The engine that read is not listed any more, or leaves."""
    READER_LOST = "reader_lost"
    """It has been out of reach for long."""
    DISPLACED = "displaced"
    """It has given up the prompt for others."""
    NO_GENERATOR = "no_generator"
    """No other engine generates."""


def find_prefill_loss(
    reader: UpstreamRecord,
    parts: Sequence[HashedPart],
    is_copied: bool,
    engines: Sequence[UpstreamRecord],
    states: EngineStates,
    now: timedelta,
    avoid: Collection[str] = (),
) -> PrefillLoss | None:
    """Return why none of `engines` can generate from a reading; None if one can.

    With `is_copied`, the prompt is copied from the cache of its reader, which holds it
    like any other; a handle keeps it there by itself.
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
