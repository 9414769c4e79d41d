"""Codec of the frames on a link, in Cap'n Proto.

Durations are encoded in microseconds.
"""

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from datetime import timedelta
from itertools import groupby
from pathlib import Path
from typing import Any

import capnp

from mustardquay.errors import ProtocolError, Reason
from mustardquay.events import Stamp
from mustardquay.messages import (
    Attempt,
    CacheEvents,
    Cancel,
    Chunk,
    ConfigurationEntries,
    ConfigurationWanted,
    Credit,
    Done,
    Failed,
    FailureKind,
    Head,
    Header,
    Heartbeat,
    Message,
    OrderChanged,
    Reattach,
    Refused,
    Started,
)

from .chunk_columns import read_chunks, write_chunks
from .heartbeats import (
    read_cache_events,
    read_heartbeat,
    to_microseconds,
    write_cache_events,
    write_heartbeat,
)

__all__ = ["Batch", "Hello", "decode_batch", "encode_batch"]

capnp.remove_import_hook()
WIRE = capnp.load(str(Path(__file__).with_name("wire.capnp")))

TRAVERSAL_LIMIT = 64 * 1024 * 1024
"""Traversal limit in words for one message, against amplification attacks."""


@dataclass(frozen=True, slots=True)
class Hello:
    """Handshake message, sent both ways: the sender's identity and its proof."""

    process: str
    incarnation: int
    availability_zone: str
    nonce: bytes
    proof: bytes
    link: int
    """Number that the entry gave the link, from 1; higher for each new link."""


@dataclass(frozen=True, slots=True)
class Batch:
    """The messages of one frame on a link."""

    sequence: int
    stamp: Stamp
    messages: tuple[Message | Hello, ...]


def encode_batch(batch: Batch) -> bytes:
    """Return the encoded batch, without its length prefix."""
    built = WIRE.Batch.new_message()
    built.sequence = batch.sequence
    built.physical = batch.stamp.physical
    built.logical = batch.stamp.logical
    rows = [
        (are_chunks, list(row))
        for are_chunks, row in groupby(batch.messages, _is_chunk)
    ]
    frames = built.init(
        "frames", sum(1 if are_chunks else len(row) for are_chunks, row in rows)
    )
    position = 0
    for are_chunks, row in rows:
        if are_chunks:
            write_chunks(frames[position].init("chunks"), row)
            position += 1
            continue
        for message in row:
            ENCODERS[type(message)](frames[position], message)
            position += 1
    return built.to_bytes()


def decode_batch(data: bytes) -> Batch:
    """Return the batch in `data`; raises `ProtocolError` if it can't be decoded."""
    try:
        with WIRE.Batch.from_bytes(
            data, traversal_limit_in_words=TRAVERSAL_LIMIT
        ) as read:
            stamp = Stamp(read.physical, read.logical)
            messages: list[Message | Hello] = []
            for frame in read.frames:
                kind = frame.which()
                if kind == "chunks":
                    messages.extend(read_chunks(frame.chunks))
                else:
                    messages.append(DECODERS[kind](getattr(frame, kind)))
            return Batch(read.sequence, stamp, tuple(messages))
    except (capnp.KjException, ValueError, KeyError) as error:
        raise ProtocolError(
            f"A frame can't be decoded; run the same release on both ends: {error}"
        ) from None


def _is_chunk(message: Message | Hello) -> bool:
    return type(message) is Chunk


def _write_headers(target: Any, headers: Sequence[Header]) -> None:
    built = target.init("headers", len(headers))
    for position, (name, value) in enumerate(headers):
        built[position].name = name
        built[position].value = value


def _read_headers(headers: Any) -> tuple[Header, ...]:
    return tuple((header.name, header.value) for header in headers)


def _write_hello(frame: Any, hello: Hello) -> None:
    built = frame.init("hello")
    built.process = hello.process
    built.incarnation = hello.incarnation
    built.availabilityZone = hello.availability_zone
    built.nonce = hello.nonce
    built.proof = hello.proof
    built.link = hello.link


def _read_hello(read: Any) -> Hello:
    return Hello(
        read.process,
        read.incarnation,
        read.availabilityZone,
        bytes(read.nonce),
        bytes(read.proof),
        read.link,
    )


def _write_attempt(frame: Any, attempt: Attempt) -> None:
    built = frame.init("attempt")
    built.stream = attempt.stream
    built.request = attempt.request
    built.number = attempt.number
    built.incarnation = attempt.incarnation
    built.customer = attempt.customer
    built.model = attempt.model
    built.adapter = attempt.adapter
    built.method = attempt.method
    built.path = attempt.path
    _write_headers(built, attempt.headers)
    built.body = attempt.body
    built.promptTokens = attempt.prompt_tokens
    built.outputTokens = attempt.output_tokens
    built.share = attempt.share
    built.priority = attempt.priority
    built.startWithin = to_microseconds(attempt.start_within)
    built.finishWithin = to_microseconds(attempt.finish_within)
    if attempt.prefix:
        built.prefix = list(attempt.prefix)
    built.fingerprint = attempt.fingerprint
    built.repeatable = attempt.repeatable
    built.streamed = attempt.streamed
    built.version = attempt.version
    built.cachedTokens = attempt.cached_tokens
    built.betweenTokens = to_microseconds(attempt.between_tokens)
    if attempt.claim:
        built.claim = attempt.claim


