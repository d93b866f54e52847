"""The command `python -m testbed.quota`: simulates quota enforcement, for a site file or a grid."""

from __future__ import annotations

import itertools
import json
import sys
from collections.abc import Generator
from dataclasses import asdict, dataclass, replace
from pathlib import Path

import click

from testbed.quota.grid import DEFAULT_SITE, EXCESS_COSTS, GridAxes, Scenario, scenarios
from testbed.quota.plays import RunSpec, mean_figures, simulate_all
from testbed.quota.report import RunFigures
from testbed.quota.site import Range, SiteError
from testbed.quota.variation import CounterKind, SiteOverrides

DEFAULT_PROCESSES = 3
ON_OFF = click.Choice(["on", "off"])
COUNTER_KINDS = click.Choice([kind.value for kind in CounterKind])


@dataclass(frozen=True, slots=True)
class RunResult:
    """Figures of a finished run, as written to the JSON file."""

    kind: str  # name of the scenario
    seed: int
    figures: RunFigures


class InputError(click.ClickException):
    """An argument or a file is invalid; ends the command with one line and exit code 2."""

    exit_code = 2


@click.group()
def main() -> None:
    """Simulates the quota enforcement of a fleet of gateways with the real decision module."""


@main.command("play")
@click.argument("site", type=click.Path(path_type=Path))
@click.option("--seed", type=click.IntRange(0), default=1, show_default=True, help="Seed of the first run.")
@click.option("--seeds", type=click.IntRange(1), default=1, show_default=True, help="Number of runs.")
@click.option("--gateways", type=click.IntRange(1), default=200, show_default=True)
@click.option(
    "--seconds", type=click.FloatRange(1.0), default=22.0, show_default=True, help="Simulated time."
)
@click.option("--counter", type=COUNTER_KINDS, help="Overrides the site file.")
@click.option("--meter", type=ON_OFF, help="Overrides the site file.")
@click.option(
    "--sets",
    type=(float, float),
    metavar="LOW HIGH",
    help="Share of the gateways that are a customer's entry gateways.",
)
@click.option(
    "--excess-cost",
    type=click.FloatRange(0.0),
    help="Cost of a request in excess of its quota, over its worth.",
)
@click.option(
    "--settled-after", type=ON_OFF, help="Whether the units of requests are estimates that responses correct."
)
@click.option("--processes", type=click.IntRange(1), default=DEFAULT_PROCESSES, show_default=True)
@click.option("--json", "json_file", type=click.Path(path_type=Path, dir_okay=False, writable=True))
def play_command(
    site: Path,
    seed: int,
    seeds: int,
    gateways: int,
    seconds: float,
    counter: str | None,
    meter: str | None,
    sets: tuple[float, float] | None,
    excess_cost: float | None,
    settled_after: str | None,
    processes: int,
    json_file: Path | None,
) -> None:
    """Simulates runs of the deployment in the file SITE; prints the figures of each run and the means."""
    overrides = SiteOverrides(
        counter=CounterKind(counter) if counter else None,
        meter=_parse_on_off(meter),
        entry_share=_parse_share_range(sets),
        excess_cost=excess_cost,
        post_paid=_parse_on_off(settled_after),
    )
    specs = [RunSpec(site, seed + i, gateways, seconds, overrides) for i in range(seeds)]
    results = _simulate_and_print([(Scenario(site.stem, overrides), specs)], processes)
    _write_json(json_file, results)


