"""Encoding of load reports in the digests that gateways exchange."""

from collections.abc import Sequence
from datetime import timedelta
from math import isfinite
from typing import Any

from mustardquay.upstream_capacity import CapacityNotice

__all__ = ["read_capacities", "write_capacities"]

ABSENT = -1
MAX_COUNT = 2**31 - 1
MAX_MILLISECONDS = 2**32 - 1
MAX_ANSWERS = 2**16 - 1


def write_capacities(message: Any, notices: Sequence[CapacityNotice]) -> None:
    """Add the notices to a digest."""
    if not notices:
        return
    built_notices = message.init("capacities", len(notices))
    for built, notice in zip(built_notices, notices, strict=True):
        built.upstream = notice.upstream
        built.running = _write_count(notice.running)
        built.waiting = _write_count(notice.waiting)
        built.workTime = ABSENT if notice.work_time is None else notice.work_time
        age = max(notice.age // timedelta(milliseconds=1), 0)
        built.ageMilliseconds = min(age, MAX_MILLISECONDS)
        built.answers = min(notice.answers, MAX_ANSWERS)
        built.answerSeconds = notice.answer_seconds


def read_capacities(message: Any) -> tuple[CapacityNotice, ...]:
    """Return the notices of a digest; invalid figures count as absent."""
    return tuple(map(_read_notice, message.capacities))


def _read_notice(built: Any) -> CapacityNotice:
    work_time, seconds = built.workTime, built.answerSeconds
    are_answers_valid = isfinite(seconds) and seconds > 0
    return CapacityNotice(
        built.upstream,
        _read_count(built.running),
        _read_count(built.waiting),
        work_time if isfinite(work_time) and work_time > 0 else None,
        timedelta(milliseconds=built.ageMilliseconds),
        built.answers if are_answers_valid else 0,
        seconds if are_answers_valid else 0.0,
    )


def _write_count(count: int | None) -> int:
    return ABSENT if count is None else min(count, MAX_COUNT)


def _read_count(count: int) -> int | None:
    return count if count >= 0 else None
