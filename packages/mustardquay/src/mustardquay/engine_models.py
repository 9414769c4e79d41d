"""Engine models: prefill and decode speeds of engines, learned from their answers.

The models make no assumptions about a particular type of engine. All engines of a
service share their coefficients, so that a few answers of any engine train the model
for all; each engine has one factor relative to them, which identifies a slow one.
Priors apply before the first answer; a gateway that starts beside others takes over
their coefficients (`adopt_speeds`).
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from datetime import timedelta
from math import exp, log

from .decaying_fits import DecayingFit, dot
from .upstream_lists import Stage, UpstreamRecord

__all__ = ["PREFILL_SCALES", "STREAM_SCALES", "EngineModels", "PoolSpeeds", "Prefill"]

DECODER_SLOWDOWN = 2.0
"""How many times longer a decode engine takes to prefill a prompt: a rule of the
platform's engines, whatever their speed."""
PRIOR_FIXED = 0.005
"""Prior for the fixed seconds of a prefill: a few network round trips."""
MAX_FIXED = 0.03
"""Upper bound for the fixed seconds of a prefill: a larger value is caused by an
unknown queue, and would move all prefill to the decode engines."""
PRIOR_TOKEN = 1e-5
"""Prior for the seconds per token: between the engines known so far (4 and 21
microseconds). A prior of half or twice the true value misplaces the first dozen prompts
of a gateway without peers."""
PRIOR_PAIR = 2e-10
"""Prior for the seconds per pair of a new token and an earlier one, as above."""
PRIOR_COPIED = 1e-6
"""Seconds per token copied between engines when the operator declares none."""
PRIOR_STEP = 0.002
"""Prior for the seconds of a decode step."""
PRIOR_STREAM = 0.00003
"""Prior for the seconds by which each other stream lengthens a decode step."""
PREFILL_SCALES = (1.0, 4_000.0, 2e7, 4_000.0)
"""Typical sizes of the prefill features: constant, tokens, pairs, copied tokens."""
PREFILL_STRENGTHS = (1.0, 0.2, 0.2, 0.5)
"""Relative confidence in the prefill priors: high for the network, low for the engine's
speed."""
STREAM_SCALES = (1.0, 16.0)
STREAM_STRENGTHS = (0.2, 0.2)
"""The same for streams: the length of a step is as uncertain as the engine's speed."""
FACTOR_WEIGHT = 0.15
"""Weight of the newest answer in the factor of an engine that was faster than expected;
the factor follows within about six answers."""
FACTOR_WEIGHT_ABOVE = 0.06
"""The same for an answer that was slower than expected, as a queue may be the cause."""
FACTOR_BOUND = log(8.0)
"""An engine counts as at most eight times faster or slower than the others: a slower
one gets no work at this factor already."""
FACTOR_HALF_LIFE = timedelta(seconds=10)
"""Time in which the deviation of an engine's factor from 1 is halved, so that a slow
engine which has had no work since is tried again."""
USUAL_WEIGHT = 0.05
"""Weight of the newest value in the mean of the expected prefill times."""
MIN_CONFIDENCE = 0.04
"""Confidence below which a measurement is ignored: at a wait of five times the prefill
it measures the queue."""
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
class Prefill:
    """The work of an engine to prefill one prompt."""

    new: int
    """Tokens to compute."""
    cached: int = 0
    """Tokens before them that are cached or copied."""
    copied: int = 0
    """Tokens that are first copied from another engine."""

    @property
    def features(self) -> tuple[float, float, float, float]:
        """Return the features of the model: constant, tokens, pairs, copied tokens."""
        pairs = self.new * (self.cached + self.new / 2)
        return (1.0, float(self.new), float(pairs), float(self.copied))


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
class _Factor:
    logarithm: float = 0.0
    at: timedelta = timedelta()


def _make_prefill_fit() -> DecayingFit:
    prior = (PRIOR_FIXED, PRIOR_TOKEN, PRIOR_PAIR, PRIOR_COPIED)
    return DecayingFit(prior, PREFILL_SCALES, PREFILL_STRENGTHS)


