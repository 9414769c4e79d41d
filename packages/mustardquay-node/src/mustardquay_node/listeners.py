"""Listeners: accept the links that entries open to an agent."""

import asyncio
from collections import OrderedDict
from collections.abc import Callable, Iterator
from dataclasses import replace
from typing import TypeAlias

from mustardquay.messages import Heartbeat, Message

from .links import Link
from .nodes import NodeDependencies
from .runs import Owner

__all__ = ["Listener", "get_owner"]

OWNERS = 10_000
"""Number of entry processes for which the newest link's number is kept."""

MessageCallback: TypeAlias = Callable[[Link, Message], None]


def get_owner(link: Link) -> Owner:
    """Return the entry process at the other end of an open link."""
    return (link.peer.process, link.peer.incarnation)


class Listener:
    """Accepts links and keeps the newest one of each entry process."""

    def __init__(
        self,
        deps: NodeDependencies,
        port: int,
        make_heartbeat: Callable[[], Heartbeat],
        on_message: MessageCallback,
        on_lost: Callable[[Link], None],
    ):
        """Set the dependencies; `on_lost` is called with each lost link."""
        self._deps = deps
        self._port = port
        self._make_heartbeat = make_heartbeat
        self._on_message = on_message
        self._on_lost = on_lost
        self._links: dict[Link, int] = {}
        self._newest: OrderedDict[Owner, int] = OrderedDict()
        self._server: asyncio.Server | None = None

    def __len__(self) -> int:
        return len(self._links)

    def __iter__(self) -> Iterator[Link]:
        return iter(list(self._links))

    @property
    def port(self) -> int:
        """Return the port; after `start`, the one that was bound."""
        if self._server is None:
            return self._port
        return self._server.sockets[0].getsockname()[1]

    async def start(self) -> None:
        """Start listening; raises `OSError` if the port is in use."""
        address = self._deps.settings.node.address
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(self._make_link, address, self._port)

    async def close(self) -> None:
        """Stop listening and close the links once all sent data has been delivered."""
        if self._server is not None:
            self._server.close()
        await asyncio.gather(*(link.finish() for link in self))

    def send_heartbeat(self) -> None:
        """Send a heartbeat on every link at once."""
        for link in self:
            link.send_heartbeat()

    def send(self, message: Message) -> None:
        """Send a message to every entry."""
        for link in self:
            link.send(message)

    def _make_link(self) -> Link:
        deps = self._deps
        return Link(
            "agent",
            deps.identity,
            deps.links,
            deps.events.clock,
            self._make_link_heartbeat,
            self._note_open,
            self._on_message,
            self._note_lost,
        )

    def _make_link_heartbeat(self, link: Link) -> Heartbeat:
        crashes, self._links[link] = self._deps.quarantine.list_changes(
            self._links.get(link, 0), self._deps.clock.monotonic()
        )
        return replace(self._make_heartbeat(), crashes=crashes)

    def _note_open(self, link: Link) -> None:
        owner = get_owner(link)
        if link.peer.link <= self._newest.get(owner, 0):
            # This link was dialled before the current one but opened only now, because
            # this process was paused. Its attempts must not be run: the entry may have
            # been notified over the newer link that they were never received.
            link.close("a newer link of the same entry is open")
            return
        self._note_newest(owner, link.peer.link)
        for other in self:
            if other is not link and other.is_open and get_owner(other) == owner:
                other.close("the entry has opened a newer link")
        self._links.setdefault(link, 0)
        self._deps.events.record("link.opened", peer=link.peer.process)

    def _note_newest(self, owner: Owner, number: int) -> None:
        self._newest[owner] = number
        self._newest.move_to_end(owner)
        if len(self._newest) > OWNERS:
            self._newest.popitem(last=False)

    def _note_lost(self, link: Link, reason: str) -> None:
        if self._links.pop(link, None) is None:
            return
        self._deps.events.record("link.lost", peer=link.peer.process, reason=reason)
        self._on_lost(link)
