"""Identities of callers: the organisation of a request, or the answer without one."""

from dataclasses import dataclass

from mustardquay.organisations import (
    KeyRejection,
    KeyRejectionReason,
    PresentedKey,
    authenticate,
    compute_key_fingerprint,
)
from mustardquay.routing_tables import Route, RoutingTable
from mustardquay.version_trackers import TableState

from ..caller_connections import CallerRequest
from ..forwarder_dependencies import ForwarderDependencies
from ..gateway_stops import DEFAULT_RETRY_AFTER
from ..replies import Reply

__all__ = ["AnsweredWithoutRunning", "CallerIdentity", "identify_caller"]

MESSAGES = {
    KeyRejectionReason.MISSING: "This route needs a key: send Authorization: Bearer "
    "KEY.",
    KeyRejectionReason.MALFORMED: "The Authorization header can't be read: send it "
    "once, as Bearer KEY.",
    KeyRejectionReason.UNKNOWN: "The key is unknown or was withdrawn: ask the operator "
    "for a valid one.",
}
CHALLENGE = {"WWW-Authenticate": "Bearer"}


@dataclass(frozen=True, slots=True)
class CallerIdentity:
    """Who sent a request, by the configuration in force."""

    organisation: str | None = None
    """Name of the organisation; empty for an anonymous caller, None if the
    configuration has no organisations."""
    priority: int | None = None
    """Rank of its requests; None for that of the route."""


@dataclass(frozen=True, slots=True)
class AnsweredWithoutRunning:
    """The request must not run, and its caller has been told so."""


NO_ORGANISATIONS = CallerIdentity()
ANONYMOUS = CallerIdentity("")


def identify_caller(
    deps: ForwarderDependencies,
    table: RoutingTable,
    route: Route,
    incoming: CallerRequest,
    reply: Reply,
) -> CallerIdentity | AnsweredWithoutRunning:
    """Return the caller's identity, or answer that its key does not permit a run."""
    directory = table.organisations
    if directory is None:
        return NO_ORGANISATIONS
    presented = deps.adapter.read_key(incoming.headers)
    is_current = (
        deps.find_table_state() is TableState.CURRENT
        and deps.is_configuration_confirmed()
    )
    found = authenticate(directory, presented, route.allows_anonymous, is_current)
    if isinstance(found, KeyRejection):
        _reject(found, presented, reply)
        return AnsweredWithoutRunning()
    if found.organisation is None:
        return ANONYMOUS
    reply.organisation = found.organisation.name
    return CallerIdentity(found.organisation.name, found.organisation.priority)


def _reject(rejection: KeyRejection, presented: PresentedKey, reply: Reply) -> None:
    """Answer 401 if no newer configuration may accept the request, else 503."""
    if presented.key is not None:
        reply.key_fingerprint = compute_key_fingerprint(presented.key)
    if rejection.is_final:
        message = MESSAGES[rejection.reason]
        reply.fail(401, rejection.reason.value, message, CHALLENGE)
    else:
        reply.refuse(rejection.reason.value, DEFAULT_RETRY_AFTER)
