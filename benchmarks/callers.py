"""Cost of owning the requests of callers, compared with tornado's bare server.

Both servers answer each request at once, on one kept connection. The processor time of
the client is in both figures, so that their difference is the cost of a gateway's part.
"""

import asyncio
import socket
import time
from collections.abc import Callable
from datetime import timedelta
from random import Random

import typer
from tornado.http1connection import HTTP1Connection, HTTP1ServerConnection
from tornado.httpserver import HTTPServer
from tornado.httputil import (
    HTTPHeaders,
    HTTPMessageDelegate,
    HTTPServerConnectionDelegate,
    ResponseStartLine,
)
from tornado.netutil import bind_sockets

from mustardquay.clocks import SystemClock
from mustardquay.events import EventRing, HybridClock
from mustardquay.memory_limits import MemoryLimits, ProcessMemory
from mustardquay.routing_tables import CallerLimits
from mustardquay_node.caller_connections import (
    CallerAnswer,
    CallerConnections,
    CallerRequest,
    ConnectionOptions,
)
from mustardquay_node.caller_connections.limit_watches import LimitWatch
from mustardquay_node.caller_connections.lingering import Lingerer
from mustardquay_node.caller_connections.owned_connections import (
    ConnectionDependencies,
    OwnedConnection,
)
from mustardquay_node.gateway_servers import GatewayServers
from mustardquay_node.memory_guards import MemoryGuard, measure_resident

__all__ = ["run"]

REQUEST = (
    b"POST / HTTP/1.1\r\nHost: a.example\r\nContent-Length: 200\r\n\r\n" + b"x" * 200
)
BODY = b"whole"
MICROSECOND = timedelta(microseconds=1)
BUDGET = 50_000_000
"""Bytes that the limited server may hold, which it does not come near to."""
ROUNDS = 15
"""Rounds of both servers in turn; the quickest of each counts."""


class BareReader(HTTPMessageDelegate):
    """Answers a request with no more than tornado needs."""

    def __init__(self, connection: HTTP1Connection):
        self._connection = connection

    def headers_received(self, start_line: object, headers: HTTPHeaders) -> None:
        """Note nothing of the header."""

    def data_received(self, chunk: bytes) -> None:
        """Drop the body."""

    def finish(self) -> None:
        """Answer the request."""
        headers = HTTPHeaders({"Content-Length": str(len(BODY))})
        line = ResponseStartLine("HTTP/1.1", 200, "OK")
        self._connection.write_headers(line, headers, BODY)
        self._connection.finish()


class BareServer(HTTPServerConnectionDelegate):
    """Makes a bare reader for each request."""

    def start_request(
        self, server_conn: HTTP1ServerConnection, request_conn: HTTP1Connection
    ) -> HTTPMessageDelegate:
        """Return the reader of a request."""
        return BareReader(request_conn)

    def on_close(self, server_conn: HTTP1ServerConnection) -> None:
        """Note nothing of a close."""


def answer_at_once(request: CallerRequest, answer: CallerAnswer) -> None:
    """Answer a request of a caller."""
    answer.send(200, HTTPHeaders(), BODY)


def listen_bare() -> int:
    """Start tornado's server; returns its port."""
    server = HTTPServer(BareServer())
    sockets = bind_sockets(0, "127.0.0.1")
    server.add_sockets(sockets)
    return sockets[0].getsockname()[1]


def listen_limited() -> int:
    """Start the server of a gateway with a limit of memory; returns its port."""
    clock = SystemClock()
    events = EventRing("g", HybridClock(clock), 100)
    process = ProcessMemory(measure_resident() + 2 * BUDGET, measure_resident())
    guard = MemoryGuard(MemoryLimits(BUDGET), process, clock, events, Random(1))
    return listen_owned(guard)


def listen_owned(memory: MemoryGuard | None = None) -> int:
    """Start the server of a gateway; returns its port."""
    clock = SystemClock()
    events = EventRing("g", HybridClock(clock), 100)
    limits = CallerLimits()
    options = ConnectionOptions(clock, events, lambda: limits, answer_at_once, memory)
    connections = CallerConnections(options)
    connections.start()
    servers = GatewayServers()
    address = servers.listen_to_callers("127.0.0.1:0", connections)
    return int(address.rpartition(":")[2])


async def measure(listen: Callable[[], int], requests: int) -> timedelta:
    """Return the processor time of one request."""
    loop = asyncio.get_running_loop()
    caller = socket.create_connection(("127.0.0.1", listen()))
    caller.setblocking(False)
    began = time.process_time()
    for _ in range(requests):
        await loop.sock_sendall(caller, REQUEST)
        data = await loop.sock_recv(caller, 4096)
        while not data.endswith(BODY):
            data += await loop.sock_recv(caller, 4096)
    taken = timedelta(seconds=time.process_time() - began)
    caller.close()
    return taken / requests


def measure_owner(requests: int) -> timedelta:
    """Return the processor time of the owner's notes on one request."""
    clock = SystemClock()
    watch = LimitWatch(clock, CallerLimits)
    deps = ConnectionDependencies(
        clock,
        EventRing("g", HybridClock(clock), 100),
        Lingerer(),
        note_phase=watch.watch,
        note_header=watch.forget,
        note_closed=watch.forget,
    )
    ours, theirs = socket.socketpair()
    owned = OwnedConnection(deps, 1)
    stream = owned.open_stream(ours)
    data = bytearray(len(REQUEST))
    spent = 0.0
    for _ in range(requests):
        theirs.sendall(REQUEST)
        began = time.process_time()
        owned.begin_request()
        stream.read_from_fd(data)
        owned.note_header()
        owned.ownership.note_whole()
        owned.ownership.note_answer_begun()
        owned.ownership.note_answer_ended()
        spent += time.process_time() - began
    stream.close()
    theirs.close()
    return timedelta(seconds=spent) / requests


async def measure_owners(requests: int) -> timedelta:
    """Return the least processor time of the owner's notes on one request."""
    return min(measure_owner(requests) for _ in range(ROUNDS))


def run(short: bool) -> bool:
    """Print what a request costs at both servers."""
    requests = 500 if short else 1500
    servers = {"bare": listen_bare, "owned": listen_owned, "limited": listen_limited}
    costs: dict[str, list[timedelta]] = {name: [] for name in servers}
    for _ in range(ROUNDS):
        for name, listen in servers.items():
            costs[name].append(asyncio.run(measure(listen, requests)))
    best = {name: min(each) / MICROSECOND for name, each in costs.items()}
    typer.echo(f"microseconds of a request at tornado's server: {best['bare']:.1f}")
    typer.echo(f"at the connections of a gateway: {best['owned']:.1f}")
    typer.echo(f"there with a limit of memory: {best['limited']:.1f}")
    owner = asyncio.run(measure_owners(requests)) / MICROSECOND
    typer.echo(f"of it, the read from the socket and the owner's notes: {owner:.1f}")
    return True
