"""Stage plans: how many engines of a service generate, and which change for it.

Answers a load whose long prompts take most of the engines' time while others keep many
streams open. An engine that generates takes all its streams at nearly the speed of one,
but reads prompts at half the speed, and its steps get many times as long while it does.
So few engines generate, and the others read.
"""

from collections import Counter
from collections.abc import Collection, Mapping, Sequence
from dataclasses import dataclass
from datetime import timedelta
from math import ceil

from .upstream_lists import Stage, UpstreamRecord

__all__ = ["StageChange", "StagePlanner"]

STREAMS_PER_PLACE = 0.4
"""Streams that one engine should generate at once, for each of its places: each stream
makes the steps of all longer, and long answers would miss their time."""
LARGEST_SHARE = 0.34
"""Most of the engines that generate: the others keep up with bursts of prompts."""
LARGE_SERVICE = 12
"""Engines from which more may generate."""
LARGEST_SHARE_OF_LARGE = 0.42
"""Most of the engines that generate, in a large service: there one that changes takes
less away from those that read."""
DEMAND_MEMORY = timedelta(seconds=3)
"""Half-life of the number of streams as it falls: one short lull changes nothing."""
RISING_MEMORY = timedelta(seconds=1)
"""The same as it rises: streams that have begun stay for seconds, so that a rise is no
accident."""
LEAST_DECODERS = 2
"""So that the loss of one leaves one, from four engines on."""
SMALL_SERVICE = 4
"""Engines up from which two generate; of fewer, most are needed to read."""
LEAST_SHARE = 0.2
"""Least of the engines that generate: each change takes one away for seconds, in which
crashes may take others."""
DECODER_PATIENCE = timedelta(seconds=2)
"""How long a lack of decoders lasts before an engine that reads changes, where one is
out of reach and may be back."""
GONE_PATIENCE = timedelta(milliseconds=300)
"""The same where one has left for good, as then nothing else brings it back."""
SLACK = 0.8
"""Part of the streams of the smaller number of decoders, above which one more than is
needed stays: otherwise the number would swing with each burst."""
PREFILLER_PATIENCE = timedelta(seconds=6)
"""How long one decoder too many is kept: twice the time that a change takes an engine
away."""

NEWCOMER_TIME = timedelta(seconds=6)
"""How long an engine is new. It is changed without patience, as it has little work and
no cached parts, and is one too many by its coming and not by a burst."""
LISTING_MEMORY = timedelta(seconds=30)
"""How long an engine that isn't listed is remembered: entries lapse while the store is
away, and are back soon after it."""


@dataclass(frozen=True, slots=True)
class StageChange:
    """An engine that is to change its stage."""

    engine: UpstreamRecord
    stage: Stage


@dataclass(slots=True)
class _Listing:
    """When an engine was listed first and last."""

    first: timedelta
    last: timedelta


