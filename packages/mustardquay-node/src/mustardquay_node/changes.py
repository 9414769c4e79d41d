"""Changes: `/admin/changes` on the admin port."""

from mustardquay.documents import ChangeDocument, check_document, describe_change
from mustardquay.plans import PlannedChange
from mustardquay.revisions import ChangeAmendment, Configuration

from .amendments import LARGEST_REVISION, AmendmentHandler

__all__ = ["ChangeHandler", "ChangesHandler"]


class ChangesHandler(AmendmentHandler):
    """`/admin/changes`."""

    async def get(self) -> None:
        """Send all planned changes, sorted by name."""
        configuration = await self.actions.read_configuration()
        changes = sorted(configuration.changes.items())
        self.send(
            {
                "version": configuration.version,
                "changes": [describe_change(change) for _, change in changes],
            }
        )

    async def post(self) -> None:
        """Announce a planned change, or with `?preview=1` only return its cost."""
        document = check_document(ChangeDocument, self.read_body(), "change")
        change = document.to_change()
        amendment = ChangeAmendment(change.name, change.revision, change)
        if self.read_number("preview", 0, 0, 1):
            notes = list(await self.preview(amendment))
            self.send(describe_change(change) | {"notes": notes})
            return
        version = await self.amend(amendment)
        self.send(describe_change(change) | {"revision": version})


class ChangeHandler(AmendmentHandler):
    """`/admin/changes/NAME`."""

    async def get(self, name: str) -> None:
        """Send one planned change."""
        configuration = await self.actions.read_configuration()
        self.send(describe_change(self._find(configuration, name)))

    async def delete(self, name: str) -> None:
        """Cancel the change; `?revision=` protects against concurrent edits."""
        configuration = await self.actions.read_configuration()
        present = self._find(configuration, name).revision
        revision = self.read_number("revision", present, 0, LARGEST_REVISION)
        version = await self.amend(ChangeAmendment(name, revision, None))
        self.send({"version": version})

    def _find(self, configuration: Configuration, name: str) -> PlannedChange:
        change = configuration.changes.get(name)
        if change is None:
            raise self.make_error(
                404, f"There is no planned change {name}; list them or announce one."
            )
        return change
