from contextlib import suppress

import pytest
from hypothesis import given, settings, strategies

from mustardquay.errors import ProtocolError
from mustardquay.events import Stamp
from mustardquay.messages import Chunk, Credit, Done, Heartbeat, Started
from mustardquay_node.frames import WIRE, Batch, decode_batch, encode_batch

SEEDED = settings(derandomize=True, deadline=None, database=None, max_examples=100)

streams = strategies.integers(1, 2**64 - 1)
indexes = strategies.integers(0, 2**32 - 1)
chunks = strategies.builds(Chunk, streams, indexes, indexes, strategies.binary())
other_messages = strategies.one_of(
    strategies.builds(Started, streams, indexes),
    strategies.builds(Done, streams, indexes),
    strategies.builds(Credit, streams, streams),
    strategies.just(Heartbeat(upstream="reader-1", models=("m",))),
)
batches = strategies.builds(
    Batch,
    streams,
    strategies.builds(Stamp, streams, indexes),
    strategies.lists(strategies.one_of(chunks, other_messages)).map(tuple),
)


@SEEDED
@given(batches)
def test_batch_round_trip_keeps_the_order(batch):
    assert decode_batch(encode_batch(batch)) == batch


@SEEDED
@given(batches, strategies.integers(0), strategies.integers(0, 255))
def test_corrupted_batch_is_a_protocol_error_or_another_batch(batch, position, value):
    data = bytearray(encode_batch(batch))
    data[position % len(data)] = value
    with suppress(ProtocolError):
        assert isinstance(decode_batch(bytes(data)), Batch)


def encode_chunk_lists(**changes):
    lists = {"streams": [1, 2], "indexes": [0, 0], "tokens": [1, 1], "sizes": [1, 1]}
    built = WIRE.Batch.new_message()
    row = built.init("frames", 1)[0].init("chunks")
    for name, values in (lists | changes).items():
        setattr(row, name, values)
    row.data = b"ab"
    return built.to_bytes()


@pytest.mark.parametrize("field", ["streams", "indexes", "tokens", "sizes"])
def test_chunk_lists_of_different_lengths_are_refused(field):
    messages = decode_batch(encode_chunk_lists()).messages
    assert messages == (Chunk(1, 0, 1, b"a"), Chunk(2, 0, 1, b"b"))
    with pytest.raises(ProtocolError):
        decode_batch(encode_chunk_lists(**{field: [1]}))
