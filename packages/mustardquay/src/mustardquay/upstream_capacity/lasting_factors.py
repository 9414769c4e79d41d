"""Lasting factors: how much longer work takes at one upstream than at the mean.

Designed for services some of whose upstreams are slower for good, while single answers
vary as much as their mean, and each gateway sees few of them.
"""

from dataclasses import dataclass, field
from datetime import timedelta

__all__ = ["MAX_FACTOR", "LastingFactors", "clamp_factor"]

MAX_FACTOR = 8.0
"""Bound of all factors and of their inverse, so that a false report has a bounded
effect."""
MAX_FIRST_SECONDS = 60.0
"""Bound of the first time of a service, which has no mean yet to compare it with."""
MIN_SECONDS = 1e-4
"""Shorter times count as this one: a mean near 0 would bound all further times."""
MAX_OUTLIER = 3.0
"""Bound of the longest mean time of a service, as a multiple of that of the others.
An upstream with false times then at most doubles the mean of the service."""
MAX_SAMPLES = 200.0
"""Answers over which the mean is taken: times that vary as much as their mean give it
to within 7 %."""
MAX_UPDATES = 20
"""Changes of a service's mean until the factors of its upstreams are computed again:
each changes the mean by little."""
UPSTREAMS_PER_UPDATE = 8
"""Upstreams of a service from which the mean is computed once in several changes, so
that a change at a service with hundreds of them takes no longer."""
MAX_ANSWERS = 50
"""Answers that count at once, so that a single false notice has a bounded weight."""
PRIOR_SAMPLES = 8.0
"""Weight of the service's mean in the estimate, in answers: a few long answers by
chance must not make an upstream look slow."""
SAMPLE_HALF_LIFE = timedelta(seconds=30)
"""Half-life of the weight of an upstream without new answers. A slow upstream gets few,
so its recovery would otherwise remain undetected."""


def clamp_factor(factor: float) -> float:
    """Return a factor within the bounds.

    >>> clamp_factor(100.0), clamp_factor(0.0)
    (8.0, 0.125)
    """
    return min(max(factor, 1 / MAX_FACTOR), MAX_FACTOR)


@dataclass(slots=True)
class _Times:
    """The times of the answers of one upstream."""

    service: str
    mean: float
    samples: float
    at: timedelta
    factor: float = 1.0
    """The factor by the service's mean when it had so many `updates`."""
    updates: int = -1


@dataclass(slots=True)
class _Service:
    """The upstreams of a service and the mean of their mean times."""

    upstreams: dict[str, _Times] = field(default_factory=dict)
    mean: float = 0.0
    at: timedelta = timedelta()
    """Time of the newest answer."""
    updates: int = 0
    """Number of changes of the upstreams' times."""
    computed: int = 0
    """Number of changes when the mean was computed."""

    def find_bound(self) -> float:
        """Return the longest time that counts."""
        return MAX_FACTOR * self.mean if self.upstreams else MAX_FIRST_SECONDS

    def update(self) -> None:
        """Count a change; compute the mean if enough of them have come in."""
        self.updates += 1
        interval = min(len(self.upstreams) // UPSTREAMS_PER_UPDATE, MAX_UPDATES)
        if self.updates - self.computed >= interval:
            self.compute_mean()

    def compute_mean(self) -> None:
        """Compute the mean from the times of all upstreams.

        A running sum would keep the rounding errors of very long times for good.
        """
        self.computed = self.updates
        others = [times.mean for times in self.upstreams.values()]
        longest = max(others)
        others.remove(longest)
        rest = sum(others)
        if others:
            longest = min(longest, MAX_OUTLIER * rest / len(others))
        self.mean = (rest + longest) / len(self.upstreams)


@dataclass(slots=True)
class LastingFactors:
    """Mean times of the answers of each upstream, relative to those of its service."""

    _times: dict[str, _Times] = field(default_factory=dict)
    _services: dict[str, _Service] = field(default_factory=dict)

    def note(
        self, id: str, service: str, seconds: float, answers: int, now: timedelta
    ) -> None:
        """Record some answers of an upstream by the sum of their times."""
        mean = seconds / answers
        answers = min(answers, MAX_ANSWERS)
        times = self._times.get(id)
        if times is not None and times.service != service:
            self.forget(id)
            times = None
        total = self._services.setdefault(service, _Service())
        total.at = now
        # Bounds the effect of a false time, also of the first one of an upstream.
        bound = total.find_bound()
        mean = min(max(mean, MIN_SECONDS), bound)
        if times is None:
            times = self._times[id] = _Times(service, mean, 0.0, now)
            total.upstreams[id] = times
            total.compute_mean()
        known = min(_fade(times, now), MAX_SAMPLES - answers)
        times.samples = max(known, 0.0) + answers
        times.mean = min(times.mean, bound)
        times.mean += (mean - times.mean) * min(answers / times.samples, 1.0)
        times.at = now
        times.updates = -1
        total.update()

    def get(self, id: str) -> float:
        """Return how many times as long work takes at an upstream as at the mean.

        1.0 for an upstream without answers.
        """
        times = self._times.get(id)
        if times is None:
            return 1.0
        service = self._services[times.service]
        if times.updates < 0 or service.updates - times.updates >= MAX_UPDATES:
            times.factor = _estimate_factor(times, service)
            times.updates = service.updates
        return times.factor

    def has(self, id: str) -> bool:
        """Return whether answers of an upstream are known."""
        return id in self._times

    def count(self, id: str) -> float:
        """Return the weight of the known answers of an upstream, in answers."""
        times = self._times.get(id)
        return times.samples if times is not None else 0.0

    def forget(self, id: str) -> None:
        """Drop an upstream."""
        times = self._times.pop(id, None)
        if times is None:
            return
        service = self._services[times.service]
        del service.upstreams[id]
        if service.upstreams:
            service.compute_mean()
        else:
            del self._services[times.service]


def _estimate_factor(times: _Times, service: _Service) -> float:
    samples = _fade(times, service.at)
    weight = samples / (samples + PRIOR_SAMPLES)
    return clamp_factor(1.0 + weight * (times.mean / service.mean - 1.0))


def _fade(times: _Times, now: timedelta) -> float:
    """Return the weight of the answers of an upstream at a time."""
    if now <= times.at:
        return times.samples
    return times.samples * 0.5 ** ((now - times.at) / SAMPLE_HALF_LIFE)
