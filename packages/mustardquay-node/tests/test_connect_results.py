"""What attempts to connect show of an upstream."""

import socket
from datetime import timedelta

import pytest

from mustardquay.clocks import SystemClock
from mustardquay.silences import ConnectResult
from mustardquay_node.connections import ConnectionPool, Exchange, ExchangeEnd

BACKLOG = 1
"""Connections that the system accepts for a process which accepts none, less one."""


@pytest.fixture
def listener():
    """Listen without a process that accepts connections, as one that is frozen."""
    with socket.create_server(("127.0.0.1", 0), backlog=BACKLOG) as server:
        yield server


@pytest.fixture
def pool(listener):
    host, port = listener.getsockname()
    limit = timedelta(seconds=1)
    pool = ConnectionPool(f"{host}:{port}", SystemClock(), 8, limit)
    yield pool
    pool.close()


@pytest.fixture
def backlog(listener):
    """Fill the backlog, so that the system drops further attempts to connect."""
    filling = [socket.socket() for _ in range(BACKLOG + 4)]
    for each in filling:
        each.setblocking(False)
        each.connect_ex(listener.getsockname())
    yield
    for each in filling:
        each.close()


async def send(pool):
    return await pool.run(Exchange("GET", "/", {}))


async def test_a_silent_process_is_connected_to(pool):
    assert await pool.probe() is ConnectResult.CONNECTED


async def test_an_attempt_without_a_reply_is_not_a_refusal(pool, backlog):
    """Guards against a silent upstream with a full backlog that counts as crashed."""
    assert await pool.probe() is ConnectResult.TIMED_OUT
    assert await send(pool) == ExchangeEnd.CONNECT_TIMED_OUT


async def test_a_closed_port_refuses(pool, listener):
    listener.close()
    assert await pool.probe() is ConnectResult.REFUSED
    assert await send(pool) == ExchangeEnd.NOT_CONNECTED


async def test_a_pool_at_its_limit_does_not_try(listener):
    host, port = listener.getsockname()
    pool = ConnectionPool(f"{host}:{port}", SystemClock(), 0, timedelta(seconds=1))
    assert await pool.probe() is ConnectResult.NO_ROOM
