"""Authorities: the control domains that an entry may hold the lease of.

A domain is an availability zone. Its candidates are a few entries of the zone, or of
others where it has none, chosen by rendezvous hash over the instance list.
"""

import logging
from collections.abc import Callable, Sequence
from dataclasses import replace
from datetime import timedelta
from typing import Any

from mustardquay.members import Instance, choose_readers
from mustardquay.orders import OrderRow

from .configurations import ConfigurationKeeper
from .controllers import Controller, lease_changed, rows_written
from .nodes import NodeParts

__all__ = ["Authorities", "choose_candidates"]

logger = logging.getLogger(__name__)


def choose_candidates(entries: Sequence[Instance], domain: str) -> list[str]:
    """Return the names of the entries that may hold the lease of a zone.

    >>> entry = Instance("entry-1", "entry", "127.0.0.1", 0, "north")
    >>> choose_candidates([entry], "south")
    ['entry-1']
    """
    own = [entry for entry in entries if entry.availability_zone == domain]
    pool = own or [replace(entry, availability_zone=domain) for entry in entries]
    return choose_readers(pool, domain)


class Authorities:
    """The controllers of one entry, one for each domain it may hold."""

    def __init__(
        self,
        parts: NodeParts,
        keeper: ConfigurationKeeper,
        term: timedelta,
        find_instance: Callable[[str], str],
        tell_changed: Callable[[str], None],
    ):
        """Take the parts.

        `find_instance` names the instance of an upstream, and `tell_changed` tells
        the agent of an upstream that its order row has changed.
        """
        self._parts = parts
        self._keeper = keeper
        self._term = term
        self._find_instance = find_instance
        self._tell_changed = tell_changed
        self._controllers: dict[str, Controller] = {}
        self._candidacies: set[str] = set()
        self._agents = 1

    @property
    def held(self) -> list[str]:
        """Return the domains whose lease this process holds."""
        return [name for name, item in self._controllers.items() if item.held]

    async def close(self) -> None:
        """Give up the leases, so that others go on at once."""
        lease_changed.disconnect(self._note_lease)
        rows_written.disconnect(self._note_rows)
        for controller in self._controllers.values():
            await controller.close()

    def start(self) -> None:
        """Begin to listen to the controllers that follow."""
        lease_changed.connect(self._note_lease)
        rows_written.connect(self._note_rows)

    async def follow(
        self, entries: Sequence[Instance], agents: Sequence[Instance]
    ) -> None:
        """Stand for the domains that the lists give this process."""
        self._agents = max(len(agents), 1)
        domains = {agent.availability_zone for agent in agents}
        name = self._parts.identity.process
        self._candidacies = {
            domain for domain in domains if name in choose_candidates(entries, domain)
        }
        for domain in sorted(self._candidacies - self._controllers.keys()):
            controller = self._make_controller(domain)
            self._controllers[domain] = controller
            await controller.start()

    def _make_controller(self, domain: str) -> Controller:
        parts = self._parts
        return Controller(
            domain,
            f"{parts.identity.process}-{parts.incarnation}",
            parts.platform.tables,
            self._keeper,
            parts.clock,
            parts.random,
            is_candidate=lambda: domain in self._candidacies,
            find_instance=self._find_instance,
            count_agents=lambda: self._agents,
            term=self._term,
        )

    def _note_lease(self, sender: Controller, held: bool, fence: int) -> None:
        for domain, controller in self._controllers.items():
            if controller is sender:
                kind = "lease.acquired" if held else "lease.lost"
                self._parts.events.record(kind, domain=domain, fence=fence)

    def _note_rows(self, sender: Controller, rows: dict[str, OrderRow]) -> None:
        if sender not in self._controllers.values():
            return
        for upstream, row in rows.items():
            self._parts.events.record(
                "order.written", upstream=upstream, **_describe(row)
            )
            self._tell_changed(upstream)


def _describe(row: OrderRow) -> dict[str, Any]:
    return {
        "generation": row.generation,
        "cause": row.cause,
        "role": row.desired.role.value,
        "serving": row.desired.serving,
    }
