import asyncio
from dataclasses import dataclass, field
from datetime import timedelta

import pytest
from hypothesis import given, settings, strategies as st

from mustardquay.clocks import VirtualClock
from mustardquay.errors import ProtocolError
from mustardquay.events import EventRing, HybridClock
from mustardquay.routing_tables import RoutingTable
from mustardquay.version_trackers import TableState
from mustardquay_node.adapters import StoreRow
from mustardquay_node.configuration_loaders import ConfigurationLoader
from mustardquay_node.time_slices import SLICE

STEPS = 5
STEADY = settings(derandomize=True, deadline=None, database=None, max_examples=100)


@dataclass
class Decoder:
    """An adapter whose configurations are numbers; each step takes a whole slice."""

    CONFIGURATION_KEY = "config"
    clock: VirtualClock = field(default_factory=VirtualClock)
    decoded: list = field(default_factory=list)
    activated: list = field(default_factory=list)

    def make_configuration_decoder(self):
        return self

    def decode(self, value):
        self.decoded.append(value)
        for _ in range(STEPS):
            self.clock.advance(SLICE)
            yield
        if not value.isdigit():
            raise ProtocolError("The configuration can't be decoded; correct it.")
        return RoutingTable(int(value), (), {})


def make_loader():
    decoder = Decoder()
    loader = ConfigurationLoader(
        decoder,
        EventRing("g1", HybridClock(decoder.clock)),
        decoder.clock,
        activate=lambda table: decoder.activated.append(table.version),
        list_peer_versions=list,
        get_bound=lambda: timedelta(seconds=2),
    )
    return loader, decoder


async def take(*rows):
    """Apply rows of one read; return the loader and the decoded values."""
    loader, decoder = make_loader()
    await loader.apply_rows(rows, is_whole=False)
    return loader, decoder.decoded


def make_row(number):
    return StoreRow("config", str(number).encode(), number)


async def test_of_several_versions_only_the_newest_is_decoded():
    """Guards against a busy process that is delayed by decoding superseded versions."""
    loader, decoded = await take(*map(make_row, (4, 6, 9)))
    assert (loader.version, decoded) == (9, [b"9"])


async def test_the_newest_that_can_be_decoded_comes_into_force():
    """Guards against skipping a valid version because an invalid one follows it."""
    loader, decoded = await take(make_row(6), StoreRow("config", b"{", 9))
    assert (loader.version, decoded) == (6, [b"{", b"6"])


async def test_a_row_that_was_removed_changes_nothing():
    loader, decoded = await take(make_row(6), StoreRow("config", b"", 7, deleted=True))
    assert (loader.version, decoded) == (6, [b"6"])


async def test_other_work_runs_between_the_slices():
    """Guards against a decoder that holds the event loop."""
    loader, _ = make_loader()
    task = asyncio.create_task(loader.apply_rows([make_row(1)], is_whole=True))
    turns = 0
    while not task.done():
        await asyncio.sleep(0)
        turns += 1
    assert turns >= STEPS


async def test_while_a_version_is_decoded_the_one_in_force_is_not_the_last_word():
    """Guards against a final 404 for a route that the version in hand has added."""
    loader, decoder = make_loader()
    await loader.apply_rows([make_row(1)], is_whole=True)
    task = asyncio.create_task(loader.apply_rows([make_row(2)], is_whole=False))
    await asyncio.sleep(0)
    assert (loader.version, loader.find_state()) == (1, TableState.BEHIND)
    await task
    assert (loader.version, loader.find_state()) == (2, TableState.CURRENT)


async def test_a_stop_ends_the_decoding_at_once():
    """Guards against a process that decodes to the end before it exits."""
    loader, decoder = make_loader()
    task = asyncio.create_task(loader.apply_rows([make_row(1)], is_whole=True))
    await asyncio.sleep(0)
    begun_at = decoder.clock.monotonic()
    task.cancel()
    with pytest.raises(asyncio.CancelledError):
        await task
    assert decoder.clock.monotonic() - begun_at <= SLICE
    assert (decoder.activated, loader.find_state()) == ([], TableState.CURRENT)


@STEADY
@given(st.lists(st.lists(st.integers(1, 20), max_size=3), max_size=6))
def test_versions_never_go_back(reads):
    """Guards against an older version that replaces a newer one."""
    loader, decoder = make_loader()

    async def apply_all():
        for numbers in reads:
            await loader.apply_rows(list(map(make_row, numbers)), is_whole=False)

    asyncio.run(apply_all())
    assert decoder.activated == sorted(set(decoder.activated))
    assert loader.version == max(sum(reads, []), default=0)
