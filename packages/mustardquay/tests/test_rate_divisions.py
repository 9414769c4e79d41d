"""Fleets of gateways that divide one limit, in steps of virtual time."""

from bisect import bisect_left
from datetime import timedelta
from random import Random

import pytest

from mustardquay.rate_limits import LimitBook
from mustardquay.upstream_lists import UpstreamRecord

ENGINE = UpstreamRecord("e", "llm", "10.0.0.1:80", "a", 64, False)
STEP = 0.01
"""Seconds."""
WINDOW = 4.0
"""Seconds over which what the engine gets is counted."""
SETTLED = 3.0
"""Seconds after the first answer with a limit, from which on it has to be kept."""
LONGEST_TURN = 0.15
"""Seconds for which a request waits for its turn."""
ANSWERED = 0.02
"""Seconds until an answer names the limit again."""
LOST = 0.03
"""Part of the digests that are lost."""
TOLD_SIDE = 8
"""Gateways that each tells on both sides of it."""


class Fleet:
    """Gateways around one engine that names a limit."""

    def __init__(self, size, limit, loads, living=None, cut_off=()):
        """Take `loads`, the requests a second of a gateway at a time.

        `living` tells which gateways run at a time, `cut_off` names those that hear of
        no other and are heard by none.
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

    def list_recipients(self, gateway):
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
        book = self.books[gateway] = LimitBook()
        told = [str(each) for each in self.list_recipients(gateway)]
        strangers = self.size - 1 - len(told)
        book.demand.list_gateways(told, strangers, timedelta(seconds=now))

    def tell(self, gateway, now):
        if now < self.told_at[gateway]:
            return
        self.told_at[gateway] = now + self.interval
        at = timedelta(seconds=now)
        book = self.books[gateway]
        demands = book.demand.tell(at) if book.knows_any(at) else None
        notices = book.tell(at)
        for other in self.list_recipients(gateway):
            is_cut = gateway in self.cut_off or other in self.cut_off
            if is_cut or other not in self.books or self.random.random() < LOST:
                continue
            heard = self.books[other]
            heard.demand.hear(str(gateway), demands, at)
            for notice in notices:
                heard.hear_notice(notice, at)

    def take_callers(self, gateway, now):
        if self.random.random() >= self.loads(gateway, now) * STEP:
            return
        at = timedelta(seconds=now)
        book = self.books[gateway]
        book.demand.count_request(ENGINE.service, at)
        if book.expect_wait(ENGINE, at) <= LONGEST_TURN:
            turn_at = book.reserve(ENGINE, at).at.total_seconds()
            self.sent.append(turn_at)
            self.answers.append((turn_at + ANSWERED, gateway))

    def answer(self, now):
        due = [each for each in self.answers if each[0] <= now]
        self.answers = [each for each in self.answers if each[0] > now]
        for _, gateway in due:
            if gateway in self.books:
                at = timedelta(seconds=now)
                self.books[gateway].hear(ENGINE.id, self.limit, at)

    @property
    def most(self):
        """The most requests in one window."""
        times = sorted(at for at in self.sent if at >= SETTLED)
        return max(
            bisect_left(times, at + WINDOW) - index for index, at in enumerate(times)
        )

    @property
    def used(self):
        """The part of the limit that was used, once it was settled."""
        times = [at for at in self.sent if SETTLED + WINDOW <= at < 16.0]
        return len(times) / (16.0 - SETTLED - WINDOW) / self.limit


def allow(limit):
    return 1.5 * limit * WINDOW + 5


LIMITS = [1.0, 4.0, 10.0, 40.0]
ASKED = 6
"""Times the limit that callers ask for."""


@pytest.mark.parametrize("limit", LIMITS)
@pytest.mark.parametrize("size", [3, 30])
def test_gateways_with_the_same_load_keep_the_limit(size, limit):
    """Guards against gateways that each keep the whole limit."""
    fleet = Fleet(size, limit, lambda gateway, now: ASKED * limit / size).run()
    assert fleet.most <= allow(limit)


@pytest.mark.parametrize("limit", [10.0, 40.0])
@pytest.mark.parametrize("size", [3, 30])
def test_gateways_with_the_same_load_use_most_of_the_limit(size, limit):
    """Guards against callers who are refused although the engine has room."""
    fleet = Fleet(size, limit, lambda gateway, now: ASKED * limit / size).run()
    assert fleet.used >= 0.75


@pytest.mark.parametrize("limit", LIMITS)
def test_one_of_three_gateways_with_all_callers_uses_most_of_the_limit(limit):
    """Guards against a limit of which two thirds lie unused."""
    load = ASKED * limit
    fleet = Fleet(3, limit, lambda gateway, now: load if not gateway else 0).run()
    assert fleet.most <= allow(limit)
    assert fleet.used >= 0.75


@pytest.mark.parametrize("limit", LIMITS)
@pytest.mark.parametrize("apart", [3, 10, 15])
def test_a_few_of_thirty_gateways_with_all_callers_keep_the_limit(apart, limit):
    """Guards against busy gateways that don't hear of each other."""
    load = ASKED * limit * apart / 30
    fleet = Fleet(30, limit, lambda gateway, now: 0 if gateway % apart else load).run()
    assert fleet.most <= allow(limit)


@pytest.mark.parametrize("size", [3, 30])
def test_callers_who_move_from_gateway_to_gateway_keep_the_limit(size):
    """Guards against parts that two gateways both believe to have."""
    fleet = Fleet(
        size, 10.0, lambda gateway, now: 60.0 * (int(now / 2) % size == gateway)
    ).run()
    assert fleet.most <= allow(10.0)


@pytest.mark.parametrize("size", [3, 30])
def test_gateways_that_start_keep_the_limit(size):
    """Guards against a gateway that takes the whole limit before it hears of others."""

    def is_living(gateway, now):
        return gateway < size / 2 or now > 6.0

    fleet = Fleet(size, 10.0, lambda gateway, now: 60.0 / size, is_living).run()
    assert fleet.most <= allow(10.0)


@pytest.mark.parametrize("size", [3, 30])
def test_a_gateway_that_is_cut_off_from_the_others_keeps_its_part(size):
    """Guards against two sides of a partition that both use the whole limit."""
    fleet = Fleet(size, 10.0, lambda gateway, now: 60.0 / size, cut_off=[0]).run()
    assert fleet.most <= allow(10.0)


def test_what_a_gateway_leaves_goes_to_the_others_after_a_while():
    """Guards against a part that nobody uses any more."""

    def is_living(gateway, now):
        return gateway or now < 1.0

    fleet = Fleet(3, 10.0, lambda gateway, now: 30.0, is_living).run(24.0)
    assert fleet.most <= allow(10.0)
    late = [at for at in fleet.sent if 14.0 <= at < 24.0]
    assert len(late) / 10.0 >= 0.8 * 10.0
