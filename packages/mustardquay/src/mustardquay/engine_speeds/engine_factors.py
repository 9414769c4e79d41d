"""Lasting and current factors of engines, learned by all gateways together.

Designed for engines on machines of different speed that are also slow for short spells,
behind many gateways of which each sends an engine a small part of its work. A measured
time is divided by the factor that the engine reported for that moment (the current
factor), so that spells are not learned as lasting. Each gateway shares the evidence of
its own measurements and never what it heard from others, so that nothing counts twice.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from datetime import timedelta
from math import exp, isfinite

from ..upstream_capacity import CapacityEstimates
from ..upstream_lists import UpstreamRecord
from .evidence import Evidence
from .own_factors import bound_logarithm, find_logarithm

__all__ = ["EngineFactor", "EngineSpeeds", "begin_speeds"]

PRIOR_SAMPLES = 0.5
"""Weight of the assumption that an engine is as fast as the mean engine: speeds spread
(0.55 to 1.2) by more than the times of one engine."""
ABOVE_WEIGHT = 0.4
"""Weight of a measurement far above the known factor: an unknown queue lengthens times,
and nothing shortens them."""
ABOVE_LOG = 0.25
"""Logarithm above the known factor from which a measurement is far above it: the times
of one engine vary by a quarter."""
MIN_KNOWN = 2.0
"""Samples from which a factor counts as known for this."""
OTHER_SAMPLES = 3.0
"""Weight of the prefill factor in the decode factor: both run on the same machine. The
reverse does not hold, as prefill between decode steps lengthens pauses."""
MAX_SAMPLES = 60.0
"""Largest weight accepted from one gateway, so that a false notice can't outweigh the
measurements of a fleet for long."""
SHARE_INTERVAL = timedelta(seconds=1)
"""Time between two notices of the same engine."""
MAX_NOTICES = 6
"""Notices in one digest, which leaves its room for outstanding work: with 20 digests a
second, 27 engines take a quarter of a second."""
MEAN_INTERVAL = timedelta(milliseconds=50)
"""Time for which the mean over the engines of a service is kept; it changes slowly."""
RECENT_HALF_LIFE = timedelta(seconds=2)
"""Half-life of the mean of an engine's current factors. Streams last for seconds, and
their pauses are divided by this mean."""


@dataclass(frozen=True, slots=True)
class EngineFactor:
    """What one gateway has measured of an engine, relative to the mean engine."""

    engine: str
    prefill: float
    decode: float
    prefill_samples: float
    decode_samples: float


@dataclass(slots=True)
class _Engine:
    """The evidence of one engine: of all gateways, of this one, and of each peer."""

    prefill: Evidence = field(default_factory=Evidence)
    decode: Evidence = field(default_factory=Evidence)
    own_prefill: Evidence = field(default_factory=Evidence)
    own_decode: Evidence = field(default_factory=Evidence)
    peers: dict[str, tuple[Evidence, Evidence]] = field(default_factory=dict)
    recent: float = 1.0
    """Mean of the current factors that were reported lately."""
    recent_at: timedelta = timedelta()
    shared_at: timedelta | None = None
    is_changed: bool = False
    """Whether it was measured here since it was last shared."""


@dataclass(slots=True)
class _Mean:
    """The logarithms by which measurements of a service's engines are too large."""

    prefill: float
    decode: float
    at: timedelta


