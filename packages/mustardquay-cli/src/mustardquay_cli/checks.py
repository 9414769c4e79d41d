"""Checks: `mustardquay settings`."""

from pathlib import Path
from typing import Annotated, Any

import typer

from mustardquay.errors import SettingsError
from mustardquay_node.node_settings import Settings
from mustardquay_node.settings import read_settings

from .failures import ExitCode
from .options import JSONOption
from .outputs import print_json, print_table

__all__ = ["app"]

app = typer.Typer(
    no_args_is_help=True,
    rich_markup_mode=None,
    help="Check the settings files of processes.",
)


@app.callback()
def explain() -> None:
    """Check the settings files of processes."""


@app.command()
def check(
    files: Annotated[
        list[Path], typer.Argument(metavar="FILE", help="Files of one process.")
    ],
    each: Annotated[
        bool,
        typer.Option(
            "--each",
            help="The first FILE is shared; check it with each of the others.",
        ),
    ] = False,
    json: JSONOption = False,
) -> None:
    """Check the settings of a process, from the files that mustardquayd is given.

    Every fault is listed with its file, section, key and remedy. Exits with 1 if any
    is found.

    \b
    Examples:
      mustardquay settings check common.ini processes/entry-1.ini
      mustardquay settings check --each common.ini processes/*.ini
    """
    groups = [(files[0], file) for file in files[1:]] if each else [tuple(files)]
    results = [_check(group) for group in groups]
    faults = [fault for result in results for fault in result["faults"]]
    if json:
        print_json(results)
    else:
        for fault in dict.fromkeys(faults):
            typer.echo(fault, err=True)
        heads = ("process", "kind", "availability_zone", "files")
        rows = [[row[head] for head in heads] for row in results if not row["faults"]]
        if rows:
            print_table(heads, rows)
    if faults:
        raise typer.Exit(ExitCode.REFUSED)


def _check(files: tuple[Path, ...]) -> dict[str, Any]:
    names = [str(file) for file in files]
    try:
        settings = read_settings(*files)
    except SettingsError as error:
        return {"files": names, "faults": str(error).splitlines()}
    return _describe(settings) | {"files": names, "faults": []}


def _describe(settings: Settings) -> dict[str, Any]:
    node = settings.node
    return {
        "process": node.name,
        "kind": node.kind,
        "availability_zone": node.availability_zone,
    }
