"""Life cycle of a process, whose kind the settings specify."""

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

from .early_reloads import was_reload_requested
from .logs import Logs, write_event
from .settings import GatewaySettings, read_settings

if TYPE_CHECKING:
    from .node_settings import Settings

__all__ = ["run", "run_node", "tune_garbage_collector"]

PROCESS_ACTION = "mustardquay:process"
"""Type of the eliot action that contains all log lines of a process."""
COLLECTOR_THRESHOLDS = (20_000, 10, 20)
SETTINGS_ERROR = 2
"""Exit code for invalid settings."""

_LISTEN_ERRORS = (errno.EADDRINUSE, errno.EADDRNOTAVAIL, errno.EACCES)


def run(files: Sequence[Path]) -> None:
    """Run one process until SIGTERM or SIGINT, then stop gracefully."""
    try:
        asyncio.run(run_node(read_settings(*files), files))
    except SettingsError as error:
        _exit_with_error(str(error))
    except OSError as error:
        if error.errno not in _LISTEN_ERRORS:
            raise
        _exit_with_error(f"Can't listen ({error}); choose a free port of this machine.")


def _exit_with_error(message: str) -> NoReturn:
    print(message, file=sys.stderr)
    raise SystemExit(SETTINGS_ERROR) from None


async def run_node(
    settings: "Settings | GatewaySettings", files: Sequence[Path] = ()
) -> None:
    """Run the process that the settings describe until a signal to stop arrives."""
    logs = Logs(settings.node.log_level)
    logs.start()
    node = _make_node(settings, files)
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    if isinstance(settings, GatewaySettings):
        loop.add_signal_handler(signal.SIGHUP, node.reload)
        if was_reload_requested():
            node.reload()
    else:
        signal.signal(signal.SIGHUP, signal.SIG_DFL)
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    try:
        # Without an enclosing action, eliot generates an id for each line.
        with eliot.start_task(action_type=PROCESS_ACTION, process=settings.node.name):
            await node.start()
            tune_garbage_collector()
            await stop.wait()
            await node.close()
    finally:
        logs.close()


def _make_node(settings: "Settings | GatewaySettings", files: Sequence[Path]) -> Any:
    # Only the modules of this kind are imported: a restarted process refuses
    # connections until its imports are done.
    if isinstance(settings, GatewaySettings):
        from .gateways import Gateway

        return Gateway(settings, write_event=write_event, files=files)
    if settings.node.kind == "entry":
        from .entries import Entry

        return Entry(settings, write_event=write_event)
    from .agents import Agent

    return Agent(settings, write_event=write_event)


def tune_garbage_collector() -> None:
    """Exclude what the start has loaded from collections, and make these rarer."""
    # Modules and settings live as long as the process, and requests create few
    # reference cycles. With the default thresholds, the collector repeatedly traverses
    # all of them, which costs processor time and causes pauses between tokens. There is
    # no collection before the freeze, as it would delay the first read of the store;
    # some hundred unreachable objects of the start are frozen too.
    gc.freeze()
    gc.set_threshold(*COLLECTOR_THRESHOLDS)
    gc.enable()
