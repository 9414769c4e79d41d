"""Large plain answers: buffered up to a limit, and passed on as they come above it.

An answer that has begun can't be replaced by that of another send, so that it is begun
only where it would be passed on if it were whole: the head says that it is the
upstream's own and in its own encoding. One that ends early is broken off.
"""

from collections.abc import Awaitable, Callable

from mustardquay.memory_limits import COUNTED_SIZE

from ..caller_connections import CallerPace
from ..connections import Exchange
from ..replies import Reply
from .results import Send
from .silence_watches import SilenceWatch

__all__ = ["LargeAnswer"]


class LargeAnswer:
    """Receives the plain answer to one send, in a process with a limit of memory."""

    def __init__(
        self,
        pace: CallerPace,
        reply: Reply,
        send: Send,
        find_watch: Callable[[], SilenceWatch],
    ):
        self._pace = pace
        self._reply = reply
        self._send = send
        self._find_watch = find_watch
        self._size = 0
        self._is_dropped = False
        self._is_counted = False

    def receive(self, exchange: Exchange, data: bytes) -> Awaitable[None] | None:
        """Buffer a part, or pass it on; returns what to await before the next part."""
        if self._send.is_passed_on:
            return self._pass_on(data)
        if self._is_dropped:
            return None
        self._size += len(data)
        exchange.keep(data)
        if self._size <= COUNTED_SIZE:
            return None
        self._count(len(data))
        if not self._pace.guard.is_large(max(self._size, exchange.declared_length)):
            return None
        kept = exchange.take()
        self._pace.held.drop_kept()
        if not self._may_begin():
            # It is not passed on, whatever follows.
            self._is_dropped = True
            return None
        self._send.is_passed_on = True
        assert exchange.head is not None
        length = exchange.declared_length or None
        self._reply.begin_large(exchange.head, length)
        return self._pass_on(kept)

    def _count(self, size: int) -> None:
        held = self._pace.held
        if self._is_counted:
            held.keep(size)
        else:
            self._is_counted = True
            # That of an earlier send is not kept any more.
            held.drop_kept()
            held.keep(self._size)

    def _pass_on(self, data: bytes) -> Awaitable[None] | None:
        watch = self._find_watch()
        watch.note_answer()
        watch.restart()
        writing = self._reply.write(data)
        return None if writing is None else watch.wait_for_caller(writing)

    def _may_begin(self) -> bool:
        """Return whether the answer would be passed on if it were whole."""
        reply = self._reply
        return self._send.is_own and not (reply.is_caller_gone or reply.has_begun)
