"""Amendments: contracts and planned changes on the admin port.

Each edit names the revision of what it amends, and a change id, under which it may
be sent again after a lost answer without being applied twice.
"""

from typing import Any, Protocol
from uuid import uuid4

import orjson

from mustardquay.documents import (
    ChangeDocument,
    ContractDocument,
    check_document,
    describe_change,
    describe_contract,
)
from mustardquay.errors import ConflictError
from mustardquay.revisions import (
    Amendment,
    ChangeAmendment,
    Configuration,
    ContractAmendment,
    Edit,
)

from .handlers import AdminHandler

__all__ = ["CHANGE_ID_HEADER", "AdminActions", "list_editors"]

CHANGE_ID_HEADER = "Mustardquay-Change"
"""Request header with the change id; without it one is made up."""

_PAGE = 1000
_LARGEST = 2**53


class AdminActions(Protocol):
    """What the admin port of an entry can do."""

    async def read_configuration(self) -> Configuration:
        """Return the newest configuration, confirmed by the store if it is up."""

    async def apply_edit(self, edit: Edit) -> int:
        """Append the edit to the log and return its version.

        Raises `ConflictError`, `DocumentError`, `StoreUnavailable` (not applied)
        or `StoreUnclear` (send the same edit again).
        """


def list_editors(actions: AdminActions, keyed: dict[str, Any]) -> list[tuple]:
    """Return the rules for contracts and planned changes."""
    options = keyed | {"actions": actions}
    return [
        (r"/admin/contracts", _ContractsHandler, options),
        (r"/admin/contracts/([^/]+)", _ContractHandler, options),
        (r"/admin/changes", _ChangesHandler, options),
        (r"/admin/changes/([^/]+)", _ChangeHandler, options),
    ]


class _Editor(AdminHandler):
    def initialize(self, actions: AdminActions, **keyed: Any) -> None:
        super().initialize(**keyed)
        self._actions = actions
        self._amendments: tuple[Amendment, ...] = ()
        self._present: Configuration | None = None

    def read_body(self) -> Any:
        """Return the JSON body."""
        try:
            return orjson.loads(self.request.body)
        except orjson.JSONDecodeError as error:
            raise self.fault(400, f"The body is not JSON ({error}); mend it.") from None

    async def amend(self, *amendments: Amendment) -> int:
        """Apply amendments in one edit and return the new version."""
        self._amendments = amendments
        change_id = self.request.headers.get(CHANGE_ID_HEADER) or uuid4().hex
        edit = Edit(change_id, self.operator, amendments)
        try:
            return await self._actions.apply_edit(edit)
        except ConflictError:
            self._present = await self._actions.read_configuration()
            raise

    def add_details(self, error: BaseException | None) -> dict[str, Any]:
        """Show what is there now of all that a lost edit named."""
        if self._present is None or not isinstance(error, ConflictError):
            return {}
        conflicts = [
            _describe_conflict(self._present, amendment)
            for amendment in self._amendments
            if self._present.find_revision(amendment) != amendment.revision
        ]
        return {"conflicts": conflicts}


class _ContractsHandler(_Editor):
    async def get(self) -> None:
        """Send a page of contracts in the order of customers."""
        after = self.get_query_argument("after", "")
        limit = self.read_number("limit", _PAGE, 1, _PAGE)
        configuration = await self._actions.read_configuration()
        names = sorted(name for name in configuration.contracts if name > after)
        page = [configuration.contracts[name] for name in names[:limit]]
        self.send(
            {
                "version": configuration.version,
                "contracts": [describe_contract(contract) for contract in page],
                "next": names[limit - 1] if len(names) > limit else None,
            }
        )

    async def post(self) -> None:
        """Apply several contracts in one edit: all of them or none."""
        body = self.read_body()
        if not isinstance(body, dict) or not isinstance(body.get("contracts"), list):
            raise self.fault(400, 'The body lacks a list "contracts"; add it.')
        documents = [
            check_document(ContractDocument, fields, f"contracts.{index}")
            for index, fields in enumerate(body["contracts"])
        ]
        version = await self.amend(*(_amend_contract(item) for item in documents))
        contracts = [_describe_new(item, version) for item in documents]
        self.send({"version": version, "contracts": contracts})


