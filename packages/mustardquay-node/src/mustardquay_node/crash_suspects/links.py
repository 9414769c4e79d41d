"""The link of a gateway to others, as the exchanges of suspects need it."""

from collections.abc import Callable, Iterable
from typing import Protocol

from ..peers import Address

__all__ = ["GatewayLink"]


class GatewayLink(Protocol):
    """The link to other gateways, as `PeerLink` has it."""

    @property
    def names(self) -> list[str]:
        """Return the names of the registered gateways, including this one."""

    @property
    def neighbours(self) -> list[str]:
        """Return the names of the gateways that exchange digests with this one."""

    def send_to(self, data: bytes, names: Iterable[str]) -> None:
        """Send a datagram to some gateways."""

    def add_channel(
        self, prefix: bytes, receive: Callable[[bytes, Address], None]
    ) -> None:
        """Pass on datagrams that begin with a prefix."""
