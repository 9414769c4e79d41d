"""Options that several commands share."""

from collections.abc import Sequence
from datetime import timedelta
from typing import Annotated

import typer

from .clients import AdminClient
from .failures import CommandError
from .outputs import exit_with_error

__all__ = [
    "AdminOption",
    "JSONOption",
    "KeyOption",
    "RevisionOption",
    "TimeoutOption",
    "WaitOption",
    "WaitTimeoutOption",
    "make_client",
]

AdminOption = Annotated[
    list[str],
    typer.Option(
        "--admin",
        metavar="URL",
        envvar="MUSTARDQUAY_ADMIN",
        help="Admin port of a process, such as http://127.0.0.1:7421; may be given "
        "several times. Separate several by spaces in the variable.",
    ),
]
KeyOption = Annotated[
    str,
    typer.Option(
        "--key",
        envvar="MUSTARDQUAY_KEY",
        show_envvar=True,
        help="Operator's key. Prefer the variable, since other users of the machine "
        "can see options.",
    ),
]
TimeoutOption = Annotated[
    float,
    typer.Option("--timeout", metavar="SECONDS", min=0.1, help="Timeout of a call."),
]
JSONOption = Annotated[bool, typer.Option("--json", help="Print JSON.")]
RevisionOption = Annotated[
    int | None,
    typer.Option(
        "--revision",
        min=0,
        help="Revision to amend; a conflict if it is no longer the current one.",
    ),
]
WaitOption = Annotated[
    bool,
    typer.Option(
        "--wait",
        help="Wait until it is in force at every --admin and all processes linked to "
        "them; name those that are late.",
    ),
]
WaitTimeoutOption = Annotated[
    float,
    typer.Option("--wait-timeout", metavar="SECONDS", min=0, help="Timeout of --wait."),
]


def make_client(admin: Sequence[str], key: str, timeout: float) -> AdminClient:
    """Return a client of the admin ports given by the options."""
    try:
        return AdminClient(admin, key, timedelta(seconds=timeout))
    except CommandError as error:
        exit_with_error(error)
