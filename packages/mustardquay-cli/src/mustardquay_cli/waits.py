"""Waits: until an edit is in force at every process that is asked."""

import asyncio
from collections.abc import Awaitable, Callable
from datetime import timedelta

from mustardquay import Clock, SystemClock

from .clients import AdminClient, join_path
from .failures import CommandError, ExitCode
from .outputs import print_note

__all__ = ["limit_wait", "wait_for_version"]

PAUSE = timedelta(seconds=0.2)


async def wait_for_version(
    client: AdminClient,
    version: int,
    limit: timedelta,
    clock: Clock | None = None,
    sleep: Callable[[float], Awaitable[None]] = asyncio.sleep,
) -> None:
    """Return when all processes have the version; raise after `limit`."""
    clock = clock or SystemClock()
    end = clock.monotonic() + limit
    while True:
        answers = await client.get_all(join_path("status"))
        behind = [
            f"{answer.value['process']} at {answer.value['configuration']}"
            if answer.value
            else answer.error
            for answer in answers
            if not answer.value or answer.value["configuration"] < version
        ]
        if not behind:
            print_note(f"Version {version} is in force at every --admin.")
            return
        if clock.monotonic() >= end:
            raise CommandError(
                f"Version {version} is accepted but not yet in force at "
                f"{len(behind)} of {len(answers)} processes ({'; '.join(behind)}); "
                "look at status again later.",
                ExitCode.UNAVAILABLE,
            )
        await sleep(PAUSE.total_seconds())


def limit_wait(wait: bool, seconds: float) -> timedelta | None:
    """Return the longest wait that the options ask for, None for no wait."""
    return timedelta(seconds=seconds) if wait else None
