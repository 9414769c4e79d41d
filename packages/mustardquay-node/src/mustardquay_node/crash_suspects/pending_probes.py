"""Probes of upstreams on which requests broke, by what may have crashed them."""

import asyncio
from collections import defaultdict

__all__ = ["PendingProbes"]


class PendingProbes:
    """The probes that have not ended, by the key of a request or a part."""

    def __init__(self) -> None:
        self._probes: defaultdict[int, set[asyncio.Task[None]]] = defaultdict(set)

    def add(self, key: int, probe: "asyncio.Task[None]") -> None:
        """Add the probe of an upstream on which a send broke."""
        self._probes[key].add(probe)
        probe.add_done_callback(lambda done: self._end(key, done))

    def count(self, key: int) -> int:
        """Return the number of probes that have not ended."""
        return len(self._probes.get(key, ()))

    async def wait(self, key: int) -> None:
        """Wait until the probes that run now have ended."""
        probes = self._probes.get(key)
        if probes:
            await asyncio.wait(set(probes))

    def _end(self, key: int, probe: "asyncio.Task[None]") -> None:
        probes = self._probes[key]
        probes.discard(probe)
        if not probes:
            del self._probes[key]
