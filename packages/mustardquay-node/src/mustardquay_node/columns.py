"""Columns: the chunks of many streams, side by side in a few lists.

An engine gives a token to each of its streams at every step, so chunks come in long
rows. As one structure each they cost more to read than all else that an entry does
for a token, but for writing it to the caller.
"""

from collections.abc import Iterator, Sequence
from typing import Any

from mustardquay.errors import ProtocolError
from mustardquay.messages import Chunk

__all__ = ["read_chunks", "write_chunks"]


def write_chunks(built: Any, chunks: Sequence[Chunk]) -> None:
    """Write chunks, in their order, into a `Chunks` structure."""
    built.streams = [chunk.stream for chunk in chunks]
    built.indexes = [chunk.index for chunk in chunks]
    built.tokens = [chunk.tokens for chunk in chunks]
    built.sizes = [len(chunk.data) for chunk in chunks]
    built.data = b"".join([chunk.data for chunk in chunks])


def read_chunks(read: Any) -> Iterator[Chunk]:
    """Return the chunks; raises `ProtocolError` when the lists don't agree."""
    sizes = list(read.sizes)
    data = read.data
    columns = (list(read.streams), list(read.indexes), list(read.tokens))
    lengths = {len(column) for column in (sizes, *columns)}
    if len(lengths) > 1 or sum(sizes) != len(data):
        raise ProtocolError(
            "The lists of chunks don't agree; run the same release on both ends."
        )
    return _cut_chunks(data, sizes, *columns)


def _cut_chunks(
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
