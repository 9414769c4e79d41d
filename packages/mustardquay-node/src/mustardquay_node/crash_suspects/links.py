"""The link of a gateway to others, as the exchanges of suspects need it."""

from collections.abc import Callable, Iterable
from random import Random
from typing import Protocol

from ..peers import Address

__all__ = ["GatewayLink", "RECIPIENTS", "choose_recipients"]

RECIPIENTS = 10
"""Recipients of one datagram, drawn anew each time from all gateways. News that each
gateway passes on to so many is everywhere after three or four hops at 1,000 of them."""


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


def choose_recipients(link: GatewayLink, name: str, random: Random) -> list[str]:
    """Return a few gateways that are drawn from all others than `name`."""
    others = [each for each in link.names if each != name]
    return random.sample(others, min(RECIPIENTS, len(others)))
