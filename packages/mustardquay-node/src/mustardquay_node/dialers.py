"""Dialers: keep one link open from an entry to each agent it uses."""

import asyncio
from collections.abc import Callable
from datetime import timedelta
from random import Random

from .links import Link

__all__ = ["Dialer"]

FIRST_WAIT = timedelta(milliseconds=50)
LONGEST_WAIT = timedelta(seconds=2)
CONNECT_TIMEOUT = timedelta(seconds=2)


class Dialer:
    """Opens a link to one agent, and a new one when it is lost.

    The waits between tries grow with full jitter, so that the entries don't all
    come back to an agent in the same moment.
    """

    def __init__(
        self,
        address: str,
        port: int,
        make_link: Callable[[], Link],
        failed: Callable[[], None],
        random: Random,
    ):
        """Take the agent's place; `failed` hears of each try that came to nothing."""
        self._address = address
        self._port = port
        self._make_link = make_link
        self._failed = failed
        self._random = random
        self._link: Link | None = None
        self._task: asyncio.Task[None] | None = None
        self._closed = False

    @property
    def link(self) -> Link | None:
        """Return the link while it is open."""
        if self._link is not None and self._link.is_open:
            return self._link
        return None

    @property
    def place(self) -> tuple[str, int]:
        """Return the agent's address and port."""
        return (self._address, self._port)

    def start(self) -> None:
        """Begin to dial; call again when the link was lost."""
        if self._closed or (self._task is not None and not self._task.done()):
            return
        self._task = asyncio.create_task(self._dial())

    def close(self) -> None:
        """Close the link and dial no more."""
        self._closed = True
        if self._task is not None:
            self._task.cancel()
        if self._link is not None:
            self._link.close("this process stops")

    async def _dial(self) -> None:
        wait = FIRST_WAIT
        loop = asyncio.get_running_loop()
        while not self._closed:
            try:
                async with asyncio.timeout(CONNECT_TIMEOUT.total_seconds()):
                    _, link = await loop.create_connection(
                        self._make_link, self._address, self._port
                    )
            except (OSError, TimeoutError):
                self._failed()
                await asyncio.sleep(self._random.uniform(0, wait.total_seconds()))
                wait = min(wait * 2, LONGEST_WAIT)
                continue
            self._link = link
            return
