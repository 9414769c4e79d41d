"""Waits: until an edit is in force at every process that is known."""

import asyncio
from collections.abc import Awaitable, Callable, Sequence
from datetime import timedelta

from mustardquay import Clock, SystemClock

from .clients import AdminClient, Answer, join_path
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
                f"{len(behind)} processes ({'; '.join(behind)}); look at status again.",
                ExitCode.UNAVAILABLE,
            )
        await sleep(PAUSE.total_seconds())


def _list_versions(answers: Sequence[Answer]) -> dict[str, int]:
    """Return the version of each process that was asked or that one of them links to.

    A process's own word goes before what others have heard of it, and the newest of
    these before the others, since versions never fall.
    """
    heard: dict[str, int] = {}
    own: dict[str, int] = {}
    for answer in answers:
        if answer.value:
            own[answer.value["process"]] = answer.value["configuration"]
            for peer, version in answer.value.get("peers", {}).items():
                heard[peer] = max(version, heard.get(peer, 0))
    return heard | own


def limit_wait(wait: bool, seconds: float) -> timedelta | None:
    """Return the longest wait that the options ask for, None for no wait."""
    return timedelta(seconds=seconds) if wait else None
