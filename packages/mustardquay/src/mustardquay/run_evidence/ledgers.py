"""The ledger of one request: what its sends leave open."""

from dataclasses import dataclass

__all__ = ["RunLedger"]


@dataclass(slots=True)
class RunLedger:
    """Keeps whether a request may have been run, or may still be.

    >>> ledger = RunLedger()
    >>> ledger.begin_send()
    >>> ledger.is_surely_not_run
    False
    >>> ledger.end_send(is_not_run=True)
    >>> ledger.is_surely_not_run
    True
    """

    open_sends: int = 0
    """Sends that may have left this process and whose results aren't known."""
    may_have_run: bool = False
    """Whether a send has ended without the proof that it did not run the request."""

    @property
    def is_surely_not_run(self) -> bool:
        """Return whether nothing has run the request or may still run it."""
        return not self.open_sends and not self.may_have_run

    def begin_send(self) -> None:
        """Note that a byte of the request may leave from now on."""
        self.open_sends += 1

    def end_send(self, is_not_run: bool) -> None:
        """Note the result of a send that was begun."""
        self.open_sends -= 1
        self.note(is_not_run)

    def note(self, is_not_run: bool) -> None:
        """Note what is known of a send, however often."""
        self.may_have_run |= not is_not_run
