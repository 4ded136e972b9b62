"""Tests that fail for a known fault: KNOWN-RED.txt at the root names them, one line each, three at most.

A line is ``test id: cause, issue``. Such a test must go on failing (strict): one that passes again is an error until
its line is out, and so is a line that names no test. The lines are printed at the end of each run.
"""

from __future__ import annotations

from pathlib import Path

import pytest

MOST = 3
NAME = "KNOWN-RED.txt"
LINES = pytest.StashKey[list[tuple[str, str]]]()


def read(text: str) -> list[tuple[str, str]]:
    """Read the lines as (test id, cause); a line without a cause, a repeated one or one too many is an error."""
    lines = [line for line in text.splitlines() if line.strip()]
    found = [(test.strip(), cause.strip()) for test, _, cause in (line.partition(": ") for line in lines)]
    for test, cause in found:
        if "::" not in test or not cause:
            raise pytest.UsageError(f"{NAME}: {test!r}: a line is 'test id: cause, issue'")
    if len(dict(found)) != len(found) or len(found) > MOST:
        raise pytest.UsageError(f"{NAME}: each test once, and {MOST} lines at most")
    return found


def pytest_configure(config: pytest.Config) -> None:
    """Read the file before anything is collected."""
    path = Path(config.rootpath) / NAME
    config.stash[LINES] = read(path.read_text()) if path.exists() else []


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Mark the tests that are named; a name that is in none of the collected files it claims is an error."""
    known = {item.nodeid: item for item in items}
    files = {nodeid.partition("::")[0] for nodeid in known}
    chosen = bool(config.getoption("keyword") or any("::" in argument for argument in config.args))
    for test, cause in config.stash[LINES]:
        file = test.partition("::")[0]
        missing = not (Path(config.rootpath) / file).exists() or (file in files and not chosen)
        if test in known:
            known[test].add_marker(pytest.mark.xfail(reason=cause, strict=True))
        elif missing:
            raise pytest.UsageError(f"{NAME}: {test}: no such test")


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter, config: pytest.Config) -> None:
    """Print what is known to fail."""
    for test, cause in config.stash[LINES]:
        terminalreporter.write_line(f"known red: {test}: {cause}")
