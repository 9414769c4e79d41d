"""Opens and reopens the links from an entry to its agents."""

import asyncio
from collections.abc import Callable, Iterator
from datetime import timedelta
from random import Random

from .links import Link

__all__ = ["Dialer"]

INITIAL_DELAY = timedelta(milliseconds=50)
MAX_DELAY = timedelta(seconds=2)
CONNECT_TIMEOUT = timedelta(seconds=2)


class Dialer:
    """Opens a link to one agent, and a new one when it is lost.

    The delay between attempts grows exponentially with full jitter, so that the
    entries don't all reconnect to an agent at the same moment.
    """

    def __init__(
        self,
        address: str,
        port: int,
        make_link: Callable[[int], Link],
        on_failed: Callable[[bool], None],
        random: Random,
        numbers: Iterator[int],
    ):
        """Take the agent's address and a factory that makes a link from its number.

        `numbers` is shared by all dialers of an entry and always increases, because
        an agent accepts no link with a lower number than one it has had. If the new
        dialer for an agent that returned to the instance list began at 1 again, its
        links would be refused until it had caught up.

        `on_failed` is called after each failed attempt with whether the connection was
        refused, which means that no process listens there.
        """
        self._address = address
        self._port = port
        self._make_link = make_link
        self._on_failed = on_failed
        self._random = random
        self._link: Link | None = None
        self._task: asyncio.Task[None] | None = None
        self._closed = False
        self._delay = timedelta()
        self._numbers = numbers

    @property
    def link(self) -> Link | None:
        """Return the link while it is open."""
        if self._link is not None and self._link.is_open:
            return self._link
        return None

    @property
    def endpoint(self) -> tuple[str, int]:
        """Return the agent's address and port."""
        return (self._address, self._port)

    def note_open(self) -> None:
        """Reset the delay after a link was opened; the next is dialled at once."""
        self._delay = timedelta()

    def start(self) -> None:
        """Start to dial; to be called again when the link was lost."""
        if self._closed or (self._task is not None and not self._task.done()):
            return
        self._task = asyncio.create_task(self._dial())

    def close(self) -> None:
        """Close the link and stop dialling."""
        self._closed = True
        if self._task is not None:
            self._task.cancel()
        if self._link is not None:
            self._link.close("this process stops")

    async def _dial(self) -> None:
        while not self._closed:
            await asyncio.sleep(self._random.uniform(0, self._delay.total_seconds()))
            # The delay also grows after a connection that succeeds and is then
            # refused in the handshake.
            self._delay = min(max(self._delay * 2, INITIAL_DELAY), MAX_DELAY)
            try:
                await self._connect()
                return
            except ConnectionRefusedError:
                self._on_failed(True)
            except (OSError, TimeoutError):
                self._on_failed(False)

    async def _connect(self) -> None:
        number = next(self._numbers)
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(CONNECT_TIMEOUT.total_seconds()):
            _, self._link = await loop.create_connection(
                lambda: self._make_link(number), self._address, self._port
            )
