"""Processes: one process of the kind its settings name, from start to stop."""

import asyncio
import errno
import gc
import signal
import sys
from collections.abc import Sequence
from pathlib import Path
from typing import TYPE_CHECKING, Any, NoReturn

import eliot

from mustardquay.errors import SettingsError

from .logs import Logs, write_event
from .settings import GatewaySettings, read_settings

if TYPE_CHECKING:
    from .node_settings import Settings

__all__ = ["run", "run_node"]

PROCESS_ACTION = "mustardquay:process"
"""Type of the eliot action that all the lines of a process belong to."""
COLLECTOR_THRESHOLDS = (20_000, 10, 20)
SETTINGS_ERROR = 2
"""Exit code for settings that can't be used."""

_LISTEN_FAULTS = (errno.EADDRINUSE, errno.EADDRNOTAVAIL, errno.EACCES)


def run(files: Sequence[Path]) -> None:
    """Run one process until SIGTERM or SIGINT, then stop gracefully."""
    try:
        asyncio.run(run_node(read_settings(*files), files))
    except SettingsError as error:
        _refuse(str(error))
    except OSError as error:
        if error.errno not in _LISTEN_FAULTS:
            raise
        _refuse(f"Can't listen ({error}); choose a free port of this machine.")


def _refuse(message: str) -> NoReturn:
    print(message, file=sys.stderr)
    raise SystemExit(SETTINGS_ERROR) from None


async def run_node(
    settings: "Settings | GatewaySettings", files: Sequence[Path] = ()
) -> None:
    """Run the process that the settings describe until a signal asks to stop."""
    logs = Logs(settings.node.log_level)
    logs.start()
    node = _make_node(settings, files)
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    if isinstance(settings, GatewaySettings):
        loop.add_signal_handler(signal.SIGHUP, node.reload)
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


def _make_node(settings: "Settings | GatewaySettings", files: Sequence[Path]) -> Any:
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
    # which shows as processor time and as pauses between tokens. Without a collection
    # before, which would hold up the first look at the store: some hundred objects that
    # were given up at the start stay too.
    gc.freeze()
    gc.set_threshold(*COLLECTOR_THRESHOLDS)
    gc.enable()
