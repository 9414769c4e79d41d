"""Contracts: `/admin/contracts` on the admin port."""

from typing import Any

from mustardquay.contracts import Contract
from mustardquay.documents import ContractDocument, check_document, describe_contract
from mustardquay.revisions import Configuration, ContractAmendment

from .amendments import LARGEST_REVISION, AmendmentHandler

__all__ = ["ContractHandler", "ContractsHandler"]

_PAGE = 1000


class ContractsHandler(AmendmentHandler):
    """`/admin/contracts`."""

    async def get(self) -> None:
        """Send a page of contracts, sorted by customer."""
        after = self.get_query_argument("after", "")
        limit = self.read_number("limit", _PAGE, 1, _PAGE)
        configuration = await self.actions.read_configuration()
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
        """Apply several contracts atomically, in one edit."""
        body = self.read_body()
        if not isinstance(body, dict) or not isinstance(body.get("contracts"), list):
            raise self.make_error(400, 'The body lacks a list "contracts"; add it.')
        documents = [
            check_document(ContractDocument, fields, f"contracts.{index}")
            for index, fields in enumerate(body["contracts"])
        ]
        version = await self.amend(*(_amend_contract(item) for item in documents))
        contracts = [_describe_new(item, version) for item in documents]
        self.send({"version": version, "contracts": contracts})


class ContractHandler(AmendmentHandler):
    """`/admin/contracts/CUSTOMER`."""

    async def get(self, customer: str) -> None:
        """Send one contract."""
        configuration = await self.actions.read_configuration()
        self.send(describe_contract(self._find(configuration, customer)))

    async def put(self, customer: str) -> None:
        """Create or replace one contract."""
        await self._apply(customer, self.read_body())

    async def patch(self, customer: str) -> None:
        """Change some fields; `keys` are added, other fields are replaced.

        Without a `revision` in the body, the edit applies to the revision that was
        just read, so that a concurrent edit still causes a conflict.
        """
        changes = self.read_body()
        if not isinstance(changes, dict):
            raise self.make_error(400, "The body must be a JSON object; mend it.")
        configuration = await self.actions.read_configuration()
        present = describe_contract(self._find(configuration, customer))
        lateness = changes.get("lateness", {})
        if isinstance(lateness, dict):
            changes = changes | {"lateness": present["lateness"] | lateness}
        await self._apply(customer, present | changes)

    async def delete(self, customer: str) -> None:
        """Remove the contract if its revision is the one in `?revision=`."""
        revision = self.read_number("revision", 0, 0, LARGEST_REVISION)
        self._find(await self.actions.read_configuration(), customer)
        version = await self.amend(ContractAmendment(customer, revision, None))
        self.send({"version": version})

    async def _apply(self, customer: str, fields: Any) -> None:
        document = check_document(ContractDocument, fields, "contract")
        if document.customer != customer:
            raise self.make_error(
                400,
                f"customer: is {document.customer} in the body and {customer} in the "
                "path; make them equal.",
            )
        version = await self.amend(_amend_contract(document))
        self.send(_describe_new(document, version))

    def _find(self, configuration: Configuration, customer: str) -> Contract:
        contract = configuration.contracts.get(customer)
        if contract is None:
            raise self.make_error(
                404, f"There is no contract of {customer}; list them or apply one."
            )
        return contract


def _amend_contract(document: ContractDocument) -> ContractAmendment:
    contract = document.to_contract()
    return ContractAmendment(contract.customer, contract.revision, contract)


def _describe_new(document: ContractDocument, version: int) -> dict[str, Any]:
    return describe_contract(document.to_contract()) | {"revision": version}
