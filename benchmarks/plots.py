"""Plots one run over time as an SVG image."""

from collections import Counter
from pathlib import Path

import matplotlib
from matplotlib.figure import Figure

from .runs import Run

__all__ = ["plot_run"]

COLOURS = {
    "prefill": "#4477aa",
    "mixed": "#ccbb44",
    "decode": "#228833",
    "away": "#bbbbbb",
}
OUTCOMES = {"met": "#228833", "late": "#ee6677", "refused": "#bbbbbb"}


def plot_run(run: Run, name: str, directory: str) -> Path:
    """Plot queue, roles and outcomes of a run; return the path of the file."""
    # With a fixed salt and without a date, the same run gives the same file.
    matplotlib.rcParams["svg.hashsalt"] = "mustardquay"
    figure = Figure(figsize=(9, 7), layout="constrained")
    queue, roles, outcomes = figure.subplots(3, 1, sharex=True)
    times = [sample[0] for sample in run.samples]
    queue.plot(times, [sample[1] for sample in run.samples], color="#4477aa")
    queue.set_ylabel("requests waiting")
    queue.set_title(name)
    counts = {
        role: [sample[2].count(role) for sample in run.samples] for role in COLOURS
    }
    roles.stackplot(
        times, *counts.values(), labels=list(counts), colors=list(COLOURS.values())
    )
    roles.set_ylabel("engines")
    roles.legend(loc="upper right", ncols=4, fontsize="small")
    _plot_outcomes(run, outcomes)
    outcomes.set_xlabel("seconds")
    path = Path(directory) / f"{name}.svg"
    path.parent.mkdir(parents=True, exist_ok=True)
    figure.savefig(path, metadata={"Date": None})
    return path


def _plot_outcomes(run: Run, axes) -> None:
    counts = Counter((answer.outcome, int(answer.at)) for answer in run.answers)
    last = max((second for _, second in counts), default=0)
    for outcome, colour in OUTCOMES.items():
        values = [counts[outcome, second] for second in range(last + 1)]
        axes.plot(range(last + 1), values, label=outcome, color=colour)
    axes.set_ylabel("requests a second")
    axes.legend(loc="upper right", ncols=3, fontsize="small")
