"""Failures: exit codes of commands, and the errors that carry them."""

from collections.abc import Mapping, Sequence
from enum import IntEnum
from typing import Any

from mustardquay.errors import MustardquayError

__all__ = ["CommandError", "ConflictFailure", "ExitCode", "MisdirectedFailure"]


class ExitCode(IntEnum):
    """Exit codes, the same for every command."""

    DONE = 0
    REFUSED = 1
    """A file is not valid, a name is unknown or the key is wrong."""
    USAGE = 2
    """The command line is not valid."""
    CONFLICT = 3
    """Another edit came first; nothing was changed."""
    UNAVAILABLE = 4
    """No answer, or not in time; an edit was not applied."""
    UNCLEAR = 5
    """An edit may or may not be in force; run the same command again."""


class CommandError(MustardquayError):
    """A command failed; the message states the remedy."""

    def __init__(self, message: str, code: ExitCode = ExitCode.REFUSED):
        super().__init__(message)
        self.code = code


class ConflictFailure(CommandError):
    """Another edit came first; `conflicts` holds the current values."""

    def __init__(self, message: str, conflicts: Sequence[Mapping[str, Any]]):
        super().__init__(message, ExitCode.CONFLICT)
        self.conflicts = tuple(conflicts)


class MisdirectedFailure(CommandError):
    """The process that was called is not an entry; try the next one."""
