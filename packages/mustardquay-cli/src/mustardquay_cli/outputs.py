"""Outputs: tables, JSON and INI on standard output; messages on standard error."""

import asyncio
import sys
from collections.abc import Coroutine, Iterable, Mapping, Sequence
from typing import Any, TypeVar

import orjson
import typer
from rich.box import SIMPLE_HEAD
from rich.console import Console
from rich.table import Table

from mustardquay.errors import MustardquayError

from .failures import CommandError, ExitCode

__all__ = [
    "exit_with_error",
    "print_document",
    "print_ini",
    "print_items",
    "print_json",
    "print_note",
    "print_table",
    "run",
]

PLAIN_WIDTH = 200
"""Columns when the output is not a terminal, so that nothing is wrapped."""

Result = TypeVar("Result")


def run(work: Coroutine[Any, Any, Result]) -> Result:
    """Run a command's work; exit with the code of its error if it fails."""
    try:
        return asyncio.run(work)
    except MustardquayError as error:
        exit_with_error(error)


def exit_with_error(error: MustardquayError) -> None:
    """Print an error and exit with its code."""
    typer.echo(f"error: {error}", err=True)
    code = error.code if isinstance(error, CommandError) else ExitCode.REFUSED
    raise typer.Exit(code) from None


def print_json(value: Any) -> None:
    """Print a value as indented JSON."""
    typer.echo(orjson.dumps(value, option=orjson.OPT_INDENT_2).decode())


def print_note(text: str) -> None:
    """Print a message on standard error, apart from the result."""
    typer.echo(text, err=True)


def print_table(heads: Sequence[str], rows: Iterable[Sequence[Any]]) -> None:
    """Print rows as a table with column heads."""
    table = Table(box=SIMPLE_HEAD, pad_edge=False, show_edge=False)
    for head in heads:
        table.add_column(head, overflow="fold")
    for row in rows:
        table.add_row(*map(_render_cell, row))
    console = Console(width=None if sys.stdout.isatty() else PLAIN_WIDTH, markup=False)
    with console.capture() as capture:
        console.print(table)
    lines = capture.get().splitlines()
    typer.echo("\n".join(line.rstrip() for line in lines if line.strip()))


def print_items(
    heads: Sequence[str], items: Sequence[Mapping[str, Any]], json: bool
) -> None:
    """Print items as JSON, or their fields under `heads` as a table."""
    if json:
        print_json(items)
    else:
        print_table(heads, ([item[head] for head in heads] for item in items))


def print_document(section: str, fields: Mapping[str, Any], json: bool) -> None:
    """Print a document as JSON, or as an INI file that can be applied again."""
    if json:
        print_json(fields)
    else:
        print_ini(section, fields)


def print_ini(section: str, fields: Mapping[str, Any]) -> None:
    """Print fields as an INI document that can be applied again."""
    nested = {name: value for name, value in fields.items() if isinstance(value, dict)}
    lines = [f"[{section}]"]
    lines += [
        f"{name} = {_render_cell(value)}".rstrip()
        for name, value in fields.items()
        if name not in nested and value is not None
    ]
    for name, values in nested.items():
        lines += ["", f"[{name}]"]
        lines += [f"{key} = {_render_cell(value)}" for key, value in values.items()]
    typer.echo("\n".join(lines))


def _render_cell(value: Any) -> str:
    match value:
        case None:
            return ""
        case bool():
            return "yes" if value else "no"
        case float():
            return f"{value:g}"
        case list() | tuple():
            return " ".join(map(str, value))
    return str(value)
