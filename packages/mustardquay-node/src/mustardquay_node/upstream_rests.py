"""When callers may come back whose requests upstreams have refused, or rest from."""

from datetime import timedelta

from mustardquay.upstream_lists import Stage

from .forwarder_dependencies import ForwarderDependencies
from .gateway_stops import DEFAULT_RETRY_AFTER
from .sending import Send

__all__ = ["find_retry_after", "find_shortest_rest"]


def find_retry_after(
    deps: ForwarderDependencies, service: str, send: Send
) -> timedelta:
    """Return when a caller may come back whose request an upstream refused."""
    if send.facts is not None and send.facts.retry_after and not send.facts.rest:
        return send.facts.retry_after
    # Another upstream may accept the request long before this one has rested.
    return find_shortest_rest(deps, service) or DEFAULT_RETRY_AFTER


def find_shortest_rest(deps: ForwarderDependencies, service: str) -> timedelta:
    """Return the time until an upstream has rested, 0 if not all of them rest."""
    return deps.statements.find_shortest_rest(
        upstream
        for upstream in deps.upstreams.list_usable(service)
        if upstream.stage is not Stage.PREFILL
    )
