"""Usable engines: the candidates for a generation that are neither lost nor silent."""

from collections.abc import Sequence
from datetime import timedelta

from .engine_states import EngineStates
from .silences import pass_over_silent
from .upstream_lists import Stage, UpstreamRecord

__all__ = ["list_usable_engines"]


def list_usable_engines(
    engines: Sequence[UpstreamRecord],
    states: EngineStates,
    now: timedelta,
    avoided: set[str],
) -> list[UpstreamRecord]:
    """Return the candidate engines; ejected ones only if no others are left.

    Engines that have been unreachable for longer than the threshold are left out, so
    that requests don't wait for connections that will fail. Only occasional requests
    probe them.
    """
    usable = [engine for engine in engines if engine.id not in avoided]
    healthy = [
        engine for engine in usable if not states.loads.get(engine.id).is_ejected(now)
    ]
    if any(engine.stage is not Stage.PREFILL for engine in healthy):
        return _pass_over_silent(healthy, states, now)
    return [engine for engine in usable if not states.loads.is_lost(engine.id, now)]


def _pass_over_silent(
    engines: Sequence[UpstreamRecord], states: EngineStates, now: timedelta
) -> list[UpstreamRecord]:
    """Return the engines without silent ones, with some of each kind.

    The kinds are apart, so that a silence of all prefill engines doesn't send all
    prompts to decode engines, which prefill at half the speed.
    """
    silences = states.loads.silences
    prefillers = [engine for engine in engines if engine.stage is Stage.PREFILL]
    decoders = [engine for engine in engines if engine.stage is not Stage.PREFILL]
    return [
        *pass_over_silent(prefillers, silences, now),
        *pass_over_silent(decoders, silences, now),
    ]
