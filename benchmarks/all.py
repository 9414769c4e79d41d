"""Runs all benchmarks, and fails if one of them misses its regression bounds.

`--short` runs only the benchmarks with reproducible results, for CI.
"""

import sys
from collections.abc import Callable
from typing import Annotated

import typer

from . import (
    callers,
    controls,
    counts,
    decision_costs,
    paths,
    promises,
    regressions,
    spreads,
    starts,
)

__all__ = ["BENCHMARKS", "main"]

BENCHMARKS: dict[str, Callable[[bool], bool]] = {
    "callers": callers.run,
    "controls": controls.run,
    "counts": counts.run,
    "decisions": decision_costs.run,
    "paths": paths.run,
    "policies": regressions.run,
    "promises": promises.run,
    "spreads": spreads.run,
    "starts": starts.run,
}
"""Benchmarks by name: each takes `short`, and returns whether its bounds were met."""


def main(
    names: Annotated[list[str] | None, typer.Argument(help="All if none.")] = None,
    short: bool = False,
) -> None:
    """Run the benchmarks and print their figures."""
    failed = []
    for name in names or BENCHMARKS:
        typer.echo(f"== {name}")
        if not BENCHMARKS[name](short):
            failed.append(name)
    if failed:
        typer.echo(f"Bounds missed: {', '.join(failed)}")
        sys.exit(1)


if __name__ == "__main__":
    typer.run(main)
