"""Simulations of gateways that share one rate limit, in steps of virtual time."""

from bisect import bisect_left
from datetime import timedelta
from random import Random

import pytest

from mustardquay.rate_limits import RateLimiter
from mustardquay.upstream_lists import UpstreamRecord

ENGINE = UpstreamRecord("e", "llm", "10.0.0.1:80", "a", 64, False)
STEP = 0.01
"""Seconds."""
WINDOW = 4.0
"""Seconds over which the requests to the engine are counted."""
SETTLED = 3.0
"""Seconds after the first answer with a limit, from which on it must be kept."""
MAX_WAIT = 0.15
"""Maximum seconds that a request waits for its reservation."""
ANSWER_TIME = 0.02
"""Seconds from a send to its answer, which announces the limit again."""
LOST_FRACTION = 0.03
"""Fraction of the digests that are lost."""
RECIPIENTS_PER_SIDE = 8
"""Number of gateways on each side of a gateway to which it sends digests."""


class Fleet:
    """Gateways that send to one engine with a rate limit."""

    def __init__(self, size, limit, loads, is_running=None, partitioned=()):
        """Set up gateways with `loads(gateway, now)` requests per second each.

        `is_running(gateway, now)` returns whether a gateway is running; gateways
        in `partitioned` neither send nor receive digests.
        """
        self.size, self.limit, self.loads = size, limit, loads
        self.is_running = is_running or (lambda gateway, now: True)
        self.partitioned = set(partitioned)
        self.random = Random(7)
        self.limiters = {}
        self.sent = []
        self.answers = []
        self.interval = max(0.04, 0.01 * min(size - 1, 2 * RECIPIENTS_PER_SIDE))
        self.next_digest_at = [
            self.random.random() * self.interval for _ in range(size)
        ]

    def list_recipients(self, gateway):
        others = [(gateway + step) % self.size for step in range(1, self.size)]
        if len(others) <= 2 * RECIPIENTS_PER_SIDE:
            return others
        return others[:RECIPIENTS_PER_SIDE] + others[-RECIPIENTS_PER_SIDE:]

    def run(self, seconds=16.0):
        for number in range(int(seconds / STEP)):
            now = number * STEP
            for gateway in range(self.size):
                if not self.is_running(gateway, now):
                    self.limiters.pop(gateway, None)
                    continue
                if gateway not in self.limiters:
                    self.start(gateway, now)
                self.send_digest(gateway, now)
                self.accept_callers(gateway, now)
            self.answer(now)
        return self

    def start(self, gateway, now):
        limiter = self.limiters[gateway] = RateLimiter()
        recipients = [str(each) for each in self.list_recipients(gateway)]
        unlinked = self.size - 1 - len(recipients)
        limiter.demand.set_gateways(recipients, unlinked, timedelta(seconds=now))

    def send_digest(self, gateway, now):
        if now < self.next_digest_at[gateway]:
            return
        self.next_digest_at[gateway] = now + self.interval
        at = timedelta(seconds=now)
        limiter = self.limiters[gateway]
        demands = limiter.demand.list_demands(at) if limiter.has_limits(at) else None
        notices = limiter.list_notices(at)
        for other in self.list_recipients(gateway):
            is_partitioned = gateway in self.partitioned or other in self.partitioned
            if (
                is_partitioned
                or other not in self.limiters
                or self.random.random() < LOST_FRACTION
            ):
                continue
            recipient = self.limiters[other]
            recipient.demand.apply_demands(str(gateway), demands, at)
            for notice in notices:
                recipient.apply_notice(notice, at)

    def accept_callers(self, gateway, now):
        if self.random.random() >= self.loads(gateway, now) * STEP:
            return
        at = timedelta(seconds=now)
        limiter = self.limiters[gateway]
        limiter.demand.count_request(ENGINE.service, at)
        if limiter.predict_wait(ENGINE, at) <= MAX_WAIT:
            send_at = limiter.reserve(ENGINE, at).at.total_seconds()
            self.sent.append(send_at)
            self.answers.append((send_at + ANSWER_TIME, gateway))

    def answer(self, now):
        due = [each for each in self.answers if each[0] <= now]
        self.answers = [each for each in self.answers if each[0] > now]
        for _, gateway in due:
            if gateway in self.limiters:
                at = timedelta(seconds=now)
                self.limiters[gateway].update(ENGINE.id, self.limit, at)

    @property
    def max_in_window(self):
        """The maximum number of requests in one window."""
        times = sorted(at for at in self.sent if at >= SETTLED)
        return max(
            bisect_left(times, at + WINDOW) - index for index, at in enumerate(times)
        )

    @property
    def used_fraction(self):
        """The fraction of the limit that was used after it had settled."""
        times = [at for at in self.sent if SETTLED + WINDOW <= at < 16.0]
        return len(times) / (16.0 - SETTLED - WINDOW) / self.limit


