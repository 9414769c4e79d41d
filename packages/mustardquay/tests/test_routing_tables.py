from datetime import timedelta

import pytest

from mustardquay.routing_tables import (
    Backend,
    Repeat,
    Route,
    RoutingTable,
    choose_backend,
)

SECOND = timedelta(seconds=1)


def make_route(name, host, prefix):
    backends = (Backend("app", 1),)
    return Route(name, host, prefix, Repeat.IDEMPOTENT, backends, SECOND, SECOND)


TABLE = RoutingTable(
    7,
    (
        make_route("short", "a.example", "/x/"),
        make_route("long", "a.example", "/x/y/"),
        make_route("other", "b.example", "/"),
    ),
    {},
)


@pytest.mark.parametrize(
    ("host", "path", "name"),
    [
        ("a.example", "/x/1", "short"),
        ("a.example", "/x/y/1", "long"),
        ("a.example", "/x/y", "short"),
        ("A.EXAMPLE:8144", "/x/y/", "long"),
        ("a.example", "/x/1?next=/x/y/", "short"),
        ("b.example", "/anything", "other"),
    ],
)
def test_the_longest_prefix_of_the_host_wins(host, path, name):
    assert TABLE.find_route(host, path).name == name


@pytest.mark.parametrize(
    ("host", "path"), [("a.example", "/z/"), ("a.example", "/x"), ("c.example", "/x/")]
)
def test_an_unknown_host_or_path_has_no_route(host, path):
    assert TABLE.find_route(host, path) is None


def test_backends_get_their_share_and_none_without_weight():
    backends = (Backend("a", 3), Backend("none", 0), Backend("b", 1))
    chosen = [choose_backend(backends, draw / 100) for draw in range(100)]
    assert chosen.count("a") == 75
    assert chosen.count("b") == 25


def test_a_route_without_backends_has_no_service():
    assert choose_backend((), 0.5) is None
