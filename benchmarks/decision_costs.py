"""Time and memory allocations of one routing and one admission decision.

`python -m benchmarks.decision_costs` prints a table. Times depend on the machine; the
numbers of compared candidates and of allocated blocks hardly do.
"""

import gc
import sys
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from random import Random
from time import perf_counter

from mustardquay.admissions import UsageMeter
from mustardquay.caches import PrefixIndex
from mustardquay.queues import FairQueue
from mustardquay.upstream_selection import choose_upstream
from mustardquay.works import UpstreamView, Work

__all__ = ["Cost", "run"]

UPSTREAMS = (6, 60, 600)
CUSTOMERS = (10, 1000, 23_000)
MAX_LINKS = 64
"""Maximum number of upstreams that an entry links to, whatever the fleet's size."""
REPEATS = 2000
BATCHES = 9
"""The time of the fastest batch is used, since other work may run on the machine."""


@dataclass(frozen=True, slots=True)
class Cost:
    """The cost of one kind of decision at one size."""

    decision: str
    upstreams: int
    customers: int
    microseconds: float
    blocks: float
    """Mean number of additional memory blocks after a decision."""


def run(short: bool = False) -> bool:
    """Print the table; return False if 600 upstreams cost over twice as much as 60.

    An entry links to a bounded subset, so the cost must not grow with the fleet. Times
    are not checked in CI, so the short run does nothing.
    """
    if short:
        return True
    costs = [
        measure(upstreams, customers)
        for upstreams in UPSTREAMS
        for customers in CUSTOMERS
    ]
    rows = [cost for pair in costs for cost in pair]
    print(f"{'decision':<12}{'upstreams':>10}{'customers':>10}{'us':>8}{'blocks':>8}")
    for row in rows:
        print(
            f"{row.decision:<12}{row.upstreams:>10}{row.customers:>10}"
            f"{row.microseconds:>8.1f}{row.blocks:>8.2f}"
        )
    largest = [row for row in rows if row.upstreams == 600]
    bounded = [row for row in rows if row.upstreams == 60]
    return sum(r.microseconds for r in largest) < 2 * sum(
        r.microseconds for r in bounded
    )


def measure(upstreams: int, customers: int) -> tuple[Cost, Cost]:
    """Return the costs of routing and of admission at one size."""
    random = Random(3)
    works = [make_work(number, customers, random) for number in range(REPEATS)]
    route = make_router(upstreams, random)
    admit = make_admission(customers)
    routing = Cost("routing", upstreams, customers, *_time(route, works))
    admission = Cost("admission", upstreams, customers, *_time(admit, works))
    return routing, admission


def make_work(number: int, customers: int, random: Random) -> Work:
    """Return a request of a random customer with a prefix of three pieces."""
    document = random.randrange(200)
    return Work(
        f"request-{number}",
        1,
        f"customer-{random.randrange(customers)}",
        "assistant",
        prompt_tokens=6400,
        output_tokens=random.choice((1, 80)),
        share=1.0 / customers,
        start_by=timedelta(seconds=100 + number / 1000),
        prefix=tuple(document * 10 + piece for piece in range(3)),
    )


def make_router(upstreams: int, random: Random) -> Callable[[Work], object]:
    """Return a routing decision over the upstreams that an entry links to."""
    names = [f"engine-{number}" for number in range(upstreams)]
    linked = random.sample(names, min(upstreams, MAX_LINKS))
    views = [
        UpstreamView(
            name,
            random.choice("abc"),
            models=frozenset({"assistant"}),
            reachable=True,
            queued_tokens=random.randrange(8000),
            running=random.randrange(32),
        )
        for name in linked
    ]
    index = PrefixIndex()
    for document in range(200):
        pieces = [document * 10 + piece for piece in range(3)]
        for view in random.sample(views, min(3, len(views))):
            index.note_sent(view.name, pieces)
    now = timedelta(seconds=1)

    def route(work: Work) -> object:
        return choose_upstream(work, views, now, random, (), "a", index)

    return route


def make_admission(customers: int) -> Callable[[Work], object]:
    """Return an admission decision at a busy queue: an offer, a take and a finish."""
    meter = UsageMeter("agent")
    queue = FairQueue(prefill_rate=1e6, usage=meter, engines=6)
    now = timedelta(seconds=1)
    random = Random(5)
    for number in range(500):
        queue.offer(make_work(-number - 1, customers, random), now)

    def admit(work: Work) -> object:
        queue.offer(work, now)
        taken = queue.take(now)
        if taken is not None:
            queue.note_first_token(taken.key, now)
            queue.finish(taken.key, taken.output_tokens, now)
        return taken

    return admit


def _time(decide: Callable[[Work], object], works: list[Work]) -> tuple[float, float]:
    for work in works[: REPEATS // 10]:
        decide(work)
    rest = works[REPEATS // 10 :]
    size = len(rest) // BATCHES
    gc.collect()
    gc.disable()
    blocks = sys.getallocatedblocks()
    shortest = min(
        _time_batch(decide, rest[start : start + size])
        for start in range(0, len(rest), size)
    )
    blocks = sys.getallocatedblocks() - blocks
    gc.enable()
    return shortest / size * 1e6, blocks / len(rest)


def _time_batch(decide: Callable[[Work], object], works: list[Work]) -> float:
    start = perf_counter()
    for work in works:
        decide(work)
    return perf_counter() - start


if __name__ == "__main__":
    run()
