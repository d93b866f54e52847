"""The kinds of deployments that rules are compared on: all combinations of what quotas depend on."""

from __future__ import annotations

import itertools
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path

from testbed.quota.site import Range
from testbed.quota.variation import CounterKind, SiteOverrides

DEFAULT_SITE = Path(__file__).with_name("default_site.toml")
SMALL_ENTRY_SHARE = Range(0.03, 0.1)  # of all gateways
WIDE_ENTRY_SHARE = Range(0.8, 1.0)
EXCESS_COSTS = (0.5, 1.0, 1.5)


@dataclass(frozen=True, slots=True)
class GridAxes:
    """The values of each dimension that a grid goes through; by default all of them.

    `excess_costs` are times the worth; `wide` says whether sets are the whole fleet or small.
    """

    counters: tuple[CounterKind, ...] = tuple(CounterKind)
    meters: tuple[bool, ...] = (True, False)
    wide_sets: tuple[bool, ...] = (False, True)
    excess_costs: tuple[float, ...] = EXCESS_COSTS
    post_paid: tuple[bool, ...] = (False, True)


@dataclass(frozen=True, slots=True)
class Scenario:
    """One kind of deployment and its name in a report."""

    name: str
    overrides: SiteOverrides


def scenarios(axes: GridAxes) -> Iterator[Scenario]:
    """All combinations of the choices."""
    for counter, meter, wide_sets, excess_cost, post_paid in itertools.product(
        axes.counters, axes.meters, axes.wide_sets, axes.excess_costs, axes.post_paid
    ):
        name = (
            f"counter {counter.value:4}  meter {'on' if meter else 'off':3}  "
            f"sets {'wide' if wide_sets else 'small':5}  excess {excess_cost:.1f}  "
            f"settled {'after' if post_paid else 'before':6}"
        )
        entry_share = WIDE_ENTRY_SHARE if wide_sets else SMALL_ENTRY_SHARE
        yield Scenario(name, SiteOverrides(counter, meter, entry_share, excess_cost, post_paid))
