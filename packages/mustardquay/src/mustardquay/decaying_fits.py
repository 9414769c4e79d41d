"""Decaying fits: a few coefficients learned from a stream of noisy measurements.

Weighted least squares in information form with exponential forgetting (Haykin,
"Adaptive Filter Theory", recursive least squares) around a ridge prior (Hoerl and
Kennard, 1970). Queues and networks only ever delay an answer, so a measurement above
the estimate weighs less than one below it (expectiles; Newey and Powell, 1987), and one
far above it hardly at all (Huber, 1964). State is a small matrix, whatever came.
"""

from collections.abc import Sequence

__all__ = ["DecayingFit", "dot"]

FORGETTING = 0.98
"""Weight that a measurement keeps with each newer one: some 50 count. At ten answers a
second, engines that become slower are known within a few seconds."""
ABOVE_WEIGHT = 0.3
"""Weight of a measurement above the estimate, against 1 below it. Digests are tens of
milliseconds old, so that about half of the measurements have an unseen wait in them."""
OUTLIER_SHARE = 0.5
"""Part of the estimate by which a measurement may be above it before it weighs less."""
SURPRISES = 6
"""Measurements in a row off in one direction after which what was known before them is
discounted: six in a row by chance are one in sixty."""
SURPRISE_RATIO = 1.6
"""Ratio to the estimate, or its inverse, from which a measurement is a surprise. One
engine's answers vary by a quarter."""
SURPRISE_KEEP = 0.05
"""Weight that older measurements and the prior keep after a row of surprises."""
LEAST_SURENESS = 0.5
"""Sureness above which a measurement may be a surprise: a queue that grows for a second
makes all that wait in it late, and is no change of the engine."""
LEAST_TRUST = 0.002
"""Weight that the prior keeps at least, so that features which always come together
still have one solution."""
LEAST_SCALE = 0.004
"""Seconds below which errors aren't taken as relative: two ways through a network."""


class DecayingFit:
    """Non-negative coefficients of a linear model of a duration in seconds."""

    def __init__(
        self,
        prior: Sequence[float],
        scales: Sequence[float],
        strengths: Sequence[float] | None = None,
    ):
        """Take the coefficients before the first measurement.

        `scales` holds the usual size of each feature, `strengths` how well its prior
        is known: with 1, one measurement at that size counts as much as the prior.
        """
        size = len(prior)
        self._prior = tuple(prior)
        self._scales = tuple(scales)
        self._strengths = tuple(strengths or [1.0] * size)
        self._matrix = [[0.0] * size for _ in range(size)]
        self._vector = [0.0] * size
        self._weight = 0.0
        self._trust = 1.0
        self._run = 0
        self._solved: tuple[float, ...] | None = self._prior

    @property
    def samples(self) -> float:
        """Return the measurements that count, older ones for less."""
        return self._weight

    @property
    def prior(self) -> tuple[float, ...]:
        """Return the coefficients before the first measurement, or as a peer told."""
        return self._prior

    @property
    def coefficients(self) -> tuple[float, ...]:
        """Return the coefficients as they are believed now."""
        if self._solved is None:
            self._solved = self._solve()
        return self._solved

    def set_prior(self, prior: Sequence[float]) -> None:
        """Take other coefficients to start from; they weigh as much as those before."""
        self._prior = tuple(prior)
        self._solved = None

    def restart(self, prior: Sequence[float], trust: float) -> None:
        """Forget the measurements and start from coefficients that weigh `trust`."""
        self._prior = tuple(prior)
        self._trust = trust
        self._run = 0
        self._decay(0.0)
        self._solved = None

    def predict(self, features: Sequence[float]) -> float:
        """Return the expected duration in seconds."""
        return dot(self.coefficients, features)

    def learn(
        self, features: Sequence[float], seconds: float, sureness: float = 1.0
    ) -> None:
        """Take in one measurement, for less if it is unsure."""
        expected = self.predict(features)
        if sureness > LEAST_SURENESS:
            self._note_surprise(expected, seconds)
        is_change = abs(self._run) >= SURPRISES
        weight = sureness * _weigh(expected, seconds, is_change)
        keep = FORGETTING**sureness
        self._decay(keep)
        self._distrust(keep)
        for row, left in enumerate(features):
            for column, right in enumerate(features):
                self._matrix[row][column] += weight * left * right
            self._vector[row] += weight * left * seconds
        self._weight += sureness
        self._solved = None

    def _note_surprise(self, expected: float, seconds: float) -> None:
        scale = max(expected, LEAST_SCALE)
        if seconds > scale * SURPRISE_RATIO:
            self._run = max(self._run, 0) + 1
        elif seconds * SURPRISE_RATIO < scale:
            self._run = min(self._run, 0) - 1
        else:
            self._run = 0
        if self._run and self._run % SURPRISES == 0:
            self._decay(SURPRISE_KEEP)
            self._distrust(SURPRISE_KEEP)

    def _distrust(self, keep: float) -> None:
        """Have the prior weigh less, as it is older than any measurement."""
        self._trust = max(self._trust * keep, LEAST_TRUST)

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
        expected = max(dot(self._prior, self._scales), LEAST_SCALE)
        rows = []
        for index in free:
            strength = self._strengths[index] * self._scales[index] / expected
            ridge = self._trust * strength**2
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
    """Return the weight of a measurement; those of a change are all believed."""
    scale = max(expected, LEAST_SCALE)
    excess = seconds - expected
    if is_change:
        return 1.0 / max(scale, seconds) ** 2
    if excess <= 0:
        return 1.0 / scale**2
    return ABOVE_WEIGHT * min(1.0, OUTLIER_SHARE * scale / excess) / scale**2


def _eliminate(rows: list[list[float]]) -> list[float]:
    """Solve equations by elimination; each row ends with its right side."""
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
