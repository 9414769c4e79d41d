"""Authorities: the control domains that an entry may hold the lease of.

A domain is an availability zone; `members.choose_domains` says which entries compete
for its lease.
"""

import logging
from collections.abc import Callable, Sequence
from datetime import timedelta
from typing import Any

from mustardquay.membership import Instance, choose_domains
from mustardquay.orders import OrderRow

from .configurations import ConfigurationKeeper
from .controllers import Controller, lease_changed, rows_written
from .domains import Domains
from .nodes import NodeParts

__all__ = ["Authorities"]

logger = logging.getLogger(__name__)


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
        self._domains = Domains(self._make_controller)
        self._agents = 1

    @property
    def held(self) -> list[str]:
        """Return the domains whose lease this process holds."""
        return self._domains.held

    async def close(self) -> None:
        """Give up the leases, so that others go on at once."""
        lease_changed.disconnect(self._note_lease)
        rows_written.disconnect(self._note_rows)
        await self._domains.close()

    def start(self) -> None:
        """Begin to listen to the controllers that follow."""
        lease_changed.connect(self._note_lease)
        rows_written.connect(self._note_rows)

    async def follow(
        self, entries: Sequence[Instance], agents: Sequence[Instance]
    ) -> None:
        """Stand for the domains that the lists give this process."""
        self._agents = max(len(agents), 1)
        name = self._parts.identity.process
        await self._domains.set_domains(choose_domains(name, entries, agents))

    def _make_controller(self, domain: str) -> Controller:
        parts = self._parts
        return Controller(
            domain,
            f"{parts.identity.process}-{parts.incarnation}",
            parts.platform.tables,
            self._keeper,
            parts.clock,
            parts.random,
            find_instance=self._find_instance,
            count_agents=lambda: self._agents,
            term=self._term,
        )

    def _note_lease(self, sender: Controller, held: bool, fence: int) -> None:
        if self._domains.owns(sender):
            kind = "lease.acquired" if held else "lease.lost"
            self._parts.events.record(kind, domain=sender.domain, fence=fence)

    def _note_rows(self, sender: Controller, rows: dict[str, OrderRow]) -> None:
        if not self._domains.owns(sender):
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
