"""Streams that their callers take up again after a broken answer."""

from datetime import timedelta

from mustardquay.streams import TakeUpRefusal, compute_stream_key

from ..forwarder_dependencies import ForwardedRequest, ForwarderDependencies
from ..replies import Reply
from ..stream_origins import FoundOrigin

__all__ = ["VERSION_RETRY_AFTER", "take_up_stream"]

VERSION_RETRY_AFTER = timedelta(seconds=1)
"""Retry-After while no upstream of a stream's version is there, or while the version is
not known: an upstream that crashed is back, and a gateway that was cut off is heard
again, after some seconds."""


async def take_up_stream(
    deps: ForwarderDependencies, request: ForwardedRequest, reply: Reply
) -> bool:
    """Find where a stream began, so that it goes on there; return whether it may.

    Otherwise the caller is told that its request has not run.
    """
    resumes = request.facts.resumes
    key = None
    if resumes is not None:
        key = compute_stream_key(resumes, request.organisation)
    services = [each.service for each in request.route.backends if each.weight > 0]
    found = await deps.origins.find(key, services)
    _log(deps, request, found)
    if reply.is_caller_gone:
        return False
    if found is None:
        reply.refuse(TakeUpRefusal.ORIGIN_UNKNOWN.value, VERSION_RETRY_AFTER)
        return False
    if found.origin.service not in services:
        reply.refuse(TakeUpRefusal.SERVICE_CHANGED.value, VERSION_RETRY_AFTER)
        return False
    request.origin = found.origin
    request.service = found.origin.service
    if key is not None:
        request.stream_keys = (key, *request.stream_keys)
    return True


def _log(
    deps: ForwarderDependencies, request: ForwardedRequest, found: FoundOrigin | None
) -> None:
    deps.events.record(
        "stream.taken_up",
        request=request.id,
        route=request.route.name,
        resumes=request.facts.resumes or "",
        after=request.last_event or "",
        software_version=found.origin.version if found else "",
        source=found.source if found else "unknown",
    )
