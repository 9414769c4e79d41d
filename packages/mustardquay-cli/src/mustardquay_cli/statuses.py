"""Statuses: `mustardquay status`."""

from typing import Any

import typer

from .clients import Answer, join_path
from .failures import ExitCode
from .options import AdminOption, JSONOption, KeyOption, TimeoutOption, make_client
from .outputs import print_json, print_note, print_table, run

__all__ = ["show_status"]

_PROCESS = (
    "process",
    "kind",
    "availability_zone",
    "state",
    "configuration",
    "waiting",
    "running",
    "version",
)
_UPSTREAM = (
    "seen by",
    "name",
    "availability_zone",
    "role",
    "state",
    "queued_tokens",
    "running",
    "age",
    "models",
)


def show_status(
    admin: AdminOption = [],  # noqa: B006
    key: KeyOption = "",
    timeout: TimeoutOption = 10,
    json: JSONOption = False,
) -> None:
    """Show processes and the upstreams that they see.

    Each --admin is asked; one that does not answer is shown as such, and the command
    then exits with 4. age is the time in seconds since the last load report.

    \b
    Examples:
      mustardquay status --admin http://127.0.0.1:7421
      MUSTARDQUAY_ADMIN="http://127.0.0.1:7421 http://127.0.0.1:7422" \\
          mustardquay status --json
    """
    client = make_client(admin, key, timeout)
    answers = run(client.get_all(join_path("status")))
    if json:
        print_json([_describe(answer) for answer in answers])
    else:
        _print_tables(answers)
    if any(answer.error for answer in answers):
        raise typer.Exit(ExitCode.UNAVAILABLE)


def _describe(answer: Answer) -> dict[str, Any]:
    if answer.error:
        return {"admin": answer.url, "error": answer.error}
    return {"admin": answer.url} | answer.value


def _print_tables(answers: list[Answer]) -> None:
    found = [answer.value for answer in answers if answer.value]
    rows = [
        [_name_state(item).get(head, item.get(head)) for head in _PROCESS]
        for item in found
    ]
    if rows:
        print_table(_PROCESS, rows)
    upstreams = [
        {"seen by": item["process"]} | upstream
        for item in found
        for upstream in item.get("upstreams", ())
    ]
    if upstreams:
        typer.echo()
        print_table(
            _UPSTREAM, [[item.get(head) for head in _UPSTREAM] for item in upstreams]
        )
    for item in found:
        for fault in item.get("faults", ()):
            print_note(f"{item['process']}: {fault}")
    for answer in answers:
        if answer.error:
            print_note(f"error: {answer.error}")


def _name_state(item: dict[str, Any]) -> dict[str, str]:
    if item.get("draining"):
        return {"state": "draining"}
    return {"state": "ready" if item.get("ready") else "not ready"}
