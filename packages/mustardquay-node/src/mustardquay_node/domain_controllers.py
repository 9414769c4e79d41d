"""Starts and closes the controllers of an entry as its control domains change."""

import asyncio
from collections.abc import Callable, Iterable

from .controllers import Controller

__all__ = ["DomainControllers"]


class DomainControllers:
    """The running controllers of an entry, by control domain."""

    def __init__(self, make_controller: Callable[[str], Controller]):
        self._make_controller = make_controller
        self._controllers: dict[str, Controller] = {}

    @property
    def held(self) -> list[str]:
        """Return the domains whose lease this entry holds."""
        return sorted(
            name for name, controller in self._controllers.items() if controller.held
        )

    def owns(self, controller: Controller) -> bool:
        """Return whether a controller belongs to this entry."""
        return controller in self._controllers.values()

    async def set_domains(self, domains: Iterable[str]) -> None:
        """Compete for the leases of these domains and release all others."""
        wanted = set(domains)
        for domain in sorted(wanted - self._controllers.keys()):
            controller = self._make_controller(domain)
            self._controllers[domain] = controller
            await controller.start()
        await self._close(self._controllers.keys() - wanted)

    async def close(self) -> None:
        """Release all leases."""
        await self._close(set(self._controllers))

    async def _close(self, domains: set[str]) -> None:
        controllers = [self._controllers.pop(domain) for domain in sorted(domains)]
        await asyncio.gather(*(controller.close() for controller in controllers))
