"""Engine models: how fast engines read and generate, learned from their answers.

Nothing here is stated of one kind of engine. All engines of a service share the
coefficients, so that a few answers of any of them tell of all; each has one factor
against them, which shows the one that is slow. Before the first answer the priors
hold; a gateway that starts among others takes theirs (`hear`).
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from datetime import timedelta
from math import exp, log

from .decaying_fits import DecayingFit, dot
from .upstream_lists import Stage, UpstreamRecord

__all__ = ["READ_SCALES", "STREAM_SCALES", "EngineModels", "PoolSpeeds", "Reading"]

GENERATING_SLOWDOWN = 2.0
"""How many times longer an engine that generates takes to read a prompt: a law of the
platform's engines, whatever their speed."""
PRIOR_FIXED = 0.005
"""Seconds of a reading of nothing before any was seen: some ways through a network."""
MOST_FIXED = 0.03
"""Most seconds that a reading of nothing is taken to need: more is a queue that was not
known of, and would have all prompts read by engines that generate."""
PRIOR_TOKEN = 1e-5
"""Seconds for each token before any reading was seen: between the engines known so far
(4 and 21 microseconds). Half of the truth or twice as much misplaces the first dozen
prompts of a gateway that has no peer to ask."""
PRIOR_PAIR = 2e-10
"""Seconds for each pair of a new token and one before it, as above."""
PRIOR_COPIED = 1e-6
"""Seconds for each token copied between engines, where the operator says nothing."""
PRIOR_STEP = 0.002
"""Seconds of a step of generation before one was seen."""
PRIOR_STREAM = 0.00003
"""Seconds that each other stream makes a step longer before one was seen."""
READ_SCALES = (1.0, 4_000.0, 2e7, 4_000.0)
"""Usual sizes of the features of a reading: once, tokens, pairs, copied tokens."""
READ_STRENGTHS = (1.0, 0.2, 0.2, 0.5)
"""How well the priors of a reading are known: the network's way well, the engine's
speed hardly."""
STREAM_SCALES = (1.0, 16.0)
STREAM_STRENGTHS = (0.2, 0.2)
"""The same for streams: a step is as unknown as the engine's speed."""
FACTOR_WEIGHT = 0.15
"""Weight of the newest answer in the factor of an engine that is faster than was
thought, so that some six answers show it."""
FACTOR_WEIGHT_ABOVE = 0.06
"""The same where the answer was later than expected, as a queue may be the cause."""
FACTOR_BOUND = log(8.0)
"""An engine counts as at most eight times as fast or slow as the others: one that is
slower still gets no work as it is."""
FACTOR_HALF_LIFE = timedelta(seconds=10)
"""Time in which half of what an engine's factor differs from 1 is forgotten, so that an
engine that was slow and got no work since is tried again."""
USUAL_WEIGHT = 0.05
"""Weight of the newest in the mean of readings."""
LEAST_SURENESS = 0.04
"""Sureness below which a measurement is left out: its wait was five times its reading,
so that it tells of the queue."""
PEER_SAMPLES = 8.0
"""Measurements from which a peer tells its speeds."""
PEER_RATIO = 3.0
"""A gateway with so many times fewer measurements than a peer takes the peer's speeds
in place of its own. Guards against one that learned from a handful of readings behind
unseen queues: it placed all work where nothing corrected it, for the rest of a day."""
PEER_TRUST = 20.0
"""Weight of a peer's speeds: some twenty measurements of its own replace them."""
PEER_INTERVAL = timedelta(seconds=2)
"""Time between two such replacements, in which own measurements can show otherwise."""


@dataclass(frozen=True, slots=True)
class Reading:
    """What an engine does to read one prompt."""

    new: int
    """Tokens that it reads."""
    cached: int = 0
    """Tokens before them that it has or copies."""
    copied: int = 0
    """Tokens that it first copies from another engine."""

    @property
    def features(self) -> tuple[float, float, float, float]:
        """Return the features of the model: once, tokens, pairs, copied tokens."""
        pairs = self.new * (self.cached + self.new / 2)
        return (1.0, float(self.new), float(pairs), float(self.copied))


@dataclass(frozen=True, slots=True)
class PoolSpeeds:
    """What one gateway tells of the engines of a service."""

    service: str
    samples: float
    read: tuple[float, ...]
    """Seconds: once, per token, per pair, per copied token."""
    first: tuple[float, ...]
    """Seconds to the first event: once, per stream."""


@dataclass(slots=True)
class _Factor:
    logarithm: float = 0.0
    at: timedelta = timedelta()


def _make_read() -> DecayingFit:
    prior = (PRIOR_FIXED, PRIOR_TOKEN, PRIOR_PAIR, PRIOR_COPIED)
    return DecayingFit(prior, READ_SCALES, READ_STRENGTHS)


