"""Simulates runs of a deployment, several at a time in separate processes."""

from __future__ import annotations

import multiprocessing
import signal
import statistics
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from pathlib import Path

from coralvale import Gateway
from testbed.quota.deployment import draw_deployment
from testbed.quota.report import RunFigures
from testbed.quota.simulation import Simulation
from testbed.quota.variation import SiteOverrides


@dataclass(frozen=True, slots=True)
class RunSpec:
    """One run to simulate, of `duration` seconds."""

    site: Path
    seed: int
    gateways: int
    duration: float
    overrides: SiteOverrides


def simulate(spec: RunSpec) -> RunFigures:
    """Simulates one run with the real decision module; SiteError if the site file is invalid."""
    deployment = draw_deployment(spec.site, spec.seed, spec.gateways, spec.overrides, spec.duration)
    return Simulation(deployment, Gateway, spec.seed).run()


def simulate_all(specs: Iterable[RunSpec], processes: int) -> Iterator[RunFigures]:
    """Simulates runs in parallel and yields their figures in the order of `specs`, as soon as available.

    Ending the iteration early ends the processes.
    """
    if processes == 1:
        yield from map(simulate, specs)
        return
    with multiprocessing.Pool(processes, _ignore_interrupts) as pool:
        yield from pool.imap(simulate, specs)


def mean_figures(runs: Iterable[RunFigures]) -> RunFigures:
    """The mean of each figure over several runs; ValueError if there are none."""
    all_figures = list(runs)
    if not all_figures:
        raise ValueError("no simulation runs to average")
    by_plan = zip(*(figures.served_by_plan for figures in all_figures), strict=True)
    return RunFigures(
        over_quota=statistics.fmean(figures.over_quota for figures in all_figures),
        served=statistics.fmean(figures.served for figures in all_figures),
        refused_with_room=statistics.fmean(figures.refused_with_room for figures in all_figures),
        refused=statistics.fmean(figures.refused for figures in all_figures),
        tries=round(statistics.fmean(figures.tries for figures in all_figures)),
        first_tries=round(statistics.fmean(figures.first_tries for figures in all_figures)),
        counter_calls=round(statistics.fmean(figures.counter_calls for figures in all_figures)),
        counter_unanswered=statistics.fmean(figures.counter_unanswered for figures in all_figures),
        served_by_plan=tuple(statistics.fmean(shares) for shares in by_plan),
    )


def _ignore_interrupts() -> None:
    """Ignores SIGINT in a worker process; the parent handles it."""
    signal.signal(signal.SIGINT, signal.SIG_IGN)
