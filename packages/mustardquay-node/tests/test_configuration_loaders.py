from dataclasses import dataclass, field
from datetime import timedelta

from mustardquay.clocks import VirtualClock
from mustardquay.errors import ProtocolError
from mustardquay.events import EventRing, HybridClock
from mustardquay.routing_tables import RoutingTable
from mustardquay_node.adapters import StoreRow
from mustardquay_node.configuration_loaders import ConfigurationLoader


@dataclass
class Decoder:
    """An adapter whose configurations are numbers; records what it decodes."""

    CONFIGURATION_KEY = "config"
    decoded: list = field(default_factory=list)

    def read_configuration(self, value):
        self.decoded.append(value)
        if not value.isdigit():
            raise ProtocolError("The configuration can't be decoded; correct it.")
        return RoutingTable(int(value), (), {})


def take(*rows):
    """Apply rows of one read; return the loader and the decoded values."""
    clock, decoder = VirtualClock(), Decoder()
    loader = ConfigurationLoader(
        decoder,
        EventRing("g1", HybridClock(clock)),
        clock,
        activate=lambda table: None,
        list_peer_versions=list,
        get_bound=lambda: timedelta(seconds=2),
    )
    loader.apply_rows(rows, is_whole=False)
    return loader, decoder.decoded


def test_of_several_versions_only_the_newest_is_decoded():
    """Guards against a busy process that is delayed by decoding superseded versions."""
    rows = [StoreRow("config", str(number).encode(), number) for number in (4, 6, 9)]
    loader, decoded = take(*rows)
    assert (loader.version, decoded) == (9, [b"9"])


def test_the_newest_that_can_be_decoded_comes_into_force():
    """Guards against skipping a valid version because an invalid one follows it."""
    loader, decoded = take(StoreRow("config", b"6", 6), StoreRow("config", b"{", 9))
    assert (loader.version, decoded) == (6, [b"{", b"6"])


def test_a_row_that_was_removed_changes_nothing():
    loader, decoded = take(
        StoreRow("config", b"6", 6), StoreRow("config", b"", 7, deleted=True)
    )
    assert (loader.version, decoded) == (6, [b"6"])
