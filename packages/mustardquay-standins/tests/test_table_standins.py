import orjson
import pytest
from tornado.httpclient import AsyncHTTPClient
from tornado.simple_httpclient import HTTPStreamClosedError

from mustardquay import VirtualClock
from mustardquay_standins.tables import TableStandin


@pytest.fixture
async def table():
    table = TableStandin(VirtualClock())
    await table.start()
    yield table
    await table.close()


async def post(server, path, body):
    response = await AsyncHTTPClient().fetch(
        server.url + path, method="POST", body=orjson.dumps(body), raise_error=False
    )
    return response.code, orjson.loads(response.body)


def insert(key, value):
    return {
        "conditions": [{"table": "t", "key": key, "revision": 0}],
        "writes": [{"table": "t", "key": key, "value": value}],
    }


async def test_a_transaction_is_applied_whole_or_not_at_all(table):
    assert await post(table, "/transact", insert("b", {"n": 1})) == (
        200,
        {"revisions": [1]},
    )
    body = insert("b", {"n": 2})
    body["writes"].append({"table": "t", "key": "a", "value": {}})
    status, answer = await post(table, "/transact", body)
    assert (status, answer["rows"][0]["value"]) == (409, {"n": 1})
    assert (await post(table, "/read", {"table": "t", "key": "a"}))[1] == {"row": None}
    await post(table, "/transact", insert("a", {"n": 0}))
    status, answer = await post(table, "/scan", {"table": "t", "after": "", "limit": 9})
    assert [row["key"] for row in answer["rows"]] == ["a", "b"]
    status, answer = await post(table, "/scan", {"table": "t", "after": "a"})
    assert [row["key"] for row in answer["rows"]] == ["b"]


async def test_an_answer_is_lost_after_the_transaction_was_applied(table):
    await post(table, "/faults", {"lose_answers": 1})
    with pytest.raises(HTTPStreamClosedError):
        await post(table, "/transact", insert("a", {}))
    assert table.tables.read("t", "a").revision == 1
    assert (await post(table, "/transact", insert("b", {})))[0] == 200


async def test_calls_over_the_rate_have_no_effect(table):
    table.faults.write_rate = 2.0
    bodies = [insert(str(number), {}) for number in range(3)]
    assert [(await post(table, "/transact", body))[0] for body in bodies] == [
        200,
        200,
        429,
    ]
    assert table.tables.read("t", "2") is None
    assert (table.counters.writes, table.counters.limited) == (2, 1)


async def test_a_service_that_is_down_has_no_effect_and_an_unknown_switch_is_named(
    table,
):
    assert (await post(table, "/faults", {"down": True}))[0] == 200
    assert (await post(table, "/transact", insert("a", {})))[0] == 503
    assert table.tables.read("t", "a") is None
    status, answer = await post(table, "/faults", {"dwn": True})
    assert status == 400
    assert "lose_answers" in answer["error"]
