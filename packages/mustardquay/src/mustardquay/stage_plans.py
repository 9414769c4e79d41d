"""Stage plans: how many engines of a service decode, and which ones change their stage.

Designed for long prompts that take most of the engines' time while other requests keep
many streams open. A decode engine runs all of its streams at nearly the speed of one,
but prefills at half the speed, and its decode steps take many times longer meanwhile.
Therefore few engines decode, and the others prefill.

A stream may go on only at the software version that began it, so each version that
serves with several engines has one that decodes.
"""

from collections import Counter
from collections.abc import Collection, Mapping, Sequence
from dataclasses import dataclass
from datetime import timedelta
from math import ceil

from .stage_capacities import DecodeSpeed, StageCapacities
from .upstream_lists import Stage, UpstreamRecord

__all__ = ["StageChange", "StagePlanner"]

STREAMS_PER_SLOT = 0.4
"""Number of concurrent streams per slot that an engine should decode: each stream
lengthens the steps of all others, and long answers would be late."""
MAX_SHARE = 0.34
"""Largest fraction of decode engines: the others handle bursts of prompts."""
LARGE_SERVICE = 12
"""Number of engines from which the fraction of decode engines may be larger."""
MAX_SHARE_OF_LARGE = 0.42
"""Largest fraction of decode engines in a large service, where the change of one engine
reduces the prefill capacity by less."""
FALLING_HALF_LIFE = timedelta(seconds=3)
"""Half-life of the average number of streams while it falls: a short lull has no
effect."""
RISING_HALF_LIFE = timedelta(seconds=1)
"""The same while it rises: new streams last for seconds, so that a rise is
significant."""
MIN_DECODERS = 2
"""Minimum number of decode engines from four engines on, so that one remains when
another is lost."""
SMALL_SERVICE = 4
"""Number of engines from which at least two decode; with fewer, most are needed for
prefill."""
MIN_SHARE = 0.2
"""Smallest fraction of decode engines: each change of stage makes an engine unavailable
for seconds, in which others may crash."""
TREND_HALF_LIFE = timedelta(seconds=1)
"""Half-life of the average rate at which the number of streams rises."""
MAX_TREND_INTERVAL = timedelta(seconds=3)
"""Time between two plans from which no rate is derived."""
DECODER_DELAY = timedelta(seconds=2)
"""How long a lack of decode engines must last before a prefill engine is changed, if
the missing one is unreachable and may recover."""
GONE_DELAY = timedelta(milliseconds=300)
"""The same if a decode engine has left for good and won't recover."""
SLACK = 0.8
"""Fraction of the capacity of a smaller number of decode engines above which the
current number is kept: otherwise it would oscillate with each burst."""
PREFILLER_DELAY = timedelta(seconds=6)
"""How long a surplus decode engine is kept: twice the time for which a change of stage
makes an engine unavailable."""

NEW_ENGINE_TIME = timedelta(seconds=6)
"""How long an engine counts as new. A surplus new engine is changed without delay, as
it has little work and an empty cache, and as the surplus is caused by its arrival and
not by a burst."""
MIN_VERSION_ENGINES = 2
"""Engines of a software version from which one of them always decodes: with one alone,
its streams end with it."""
LISTING_LIFETIME = timedelta(seconds=30)
"""How long an unlisted engine is remembered: records expire while the store is
unavailable, and are written again soon after it recovers."""


@dataclass(frozen=True, slots=True)
class StageChange:
    """An engine that should change its stage."""

    engine: UpstreamRecord
    stage: Stage


@dataclass(slots=True)
class _Demand:
    """The number of running streams of a service, over time."""

    mean: float
    last: float
    at: timedelta
    rise: float = 0.0
    """Average rate of change, in streams per second."""

    def note(self, streams: int, now: timedelta) -> None:
        """Add an observation."""
        passed = now - self.at
        half_life = RISING_HALF_LIFE if streams > self.mean else FALLING_HALF_LIFE
        self.mean += (1 - 0.5 ** (passed / half_life)) * (streams - self.mean)
        if passed > MAX_TREND_INTERVAL:
            self.rise = 0.0
        elif passed:
            rise = (streams - self.last) / passed.total_seconds()
            weight = 1 - 0.5 ** (passed / TREND_HALF_LIFE)
            self.rise += weight * (rise - self.rise)
        self.last, self.at = float(streams), now

    def predict(self, lead: timedelta) -> float:
        """Return the number of streams after `lead`, if it goes on rising."""
        return self.mean + max(self.rise, 0.0) * lead.total_seconds()


