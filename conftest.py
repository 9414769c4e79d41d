"""Lets tests that `KNOWN-RED.txt` lists fail without failing the run, and prints them.

A listed test still runs each time. An entry begins with a dash and the test's id:

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
    """Return the listed tests that don't exist, of the files that were collected."""
    collected = {item.nodeid for item in items}
    files = {id.partition("::")[0] for id in collected}
    return [
        id for id in listed if id.partition("::")[0] in files and id not in collected
    ]


@pytest.hookimpl(tryfirst=True)
def pytest_collection_modifyitems(
    config: pytest.Config, items: list[pytest.Item]
) -> None:
    """Expect failures of the listed tests only.

    Runs before tests are deselected, so that a listed test that isn't asked for does
    not count as one that doesn't exist.
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
    """Print how each listed test ended."""
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
