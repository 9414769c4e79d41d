"""Invariants of the fair queue and of the usage meter that it uses."""

from dataclasses import replace
from datetime import timedelta

from hypothesis import given, settings, strategies as st

from mustardquay.admissions import UsageMeter
from mustardquay.errors import Reason
from mustardquay.queues import FairQueue
from mustardquay.works import Work

CHECK = settings(derandomize=True, deadline=None, database=None, max_examples=25)
SHARES = {"small": 0.1, "middle": 0.3, "large": 0.6}


def span(seconds):
    return timedelta(seconds=seconds)


def make_work(number, customer="small", tokens=1000, start_by=1000.0, **changes):
    return Work(
        f"r{number}",
        1,
        customer,
        "m",
        prompt_tokens=tokens,
        output_tokens=changes.pop("output_tokens", 1),
        share=SHARES.get(customer, 0.1),
        start_by=span(start_by),
        **changes,
    )


def serve(queue, now, seconds):
    """Serve work one at a time, offering new work of the same customer after each.

    Returns the tokens served per customer and the time at the end.
    """
    served = dict.fromkeys(SHARES, 0)
    end = now + seconds
    while now < end:
        work = queue.take(span(now))
        now += work.uncached_tokens / 1000.0
        queue.note_first_token(work.key, span(now))
        queue.finish(work.key, 1, span(now))
        served[work.customer] += work.uncached_tokens
        again = replace(work, attempt=work.attempt + 1)
        assert queue.offer(again, span(now)) is None
    return served, now


@CHECK
@given(st.permutations(list(SHARES)), st.integers(500, 2000))
def test_backlogged_customers_get_their_shares(order, tokens):
    queue = FairQueue(prefill_rate=1000.0, lookahead=timedelta())
    for number in range(60):
        queue.offer(make_work(number, order[number % 3], tokens, 1e6), span(0))
    _, now = serve(queue, 0.0, 60.0)
    served, _ = serve(queue, now, 240.0)
    total = sum(served.values())
    for customer, share in SHARES.items():
        assert abs(served[customer] / total - share) < 0.08


@CHECK
@given(st.lists(st.integers(1, 4000), min_size=1, max_size=40), st.integers(0, 39))
def test_no_starvation_in_a_flood(sizes, position):
    queue = FairQueue(prefill_rate=1000.0, lookahead=timedelta())
    for number, tokens in enumerate(sizes):
        queue.offer(make_work(number, "large", tokens, 1e6), span(0))
    queue.offer(make_work("own", "small", 500, 1e6), span(0))
    taken = []
    now = 0.0
    while (work := queue.take(span(now))) is not None:
        taken.append(work.customer)
        now += work.uncached_tokens / 1000.0
        queue.finish(work.key, 1, span(now))
    assert len(taken) == len(sizes) + 1
    # At a share of 0.1 the work counts for ten times its own cost in virtual time; no
    # more than that of the flood may be ahead of it.
    ahead = sizes[: taken.index("small")]
    assert sum(ahead) / 0.6 <= 500 / 0.1 + max(sizes) / 0.6 + 1e-6


@CHECK
@given(st.lists(st.floats(10, 900), min_size=2, max_size=30, unique=True))
def test_deadlines_are_monotone_within_a_customer(deadlines):
    queue = FairQueue(prefill_rate=1e6, lookahead=span(1e6))
    for number, deadline in enumerate(deadlines):
        queue.offer(make_work(number, tokens=10, start_by=deadline), span(0))
    taken = []
    while (work := queue.take(span(0))) is not None:
        taken.append(work.start_by)
    assert taken == sorted(taken)


@CHECK
@given(
    st.lists(
        st.tuples(
            st.sampled_from(["offer", "take", "finish", "withdraw", "expire"]),
            st.integers(0, 30),
            st.floats(0, 5),
            st.integers(1, 9000),
        ),
        max_size=120,
    )
)
def test_every_work_is_accounted_for_once(steps):
    queue = FairQueue(capacity=10, concurrency=4, prefill_rate=5000.0)
    waiting, running, number, now = {}, {}, 0, 0.0
    for action, choice, seconds, tokens in steps:
        now += seconds / 10
        if action == "offer":
            number += 1
            customer = sorted(SHARES)[choice % 3]
            work = make_work(number, customer, tokens, now + seconds)
            refusal = queue.offer(work, span(now))
            if refusal is None:
                waiting[work.key] = work
            else:
                assert refusal.retry_after > timedelta()
                assert refusal.reason in (Reason.DEADLINE, Reason.OVERLOAD)
        elif action == "take":
            work = queue.take(span(now))
            if work is not None:
                assert work.start_by >= span(now)
                running[work.key] = waiting.pop(work.key)
        elif action == "finish" and running:
            key = sorted(running)[choice % len(running)]
            del running[key]
            queue.finish(key, 3, span(now))
        elif action == "withdraw" and waiting:
            key = sorted(waiting)[choice % len(waiting)]
            assert queue.withdraw(key)
            assert not queue.withdraw(key)
            del waiting[key]
        elif action == "expire":
            for work in queue.expire(span(now)):
                del waiting[work.key]
        assert queue.running == len(running) <= 4
        assert queue.waiting <= len(waiting) <= 10 + queue.running + number
    for work in queue.expire(span(now)):
        del waiting[work.key]
    assert queue.waiting == len(waiting)
    assert queue.waiting_tokens == sum(w.uncached_tokens for w in waiting.values())
    assert 0 <= queue.waiting_tokens_within <= queue.waiting_tokens


