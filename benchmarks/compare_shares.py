"""Compare ways of admission to a plain service under overload, on the same callers.

    python benchmarks/compare_shares.py

Prints the rows of the table in docs/design/fair-shares.md.
"""

import sys
from pathlib import Path
from random import Random

sys.path.insert(
    0, str(Path(__file__).parents[1] / "packages" / "mustardquay" / "tests")
)

from share_loads import Load, Outcome
from simulated_shares import simulate, use_factor

from mustardquay.fair_shares import Judgement, wait_bounds

BRIEF = (0.5, 3.0, 1.5)
LOADS = (
    Load(4, seed=1),
    Load(4, seed=2),
    Load(28, seed=1),
    Load(28, 1000, seed=1),
    Load(28, ratio=2.2),
    Load(100, 77, ratio=2.2, seconds=BRIEF),
    Load(100, 1000, ratio=1.5),
)


def toss_coin(judgement: Judgement, random: Random) -> float:
    """Refuse what is over its share with the probability 1 - share / use."""
    standing = judgement.standing
    if standing.is_over and random.random() > standing.share / standing.use:
        return 0.0
    return 1.0


def run_returns_last(load: Load) -> Outcome:
    """Run a load with returns that go after new callers."""
    steps = wait_bounds.RETURN_STEPS
    wait_bounds.RETURN_STEPS = -steps
    try:
        return simulate(load)
    finally:
        wait_bounds.RETURN_STEPS = steps


WAYS = {
    "none": lambda load: simulate(load, None),
    "bounds": lambda load: simulate(load, use_factor),
    "coin": lambda load: simulate(load, toss_coin),
    "last": run_returns_last,
}


def describe(outcome: Outcome) -> list[float]:
    """Return the figures of one row."""
    return [
        outcome.measure_value(),
        outcome.measure_in_time(),
        outcome.measure_served(),
        outcome.measure_served(lambda each: each.kind.rank == 0),
        outcome.measure_served(lambda each: each.kind.rank == 2),
        min(outcome.list_served().values()),
        outcome.measure_served(lambda each: int(each.organisation[1:]) > 10),
    ]


def main() -> None:
    """Print a row for each load and way."""
    for load in LOADS:
        for name, run in WAYS.items():
            figures = " | ".join(f"{each:.3f}" for each in describe(run(load)))
            label = f"{load.gateways}, {load.organisations}, {load.ratio}, {load.seed}"
            print(f"| {label} | {name} | {figures} |", flush=True)


if __name__ == "__main__":
    main()
