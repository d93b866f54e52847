"""The kinds of deployments that rules are compared on: all combinations of what quotas depend on."""

from __future__ import annotations

import itertools
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path

from testbed.quota.site import Range
from testbed.quota.variation import CounterKind, Variation

DEFAULT_SITE = Path(__file__).with_name("default_site.toml")
SMALL_SETS = Range(0.03, 0.1)  # of all gateways
WIDE_SETS = Range(0.8, 1.0)
EXCESS_COSTS = (0.5, 1.0, 1.5)


@dataclass(frozen=True, slots=True)
class Choices:
    """The values of each dimension that a grid goes through; by default all of them.

    `excess_costs` are times the worth; `wide` says whether sets are the whole fleet or small.
    """

    counters: tuple[CounterKind, ...] = tuple(CounterKind)
    meters: tuple[bool, ...] = (True, False)
    wide: tuple[bool, ...] = (False, True)
    excess_costs: tuple[float, ...] = EXCESS_COSTS
    settling: tuple[bool, ...] = (False, True)


@dataclass(frozen=True, slots=True)
class Kind:
    """One kind of deployment and its name in a report."""

    name: str
    variation: Variation


def kinds(choices: Choices) -> Iterator[Kind]:
    """All combinations of the choices."""
    for counter, meter, wide, cost, after in itertools.product(
        choices.counters, choices.meters, choices.wide, choices.excess_costs, choices.settling
    ):
        name = (
            f"counter {counter.value:4}  meter {'on' if meter else 'off':3}  "
            f"sets {'wide' if wide else 'small':5}  excess {cost:.1f}  "
            f"settled {'after' if after else 'before':6}"
        )
        sets = WIDE_SETS if wide else SMALL_SETS
        yield Kind(name, Variation(counter, meter, sets, cost, after))