def _read_attempt(read: Any) -> Attempt:
    return Attempt(
        stream=read.stream,
        request=read.request,
        number=read.number,
        incarnation=read.incarnation,
        customer=read.customer,
        model=read.model,
        adapter=read.adapter,
        method=read.method,
        path=read.path,
        headers=_read_headers(read.headers),
        body=bytes(read.body),
        prompt_tokens=read.promptTokens,
        output_tokens=read.outputTokens,
        share=read.share,
        priority=read.priority,
        start_within=timedelta(microseconds=read.startWithin),
        finish_within=timedelta(microseconds=read.finishWithin),
        prefix=tuple(read.prefix),
        fingerprint=read.fingerprint,
        repeatable=read.repeatable,
        streamed=read.streamed,
        version=read.version,
        cached_tokens=read.cachedTokens,
        between_tokens=timedelta(microseconds=read.betweenTokens),
        claim=read.claim,
    )


def _write_reattach(frame: Any, reattach: Reattach) -> None:
    built = frame.init("reattach")
    built.stream = reattach.stream
    built.request = reattach.request
    built.number = reattach.number
    built.incarnation = reattach.incarnation
    built.have = reattach.have


def _read_reattach(read: Any) -> Reattach:
    return Reattach(read.stream, read.request, read.number, read.incarnation, read.have)


def _write_cancel(frame: Any, cancel: Cancel) -> None:
    frame.cancel = cancel.stream


def _write_credit(frame: Any, credit: Credit) -> None:
    built = frame.init("credit")
    built.stream = credit.stream
    built.size = credit.size


def _read_credit(read: Any) -> Credit:
    return Credit(read.stream, read.size)


def _make_index_writer(name: str) -> Callable[[Any, Started | Done], None]:
    def write(frame: Any, message: Started | Done) -> None:
        built = frame.init(name)
        built.stream = message.stream
        built.index = message.index

    return write


def _read_started(read: Any) -> Started:
    return Started(read.stream, read.index)


def _read_done(read: Any) -> Done:
    return Done(read.stream, read.index)


def _write_head(frame: Any, head: Head) -> None:
    built = frame.init("head")
    built.stream = head.stream
    built.index = head.index
    built.status = head.status
    _write_headers(built, head.headers)


def _read_head(read: Any) -> Head:
    return Head(read.stream, read.index, read.status, _read_headers(read.headers))


def _write_refused(frame: Any, refused: Refused) -> None:
    built = frame.init("refused")
    built.stream = refused.stream
    built.index = refused.index
    built.reason = refused.reason.value
    built.message = refused.message
    if refused.retry_after is not None:
        built.retryAfter = to_microseconds(refused.retry_after)


def _read_refused(read: Any) -> Refused:
    wait = read.retryAfter
    return Refused(
        read.stream,
        read.index,
        Reason(read.reason),
        read.message,
        timedelta(microseconds=wait) if wait >= 0 else None,
    )


def _write_failed(frame: Any, failed: Failed) -> None:
    built = frame.init("failed")
    built.stream = failed.stream
    built.index = failed.index
    built.kind = failed.kind.value
    built.message = failed.message


def _read_failed(read: Any) -> Failed:
    return Failed(read.stream, read.index, FailureKind(read.kind), read.message)


def _write_entries(frame: Any, message: ConfigurationEntries) -> None:
    frame.configurationEntries = list(message.entries)


def _read_entries(read: Any) -> ConfigurationEntries:
    return ConfigurationEntries(tuple(bytes(entry) for entry in read))


def _write_order_changed(frame: Any, message: OrderChanged) -> None:
    frame.orderChanged = None


def _write_wanted(frame: Any, message: ConfigurationWanted) -> None:
    frame.configurationWanted = message.after


ENCODERS: dict[type, Callable[[Any, Any], None]] = {
    Hello: _write_hello,
    Attempt: _write_attempt,
    Reattach: _write_reattach,
    Cancel: _write_cancel,
    Credit: _write_credit,
    Started: _make_index_writer("started"),
    Head: _write_head,
    Done: _make_index_writer("done"),
    Refused: _write_refused,
    Failed: _write_failed,
    Heartbeat: write_heartbeat,
    CacheEvents: write_cache_events,
    ConfigurationEntries: _write_entries,
    ConfigurationWanted: _write_wanted,
    OrderChanged: _write_order_changed,
}

DECODERS: dict[str, Callable[[Any], Message | Hello]] = {
    "hello": _read_hello,
    "attempt": _read_attempt,
    "reattach": _read_reattach,
    "cancel": Cancel,
    "credit": _read_credit,
    "started": _read_started,
    "head": _read_head,
    "done": _read_done,
    "refused": _read_refused,
    "failed": _read_failed,
    "heartbeat": read_heartbeat,
    "cacheEvents": read_cache_events,
    "configurationEntries": _read_entries,
    "configurationWanted": ConfigurationWanted,
    "orderChanged": lambda read: OrderChanged(),
}
