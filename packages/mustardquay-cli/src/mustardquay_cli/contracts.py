"""Contracts: `mustardquay contract`."""

from datetime import timedelta
from pathlib import Path
from typing import Annotated, Any

import typer

from mustardquay.documents import ContractDocument, describe_contract, read_contract
from mustardquay.errors import DocumentError

from .clients import AdminClient, join_path
from .failures import CommandError, ConflictFailure, ExitCode
from .options import (
    AdminOption,
    JSONOption,
    KeyOption,
    RevisionOption,
    TimeoutOption,
    WaitOption,
    WaitTimeoutOption,
    make_client,
)
from .outputs import print_ini, print_json, print_note, print_table, run
from .waits import limit_wait, wait_for_version

__all__ = ["app"]

app = typer.Typer(
    no_args_is_help=True,
    rich_markup_mode=None,
    help="Write, read and amend the contracts of customers.",
)

CustomerArgument = Annotated[str, typer.Argument(metavar="CUSTOMER")]

_LISTS = ("keys", "key_hashes", "models", "adapters", "services")


@app.command()
def apply(
    files: Annotated[list[Path], typer.Argument(metavar="FILE")],
    admin: AdminOption = [],  # noqa: B006
    key: KeyOption = "",
    timeout: TimeoutOption = 10,
    wait: WaitOption = False,
    wait_timeout: WaitTimeoutOption = 16,
    json: JSONOption = False,
) -> None:
    """Put contracts into force: all of the files in one edit, or none.

    A file without a revision makes a new contract. To amend one, write the revision
    that `contract show` gives into the file; if another operator was faster, nothing
    is changed and the present contract is shown. A file that says what is already in
    force changes nothing.

    \b
    Examples:
      mustardquay contract apply contracts/*.ini
      mustardquay contract show tram-app > tram-app.ini
      mustardquay contract apply tram-app.ini --wait
    """
    run(
        _apply(
            make_client(admin, key, timeout),
            files,
            limit_wait(wait, wait_timeout),
            json,
        )
    )


@app.command()
def show(
    customer: CustomerArgument,
    admin: AdminOption = [],  # noqa: B006
    key: KeyOption = "",
    timeout: TimeoutOption = 10,
    json: JSONOption = False,
) -> None:
    """Show a contract as a file that can be changed and applied again.

    \b
    Example:
      mustardquay contract show tram-app > tram-app.ini
    """
    client = make_client(admin, key, timeout)
    contract = run(client.get(join_path("contracts", customer)))
    if json:
        print_json(contract)
    else:
        print_ini("contract", contract)


@app.command("list")
def list_contracts(
    admin: AdminOption = [],  # noqa: B006
    key: KeyOption = "",
    timeout: TimeoutOption = 10,
    json: JSONOption = False,
) -> None:
    """List all contracts.

    \b
    Examples:
      mustardquay contract list
      mustardquay contract list --json
    """
    contracts = run(_list(make_client(admin, key, timeout)))
    if json:
        print_json(contracts)
        return
    heads = ("customer", "share", "priority", "models", "services", "revision")
    print_table(heads, ([item[head] for head in heads] for item in contracts))


@app.command()
def amend(
    customer: CustomerArgument,
    changes: Annotated[list[str], typer.Argument(metavar="FIELD=VALUE")],
    admin: AdminOption = [],  # noqa: B006
    key: KeyOption = "",
    timeout: TimeoutOption = 10,
    revision: RevisionOption = None,
    wait: WaitOption = False,
    wait_timeout: WaitTimeoutOption = 16,
    json: JSONOption = False,
) -> None:
    """Change some fields of a contract; the others stay.

    Several words are parted by spaces or commas. `keys` adds bearer keys, so that
    callers can move to a new one; `key_hashes` sets which keys are left, as SHA-256
    in hex.

    \b
    Examples:
      mustardquay contract amend tram-app share=0.25 lateness.whole=20
      mustardquay contract amend tram-app keys=NEW-KEY
      mustardquay contract amend tram-app models="reader writer" --revision 7
    """
    body = _read_changes(changes)
    if revision is not None:
        body["revision"] = revision
    run(
        _amend(
            make_client(admin, key, timeout),
            customer,
            body,
            limit_wait(wait, wait_timeout),
            json,
        )
    )


