"""The format of the list of known failures, and its effect on a run of pytest."""

from __future__ import annotations

import shutil
import subprocess
import sys
from dataclasses import replace
from pathlib import Path

import pytest
from known_red import KnownFailure, MalformedEntry, read_known_failures

TESTS = Path(__file__).resolve().parent
GOOD = "tests/test_a.py::test_it[1] | pytest tests/test_a.py, seed 3 | it fails | issue 7"


def write_list(path: Path, *lines: str) -> Path:
    path.write_text("\n".join(lines) + "\n")
    return path


def test_an_entry_names_test_command_symptom_and_issue(tmp_path: Path) -> None:
    (failure,) = read_known_failures(write_list(tmp_path / "list", "", GOOD))
    assert failure == KnownFailure(
        "tests/test_a.py::test_it[1]", "pytest tests/test_a.py, seed 3", "it fails", "issue 7"
    )
    (flaky,) = read_known_failures(write_list(tmp_path / "flaky", f"{GOOD} | flaky"))
    assert flaky == replace(failure, is_flaky=True) and not failure.is_flaky
    assert read_known_failures(tmp_path / "missing") == []


@pytest.mark.parametrize(
    "line",
    [
        "tests/test_a.py::test_it | it fails | issue 7",
        "tests/test_a.py::test_it | seed 3 |  | issue 7",
        "test_it | seed 3 | it fails | issue 7",
        "tests/test_a.py::test_it | seed 3 | it fails | some day",
        "tests/test_a.py::test_it | seed 3 | it fails | flaky",
        f"{GOOD} | often",
    ],
)
def test_the_error_for_a_malformed_entry_names_its_line(tmp_path: Path, line: str) -> None:
    with pytest.raises(MalformedEntry, match="KNOWN-RED.txt:2: "):
        read_known_failures(write_list(tmp_path / "list", GOOD, line))


def test_a_test_must_not_be_listed_twice(tmp_path: Path) -> None:
    with pytest.raises(MalformedEntry, match="twice"):
        read_known_failures(write_list(tmp_path / "list", GOOD, GOOD))


def run_pytest(root: Path, body: str, entry: str) -> subprocess.CompletedProcess[str]:
    """Runs pytest on a suite of one test, with a list of one entry."""
    (root / "tests").mkdir()
    for name in ("conftest.py", "known_red.py"):
        shutil.copy(TESTS / name, root / "tests" / name)
    (root / "tests/test_a.py").write_text(f"def test_it():\n    {body}\n")
    (root / "pytest.ini").write_text("[pytest]\ntestpaths = tests\n")
    write_list(root / "KNOWN-RED.txt", entry)
    command = [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider"]
    return subprocess.run(command, cwd=root, capture_output=True, text=True, check=False)


@pytest.mark.parametrize(
    ("body", "entry", "code", "output"),
    [
        (
            "assert False",
            "tests/test_a.py::test_it | seed 3 | it fails | issue 7",
            0,
            "known red (issue 7), failed: tests/test_a.py::test_it",
        ),
        (
            "assert False",
            "tests/test_a.py::test_it | seed 3 | it fails | issue 7 | flaky",
            0,
            "known red (issue 7), failed: tests/test_a.py::test_it",
        ),
        (
            "pass",
            "tests/test_a.py::test_it | seed 3 | it fails | issue 7 | flaky",
            0,
            "known red (issue 7), passed: tests/test_a.py::test_it",
        ),
        ("pass", "tests/test_a.py::test_it | seed 3 | it fails | issue 7", 1, "XPASS(strict)"),
        ("assert False", "tests/test_a.py::test_it | it fails", 4, "KNOWN-RED.txt:1: "),
        ("pass", "tests/test_a.py::test_gone | seed 3 | it fails | issue 7", 4, "no such test"),
    ],
)
def test_a_run_tolerates_listed_failures_and_nothing_else(
    tmp_path: Path, body: str, entry: str, code: int, output: str
) -> None:
    result = run_pytest(tmp_path, body, entry)
    assert result.returncode == code, result.stdout + result.stderr
    assert output in result.stdout + result.stderr
