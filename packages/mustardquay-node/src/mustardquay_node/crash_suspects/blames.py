"""What the end of a send says of a crash of its upstream."""

from enum import StrEnum

__all__ = ["Blame"]


class Blame(StrEnum):
    """Whether a request counts as one that may crash its upstream, after a send."""

    NONE = "none"
    """The end says nothing: the request did not reach the upstream, only its prompt
    was prefilled, or it was answered with an error."""
    CLEARED = "cleared"
    """A whole answer clears the request of earlier crashes."""
    WATCHED = "watched"
    """The connection broke, or was given up in silence: the request is blamed if its
    upstream is soon lost."""
    ENDED_HERE = "ended_here"
    """This gateway ended the send, as its caller left or its time was over: it is
    blamed if its upstream is lost at that moment."""
