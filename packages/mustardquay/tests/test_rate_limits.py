from datetime import timedelta

from mustardquay.rate_limits import LimitChange, LimitNotice, RateLimiter
from mustardquay.upstream_lists import UpstreamRecord


def at(seconds):
    return timedelta(seconds=seconds)


def test_a_limit_holds_until_answers_stop_naming_it():
    book = RateLimiter()
    assert book.update("e", 10.0, at(0)) == LimitChange(None, 10.0)
    assert book.update("e", 10.5, at(1)) is None
    assert book.update("e", 5.0, at(2)) == LimitChange(10.5, 5.0)
    assert book.update("e", None, at(3)) == LimitChange(5.0, None)
    assert book.get("e", at(3)) is None


def test_an_answer_that_was_overtaken_does_not_end_a_limit():
    """Guards against losing a limit when it is first announced."""
    book = RateLimiter()
    book.update("e", 10.0, at(0))
    assert book.update("e", None, at(0.1)) is None
    assert book.get("e", at(0.2)) == 10.0


def test_a_limit_that_no_answer_names_again_lapses():
    """Guards against a limit that slows down sends to an upstream forever."""
    book = RateLimiter()
    book.update("e", 10.0, at(0))
    assert book.get("e", at(9.9)) == 10.0
    assert book.get("e", at(10.1)) is None


def make_upstream(id):
    return UpstreamRecord(id, "llm", "10.0.0.1:80", "a", 64, False)


def test_a_limit_is_measured_by_what_callers_ask():
    """Guards against changing engines because of a limit that isn't reached."""
    book = RateLimiter()
    for number in range(200):
        book.demand.count_request("llm", at(number / 20))
    now = at(10)
    upstreams = [make_upstream("e1"), make_upstream("e2")]
    assert book.measure_capacities(upstreams, now) == {}
    book.update("e1", 5.0, now)
    assert 0.45 < book.measure_capacities(upstreams, now)["e1"] < 0.55
    book.update("e1", 50.0, now)
    assert book.measure_capacities(upstreams, now)["e1"] == 1.0


def test_a_turn_that_is_not_used_is_given_back():
    """Guards against losing the tokens of callers that disconnected."""
    book, engine = RateLimiter(), make_upstream("e1")
    book.update("e1", 2.0, at(0))
    first = book.reserve(engine, at(1))
    waited = book.predict_wait(engine, at(1))
    second = book.reserve(engine, at(1))
    assert (first.at, second.at) == (at(1), at(1 + waited))
    book.release(second)
    book.release(second)
    assert book.predict_wait(engine, at(1)) == waited


def test_a_limit_that_another_gateway_tells_holds_until_own_answers_name_none():
    """Guards against a gateway that exceeds a limit until its own first answer."""
    book, engine = RateLimiter(), make_upstream("e1")
    notice = LimitNotice("e1", 2.0, at(0.5))
    book.apply_notice(notice, at(10))
    assert book.get("e1", at(10)) == 2.0
    assert book.list_notices(at(10)) == ()
    book.update("e1", None, at(11))
    assert book.get("e1", at(11)) is None
    book.apply_notice(LimitNotice("e1", 2.0, at(1)), at(11.2))
    assert book.predict_wait(engine, at(11.2)) == 0.0