def _make_streams() -> DecayingFit:
    prior = (PRIOR_STEP, PRIOR_STREAM)
    return DecayingFit(prior, STREAM_SCALES, STREAM_STRENGTHS)


@dataclass(slots=True)
class _Pool:
    factors: dict[str, _Factor] = field(default_factory=dict)
    read: DecayingFit = field(default_factory=_make_read)
    first: DecayingFit = field(default_factory=_make_streams)
    pause: DecayingFit = field(default_factory=_make_streams)
    steps: int = 1
    """Steps of generation between two events of a stream."""
    copy_seconds: float | None = None
    """Seconds to copy a token, as the operator declares; None before it is known."""
    usual: float = 0.0
    """Decaying mean of the expected seconds of the readings that are placed."""
    average: float = 0.0
    """Mean logarithm of the factors, as of `averaged_at`."""
    averaged_at: timedelta | None = None
    heard_at: timedelta | None = None
    """When the speeds of a peer were taken."""


@dataclass(slots=True)
class EngineModels:
    """The models of all services, and the factors of their engines."""

    _pools: dict[str, _Pool] = field(default_factory=dict)

    def set_traits(self, service: str, steps: int, copy_seconds: float) -> None:
        """Take in what the operator declares of a service's engines.

        `steps` are those between two events of a stream, `copy_seconds` is the time
        to copy a token between engines, 0 where it isn't declared.

        Only what is new sets the priors: each change of the configuration says it
        all again, and would put the priors in place of the speeds of a peer.
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

    def expect_read(
        self, engine: UpstreamRecord, reading: Reading, now: timedelta
    ) -> float:
        """Return the seconds for which an engine is busy with a reading."""
        coefficients = self._get_pool(engine.service).read.coefficients
        seconds = dot(coefficients[1:], reading.features[1:])
        if engine.stage is not Stage.PREFILL:
            seconds *= GENERATING_SLOWDOWN
        return seconds * self.read_factor(engine, now)

    def note_placed(self, service: str, seconds: float) -> None:
        """Take in the expected seconds of a reading that is placed."""
        pool = self._get_pool(service)
        weight = USUAL_WEIGHT if pool.usual else 1.0
        pool.usual += weight * (seconds - pool.usual)

    def get_usual_read(self, service: str) -> float:
        """Return the seconds of a usual reading, 0 before the first."""
        return self._get_pool(service).usual

    def expect_overhead(self, service: str) -> float:
        """Return the seconds that a separate reading takes beside the work itself."""
        return min(self._get_pool(service).read.coefficients[0], MOST_FIXED)

    def expect_first(self, service: str, streams: int) -> float:
        """Return the seconds from a prompt that is read to its first event."""
        return self._get_pool(service).first.predict((1.0, float(streams)))

    def expect_pause(self, service: str, streams: int) -> float:
        """Return the usual seconds between two events, with what is read between."""
        return self._get_pool(service).pause.predict((1.0, float(streams)))

    def expect_stream(self, service: str, tokens: int, streams: int) -> float:
        """Return the seconds in which a stream of so many tokens is generated."""
        events = tokens / self._get_pool(service).steps
        return events * self.expect_pause(service, streams)

    def count_samples(self, service: str) -> float:
        """Return the readings that count in the model, older ones for less."""
        return self._get_pool(service).read.samples

    def read_factor(self, engine: UpstreamRecord, now: timedelta) -> float:
        """Return how many times longer than the others an engine takes.

        Against the mean of all, so that what all have in common is learned as the
        coefficients of the pool.
        """
        pool = self._get_pool(engine.service)
        factor = pool.factors.get(engine.id)
        if factor is None:
            return 1.0
        return exp(_fade(factor, now) - _average_factors(pool, now))

    def learn_read(
        self,
        engine: UpstreamRecord,
        reading: Reading,
        wait: float,
        took: float,
        now: timedelta,
        work: float = 0.0,
    ) -> None:
        """Take in how long a reading took that was expected to wait for `wait`.

        `work` is all that the engine had to read: what is under way is brought to its
        end first, whatever its rank, so that more than `wait` may be a queue.
        """
        pool = self._get_pool(engine.service)
        factor = self.read_factor(engine, now)
        expected = pool.read.predict(reading.features) * factor
        sureness = _measure_sureness(max(wait, work), expected)
        if sureness < LEAST_SURENESS:
            return
        fixed = min(pool.read.coefficients[0] * factor, expected)
        seconds = fixed + _split(took - fixed, wait, expected - fixed)
        if sureness > 0.5:
            _learn_factor(pool, engine.id, seconds / max(expected, 1e-6), now)
        pool.read.learn(reading.features, seconds / factor, sureness)

    def learn_first(self, service: str, streams: int, seconds: float) -> None:
        """Take in how long the first event took after the prompt was read."""
        self._get_pool(service).first.learn((1.0, float(streams)), max(seconds, 0.0))

    def learn_alone(
        self,
        engine: UpstreamRecord,
        reading: Reading,
        streams: int,
        seconds: float,
        now: timedelta,
        wait: float = 0.0,
    ) -> None:
        """Take in how long an engine read a prompt and made its first event.

        It was expected to read others for `wait` before.

        Tells of the one that takes most of the time, as the other is a small error.
        Guards against a model by which nothing takes long to read: long prompts would
        all be read by engines that generate, as if these took long for their events.
        """
        pool = self._get_pool(engine.service)
        expected = self.expect_read(engine, reading, now)
        first = pool.first.predict((1.0, float(streams)))
        if expected < first and not _is_long(pool, reading):
            seconds = _split(seconds, wait + expected, first)
            self.learn_first(engine.service, streams, seconds)
            return
        if not expected:
            # Nothing else is known by which a wait could be told from the reading.
            wait, expected = 0.0, first
        read = _split(seconds - first, wait, expected) / GENERATING_SLOWDOWN
        sureness = _measure_sureness(wait, expected)
        factor = self.read_factor(engine, now)
        pool.read.learn(reading.features, read / factor, sureness)

    def learn_pause(self, service: str, streams: int, seconds: float) -> None:
        """Take in a pause between two events."""
        self._get_pool(service).pause.learn((1.0, float(streams)), seconds)

    def hear(self, speeds: Iterable[PoolSpeeds], now: timedelta) -> None:
        """Take a peer's speeds where it has seen far more than this gateway."""
        for each in speeds:
            pool = self._get_pool(each.service)
            if each.samples < max(PEER_SAMPLES, PEER_RATIO * pool.read.samples):
                continue
            if pool.heard_at is not None and now - pool.heard_at < PEER_INTERVAL:
                continue
            pool.heard_at = now
            pool.read.restart(each.read, PEER_TRUST)
            pool.first.restart(each.first, PEER_TRUST)

    def tell(self) -> tuple[PoolSpeeds, ...]:
        """Return what the other gateways are told."""
        return tuple(
            PoolSpeeds(
                service,
                pool.read.samples,
                pool.read.coefficients,
                pool.first.coefficients,
            )
            for service, pool in self._pools.items()
            if pool.read.samples >= PEER_SAMPLES
        )

    def forget(self, id: str) -> None:
        """Drop the factor of an engine that is gone or has started anew."""
        for pool in self._pools.values():
            pool.factors.pop(id, None)
            pool.averaged_at = None

    def _get_pool(self, service: str) -> _Pool:
        pool = self._pools.get(service)
        if pool is None:
            pool = self._pools[service] = _Pool()
        return pool


