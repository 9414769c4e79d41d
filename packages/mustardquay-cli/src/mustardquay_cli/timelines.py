"""Timelines: `mustardquay timeline`, the events of all processes in one order."""

from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Annotated, Any

import orjson
import typer

from mustardquay.errors import ProtocolError
from mustardquay.event_records import describe_event, parse_event
from mustardquay.events import Event, select_events
from mustardquay_node.logs import EVENT_MESSAGE

from .clients import AdminClient, join_path
from .failures import CommandError, ExitCode
from .options import AdminOption, KeyOption, TimeoutOption, make_client
from .outputs import exit_with_error, print_note, run
from .texts import render_event
from .timeline_diagrams import render_html, render_svg

__all__ = ["merge_events", "read_log", "show_timeline"]


def show_timeline(
    admin: AdminOption = [],  # noqa: B006
    key: KeyOption = "",
    timeout: TimeoutOption = 10,
    log: Annotated[
        list[Path], typer.Option("--log", metavar="FILE", help="Log of a process.")
    ] = [],  # noqa: B006
    request: Annotated[str, typer.Option(help="Only this request.")] = "",
    customer: Annotated[str, typer.Option(help="Only this customer.")] = "",
    upstream: Annotated[str, typer.Option(help="Only this upstream.")] = "",
    kind: Annotated[
        str, typer.Option(help="Only this kind and those below: attempt, attempt.sent.")
    ] = "",
    last: Annotated[
        int, typer.Option(min=1, help="Show at most this many, the newest.")
    ] = 1000,
    json: Annotated[
        bool, typer.Option("--json", help="Print one JSON object per line.")
    ] = False,
    svg: Annotated[
        Path | None, typer.Option(metavar="FILE", help="Write an SVG diagram to FILE.")
    ] = None,
    html: Annotated[
        Path | None, typer.Option(metavar="FILE", help="Write an HTML page to FILE.")
    ] = None,
) -> None:
    """Show the events of all processes in causal order.

    Events are read from the running processes at each --admin and from the log files
    at each --log; one that is in both is shown once. A process that does not answer is
    reported, and the command then exits with 4 after showing the rest.

    \b
    Examples:
      mustardquay timeline --customer tram-app --last 50
      mustardquay timeline --admin http://127.0.0.1:7421 \\
          --admin http://127.0.0.1:7441 --request 3f2a --html request.html
      mustardquay timeline --log entry-1.log --log agent-1.log --kind drain
    """
    filters = {
        "request": request,
        "customer": customer,
        "upstream": upstream,
        "kind": kind,
    }
    try:
        # Each log is filtered line by line, since it may be larger than memory.
        logged = [
            event for file in log for event in select_events(read_log(file), **filters)
        ]
    except CommandError as error:
        exit_with_error(error)
    live, faults = [], []
    if admin or not log:
        client = make_client(admin, key, timeout)
        live, faults = run(_collect(client, filters))
    events = merge_events([*logged, *live], **filters)
    if len(events) > last:
        print_note(f"{len(events) - last} earlier events are left out; raise --last.")
    _show(events[-last:], json, svg, html)
    for fault in faults:
        print_note(f"error: {fault}")
    if faults:
        raise typer.Exit(ExitCode.UNAVAILABLE)


def merge_events(events: Iterable[Event], **filters: str) -> list[Event]:
    """Return the events that match, each once, in the order of their stamps."""
    unique = {(event.stamp, event.process): event for event in events}
    return select_events(unique.values(), **filters)


def read_log(file: Path) -> Iterator[Event]:
    """Yield the events in a log file; other lines are skipped.

    The last line may be incomplete, since the process may have been killed.
    """
    try:
        with file.open("rb") as lines:
            for line in lines:
                event = _read_line(line)
                if event is not None:
                    yield event
    except OSError as error:
        raise CommandError(
            f"{file}: can't be read ({error.strerror}); check the path."
        ) from None


def _read_line(line: bytes) -> Event | None:
    try:
        record = orjson.loads(line)
        if isinstance(record, dict) and record.get("message_type") == EVENT_MESSAGE:
            return parse_event(record)
    except (orjson.JSONDecodeError, ProtocolError):
        return None
    return None


async def _collect(
    client: AdminClient, filters: dict[str, str]
) -> tuple[list[Event], list[str]]:
    answers = await client.get_all(join_path("events"), **filters)
    events = [
        parse_event(record)
        for answer in answers
        if answer.value
        for record in answer.value["events"]
    ]
    return events, [answer.error for answer in answers if answer.error]


def _show(events: list[Event], json: bool, svg: Path | None, html: Path | None) -> None:
    for path, render in ((svg, render_svg), (html, render_html)):
        if path is not None:
            _write(path, render(events))
    if json:
        for event in events:
            typer.echo(orjson.dumps(describe_event(event), default=str).decode())
    elif svg is None and html is None:
        for event in events:
            typer.echo(render_event(event))


def _write(path: Path, text: Any) -> None:
    try:
        path.write_text(text, encoding="utf-8")
    except OSError as error:
        exit_with_error(
            CommandError(
                f"{path}: can't be written ({error.strerror}); choose another path."
            )
        )
