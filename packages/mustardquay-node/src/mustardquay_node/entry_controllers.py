"""The controllers of an entry, one for each control domain it may hold the lease of.

A domain is an availability zone; `membership.choose_domains` says which entries
compete for its lease.
"""

import logging
from collections.abc import Callable, Sequence
from datetime import timedelta
from typing import Any

from mustardquay.membership import Instance, choose_domains
from mustardquay.orders import OrderRow

from .configurations import ConfigurationReplica
from .controllers import Controller, lease_changed, rows_written
from .domain_controllers import DomainControllers
from .nodes import NodeDependencies

__all__ = ["EntryControllers"]

logger = logging.getLogger(__name__)


class EntryControllers:
    """Runs a controller for each domain that this entry may hold the lease of."""

    def __init__(
        self,
        deps: NodeDependencies,
        replica: ConfigurationReplica,
        term: timedelta,
        find_instance: Callable[[str], str],
        notify_changed: Callable[[str], None],
    ):
        """Take the dependencies.

        `find_instance` returns the instance of an upstream, and `notify_changed`
        notifies the agent of an upstream that its order row has changed.
        """
        self._deps = deps
        self._replica = replica
        self._term = term
        self._find_instance = find_instance
        self._notify_changed = notify_changed
        self._domains = DomainControllers(self._make_controller)
        self._agents = 1

    @property
    def held(self) -> list[str]:
        """Return the domains whose lease this process holds."""
        return self._domains.held

    async def close(self) -> None:
        """Release the leases, so that other entries can take them at once."""
        lease_changed.disconnect(self._note_lease)
        rows_written.disconnect(self._note_rows)
        await self._domains.close()

    def start(self) -> None:
        """Subscribe to the signals of the controllers."""
        lease_changed.connect(self._note_lease)
        rows_written.connect(self._note_rows)

    async def set_instances(
        self, entries: Sequence[Instance], agents: Sequence[Instance]
    ) -> None:
        """Compete for the domains that the instance lists assign to this process."""
        self._agents = max(len(agents), 1)
        name = self._deps.identity.process
        await self._domains.set_domains(choose_domains(name, entries, agents))

    def _make_controller(self, domain: str) -> Controller:
        deps = self._deps
        return Controller(
            domain,
            f"{deps.identity.process}-{deps.incarnation}",
            deps.platform.tables,
            self._replica,
            deps.clock,
            deps.random,
            find_instance=self._find_instance,
            count_agents=lambda: self._agents,
            term=self._term,
        )

    def _note_lease(self, sender: Controller, held: bool, fence: int) -> None:
        if self._domains.owns(sender):
            kind = "lease.acquired" if held else "lease.lost"
            self._deps.events.record(kind, domain=sender.domain, fence=fence)

    def _note_rows(self, sender: Controller, rows: dict[str, OrderRow]) -> None:
        if not self._domains.owns(sender):
            return
        for upstream, row in rows.items():
            self._deps.events.record(
                "order.written", upstream=upstream, **_describe_order(row)
            )
            self._notify_changed(upstream)


def _describe_order(row: OrderRow) -> dict[str, Any]:
    return {
        "generation": row.generation,
        "cause": row.cause,
        "role": row.desired.role.value,
        "serving": row.desired.serving,
    }
