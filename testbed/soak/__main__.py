"""The command `python -m testbed.soak`: plays runs by their seeds and tells of each violation."""

from __future__ import annotations

import signal
import subprocess
import sys
from pathlib import Path

import click

from testbed.soak.gateways import ROOT, deploy_command
from testbed.soak.series import RunResult, run_all

MAX_JOBS = 8  # runs at a time: each is four processes
BUILD_TIMEOUT_S = 300.0  # s
MAX_PRINTED_VIOLATIONS = 10  # violations of a run that are printed
EXIT_FAILED, EXIT_WRONG_OPTION, EXIT_INTERRUPTED = 1, 2, 128 + signal.SIGINT  # exit codes


class BuildError(click.ClickException):
    """The gateway could not be built."""


def build() -> None:
    """Runs the deploy file's `build`; raises BuildError."""
    command = ["sh", "-c", deploy_command("build")]
    try:
        subprocess.run(command, cwd=ROOT, check=True, timeout=BUILD_TIMEOUT_S, capture_output=True)
    except (subprocess.CalledProcessError, subprocess.TimeoutExpired) as error:
        raise BuildError(f"cannot build the gateway: {error}") from None


def print_result(result: RunResult, seconds: float, records: Path) -> None:
    """Prints a run: its figures, or its violations and the command that plays it again."""
    figures = f"{result.requests} requests, {result.answers} answers, {result.starts} starts"
    click.echo(f"seed {result.seed}: {figures}, {result.seconds:.1f} s, {len(result.violations)} violations")
    for violation in result.violations[:MAX_PRINTED_VIOLATIONS]:
        click.echo(f"    {violation}")
    if result.failure:
        click.echo(f"    not played: {result.failure}")
    if not result.passed:
        click.echo(f"    again: python -m testbed.soak --seeds 1 --first {result.seed} --seconds {seconds:g}")
        click.echo(f"    record and logs: {records / str(result.seed)}")


@click.command()
@click.option("--seeds", type=click.IntRange(1), default=1, show_default=True, help="Runs to play.")
@click.option("--first", type=click.IntRange(0), default=1, show_default=True, help="Seed of the first.")
@click.option(
    "--seconds", type=click.FloatRange(2.0, 600.0), default=8.0, show_default=True, help="Clients send."
)
@click.option("--jobs", type=click.IntRange(1, MAX_JOBS), default=2, show_default=True, help="At a time.")
@click.option(
    "--records",
    type=click.Path(path_type=Path, file_okay=False),
    default=Path("soak-records"),
    show_default=True,
    help="Folder of the records and logs.",
)
def soak(seeds: int, first: int, seconds: float, jobs: int, records: Path) -> int:
    """Plays real gateways under restarts and troubles drawn from seeds, and checks what both ends saw.

    Exit codes: 0 no violation, 1 some or a run that was not played, 2 a wrong option, 130 interrupted.
    """
    build()
    results: list[RunResult] = []
    try:
        for result in run_all(range(first, first + seeds), seconds, records, jobs):
            results.append(result)
            print_result(result, seconds, records)
    except KeyboardInterrupt:
        click.echo(f"interrupted after {len(results)} of {seeds} runs; records: {records}")
        return EXIT_INTERRUPTED
    failed = sorted(result.seed for result in results if not result.passed)
    requests, starts = sum(r.requests for r in results), sum(r.starts for r in results)
    click.echo(
        f"{len(results)} runs, {requests} requests, {starts} starts, {len(failed)} failed {failed or ''}"
    )
    return EXIT_FAILED if failed else 0


def main() -> int:
    """The command; a wrong option gets one line."""
    try:
        return int(soak.main(prog_name="python -m testbed.soak", standalone_mode=False) or 0)
    except click.ClickException as error:
        click.echo(f"soak: {error.format_message()}", err=True)
        return EXIT_WRONG_OPTION if isinstance(error, click.UsageError) else EXIT_FAILED
    except click.Abort:
        return EXIT_INTERRUPTED


if __name__ == "__main__":
    sys.exit(main())
