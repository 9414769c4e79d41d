"""Contract edits: apply documents in one edit, and explain conflicts."""

from typing import Any

from mustardquay.documents import ContractDocument, describe_contract

from .clients import AdminClient, join_path
from .failures import CommandError, ConflictFailure, ExitCode

__all__ = ["apply_documents", "explain_conflict"]


async def apply_documents(
    client: AdminClient, documents: list[ContractDocument]
) -> dict[str, Any]:
    """Apply the documents that differ from those in force; return each result."""
    unchanged: dict[str, dict[str, Any]] = {}
    try:
        answer = await _post(client, documents)
    except ConflictFailure as failure:
        unchanged = _find_unchanged(documents, failure)
        if len(unchanged) < len(failure.conflicts):
            raise explain_conflict(failure) from None
        rest = [item for item in documents if item.customer not in unchanged]
        version = max(item["revision"] for item in unchanged.values())
        answer = {"version": version, "contracts": []}
        if rest:
            answer = await _post(client, rest)
    results = {
        item["customer"]: item | {"result": "applied"} for item in answer["contracts"]
    }
    results |= {
        name: item | {"result": "unchanged"} for name, item in unchanged.items()
    }
    ordered = [results[document.customer] for document in documents]
    return {"version": answer["version"], "contracts": ordered}


async def _post(client: AdminClient, documents: list[ContractDocument]) -> Any:
    # Keys are hashed here, so that plain keys don't leave this machine.
    contracts = [describe_contract(document.to_contract()) for document in documents]
    return await client.edit("POST", join_path("contracts"), {"contracts": contracts})


def _find_unchanged(
    documents: list[ContractDocument], failure: ConflictFailure
) -> dict[str, dict[str, Any]]:
    """Return the current contracts that equal their documents."""
    wanted = {
        document.customer: describe_contract(document.to_contract())
        for document in documents
    }
    unchanged = {}
    for conflict in failure.conflicts:
        present = conflict.get("present")
        name = conflict.get("name", "")
        if present and name in wanted:
            same = wanted[name] | {"revision": present["revision"]} == present
            if same:
                unchanged[name] = present
    return unchanged


def explain_conflict(failure: ConflictFailure) -> CommandError:
    """Return an error that lists the current value of each conflicting item."""
    lines = [str(failure)]
    for conflict in failure.conflicts:
        present = conflict.get("present")
        if present:
            shown = ", ".join(f"{name}={value}" for name, value in present.items())
            lines.append(f"  now: {shown}")
    return CommandError("\n".join(lines), ExitCode.CONFLICT)
