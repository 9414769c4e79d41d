"""Decisions about silent upstreams: whom new requests avoid, and what is given up."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from datetime import timedelta
from enum import StrEnum

from ..upstream_lists import UpstreamRecord
from .upstream_silences import SOUND_SILENCE, UpstreamSilences

__all__ = [
    "SOUND_SILENCE",
    "GiveUpReason",
    "SilentSend",
    "find_give_up_reason",
    "find_recheck_time",
    "pass_over_silent",
]

MIN_HEARD_SHARE = 1 / 3
"""Least share of upstreams that must not be suspected for the others to be passed over.
Where most are silent at once, the few others would be overloaded, while those that are
silent go on within a second."""
RECHECK_TIME = timedelta(milliseconds=200)
"""Time until a quiet send is checked again."""
MIN_TIME_LEFT = timedelta(milliseconds=100)
"""Time left below which no other upstream could still begin to answer."""


class GiveUpReason(StrEnum):
    """Why an answer is given up, so that its request goes elsewhere."""

    GONE = "gone"
    """The upstream is silent and refuses connections."""
    OVERDUE = "overdue"
    """The upstream is silent for longer than a sound one may be."""


@dataclass(frozen=True, slots=True)
class SilentSend:
    """A send whose upstream is suspected, and what could be done instead."""

    upstream: str
    quiet: timedelta
    """Time without a byte, as far as this process ran."""
    may_be_repeated: bool
    """Whether the request may be sent once more, after this send counts as broken."""
    has_other: bool
    """Whether another upstream, neither suspected nor tried yet, can take it."""
    time_left: timedelta
    shows_progress: bool = True
    """Whether the answer comes in parts, so that its silence says something of the
    upstream. A short answer shows nothing before its end."""


def find_recheck_time(quiet: timedelta) -> timedelta:
    """Return when to check a quiet send again; one check is as the silence gets long.

    >>> times = map(find_recheck_time, (RECHECK_TIME, SOUND_SILENCE * 0.9))
    >>> [time.total_seconds() for time in times]
    [0.2, 0.15]
    """
    left = SOUND_SILENCE - quiet
    return min(left, RECHECK_TIME) if left > timedelta() else RECHECK_TIME


def find_give_up_reason(
    send: SilentSend, silences: UpstreamSilences, take_allowance: Callable[[], bool]
) -> GiveUpReason | None:
    """Return why a send is given up, or None to wait for its upstream.

    `take_allowance` charges the further send to the retry allowance; it is called
    only if everything else allows to give up.
    """
    if not (send.may_be_repeated and send.has_other):
        return None
    if send.time_left < MIN_TIME_LEFT:
        return None
    reason = _find_reason(send, silences)
    return reason if reason is not None and take_allowance() else None


def _find_reason(send: SilentSend, silences: UpstreamSilences) -> GiveUpReason | None:
    if silences.is_gone(send.upstream):
        return GiveUpReason.GONE
    if not send.shows_progress:
        return None
    if send.quiet >= SOUND_SILENCE or silences.is_overdue(send.upstream):
        return GiveUpReason.OVERDUE
    return None


def pass_over_silent(
    candidates: Sequence[UpstreamRecord], silences: UpstreamSilences, now: timedelta
) -> Sequence[UpstreamRecord]:
    """Return the candidates without those that are suspected.

    All are returned if all are suspected. If most are, only those are left out that
    are silent for longer than a sound upstream may be.
    """
    heard = [each for each in candidates if not silences.is_suspected(each.id, now)]
    if len(heard) == len(candidates) or not heard:
        return candidates
    if len(heard) >= MIN_HEARD_SHARE * len(candidates):
        return heard
    return [
        each
        for each in candidates
        if not (silences.is_overdue(each.id) and silences.is_suspected(each.id, now))
    ]
