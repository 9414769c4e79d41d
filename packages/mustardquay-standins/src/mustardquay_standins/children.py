"""Children: processes that tests and benchmarks start, and what they use."""

import asyncio
import os
import signal
import sys
from asyncio.subprocess import PIPE, Process
from collections.abc import Sequence
from pathlib import Path
from typing import IO

__all__ = ["Child", "start_child"]

TICKS = os.sysconf("SC_CLK_TCK")
STOP_LIMIT = 15.0
"""Seconds for a graceful stop."""


class Child:
    """One process that was started."""

    def __init__(self, process: Process, words: dict[str, str]):
        self._process = process
        self._words = words

    @property
    def cpu_seconds(self) -> float:
        """Return the processor time, user and system, of all its threads."""
        text = Path(f"/proc/{self._process.pid}/stat").read_text(encoding="ascii")
        fields = text.rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / TICKS

    @property
    def memory(self) -> int:
        """Return the resident set size in bytes."""
        text = Path(f"/proc/{self._process.pid}/statm").read_text(encoding="ascii")
        return int(text.split()[1]) * os.sysconf("SC_PAGE_SIZE")

    @property
    def exit_code(self) -> int | None:
        """Return how it has ended; None while it runs."""
        return self._process.returncode

    def get_word(self, name: str) -> str:
        """Return what stood behind NAME= on the line that said it is ready."""
        return self._words[name]

    def pause(self) -> None:
        """Stop it from running, as a host that is overloaded does."""
        self._signal(signal.SIGSTOP)

    def wake(self) -> None:
        """Let a paused process go on."""
        self._signal(signal.SIGCONT)

    def reload(self) -> None:
        """Tell it that its settings have changed."""
        self._signal(signal.SIGHUP)

    def _signal(self, number: signal.Signals) -> None:
        if self._process.returncode is None:
            self._process.send_signal(number)

    async def kill(self) -> None:
        """End it without notice, if it has not ended yet."""
        if self._process.returncode is None:
            self._process.kill()
        await self._process.wait()

    async def stop(self) -> None:
        """Ask it to stop, and end it if it doesn't."""
        if self._process.returncode is not None:
            return
        self._process.terminate()
        try:
            async with asyncio.timeout(STOP_LIMIT):
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

    `before` are arguments of the interpreter ahead of the module, such as those of
    a profiler. Without `ready`, what it writes is added to the file `output`.
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
    words: dict[str, str] = {}
    if process.stdout is not None:
        line = (await process.stdout.readline()).decode()
        pairs = (word.partition("=") for word in line.split())
        words = {name: value for name, _, value in pairs}
    return Child(process, words)
