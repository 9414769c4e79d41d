"""Tests of `conftest.py`: listed tests may fail, all others fail the run."""

import shutil
import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[1]
TESTS = """
import pytest

@pytest.fixture
def broken():
    raise OSError

def test_listed():
    assert False

def test_listed_setup(broken):
    pass

def test_other():
    assert {other}
"""


def run(folder, known_red, other=True):
    shutil.copy(ROOT / "conftest.py", folder)
    (folder / "KNOWN-RED.txt").write_text(known_red)
    (folder / "test_it.py").write_text(TESTS.format(other=other))
    command = [sys.executable, "-m", "pytest", "-p", "no:cacheprovider", "."]
    return subprocess.run(command, cwd=folder, capture_output=True, text=True)


LISTED = "- test_it.py::test_listed: seed 1.\n- test_it.py::test_listed_setup: once.\n"


def test_listed_failures_pass_and_are_printed(tmp_path):
    result = run(tmp_path, LISTED)
    assert result.returncode == pytest.ExitCode.OK, result.stdout
    assert "test_it.py::test_listed: failed again" in result.stdout
    assert "test_it.py::test_listed_setup: failed again" in result.stdout


def test_a_failure_that_is_not_listed_fails_the_run(tmp_path):
    result = run(tmp_path, LISTED, other=False)
    assert result.returncode == pytest.ExitCode.TESTS_FAILED, result.stdout


def test_an_entry_without_a_test_is_an_error(tmp_path):
    result = run(tmp_path, LISTED + "- test_it.py::test_gone: once.\n")
    assert result.returncode == pytest.ExitCode.USAGE_ERROR, result.stdout
    assert "test_it.py::test_gone" in result.stderr + result.stdout
