"""Writing of requests to upstreams."""

from tornado.http1connection import HTTP1Connection
from tornado.httputil import HTTPHeaders, RequestStartLine

__all__ = ["write_request"]

JOINED_SIZE = 65_536
"""Bytes of a body up to which it is written together with its header. A larger one is
written on its own, of which the stream makes no copy."""


def write_request(
    connection: HTTP1Connection,
    line: RequestStartLine,
    headers: HTTPHeaders,
    body: bytes,
) -> None:
    """Write a whole request."""
    if body or line.method in ("POST", "PUT", "PATCH"):
        headers["Content-Length"] = str(len(body))
    if len(body) <= JOINED_SIZE:
        connection.write_headers(line, headers, body)
    else:
        connection.write_headers(line, headers)
        connection.write(body)
    connection.finish()
