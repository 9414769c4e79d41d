"""Codec of heartbeats and cache events."""

from collections.abc import Iterable, Sequence
from datetime import timedelta
from typing import Any

from mustardquay.caches import CacheEvent
from mustardquay.messages import CacheEvents, Heartbeat
from mustardquay.quarantines import CrashId, CrashRecord
from mustardquay.works import Role

__all__ = [
    "read_cache_events",
    "read_heartbeat",
    "to_microseconds",
    "write_cache_events",
    "write_heartbeat",
]

MICROSECOND = timedelta(microseconds=1)
MAX_DURATION = timedelta(days=1)


def to_microseconds(duration: timedelta) -> int:
    """Return a duration as encoded in frames: 0 if negative, at most a day."""
    return max(min(duration, MAX_DURATION) // MICROSECOND, 0)


def write_heartbeat(frame: Any, heartbeat: Heartbeat) -> None:
    """Encode a heartbeat into a frame."""
    built = frame.init("heartbeat")
    built.version = heartbeat.version
    built.upstream = heartbeat.upstream
    built.confirmed = heartbeat.confirmed
    built.draining = heartbeat.draining
    built.ready = heartbeat.ready
    built.role = heartbeat.role.value
    built.models = list(heartbeat.models)
    built.adapters = list(heartbeat.adapters)
    built.queuedTokens = heartbeat.queued_tokens
    built.queuedTokensWithin = heartbeat.queued_tokens_within
    built.waiting = heartbeat.waiting
    built.running = heartbeat.running
    built.prefillRate = heartbeat.prefill_rate
    built.decodeRate = heartbeat.decode_rate
    built.concurrency = heartbeat.concurrency
    built.agents = heartbeat.agents
    if heartbeat.crashes:
        _write_crashes(built, heartbeat.crashes)


def read_heartbeat(read: Any) -> Heartbeat:
    """Decode the heartbeat of a frame; raises `ValueError` for an unknown role."""
    return Heartbeat(
        version=read.version,
        upstream=read.upstream,
        confirmed=read.confirmed,
        draining=read.draining,
        ready=read.ready,
        role=Role(read.role),
        models=tuple(read.models),
        adapters=tuple(read.adapters),
        queued_tokens=read.queuedTokens,
        queued_tokens_within=read.queuedTokensWithin,
        waiting=read.waiting,
        running=read.running,
        prefill_rate=read.prefillRate,
        decode_rate=read.decodeRate,
        concurrency=read.concurrency,
        agents=read.agents,
        crashes=tuple(_read_crash_record(record) for record in read.crashes),
    )


def _write_crashes(target: Any, records: Sequence[CrashRecord]) -> None:
    built = target.init("crashes", len(records))
    for position, record in enumerate(records):
        built[position].fingerprint = record.fingerprint
        built[position].remaining = to_microseconds(record.remaining)
        _write_crash_ids(
            built[position].init("crashes", len(record.crashes)), record.crashes
        )
        _write_crash_ids(
            built[position].init("cleared", len(record.cleared)), record.cleared
        )


def _write_crash_ids(built: Any, crashes: Iterable[CrashId]) -> None:
    for position, crash in enumerate(sorted(crashes)):
        built[position].upstream = crash.upstream
        built[position].boot = crash.boot


def _read_crash_record(read: Any) -> CrashRecord:
    return CrashRecord(
        read.fingerprint,
        frozenset(CrashId(crash.upstream, crash.boot) for crash in read.crashes),
        frozenset(CrashId(crash.upstream, crash.boot) for crash in read.cleared),
        timedelta(microseconds=read.remaining),
    )


def write_cache_events(frame: Any, message: CacheEvents) -> None:
    """Encode an upstream's cache events into a frame."""
    built = frame.init("cacheEvents")
    built.boot = message.boot
    built.oldest = message.oldest
    events = built.init("events", len(message.events))
    for position, event in enumerate(message.events):
        events[position].number = event.number
        events[position].stored = event.stored
        events[position].piece = event.piece


def read_cache_events(read: Any) -> CacheEvents:
    """Decode the cache events of a frame."""
    events = tuple(
        CacheEvent(event.number, event.stored, event.piece) for event in read.events
    )
    return CacheEvents(read.boot, read.oldest, events)
