import pytest

from benchmarks.all import BENCHMARKS


@pytest.mark.parametrize("name", BENCHMARKS)
def test_the_short_benchmark_meets_its_bounds(name):
    assert BENCHMARKS[name](True)