@dataclass(slots=True)
class _Listing:
    """When an engine was first and last listed."""

    first: timedelta
    last: timedelta


class StagePlanner:
    """Plans stage changes from the list of engines, with delays between them."""

    def __init__(self) -> None:
        self._demands: dict[str, _Demand] = {}
        self._off_since: dict[tuple[str, Stage], timedelta] = {}
        self._listings: dict[str, dict[str, _Listing]] = {}
        """By service and engine."""

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
        lead: timedelta = timedelta(),
        speeds: Mapping[str, DecodeSpeed] | None = None,
    ) -> list[StageChange]:
        """Return the changes that are due.

        `ordered` holds the target stages of engines that are changing, `streams` is the
        number of running streams, `lost` names listed engines that are unreachable,
        `capacities` holds the fraction of its usual work that the rate limit of an
        engine allows. Without `is_settled` (before callers arrive) changes are made
        without delay. `lead` is how long a change takes: in a rising load, an engine is
        ordered for the streams that will be there when it is back. With `speeds`,
        capacities count in place of engines.
        """
        self._note_listed(service, engines, now, is_settled)
        stages = {engine.id: ordered.get(engine.id, engine.stage) for engine in engines}
        listed = [each for each in engines if stages[each.id] is Stage.DECODE]
        engines = [each for each in engines if each.id not in lost]
        decoders = [each for each in listed if each.id not in lost]
        mean = self._predict(service, streams, now, lead)
        streams_per_engine = count_streams(engines)
        power = StageCapacities(speeds)
        wanted = count_decoders(round(power.sum(engines)), mean, streams_per_engine)
        balance = _VersionBalance(engines, decoders)
        wanted = max(wanted, len(balance.required))
        present = round(power.sum(decoders))
        if present > wanted and mean > SLACK * streams_per_engine * wanted:
            wanted = present
        missing = power.count_missing(wanted, decoders)
        missing += _count_limited(engines, decoders, capacities or {})
        missing = max(missing, len(balance.uncovered)) if balance.uncovered else missing
        if missing > 0:
            stage, delay = Stage.DECODE, DECODER_DELAY
            if len(listed) < wanted or balance.uncovered:
                delay = GONE_DELAY
            self._off_since.pop((service, Stage.PREFILL), None)
        elif missing < 0:
            stage, delay = Stage.PREFILL, PREFILLER_DELAY
            self._off_since.pop((service, Stage.DECODE), None)
            spare = sum(each.stage is Stage.DECODE for each in decoders) - wanted
            new_engines = self._list_new(service, decoders, now)
            if new_engines and spare > 0:
                chosen = _choose(new_engines, spare, decoders, balance, power)
                return [StageChange(engine, stage) for engine in chosen]
        else:
            self._off_since.pop((service, Stage.DECODE), None)
            self._off_since.pop((service, Stage.PREFILL), None)
            return []
        since = self._off_since.setdefault((service, stage), now)
        if is_settled and decoders and now - since < delay:
            return []
        others = [each for each in engines if stages[each.id] is not stage]
        chosen = _choose(others, abs(missing), decoders, balance, power)
        return [StageChange(engine, stage) for engine in chosen]

    def _note_listed(
        self,
        service: str,
        engines: Sequence[UpstreamRecord],
        now: timedelta,
        is_settled: bool,
    ) -> None:
        """Record which engines are listed.

        Engines in the first list don't count as new, nor do those that are added before
        callers arrive: the list is still being filled then, and the engines to change
        are chosen among all.
        """
        is_old = service not in self._listings or not is_settled
        listings = self._listings.setdefault(service, {})
        first = now - NEW_ENGINE_TIME if is_old else now
        for engine in engines:
            listings.setdefault(engine.id, _Listing(first, now)).last = now
        for id, listing in list(listings.items()):
            if now - listing.last > LISTING_LIFETIME:
                del listings[id]

    def _list_new(
        self, service: str, decoders: Sequence[UpstreamRecord], now: timedelta
    ) -> list[UpstreamRecord]:
        """Return the decode engines that are new."""
        listings = self._listings[service]
        return [
            engine
            for engine in decoders
            if engine.stage is Stage.DECODE
            and now - listings[engine.id].first < NEW_ENGINE_TIME
        ]

    def _predict(
        self, service: str, streams: int, now: timedelta, lead: timedelta
    ) -> float:
        demand = self._demands.get(service)
        if demand is None:
            demand = self._demands[service] = _Demand(streams, streams, now)
        demand.note(streams, now)
        return demand.predict(lead)


