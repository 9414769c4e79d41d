"""Hop-by-hop headers, which apply to one connection and are not forwarded."""

from tornado.httputil import HTTPHeaders

__all__ = ["HOP_HEADERS", "strip_hop_headers"]

HOP_HEADERS = frozenset(
    {
        "connection",
        "content-length",
        "expect",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
"""Headers of one connection (RFC 9110, section 7.6.1), and the length, which is set
again for each hop."""


def strip_hop_headers(headers: HTTPHeaders) -> HTTPHeaders:
    """Return the headers to forward, also without those listed in `Connection`."""
    named = {name.strip().lower() for name in headers.get("Connection", "").split(",")}
    dropped = HOP_HEADERS | named
    kept = HTTPHeaders()
    for name, value in headers.get_all():
        if name.lower() not in dropped:
            kept.add(name, value)
    return kept
