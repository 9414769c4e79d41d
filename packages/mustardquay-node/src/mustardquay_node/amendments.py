"""Amendments: the common part of the admin handlers that edit the configuration.

Each edit contains the revision of each item that it amends and a change id. The
change id makes it idempotent: after a lost answer the same edit may be sent again
and is not applied twice.
"""

from collections.abc import Awaitable, Callable, Sequence
from typing import Any, Protocol, TypeVar
from uuid import uuid4

import orjson

from mustardquay.documents import describe_change, describe_contract
from mustardquay.errors import ConflictError
from mustardquay.releases import describe_release
from mustardquay.revisions import Amendment, Configuration, Edit

from .admin_handlers import AdminHandler

__all__ = [
    "CHANGE_ID_HEADER",
    "LARGEST_REVISION",
    "AdminActions",
    "AmendmentHandler",
]

CHANGE_ID_HEADER = "Mustardquay-Change"
"""Request header with the change id; if it is missing, an id is generated."""

Result = TypeVar("Result")

LARGEST_REVISION = 2**53


class AdminActions(Protocol):
    """The configuration actions of an entry's admin port."""

    async def read_configuration(self) -> Configuration:
        """Return the newest configuration, confirmed by the store if available."""

    async def apply_edit(self, edit: Edit) -> int:
        """Append the edit to the log and return its version.

        Raises `ConflictError`, `DocumentError`, `StoreUnavailable` (not applied)
        or `StoreResultUnknown` (send the same edit again).
        """

    async def preview_edit(self, edit: Edit) -> Sequence[str]:
        """Return the costs of the edit, one sentence each, without applying it.

        Raises the same errors as `apply_edit` if the edit would be refused.
        """


class AmendmentHandler(AdminHandler):
    """Edits the configuration; a conflict is answered with the current items."""

    def initialize(self, actions: AdminActions, **keyed: Any) -> None:
        """Set the actions and the arguments of every admin handler."""
        super().initialize(**keyed)
        self.actions = actions
        self._amendments: tuple[Amendment, ...] = ()
        self._present: Configuration | None = None

    def read_body(self) -> Any:
        """Return the JSON body."""
        try:
            return orjson.loads(self.request.body)
        except orjson.JSONDecodeError as error:
            raise self.make_error(
                400, f"The body is not JSON ({error}); mend it."
            ) from None

    async def amend(self, *amendments: Amendment) -> int:
        """Apply amendments in one edit and return the new version."""
        return await self._try(self.actions.apply_edit, amendments)

    async def preview(self, *amendments: Amendment) -> Sequence[str]:
        """Return the costs of the amendments without applying them."""
        return await self._try(self.actions.preview_edit, amendments)

    async def _try(
        self,
        act: Callable[[Edit], Awaitable[Result]],
        amendments: tuple[Amendment, ...],
    ) -> Result:
        self._amendments = amendments
        change_id = self.request.headers.get(CHANGE_ID_HEADER) or uuid4().hex
        try:
            return await act(Edit(change_id, self.operator, amendments))
        except ConflictError:
            self._present = await self.actions.read_configuration()
            raise

    def add_details(self, error: BaseException | None) -> dict[str, Any]:
        """Return the current state of each item that a refused edit conflicts with."""
        if self._present is None or not isinstance(error, ConflictError):
            return {}
        conflicts = [
            _describe_conflict(self._present, amendment)
            for amendment in self._amendments
            if self._present.find_revision(amendment) != amendment.revision
        ]
        return {"conflicts": conflicts}


def _describe_conflict(
    configuration: Configuration, amendment: Amendment
) -> dict[str, Any]:
    return {
        "kind": amendment.kind,
        "name": amendment.name,
        "amended": amendment.revision,
        "revision": configuration.find_revision(amendment),
        "present": _describe_present(configuration, amendment),
    }


def _describe_present(
    configuration: Configuration, amendment: Amendment
) -> dict[str, Any] | None:
    match amendment.kind:
        case "contract":
            items, describe = configuration.contracts, describe_contract
        case "change":
            items, describe = configuration.changes, describe_change
        case _:
            items, describe = configuration.releases, describe_release
    present = items.get(amendment.name)
    return None if present is None else describe(present)
