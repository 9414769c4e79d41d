"""Agents: the process that runs next to one upstream and sends it all its requests."""

import asyncio
from collections.abc import Callable
from datetime import timedelta

from mustardquay import __version__
from mustardquay.clocks import Clock
from mustardquay.errors import Reason, Refusal
from mustardquay.events import Event
from mustardquay.messages import (
    Attempt,
    Cancel,
    Credit,
    Failed,
    FailureKind,
    Heartbeat,
    Message,
    OrderChanged,
    Reattach,
)
from mustardquay.queues import FairQueue
from mustardquay.works import Role

from .admins import AdminDependencies, AdminServer
from .engines import HttpEngine, PlainService
from .executors import Executor, ExecutorOptions
from .links import Link
from .listeners import Listener, get_owner
from .loops import start_loop
from .node_settings import Settings
from .nodes import Node, exchange_configuration, subscribe_to_configuration
from .orphans import OrphanRecorder
from .reconcilers import Reconciler
from .runs import Owner
from .services import name_service
from .statuses import Probe, ProcessStatus
from .upstream_pollers import UpstreamPoller, UpstreamReport
from .upstreams import UpstreamClient

__all__ = ["Agent"]

SWEEP_INTERVAL = timedelta(milliseconds=100)


class Agent(Node):
    """Accepts links from entries and runs their attempts on its upstream."""

    def __init__(
        self,
        settings: Settings,
        clock: Clock | None = None,
        seed: int | None = None,
        write_event: Callable[[Event], None] | None = None,
    ):
        assert settings.agent is not None
        self._settings = settings.agent
        super().__init__(settings, clock, seed, write_event, lambda: False)
        self._listener = Listener(
            self._deps,
            self._settings.port,
            self._make_heartbeat,
            self._receive,
            self._note_lost,
        )
        self._poller = UpstreamPoller(
            self._settings.upstream,
            self._settings.kind,
            self._settings.report_interval,
            self._note_report,
        )
        self._orphans = OrphanRecorder(
            self._deps.platform.tables,
            self._deps.platform.objects,
            self._deps.clock,
            self._deps.random,
            f"{settings.node.name}-{self._deps.incarnation}",
        )
        self._executor = Executor(
            ExecutorOptions(
                self._settings.upstream_name,
                self._settings.kind,
                self._settings.progress_timeout,
                self._settings.drain_timeout,
                self._settings.concurrency,
            ),
            UpstreamClient(self._settings.upstream),
            FairQueue(self._settings.queue_capacity, self._settings.concurrency),
            self._deps.quarantine,
            self._deps.clock,
            self._deps.events,
            self._poller.probe,
            self._send_heartbeat,
            self._orphans.record,
        )
        self._agent_count = 1
        self._drain_requested = False
        self._reconciler = self._make_reconciler()
        self._admin = AdminServer(
            self._make_admin_dependencies(),
            settings.node.address,
            settings.node.admin_port,
        )
        self._sweeper: asyncio.Task[None] | None = None
        self._disconnect: Callable[[], None] = lambda: None

    @property
    def port(self) -> int:
        """Return the port for links; after `start`, the one that was bound."""
        return self._listener.port

    @property
    def admin_port(self) -> int:
        """Return the admin port; after `start`, the one that was bound."""
        return self._admin.port

    async def start(self) -> None:
        """Start polling the upstream, listening for links and accepting work."""
        deps = self._deps
        self._watch(
            {
                "queue.requests": lambda: self._executor.waiting,
                "queue.tokens": lambda: self._executor.waiting_tokens,
                "running": lambda: self._executor.running,
                "links": lambda: len(self._listener),
            }
        )
        deps.metrics.start()
        await deps.platform.start()
        self._orphans.start()
        self._disconnect = subscribe_to_configuration(
            self._replica, self._send_heartbeat
        )
        await self._replica.start()
        self._poller.start()
        await self._reconciler.start()
        await self._listener.start()
        self._admin.start()
        self._sweeper = start_loop(self._sweep, SWEEP_INTERVAL)
        deps.events.record("process.started", upstream=self._settings.upstream_name)

    async def drain(self) -> None:
        """Refuse new work, notify all entries and wait until the agent is idle."""
        self._deps.events.record("drain.started", upstream=self._settings.upstream_name)
        self._drain_requested = True
        self._executor.start_drain()
        self._send_heartbeat()
        await self._executor.wait_until_empty()
        self._deps.events.record("drain.ended", upstream=self._settings.upstream_name)

    def end_drain(self) -> None:
        """Accept new work again, unless the order row requires a drain."""
        self._drain_requested = False
        self._follow_orders()

    async def close(self) -> None:
        """Drain and stop."""
        await self.drain()
        await self.stop()

    async def stop(self) -> None:
        """Stop at once; running attempts are lost."""
        self._disconnect()
        if self._sweeper is not None:
            self._sweeper.cancel()
        await self._listener.close()
        await self._reconciler.close()
        await self._executor.close()
        await self._orphans.close()
        await self._poller.close()
        await self._replica.close()
        await self._admin.close()
        await self._deps.platform.close()
        self._deps.metrics.close()

    def _make_heartbeat(self) -> Heartbeat:
        report = self._poller.report
        executor = self._executor
        return Heartbeat(
            version=self._replica.version,
            confirmed=self._replica.current,
            draining=executor.draining,
            ready=self._may_serve,
            upstream=self._settings.upstream_name,
            role=report.role,
            models=self._list_models(report),
            adapters=report.adapters,
            queued_tokens=executor.waiting_tokens + report.queued_tokens,
            queued_tokens_within=executor.waiting_tokens_within + report.queued_tokens,
            waiting=executor.waiting,
            running=executor.running,
            prefill_rate=report.prefill_rate,
            decode_rate=report.decode_rate,
            concurrency=self._settings.concurrency,
        )

    def _list_models(self, report: UpstreamReport) -> tuple[str, ...]:
        if report.role is Role.SERVICE:
            return (name_service(self._settings.service),)
        return report.models

    def _note_lost(self, link: Link) -> None:
        self._executor.detach(link)
        self._replica.forget_peer(link.peer.process)

    def _receive(self, link: Link, message: Message) -> None:
        owner = get_owner(link)
        match message:
            case Attempt():
                self._take_attempt(owner, message, link)
            case Credit():
                self._executor.give_credit(owner, message.stream, message.size)
            case Cancel():
                self._executor.cancel(owner, message.stream)
            case Reattach():
                self._take_reattach(owner, message, link)
            case OrderChanged():
                self._reconciler.poll_soon()
            case _:
                if isinstance(message, Heartbeat):
                    now = self._deps.clock.monotonic()
                    self._deps.quarantine.merge(message.crashes, now)
                    self._agent_count = max(message.agents, 1)
                exchange_configuration(self._replica, link, message)

    def _take_attempt(self, owner: Owner, attempt: Attempt, link: Link) -> None:
        refusal = self._check_attempt(attempt)
        if refusal is None:
            self._executor.accept(owner, attempt, link)
        else:
            self._executor.refuse(owner, attempt, link, refusal)

    def _check_attempt(self, attempt: Attempt) -> Refusal | None:
        if attempt.incarnation != self._deps.incarnation:
            message = "The agent was replaced; send the attempt to the new one."
            return Refusal(Reason.STALE_INCARNATION, message)
        if not self._replica.current:
            message = "The agent's configuration is not confirmed yet; use another."
            return Refusal(Reason.NOT_CURRENT, message, timedelta(seconds=1))
        if not self._reconciler.ready:
            message = "The upstream is not in the state of its order; use another."
            return Refusal(Reason.DRAINING, message, timedelta(seconds=1))
        if attempt.version < self._replica.version:
            return self._check_contract(attempt)
        return None

    def _check_contract(self, attempt: Attempt) -> Refusal | None:
        # The entry admitted this attempt under an older configuration version. The
        # contract may have been changed or removed since; the newer version applies.
        contract = self._replica.configuration.contracts.get(attempt.customer)
        if contract is not None:
            allowed = (*contract.models, *map(name_service, contract.services))
            if attempt.model in allowed:
                return None
        message = f"The contract of {attempt.customer} no longer has {attempt.model}."
        return Refusal(Reason.CONTRACT, message)

    def _take_reattach(self, owner: Owner, reattach: Reattach, link: Link) -> None:
        if reattach.incarnation == self._deps.incarnation:
            self._executor.reattach(owner, reattach, link)
            return
        message = "The agent was replaced; what ran is not known."
        link.send(Failed(reattach.stream, reattach.have, FailureKind.LOST, message))

    def _note_report(self, before: UpstreamReport, after: UpstreamReport) -> None:
        if after.reachable:
            self._executor.note_boot(after.boot)
            self._executor.set_engine(after.prefill_rate, after.decode_rate)
        if after.cache_events is not None:
            self._listener.send(after.cache_events)
        if after.without_load() != before.without_load():
            self._deps.events.record(
                "upstream.changed",
                upstream=self._settings.upstream_name,
                reachable=after.reachable,
                boot=after.boot,
                role=after.role.value,
            )
            self._send_heartbeat()

    @property
    def _may_serve(self) -> bool:
        report = self._poller.report
        if not report.reachable or report.changing or not self._replica.current:
            return False
        return self._reconciler.ready

    def _make_reconciler(self) -> Reconciler:
        deps, settings = self._deps, self._settings
        is_service = settings.kind == "service"
        return Reconciler(
            settings.upstream_name,
            deps.identity.availability_zone,
            f"{deps.identity.process}-{deps.incarnation}",
            deps.platform.tables,
            PlainService() if is_service else HttpEngine(settings.upstream),
            deps.clock,
            deps.random,
            settings.fencing,
            settings.longest_order,
            is_idle=lambda: not self._executor.running,
            count_agents=lambda: self._agent_count,
        )

    def _sweep(self) -> None:
        self._executor.sweep()
        self._follow_orders()

    def _follow_orders(self) -> None:
        """Drain while an order requires it, or while the engine must be changed.

        Queued work is handed back to the entries. Otherwise it would be started, and
        the engine would never become idle, which an order requires.
        """
        drain_needed = self._drain_requested or not self._reconciler.ready
        if drain_needed == self._executor.draining:
            return
        kind = "drain.started" if drain_needed else "drain.ended"
        row = self._reconciler.row
        cause = row.cause if row is not None else "no order yet"
        self._deps.events.record(
            kind, upstream=self._settings.upstream_name, cause=cause
        )
        if drain_needed:
            self._executor.start_drain()
        else:
            self._executor.end_drain()
        self._send_heartbeat()

    def _send_heartbeat(self) -> None:
        self._listener.send_heartbeat()

    def list_faults(self) -> tuple[str, ...]:
        """Return the reasons why this process is not ready, one sentence each."""
        faults = []
        if self._executor.draining:
            faults.append("The agent drains.")
        if not self._poller.report.reachable:
            faults.append("The upstream does not answer.")
        if self._poller.report.changing:
            faults.append("The upstream carries out an order.")
        if not self._replica.current:
            faults.append("The configuration is not confirmed.")
        if self._reconciler.superseded:
            faults.append("Another agent has claimed the upstream; stop this one.")
        elif not self._reconciler.ready:
            faults.append("The upstream is not in the state of its order.")
        return tuple(faults)

    def _make_admin_dependencies(self) -> AdminDependencies:
        return AdminDependencies(
            operator_keys=self._settings.operator_keys,
            ring=self._deps.events,
            metrics=self._deps.metrics,
            read_status=self._read_status,
            probe_health=lambda: Probe(True),
            probe_readiness=self._probe_readiness,
        )

    def _read_status(self) -> ProcessStatus:
        node = self._deps.settings.node
        faults = self.list_faults()
        return ProcessStatus(
            process=node.name,
            kind=node.kind,
            availability_zone=node.availability_zone,
            region=node.region,
            version=__version__,
            configuration=self._replica.version,
            peers=self._replica.peer_versions,
            ready=not faults,
            draining=self._executor.draining,
            faults=faults,
            incarnation=self._deps.incarnation,
            waiting=self._executor.waiting,
            running=self._executor.running,
        )