def _measure_sureness(wait: float, expected: float) -> float:
    """Return how sure a time tells of a reading and not of the wait before it."""
    return 1 / (1 + (wait / max(expected, 1e-6)) ** 2)


def _split(seconds: float, wait: float, read: float) -> float:
    """Return the part of a time that a reading took, by what was expected of both.

    The wait is made of readings, too: where all are faster or slower than expected,
    both are. Guards against speeds that fall to nothing in a queue: with the expected
    wait taken off as it is, a wait that is thought too long by the length of one
    reading shows a reading that takes no time.
    """
    return max(seconds, 0.0) * read / max(wait + read, 1e-6)


def _is_long(pool: _Pool, reading: Reading) -> bool:
    """Return whether a reading takes longer than a first event by the priors."""
    read = GENERATING_SLOWDOWN * dot(pool.read.prior, reading.features)
    return read > dot(pool.first.prior, (1.0, 0.0))


def _learn_factor(pool: _Pool, id: str, ratio: float, now: timedelta) -> None:
    factor = pool.factors.setdefault(id, _Factor(at=now))
    value = _fade(factor, now)
    error = max(min(log(max(ratio, 1e-3)), FACTOR_BOUND), -FACTOR_BOUND)
    weight = FACTOR_WEIGHT if error < 0 else FACTOR_WEIGHT_ABOVE
    value = max(min(value + weight * error, FACTOR_BOUND), -FACTOR_BOUND)
    factor.logarithm, factor.at = value, now
    pool.averaged_at = None


def _average_factors(pool: _Pool, now: timedelta) -> float:
    """Return the mean logarithm of the factors.

    Summed up once for each moment: a placement asks for every engine at the same one,
    and would otherwise go over all engines for each of them.
    """
    if pool.averaged_at != now:
        faded = [_fade(each, now) for each in pool.factors.values()]
        pool.average = sum(faded) / len(faded)
        pool.averaged_at = now
    return pool.average


def _fade(factor: _Factor, now: timedelta) -> float:
    return factor.logarithm * 0.5 ** ((now - factor.at) / FACTOR_HALF_LIFE)
