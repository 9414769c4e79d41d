"""Reading of a request: its route, the organisation of its key, and its headers."""

from mustardquay.errors import ProtocolError
from mustardquay.retry_decisions import SendHistory
from mustardquay.routing_tables import Route, RoutingTable, choose_backend
from mustardquay.version_trackers import TableState

from ..caller_connections import CallerRequest
from ..forwarder_dependencies import ForwardedRequest, ForwarderDependencies
from ..gateway_stops import DEFAULT_RETRY_AFTER
from ..replies import Reply
from ..shown_versions import take_shown_version
from .caller_identities import AnsweredWithoutRunning, CallerIdentity, identify_caller

__all__ = ["read_request"]

MISDIRECTED = 421
"""Tells the gateway that has forwarded a request to serve it itself."""
OLDER_CONFIGURATION = "Not run: this gateway has an older configuration."


def read_request(
    deps: ForwarderDependencies,
    table: RoutingTable | None,
    incoming: CallerRequest,
    reply: Reply,
) -> ForwardedRequest | None:
    """Return the request with its route and service, or answer that it has none."""
    version = 0 if table is None else table.version
    if version < take_shown_version(incoming.headers):
        reply.fail(MISDIRECTED, "older_configuration", OLDER_CONFIGURATION)
        return None
    if table is None:
        reply.refuse("no_configuration", DEFAULT_RETRY_AFTER)
        return None
    reply.version = table.version
    route = _find_route(deps, table, incoming, reply)
    if route is None:
        return None
    reply.route = route.name
    identity = identify_caller(deps, table, route, incoming, reply)
    if isinstance(identity, AnsweredWithoutRunning):
        return None
    return _build_request(deps, route, identity, incoming, reply)


def _find_route(
    deps: ForwarderDependencies,
    table: RoutingTable,
    incoming: CallerRequest,
    reply: Reply,
) -> Route | None:
    """Return the route of a request, or answer that there is none."""
    state = deps.find_table_state()
    if state is TableState.OUTDATED:
        reply.refuse("outdated", DEFAULT_RETRY_AFTER)
        return None
    route = table.find_route(incoming.headers.get("Host", ""), incoming.path)
    if route is None and state is TableState.BEHIND:
        # The newer version of the configuration may have the route.
        reply.refuse("unknown_route", DEFAULT_RETRY_AFTER)
    elif route is None:
        reply.fail(404, "no_route", "There is no route for this host and path.")
    return route


def _build_request(
    deps: ForwarderDependencies,
    route: Route,
    identity: CallerIdentity,
    incoming: CallerRequest,
    reply: Reply,
) -> ForwardedRequest | None:
    """Return the request, or answer that its headers or its service are missing."""
    try:
        facts = deps.adapter.read_request(incoming.headers)
    except ProtocolError as error:
        reply.fail(400, "bad_headers", str(error))
        return None
    service = choose_backend(route.backends, deps.random.random())
    if service is None:
        reply.refuse("no_service", DEFAULT_RETRY_AFTER)
        return None
    deps.pools.get_window(service).count_request(incoming.received_at)
    deps.limits.demand.count_request(service, incoming.received_at)
    allowed = route.timeout
    if facts.time_allowed is not None:
        allowed = min(allowed, facts.time_allowed)
    return ForwardedRequest(
        incoming,
        facts,
        route.with_priority(identity.priority),
        service,
        deadline=incoming.received_at + allowed,
        fingerprint=deps.crashes.compute_fingerprint(
            incoming.method, incoming.path, incoming.body
        ),
        last_event=facts.resumes_after,
        organisation=identity.organisation,
        send_history=SendHistory(ledger=reply.ledger),
    )
