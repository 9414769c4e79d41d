"""Retained prefills: whether a finished prefill can still be used for decoding.

Handles decode engines that are lost, refuse a request or stop responding after another
engine has prefilled its prompt. While that engine retains the result, any other engine
can decode after copying it, which avoids a second prefill of every request in progress.
"""

from collections.abc import Collection, Sequence
from datetime import timedelta
from enum import StrEnum

from .decoder_choices import choose_decoder
from .engine_states import EngineStates, HashedPart
from .upstream_lists import Stage, UpstreamRecord

__all__ = ["PrefillLoss", "find_prefill_loss"]


class PrefillLoss(StrEnum):
    """Why a finished prefill can't be used any more."""

    READER_GONE = "reader_gone"
    """The engine that did the prefill is no longer listed, or is draining."""
    READER_LOST = "reader_lost"
    """It has been unreachable for longer than `LOST_TIME`."""
    READER_SILENT = "reader_silent"
    """Nothing shows that it is alive since a decode engine, silent too, was to fetch
    the prompt from it; another engine can prefill."""
    DISPLACED = "displaced"
    """It has evicted the prompt from its cache."""
    NO_GENERATOR = "no_generator"
    """No other decode engine is usable."""
    REPLACED = "replaced"
    """The request goes on, or may have run, without it."""


def find_prefill_loss(
    reader: UpstreamRecord,
    parts: Sequence[HashedPart],
    is_copied: bool,
    engines: Sequence[UpstreamRecord],
    states: EngineStates,
    now: timedelta,
    avoid: Collection[str] = (),
    silent_since: timedelta | None = None,
) -> PrefillLoss | None:
    """Return why none of `engines` can use a prefill, or None if one can.

    With `is_copied`, the prompt is copied from the prefix cache of its reader, where it
    may be evicted like any other; a handle pins it there. `silent_since` is when the
    last hand-over began, if it was given up for its silence.
    """
    if all(engine.id != reader.id for engine in engines):
        return PrefillLoss.READER_GONE
    if states.loads.is_lost(reader.id, now):
        return PrefillLoss.READER_LOST
    if silent_since is not None and not states.loads.silences.was_heard_since(
        reader.id, silent_since
    ):
        if _has_other_reader(reader, engines, states, now, avoid):
            return PrefillLoss.READER_SILENT
    if is_copied and not states.prefixes.holds(reader.id, parts):
        return PrefillLoss.DISPLACED
    if choose_decoder(engines, states, now, avoid) is None:
        return PrefillLoss.NO_GENERATOR
    return None


def _has_other_reader(
    reader: UpstreamRecord,
    engines: Sequence[UpstreamRecord],
    states: EngineStates,
    now: timedelta,
    avoid: Collection[str],
) -> bool:
    others = [
        engine
        for engine in engines
        if engine.stage is Stage.PREFILL and engine.id not in {reader.id, *avoid}
    ]
    return any(
        not states.loads.silences.is_silent(other.id)
        and not states.loads.get(other.id).is_ejected(now)
        for other in others
    )