def find_max_requests(limit):
    return 1.5 * limit * WINDOW + 5


LIMITS = [1.0, 4.0, 10.0, 40.0]
LOAD_FACTOR = 6
"""Request rate of all callers, as a multiple of the limit."""


@pytest.mark.parametrize("limit", LIMITS)
@pytest.mark.parametrize("size", [3, 30])
def test_gateways_with_the_same_load_keep_the_limit(size, limit):
    """Guards against gateways that each use the whole limit."""
    fleet = Fleet(size, limit, lambda gateway, now: LOAD_FACTOR * limit / size).run()
    assert fleet.max_in_window <= find_max_requests(limit)


@pytest.mark.parametrize("limit", [10.0, 40.0])
@pytest.mark.parametrize("size", [3, 30])
def test_gateways_with_the_same_load_use_most_of_the_limit(size, limit):
    """Guards against refusing callers although the engine has capacity."""
    fleet = Fleet(size, limit, lambda gateway, now: LOAD_FACTOR * limit / size).run()
    assert fleet.used_fraction >= 0.75


@pytest.mark.parametrize("limit", LIMITS)
def test_one_of_three_gateways_with_all_callers_uses_most_of_the_limit(limit):
    """Guards against leaving two thirds of the limit unused."""
    load = LOAD_FACTOR * limit
    fleet = Fleet(3, limit, lambda gateway, now: load if not gateway else 0).run()
    assert fleet.max_in_window <= find_max_requests(limit)
    assert fleet.used_fraction >= 0.75


@pytest.mark.parametrize("limit", LIMITS)
@pytest.mark.parametrize("apart", [3, 10, 15])
def test_a_few_of_thirty_gateways_with_all_callers_keep_the_limit(apart, limit):
    """Guards against busy gateways that receive no digests from each other."""
    load = LOAD_FACTOR * limit * apart / 30
    fleet = Fleet(30, limit, lambda gateway, now: 0 if gateway % apart else load).run()
    assert fleet.max_in_window <= find_max_requests(limit)


@pytest.mark.parametrize("size", [3, 30])
def test_callers_who_move_from_gateway_to_gateway_keep_the_limit(size):
    """Guards against a share that two gateways use at the same time."""
    fleet = Fleet(
        size, 10.0, lambda gateway, now: 60.0 * (int(now / 2) % size == gateway)
    ).run()
    assert fleet.max_in_window <= find_max_requests(10.0)


@pytest.mark.parametrize("size", [3, 30])
def test_gateways_that_start_keep_the_limit(size):
    """Guards against a gateway that uses the whole limit before the first digests."""

    def is_running_at(gateway, now):
        return gateway < size / 2 or now > 6.0

    fleet = Fleet(size, 10.0, lambda gateway, now: 60.0 / size, is_running_at).run()
    assert fleet.max_in_window <= find_max_requests(10.0)


@pytest.mark.parametrize("size", [3, 30])
def test_a_partitioned_gateway_keeps_its_share(size):
    """Guards against both sides of a network partition using the whole limit."""
    fleet = Fleet(size, 10.0, lambda gateway, now: 60.0 / size, partitioned=[0]).run()
    assert fleet.max_in_window <= find_max_requests(10.0)


def test_the_share_of_a_removed_gateway_is_redistributed():
    """Guards against a share that stays reserved for a removed gateway."""

    def is_running_at(gateway, now):
        return gateway or now < 1.0

    fleet = Fleet(3, 10.0, lambda gateway, now: 30.0, is_running_at).run(24.0)
    assert fleet.max_in_window <= find_max_requests(10.0)
    late = [at for at in fleet.sent if 14.0 <= at < 24.0]
    assert len(late) / 10.0 >= 0.8 * 10.0
