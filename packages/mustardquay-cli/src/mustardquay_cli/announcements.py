"""Announcements: show the cost of a change or release, then announce it."""

from dataclasses import dataclass
from datetime import timedelta
from typing import Any

from .clients import AdminClient, join_path
from .outputs import print_ini, print_json, print_note
from .waits import wait_for_version

__all__ = ["Announcement"]


@dataclass(frozen=True, slots=True)
class Announcement:
    """A change or release that an operator requests, and how to print it."""

    kind: str
    """`change` or `release`: the section name in its file."""
    body: dict[str, Any]
    dry_run: bool
    json: bool

    async def send(self, client: AdminClient, wait: timedelta | None) -> None:
        """Print the cost and, unless it is a dry run, announce it."""
        path = join_path(f"{self.kind}s")
        previewed = await client.edit("POST", f"{path}?preview=1", self.body)
        for note in previewed["notes"]:
            print_note(note)
        if self.dry_run:
            if self.json:
                print_json(previewed)
            return
        announced = await client.edit("POST", path, self.body)
        if self.json:
            print_json(announced)
        else:
            print_ini(self.kind, announced)
        if wait is not None:
            await wait_for_version(client, announced["revision"], wait)
