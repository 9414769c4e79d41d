"""Time slices: long work in the event loop, between the turns of everything else."""

import asyncio
from datetime import timedelta
from typing import TypeVar

from mustardquay.clocks import Clock
from mustardquay.stepwise_decoding import Steps, run_slice

__all__ = ["SLICE", "run_in_slices"]

SLICE = timedelta(milliseconds=5)
"""How long the work holds the event loop at once, beside one step of it. A timer and
the task that it wakes wait for three slices; the work still gets its share of a busy
loop."""

Result = TypeVar("Result")


async def run_in_slices(steps: Steps[Result], clock: Clock) -> Result:
    """Run all steps, with a turn of the event loop between slices of them.

    A cancellation takes effect at the end of the slice.
    """
    while (end := run_slice(steps, clock, SLICE)) is None:
        await asyncio.sleep(0)
    return end.value
