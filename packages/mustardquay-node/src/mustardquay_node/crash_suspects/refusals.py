"""Answers to requests that are refused because they crash upstreams."""

from datetime import timedelta

from ..forwarder_dependencies import ForwardedRequest, ForwarderDependencies
from ..replies import Failure, Reply
from .part_reporters import format_part

__all__ = ["refuse_crashing"]

CRASHED = Failure(502, "The upstreams crashed on this.")
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
        siblings = crashes.count_sibling_crashes(request.fingerprint)
        inputs = {"crashes": count, "sibling_crashes": siblings}
        reply.refuse("quarantine", QUARANTINE_RETRY_AFTER, CRASHED, **inputs)
        return True
    part = crashes.parts.find_refused(request.parts)
    if part is None:
        return False
    count = crashes.parts.count_crashes(part)
    inputs = {"crashes": count, "part": format_part(part)}
    reply.refuse("crashing_part", QUARANTINE_RETRY_AFTER, CRASHED, **inputs)
    return True
