"""Changes: `mustardquay change`."""

from datetime import timedelta
from pathlib import Path
from typing import Annotated, Any

import typer

from mustardquay.documents import (
    ChangeDocument,
    check_document,
    describe_change,
    parse_change,
)
from mustardquay.errors import MustardquayError
from mustardquay.plans import Action, Scope

from .announcements import Announcement
from .clients import join_path
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
from .outputs import exit_with_error, print_items, print_note, run
from .waits import limit_wait, wait_for_version

__all__ = ["app"]

app = typer.Typer(
    no_args_is_help=True,
    rich_markup_mode=None,
    help="Announce planned changes to the fleet.",
)


@app.command()
def announce(
    file: Annotated[Path | None, typer.Argument(metavar="FILE")] = None,
    action: Annotated[Action | None, typer.Option("--action")] = None,
    target: Annotated[
        str, typer.Option("--target", help="Upstream, instance or availability zone.")
    ] = "",
    scope: Annotated[
        Scope, typer.Option("--scope", help="What the target names.")
    ] = Scope.UPSTREAM,
    name: Annotated[
        str, typer.Option("--name", help="Name of the change; generated if not given.")
    ] = "",
    starts_at: Annotated[
        str | None,
        typer.Option(
            "--starts-at",
            metavar="INSTANT",
            help="Time with its zone, such as 2027-01-15T02:00:00Z; at once if not "
            "given.",
        ),
    ] = None,
    accept_overload: Annotated[
        bool,
        typer.Option(
            "--accept-overload",
            help="Go ahead though the rest of the fleet can't honour every contract.",
        ),
    ] = False,
    dry_run: Annotated[
        bool, typer.Option("--dry-run", help="Show the cost and announce nothing.")
    ] = False,
    admin: AdminOption = [],  # noqa: B006
    key: KeyOption = "",
    timeout: TimeoutOption = 10,
    wait: WaitOption = False,
    wait_timeout: WaitTimeoutOption = 16,
    json: JSONOption = False,
) -> None:
    """Announce a planned change, from a FILE or from options.

    drain takes no new work on the target and lets running work finish; replace does
    the same, and serves again once the instance was restarted; withdraw drains
    permanently. Running work is never interrupted. The cost of the change is shown
    first; a change that leaves too little capacity for the contracts is refused.

    \b
    Examples:
      mustardquay change announce --action drain --target engine-3 --dry-run
      mustardquay change announce --action replace --scope availability_zone \\
          --target linz --starts-at 2027-01-15T02:00:00Z
      mustardquay change announce changes/drain-engine-3.ini --wait
    """
    options = {
        "name": name or f"{action}-{target}",
        "action": action,
        "scope": scope,
        "target": target,
        "starts_at": starts_at,
        "accept_overload": accept_overload,
    }
    if (file is None) == (action is None or not target):
        raise typer.BadParameter("Give either a FILE, or --action and --target.")
    document = _read(file, options)
    client = make_client(admin, key, timeout)
    body = describe_change(document.to_change())
    announcement = Announcement("change", body, dry_run, json)
    run(announcement.send(client, limit_wait(wait, wait_timeout)))


@app.command("list")
def list_changes(
    admin: AdminOption = [],  # noqa: B006
    key: KeyOption = "",
    timeout: TimeoutOption = 10,
    json: JSONOption = False,
) -> None:
    """List the current planned changes.

    \b
    Example:
      mustardquay change list --json
    """
    client = make_client(admin, key, timeout)
    changes = run(client.get(join_path("changes")))["changes"]
    heads = ("name", "action", "scope", "target", "starts_at", "revision")
    print_items(heads, changes, json)


@app.command()
def cancel(
    name: Annotated[str, typer.Argument(metavar="NAME")],
    admin: AdminOption = [],  # noqa: B006
    key: KeyOption = "",
    timeout: TimeoutOption = 10,
    revision: RevisionOption = None,
    wait: WaitOption = False,
    wait_timeout: WaitTimeoutOption = 16,
) -> None:
    """Cancel a planned change; what it drained takes new work again.

    \b
    Example:
      mustardquay change cancel drain-engine-3
    """
    client = make_client(admin, key, timeout)
    path = join_path("changes", name)
    if revision is not None:
        path = f"{path}?revision={revision}"
    version = run(client.edit("DELETE", path))["version"]
    print_note(f"{name} is cancelled by version {version}.")
    if wait:
        run(wait_for_version(client, version, timedelta(seconds=wait_timeout)))


def _read(file: Path | None, options: dict[str, Any]) -> ChangeDocument:
    try:
        if file is None:
            return check_document(ChangeDocument, options, "options")
        return read_file(file, parse_change)
    except MustardquayError as error:
        exit_with_error(error)