@dataclass(slots=True)
class EngineSpeeds:
    """The factors of all engines; 1 is the mean engine of a service, 2 half as fast."""

    capacities: CapacityEstimates
    _engines: dict[str, _Engine] = field(default_factory=dict)
    _services: dict[str, set[str]] = field(default_factory=dict)
    _means: dict[str, _Mean] = field(default_factory=dict)

    def get_current(self, id: str, now: timedelta) -> float:
        """Return how many times as long as usual work takes on an engine now."""
        return self.capacities.current_factor(id, now)

    def get_recent(self, id: str, now: timedelta) -> float:
        """Return the mean of the current factor over the last seconds."""
        current = self.get_current(id, now)
        engine = self._engines.get(id)
        if engine is None:
            return current
        # Not measured for a while, the mean is that of a time that is over.
        weight = 0.5 ** ((now - engine.recent_at) / RECENT_HALF_LIFE)
        return current + weight * (engine.recent - current)

    def get_prefill(self, service: str, id: str, now: timedelta) -> float:
        """Return the lasting factor of an engine's prefill."""
        engine = self._engines.get(id)
        if engine is None:
            return 1.0
        mean = self._find_mean(service, now)
        engine.prefill.fade(now)
        engine.decode.fade(now)
        known, other = engine.prefill.weight, min(engine.decode.weight, 1.0)
        total = known * (engine.prefill.mean - mean.prefill)
        total += other * (engine.decode.mean - mean.decode)
        return exp(bound_logarithm(total / (known + other + PRIOR_SAMPLES)))

    def get_decode(self, service: str, id: str, now: timedelta) -> float:
        """Return the lasting factor of an engine's decode steps."""
        engine = self._engines.get(id)
        if engine is None:
            return 1.0
        mean = self._find_mean(service, now)
        machine = _compare_prefill(engine, mean.prefill, now)
        engine.decode.fade(now)
        weight = engine.decode.weight
        total = weight * (engine.decode.mean - mean.decode) + OTHER_SAMPLES * machine
        return exp(bound_logarithm(total / (weight + OTHER_SAMPLES)))

    def count_samples(self, id: str, now: timedelta) -> float:
        """Return the weight of the prefill times known of an engine."""
        engine = self._engines.get(id)
        if engine is None:
            return 0.0
        engine.prefill.fade(now)
        return engine.prefill.weight

    def learn_prefill(
        self, service: str, id: str, ratio: float, weight: float, now: timedelta
    ) -> None:
        """Record a prefill that took `ratio` times as long as on the mean engine.

        The time is already divided by the current factor. `weight` is at most 1.
        """
        engine = self._get_engine(service, id)
        value = find_logarithm(ratio)
        engine.prefill.fade(now)
        is_known = engine.prefill.weight >= MIN_KNOWN
        if is_known and value > engine.prefill.mean + ABOVE_LOG:
            weight *= ABOVE_WEIGHT
        engine.prefill.add(value, weight, now)
        engine.own_prefill.add(value, weight, now)
        self._note_measured(engine, id, now)

    def learn_decode(
        self, service: str, id: str, ratio: float, weight: float, now: timedelta
    ) -> None:
        """Record decode steps that took `ratio` times as long as on the mean engine."""
        engine = self._get_engine(service, id)
        value = find_logarithm(ratio)
        engine.decode.add(value, weight, now)
        engine.own_decode.add(value, weight, now)
        self._note_measured(engine, id, now)

    def list_notices(self, now: timedelta) -> tuple[EngineFactor, ...]:
        """Return what to share in the next digest: what is due, the oldest first."""
        due = [
            (engine.shared_at or -SHARE_INTERVAL, id)
            for id, engine in self._engines.items()
            if engine.is_changed
            and (engine.shared_at is None or now - engine.shared_at >= SHARE_INTERVAL)
        ]
        notices = []
        for _, id in sorted(due)[:MAX_NOTICES]:
            engine = self._engines[id]
            engine.shared_at, engine.is_changed = now, False
            engine.own_prefill.fade(now)
            engine.own_decode.fade(now)
            notices.append(
                EngineFactor(
                    id,
                    exp(engine.own_prefill.mean),
                    exp(engine.own_decode.mean),
                    engine.own_prefill.weight,
                    engine.own_decode.weight,
                )
            )
        return tuple(notices)

    def apply_notice(
        self, gateway: str, service: str, notice: EngineFactor, now: timedelta
    ) -> None:
        """Replace what a gateway has measured of an engine; drops false figures."""
        prefill = _read_evidence(notice.prefill, notice.prefill_samples, now)
        decode = _read_evidence(notice.decode, notice.decode_samples, now)
        if prefill is None or decode is None:
            return
        engine = self._get_engine(service, notice.engine)
        old = engine.peers.get(gateway, (None, None))
        engine.prefill.replace(old[0], prefill, now)
        engine.decode.replace(old[1], decode, now)
        engine.peers[gateway] = (prefill, decode)

    def forget(self, id: str) -> None:
        """Drop an engine that was removed or has restarted."""
        self._engines.pop(id, None)
        for service, ids in self._services.items():
            if id in ids:
                ids.remove(id)
                self._means.pop(service, None)

    def _note_measured(self, engine: _Engine, id: str, now: timedelta) -> None:
        engine.is_changed = True
        weight = 1 - 0.5 ** ((now - engine.recent_at) / RECENT_HALF_LIFE)
        engine.recent += weight * (self.get_current(id, now) - engine.recent)
        engine.recent_at = now

    def _get_engine(self, service: str, id: str) -> _Engine:
        engine = self._engines.get(id)
        if engine is None:
            engine = self._engines[id] = _Engine()
            self._services.setdefault(service, set()).add(id)
            self._means.pop(service, None)
        return engine

    def _find_mean(self, service: str, now: timedelta) -> _Mean:
        mean = self._means.get(service)
        if mean is not None and now - mean.at < MEAN_INTERVAL:
            return mean
        engines = [self._engines[id] for id in self._services.get(service, ())]
        prefill = _find_prefill_mean(engines, now)
        mean = _Mean(prefill, _find_decode_mean(engines, prefill, now), now)
        self._means[service] = mean
        return mean


