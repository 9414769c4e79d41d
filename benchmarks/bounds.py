"""Upper bounds of goodput, from a linear relaxation with knowledge of all arrivals.

The time of each engine step is divided as follows: a stream's token is charged a 96th
of the step's fixed time (no role runs more than 96 streams) plus its own time, and a
prompt token its arithmetic alone. These charges never exceed the step, so the engine
time of a set of answers is at least the sum of their charges. A policy must fit them
between arrival and deadline into the time of the available engines. The relaxation
requires nothing else: work may be split and run in parallel on any engines, answers
count in fractions, decode streams don't slow each other down, gaps between tokens are
not limited, caches are unlimited and shared by all engines, and a piece is computed
once, at any time between its first arrival and the last deadline of a request with it.
Times are rounded outwards to whole buckets. Every run of a real policy is a feasible
point, so the optimum is at least its goodput.
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
    """Return the maximum number of answers within contract under any policy."""
    windows = [_find_window(a.at, _find_deadline(a)) for a in arrivals]
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
    objective = np.zeros(column)
    objective[:jobs] = -1.0
    upper = np.full(column, np.inf)
    upper[:count] = 1.0
    bounds = np.column_stack([np.zeros(column), upper])
    result = linprog(objective, A_ub=matrix, b_ub=limits, bounds=bounds, method="highs")
    if result.status != 0:
        raise RuntimeError(f"The bound was not found: {result.message}")
    return -result.fun


def _find_deadline(arrival: Arrival) -> float:
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
            span[1] = max(span[1], _find_deadline(arrival))
    return list(spans), [_find_window(*span) for span in spans.values()]


def _count_engine_seconds(bucket: int, faults: Sequence[Fault]) -> float:
    start, end = bucket * BUCKET_SECONDS, (bucket + 1) * BUCKET_SECONDS
    seconds = ENGINES * BUCKET_SECONDS
    for fault in faults:
        if fault.kind == "lose":
            lost = min(end, fault.at + fault.seconds) - max(start, fault.at)
            seconds -= max(lost, 0.0)
    return seconds
