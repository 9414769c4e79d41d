import asyncio
from datetime import timedelta
from random import Random

from mustardquay.clocks import VirtualClock
from mustardquay.events import EventRing, HybridClock
from mustardquay.leases import HEARTBEATS, LEASES, Lease, LeaseRows
from mustardquay.upstream_lists import Stage, UpstreamList, UpstreamRecord
from mustardquay_node.leadership import HOLDER_VALIDITY, LEASE_TERM
from mustardquay_node.stage_controllers import (
    LEASE_DOMAIN,
    OBSERVE_INTERVAL,
    StageController,
    StageControllerDependencies,
)
from mustardquay_standins.stores import LocalTables

READERS = [
    UpstreamRecord(f"p{n}", "llm", f"10.0.0.{n}:80", "a", 64, False, Stage.PREFILL)
    for n in range(3)
]


async def call_unreachable(engine, call):
    """Stand in for a call to an engine that does not answer."""


class Fleet:
    """A controller, its store and engines; none generates after `lose_decoders`."""

    def __init__(self):
        self.clock = VirtualClock()
        self.clock.advance(timedelta(seconds=100))
        self.store = LocalTables()
        self.events = EventRing("g", HybridClock(self.clock), 100)
        self.upstreams = UpstreamList()
        self.stream_duration = timedelta(seconds=4)
        self.controller = StageController("g-1", self._make_dependencies())

    def _make_dependencies(self):
        class Adapter:
            REPORT_PATH = "/report"

            @staticmethod
            def build_headers(base, target):
                return base

        return StageControllerDependencies(
            adapter=Adapter,
            store=self.store,
            clock=self.clock,
            random=Random(1),
            events=self.events,
            upstreams=self.upstreams,
            is_lost=lambda id: False,
            list_services=lambda: ["llm"],
            call=call_unreachable,
            count_streams=lambda id: 0,
            measure_capacities=lambda engines: {},
            measure_decode_speeds=lambda engines: None,
            estimate_stream_duration=lambda service: self.stream_duration,
            find_switch_time=lambda service: timedelta(seconds=3),
            announce_changing=lambda ids: None,
            is_serving=lambda: True,
        )

    def lose_decoders(self):
        for engine in READERS:
            self.upstreams.put(engine)

    async def renew_as_another(self, lease):
        rows = LeaseRows(
            await self.store.read(LEASES, LEASE_DOMAIN),
            await self.store.read(HEARTBEATS, LEASE_DOMAIN),
        )
        lease.observe(rows, self.clock.monotonic())
        transaction = lease.propose(self.clock.monotonic())
        lease.handle_result(await self.store.transact(transaction), transaction)

    def is_lease_taken(self):
        return any(each.kind == "lease.taken" for each in self.events.list_events())


def make_other():
    return Lease(LEASE_DOMAIN, "other", LEASE_TERM, HOLDER_VALIDITY)


async def test_a_holder_that_died_long_ago_is_replaced_without_waiting_out_its_term():
    """Guards against 18 s without answers, as three engines prefill and none generates.

    The gateway that held the lease was restarted. Another one first observed the lease
    when the change was due and waited out its term. Before the term was over, all
    processes were killed, and their successors began to wait only after their startup
    delay.
    """
    fleet = Fleet()
    await fleet.renew_as_another(make_other())
    await fleet.controller.run_once()
    fleet.clock.advance(LEASE_TERM + timedelta(milliseconds=1))
    fleet.lose_decoders()
    await fleet.controller.run_once()
    assert fleet.is_lease_taken()


async def test_a_holder_that_renewed_since_is_waited_for():
    """Guards against orders of two gateways within the time that the platform forbids.

    The lease was observed ten seconds ago, and its holder has renewed it since.
    """
    fleet = Fleet()
    other = make_other()
    await fleet.renew_as_another(other)
    await fleet.controller.run_once()
    fleet.clock.advance(LEASE_TERM * 2)
    await fleet.renew_as_another(other)
    fleet.lose_decoders()
    for _ in range(4):
        await fleet.controller.run_once()
        assert not fleet.is_lease_taken()
        fleet.clock.advance(LEASE_TERM / 4 - timedelta(milliseconds=1))
    fleet.clock.advance(timedelta(seconds=1))
    await fleet.controller.run_once()
    assert fleet.is_lease_taken()


class CountingController(StageController):
    """Counts its runs."""

    runs = 0

    async def run_once(self):
        self.runs += 1


async def test_a_draining_decoder_is_replaced_at_once():
    """Guards against 1.5 s in which all generations are refused.

    One of two decoders drains, and the other one crashes three seconds later. The order
    to a third engine was given 1.7 s after the first one had announced that it drains.
    """
    controller = CountingController("g-1", Fleet()._make_dependencies())
    controller.start()
    await asyncio.sleep(0.05)
    assert controller.runs == 0
    controller.check_now()
    await asyncio.sleep(0.75)
    await controller.close()
    # The planner waits 0.3 s between the run that detects the loss and the order.
    assert controller.runs >= 3


async def test_an_idle_controller_seldom_observes_the_lease():
    fleet = Fleet()
    for _ in range(30):
        await fleet.controller.run_once()
        fleet.clock.advance(timedelta(seconds=1))
    assert fleet.store.counters.reads == 2 * 30 // OBSERVE_INTERVAL.seconds


async def test_a_holder_gives_up_the_lease_when_the_store_is_restored():
    """Guards against orders of two gateways: the copy may name another holder."""
    fleet = Fleet()
    fleet.store.era = 1
    fleet.lose_decoders()
    await fleet.controller.run_once()
    fleet.clock.advance(LEASE_TERM)
    await fleet.controller.run_once()
    assert fleet.is_lease_taken()
    fleet.store.era = 2
    fleet.controller.note_era()
    assert [
        each.kind
        for each in fleet.events.list_events()
        if each.kind.startswith("lease.")
    ] == ["lease.taken", "lease.ended"]
    for _ in range(3):
        fleet.clock.advance(LEASE_TERM / 4)
        await fleet.controller.run_once()
    taken = [e for e in fleet.events.list_events() if e.kind == "lease.taken"]
    assert len(taken) == 1


def test_a_rise_of_short_streams_is_not_carried_on_for_the_time_of_a_change():
    """Guards against engines ordered for the noise of streams that soon end."""
    fleet = Fleet()
    assert fleet.controller._find_lead("llm") == timedelta(seconds=3)
    fleet.stream_duration = timedelta(seconds=0.5)
    assert fleet.controller._find_lead("llm") == timedelta(seconds=0.5)
