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
LONGEST_TURN = 0.15
"""Maximum seconds that a request waits for its reservation."""
ANSWERED = 0.02
"""Seconds from a send to its answer, which announces the limit again."""
LOST = 0.03
"""Fraction of the digests that are lost."""
TOLD_SIDE = 8
"""Number of gateways on each side of a gateway to which it sends digests."""


class Fleet:
    """Gateways that send to one engine with a rate limit."""

    def __init__(self, size, limit, loads, living=None, cut_off=()):
        """Set up gateways with `loads(gateway, now)` requests per second each.

        `living(gateway, now)` returns whether a gateway is running; gateways in
        `cut_off` neither send nor receive digests.
        """
        self.size, self.limit, self.loads = size, limit, loads
        self.living = living or (lambda gateway, now: True)
        self.cut_off = set(cut_off)
        self.random = Random(7)
        self.books = {}
        self.sent = []
        self.answers = []
        self.interval = max(0.04, 0.01 * min(size - 1, 2 * TOLD_SIDE))
        self.told_at = [self.random.random() * self.interval for _ in range(size)]

    def list_told(self, gateway):
        others = [(gateway + step) % self.size for step in range(1, self.size)]
        if len(others) <= 2 * TOLD_SIDE:
            return others
        return others[:TOLD_SIDE] + others[-TOLD_SIDE:]

    def run(self, seconds=16.0):
        for number in range(int(seconds / STEP)):
            now = number * STEP
            for gateway in range(self.size):
                if not self.living(gateway, now):
                    self.books.pop(gateway, None)
                    continue
                if gateway not in self.books:
                    self.start(gateway, now)
                self.tell(gateway, now)
                self.take_callers(gateway, now)
            self.answer(now)
        return self

    def start(self, gateway, now):
        book = self.books[gateway] = RateLimiter()
        told = [str(each) for each in self.list_told(gateway)]
        unlinked = self.size - 1 - len(told)
        book.demand.set_gateways(told, unlinked, timedelta(seconds=now))

    def tell(self, gateway, now):
        if now < self.told_at[gateway]:
            return
        self.told_at[gateway] = now + self.interval
        at = timedelta(seconds=now)
        book = self.books[gateway]
        demands = book.demand.list_demands(at) if book.has_limits(at) else None
        notices = book.list_notices(at)
        for other in self.list_told(gateway):
            is_cut = gateway in self.cut_off or other in self.cut_off
            if is_cut or other not in self.books or self.random.random() < LOST:
                continue
            heard = self.books[other]
            heard.demand.apply_demands(str(gateway), demands, at)
            for notice in notices:
                heard.apply_notice(notice, at)

    def take_callers(self, gateway, now):
        if self.random.random() >= self.loads(gateway, now) * STEP:
            return
        at = timedelta(seconds=now)
        book = self.books[gateway]
        book.demand.count_request(ENGINE.service, at)
        if book.predict_wait(ENGINE, at) <= LONGEST_TURN:
            turn_at = book.reserve(ENGINE, at).at.total_seconds()
            self.sent.append(turn_at)
            self.answers.append((turn_at + ANSWERED, gateway))

    def answer(self, now):
        due = [each for each in self.answers if each[0] <= now]
        self.answers = [each for each in self.answers if each[0] > now]
        for _, gateway in due:
            if gateway in self.books:
                at = timedelta(seconds=now)
                self.books[gateway].update(ENGINE.id, self.limit, at)

    @property
    def most(self):
        """The maximum number of requests in one window."""
        times = sorted(at for at in self.sent if at >= SETTLED)
        return max(
            bisect_left(times, at + WINDOW) - index for index, at in enumerate(times)
        )

    @property
    def used(self):
        """The fraction of the limit that was used after it had settled."""
        times = [at for at in self.sent if SETTLED + WINDOW <= at < 16.0]
        return len(times) / (16.0 - SETTLED - WINDOW) / self.limit


def allow(limit):
    return 1.5 * limit * WINDOW + 5


LIMITS = [1.0, 4.0, 10.0, 40.0]
ASKED = 6
"""Request rate of all callers, as a multiple of the limit."""


@pytest.mark.parametrize("limit", LIMITS)
@pytest.mark.parametrize("size", [3, 30])
def test_gateways_with_the_same_load_keep_the_limit(size, limit):
    """Guards against gateways that each use the whole limit."""
    fleet = Fleet(size, limit, lambda gateway, now: ASKED * limit / size).run()
    assert fleet.most <= allow(limit)


@pytest.mark.parametrize("limit", [10.0, 40.0])
@pytest.mark.parametrize("size", [3, 30])
def test_gateways_with_the_same_load_use_most_of_the_limit(size, limit):
    """Guards against refusing callers although the engine has capacity."""
    fleet = Fleet(size, limit, lambda gateway, now: ASKED * limit / size).run()
    assert fleet.used >= 0.75


@pytest.mark.parametrize("limit", LIMITS)
def test_one_of_three_gateways_with_all_callers_uses_most_of_the_limit(limit):
    """Guards against leaving two thirds of the limit unused."""
    load = ASKED * limit
    fleet = Fleet(3, limit, lambda gateway, now: load if not gateway else 0).run()
    assert fleet.most <= allow(limit)
    assert fleet.used >= 0.75


@pytest.mark.parametrize("limit", LIMITS)
@pytest.mark.parametrize("apart", [3, 10, 15])
def test_a_few_of_thirty_gateways_with_all_callers_keep_the_limit(apart, limit):
    """Guards against busy gateways that receive no digests from each other."""
    load = ASKED * limit * apart / 30
    fleet = Fleet(30, limit, lambda gateway, now: 0 if gateway % apart else load).run()
    assert fleet.most <= allow(limit)


@pytest.mark.parametrize("size", [3, 30])
def test_callers_who_move_from_gateway_to_gateway_keep_the_limit(size):
    """Guards against a share that two gateways use at the same time."""
    fleet = Fleet(
        size, 10.0, lambda gateway, now: 60.0 * (int(now / 2) % size == gateway)
    ).run()
    assert fleet.most <= allow(10.0)


@pytest.mark.parametrize("size", [3, 30])
def test_gateways_that_start_keep_the_limit(size):
    """Guards against a gateway that uses the whole limit before the first digests."""

    def is_living(gateway, now):
        return gateway < size / 2 or now > 6.0

    fleet = Fleet(size, 10.0, lambda gateway, now: 60.0 / size, is_living).run()
    assert fleet.most <= allow(10.0)


@pytest.mark.parametrize("size", [3, 30])
def test_a_gateway_that_is_cut_off_from_the_others_keeps_its_part(size):
    """Guards against both sides of a network partition using the whole limit."""
    fleet = Fleet(size, 10.0, lambda gateway, now: 60.0 / size, cut_off=[0]).run()
    assert fleet.most <= allow(10.0)


def test_what_a_gateway_leaves_goes_to_the_others_after_a_while():
    """Guards against a share that stays reserved for a removed gateway."""

    def is_living(gateway, now):
        return gateway or now < 1.0

    fleet = Fleet(3, 10.0, lambda gateway, now: 30.0, is_living).run(24.0)
    assert fleet.most <= allow(10.0)
    late = [at for at in fleet.sent if 14.0 <= at < 24.0]
    assert len(late) / 10.0 >= 0.8 * 10.0
