"""Admission: all that is decided on a request before anything is waited for."""

from mustardquay.routing_tables import Repeat, RoutingTable
from mustardquay.stops import RequestEstimate

from ..caller_connections import CallerRequest
from ..forwarder_dependencies import ForwardedRequest, ForwarderDependencies
from ..replies import Reply
from .request_reading import read_request

__all__ = ["admit_request"]


def admit_request(
    deps: ForwarderDependencies,
    table: RoutingTable | None,
    incoming: CallerRequest,
    reply: Reply,
) -> ForwardedRequest | None:
    """Return the request if it is to be forwarded; otherwise it has its answer."""
    request = read_request(deps, table, incoming, reply)
    if request is None:
        return None
    if deps.stop.has_begun and not _admit_while_stopping(deps, request, reply):
        return None
    return request


def _admit_while_stopping(
    deps: ForwarderDependencies, request: ForwardedRequest, reply: Reply
) -> bool:
    """Admit or refuse a request that arrives during a graceful stop.

    Returns whether it is admitted.
    """
    demand = _estimate_demand(deps, request)
    inputs = {
        "expected_ms": round(demand.expected.total_seconds() * 1000),
        "left_ms": round(deps.stop.time_left.total_seconds() * 1000),
    }
    request.begin_by = deps.stop.admit(demand)
    if request.begin_by is None:
        reply.refuse("stopping", deps.stop.draw_retry_delay(demand.expected), **inputs)
        return False
    deps.events.record(
        "drain.taken",
        request=request.id,
        route=request.route.name,
        **request.incoming.describe_connection(),
        **inputs,
    )
    return True


def _estimate_demand(
    deps: ForwarderDependencies, request: ForwardedRequest
) -> RequestEstimate:
    now = deps.clock.monotonic()
    return RequestEstimate(
        request.measure_time_left(now),
        deps.times.find_longest(request.route.name, now),
        request.max_output_tokens,
        request.route.repeat is Repeat.STREAM,
        request.route.resumable,
    )
