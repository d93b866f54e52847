"""How many units a request takes: one, by its class, or by its own work."""

from __future__ import annotations

import math
from dataclasses import dataclass

import numpy as np

from testbed.quota.draws import Draw
from testbed.quota.site import Range, Section

MOST_UNITS = 6.0  # of a request, where the site names none
WORK_VARIATION = Range(0.6, 1.2)  # coefficient of variation of a class's work, where the site names none
UNIT_RULES = ("one", "class", "size", "after")
DISTRIBUTIONS = ("lognormal", "exp", "fixed")


@dataclass(frozen=True, slots=True)
class RequestUnits:
    """Chances of 1, 2, ... units of one class of requests."""

    chances: tuple[float, ...]

    @property
    def mean(self) -> float:
        """Mean units of a request."""
        return sum(units * chance for units, chance in enumerate(self.chances, start=1))

    @property
    def most(self) -> int:
        """The most units that a request of the class may have."""
        return max(units for units, chance in enumerate(self.chances, start=1) if chance > 0)

    def draw(self, generator: np.random.Generator) -> int:
        """Units of one request."""
        return 1 + int(np.searchsorted(np.cumsum(self.chances)[:-1], generator.random(), side="right"))


def draw_units(site: Section, work: list[float], draw: Draw) -> list[RequestUnits]:
    """Units of each class, whose mean work (s) is given; SiteError if the site's rule is unknown."""
    quota = site.section("fam")
    (rule,) = quota.options("units", UNIT_RULES)
    most = int(quota.number("most_units", MOST_UNITS))
    if most < 1:
        quota.fail("most_units", "has to be 1 at least")
    if rule == "one":
        return [RequestUnits((1.0,)) for _ in work]
    means = [seconds / min(work) for seconds in work]
    if rule == "class":
        return [_exactly(min(most, max(1, round(mean)))) for mean in means]
    return [
        _by_size(section, mean, most, draw)
        for section, mean in zip(site.sections("class"), means, strict=True)
    ]


def _exactly(units: int) -> RequestUnits:
    return RequestUnits((0.0,) * (units - 1) + (1.0,))


def _by_size(section: Section, mean: float, most: int, draw: Draw) -> RequestUnits:
    """Units go by the request's work over the lightest class's mean, rounded."""
    shape = draw.pick(section.options("dist", DISTRIBUTIONS, "lognormal"))
    variation = draw.within(section.range("cv", WORK_VARIATION))
    below = [_chance_below((units + 0.5) / mean, shape, variation) for units in range(1, most)]
    edges = [0.0, *below, 1.0]
    return RequestUnits(tuple(high - low for low, high in zip(edges, edges[1:], strict=False)))


def _chance_below(work: float, shape: str, variation: float) -> float:
    """The chance that a request's work, over its class's mean, is below a value."""
    if shape == "exp":
        return 1.0 - math.exp(-work)
    if shape == "fixed" or variation == 0:
        return 1.0 if work > 1.0 else 0.0
    spread = math.log(1.0 + variation**2)
    score = (math.log(work) + spread / 2) / math.sqrt(spread)
    return 0.5 * (1.0 + math.erf(score / math.sqrt(2.0)))