class StagePlanner:
    """Plans changes from the list of engines; asks for patience between them."""

    def __init__(self) -> None:
        self._streams: dict[str, tuple[float, timedelta]] = {}
        self._off_since: dict[tuple[str, Stage], timedelta] = {}
        self._listings: dict[str, dict[str, _Listing]] = {}
        """Of the engines of each service."""

    def plan(
        self,
        service: str,
        engines: Sequence[UpstreamRecord],
        ordered: Mapping[str, Stage],
        streams: int,
        now: timedelta,
        is_settled: bool,
        lost: Collection[str] = (),
        capacities: Mapping[str, float] | None = None,
    ) -> list[StageChange]:
        """Return the changes that are due.

        `ordered` holds the stages that engines are changing to, `streams` is how many
        generations run, `lost` names engines that are listed and out of reach,
        `capacities` holds the part of its usual work that the rate limit of an engine
        leaves it. Without `is_settled` (before callers come) nothing is waited for.
        """
        self._note_listed(service, engines, now, is_settled)
        stages = {engine.id: ordered.get(engine.id, engine.stage) for engine in engines}
        listed = [each for each in engines if stages[each.id] is Stage.DECODE]
        engines = [each for each in engines if each.id not in lost]
        decoders = [each for each in listed if each.id not in lost]
        mean = self._average(service, streams, now)
        each_runs = count_streams(engines)
        wanted = count_decoders(len(engines), mean, each_runs)
        if len(decoders) > wanted and mean > SLACK * each_runs * wanted:
            wanted = len(decoders)
        missing = (
            wanted - len(decoders) + _count_limited(engines, decoders, capacities or {})
        )
        if missing > 0:
            stage, patience = Stage.DECODE, DECODER_PATIENCE
            if len(listed) < wanted:
                patience = GONE_PATIENCE
            self._off_since.pop((service, Stage.PREFILL), None)
        elif missing < 0:
            stage, patience = Stage.PREFILL, PREFILLER_PATIENCE
            self._off_since.pop((service, Stage.DECODE), None)
            spare = sum(each.stage is Stage.DECODE for each in decoders) - wanted
            newcomers = self._list_newcomers(service, decoders, now)
            if newcomers and spare > 0:
                chosen = _choose(newcomers, spare, decoders)
                return [StageChange(engine, stage) for engine in chosen]
        else:
            self._off_since.pop((service, Stage.DECODE), None)
            self._off_since.pop((service, Stage.PREFILL), None)
            return []
        since = self._off_since.setdefault((service, stage), now)
        if is_settled and decoders and now - since < patience:
            return []
        others = [each for each in engines if stages[each.id] is not stage]
        chosen = _choose(others, abs(missing), decoders)
        return [StageChange(engine, stage) for engine in chosen]

    def _note_listed(
        self,
        service: str,
        engines: Sequence[UpstreamRecord],
        now: timedelta,
        is_settled: bool,
    ) -> None:
        """Note which engines are listed.

        Those of the first time count as old, and those that come before callers do:
        the list fills up then, and which of them change is chosen among all.
        """
        is_old = service not in self._listings or not is_settled
        listings = self._listings.setdefault(service, {})
        first = now - NEWCOMER_TIME if is_old else now
        for engine in engines:
            listings.setdefault(engine.id, _Listing(first, now)).last = now
        for id, listing in list(listings.items()):
            if now - listing.last > LISTING_MEMORY:
                del listings[id]

    def _list_newcomers(
        self, service: str, decoders: Sequence[UpstreamRecord], now: timedelta
    ) -> list[UpstreamRecord]:
        """Return the engines that generate and have come lately."""
        listings = self._listings[service]
        return [
            engine
            for engine in decoders
            if engine.stage is Stage.DECODE
            and now - listings[engine.id].first < NEWCOMER_TIME
        ]

    def _average(self, service: str, streams: int, now: timedelta) -> float:
        mean, at = self._streams.get(service, (float(streams), now))
        memory = RISING_MEMORY if streams > mean else DEMAND_MEMORY
        weight = 1 - 0.5 ** ((now - at) / memory)
        mean += weight * (streams - mean)
        self._streams[service] = (mean, now)
        return mean


def _count_limited(
    engines: Sequence[UpstreamRecord],
    decoders: Sequence[UpstreamRecord],
    capacities: Mapping[str, float],
) -> int:
    """Return how many engines make up for what rate limits take from others.

    At most half of those that read: without these nobody generates.
    """
    lacking = sum(1 - capacities.get(engine.id, 1.0) for engine in decoders)
    readers = len(engines) - len(decoders)
    return min(round(lacking), readers // 2)


def count_streams(engines: Sequence[UpstreamRecord]) -> float:
    """Return how many streams one engine should generate at once."""
    places = min((engine.slots for engine in engines), default=1)
    return max(STREAMS_PER_PLACE * places, 1.0)


def count_decoders(engines: int, streams: float, each_runs: float) -> int:
    """Return how many of so many engines generate so many streams.

    >>> [count_decoders(number, 60, 26) for number in (1, 2, 3, 4, 6, 24)]
    [1, 1, 1, 2, 2, 5]
    """
    least = 1
    if engines >= SMALL_SERVICE:
        least = max(LEAST_DECODERS, ceil(engines * LEAST_SHARE))
    share = LARGEST_SHARE if engines < LARGE_SERVICE else LARGEST_SHARE_OF_LARGE
    most = max(int(engines * share), least)
    return min(max(ceil(streams / each_runs), least), most)


def _choose(
    engines: Sequence[UpstreamRecord], count: int, decoders: Sequence[UpstreamRecord]
) -> list[UpstreamRecord]:
    """Return the engines to change, from zones with the most decoders first."""
    per_zone = Counter(each.availability_zone for each in decoders)
    are_decoders = engines and engines[0] in decoders
    chosen: list[UpstreamRecord] = []
    rest = sorted(engines, key=lambda each: each.id)
    while rest and len(chosen) < count:
        sign = -1 if are_decoders else 1
        best = min(rest, key=lambda each: sign * per_zone[each.availability_zone])
        rest.remove(best)
        chosen.append(best)
        per_zone[best.availability_zone] += sign
    return chosen
