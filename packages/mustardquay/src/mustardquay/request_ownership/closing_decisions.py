"""What to do with a caller's connection when there is a reason to close it.

Only a connection that is known to be empty is closed without a word: no byte was read
that isn't answered, and none waits in the kernel. A timer may fire late, in the
iteration in which a request arrives, so that what is there goes before any limit.
"""

from enum import StrEnum

from .connection_phases import ConnectionPhase

__all__ = ["ClosingStep", "Occasion", "decide_step"]


class Occasion(StrEnum):
    """Why a connection may have to be closed."""

    IDLE_LIMIT = "idle_limit"
    """It was empty for longer than the operator allows."""
    HEADER_LIMIT = "header_limit"
    """The header of a request took longer than the operator allows."""
    SHORTAGE = "descriptors"
    """The process needs descriptors."""
    MEMORY = "memory"
    """It holds what others need, and its caller has stopped reading or sending."""
    UNREAD = "unread"
    """Its caller has stopped reading, and the deadline of its request is over."""
    STOP = "stop"
    """The process stops, and callers are to use other processes."""
    STOP_INCOMPLETE = "stop_incomplete"
    """The process stops, and what was read for a while is not yet a request."""
    STOP_OVER = "stop_over"
    """The process is about to exit."""


class ClosingStep(StrEnum):
    """What to do with a connection."""

    KEEP = "keep"
    CLOSE = "close"
    TIME_OUT = "time_out"
    """Answer that the request was not received in time, and close."""
    REFUSE = "refuse"
    """Answer that the request was not run, and close."""
    CUT = "cut"
    """Close without a complete answer, which is logged."""


P = ConnectionPhase
INCOMPLETE_STEPS = {
    Occasion.HEADER_LIMIT: ClosingStep.TIME_OUT,
    Occasion.MEMORY: ClosingStep.REFUSE,
    Occasion.UNREAD: ClosingStep.REFUSE,
    Occasion.STOP_INCOMPLETE: ClosingStep.REFUSE,
    Occasion.STOP_OVER: ClosingStep.REFUSE,
}
"""What is done with a request of which only a part was received."""
STALLED = (Occasion.MEMORY, Occasion.UNREAD)
"""Occasions on which a caller has stopped reading its answer."""


def decide_step(
    phase: ConnectionPhase, occasion: Occasion, has_unread: bool
) -> ClosingStep:
    """Return what to do; `has_unread` is whether bytes wait in the kernel.

    >>> decide_step(ConnectionPhase.EMPTY, Occasion.STOP, has_unread=False).value
    'close'
    >>> decide_step(ConnectionPhase.EMPTY, Occasion.STOP, has_unread=True).value
    'keep'
    >>> decide_step(ConnectionPhase.READING, Occasion.STOP_OVER, False).value
    'refuse'
    >>> decide_step(ConnectionPhase.OWNED, Occasion.MEMORY, False).value
    'keep'
    """
    if phase is P.EMPTY and not has_unread:
        return ClosingStep.CLOSE
    if occasion is Occasion.STOP_OVER:
        return _decide_last_step(phase)
    if occasion in STALLED and phase in (P.ANSWERING, P.FLUSHING):
        return ClosingStep.CUT
    if phase is P.READING and not has_unread:
        return INCOMPLETE_STEPS.get(occasion, ClosingStep.KEEP)
    return ClosingStep.KEEP


def _decide_last_step(phase: ConnectionPhase) -> ClosingStep:
    """Return what to do with a connection that can't be kept any longer."""
    if phase in (P.EMPTY, P.READING):
        return ClosingStep.REFUSE
    if phase in (P.LINGERING, P.CLOSED):
        return ClosingStep.CLOSE
    return ClosingStep.CUT
