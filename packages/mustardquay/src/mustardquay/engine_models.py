"""Engine models: prefill and decode speeds of engines, learned from their answers.

The models make no assumptions about a particular type of engine. All engines of a
service share their coefficients, so that a few answers of any engine train the model
for all; each engine has factors relative to them, which identify a slow one (package
`engine_speeds`). Priors apply before the first answer; a gateway that starts beside
others takes over their coefficients (`adopt_speeds`).
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from datetime import timedelta

from .decaying_fits import dot
from .engine_pools import (
    DECODER_SLOWDOWN,
    PREFILL_SCALES,
    STREAM_SCALES,
    EnginePool,
)
from .engine_prefills import Prefill
from .engine_speeds import EngineFactor, EngineSpeeds, begin_speeds
from .upstream_capacity import CapacityEstimates
from .upstream_lists import Stage, UpstreamRecord

__all__ = ["PREFILL_SCALES", "STREAM_SCALES", "EngineModels", "PoolSpeeds", "Prefill"]

USUAL_WEIGHT = 0.05
"""Weight of the newest value in the mean of the expected prefill times."""
MIN_CONFIDENCE = 0.04
"""Confidence below which a measurement is ignored: at a wait of five times the prefill
it measures the queue."""
PAUSE_SAMPLES = 2.0
"""Weight of the mean pause of a stream in its engine's factor: it is a mean of many
intervals, where a prefill is one time."""
FIRST_SAMPLES = 0.3
"""The same for a first event, which includes the copy of the prompt."""
MIN_FIRSTS = 8.0
"""First events from which the factors of engines are learned relative to the model."""
MIN_PAUSES = 3.0
"""Streams from which the factors of engines are learned relative to the model."""
MIN_PEER_SAMPLES = 8.0
"""Measurements from which a gateway shares its coefficients with its peers."""
MIN_PEER_RATIO = 3.0
"""A gateway with fewer measurements than a peer by this factor takes over the peer's
coefficients. Guards against a gateway that learned from a few prefills behind unknown
queues: it placed all work where no measurement corrected the model, for the rest of a
day."""
PEER_WEIGHT = 20.0
"""Weight of a peer's coefficients: about twenty measurements of its own replace
them."""
PEER_INTERVAL = timedelta(seconds=2)
"""Minimum time between two such replacements, in which the gateway's own measurements
can correct the coefficients."""


@dataclass(frozen=True, slots=True)
class PoolSpeeds:
    """The coefficients of a service's engines that a gateway shares with its peers."""

    service: str
    samples: float
    read: tuple[float, ...]
    """Seconds: constant, per token, per pair, per copied token."""
    first: tuple[float, ...]
    """Seconds to the first event: constant, per stream."""


