"""Command line interface of `mustardquayd`: arguments, options and help."""

from pathlib import Path
from typing import Annotated

import typer

from mustardquay import __version__

from . import processes

__all__ = ["application"]

application = typer.Typer(add_completion=False)


def _show_version(wanted: bool) -> None:
    if wanted:
        typer.echo(f"mustardquayd {__version__}")
        raise typer.Exit


@application.command()
def run(
    settings: Annotated[
        list[Path], typer.Argument(help="INI files; later ones override earlier ones.")
    ],
    version: Annotated[
        bool,
        typer.Option("--version", callback=_show_version, is_eager=True),
    ] = False,
) -> None:
    """Run one entry, agent or gateway until SIGTERM or SIGINT, then stop gracefully.

    Logs go to standard output as JSON lines.
    """
    processes.run(settings)
