"""The ledger of one request: what its sends leave open."""

from dataclasses import dataclass

__all__ = ["RunLedger"]


@dataclass(slots=True)
class RunLedger:
    """Keeps whether a request may have been run, or may still be.

    >>> ledger = RunLedger()
    >>> ledger.begin_send(is_repeatable=False)
    True
    >>> ledger.is_surely_not_run, ledger.begin_send(is_repeatable=False)
    (False, False)
    >>> ledger.end_send(is_not_run=True)
    >>> ledger.is_surely_not_run
    True
    >>> ledger.close()
    >>> ledger.begin_send(is_repeatable=True)
    False
    """

    open_sends: int = 0
    """Sends that have left this process and whose results aren't known."""
    may_have_run: bool = False
    """Whether a send has ended without the proof that it did not run the request."""
    is_closed: bool = False
    """Whether the caller was promised that the request never runs."""

    @property
    def is_surely_not_run(self) -> bool:
        """Return whether nothing has run the request or may still run it."""
        return not self.open_sends and not self.may_have_run

    def allows_send(self, is_repeatable: bool) -> bool:
        """Return whether the request may be sent now to where it can run.

        `is_repeatable` says whether it may be run again after it may have run.
        """
        return not self.is_closed and (is_repeatable or self.is_surely_not_run)

    def begin_send(self, is_repeatable: bool) -> bool:
        """Note a send whose first byte leaves now; return whether it is allowed.

        Guards against two sends beside each other of which each was chosen before the
        other one had left.
        """
        is_allowed = self.allows_send(is_repeatable)
        self.open_sends += is_allowed
        return is_allowed

    def close(self) -> None:
        """Allow no further send."""
        self.is_closed = True

    def end_send(self, is_not_run: bool) -> None:
        """Note the result of a send that was begun."""
        self.open_sends -= 1
        self.note(is_not_run)

    def note(self, is_not_run: bool) -> None:
        """Note what is known of a send, however often."""
        self.may_have_run |= not is_not_run
