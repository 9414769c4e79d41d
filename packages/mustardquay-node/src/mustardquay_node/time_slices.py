"""Time slices: long work in the event loop, between the turns of everything else."""

import asyncio
from datetime import timedelta
from typing import TypeVar

from mustardquay.clocks import Clock
from mustardquay.stepwise_decoding import Steps, run_slice

__all__ = ["SLICE", "run_in_slices"]

SLICE = timedelta(milliseconds=10)
"""Longest time in which the work holds the event loop, beside one step of it. Callers
don't notice it, and the work still gets half of a loop that is busy."""

Result = TypeVar("Result")


async def run_in_slices(steps: Steps[Result], clock: Clock) -> Result:
    """Run all steps, with a turn of the event loop between slices of them.

    A cancellation takes effect at the end of the slice.
    """
    while (end := run_slice(steps, clock, SLICE)) is None:
        await asyncio.sleep(0)
    return end.value
