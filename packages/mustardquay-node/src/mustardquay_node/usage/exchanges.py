"""Exchange of counts between gateways.

Counts that have changed are sent several times a second, so that the kill of a gateway
loses little, and twice, so that the loss of one datagram loses nothing. A window that
has ended is sent whole, each second until its report was delivered.
"""

import asyncio
from collections.abc import Callable, Collection, Iterable, Sequence
from dataclasses import dataclass
from datetime import timedelta

from mustardquay.clocks import Clock
from mustardquay.usage import ReportLog, Source, UsageLedger, WindowUsage

from ..loops import cancel_task
from .frames import UsageNotice, decode_notice, encode_notice
from .recorders import UsageRecorder
from .true_clocks import TrueClock

__all__ = ["ExchangeDependencies", "UsageExchange"]

CHANGES_INTERVAL = timedelta(milliseconds=250)
"""Time between two notices of counts that have changed."""
WHOLE_INTERVALS = 4
"""Intervals after which the windows that have ended are sent whole."""
SENT_WINDOWS = 3
"""Windows that have ended and are sent whole until their reports are delivered."""
NOTICE_ORGANISATIONS = 50
"""Organisations in one datagram, which stays below 1400 bytes with names of 20."""
GATEWAY_LIFETIME = timedelta(seconds=1.5)
"""Age of the last notice from which a gateway counts as gone."""


@dataclass(slots=True)
class _PeerState:
    at: timedelta
    leads: bool


@dataclass(frozen=True, slots=True)
class ExchangeDependencies:
    """Dependencies of a `UsageExchange`."""

    source: Source
    """This process."""
    recorder: UsageRecorder
    ledger: UsageLedger
    log: ReportLog
    clock: Clock
    true_clock: TrueClock
    send: Callable[[bytes, Collection[str]], None]
    """Sends a datagram to the peers of this gateway and to some gateways more."""
    list_gateways: Callable[[], Collection[str]]
    """Lists the registered gateways, including this one."""


class UsageExchange:
    """Sends the counts of this gateway, and merges those of the others."""

    def __init__(self, deps: ExchangeDependencies):
        self._deps = deps
        self._peers: dict[str, _PeerState] = {}
        self._last_changes: list[WindowUsage] = []
        self._turn = 0
        self._last_ended = 0
        """The last window that was sent whole."""
        self.leads = False
        """Whether this process holds the lease of the reports."""
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start to send notices."""
        self._task = asyncio.create_task(self._run())

    async def close(self) -> None:
        """Send what was counted and stop; nothing may be counted after this."""
        await cancel_task(self._task)
        ended = self._deps.recorder.close_windows(SENT_WINDOWS)
        self._send_windows([*ended, *self._deps.recorder.close_current()])

    def receive(self, data: bytes) -> None:
        """Merge the notice in a datagram."""
        notice = decode_notice(data)
        if notice is None or notice.source.gateway == self._deps.source.gateway:
            return
        gateway = notice.source.gateway
        self._peers[gateway] = _PeerState(self._deps.clock.monotonic(), notice.leads)
        self._deps.true_clock.note_peer(gateway, notice.sent_at)
        for usage in notice.windows:
            self._deps.ledger.merge(notice.source, usage)
        self._deps.log.delivered.update(notice.delivered)

    def list_alive(self) -> list[str]:
        """Return the gateways that were heard of recently, including this one."""
        oldest = self._deps.clock.monotonic() - GATEWAY_LIFETIME
        others = [name for name, peer in self._peers.items() if peer.at >= oldest]
        return sorted([*others, self._deps.source.gateway])

    def find_leader(self) -> str | None:
        """Return another gateway that leads, if one was heard of recently."""
        oldest = self._deps.clock.monotonic() - GATEWAY_LIFETIME
        for name, peer in self._peers.items():
            if peer.leads and peer.at >= oldest:
                return name
        return None

    def send_now(self) -> None:
        """Send the next notice, whole windows included."""
        self._turn = 0
        self._send_next()

    async def _run(self) -> None:
        while True:
            self._send_next()
            await asyncio.sleep(CHANGES_INTERVAL.total_seconds())

    def _send_next(self) -> None:
        changes = self._deps.recorder.take_changes()
        windows = [*self._last_changes, *changes]
        self._last_changes = changes
        ended = self._deps.recorder.close_windows(SENT_WINDOWS)
        is_whole = self._turn == 0
        if ended and ended[-1].window > self._last_ended:
            self._last_ended = ended[-1].window
            is_whole = True
        if is_whole:
            windows += [
                usage for usage in ended if usage.window not in self._deps.log.delivered
            ]
        if windows or is_whole:
            self._send_windows(windows, is_whole)
        self._turn = (self._turn + 1) % WHOLE_INTERVALS

    def _send_windows(
        self, windows: Sequence[WindowUsage], is_whole: bool = True
    ) -> None:
        """Send windows to the peers; whole ones also to or from a leader far away."""
        leader = self.find_leader()
        more: Collection[str] = ()
        if is_whole and self.leads:
            more = self._deps.list_gateways()
        elif is_whole and leader is not None:
            more = [leader]
        delivered = sorted(self._deps.log.delivered)[-SENT_WINDOWS:]
        for part in _split(windows):
            notice = UsageNotice(
                self._deps.source,
                self._deps.true_clock.own_time,
                self.leads,
                part,
                delivered,
            )
            self._deps.send(encode_notice(notice), more)


def _split(windows: Iterable[WindowUsage]) -> list[list[WindowUsage]]:
    """Divide counts into parts that fit into a datagram each; one part at least."""
    parts: list[list[WindowUsage]] = [[]]
    room = NOTICE_ORGANISATIONS
    for usage in windows:
        items = list(usage.counts.items())
        while True:
            taken, items = items[:room], items[room:]
            parts[-1].append(
                WindowUsage(usage.window, dict(taken), usage.is_closed, usage.total)
            )
            room -= len(taken)
            if room <= 0:
                parts.append([])
                room = NOTICE_ORGANISATIONS
            if not items:
                break
    return [part for part in parts if part] or [[]]
