"""Decaying fits: linear coefficients learned from a stream of noisy measurements.

Weighted least squares in information form with exponential forgetting (Haykin,
"Adaptive Filter Theory", recursive least squares) around a ridge prior (Hoerl and
Kennard, 1970). Queues and networks only ever delay an answer, so a measurement above
the estimate has less weight than one below it (expectiles; Newey and Powell, 1987), and
one far above it has almost none (Huber, 1964). The state is a small matrix, whatever
the number of measurements.
"""

from collections.abc import Sequence

__all__ = ["DecayingFit", "dot"]

FORGETTING = 0.98
"""Factor by which each new measurement reduces the weight of older ones: about 50
count. At ten answers a second, a slowdown is detected within a few seconds."""
ABOVE_WEIGHT = 0.3
"""Weight of a measurement above the estimate, relative to 1 for one below it. Digests
are tens of milliseconds old, so that about half of the measurements include an unknown
wait."""
OUTLIER_SHARE = 0.5
"""Excess over the estimate, as a fraction of it, from which a measurement loses
weight."""
CHANGE_LENGTH = 6
"""Number of consecutive deviations in the same direction after which older measurements
are discounted: six in a row occur by chance once in sixty."""
DEVIATION_RATIO = 1.6
"""Ratio to the estimate, or its inverse, from which a measurement counts as a
deviation. Answers of one engine vary by a quarter."""
CHANGE_KEEP = 0.05
"""Weight that older measurements and the prior keep after such a series."""
MIN_CONFIDENCE = 0.5
"""Confidence above which a measurement may count as a deviation: a queue that builds up
for a second delays all requests in it without a change of the engine."""
MIN_PRIOR_WEIGHT = 0.002
"""Minimum weight of the prior, so that features which always occur together still have
a unique solution."""
MIN_SCALE = 0.004
"""Seconds below which errors aren't relative to the estimate: two network round
trips."""