@dataclass(slots=True)
class EngineModels:
    """The models of all services, and the factors of their engines."""

    speeds: EngineSpeeds | None = None
    """Lasting and current factors; without them, factors of this gateway alone."""
    _pools: dict[str, EnginePool] = field(default_factory=dict)

    def set_traits(self, service: str, steps: int, copy_seconds: float) -> None:
        """Apply the operator's settings for a service's engines.

        `steps` is the number of decode steps between two events of a stream,
        `copy_seconds` the time to copy a token between engines, 0 if not declared.
        """
        self._get_pool(service).set_traits(steps, copy_seconds)

    def expect_prefill(
        self, engine: UpstreamRecord, prefill: Prefill, now: timedelta
    ) -> float:
        """Return the seconds for which a prefill occupies an engine."""
        coefficients = self._get_pool(engine.service).read.coefficients
        seconds = dot(coefficients[1:], prefill.features[1:])
        if engine.stage is not Stage.PREFILL:
            seconds *= DECODER_SLOWDOWN
        return seconds * self._scale_prefill(engine, now)

    def current_factor(self, id: str, now: timedelta) -> float:
        """Return how many times as long as usual work takes on an engine now."""
        return 1.0 if self.speeds is None else self.speeds.get_current(id, now)

    def decode_factor(self, engine: UpstreamRecord, now: timedelta) -> float:
        """Return how many times longer an engine decodes than the average engine."""
        if self.speeds is None:
            return 1.0
        return self.speeds.get_decode(engine.service, engine.id, now)

    def note_placed(
        self, engine: UpstreamRecord, seconds: float, now: timedelta
    ) -> None:
        """Record the expected seconds of a prefill that was placed."""
        pool = self._get_pool(engine.service)
        if self.speeds is not None:
            seconds /= self._scale_prefill(engine, now)
        weight = USUAL_WEIGHT if pool.usual else 1.0
        pool.usual += weight * (seconds - pool.usual)

    def get_usual_prefill(self, engine: UpstreamRecord, now: timedelta) -> float:
        """Return the mean expected seconds of a prefill, 0 before the first."""
        usual = self._get_pool(engine.service).usual
        return (
            usual if self.speeds is None else usual * self._scale_prefill(engine, now)
        )

    def expect_overhead(self, service: str) -> float:
        """Return the extra seconds of a prefill on a separate engine."""
        return self._get_pool(service).fixed

    def expect_first(
        self, engine: UpstreamRecord, streams: int, now: timedelta
    ) -> float:
        """Return the seconds from the end of the prefill to the first event."""
        pool = self._get_pool(engine.service)
        usual = pool.first.predict((1.0, float(streams)))
        if self.speeds is None:
            return usual
        fixed = pool.find_fixed_first(usual)
        return fixed + (usual - fixed) * self._scale_decode(engine, now)

    def expect_pause(
        self, engine: UpstreamRecord, streams: int, now: timedelta
    ) -> float:
        """Return the mean seconds between two events, including prefill in between."""
        usual = self.expect_usual_pause(engine, streams, now)
        return usual * self.current_factor(engine.id, now)

    def expect_usual_pause(
        self, engine: UpstreamRecord, streams: int, now: timedelta
    ) -> float:
        """Return the mean seconds between two events at the engine's usual speed."""
        seconds = self._get_pool(engine.service).pause.predict((1.0, float(streams)))
        return seconds * self.decode_factor(engine, now)

    def expect_stream(
        self, engine: UpstreamRecord, tokens: int, streams: int, now: timedelta
    ) -> float:
        """Return the seconds to decode a stream of `tokens`."""
        events = tokens / self._get_pool(engine.service).steps
        return events * self.expect_pause(engine, streams, now)

    def count_samples(self, service: str) -> float:
        """Return the effective number of prefill samples; older ones count less."""
        return self._get_pool(service).read.samples

    def slowdown_factor(self, engine: UpstreamRecord, now: timedelta) -> float:
        """Return how many times longer an engine takes than the average engine.

        Relative to the mean of all factors, so that a change common to all engines is
        learned by the shared coefficients.
        """
        if self.speeds is not None:
            return self.speeds.get_prefill(engine.service, engine.id, now)
        return self._get_pool(engine.service).factors.get(engine.id, now)

    def begin_speeds(
        self, capacities: CapacityEstimates | None, engine: UpstreamRecord
    ) -> None:
        """Learn speeds of single engines from now on if an engine reports its own.

        `capacities` has the reports, None if they are not used.
        """
        if self.speeds is None and capacities is not None:
            self.speeds = begin_speeds(capacities, engine)

    def learn_prefill(
        self,
        engine: UpstreamRecord,
        prefill: Prefill,
        wait: float,
        took: float,
        now: timedelta,
        work: float = 0.0,
    ) -> None:
        """Record the duration of a prefill that was expected to wait for `wait`.

        `work` is all the outstanding prefill of the engine: it finishes the prompt in
        progress first, whatever its rank, so that the queue may be longer than `wait`.
        """
        pool = self._get_pool(engine.service)
        if self.speeds is not None:
            self._learn_speed(pool, engine, prefill, wait, took, now, work)
            return
        factor = self.slowdown_factor(engine, now)
        expected = pool.read.predict(prefill.features) * factor
        confidence = _estimate_confidence(max(wait, work), expected)
        if confidence < MIN_CONFIDENCE:
            return
        fixed = min(pool.read.coefficients[0] * factor, expected)
        seconds = fixed + _split_duration(took - fixed, wait, expected - fixed)
        if confidence > 0.5:
            pool.factors.learn(engine.id, seconds / max(expected, 1e-6), now)
        pool.read.learn(prefill.features, seconds / factor, confidence)

    def _learn_speed(
        self,
        pool: EnginePool,
        engine: UpstreamRecord,
        prefill: Prefill,
        wait: float,
        took: float,
        now: timedelta,
        work: float,
    ) -> None:
        """Record the duration of a prefill apart from its fixed time.

        The fixed time is that of the network, which doesn't depend on the engine.
        """
        fixed = pool.read.coefficients[0]
        usual = pool.read.predict(prefill.features) - fixed
        factor = self._scale_prefill(engine, now)
        expected = usual * factor
        confidence = _estimate_confidence(max(wait, work), expected + fixed)
        if confidence < MIN_CONFIDENCE:
            return
        seconds = _split_duration(took - fixed, wait, expected)
        if confidence > 0.5 and usual > 0:
            ratio = seconds / self.current_factor(engine.id, now) / usual
            weight = confidence * (expected / (expected + fixed)) ** 2
            self.speeds.learn_prefill(engine.service, engine.id, ratio, weight, now)
        pool.read.learn(prefill.features, fixed + seconds / factor, confidence)

    def learn_first(
        self, engine: UpstreamRecord, streams: int, seconds: float, now: timedelta
    ) -> None:
        """Record the time from the end of a prefill to the first event."""
        pool, features = self._get_pool(engine.service), (1.0, float(streams))
        seconds = max(seconds, 0.0)
        if self.speeds is None:
            pool.first.learn(features, seconds)
            return
        if streams > engine.slots:
            # The time includes the wait for a slot, which is expected apart from it.
            return
        expected = pool.first.predict(features)
        fixed = pool.find_fixed_first(expected)
        variable = max(seconds - fixed, 0.0) / self.current_factor(engine.id, now)
        usual = expected - fixed
        if pool.first.samples >= MIN_FIRSTS and usual > 0:
            weight, ratio = FIRST_SAMPLES * usual / expected, variable / usual
            self.speeds.learn_decode(engine.service, engine.id, ratio, weight, now)
        lasting = self.decode_factor(engine, now)
        pool.first.learn(features, fixed + variable / lasting)

    def learn_combined(
        self,
        engine: UpstreamRecord,
        prefill: Prefill,
        streams: int,
        seconds: float,
        now: timedelta,
        wait: float = 0.0,
    ) -> None:
        """Record the time of a prefill and its first event on the same engine.

        `wait` is the expected time for the prompts before it.

        The sample trains whichever of the two models accounts for most of the time, as
        the error of the other is small by comparison. Guards against a model that
        predicts no time for prefill: decode engines would get all long prompts, and
        their prefill time would be learned as time to the first event.
        """
        pool = self._get_pool(engine.service)
        expected = self.expect_prefill(engine, prefill, now)
        first = self.expect_first(engine, streams, now)
        if expected < first and not pool.is_long(prefill.features):
            seconds = _split_duration(seconds, wait + expected, first)
            self.learn_first(engine, streams, seconds, now)
            return
        if not expected:
            # Without an estimate, the wait can't be separated from the prefill.
            wait, expected = 0.0, first
        read = _split_duration(seconds - first, wait, expected) / DECODER_SLOWDOWN
        confidence = _estimate_confidence(wait, expected)
        factor = self._scale_prefill(engine, now)
        pool.read.learn(prefill.features, read / factor, confidence)

    def learn_pause(
        self, engine: UpstreamRecord, streams: int, seconds: float, now: timedelta
    ) -> None:
        """Record the mean pause between the events of a stream that has ended."""
        pause, features = self._get_pool(engine.service).pause, (1.0, float(streams))
        if self.speeds is None:
            pause.learn(features, seconds)
            return
        # The stream lasted for longer than a spell.
        usual = seconds / self.speeds.get_recent(engine.id, now)
        ratio = usual / max(pause.predict(features), 1e-6)
        if pause.samples >= MIN_PAUSES:
            self.speeds.learn_decode(
                engine.service, engine.id, ratio, PAUSE_SAMPLES, now
            )
        pause.learn(features, usual / self.decode_factor(engine, now))

    def adopt_speeds(self, speeds: Iterable[PoolSpeeds], now: timedelta) -> None:
        """Take over a peer's coefficients if it has far more samples."""
        for each in speeds:
            pool = self._get_pool(each.service)
            if each.samples < max(MIN_PEER_SAMPLES, MIN_PEER_RATIO * pool.read.samples):
                continue
            if pool.adopted_at is not None and now - pool.adopted_at < PEER_INTERVAL:
                continue
            pool.adopted_at = now
            pool.read.restart(each.read, PEER_WEIGHT)
            pool.first.restart(each.first, PEER_WEIGHT)

    def export_speeds(self) -> tuple[PoolSpeeds, ...]:
        """Return the coefficients to share with the other gateways."""
        return tuple(
            PoolSpeeds(
                service,
                pool.read.samples,
                pool.read.coefficients,
                pool.first.coefficients,
            )
            for service, pool in self._pools.items()
            if pool.read.samples >= MIN_PEER_SAMPLES
        )

    def export_factors(self, now: timedelta) -> tuple[EngineFactor, ...]:
        """Return the factors of engines to share with the other gateways.

        None before the coefficients are known, to which the factors are relative.
        """
        if self.speeds is None or not self.export_speeds():
            return ()
        return self.speeds.list_notices(now)

    def apply_factors(
        self,
        gateway: str,
        factors: Iterable[EngineFactor],
        find_engine: Callable[[str], UpstreamRecord | None],
        now: timedelta,
    ) -> None:
        """Process what another gateway has measured of engines that are listed."""
        if self.speeds is None:
            return
        for factor in factors:
            engine = find_engine(factor.engine)
            if engine is not None:
                self.speeds.apply_notice(gateway, engine.service, factor, now)

    def forget(self, id: str) -> None:
        """Drop the factor of an engine that was removed or restarted."""
        for pool in self._pools.values():
            pool.factors.forget(id)
        if self.speeds is not None:
            self.speeds.forget(id)

    def _scale_prefill(self, engine: UpstreamRecord, now: timedelta) -> float:
        """Return the product of the lasting and the current factor of prefill."""
        return self.slowdown_factor(engine, now) * self.current_factor(engine.id, now)

    def _scale_decode(self, engine: UpstreamRecord, now: timedelta) -> float:
        return self.decode_factor(engine, now) * self.current_factor(engine.id, now)

    def _get_pool(self, service: str) -> EnginePool:
        pool = self._pools.get(service)
        if pool is None:
            pool = self._pools[service] = EnginePool()
        return pool


def _estimate_confidence(wait: float, expected: float) -> float:
    """Return the confidence that a time measures the prefill and not its queue."""
    return 1 / (1 + (wait / max(expected, 1e-6)) ** 2)


def _split_duration(seconds: float, wait: float, read: float) -> float:
    """Return the part of a duration that the prefill took, by the expected ratio.

    The wait consists of prefills, too: where all are faster or slower than expected,
    both parts are. Guards against speeds that converge to zero in a queue: if the
    expected wait were subtracted, overestimating it by one prefill would result in a
    prefill that takes no time.
    """
    return max(seconds, 0.0) * read / max(wait + read, 1e-6)
