"""Codec of chunks, which encodes the chunks of many streams as a few parallel lists.

An engine emits a token for each of its streams at every step, so chunks arrive in long
runs. With one structure for each chunk, decoding costs more than anything else that an
entry does for a token, except writing it to the caller.
"""

from collections.abc import Iterator, Sequence
from typing import Any

from mustardquay.errors import ProtocolError
from mustardquay.messages import Chunk

__all__ = ["read_chunks", "write_chunks"]


def write_chunks(built: Any, chunks: Sequence[Chunk]) -> None:
    """Encode chunks, in their order, into a `Chunks` structure."""
    built.streams = [chunk.stream for chunk in chunks]
    built.indexes = [chunk.index for chunk in chunks]
    built.tokens = [chunk.tokens for chunk in chunks]
    built.sizes = [len(chunk.data) for chunk in chunks]
    built.data = b"".join([chunk.data for chunk in chunks])


def read_chunks(read: Any) -> Iterator[Chunk]:
    """Decode chunks; raises `ProtocolError` when the lists differ in length."""
    sizes = list(read.sizes)
    data = read.data
    columns = (list(read.streams), list(read.indexes), list(read.tokens))
    lengths = {len(column) for column in (sizes, *columns)}
    if len(lengths) > 1 or sum(sizes) != len(data):
        raise ProtocolError(
            "The lists of chunks differ in length; run the same release on both ends."
        )
    return _split_chunks(data, sizes, *columns)


def _split_chunks(
    data: bytes,
    sizes: list[int],
    streams: list[int],
    indexes: list[int],
    tokens: list[int],
) -> Iterator[Chunk]:
    start = 0
    for stream, index, count, size in zip(streams, indexes, tokens, sizes, strict=True):
        end = start + size
        yield Chunk(stream, index, count, data[start:end])
        start = end