class DecayingFit:
    """Non-negative coefficients of a linear model of a duration in seconds."""

    def __init__(
        self,
        prior: Sequence[float],
        scales: Sequence[float],
        strengths: Sequence[float] | None = None,
    ):
        """Start from the coefficients of a prior.

        `scales` holds the typical size of each feature, `strengths` the confidence in
        its prior: at 1, one measurement of that size has the same weight as the prior.
        """
        size = len(prior)
        self._prior = tuple(prior)
        self._scales = tuple(scales)
        self._strengths = tuple(strengths or [1.0] * size)
        self._matrix = [[0.0] * size for _ in range(size)]
        self._vector = [0.0] * size
        self._weight = 0.0
        self._prior_weight = 1.0
        self._deviations = 0
        self._solved: tuple[float, ...] | None = self._prior

    @property
    def samples(self) -> float:
        """Return the effective number of measurements; older ones count less."""
        return self._weight

    @property
    def prior(self) -> tuple[float, ...]:
        """Return the initial coefficients, or those last taken over from a peer."""
        return self._prior

    @property
    def coefficients(self) -> tuple[float, ...]:
        """Return the current estimate of the coefficients."""
        if self._solved is None:
            self._solved = self._solve()
        return self._solved

    def set_prior(self, prior: Sequence[float]) -> None:
        """Replace the prior without changing its weight."""
        self._prior = tuple(prior)
        self._solved = None

    def restart(self, prior: Sequence[float], weight: float) -> None:
        """Discard the measurements and start from a prior with the given weight."""
        self._prior = tuple(prior)
        self._prior_weight = weight
        self._deviations = 0
        self._decay(0.0)
        self._solved = None

    def predict(self, features: Sequence[float]) -> float:
        """Return the expected duration in seconds."""
        return dot(self.coefficients, features)

    def learn(
        self, features: Sequence[float], seconds: float, confidence: float = 1.0
    ) -> None:
        """Add one measurement, weighted by its confidence."""
        expected = self.predict(features)
        if confidence > MIN_CONFIDENCE:
            self._note_deviation(expected, seconds)
        is_change = abs(self._deviations) >= CHANGE_LENGTH
        weight = confidence * _weigh(expected, seconds, is_change)
        keep = FORGETTING**confidence
        self._decay(keep)
        self._discount_prior(keep)
        for row, left in enumerate(features):
            for column, right in enumerate(features):
                self._matrix[row][column] += weight * left * right
            self._vector[row] += weight * left * seconds
        self._weight += confidence
        self._solved = None

    def _note_deviation(self, expected: float, seconds: float) -> None:
        scale = max(expected, MIN_SCALE)
        if seconds > scale * DEVIATION_RATIO:
            self._deviations = max(self._deviations, 0) + 1
        elif seconds * DEVIATION_RATIO < scale:
            self._deviations = min(self._deviations, 0) - 1
        else:
            self._deviations = 0
        if self._deviations and self._deviations % CHANGE_LENGTH == 0:
            self._decay(CHANGE_KEEP)
            self._discount_prior(CHANGE_KEEP)

    def _discount_prior(self, keep: float) -> None:
        """Reduce the weight of the prior, as it is older than any measurement."""
        self._prior_weight = max(self._prior_weight * keep, MIN_PRIOR_WEIGHT)

    def _decay(self, keep: float) -> None:
        for row in self._matrix:
            for column, value in enumerate(row):
                row[column] = value * keep
        self._vector = [value * keep for value in self._vector]
        self._weight *= keep

    def _solve(self) -> tuple[float, ...]:
        """Return the best coefficients; those that would be negative are zero."""
        free = list(range(len(self._prior)))
        while free:
            solution = self._solve_for(free)
            negative = [index for index, value in solution.items() if value < 0]
            if not negative:
                return tuple(solution.get(n, 0.0) for n in range(len(self._prior)))
            free = [index for index in free if index not in negative]
        return self._prior

    def _solve_for(self, free: Sequence[int]) -> dict[int, float]:
        expected = max(dot(self._prior, self._scales), MIN_SCALE)
        rows = []
        for index in free:
            strength = self._strengths[index] * self._scales[index] / expected
            ridge = self._prior_weight * strength**2
            row = [self._matrix[index][other] for other in free]
            row[free.index(index)] += ridge
            rows.append([*row, self._vector[index] + ridge * self._prior[index]])
        return dict(zip(free, _eliminate(rows), strict=True))


def dot(left: Sequence[float], right: Sequence[float]) -> float:
    """Return the sum of the products.

    >>> dot((1, 2), (3, 4))
    11
    """
    return sum(one * other for one, other in zip(left, right, strict=True))


def _weigh(expected: float, seconds: float, is_change: bool) -> float:
    """Return the weight of a measurement; after a change, all have full weight."""
    scale = max(expected, MIN_SCALE)
    excess = seconds - expected
    if is_change:
        return 1.0 / max(scale, seconds) ** 2
    if excess <= 0:
        return 1.0 / scale**2
    return ABOVE_WEIGHT * min(1.0, OUTLIER_SHARE * scale / excess) / scale**2


def _eliminate(rows: list[list[float]]) -> list[float]:
    """Solve linear equations by Gaussian elimination.

    Each row ends with its right side.
    """
    size = len(rows)
    for pivot in range(size):
        best = max(range(pivot, size), key=lambda row: abs(rows[row][pivot]))
        rows[pivot], rows[best] = rows[best], rows[pivot]
        for row in range(pivot + 1, size):
            factor = rows[row][pivot] / rows[pivot][pivot]
            for column in range(pivot, size + 1):
                rows[row][column] -= factor * rows[pivot][column]
    solution = [0.0] * size
    for row in reversed(range(size)):
        known = sum(rows[row][n] * solution[n] for n in range(row + 1, size))
        solution[row] = (rows[row][size] - known) / rows[row][row]
    return solution