@main.command("grid")
@click.option("--site", type=click.Path(path_type=Path), default=DEFAULT_SITE, help="Site file to use.")
@click.option("--draws", type=click.IntRange(1), default=2, show_default=True, help="Runs per scenario.")
@click.option("--seed", type=click.IntRange(0), default=1, show_default=True, help="Seed of the first run.")
@click.option("--gateways", type=click.IntRange(1), default=40, show_default=True)
@click.option("--seconds", type=click.FloatRange(1.0), default=8.0, show_default=True, help="Simulated time.")
@click.option("--counter", "counters", type=COUNTER_KINDS, multiple=True, help="Only these counters.")
@click.option("--meter", type=ON_OFF, help="Only with, or only without, a meter.")
@click.option(
    "--sets", type=click.Choice(["small", "wide"]), help="Only small, or only wide, sets of entry gateways."
)
@click.option(
    "--excess-cost", "costs", type=click.FloatRange(0.0), multiple=True, help="Only these excess costs."
)
@click.option(
    "--settled-after", type=ON_OFF, help="Only with, or only without, units corrected by responses."
)
@click.option("--processes", type=click.IntRange(1), default=DEFAULT_PROCESSES, show_default=True)
@click.option("--json", "json_file", type=click.Path(path_type=Path, dir_okay=False, writable=True))
def grid_command(
    site: Path,
    draws: int,
    seed: int,
    gateways: int,
    seconds: float,
    counters: tuple[str, ...],
    meter: str | None,
    sets: str | None,
    costs: tuple[float, ...],
    settled_after: str | None,
    processes: int,
    json_file: Path | None,
) -> None:
    """Simulates runs of each scenario and prints the means of each scenario."""
    all_axes = GridAxes()
    axes = replace(
        all_axes,
        counters=tuple(CounterKind(name) for name in counters) or all_axes.counters,
        meters=all_axes.meters if meter is None else (meter == "on",),
        wide_sets=all_axes.wide_sets if sets is None else (sets == "wide",),
        excess_costs=costs or EXCESS_COSTS,
        post_paid=all_axes.post_paid if settled_after is None else (settled_after == "on",),
    )
    planned = [
        (scenario, [RunSpec(site, seed + i, gateways, seconds, scenario.overrides) for i in range(draws)])
        for scenario in scenarios(axes)
    ]
    results = _simulate_and_print(planned, processes, print_each_run=False)
    _write_json(json_file, results)


def _simulate_and_print(
    planned: list[tuple[Scenario, list[RunSpec]]], processes: int, print_each_run: bool = True
) -> list[RunResult]:
    """Simulates all runs and prints their figures; an interrupt ends it early and keeps the finished runs."""
    finished: list[RunResult] = []
    total_runs = sum(len(specs) for _, specs in planned)
    results = _run_results(planned, processes)
    try:
        for scenario, specs in planned:
            scenario_results: list[RunResult] = []
            try:
                for result in itertools.islice(results, len(specs)):
                    scenario_results.append(result)
                    if print_each_run:
                        click.echo(f"seed {result.seed:<5} {_figures_line(result.figures)}")
            finally:
                finished += scenario_results
                if scenario_results:
                    name = f"mean of {len(scenario_results)}" if print_each_run else scenario.name
                    click.echo(
                        f"{name:10} {_figures_line(mean_figures(r.figures for r in scenario_results))}"
                    )
    except KeyboardInterrupt:
        click.echo(f"interrupted: {len(finished)} of {total_runs} runs finished", err=True)
    except SiteError as error:
        raise InputError(str(error)) from error
    finally:
        results.close()
    return finished


def _run_results(planned: list[tuple[Scenario, list[RunSpec]]], processes: int) -> Generator[RunResult]:
    specs = [(scenario, spec) for scenario, specs in planned for spec in specs]
    figures = simulate_all((spec for _, spec in specs), processes)
    for (scenario, spec), run_figures in zip(specs, figures, strict=True):
        yield RunResult(scenario.name, spec.seed, run_figures)


def _figures_line(figures: RunFigures) -> str:
    plans = " ".join(f"{share:.3f}" for share in figures.served_by_plan)
    return (
        f"over_quota {figures.over_quota:.4f}  served {figures.served:.3f}  "
        f"refused with room {figures.refused_with_room:.3f}  tries {figures.tries}  "
        f"counter calls {figures.counter_calls} ({figures.counter_unanswered:.3f} unanswered)  "
        f"served by plan {plans}"
    )


def _write_json(json_file: Path | None, results: list[RunResult]) -> None:
    if json_file is None:
        return
    try:
        json_file.write_text(json.dumps([asdict(result) for result in results], indent=1) + "\n")
    except OSError as error:
        raise InputError(f"{json_file}: {error.strerror}") from error


def _parse_on_off(value: str | None) -> bool | None:
    return None if value is None else value == "on"


def _parse_share_range(value: tuple[float, float] | None) -> Range | None:
    if value is None:
        return None
    low, high = value
    if not 0 <= low <= high <= 1:
        raise InputError(f"--sets {low} {high}: LOW and HIGH are shares from 0 to 1, in this order")
    return Range(low, high)


if __name__ == "__main__":
    sys.exit(main())