def _count_limited(
    engines: Sequence[UpstreamRecord],
    decoders: Sequence[UpstreamRecord],
    capacities: Mapping[str, float],
) -> int:
    """Return the number of extra decode engines that compensate for rate limits.

    At most half of the prefill engines: without these there is nothing to decode.
    """
    lacking = sum(1 - capacities.get(engine.id, 1.0) for engine in decoders)
    prefillers = len(engines) - len(decoders)
    return min(round(lacking), prefillers // 2)


def count_streams(engines: Sequence[UpstreamRecord]) -> float:
    """Return how many concurrent streams one engine should decode."""
    min_slots = min((engine.slots for engine in engines), default=1)
    return max(STREAMS_PER_SLOT * min_slots, 1.0)


def count_decoders(engines: int, streams: float, streams_per_engine: float) -> int:
    """Return how many of `engines` should decode `streams` streams.

    >>> [count_decoders(number, 60, 26) for number in (1, 2, 3, 4, 6, 24)]
    [1, 1, 1, 2, 2, 5]
    """
    least = 1
    if engines >= SMALL_SERVICE:
        least = max(MIN_DECODERS, ceil(engines * MIN_SHARE))
    share = MAX_SHARE if engines < LARGE_SERVICE else MAX_SHARE_OF_LARGE
    most = max(int(engines * share), least)
    return min(max(ceil(streams / streams_per_engine), least), most)


class _VersionBalance:
    """The software versions of engines, and how many engines of each decode."""

    def __init__(
        self, engines: Sequence[UpstreamRecord], decoders: Sequence[UpstreamRecord]
    ):
        self._engines = Counter(each.software_version for each in engines)
        self._decoders = Counter(each.software_version for each in decoders)
        self.required = frozenset(
            version
            for version, count in self._engines.items()
            if count >= MIN_VERSION_ENGINES
        )
        """Versions of which an engine should decode."""

    @property
    def uncovered(self) -> list[str]:
        """Return the versions of which an engine should decode and none does."""
        return [each for each in self.required if not self._decoders[each]]

    def is_last(self, decoder: UpstreamRecord) -> bool:
        """Return whether no other engine of its version would decode."""
        version = decoder.software_version
        return version in self.required and self._decoders[version] == 1

    def measure_share(self, engine: UpstreamRecord) -> float:
        """Return the share of the engines of a version that decode."""
        version = engine.software_version
        return self._decoders[version] / max(self._engines[version], 1)

    def note_change(self, engine: UpstreamRecord, change: int) -> None:
        """Note that an engine begins (1) or stops (-1) to decode."""
        self._decoders[engine.software_version] += change


def _choose(
    engines: Sequence[UpstreamRecord],
    count: int,
    decoders: Sequence[UpstreamRecord],
    balance: _VersionBalance,
    power: StageCapacities,
) -> list[UpstreamRecord]:
    """Return the engines to change.

    Balances decode engines across software versions first, then prefers to decode on
    those whose pauses fit, and balances across zones; the fastest of equal ones decode.
    """
    per_zone = Counter(each.availability_zone for each in decoders)
    are_decoders = engines and engines[0] in decoders
    sign = -1 if are_decoders else 1

    def rank(engine: UpstreamRecord) -> tuple[float, int, int, float]:
        share, speed = balance.measure_share(engine), power.get(engine)
        in_zone = per_zone[engine.availability_zone]
        unfit = int(not speed.is_fitting)
        return sign * share, sign * unfit, sign * in_zone, sign * speed.factor

    chosen: list[UpstreamRecord] = []
    rest = sorted(engines, key=lambda each: each.id)
    while len(chosen) < count:
        if are_decoders:
            rest = [each for each in rest if not balance.is_last(each)]
        if not rest:
            break
        best = min(rest, key=rank)
        rest.remove(best)
        chosen.append(best)
        balance.note_change(best, sign)
        per_zone[best.availability_zone] += sign
    return chosen
