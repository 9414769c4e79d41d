"""Commands: the program `mustardquay` and its command groups."""

from typing import Annotated

import typer

from mustardquay import __version__

from . import changes, checks, contracts, releases
from .statuses import show_status
from .timelines import show_timeline

__all__ = ["app", "main"]

_HELP = """Operate a mustardquay fleet by contracts and planned changes.

Limits follow from the contract of each customer; engines are not controlled one by
one. The commands call the admin port of an entry. Set its URL and your key:

\b
  export MUSTARDQUAY_ADMIN=http://127.0.0.1:7421
  export MUSTARDQUAY_KEY=...

\b
Getting started:
  mustardquay settings check --each common.ini processes/*.ini
  mustardquay contract apply contracts/*.ini
  mustardquay status
  mustardquay change announce --action drain --target engine-3
  mustardquay timeline --kind configuration

\b
Exit codes:
  0  done
  1  refused: a file is not valid, a name is unknown or the key is wrong
  2  the command line is not valid
  3  conflict: another edit came first, nothing was changed
  4  no answer, or not in time; an edit was not applied
  5  unclear: an edit may be in force; show it before you send it again
"""

app = typer.Typer(no_args_is_help=True, rich_markup_mode=None, help=_HELP)
app.add_typer(checks.app, name="settings")
app.add_typer(contracts.app, name="contract")
app.add_typer(changes.app, name="change")
app.add_typer(releases.app, name="release")
app.command("status")(show_status)
app.command("timeline")(show_timeline)


def _print_version(wanted: bool) -> None:
    if wanted:
        typer.echo(f"mustardquay {__version__}")
        raise typer.Exit


@app.callback(help=_HELP)
def declare_options(
    version: Annotated[
        bool,
        typer.Option(
            "--version",
            callback=_print_version,
            is_eager=True,
            help="Show the version.",
        ),
    ] = False,
) -> None:
    """Declare the options that precede every command."""


def main() -> None:
    """Run the program."""
    app(prog_name="mustardquay")
