"""Releases: `/admin/releases` on the admin port."""

from mustardquay.documents import check_document
from mustardquay.plans import Release
from mustardquay.releases import ReleaseDocument, describe_release
from mustardquay.revisions import Configuration, ReleaseAmendment

from .amendments import LARGEST_REVISION, AmendmentHandler

__all__ = ["ReleaseHandler", "ReleasesHandler"]


class ReleasesHandler(AmendmentHandler):
    """`/admin/releases`."""

    async def get(self) -> None:
        """Send all releases, sorted by model."""
        configuration = await self.actions.read_configuration()
        releases = sorted(configuration.releases.items())
        self.send(
            {
                "version": configuration.version,
                "releases": [describe_release(release) for _, release in releases],
            }
        )

    async def post(self) -> None:
        """Announce a release, or with `?preview=1` only check it."""
        document = check_document(ReleaseDocument, self.read_body(), "release")
        release = document.to_release()
        amendment = ReleaseAmendment(release.model, release.revision, release)
        if self.read_number("preview", 0, 0, 1):
            notes = list(await self.preview(amendment))
            self.send(describe_release(release) | {"notes": notes})
            return
        version = await self.amend(amendment)
        self.send(describe_release(release) | {"revision": version})


class ReleaseHandler(AmendmentHandler):
    """`/admin/releases/MODEL`."""

    async def get(self, model: str) -> None:
        """Send one release."""
        configuration = await self.actions.read_configuration()
        self.send(describe_release(self._find(configuration, model)))

    async def delete(self, model: str) -> None:
        """Stop serving the model if its release has the revision in `?revision=`."""
        revision = self.read_number("revision", 0, 0, LARGEST_REVISION)
        self._find(await self.actions.read_configuration(), model)
        version = await self.amend(ReleaseAmendment(model, revision, None))
        self.send({"version": version})

    def _find(self, configuration: Configuration, model: str) -> Release:
        release = configuration.releases.get(model)
        if release is None:
            raise self.make_error(
                404, f"There is no release of {model}; list them or announce one."
            )
        return release
