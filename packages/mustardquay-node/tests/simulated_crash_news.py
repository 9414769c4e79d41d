"""News of requests that crash upstreams, among simulated gateways.

Run this file by hand for the figures of all sizes.
"""

from dataclasses import dataclass, field
from datetime import timedelta
from random import Random
from statistics import quantiles

from mustardquay.clocks import VirtualClock
from mustardquay.events import EventRing, HybridClock
from mustardquay.upstream_lists import UpstreamRecord
from mustardquay_node.crash_suspects import CrashReporter
from mustardquay_node.crash_suspects.body_exchanges import (
    NEWS_INTERVAL,
    RECORDS_LIMIT,
)
from mustardquay_node.crash_suspects.links import RECIPIENTS
from mustardquay_node.digest_frames import decode_crashes, encode_crashes
from mustardquay_node.peers import list_recipients

LOSS = 0.02
"""Ratio of datagrams that are lost."""
DIGEST_INTERVAL = timedelta(milliseconds=40)
"""Time between two digests of a busy gateway."""
UDP_HEADER = 28
"""Bytes of a datagram's headers."""


def make_upstream(number):
    return UpstreamRecord(
        f"i-{number:010x}",
        "llm",
        "127.0.0.1:1",
        "a",
        64,
        False,
        started_ms=1_700_000_000_000,
    )


@dataclass
class NewsFleet:
    """Gateways that tell each other of crashes, in steps of `NEWS_INTERVAL`."""

    size: int
    seed: int = 1
    by_digests: bool = False
    """Whether news goes only in digests, four records in each."""
    sent_bytes: int = 0
    delays: list[float] = field(default_factory=list)
    """Seconds until a gateway refuses a request that has crashed three upstreams."""

    def __post_init__(self):
        self.random = Random(self.seed)
        self.clock = VirtualClock()
        events = EventRing("g", HybridClock(self.clock), 10)
        self.names = [f"g{number:04}" for number in range(self.size)]
        self.reporters = {
            name: CrashReporter(self.clock, events) for name in self.names
        }
        self.recipients = {
            name: list_recipients(name, [n for n in self.names if n != name])
            for name in self.names
        }

    def crash(self, in_flight, bad):
        """Crash three upstreams under what a gateway each has in flight there.

        The `bad` requests are in flight in all three crashes.
        """
        for _ in range(3):
            reporter = self.reporters[self.random.choice(self.names)]
            upstream = make_upstream(self.random.getrandbits(32))
            others = [self.random.getrandbits(64) for _ in range(in_flight - len(bad))]
            for fingerprint in (*others, *bad):
                reporter.note_broken_send(upstream, fingerprint)
            reporter.note_upstream_lost(upstream.id)

    def play(self, bad, seconds):
        """Let news go round until all refuse the bad requests, or time is over."""
        waiting = {(name, each) for name in self.names for each in bad}
        start = self.clock.monotonic()
        end = start + timedelta(seconds=seconds)
        step = 0
        while waiting and self.clock.monotonic() < end:
            self._step(step)
            step += 1
            now = self.clock.monotonic()
            known = {
                (name, each)
                for name, each in waiting
                if self.reporters[name].is_refused(each)
            }
            self.delays += [(now - start).total_seconds()] * len(known)
            waiting -= known
        return len(waiting)

    def _step(self, step):
        self.clock.advance(NEWS_INTERVAL)
        sent = []
        for name in self.names:
            sent += self._send(name, step)
        for name, records in sent:
            self.reporters[name].merge(records)

    def _send(self, name, step):
        reporter = self.reporters[name]
        every = DIGEST_INTERVAL // NEWS_INTERVAL
        datagrams = []
        if not self.by_digests and (records := reporter.take_news(RECORDS_LIMIT)):
            others = [each for each in self.names if each != name]
            chosen = self.random.sample(others, min(RECIPIENTS, len(others)))
            datagrams.append((records, chosen))
        if (
            self.by_digests
            and step % every == 0
            and (records := reporter.list_records())
        ):
            datagrams.append((records, self.recipients[name]))
        return [
            (recipient, decode_crashes(encode_crashes(records)))
            for records, chosen in datagrams
            for recipient in self._deliver(records, chosen)
        ]

    def _deliver(self, records, chosen):
        size = len(encode_crashes(records)) + UDP_HEADER
        self.sent_bytes += size * len(chosen)
        return [each for each in chosen if self.random.random() >= LOSS]


def measure(size, by_digests, in_flight=64, bad_count=2, seconds=20):
    """Return p50 and p99 of the delays, those that never heard, and bytes each."""
    fleet = NewsFleet(size, by_digests=by_digests)
    bad = [fleet.random.getrandbits(64) for _ in range(bad_count)]
    fleet.crash(in_flight, bad)
    unheard = fleet.play(bad, seconds)
    cuts = quantiles([*fleet.delays, *[seconds] * unheard], n=100)
    return cuts[49], cuts[98], unheard, fleet.sent_bytes / size


def main():
    for size in (4, 28, 100, 540):
        for by_digests in (True, False):
            p50, p99, unheard, sent = measure(size, by_digests)
            kind = "digests" if by_digests else "news"
            print(
                f"{size} gateways, {kind}: p50 {p50:.2f} s, p99 {p99:.2f} s,"
                f" {unheard} not within 20 s, {sent / 1000:.1f} KB a gateway",
                flush=True,
            )


if __name__ == "__main__":
    main()
