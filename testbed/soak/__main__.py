"""The command `python -m testbed.soak`: plays runs by their seeds and prints their violations."""

from __future__ import annotations

import signal
import subprocess
import sys
from pathlib import Path

import click

from testbed.soak.gateways import ROOT, deploy_command
from testbed.soak.series import RunResult, run_all

MAX_JOBS = 8  # runs in parallel; each has four processes, or nine with a push
BUILD_TIMEOUT_S = 300.0
MAX_PRINTED_VIOLATIONS = 10  # of each run
EXIT_FAILED, EXIT_WRONG_OPTION, EXIT_INTERRUPTED = 1, 2, 128 + signal.SIGINT  # exit codes


class BuildError(click.ClickException):
    """The gateway could not be built."""


def build() -> None:
    """Runs the `build` command of the deploy file; raises BuildError if it fails."""
    command = ["sh", "-c", deploy_command("build")]
    try:
        subprocess.run(command, cwd=ROOT, check=True, timeout=BUILD_TIMEOUT_S, capture_output=True)
    except (subprocess.CalledProcessError, subprocess.TimeoutExpired) as error:
        raise BuildError(f"cannot build the gateway: {error}") from None


def print_result(result: RunResult, seconds: float, records: Path) -> None:
    """Prints a run's figures and, if it failed, its violations and the command that repeats it."""
    figures = f"{result.requests} requests, {result.responses} responses, {result.starts} gateway starts"
    click.echo(f"seed {result.seed}: {figures}, {result.seconds:.1f} s, {len(result.violations)} violations")
    for violation in result.violations[:MAX_PRINTED_VIOLATIONS]:
        click.echo(f"    {violation}")
    if result.failure:
        click.echo(f"    run failed: {result.failure}")
    if not result.passed:
        click.echo(
            f"    repeat with: python -m testbed.soak --seeds 1 --first {result.seed} --seconds {seconds:g}"
        )
        click.echo(f"    record and logs in: {records / str(result.seed)}")


@click.command()
@click.option("--seeds", type=click.IntRange(1), default=1, show_default=True, help="Number of runs.")
@click.option(
    "--first",
    type=click.IntRange(0),
    default=1,
    show_default=True,
    help="Seed of the first run; each further run has the next one.",
)
@click.option(
    "--seconds",
    type=click.FloatRange(2.0, 600.0),
    default=8.0,
    show_default=True,
    help="Time for which clients send in each run.",
)
@click.option(
    "--jobs", type=click.IntRange(1, MAX_JOBS), default=2, show_default=True, help="Runs in parallel."
)
@click.option(
    "--records",
    type=click.Path(path_type=Path, file_okay=False),
    default=Path("soak-records"),
    show_default=True,
    help="Directory for the records and logs.",
)
def soak(seeds: int, first: int, seconds: float, jobs: int, records: Path) -> int:
    """Soak test: runs real gateways under faults drawn from seeds; checks what their clients and hosts saw.

    Exit codes: 0 no violations, 1 violations or a run that failed, 2 wrong option, 130 interrupted.
    """
    build()
    results: list[RunResult] = []
    try:
        for result in run_all(range(first, first + seeds), seconds, records, jobs):
            results.append(result)
            print_result(result, seconds, records)
    except KeyboardInterrupt:
        click.echo(f"interrupted after {len(results)} of {seeds} runs; records in {records}")
        return EXIT_INTERRUPTED
    failed = sorted(result.seed for result in results if not result.passed)
    requests, starts = sum(r.requests for r in results), sum(r.starts for r in results)
    click.echo(
        f"{len(results)} runs, {requests} requests, {starts} gateway starts, "
        f"{len(failed)} failed {failed or ''}"
    )
    return EXIT_FAILED if failed else 0


def main() -> int:
    """Runs the command and returns its exit code; errors are printed as one line."""
    try:
        return int(soak.main(prog_name="python -m testbed.soak", standalone_mode=False) or 0)
    except click.ClickException as error:
        click.echo(f"soak: {error.format_message()}", err=True)
        return EXIT_WRONG_OPTION if isinstance(error, click.UsageError) else EXIT_FAILED
    except click.Abort:
        return EXIT_INTERRUPTED


if __name__ == "__main__":
    sys.exit(main())
