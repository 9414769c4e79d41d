"""Bounds: what no policy can beat, from a relaxation that knows all arrivals.

The argument. Give each step of an engine away as follows: a stream's token gets a
96th of the step's fixed time (no role runs more than 96 streams) and its own time, a
prompt token its arithmetic alone. The parts never add up to more than the step, so
that the engine time of a set of answers is at least the sum of their parts. A policy
must find room for these parts between arrival and deadline in the time of the engines
that are there. The relaxation asks for no more than that: work may be split and run
in parts on any engine at once, answers count in fractions, decode streams never
disturb each other, gaps between tokens are not asked for, caches are unlimited and
common to all engines, and a piece is computed once, at any time between its first
arrival and the last deadline of a request with it. Instants are rounded outwards to
whole buckets. Every run of a real policy is a feasible point, so that the optimum is
at least its goodput.
"""

from collections import defaultdict
from collections.abc import Sequence

import numpy as np
from scipy.optimize import linprog
from scipy.sparse import coo_array

from mustardquay.caches import PIECE_TOKENS

from .engine_costs import PREFILL_SECONDS
from .runs import Fault
from .workloads import ENGINES, Arrival

__all__ = ["bound_goodput"]

BUCKET_SECONDS = 2.0


def bound_goodput(arrivals: Sequence[Arrival], faults: Sequence[Fault] = ()) -> float:
    """Return the most answers within contract that any policy could give."""
    windows = [_find_window(a.at, _read_deadline(a)) for a in arrivals]
    pieces, piece_windows = _list_pieces(arrivals)
    last = max((end for _, end in windows), default=0) + 1
    groups = sorted(set(windows) | set(piece_windows))
    rows, columns, values, limits = [], [], [], []

    def add(row: int, column: int, value: float) -> None:
        rows.append(row)
        columns.append(column)
        values.append(value)

    jobs, count = len(arrivals), len(arrivals) + len(pieces)
    group_rows = {group: row for row, group in enumerate(groups)}
    for column, arrival in enumerate(arrivals):
        add(group_rows[windows[column]], column, arrival.own_seconds)
    piece_seconds = PIECE_TOKENS * PREFILL_SECONDS
    for number, window in enumerate(piece_windows):
        add(group_rows[window], jobs + number, piece_seconds)
    limits += [0.0] * len(groups)
    bucket_rows = [len(groups) + bucket for bucket in range(last)]
    column = count
    for group in groups:
        for bucket in range(group[0], group[1] + 1):
            add(group_rows[group], column, -1.0)
            add(bucket_rows[bucket], column, 1.0)
            column += 1
    limits += [_count_engine_seconds(bucket, faults) for bucket in range(last)]
    row = len(limits)
    numbers = {piece: number for number, piece in enumerate(pieces)}
    for job, arrival in enumerate(arrivals):
        for piece in arrival.prefix:
            add(row, job, 1.0)
            add(row, jobs + numbers[piece], -1.0)
            limits.append(0.0)
            row += 1
    matrix = coo_array((values, (rows, columns)), shape=(row, column)).tocsr()
    goal = np.zeros(column)
    goal[:jobs] = -1.0
    most = np.full(column, np.inf)
    most[:count] = 1.0
    bounds = np.column_stack([np.zeros(column), most])
    result = linprog(goal, A_ub=matrix, b_ub=limits, bounds=bounds, method="highs")
    if result.status != 0:
        raise RuntimeError(f"The bound was not found: {result.message}")
    return -result.fun


def _read_deadline(arrival: Arrival) -> float:
    return arrival.at + arrival.contract.lateness.whole.total_seconds()


def _find_window(start: float, end: float) -> tuple[int, int]:
    return int(start / BUCKET_SECONDS), int(end / BUCKET_SECONDS)


def _list_pieces(
    arrivals: Sequence[Arrival],
) -> tuple[list[int], list[tuple[int, int]]]:
    spans: dict[int, list[float]] = defaultdict(lambda: [float("inf"), 0.0])
    for arrival in arrivals:
        for piece in arrival.prefix:
            span = spans[piece]
            span[0] = min(span[0], arrival.at)
            span[1] = max(span[1], _read_deadline(arrival))
    return list(spans), [_find_window(*span) for span in spans.values()]


def _count_engine_seconds(bucket: int, faults: Sequence[Fault]) -> float:
    start, end = bucket * BUCKET_SECONDS, (bucket + 1) * BUCKET_SECONDS
    seconds = ENGINES * BUCKET_SECONDS
    for fault in faults:
        if fault.kind == "lose":
            away = min(end, fault.at + fault.seconds) - max(start, fault.at)
            seconds -= max(away, 0.0)
    return seconds
