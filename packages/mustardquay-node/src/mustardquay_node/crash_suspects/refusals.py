"""Answers to requests that are refused because they crash upstreams."""

from datetime import timedelta

from ..forwarder_dependencies import ForwardedRequest, ForwarderDependencies
from ..replies import Reply
from .part_reporters import format_part

__all__ = ["refuse_crashing"]

QUARANTINE_RETRY_AFTER = timedelta(seconds=60)
"""Retry-After for a request that crashes upstreams; an earlier retry would be refused
too."""


def refuse_crashing(
    deps: ForwarderDependencies, request: ForwardedRequest, reply: Reply
) -> bool:
    """Answer a request that crashes upstreams, or shares a part that does.

    Returns whether it is one.
    """
    crashes = deps.crashes
    if crashes.is_refused(request.fingerprint):
        count = crashes.count_crashes(request.fingerprint)
        _refuse(request, reply, "quarantine", crashes=count)
        return True
    part = crashes.parts.find_refused(request.parts)
    if part is None:
        return False
    count = crashes.parts.count_crashes(part)
    _refuse(request, reply, "crashing_part", crashes=count, part=format_part(part))
    return True


def _refuse(
    request: ForwardedRequest, reply: Reply, reason: str, **inputs: float | str
) -> None:
    if reply.has_begun:
        reply.break_off()
    elif request.send_history.may_have_run:
        message = "The upstreams crashed on this."
        reply.fail(502, reason, message, **inputs)
    else:
        reply.refuse(reason, QUARANTINE_RETRY_AFTER, **inputs)