def _make_stream_fit() -> DecayingFit:
    prior = (PRIOR_STEP, PRIOR_STREAM)
    return DecayingFit(prior, STREAM_SCALES, STREAM_STRENGTHS)


@dataclass(slots=True)
class _Pool:
    factors: dict[str, _Factor] = field(default_factory=dict)
    read: DecayingFit = field(default_factory=_make_prefill_fit)
    first: DecayingFit = field(default_factory=_make_stream_fit)
    pause: DecayingFit = field(default_factory=_make_stream_fit)
    steps: int = 1
    """Decode steps between two events of a stream."""
    copy_seconds: float | None = None
    """Seconds to copy a token, as declared by the operator; None until configured."""
    usual: float = 0.0
    """Exponential mean of the expected prefill seconds of placements."""
    average: float = 0.0
    """Mean logarithm of the factors at `averaged_at`."""
    averaged_at: timedelta | None = None
    adopted_at: timedelta | None = None
    """When the coefficients of a peer were last taken over."""


@dataclass(slots=True)
class EngineModels:
    """The models of all services, and the factors of their engines."""

    _pools: dict[str, _Pool] = field(default_factory=dict)

    def set_traits(self, service: str, steps: int, copy_seconds: float) -> None:
        """Apply the operator's settings for a service's engines.

        `steps` is the number of decode steps between two events of a stream,
        `copy_seconds` the time to copy a token between engines, 0 if not declared.

        The priors are set only when a value has changed: each change of the
        configuration calls this again, and would otherwise replace coefficients taken
        over from a peer by the priors.
        """
        pool = self._get_pool(service)
        if (steps, copy_seconds) == (pool.steps, pool.copy_seconds):
            return
        pool.steps, pool.copy_seconds = steps, copy_seconds
        copied = copy_seconds or PRIOR_COPIED
        pool.read.set_prior((PRIOR_FIXED, PRIOR_TOKEN, PRIOR_PAIR, copied))
        streams = (PRIOR_STEP * steps, PRIOR_STREAM * steps)
        pool.first.set_prior(streams)
        pool.pause.set_prior(streams)

    def expect_prefill(
        self, engine: UpstreamRecord, prefill: Prefill, now: timedelta
    ) -> float:
        """Return the seconds for which a prefill occupies an engine."""
        coefficients = self._get_pool(engine.service).read.coefficients
        seconds = dot(coefficients[1:], prefill.features[1:])
        if engine.stage is not Stage.PREFILL:
            seconds *= DECODER_SLOWDOWN
        return seconds * self.slowdown_factor(engine, now)

    def note_placed(self, service: str, seconds: float) -> None:
        """Record the expected seconds of a prefill that was placed."""
        pool = self._get_pool(service)
        weight = USUAL_WEIGHT if pool.usual else 1.0
        pool.usual += weight * (seconds - pool.usual)

    def get_usual_prefill(self, service: str) -> float:
        """Return the mean expected seconds of a prefill, 0 before the first."""
        return self._get_pool(service).usual

    def expect_overhead(self, service: str) -> float:
        """Return the extra seconds of a prefill on a separate engine."""
        return min(self._get_pool(service).read.coefficients[0], MAX_FIXED)

    def expect_first(self, service: str, streams: int) -> float:
        """Return the seconds from the end of the prefill to the first event."""
        return self._get_pool(service).first.predict((1.0, float(streams)))

    def expect_pause(self, service: str, streams: int) -> float:
        """Return the mean seconds between two events, including prefill in between."""
        return self._get_pool(service).pause.predict((1.0, float(streams)))

    def expect_stream(self, service: str, tokens: int, streams: int) -> float:
        """Return the seconds to decode a stream of `tokens`."""
        events = tokens / self._get_pool(service).steps
        return events * self.expect_pause(service, streams)

    def count_samples(self, service: str) -> float:
        """Return the effective number of prefill samples; older ones count less."""
        return self._get_pool(service).read.samples

    def slowdown_factor(self, engine: UpstreamRecord, now: timedelta) -> float:
        """Return how many times longer an engine takes than the average engine.

        Relative to the mean of all factors, so that a change common to all engines is
        learned by the shared coefficients.
        """
        pool = self._get_pool(engine.service)
        factor = pool.factors.get(engine.id)
        if factor is None:
            return 1.0
        return exp(_decay_factor(factor, now) - _average_factors(pool, now))

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
        factor = self.slowdown_factor(engine, now)
        expected = pool.read.predict(prefill.features) * factor
        confidence = _estimate_confidence(max(wait, work), expected)
        if confidence < MIN_CONFIDENCE:
            return
        fixed = min(pool.read.coefficients[0] * factor, expected)
        seconds = fixed + _split_duration(took - fixed, wait, expected - fixed)
        if confidence > 0.5:
            _learn_factor(pool, engine.id, seconds / max(expected, 1e-6), now)
        pool.read.learn(prefill.features, seconds / factor, confidence)

    def learn_first(self, service: str, streams: int, seconds: float) -> None:
        """Record the time from the end of a prefill to the first event."""
        self._get_pool(service).first.learn((1.0, float(streams)), max(seconds, 0.0))

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
        first = pool.first.predict((1.0, float(streams)))
        if expected < first and not _is_long(pool, prefill):
            seconds = _split_duration(seconds, wait + expected, first)
            self.learn_first(engine.service, streams, seconds)
            return
        if not expected:
            # Without an estimate, the wait can't be separated from the prefill.
            wait, expected = 0.0, first
        read = _split_duration(seconds - first, wait, expected) / DECODER_SLOWDOWN
        confidence = _estimate_confidence(wait, expected)
        factor = self.slowdown_factor(engine, now)
        pool.read.learn(prefill.features, read / factor, confidence)

    def learn_pause(self, service: str, streams: int, seconds: float) -> None:
        """Record a pause between two events."""
        self._get_pool(service).pause.learn((1.0, float(streams)), seconds)

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

    def forget(self, id: str) -> None:
        """Drop the factor of an engine that was removed or restarted."""
        for pool in self._pools.values():
            pool.factors.pop(id, None)
            pool.averaged_at = None

    def _get_pool(self, service: str) -> _Pool:
        pool = self._pools.get(service)
        if pool is None:
            pool = self._pools[service] = _Pool()
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


