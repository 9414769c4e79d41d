"""Contracts: `mustardquay contract`."""

from datetime import timedelta
from pathlib import Path
from typing import Annotated, Any

import typer

from mustardquay.documents import (
    hash_keys,
    parse_contract,
)

from .clients import AdminClient, join_path
from .contract_edits import apply_documents, explain_conflict
from .failures import ConflictFailure
from .files import read_file
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
from .outputs import (
    print_document,
    print_ini,
    print_items,
    print_json,
    print_note,
    print_table,
    run,
)
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
    """Apply contracts: all of the files in one edit, or none.

    A file without a revision makes a new contract. To amend one, write the revision
    that `contract show` prints into the file; if another operator changed the contract
    since, nothing is changed and the current contract is shown. A file that equals the
    contract in force changes nothing.

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
    print_document("contract", contract, json)


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
    heads = ("customer", "share", "priority", "models", "services", "revision")
    print_items(heads, contracts, json)


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

    Separate several words by spaces or commas. `keys` adds bearer keys, so that
    callers can move to a new one; `key_hashes` sets the keys that remain valid, as
    SHA-256 in hex.

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
        int, typer.Option("--revision", min=1, help="Revision to remove.")
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
    documents = [read_file(file, parse_contract) for file in files]
    result = await apply_documents(client, documents)
    if json:
        print_json(result)
    else:
        heads = ("customer", "share", "priority", "revision", "result")
        rows = ([item[head] for head in heads] for item in result["contracts"])
        print_table(heads, rows)
    if wait is not None:
        await wait_for_version(client, result["version"], wait)


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
    path = join_path("contracts", customer)
    if "keys" in body:
        await _replace_keys(client, path, body)
    try:
        contract = await client.edit("PATCH", path, body)
    except ConflictFailure as failure:
        raise explain_conflict(failure) from None
    if json:
        print_json(contract)
    else:
        print_ini("contract", contract)
    if wait is not None:
        await wait_for_version(client, contract["revision"], wait)


async def _replace_keys(client: AdminClient, path: str, body: dict[str, Any]) -> None:
    """Replace plain keys by their digests, so that keys don't leave this machine."""
    present = await client.get(path)
    kept = body.get("key_hashes", present["key_hashes"])
    body["key_hashes"] = [*kept, *hash_keys(body.pop("keys"), "arguments")]
    body.setdefault("revision", present["revision"])


def _read_changes(changes: list[str]) -> dict[str, Any]:
    """Return the JSON fields of `FIELD=VALUE` arguments."""
    body: dict[str, Any] = {}
    for change in changes:
        name, equals, value = change.partition("=")
        if not equals:
            raise typer.BadParameter(f"{change} has no =; write FIELD=VALUE.")
        if name.startswith("lateness."):
            body.setdefault("lateness", {})[name.removeprefix("lateness.")] = value
        elif name in _LISTS:
            body[name] = value.replace(",", " ").split()
        else:
            body[name] = value
    return body
