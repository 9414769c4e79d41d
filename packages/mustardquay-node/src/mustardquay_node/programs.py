"""Programs: the binary `mustardquayd`, one process of the kind its settings name."""

import signal

_told_early: list[int] = []
"""Calls to read the settings again that came before there was a gateway."""

if __name__ == "__main__":
    # Guards against such a call while the modules are loaded, which takes over a
    # second: a signal that nobody has asked for ends the process.
    signal.signal(signal.SIGHUP, lambda number, frame: _told_early.append(number))

# ruff: noqa: E402
import asyncio
import errno
import gc
import sys
from collections.abc import Sequence
from pathlib import Path
from typing import Annotated, Any, NoReturn

import eliot
import typer

from mustardquay import __version__
from mustardquay.errors import SettingsError

from .logs import Logs, write_event
from .settings import GatewaySettings, Settings, read_settings

__all__ = ["main", "run_node"]

PROCESS_ACTION = "mustardquay:process"
"""Type of the eliot action that all the lines of a process belong to."""
COLLECTOR_THRESHOLDS = (20_000, 10, 20)
SETTINGS_ERROR = 2
"""Exit code for settings that can't be used."""

_LISTEN_FAULTS = (errno.EADDRINUSE, errno.EADDRNOTAVAIL, errno.EACCES)

application = typer.Typer(add_completion=False)


def _show_version(wanted: bool) -> None:
    if wanted:
        typer.echo(f"mustardquayd {__version__}")
        raise typer.Exit


@application.command()
def run(
    settings: Annotated[
        list[Path], typer.Argument(help="INI files; later ones go over earlier ones.")
    ],
    version: Annotated[
        bool,
        typer.Option("--version", callback=_show_version, is_eager=True),
    ] = False,
) -> None:
    """Run one entry, agent or gateway until SIGTERM or SIGINT, then stop gracefully.

    Logs go to standard output as JSON lines.
    """
    try:
        asyncio.run(run_node(read_settings(*settings), settings))
    except SettingsError as error:
        _refuse(str(error))
    except OSError as error:
        if error.errno not in _LISTEN_FAULTS:
            raise
        _refuse(f"Can't listen ({error}); choose a free port of this machine.")


def _refuse(message: str) -> NoReturn:
    typer.echo(message, err=True)
    raise typer.Exit(SETTINGS_ERROR) from None


async def run_node(
    settings: Settings | GatewaySettings, files: Sequence[Path] = ()
) -> None:
    """Run the process that the settings describe until a signal asks to stop."""
    logs = Logs(settings.node.log_level)
    logs.start()
    node = _make_node(settings, files)
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    if isinstance(settings, GatewaySettings):
        loop.add_signal_handler(signal.SIGHUP, node.reload)
        if _told_early:
            node.reload()
    else:
        signal.signal(signal.SIGHUP, signal.SIG_DFL)
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    try:
        # Without an action around them, eliot makes up an id for every line.
        with eliot.start_task(action_type=PROCESS_ACTION, process=settings.node.name):
            await node.start()
            _relieve_collector()
            await stop.wait()
            await node.close()
    finally:
        logs.close()


def _make_node(settings: Settings | GatewaySettings, files: Sequence[Path]) -> Any:
    # Only the modules of its own kind are loaded: a process that is started again
    # refuses connections until they are.
    if isinstance(settings, GatewaySettings):
        from .gateways import Gateway

        return Gateway(settings, write_event=write_event, files=files)
    if settings.node.kind == "entry":
        from .entries import Entry

        return Entry(settings, write_event=write_event)
    from .agents import Agent

    return Agent(settings, write_event=write_event)


def _relieve_collector() -> None:
    # The modules and the settings stay for good, and requests leave few cycles;
    # with the usual thresholds the collector goes over all of them again and again,
    # which shows as processor time and as pauses between tokens.
    gc.collect()
    gc.freeze()
    gc.set_threshold(*COLLECTOR_THRESHOLDS)


def main() -> None:
    """Run the program."""
    application()


if __name__ == "__main__":
    sys.exit(main())