def _is_long(pool: _Pool, prefill: Prefill) -> bool:
    """Return whether a prefill takes longer than a first event by the priors."""
    read = DECODER_SLOWDOWN * dot(pool.read.prior, prefill.features)
    return read > dot(pool.first.prior, (1.0, 0.0))


def _learn_factor(pool: _Pool, id: str, ratio: float, now: timedelta) -> None:
    factor = pool.factors.setdefault(id, _Factor(at=now))
    value = _decay_factor(factor, now)
    error = max(min(log(max(ratio, 1e-3)), FACTOR_BOUND), -FACTOR_BOUND)
    weight = FACTOR_WEIGHT if error < 0 else FACTOR_WEIGHT_ABOVE
    value = max(min(value + weight * error, FACTOR_BOUND), -FACTOR_BOUND)
    factor.logarithm, factor.at = value, now
    pool.averaged_at = None


def _average_factors(pool: _Pool, now: timedelta) -> float:
    """Return the mean logarithm of the factors.

    Cached per instant: a placement asks for all engines at the same instant, and would
    otherwise compute the mean over all engines for each of them.
    """
    if pool.averaged_at != now:
        faded = [_decay_factor(each, now) for each in pool.factors.values()]
        pool.average = sum(faded) / len(faded)
        pool.averaged_at = now
    return pool.average


def _decay_factor(factor: _Factor, now: timedelta) -> float:
    return factor.logarithm * 0.5 ** ((now - factor.at) / FACTOR_HALF_LIFE)
