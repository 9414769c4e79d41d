"""Editors: append an operator's edits to the configuration log.

Any process may append. Concurrent edits are resolved by the table service. A snapshot
is written by the process that appended the entry for which it is due.
"""

import logging
from collections.abc import Awaitable, Callable
from datetime import timedelta
from random import Random

from mustardquay.budgets import draw_delay
from mustardquay.clocks import Clock
from mustardquay.configuration_log import (
    CHANGE_PREFIX,
    CONFIGURATIONS,
    ENTRY_PREFIX,
    SNAPSHOT_KEY,
    Accepted,
    HeadMoved,
    build_snapshot_name,
    build_transaction,
    encode_snapshot,
    interpret_result,
    read_version,
)
from mustardquay.encodings import decode, encode
from mustardquay.errors import MustardquayError, StoreResultUnknown, StoreUnavailable
from mustardquay.revisions import Catalogue, Configuration, Edit, Entry, check_edit
from mustardquay.tables import (
    Condition,
    ObjectStore,
    Row,
    TableService,
    Transaction,
    Write,
)

from .configurations import ConfigurationReplica
from .sleeps import Sleep, sleep as default_sleep

__all__ = ["ConfigurationEditor", "EditCheck"]

logger = logging.getLogger(__name__)

EditCheck = Callable[[Configuration, Edit], Awaitable[object]]
"""Raises `DocumentError` if the edit that leads to this configuration is invalid."""

MIN_RETRY_DELAY = timedelta(milliseconds=100)
MAX_RETRY_DELAY = timedelta(seconds=2)
PRUNE_BATCH = 200


class ConfigurationEditor:
    """Proposes edits; `checks` run on each result in addition to `check_edit`."""

    def __init__(
        self,
        replica: ConfigurationReplica,
        tables: TableService,
        objects: ObjectStore,
        clock: Clock,
        random: Random,
        catalogue: Callable[[], Catalogue | None] = lambda: None,
        checks: tuple[EditCheck, ...] = (),
        timeout: timedelta = timedelta(seconds=10),
        snapshot_interval: int = 500,
        sleep: Sleep = default_sleep,
    ):
        self._replica = replica
        self._tables = tables
        self._objects = objects
        self._clock = clock
        self._random = random
        self._catalogue = catalogue
        self._checks = checks
        self._timeout = timeout
        self._snapshot_interval = snapshot_interval
        self._sleep = sleep

    async def propose(self, edit: Edit) -> int:
        """Append the edit and return its version.

        Raises `ConflictError` or `DocumentError` if the edit was refused, and
        `StoreUnavailable` if it was certainly not accepted. After
        `StoreResultUnknown` it may have been accepted: propose it again with the same
        change id.
        """
        known = await self._tables.read(CONFIGURATIONS, CHANGE_PREFIX + edit.change_id)
        if known is not None:
            return read_version(known)
        deadline = self._clock.monotonic() + self._timeout
        while True:
            entry, head = await self._prepare(edit)
            result = await self._commit(entry, head, deadline)
            if isinstance(result, Accepted):
                break
            # Another edit was committed first. This one is checked against the new
            # head and is still valid if the other amended different items.
            self._check_time(deadline)
        if result.version == entry.version:
            self._replica.add_entries([entry])
            await self._write_snapshot(entry.version)
        return result.version

    async def preview(self, edit: Edit) -> list[str]:
        """Return the notes of the checks on the edit without proposing it.

        Raises the same errors as `propose` if the edit would be refused.
        """
        await self._replica.poll()
        configuration = self._replica.configuration
        result = check_edit(configuration, edit, self._catalogue())
        found = [await check(result, edit) for check in self._checks]
        return [str(note) for notes in found for note in notes]

    async def _prepare(self, edit: Edit) -> tuple[Entry, Row | None]:
        head = await self._replica.poll()
        configuration = self._replica.configuration
        if configuration.version != read_version(head):
            # An entry was received over a link after the head was read.
            head = await self._replica.poll()
            configuration = self._replica.configuration
        result = check_edit(configuration, edit, self._catalogue())
        for check in self._checks:
            await check(result, edit)
        entry = Entry(read_version(head) + 1, edit)
        # A committed entry that can't be decoded would block every process at the
        # previous version permanently.
        decode(Entry, encode(entry))
        return entry, head

    async def _commit(
        self, entry: Entry, head: Row | None, deadline: timedelta
    ) -> Accepted | HeadMoved:
        transaction = build_transaction(head, entry)
        attempt = 0
        unclear: StoreResultUnknown | None = None
        while True:
            try:
                return interpret_result(entry, await self._tables.transact(transaction))
            except StoreResultUnknown as error:
                unclear = error
            except StoreUnavailable:
                if unclear is None:
                    raise
            # The answer was lost, and the write may have been applied. The same
            # transaction is retried: its condition on the change id makes it
            # idempotent, and a conflict shows whether the first copy was applied.
            delay = draw_delay(self._random, attempt, MIN_RETRY_DELAY, MAX_RETRY_DELAY)
            if self._clock.monotonic() + delay >= deadline:
                raise unclear
            attempt += 1
            await self._sleep(delay)

    def _check_time(self, deadline: timedelta) -> None:
        if self._clock.monotonic() >= deadline:
            raise StoreUnavailable(
                "Other edits were committed first each time; propose this one again."
            )

    async def _write_snapshot(self, version: int) -> None:
        if version % self._snapshot_interval:
            return
        try:
            await self._save(version)
        except MustardquayError as error:
            # The log is complete without it, and the next snapshot replaces it.
            logger.warning("Snapshot %d was not written: %s", version, error)

    async def _save(self, version: int) -> None:
        configuration = self._replica.configuration
        if configuration.version != version:
            return
        await self._objects.put(
            build_snapshot_name(version), encode_snapshot(configuration)
        )
        row = await self._tables.read(CONFIGURATIONS, SNAPSHOT_KEY)
        if read_version(row) >= version:
            return
        revision = 0 if row is None else row.revision
        value = {"version": version}
        result = await self._tables.transact(
            Transaction(
                (Condition(CONFIGURATIONS, SNAPSHOT_KEY, revision),),
                (Write(CONFIGURATIONS, SNAPSHOT_KEY, value),),
            )
        )
        if result and row is not None:
            await self._prune(read_version(row))

    async def _prune(self, version: int) -> None:
        """Delete the entries and change ids up to the previous snapshot."""
        while True:
            rows = await self._tables.scan(CONFIGURATIONS, ENTRY_PREFIX, PRUNE_BATCH)
            old = [
                row
                for row in rows
                if row.key.startswith(ENTRY_PREFIX) and row.value["version"] <= version
            ]
            if not old:
                return
            writes = []
            for row in old:
                change_id = row.value["edit"]["change_id"]
                writes.append(Write(CONFIGURATIONS, row.key, None))
                writes.append(Write(CONFIGURATIONS, CHANGE_PREFIX + change_id, None))
            await self._tables.transact(Transaction((), tuple(writes)))
