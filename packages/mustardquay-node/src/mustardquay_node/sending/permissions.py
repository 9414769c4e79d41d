"""Whether a send that was decided is still allowed, right before its first byte."""

from mustardquay.upstream_lists import UpstreamRecord

from ..forwarder_dependencies import ForwardedRequest, ForwarderDependencies
from .results import SendOptions

__all__ = ["is_unchanged", "may_send_now"]


def may_send_now(
    deps: ForwarderDependencies,
    request: ForwardedRequest,
    upstream: UpstreamRecord,
    options: SendOptions,
) -> bool:
    """Return whether a send is still allowed, right before its first byte.

    Guards against news since its upstream was chosen, as connections, reservations
    and the prefill take time: that the request, or a part of its prompt, has crashed
    too many upstreams, that one that it reaches is leaving or wants to rest, that its
    upstream drains or is gone by the list, or that the one which is to go on with its
    stream may have another software version by now.
    """
    if deps.crashes.is_refused(request.fingerprint):
        return False
    if deps.crashes.parts.find_refused(request.parts) is not None:
        return False
    if not deps.upstreams.accepts(upstream):
        return False
    goes_on = request.origin is not None and not options.prefill_only
    if goes_on and not is_unchanged(deps, upstream):
        return False
    reached = [upstream, options.holder] if options.holder else [upstream]
    return all(map(deps.statements.is_accepting, reached))


def is_unchanged(deps: ForwarderDependencies, upstream: UpstreamRecord) -> bool:
    """Return whether an upstream has still the software version of its choice.

    Guards against one that starts again under its id, with another version.
    """
    listed = deps.upstreams.get(upstream.id) or upstream
    is_same = listed.software_version == upstream.software_version
    return is_same and deps.doubts.is_certain(listed)