@app.command()
def remove(
    customer: CustomerArgument,
    revision: Annotated[
        int, typer.Option("--revision", min=1, help="Revision that is removed.")
    ],
    admin: AdminOption = [],  # noqa: B006
    key: KeyOption = "",
    timeout: TimeoutOption = 10,
    wait: WaitOption = False,
    wait_timeout: WaitTimeoutOption = 16,
) -> None:
    """End a contract; the customer's keys no longer work.

    \b
    Example:
      mustardquay contract remove tram-app --revision 7
    """
    client = make_client(admin, key, timeout)
    path = f"{join_path('contracts', customer)}?revision={revision}"
    version = run(client.edit("DELETE", path))["version"]
    print_note(f"The contract of {customer} is removed by version {version}.")
    if wait:
        run(wait_for_version(client, version, timedelta(seconds=wait_timeout)))


async def _apply(
    client: AdminClient, files: list[Path], wait: timedelta | None, json: bool
) -> None:
    documents = [_read_file(file) for file in files]
    result = await _send(client, documents)
    if json:
        print_json(result)
    else:
        heads = ("customer", "share", "priority", "revision", "result")
        rows = ([item[head] for head in heads] for item in result["contracts"])
        print_table(heads, rows)
    if wait is not None:
        await wait_for_version(client, result["version"], wait)


async def _send(
    client: AdminClient, documents: list[ContractDocument]
) -> dict[str, Any]:
    """Apply what differs from what is in force; return how each came out."""
    unchanged: dict[str, dict[str, Any]] = {}
    try:
        answer = await _post(client, documents)
    except ConflictFailure as failure:
        unchanged = _find_unchanged(documents, failure)
        if len(unchanged) < len(failure.conflicts):
            raise _explain_conflict(failure) from None
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
    # Digests are made here already, so that plain keys don't leave this machine.
    contracts = [describe_contract(document.to_contract()) for document in documents]
    return await client.edit("POST", join_path("contracts"), {"contracts": contracts})


def _find_unchanged(
    documents: list[ContractDocument], failure: ConflictFailure
) -> dict[str, dict[str, Any]]:
    """Return the present contracts that say the same as their documents."""
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


def _explain_conflict(failure: ConflictFailure) -> CommandError:
    lines = [str(failure)]
    for conflict in failure.conflicts:
        present = conflict.get("present")
        if present:
            shown = ", ".join(f"{name}={value}" for name, value in present.items())
            lines.append(f"  now: {shown}")
    return CommandError("\n".join(lines), ExitCode.CONFLICT)


async def _list(client: AdminClient) -> list[dict[str, Any]]:
    contracts: list[dict[str, Any]] = []
    after = ""
    while after is not None:
        page = await client.get(join_path("contracts"), after=after)
        contracts += page["contracts"]
        after = page["next"]
    return contracts


async def _amend(
    client: AdminClient,
    customer: str,
    body: dict[str, Any],
    wait: timedelta | None,
    json: bool,
) -> None:
    try:
        contract = await client.edit("PATCH", join_path("contracts", customer), body)
    except ConflictFailure as failure:
        raise _explain_conflict(failure) from None
    if json:
        print_json(contract)
    else:
        print_ini("contract", contract)
    if wait is not None:
        await wait_for_version(client, contract["revision"], wait)


def _read_file(file: Path) -> ContractDocument:
    try:
        return read_contract(file.read_text(encoding="utf-8"), str(file))
    except (OSError, UnicodeDecodeError) as error:
        raise DocumentError(
            f"{file}: can't be read ({error}); check the path."
        ) from None


def _read_changes(changes: list[str]) -> dict[str, Any]:
    """Return the JSON fields of `FIELD=VALUE` arguments."""
    body: dict[str, Any] = {}
    for change in changes:
        name, equals, value = change.partition("=")
        if not equals:
            raise typer.BadParameter(f"{change} lacks a =; write FIELD=VALUE.")
        if name.startswith("lateness."):
            body.setdefault("lateness", {})[name.removeprefix("lateness.")] = value
        elif name in _LISTS:
            body[name] = value.replace(",", " ").split()
        else:
            body[name] = value
    return body
