"""Waits: wait until an edit is in force at every known process."""

import asyncio
from collections.abc import Awaitable, Callable, Sequence
from datetime import timedelta

from mustardquay import Clock, SystemClock

from .clients import AdminClient, Answer, join_path
from .failures import CommandError, ExitCode
from .outputs import print_note

__all__ = ["limit_wait", "wait_for_version"]

POLL_INTERVAL = timedelta(seconds=0.2)


async def wait_for_version(
    client: AdminClient,
    version: int,
    limit: timedelta,
    clock: Clock | None = None,
    sleep: Callable[[float], Awaitable[None]] = asyncio.sleep,
) -> None:
    """Return once all processes have the version; raise after `limit`."""
    clock = clock or SystemClock()
    end = clock.monotonic() + limit
    while True:
        answers = await client.get_all(join_path("status"))
        versions = _list_versions(answers)
        behind = [
            f"{process} at {found}"
            for process, found in sorted(versions.items())
            if found < version
        ]
        behind += [answer.error for answer in answers if answer.error]
        if not behind:
            print_note(f"Version {version} is in force at {len(versions)} processes.")
            return
        if clock.monotonic() >= end:
            raise CommandError(
                f"Version {version} is accepted but not yet known to be in force at "
                f"{len(behind)} processes ({'; '.join(behind)}); run status again.",
                ExitCode.UNAVAILABLE,
            )
        await sleep(POLL_INTERVAL.total_seconds())


def _list_versions(answers: Sequence[Answer]) -> dict[str, int]:
    """Return the version of each process that was called or is linked to one that was.

    A process's own answer takes precedence over what its peers report of it. Among
    peers' reports the highest version counts, since versions never decrease.
    """
    reported: dict[str, int] = {}
    own: dict[str, int] = {}
    for answer in answers:
        if answer.value:
            own[answer.value["process"]] = answer.value["configuration"]
            for peer, version in answer.value.get("peers", {}).items():
                reported[peer] = max(version, reported.get(peer, 0))
    return reported | own


def limit_wait(wait: bool, seconds: float) -> timedelta | None:
    """Return the timeout of a wait, or None if no wait was requested."""
    return timedelta(seconds=seconds) if wait else None
