"""The exchanges with other gateways on whole requests and on parts of prompts."""

from collections.abc import Collection
from random import Random

from .body_exchanges import BodyExchange
from .body_reporters import CrashReporter
from .links import GatewayLink
from .part_exchanges import PartExchange

__all__ = ["SuspectExchange"]


class SuspectExchange:
    """Tells other gateways of what crashes upstreams, and hears from them."""

    def __init__(
        self, name: str, reporter: CrashReporter, link: GatewayLink, random: Random
    ):
        self._bodies = BodyExchange(name, reporter, link, random)
        self._parts = PartExchange(name, reporter.parts, link, random)

    def start(self) -> None:
        """Start to hear and send news."""
        self._bodies.start()
        self._parts.start()

    async def close(self) -> None:
        """Stop; other gateways keep what they know."""
        await self._bodies.close()
        await self._parts.close()

    def notify(self) -> None:
        """Have news of parts sent at once."""
        self._parts.notify()

    def note_registered(self, gateways: Collection[str]) -> None:
        """Tell gateways that have started, or are listed first, of refused parts."""
        self._parts.note_registered(gateways)
