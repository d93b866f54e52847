"""Plays days of a deployment, several at a time in processes of their own."""

from __future__ import annotations

import multiprocessing
import signal
import statistics
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from pathlib import Path

from coralvale import Gateway
from testbed.quota.deployment import draw_day
from testbed.quota.report import DayFigures
from testbed.quota.simulation import Simulation
from testbed.quota.variation import Variation


@dataclass(frozen=True, slots=True)
class Play:
    """One day to be played, of `length` seconds."""

    site: Path
    seed: int
    gateways: int
    length: float
    variation: Variation


def play(wanted: Play) -> DayFigures:
    """Plays a day with the decision module as it is; SiteError names a mistake in the site file."""
    day = draw_day(wanted.site, wanted.seed, wanted.gateways, wanted.variation, wanted.length)
    return Simulation(day, Gateway, wanted.seed).run()


def play_all(plays: Iterable[Play], processes: int) -> Iterator[DayFigures]:
    """Plays days side by side; figures come in the order of the plays, each as soon as it is known.

    Leaving the iteration early ends the processes.
    """
    if processes == 1:
        yield from map(play, plays)
        return
    with multiprocessing.Pool(processes, _leave_interrupts_to_parent) as pool:
        yield from pool.imap(play, plays)


def mean_figures(days: Iterable[DayFigures]) -> DayFigures:
    """The mean of each figure over several days of one deployment; ValueError if there is none."""
    found = list(days)
    if not found:
        raise ValueError("no day was played")
    by_plan = zip(*(day.served_by_plan for day in found), strict=True)
    return DayFigures(
        over_quota=statistics.fmean(day.over_quota for day in found),
        served=statistics.fmean(day.served for day in found),
        refused_with_room=statistics.fmean(day.refused_with_room for day in found),
        refused=statistics.fmean(day.refused for day in found),
        tries=round(statistics.fmean(day.tries for day in found)),
        first_tries=round(statistics.fmean(day.first_tries for day in found)),
        counter_calls=round(statistics.fmean(day.counter_calls for day in found)),
        counter_unanswered=statistics.fmean(day.counter_unanswered for day in found),
        served_by_plan=tuple(statistics.fmean(shares) for shares in by_plan),
    )


def _leave_interrupts_to_parent() -> None:
    signal.signal(signal.SIGINT, signal.SIG_IGN)
