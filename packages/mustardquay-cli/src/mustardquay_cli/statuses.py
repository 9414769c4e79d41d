"""Statuses: `mustardquay status`."""

from collections import Counter
from typing import Any

import typer

from .clients import Answer, join_path
from .failures import ExitCode
from .options import AdminOption, JSONOption, KeyOption, TimeoutOption, make_client
from .outputs import print_json, print_note, print_table, run

__all__ = ["merge_upstreams", "show_status"]

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
    "upstream",
    "availability_zone",
    "role",
    "state",
    "queued_tokens",
    "running",
    "age",
    "seen by",
    "models",
)


def show_status(
    admin: AdminOption = [],  # noqa: B006
    key: KeyOption = "",
    timeout: TimeoutOption = 10,
    json: JSONOption = False,
) -> None:
    """Show processes and the upstreams that they see.

    Every --admin is called; one that does not answer is reported, and the command then
    exits with 4. An upstream is shown by the newest view of it; age is the time in
    seconds since its last load report, "seen by" the number of entries that see it.
    --json has the view of each entry.

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
    rows = [[row[head] for head in _UPSTREAM] for row in merge_upstreams(found)]
    if rows:
        typer.echo()
        print_table(_UPSTREAM, rows)
    for item in found:
        for fault in item.get("faults", ()):
            print_note(f"{item['process']}: {fault}")
    for answer in answers:
        if answer.error:
            print_note(f"error: {answer.error}")


def merge_upstreams(found: list[dict[str, Any]]) -> list[dict[str, Any]]:
    """Return one row for each upstream, from the newest view of it.

    Where entries see it in different states, each state is given with the number of
    entries that see it so.
    """
    views: dict[str, list[dict[str, Any]]] = {}
    for item in found:
        for upstream in item.get("upstreams", ()):
            views.setdefault(upstream["name"], []).append(upstream)
    rows = []
    for name, seen in sorted(views.items()):
        newest = min(seen, key=lambda view: view["age"])
        states = Counter(view["state"] for view in seen)
        state = ", ".join(f"{state} {count}" for state, count in states.items())
        merged = {"upstream": name, "seen by": len(seen)}
        if len(states) > 1:
            merged["state"] = state
        rows.append(newest | merged)
    return rows


def _name_state(item: dict[str, Any]) -> dict[str, str]:
    if item.get("draining"):
        return {"state": "draining"}
    return {"state": "ready" if item.get("ready") else "not ready"}
