"""Answers to other gateways that ask for the configuration in force here."""

from collections.abc import Callable

from tornado.web import RequestHandler

from .documents import VERSION_HEADER, RelayedDocument

__all__ = ["RelayHandler"]


class RelayHandler(RequestHandler):
    """Sends the document in force if it is newer than the caller's."""

    def initialize(self, get_document: Callable[[], RelayedDocument | None]) -> None:
        """Take the function that returns the document in force."""
        self._get_document = get_document

    def get(self) -> None:
        """Answer with the document, or with 204."""
        after = self.get_query_argument("after", "")
        if not after.isdecimal():
            self.set_status(400)
            return
        document = self._get_document()
        if document is None or document.version <= int(after):
            self.set_status(204)
            return
        self.set_header("Content-Type", "application/octet-stream")
        self.set_header(VERSION_HEADER, str(document.version))
        self.write(document.value)
