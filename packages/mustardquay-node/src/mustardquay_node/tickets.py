"""Tickets: placed generations, and the prompts that were prefilled for them."""

from dataclasses import dataclass
from datetime import timedelta

from mustardquay.engine_states import HashedPart
from mustardquay.placements import Placement
from mustardquay.rate_limits import Reservation

from .adapters import Prefilled

__all__ = ["RetainedPrefill", "Ticket"]


@dataclass(slots=True)
class Ticket:
    """A placed generation, from its placement to the end of its stream."""

    placement: Placement
    parts: tuple[HashedPart, ...]
    rank: int = 0
    is_prefilled: bool = False
    is_running: bool = False
    """Whether it occupies a slot of the decoder."""
    reader_reservation: Reservation | None = None
    decoder_reservation: Reservation | None = None
    """Set if the decoder is not the reader."""
    output_tokens: int = 0
    """Largest number of tokens of the answer."""


@dataclass(slots=True)
class RetainedPrefill:
    """A prompt that an engine has prefilled, kept until its request has ended."""

    ticket: Ticket
    prefilled: Prefilled
    is_handle_used: bool = False
    """Whether another engine may have fetched the handle, which works only once."""
    silent_since: timedelta | None = None
    """When the last hand-over began, if it was given up for its silence."""
    is_used: bool = False
    """Whether an engine has generated from it."""
