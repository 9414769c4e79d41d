from datetime import timedelta

from mustardquay.rate_limits import LimitChange, LimitNotice, RateLimiter
from mustardquay.upstream_lists import UpstreamRecord


def at(seconds):
    return timedelta(seconds=seconds)


def test_a_limit_holds_until_an_answer_lifts_it():
    limiter = RateLimiter()
    assert limiter.update("e", 10.0, at(0)) == LimitChange(None, 10.0)
    assert limiter.update("e", 10.5, at(1)) is None
    assert limiter.update("e", 5.0, at(2)) == LimitChange(10.5, 5.0)
    assert limiter.update("e", None, at(3)) == LimitChange(5.0, None)
    assert limiter.get("e", at(3)) is None


def test_an_answer_out_of_order_does_not_lift_a_limit():
    """Guards against losing a limit when it is first announced."""
    limiter = RateLimiter()
    limiter.update("e", 10.0, at(0))
    assert limiter.update("e", None, at(0.1)) is None
    assert limiter.get("e", at(0.2)) == 10.0


def test_a_limit_that_is_not_announced_again_expires():
    """Guards against a limit that slows down sends to an upstream forever."""
    limiter = RateLimiter()
    limiter.update("e", 10.0, at(0))
    assert limiter.get("e", at(9.9)) == 10.0
    assert limiter.get("e", at(10.1)) is None


def make_upstream(id):
    return UpstreamRecord(id, "llm", "10.0.0.1:80", "a", 64, False)


def test_a_limit_is_measured_against_the_demand():
    """Guards against changing engines because of a limit that isn't reached."""
    limiter = RateLimiter()
    for number in range(200):
        limiter.demand.count_request("llm", at(number / 20))
    now = at(10)
    upstreams = [make_upstream("e1"), make_upstream("e2")]
    assert limiter.measure_capacities(upstreams, now) == {}
    limiter.update("e1", 5.0, now)
    assert 0.45 < limiter.measure_capacities(upstreams, now)["e1"] < 0.55
    limiter.update("e1", 50.0, now)
    assert limiter.measure_capacities(upstreams, now)["e1"] == 1.0


def test_an_unused_reservation_is_returned():
    """Guards against losing the tokens of callers that disconnected."""
    limiter, engine = RateLimiter(), make_upstream("e1")
    limiter.update("e1", 2.0, at(0))
    first = limiter.reserve(engine, at(1))
    waited = limiter.predict_wait(engine, at(1))
    second = limiter.reserve(engine, at(1))
    assert (first.at, second.at) == (at(1), at(1 + waited))
    limiter.release(second)
    limiter.release(second)
    assert limiter.predict_wait(engine, at(1)) == waited


def test_a_reported_limit_holds_until_an_own_answer_lifts_it():
    """Guards against a gateway that exceeds a limit until its own first answer."""
    limiter, engine = RateLimiter(), make_upstream("e1")
    notice = LimitNotice("e1", 2.0, at(0.5))
    limiter.apply_notice(notice, at(10))
    assert limiter.get("e1", at(10)) == 2.0
    assert limiter.list_notices(at(10)) == ()
    limiter.update("e1", None, at(11))
    assert limiter.get("e1", at(11)) is None
    limiter.apply_notice(LimitNotice("e1", 2.0, at(1)), at(11.2))
    assert limiter.predict_wait(engine, at(11.2)) == 0.0