def begin_speeds(
    capacities: CapacityEstimates, engine: UpstreamRecord
) -> EngineSpeeds | None:
    """Return the speeds to learn if an engine reports its own, else None.

    Engines that report none are placed by the shared coefficients alone.
    """
    return EngineSpeeds(capacities) if capacities.reports_speed(engine.id) else None


def _find_decode_mean(
    engines: Iterable[_Engine], prefill_mean: float, now: timedelta
) -> float:
    """Return the logarithm by which measured pauses are too large.

    Only a part of the engines decodes, maybe the fastest ones. Their mean is that of
    their prefill times, as far as these are known. Guards against a model of pauses
    that is too long at all of them: it would make each of them count as fast.
    """
    total = weights = 0.0
    for engine in engines:
        engine.decode.fade(now)
        weight = min(engine.decode.weight, OTHER_SAMPLES)
        machine = _compare_prefill(engine, prefill_mean, now)
        total += weight * (engine.decode.mean - machine)
        weights += weight
    return total / weights if weights else 0.0


def _find_prefill_mean(engines: Iterable[_Engine], now: timedelta) -> float:
    """Return the mean logarithm of the engines whose prefill is known."""
    total = weights = 0.0
    for engine in engines:
        engine.prefill.fade(now)
        weight = _find_knowledge(engine.prefill)
        total += weight * engine.prefill.mean
        weights += weight
    return total / weights if weights else 0.0


def _compare_prefill(engine: _Engine, mean: float, now: timedelta) -> float:
    """Return the logarithm of an engine's prefill factor; 0 while it is unknown."""
    engine.prefill.fade(now)
    return _find_knowledge(engine.prefill) * (engine.prefill.mean - mean)


def _find_knowledge(evidence: Evidence) -> float:
    """Return the weight of measurements relative to that of the assumption."""
    return evidence.weight / (evidence.weight + PRIOR_SAMPLES)


def _read_evidence(factor: float, samples: float, now: timedelta) -> Evidence | None:
    if not (isfinite(factor) and isfinite(samples)) or factor <= 0 or samples < 0:
        return None
    weight = min(samples, MAX_SAMPLES)
    return Evidence(weight, weight * find_logarithm(factor), now)
