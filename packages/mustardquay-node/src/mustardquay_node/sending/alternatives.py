"""What a request could be sent to instead of the upstream that has it."""

from collections.abc import Collection

from mustardquay.retry_decisions import PrefillState
from mustardquay.upstream_lists import Stage, UpstreamRecord

from ..forwarder_dependencies import ForwardedRequest, ForwarderDependencies

__all__ = ["find_prefill_state", "has_other_upstream"]


def has_other_upstream(
    deps: ForwarderDependencies, request: ForwardedRequest, is_prefill: bool
) -> bool:
    """Return whether an upstream that a request doesn't avoid can take it now.

    It is neither silent nor ejected, and has no rate limit to wait for. A prefill may
    also be done by an engine that decodes.
    """
    now = deps.clock.monotonic()

    def is_usable(other: UpstreamRecord) -> bool:
        return not (
            other.id in request.avoid
            or (other.stage is Stage.PREFILL and not is_prefill)
            or deps.loads.get(other.id).is_ejected(now)
            or deps.loads.silences.is_silent(other.id)
            or deps.loads.is_lost(other.id, now)
            or deps.limits.predict_wait(other, now)
        )

    candidates = deps.list_candidates(request)
    return any(map(is_usable, deps.planner.exclude_changing(candidates)))


def find_prefill_state(
    deps: ForwarderDependencies, request: ForwardedRequest, avoid: Collection[str]
) -> PrefillState:
    """Return whether a further send can use the prompt that was already prefilled."""
    if request.prefill is None:
        return PrefillState.NONE
    engines = deps.list_candidates(request)
    loss = deps.planner.find_prefill_loss(request.prefill, engines, avoid)
    return PrefillState.KEPT if loss is None else PrefillState.LOST