class _ContractHandler(_Editor):
    async def get(self, customer: str) -> None:
        configuration = await self._actions.read_configuration()
        self.send(describe_contract(self._find(configuration, customer)))

    async def put(self, customer: str) -> None:
        await self._apply(customer, self.read_body())

    async def patch(self, customer: str) -> None:
        """Change some fields; `keys` are added, all others replace.

        Without a `revision` in the body, the one that was just read is amended, so
        that an edit that comes between still leads to a conflict.
        """
        changes = self.read_body()
        if not isinstance(changes, dict):
            raise self.fault(400, "The body must be a JSON object; mend it.")
        configuration = await self._actions.read_configuration()
        present = describe_contract(self._find(configuration, customer))
        lateness = changes.get("lateness", {})
        if isinstance(lateness, dict):
            changes = changes | {"lateness": present["lateness"] | lateness}
        await self._apply(customer, present | changes)

    async def delete(self, customer: str) -> None:
        """Remove the contract whose revision `?revision=` names."""
        revision = self.read_number("revision", 0, 0, _LARGEST)
        self._find(await self._actions.read_configuration(), customer)
        version = await self.amend(ContractAmendment(customer, revision, None))
        self.send({"version": version})

    async def _apply(self, customer: str, fields: Any) -> None:
        document = check_document(ContractDocument, fields, "contract")
        if document.customer != customer:
            raise self.fault(
                400,
                f"customer: is {document.customer} in the body and {customer} in the "
                "path; make them equal.",
            )
        version = await self.amend(_amend_contract(document))
        self.send(_describe_new(document, version))

    def _find(self, configuration: Configuration, customer: str) -> Any:
        contract = configuration.contracts.get(customer)
        if contract is None:
            raise self.fault(
                404, f"There is no contract of {customer}; list them or apply one."
            )
        return contract


class _ChangesHandler(_Editor):
    async def get(self) -> None:
        """Send all the planned changes in the order of their names."""
        configuration = await self._actions.read_configuration()
        changes = sorted(configuration.changes.items())
        self.send(
            {
                "version": configuration.version,
                "changes": [describe_change(change) for _, change in changes],
            }
        )

    async def post(self) -> None:
        """Announce a planned change."""
        document = check_document(ChangeDocument, self.read_body(), "change")
        change = document.to_change()
        amendment = ChangeAmendment(change.name, change.revision, change)
        version = await self.amend(amendment)
        self.send(describe_change(change) | {"revision": version})


class _ChangeHandler(_Editor):
    async def get(self, name: str) -> None:
        configuration = await self._actions.read_configuration()
        self.send(describe_change(self._find(configuration, name)))

    async def delete(self, name: str) -> None:
        """Cancel the change; `?revision=` guards against a racing edit."""
        configuration = await self._actions.read_configuration()
        present = self._find(configuration, name).revision
        revision = self.read_number("revision", present, 0, _LARGEST)
        version = await self.amend(ChangeAmendment(name, revision, None))
        self.send({"version": version})

    def _find(self, configuration: Configuration, name: str) -> Any:
        change = configuration.changes.get(name)
        if change is None:
            raise self.fault(
                404, f"There is no planned change {name}; list them or announce one."
            )
        return change


def _amend_contract(document: ContractDocument) -> ContractAmendment:
    contract = document.to_contract()
    return ContractAmendment(contract.customer, contract.revision, contract)


def _describe_new(document: ContractDocument, version: int) -> dict[str, Any]:
    return describe_contract(document.to_contract()) | {"revision": version}


def _describe_conflict(
    configuration: Configuration, amendment: Amendment
) -> dict[str, Any]:
    present: Any = None
    if amendment.kind == "contract" and amendment.name in configuration.contracts:
        present = describe_contract(configuration.contracts[amendment.name])
    elif amendment.kind == "change" and amendment.name in configuration.changes:
        present = describe_change(configuration.changes[amendment.name])
    return {
        "kind": amendment.kind,
        "name": amendment.name,
        "amended": amendment.revision,
        "revision": configuration.find_revision(amendment),
        "present": present,
    }
