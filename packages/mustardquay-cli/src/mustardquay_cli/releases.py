"""Releases: `mustardquay release`."""

from datetime import timedelta
from pathlib import Path
from typing import Annotated

import typer

from mustardquay.errors import MustardquayError
from mustardquay.releases import describe_release, parse_release

from .announcements import Announcement
from .clients import join_path
from .files import read_file
from .options import (
    AdminOption,
    JSONOption,
    KeyOption,
    TimeoutOption,
    WaitOption,
    WaitTimeoutOption,
    make_client,
)
from .outputs import exit_with_error, print_document, print_items, print_note, run
from .waits import limit_wait, wait_for_version

__all__ = ["app"]

app = typer.Typer(
    no_args_is_help=True,
    rich_markup_mode=None,
    help="Announce which version of a model the fleet serves.",
)

ModelArgument = Annotated[str, typer.Argument(metavar="MODEL")]


@app.command()
def announce(
    file: Annotated[Path, typer.Argument(metavar="FILE")],
    dry_run: Annotated[
        bool, typer.Option("--dry-run", help="Check the release; announce nothing.")
    ] = False,
    admin: AdminOption = [],  # noqa: B006
    key: KeyOption = "",
    timeout: TimeoutOption = 10,
    wait: WaitOption = False,
    wait_timeout: WaitTimeoutOption = 16,
    json: JSONOption = False,
) -> None:
    """Announce a release of a model from a FILE; engines change over one by one.

    A file without a revision makes a new release. To change one, for example to roll
    back, write the revision that `release show` prints into the file.

    \b
    Examples:
      mustardquay release announce releases/bulletin-reader.ini --dry-run
      mustardquay release show bulletin-reader > bulletin-reader.ini
      mustardquay release announce bulletin-reader.ini --wait
    """
    try:
        document = read_file(file, parse_release)
    except MustardquayError as error:
        exit_with_error(error)
    body = describe_release(document.to_release())
    announcement = Announcement("release", body, dry_run, json)
    client = make_client(admin, key, timeout)
    run(announcement.send(client, limit_wait(wait, wait_timeout)))


@app.command()
def show(
    model: ModelArgument,
    admin: AdminOption = [],  # noqa: B006
    key: KeyOption = "",
    timeout: TimeoutOption = 10,
    json: JSONOption = False,
) -> None:
    """Show a release as a file that can be changed and announced again.

    \b
    Example:
      mustardquay release show bulletin-reader > bulletin-reader.ini
    """
    client = make_client(admin, key, timeout)
    release = run(client.get(join_path("releases", model)))
    print_document("release", release, json)


@app.command("list")
def list_releases(
    admin: AdminOption = [],  # noqa: B006
    key: KeyOption = "",
    timeout: TimeoutOption = 10,
    json: JSONOption = False,
) -> None:
    """List the current releases.

    \b
    Example:
      mustardquay release list --json
    """
    client = make_client(admin, key, timeout)
    releases = run(client.get(join_path("releases")))["releases"]
    heads = ("model", "version", "previous", "adapters", "availability_zones")
    heads = (*heads, "revision")
    print_items(heads, releases, json)


@app.command()
def remove(
    model: ModelArgument,
    revision: Annotated[
        int, typer.Option("--revision", min=1, help="Revision to remove.")
    ],
    admin: AdminOption = [],  # noqa: B006
    key: KeyOption = "",
    timeout: TimeoutOption = 10,
    wait: WaitOption = False,
    wait_timeout: WaitTimeoutOption = 16,
) -> None:
    """End the service of a model.

    \b
    Example:
      mustardquay release remove bulletin-reader --revision 9
    """
    client = make_client(admin, key, timeout)
    path = f"{join_path('releases', model)}?revision={revision}"
    version = run(client.edit("DELETE", path))["version"]
    print_note(f"The release of {model} is removed by version {version}.")
    if wait:
        run(wait_for_version(client, version, timedelta(seconds=wait_timeout)))
