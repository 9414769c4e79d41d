"""The parts of a gateway that count and report usage, and how they are connected."""

from collections.abc import Callable, Collection
from dataclasses import dataclass
from datetime import timedelta
from random import Random

from mustardquay.clocks import BootTimeClock, Clock
from mustardquay.events import EventRing
from mustardquay.usage import ReportLog, ReportSchedule, Source, UsageLedger

from ..adapters import Adapter, StoreTables
from ..leadership import LeaseKeeper
from ..settings import UsageSettings
from .duty_clients import DutyClient
from .exchanges import ExchangeDependencies, UsageExchange
from .recorders import UsageRecorder
from .reporters import USAGE_DOMAIN, ReporterDependencies, UsageReporter
from .true_clocks import TrueClock

__all__ = ["UsageDependencies", "UsageSubsystem"]


@dataclass(frozen=True, slots=True)
class UsageDependencies:
    """What a gateway provides."""

    adapter: Adapter
    store: StoreTables
    clock: Clock
    random: Random
    events: EventRing
    send: Callable[[bytes, Collection[str]], None]
    """Sends a datagram to the peers of this gateway and to some gateways more."""
    list_gateways: Callable[[], Collection[str]]
    """Lists the registered gateways, including this one."""
    has_organisations: Callable[[], bool]
    """Returns whether the configuration in force has organisations."""
    count_report: Callable[[str], None] = lambda outcome: None
    """Counts an attempt to send a report, by outcome."""


class UsageSubsystem:
    """Counts the requests of this gateway, and takes part in reporting them."""

    def __init__(
        self, source: Source, settings: UsageSettings, deps: UsageDependencies
    ):
        """Connect the parts."""
        self._deps = deps
        timer = BootTimeClock()
        true_clock = TrueClock(timer)
        schedule = ReportSchedule(settings.window, settings.due)
        ledger = UsageLedger()
        log = ReportLog(schedule.retained_windows)
        self._recorder = UsageRecorder(source, schedule, ledger, deps.clock, true_clock)
        self._exchange = UsageExchange(
            ExchangeDependencies(
                source=source,
                recorder=self._recorder,
                ledger=ledger,
                log=log,
                clock=timer,
                true_clock=true_clock,
                send=self._send,
                list_gateways=deps.list_gateways,
            )
        )
        self._reporter = UsageReporter(
            ReporterDependencies(
                name=source.gateway,
                store=deps.store,
                clock=timer,
                true_clock=true_clock,
                random=deps.random,
                events=deps.events,
                lease=LeaseKeeper(
                    USAGE_DOMAIN,
                    f"{source.gateway}-{source.incarnation}",
                    deps.store,
                    timer,
                    deps.events,
                ),
                client=DutyClient(settings.address, deps.adapter, deps.clock),
                schedule=schedule,
                ledger=ledger,
                log=log,
                exchange=self._exchange,
                list_gateways=deps.list_gateways,
                has_organisations=deps.has_organisations,
                count_report=deps.count_report,
            )
        )

    @property
    def leads(self) -> bool:
        """Return whether this process holds the lease of the reports."""
        return self._exchange.leads

    def start(self) -> None:
        """Start to exchange counts and to attend to reports."""
        self._exchange.start()
        self._reporter.start()

    async def close(self) -> None:
        """Stop; the other gateways get the last counts."""
        await self._reporter.close()
        await self._exchange.close()

    def note_begun(self, organisation: str, begun_at: timedelta) -> None:
        """Count a request that an upstream began to run."""
        self._recorder.note_begun(organisation, begun_at)

    def note_era(self) -> None:
        """Note that the store was restored from a copy."""
        self._reporter.note_era()

    def receive(self, data: bytes) -> None:
        """Process a datagram of another gateway."""
        self._exchange.receive(data)

    def _send(self, data: bytes, more: Collection[str]) -> None:
        if self._deps.has_organisations():
            self._deps.send(data, more)
