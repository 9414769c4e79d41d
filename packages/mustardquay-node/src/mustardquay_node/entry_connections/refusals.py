"""The answer to a request that a stopping entry does not read to its end."""

from datetime import timedelta

from mustardquay.errors import Reason
from mustardquay.outcomes import Outcome

from ..answers import count_retry_seconds, encode_error

__all__ = ["build_refusal"]

RETRY_AFTER = timedelta(seconds=1)
STATUS = 503


def build_refusal() -> bytes:
    """Return the bytes of the answer, after which the connection is closed."""
    outcome = Outcome.NOT_RUN.value
    message = "This entry is stopping; send the request to another."
    body = encode_error(STATUS, message, Reason.DRAINING.value, None, outcome)
    lines = (
        f"HTTP/1.1 {STATUS} Service Unavailable",
        "Content-Type: application/json",
        f"Content-Length: {len(body)}",
        f"Mustardquay-Outcome: {outcome}",
        f"Retry-After: {count_retry_seconds(RETRY_AFTER)}",
        "Connection: close",
        "",
        "",
    )
    return "\r\n".join(lines).encode() + body
