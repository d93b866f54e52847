"""Lets CI pass over the tests that KNOWN-RED.txt lists and prints them; one that passes fails the run."""

from __future__ import annotations

from pathlib import Path

import pytest
from known_red import KnownFailure, MalformedEntry, read_known_failures

KNOWN_RED = Path(__file__).resolve().parent.parent / "KNOWN-RED.txt"


def known_failures() -> list[KnownFailure]:
    """The listed tests; raises UsageError where an entry is malformed."""
    try:
        return read_known_failures(KNOWN_RED)
    except MalformedEntry as error:
        raise pytest.UsageError(str(error)) from None


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    known = {failure.test: failure for failure in known_failures()}
    for item in items:
        if failure := known.pop(item.nodeid, None):
            item.add_marker(pytest.mark.xfail(reason=failure.seen, strict=True))
    whole_suite = config.args == config.getini("testpaths") and not config.getoption("keyword")
    if known and whole_suite:
        raise pytest.UsageError(f"KNOWN-RED.txt: no such test: {', '.join(known)}")


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    for failure in known_failures():
        terminalreporter.write_line(f"known red ({failure.issue}): {failure.test}: {failure.seen}")
        terminalreporter.write_line(f"    {failure.command}")
