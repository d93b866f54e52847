"""Plays several days of a deployment in parallel processes and collects their figures."""

from __future__ import annotations

import statistics
from collections.abc import Iterable
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from pathlib import Path

from coralvale import Gateway
from testbed.quota.deployment import Variation, draw_day
from testbed.quota.simulation import Simulation


@dataclass(frozen=True, slots=True)
class Play:
    """One day to be played."""

    site: Path
    seed: int
    gateways: int
    length: float
    variation: Variation


def play(wanted: Play) -> dict[str, object]:
    """Plays a day with the decision module as it is; returns its figures."""
    day = draw_day(wanted.site, wanted.seed, wanted.gateways, wanted.variation, wanted.length)
    return Simulation(day, Gateway, wanted.seed).run().as_dict()


def play_all(plays: Iterable[Play], processes: int) -> list[dict[str, object]]:
    """Plays days side by side, in the order given."""
    with ProcessPoolExecutor(processes) as pool:
        return list(pool.map(play, plays))


def means(rows: list[dict[str, object]], names: Iterable[str]) -> dict[str, float]:
    """The mean of each named figure over several days."""
    return {name: statistics.fmean(float(str(row[name])) for row in rows) for name in names}
