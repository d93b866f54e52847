"""Expects the tests that KNOWN-RED.txt lists to fail, and prints them; if one passes, the run fails."""

from __future__ import annotations

from pathlib import Path

import pytest
from known_red import KnownFailure, MalformedEntry, read_known_failures

KNOWN_RED = Path(__file__).resolve().parent.parent / "KNOWN-RED.txt"


def known_failures() -> list[KnownFailure]:
    """Returns the listed tests; raises UsageError if an entry is malformed."""
    try:
        return read_known_failures(KNOWN_RED)
    except MalformedEntry as error:
        raise pytest.UsageError(str(error)) from None


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    known = {failure.test: failure for failure in known_failures()}
    for item in items:
        if failure := known.pop(item.nodeid, None):
            item.add_marker(pytest.mark.xfail(reason=failure.symptom, strict=True))
    whole_suite = config.args == config.getini("testpaths") and not config.getoption("keyword")
    if known and whole_suite:
        raise pytest.UsageError(f"KNOWN-RED.txt: no such test: {', '.join(known)}")


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    for failure in known_failures():
        terminalreporter.write_line(f"known red ({failure.issue}): {failure.test}: {failure.symptom}")
        terminalreporter.write_line(f"    {failure.command}")
