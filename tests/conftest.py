"""Expects the tests that KNOWN-RED.txt lists to fail, and prints them with their outcome.

If one passes, the run fails, unless it is listed as flaky.
"""

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
            item.add_marker(pytest.mark.xfail(reason=failure.symptom, strict=not failure.is_flaky))
    whole_suite = config.args == config.getini("testpaths") and not config.getoption("keyword")
    if known and whole_suite:
        raise pytest.UsageError(f"KNOWN-RED.txt: no such test: {', '.join(known)}")


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    stats = terminalreporter.stats
    failed = {report.nodeid for report in stats.get("xfailed", [])}
    passed = {report.nodeid for report in stats.get("xpassed", []) + stats.get("failed", [])}
    for failure in known_failures():
        outcome = "failed" if failure.test in failed else "passed" if failure.test in passed else "not run"
        terminalreporter.write_line(
            f"known red ({failure.issue}), {outcome}: {failure.test}: {failure.symptom}"
        )
        terminalreporter.write_line(f"    {failure.command}")
