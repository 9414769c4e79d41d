"""Editors: bring an operator's edit into the configuration log.

Any process may do it; racing edits are decided by the table service. Snapshots are
written by whoever brings in an entry that makes one due.
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

from .configurations import ConfigurationKeeper
from .sleeps import Sleep, sleep as default_sleep

__all__ = ["ConfigurationEditor", "EditCheck"]

logger = logging.getLogger(__name__)

EditCheck = Callable[[Configuration, Edit], Awaitable[object]]
"""Raises `DocumentError` when the edit must not lead to this configuration."""

FIRST_WAIT = timedelta(milliseconds=100)
LONGEST_WAIT = timedelta(seconds=2)
PRUNE_BATCH = 200


class ConfigurationEditor:
    """Proposes edits; `checks` are run on each result beside `check_edit`."""

    def __init__(
        self,
        keeper: ConfigurationKeeper,
        tables: TableService,
        objects: ObjectStore,
        clock: Clock,
        random: Random,
        catalogue: Callable[[], Catalogue | None] = lambda: None,
        checks: tuple[EditCheck, ...] = (),
        patience: timedelta = timedelta(seconds=10),
        snapshot_interval: int = 500,
        sleep: Sleep = default_sleep,
    ):
        self._keeper = keeper
        self._tables = tables
        self._objects = objects
        self._clock = clock
        self._random = random
        self._catalogue = catalogue
        self._checks = checks
        self._patience = patience
        self._snapshot_interval = snapshot_interval
        self._sleep = sleep

    async def propose(self, edit: Edit) -> int:
        """Return the version under which the edit was accepted.

        Raises `ConflictError` or `DocumentError` when it was refused, and
        `StoreUnavailable` when it was surely not accepted. After `StoreResultUnknown`
        it may have been: propose it again with the same change id.
        """
        known = await self._tables.read(CONFIGURATIONS, CHANGE_PREFIX + edit.change_id)
        if known is not None:
            return read_version(known)
        deadline = self._clock.monotonic() + self._patience
        while True:
            entry, head = await self._prepare(edit)
            result = await self._commit(entry, head, deadline)
            if isinstance(result, Accepted):
                break
            # Another edit came first. This one is checked against the new head:
            # it still stands if the other amended something else.
            self._check_time(deadline)
        if result.version == entry.version:
            self._keeper.offer([entry])
            await self._write_snapshot(entry.version)
        return result.version

    async def preview(self, edit: Edit) -> list[str]:
        """Return what the checks have to say of the edit; nothing is proposed.

        Raises as `propose` does where the edit would be refused.
        """
        await self._keeper.poll()
        configuration = self._keeper.configuration
        result = check_edit(configuration, edit, self._catalogue())
        found = [await check(result, edit) for check in self._checks]
        return [str(note) for notes in found for note in notes]

    async def _prepare(self, edit: Edit) -> tuple[Entry, Row | None]:
        head = await self._keeper.poll()
        configuration = self._keeper.configuration
        if configuration.version != read_version(head):
            # An entry arrived over a link after the head was read.
            head = await self._keeper.poll()
            configuration = self._keeper.configuration
        result = check_edit(configuration, edit, self._catalogue())
        for check in self._checks:
            await check(result, edit)
        entry = Entry(read_version(head) + 1, edit)
        # An entry that is committed and can't be read back would stop every
        # process at the version before it, for good.
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
            # The answer was lost after the write may have taken effect. The same
            # transaction is sent again: its condition on the change id lets it
            # apply once, and its conflict tells whether the first copy did.
            delay = draw_delay(self._random, attempt, FIRST_WAIT, LONGEST_WAIT)
            if self._clock.monotonic() + delay >= deadline:
                raise unclear
            attempt += 1
            await self._sleep(delay)

    def _check_time(self, deadline: timedelta) -> None:
        if self._clock.monotonic() >= deadline:
            raise StoreUnavailable(
                "Other edits came first each time; propose this one again."
            )

    async def _write_snapshot(self, version: int) -> None:
        if version % self._snapshot_interval:
            return
        try:
            await self._save(version)
        except MustardquayError as error:
            # The log is whole without it; the next one that is due makes up for it.
            logger.warning("Snapshot %d was not written: %s", version, error)

    async def _save(self, version: int) -> None:
        configuration = self._keeper.configuration
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
        """Delete the entries up to the last snapshot but one, with change ids."""
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
