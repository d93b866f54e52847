"""Scenarios for comparing quota rules: all combinations of the settings that affect quotas."""

from __future__ import annotations

import itertools
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path

from testbed.quota.site import Range
from testbed.quota.variation import CounterKind, SiteOverrides

DEFAULT_SITE = Path(__file__).with_name("default_site.toml")
SMALL_ENTRY_SHARE = Range(0.03, 0.1)  # share of all gateways that are a customer's entry gateways
WIDE_ENTRY_SHARE = Range(0.8, 1.0)
EXCESS_COSTS = (0.5, 1.0, 1.5)  # of a request in excess of its quota, over its worth


@dataclass(frozen=True, slots=True)
class GridAxes:
    """The values that a grid combines; by default all of them."""

    counters: tuple[CounterKind, ...] = tuple(CounterKind)
    meters: tuple[bool, ...] = (True, False)
    wide_sets: tuple[bool, ...] = (False, True)  # `WIDE_ENTRY_SHARE` or `SMALL_ENTRY_SHARE`
    excess_costs: tuple[float, ...] = EXCESS_COSTS
    post_paid: tuple[bool, ...] = (False, True)  # whether responses correct estimated units


@dataclass(frozen=True, slots=True)
class Scenario:
    """Overrides of a site file and the name under which the results are reported."""

    name: str
    overrides: SiteOverrides


def scenarios(axes: GridAxes) -> Iterator[Scenario]:
    """All combinations of the values on the axes."""
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