def test_a_customer_within_its_share_overtakes_a_flood():
    """Guards against a short request being refused while another customer floods.

    The flooding customer fills the queue first; in order of arrival all its prompts
    would be served before the short request.
    """
    usage = UsageMeter("agent")
    usage.charge("large", 1000.0, span(0))
    queue = FairQueue(prefill_rate=1000.0, usage=usage)
    for number in range(50):
        queue.offer(make_work(number, "large", 1000, 1e6), span(0))
    assert queue.offer(make_work("own", "small", 100, 1.0), span(0)) is None
    assert queue.take(span(0)).customer == "small"


def test_priority_decides_between_customers_within_their_shares():
    queue = FairQueue(prefill_rate=1e6, lookahead=span(100))
    queue.offer(make_work(1, "large", start_by=10.0), span(0))
    queue.offer(make_work(2, "small", start_by=20.0, priority=3), span(0))
    assert [queue.take(span(0)).customer for _ in range(2)] == ["small", "large"]


def test_the_last_slots_are_kept_for_those_within_their_share():
    """Guards against a customer waiting seconds for a slot while another floods.

    Long answers of the flooding customer would use all slots of the engine, so that a
    slot becomes free only when one of them ends, although the other customer has been
    idle.
    """
    queue = FairQueue(concurrency=16, prefill_rate=1e6, lookahead=span(100))
    for number in range(40):
        queue.offer(make_work(number, "small"), span(0))
    while queue.take(span(0)) is not None:
        pass
    assert queue.running < 16
    queue.offer(make_work("own", "large"), span(0))
    assert queue.take(span(0)).customer == "large"


def test_late_first_tokens_lead_to_refusals():
    """Guards against accepting work that is then answered too late.

    The engine has become slower than its reported rate, and the queue must not keep
    relying on that rate.
    """
    queue = FairQueue(prefill_rate=10_000.0, lookahead=timedelta())
    now = 0.0
    for number in range(60):
        queue.offer(make_work(number, tokens=1000, start_by=now + 5), span(now))
        work = queue.take(span(now))
        now += 0.6
        queue.note_first_token(work.key, span(now))
        queue.finish(work.key, 1, span(now))
    late = make_work("late", tokens=1000, start_by=now + 0.3)
    refusal = queue.offer(late, span(now))
    assert refusal.reason is Reason.DEADLINE
    assert refusal.retry_after >= timedelta(milliseconds=100)


@CHECK
@given(st.lists(st.tuples(st.integers(0, 500), st.floats(0, 5)), max_size=200))
def test_usage_is_bounded_and_never_negative(charges):
    meter = UsageMeter("a", capacity=20)
    now = 0.0
    for number, seconds in charges:
        now += 0.01
        meter.charge(f"c{number}", seconds - 1.0, span(now))
        assert meter.rate(f"c{number}", span(now)) >= 0.0
    digest = meter.digest(span(now))
    assert len(digest.seconds) <= 20


def test_a_digest_counts_once_and_expires():
    here, there = UsageMeter("here"), UsageMeter("there")
    there.charge("c", 20.0, span(0))
    digest = there.digest(span(0))
    for _ in range(3):
        here.merge(digest, span(0))
    assert here.rate("c", span(0)) == 1.0
    here.merge(UsageMeter("other").digest(span(60)), span(60))
    assert here.rate("c", span(60)) == 0.0


def test_idle_customers_are_evicted():
    queue = FairQueue(capacity=10, prefill_rate=1e6, lookahead=span(100))
    for number in range(500):
        queue.offer(make_work(number, f"c{number}"), span(0))
        work = queue.take(span(0))
        queue.finish(work.key, 1, span(0))
    assert len(queue._flows) <= 21


@CHECK
@given(st.floats(allow_nan=True, allow_infinity=True))
def test_wrong_rates_are_ignored(rate):
    queue = FairQueue(prefill_rate=5000.0)
    queue.set_engine(32, rate if not 1.0 <= rate < 1e7 else 0.0, rate)
    assert queue.offer(make_work(1, tokens=4000, start_by=1.0), span(0)) is None


def test_late_work_is_refused_with_the_predicted_wait():
    queue = FairQueue(prefill_rate=1000.0, lookahead=timedelta())
    queue.offer(make_work(1, tokens=3000, start_by=9.0), span(0))
    assert queue.take(span(0)) is not None
    queue.offer(make_work(2, tokens=100, start_by=3.5), span(0))
    (late,) = queue.expire(span(3.45))
    assert queue.refuse_late(late, span(2)).retry_after == span(1)
    assert queue.refuse_late(late, span(9)).retry_after == span(0.1)
