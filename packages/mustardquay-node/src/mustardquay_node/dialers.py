"""Dialers: keep one link open from an entry to each agent it uses."""

import asyncio
from collections.abc import Callable, Iterator
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
        make_link: Callable[[int], Link],
        failed: Callable[[bool], None],
        random: Random,
        numbers: Iterator[int],
    ):
        """Take the agent's place and the maker of a link from its number.

        `numbers` rise over all the dialers of an entry. An agent takes no link
        with a lower number than one it has had; if a dialer that is made anew, for
        an agent that came back to the instance list, began at 1 again, its links
        would be refused until it had caught up.

        `failed` hears of each try that came to nothing, and whether the connection
        was refused, which says that no process listens there.
        """
        self._address = address
        self._port = port
        self._make_link = make_link
        self._failed = failed
        self._random = random
        self._link: Link | None = None
        self._task: asyncio.Task[None] | None = None
        self._closed = False
        self._wait = timedelta()
        self._numbers = numbers

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

    def note_open(self) -> None:
        """Note that the link was opened, so that the next is dialled at once."""
        self._wait = timedelta()

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
        while not self._closed:
            await asyncio.sleep(self._random.uniform(0, self._wait.total_seconds()))
            # Also after a connection that is made and then refused in the
            # handshake, the next try waits longer.
            self._wait = min(max(self._wait * 2, FIRST_WAIT), LONGEST_WAIT)
            try:
                await self._connect()
                return
            except ConnectionRefusedError:
                self._failed(True)
            except (OSError, TimeoutError):
                self._failed(False)

    async def _connect(self) -> None:
        number = next(self._numbers)
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(CONNECT_TIMEOUT.total_seconds()):
            _, self._link = await loop.create_connection(
                lambda: self._make_link(number), self._address, self._port
            )
