"""Children: processes that tests and benchmarks start, and their resource usage."""

import asyncio
import os
import signal
import sys
from asyncio.subprocess import PIPE, Process
from collections.abc import Sequence
from pathlib import Path
from typing import IO

__all__ = ["Child", "start_child"]

TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
STOP_TIMEOUT = 15.0
"""Seconds after which a process that does not stop gracefully is killed."""


class Child:
    """A child process."""

    def __init__(self, process: Process, ready_values: dict[str, str]):
        self._process = process
        self._ready_values = ready_values

    @property
    def cpu_seconds(self) -> float:
        """Return the CPU time, user and system, of all its threads."""
        text = Path(f"/proc/{self._process.pid}/stat").read_text(encoding="ascii")
        fields = text.rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND

    @property
    def memory(self) -> int:
        """Return the resident set size in bytes."""
        text = Path(f"/proc/{self._process.pid}/statm").read_text(encoding="ascii")
        return int(text.split()[1]) * os.sysconf("SC_PAGE_SIZE")

    @property
    def exit_code(self) -> int | None:
        """Return its exit code, None while it runs."""
        return self._process.returncode

    def get_ready_value(self, name: str) -> str:
        """Return the value of NAME= on the line that it printed when ready."""
        return self._ready_values[name]

    def pause(self) -> None:
        """Suspend it, as happens on an overloaded host."""
        self._signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Resume it after a pause."""
        self._signal(signal.SIGCONT)

    def reload(self) -> None:
        """Signal that its settings have changed."""
        self._signal(signal.SIGHUP)

    def _signal(self, number: signal.Signals) -> None:
        if self._process.returncode is None:
            self._process.send_signal(number)

    async def kill(self) -> None:
        """Kill it, if it has not ended yet."""
        if self._process.returncode is None:
            self._process.kill()
        await self._process.wait()

    async def stop(self) -> None:
        """Stop it gracefully, and kill it after `STOP_TIMEOUT`."""
        if self._process.returncode is not None:
            return
        self._process.terminate()
        try:
            async with asyncio.timeout(STOP_TIMEOUT):
                await self._process.wait()
        except TimeoutError:
            self._process.kill()
            await self._process.wait()


async def start_child(
    module: str,
    *arguments: str,
    ready: bool = True,
    before: Sequence[str] = (),
    output: Path | None = None,
) -> Child:
    """Run a Python module; with `ready`, wait for its first line of output.

    `before` are arguments of the interpreter that precede the module, such as those
    of a profiler. Without `ready`, its output is appended to the file `output`.
    """
    if ready:
        return await _spawn(module, arguments, before, PIPE)
    with open(output or os.devnull, "ab") as file:
        return await _spawn(module, arguments, before, file)


async def _spawn(
    module: str, arguments: Sequence[str], before: Sequence[str], output: IO | int
) -> Child:
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        *before,
        "-m",
        module,
        *arguments,
        stdout=output,
    )
    ready_values: dict[str, str] = {}
    if process.stdout is not None:
        line = (await process.stdout.readline()).decode()
        pairs = (word.partition("=") for word in line.split())
        ready_values = {name: value for name, _, value in pairs}
    return Child(process, ready_values)
