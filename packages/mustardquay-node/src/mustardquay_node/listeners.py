"""Listeners: an agent's end of the links that entries open to it."""

import asyncio
from collections import OrderedDict
from collections.abc import Callable, Iterator
from dataclasses import replace
from typing import TypeAlias

from mustardquay.messages import Heartbeat, Message

from .links import Link
from .nodes import NodeParts
from .runs import Owner

__all__ = ["Listener", "get_owner"]

OWNERS = 10_000
"""Entry processes of which the newest link's number is kept."""

Receiver: TypeAlias = Callable[[Link, Message], None]


def get_owner(link: Link) -> Owner:
    """Return the entry process at the other end of an open link."""
    return (link.peer.process, link.peer.incarnation)


class Listener:
    """Accepts links, and keeps one of each entry process: the newest."""

    def __init__(
        self,
        parts: NodeParts,
        port: int,
        make_heartbeat: Callable[[], Heartbeat],
        received: Receiver,
        lost: Callable[[Link], None],
    ):
        """Take the parts; `lost` hears of each link that was open and is lost."""
        self._parts = parts
        self._port = port
        self._make_heartbeat = make_heartbeat
        self._received = received
        self._lost = lost
        self._links: dict[Link, int] = {}
        self._newest: OrderedDict[Owner, int] = OrderedDict()
        self._server: asyncio.Server | None = None

    def __len__(self) -> int:
        return len(self._links)

    def __iter__(self) -> Iterator[Link]:
        return iter(list(self._links))

    @property
    def port(self) -> int:
        """Return the port; the real one after `start`."""
        if self._server is None:
            return self._port
        return self._server.sockets[0].getsockname()[1]

    async def start(self) -> None:
        """Begin to listen; raises `OSError` when the port is taken."""
        address = self._parts.settings.node.address
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(self._make_link, address, self._port)

    async def close(self) -> None:
        """Stop listening, and end the links once all that was sent has arrived."""
        if self._server is not None:
            self._server.close()
        await asyncio.gather(*(link.finish() for link in self))

    def beat(self) -> None:
        """Send a heartbeat on every link now."""
        for link in self:
            link.send_heartbeat()

    def send(self, message: Message) -> None:
        """Send a message to every entry."""
        for link in self:
            link.send(message)

    def _make_link(self) -> Link:
        parts = self._parts
        return Link(
            "agent",
            parts.identity,
            parts.links,
            parts.events.clock,
            self._make_link_heartbeat,
            self._note_open,
            self._received,
            self._note_lost,
        )

    def _make_link_heartbeat(self, link: Link) -> Heartbeat:
        crashes, self._links[link] = self._parts.quarantine.list_changes(
            self._links.get(link, 0), self._parts.clock.monotonic()
        )
        return replace(self._make_heartbeat(), crashes=crashes)

    def _note_open(self, link: Link) -> None:
        owner = get_owner(link)
        if link.peer.link <= self._newest.get(owner, 0):
            # A link that was dialled before the present one, and opened only now,
            # because this process was paused. Its frames must not be run: the
            # entry may have been told by the newer link that they never came.
            link.close("a newer link of the same entry is open")
            return
        self._note_newest(owner, link.peer.link)
        for other in self:
            if other is not link and other.is_open and get_owner(other) == owner:
                other.close("the entry has opened a newer link")
        self._links.setdefault(link, 0)
        self._parts.events.record("link.opened", peer=link.peer.process)

    def _note_newest(self, owner: Owner, number: int) -> None:
        self._newest[owner] = number
        self._newest.move_to_end(owner)
        if len(self._newest) > OWNERS:
            self._newest.popitem(last=False)

    def _note_lost(self, link: Link, reason: str) -> None:
        if self._links.pop(link, None) is None:
            return
        self._parts.events.record("link.lost", peer=link.peer.process, reason=reason)
        self._lost(link)
