from random import Random

from hypothesis import given, strategies as st

from mustardquay.decaying_fits import DecayingFit


@given(
    st.lists(
        st.tuples(st.floats(0, 1e5), st.floats(0, 1e9), st.floats(0, 1e3)),
        max_size=60,
    )
)
def test_coefficients_stay_finite_and_not_negative(measurements):
    fit = DecayingFit((0.005, 1e-5, 2e-10), (1.0, 4_000.0, 2e7))
    for tokens, pairs, seconds in measurements:
        fit.learn((1.0, tokens, pairs), seconds)
    assert all(0 <= value < 1e9 for value in fit.coefficients)


def test_repeated_measurements_converge():
    """Features that always occur together have no unique solution without a prior."""
    fit = DecayingFit((0.005, 1e-5, 2e-10), (1.0, 4_000.0, 2e7))
    for _ in range(200):
        fit.learn((1.0, 4_000.0, 2e7), 0.3)
    assert abs(fit.predict((1.0, 4_000.0, 2e7)) - 0.3) < 0.02


def test_unknown_waits_hardly_raise_the_estimate():
    random = Random(1)
    fit = DecayingFit((0.005, 1e-5), (1.0, 4_000.0))
    for _ in range(300):
        tokens = random.uniform(500, 8_000)
        wait = random.choice((0.0, 0.0, 0.1))
        fit.learn((1.0, tokens), 0.003 + tokens * 2e-5 + wait)
    assert 0.08 < fit.predict((1.0, 4_000.0)) < 0.115
