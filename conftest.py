"""Marks the tests that `KNOWN-RED.txt` lists as expected failures, and prints them.

Listed tests are run like all others. An entry starts with a dash and the test's id:

    - tests/test_paths.py::test_name[parameter]: command, what was seen, issue.
"""

import re
from collections.abc import Sequence
from pathlib import Path

import pytest

__all__ = ["read_known_red"]

KNOWN_RED = "KNOWN-RED.txt"
ENTRY = re.compile(r"^- (?P<test>\S+::\S+?):?(?=\s)", re.MULTILINE)


def read_known_red(text: str) -> list[str]:
    """Return the ids of the listed tests.

    >>> read_known_red("Words.\\n- tests/test_a.py::test_b[1]: seed 1,\\n  seen once.")
    ['tests/test_a.py::test_b[1]']
    """
    return [match["test"] for match in ENTRY.finditer(text)]


def _read_listed(config: pytest.Config) -> list[str]:
    path = Path(config.rootpath, KNOWN_RED)
    return read_known_red(path.read_text()) if path.exists() else []


def _find_stale(listed: Sequence[str], items: Sequence[pytest.Item]) -> list[str]:
    """Return the listed tests that don't exist in the files that were collected."""
    collected = {item.nodeid for item in items}
    files = {id.partition("::")[0] for id in collected}
    return [
        id for id in listed if id.partition("::")[0] in files and id not in collected
    ]


@pytest.hookimpl(tryfirst=True)
def pytest_collection_modifyitems(
    config: pytest.Config, items: list[pytest.Item]
) -> None:
    """Mark the listed tests, and only these, as expected failures.

    Runs before tests are deselected, so that a listed test that was not selected is not
    reported as missing.
    """
    listed = _read_listed(config)
    is_whole = not any("::" in argument for argument in config.args)
    stale = _find_stale(listed, items) if is_whole else []
    if stale:
        raise pytest.UsageError(f"{KNOWN_RED} lists no test: {', '.join(stale)}")
    mark = pytest.mark.xfail(reason=f"listed in {KNOWN_RED}", strict=False)
    for item in items:
        if item.nodeid in listed:
            item.add_marker(mark)


def pytest_terminal_summary(
    terminalreporter: pytest.TerminalReporter, config: pytest.Config
) -> None:
    """Print the result of each listed test."""
    listed = _read_listed(config)
    if not listed:
        return
    ends = {
        report.nodeid: end
        for end in ("xfailed", "xpassed")
        for report in terminalreporter.stats.get(end, [])
    }
    words = {"xfailed": "failed again", "xpassed": "passed this time"}
    terminalreporter.section(f"tests that {KNOWN_RED} lists")
    for id in listed:
        terminalreporter.line(f"{id}: {words.get(ends.get(id, ''), 'not run')}")
