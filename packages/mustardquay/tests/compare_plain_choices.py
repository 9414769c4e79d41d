"""Compare ways to choose plain upstreams on the same load and seeds.

`python packages/mustardquay/tests/compare_plain_choices.py [LOAD ...]` prints the share
of calls on time, their mean time, and the reports shared for each call. With the load
`failures`, it prints them for lost, late and false reports.
"""

import sys
from collections.abc import Callable
from dataclasses import replace
from unittest.mock import patch

from simulated_capacity import PlainService, ServiceLoad, choose_by_truth

from mustardquay import upstream_loads

LOADS = {
    "usual": ServiceLoad(),
    "twofold": ServiceLoad(per_second=170.0),
    "large": ServiceLoad(
        speeds=(0.55, 1.2, 1.2, 1.2) * 3, per_second=600.0, seconds=15.0
    ),
}
GATEWAYS = (4, 28, 100)
SEEDS = range(1, 5)


def choose_best(candidates, random):
    """Choose the shortest time, with a little chance as before reports were used."""
    return min(candidates, key=lambda each: each[1] + random.random() * 0.02)[0]


def choose_best_of_two(candidates, random):
    """Choose the shorter time of two candidates that are drawn at random."""
    pair = random.sample(candidates, min(len(candidates), 2))
    return min(pair, key=lambda each: each[1])[0]


DRAWN = upstream_loads.choose_shortest
WAYS: dict[str, tuple[bool, Callable, Callable | None]] = {
    "own requests (switch off)": (False, DRAWN, None),
    "best": (True, choose_best, None),
    "best of two": (True, choose_best_of_two, None),
    "drawn near the best (switch on)": (True, DRAWN, None),
    "true queues and speeds": (True, DRAWN, choose_by_truth),
}


def play(load, way):
    """Return the services after one run for each seed."""
    uses_reports, pick, choose = WAYS[way]
    load = replace(load, uses_reports=uses_reports)
    with patch.object(upstream_loads, "choose_shortest", pick):
        return [PlainService(replace(load, seed=seed), choose).run() for seed in SEEDS]


def lie(**figures):
    """Return reports in which one fast upstream has false figures."""

    def report(upstream, now):
        true = upstream.report()
        return replace(true, **figures) if upstream.record.id == "u1" else true

    return report


FOUR = (0.55, 1.2, 1.2, 1.2)
FAILURES = {
    "none": ServiceLoad(),
    "half of the digests are lost": ServiceLoad(loss=0.5),
    "all digests are lost": ServiceLoad(loss=1.0),
    "digests are up to 0.2 s late": ServiceLoad(jitter=0.2),
    "always an empty queue": ServiceLoad(reports=lie(running=0, waiting=0)),
    "none, four upstreams": ServiceLoad(speeds=FOUR),
    "work time 0.0001": ServiceLoad(speeds=FOUR, reports=lie(work_time=0.0001)),
    "work time 8": ServiceLoad(speeds=FOUR, reports=lie(work_time=8.0)),
}


def compare_failures():
    for name, load in FAILURES.items():
        services = play(load, "drawn near the best (switch on)")
        on_time = sum(each.on_time for each in services) / len(services)
        print(f"{name}: {on_time:.4f} on time", flush=True)


def main(names):
    if names == ["failures"]:
        compare_failures()
        return
    for name in names or LOADS:
        for gateways in GATEWAYS:
            for way in WAYS:
                services = play(replace(LOADS[name], gateways=gateways), way)
                times = sorted(time for each in services for time in each.times)
                on_time = sum(each.on_time for each in services) / len(services)
                notices = sum(each.notices for each in services) / len(times)
                print(
                    f"{name}, {gateways} gateways, {way}: {on_time:.4f} on time, "
                    f"mean {sum(times) / len(times) * 1000:.1f} ms, "
                    f"p99 {times[len(times) * 99 // 100] * 1000:.0f} ms, "
                    f"{notices:.2f} notices",
                    flush=True,
                )


if __name__ == "__main__":
    main(sys.argv[1:])
