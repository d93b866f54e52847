"""The command `python -m testbed.quota`: plays days of a deployment, or a grid of deployments."""

from __future__ import annotations

import itertools
import json
import sys
from collections.abc import Generator
from dataclasses import asdict, dataclass, replace
from pathlib import Path

import click

from testbed.quota.grid import DEFAULT_SITE, EXCESS_COSTS, Choices, Kind, kinds
from testbed.quota.plays import Play, mean_figures, play_all
from testbed.quota.report import DayFigures
from testbed.quota.site import Range, SiteError
from testbed.quota.variation import CounterKind, Variation

DEFAULT_PROCESSES = 3
ON_OFF = click.Choice(["on", "off"])
COUNTERS = click.Choice([kind.value for kind in CounterKind])


@dataclass(frozen=True, slots=True)
class PlayedDay:
    """A day that was played to its end."""

    kind: str
    seed: int
    figures: DayFigures


class InputError(click.ClickException):
    """Something given to the command makes no sense; told in one line, with exit code 2."""

    exit_code = 2


@click.group()
def main() -> None:
    """Plays the quotas of a fleet of gateways in simulated time, with the real decision module."""


@main.command("play")
@click.argument("site", type=click.Path(path_type=Path))
@click.option("--seed", type=click.IntRange(0), default=1, show_default=True, help="Seed of the first day.")
@click.option("--seeds", type=click.IntRange(1), default=1, show_default=True, help="Days to play.")
@click.option("--gateways", type=click.IntRange(1), default=200, show_default=True)
@click.option("--seconds", type=click.FloatRange(1.0), default=22.0, show_default=True, help="Of a day.")
@click.option("--counter", type=COUNTERS, help="In place of the site's own.")
@click.option("--meter", type=ON_OFF, help="In place of the site's own.")
@click.option("--sets", type=(float, float), metavar="LOW HIGH", help="Set sizes, as shares of the gateways.")
@click.option("--excess-cost", type=click.FloatRange(0.0), help="Cost beyond quotas, times the worth.")
@click.option("--settled-after", type=ON_OFF, help="Whether requests name guesses of their units.")
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
    """Plays days of the deployment in the file SITE and prints a line for each, then the means."""
    variation = Variation(
        counter=CounterKind(counter) if counter else None,
        meter=_as_flag(meter),
        sets=_set_sizes(sets),
        excess_cost=excess_cost,
        settles_after=_as_flag(settled_after),
    )
    plays = [Play(site, seed + i, gateways, seconds, variation) for i in range(seeds)]
    days = _play_and_print([(Kind(site.stem, variation), plays)], processes)
    _write_json(json_file, days)


@main.command("grid")
@click.option(
    "--site", type=click.Path(path_type=Path), default=DEFAULT_SITE, help="A site file of one's own."
)
@click.option("--draws", type=click.IntRange(1), default=2, show_default=True, help="Days of each kind.")
@click.option("--seed", type=click.IntRange(0), default=1, show_default=True, help="Seed of the first day.")
@click.option("--gateways", type=click.IntRange(1), default=40, show_default=True)
@click.option("--seconds", type=click.FloatRange(1.0), default=8.0, show_default=True, help="Of a day.")
@click.option("--counter", "counters", type=COUNTERS, multiple=True, help="Only these kinds.")
@click.option("--meter", type=ON_OFF, help="Only with or only without.")
@click.option("--sets", type=click.Choice(["small", "wide"]), help="Only these sizes.")
@click.option("--excess-cost", "costs", type=click.FloatRange(0.0), multiple=True, help="Only these costs.")
@click.option("--settled-after", type=ON_OFF, help="Only settled afterwards, or only before.")
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
    """Plays days of each kind of deployment and prints the means of each kind."""
    every = Choices()
    choices = replace(
        every,
        counters=tuple(CounterKind(name) for name in counters) or every.counters,
        meters=every.meters if meter is None else (meter == "on",),
        wide=every.wide if sets is None else (sets == "wide",),
        excess_costs=costs or EXCESS_COSTS,
        settling=every.settling if settled_after is None else (settled_after == "on",),
    )
    wanted = [
        (kind, [Play(site, seed + i, gateways, seconds, kind.variation) for i in range(draws)])
        for kind in kinds(choices)
    ]
    days = _play_and_print(wanted, processes, each_day=False)
    _write_json(json_file, days)


def _play_and_print(
    wanted: list[tuple[Kind, list[Play]]], processes: int, each_day: bool = True
) -> list[PlayedDay]:
    """Plays all days; an interrupt ends it early and keeps what was played."""
    played: list[PlayedDay] = []
    total = sum(len(plays) for _, plays in wanted)
    days = _named_days(wanted, processes)
    try:
        for kind, plays in wanted:
            of_kind: list[PlayedDay] = []
            try:
                for day in itertools.islice(days, len(plays)):
                    of_kind.append(day)
                    if each_day:
                        click.echo(f"seed {day.seed:<5} {_line(day.figures)}")
            finally:
                played += of_kind
                if of_kind:
                    name = f"mean of {len(of_kind)}" if each_day else kind.name
                    click.echo(f"{name:10} {_line(mean_figures(day.figures for day in of_kind))}")
    except KeyboardInterrupt:
        click.echo(f"interrupted: {len(played)} of {total} days played", err=True)
    except SiteError as error:
        raise InputError(str(error)) from error
    finally:
        days.close()
    return played


def _named_days(wanted: list[tuple[Kind, list[Play]]], processes: int) -> Generator[PlayedDay]:
    plays = [(kind, play) for kind, plays in wanted for play in plays]
    figures = play_all((play for _, play in plays), processes)
    for (kind, play), of_day in zip(plays, figures, strict=True):
        yield PlayedDay(kind.name, play.seed, of_day)


def _line(figures: DayFigures) -> str:
    plans = " ".join(f"{share:.3f}" for share in figures.served_by_plan)
    return (
        f"over_quota {figures.over_quota:.4f}  served {figures.served:.3f}  "
        f"refused with room {figures.refused_with_room:.3f}  tries {figures.tries}  "
        f"counter calls {figures.counter_calls} ({figures.counter_unanswered:.3f} unanswered)  "
        f"served by plan {plans}"
    )


def _write_json(json_file: Path | None, days: list[PlayedDay]) -> None:
    if json_file is None:
        return
    try:
        json_file.write_text(json.dumps([asdict(day) for day in days], indent=1) + "\n")
    except OSError as error:
        raise InputError(f"{json_file}: {error.strerror}") from error


def _as_flag(given: str | None) -> bool | None:
    return None if given is None else given == "on"


def _set_sizes(given: tuple[float, float] | None) -> Range | None:
    if given is None:
        return None
    low, high = given
    if not 0 <= low <= high <= 1:
        raise InputError(f"--sets {low} {high}: LOW and HIGH are shares from 0 to 1, in this order")
    return Range(low, high)


if __name__ == "__main__":
    sys.exit(main())
