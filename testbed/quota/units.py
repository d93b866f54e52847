"""Quota units of requests: always one, fixed for each class, or drawn by the work of each request."""

from __future__ import annotations

import math
from dataclasses import dataclass

import numpy as np

from testbed.quota.draws import RandomStream
from testbed.quota.site import Range, Section

DEFAULT_MAX_UNITS = 6.0  # quota units of one request
DEFAULT_WORK_CV = Range(0.6, 1.2)  # coefficient of variation of the work within a class
# One unit each; fixed by the mean work of the class; by the work of the request; the same, but the gateway
# gets an estimate first and the true units with the response.
UNIT_RULES = ("one", "class", "size", "after")
DISTRIBUTIONS = ("lognormal", "exp", "fixed")


@dataclass(frozen=True, slots=True)
class RequestUnits:
    """Distribution of the units of the requests of one class."""

    probabilities: tuple[float, ...]  # of 1, 2, ... units

    @property
    def mean(self) -> float:
        """Mean units of a request."""
        return sum(units * probability for units, probability in enumerate(self.probabilities, start=1))

    @property
    def maximum(self) -> int:
        """The most units that a request of the class can have."""
        return max(units for units, probability in enumerate(self.probabilities, start=1) if probability > 0)

    def sample(self, generator: np.random.Generator) -> int:
        """Draws the units of one request."""
        return 1 + int(np.searchsorted(np.cumsum(self.probabilities)[:-1], generator.random(), side="right"))


def draw_units(site: Section, mean_service_times: list[float], stream: RandomStream) -> list[RequestUnits]:
    """Distribution of the units of each class, given its mean service time (s); SiteError if invalid."""
    quota_section = site.section("fam")
    (unit_rule,) = quota_section.options("units", UNIT_RULES)
    maximum = int(quota_section.number("most_units", DEFAULT_MAX_UNITS))
    if maximum < 1:
        quota_section.fail("most_units", "must be at least 1")
    if unit_rule == "one":
        return [RequestUnits((1.0,)) for _ in mean_service_times]
    means = [service_time / min(mean_service_times) for service_time in mean_service_times]
    if unit_rule == "class":
        return [_constant_units(min(maximum, max(1, round(mean)))) for mean in means]
    return [
        _units_by_work(section, mean, maximum, stream)
        for section, mean in zip(site.sections("class"), means, strict=True)
    ]


def _constant_units(units: int) -> RequestUnits:
    return RequestUnits((0.0,) * (units - 1) + (1.0,))


def _units_by_work(section: Section, mean: float, maximum: int, stream: RandomStream) -> RequestUnits:
    """Units are the work of a request over the mean of the class with the least, rounded and limited."""
    distribution = stream.choice(section.options("dist", DISTRIBUTIONS, "lognormal"))
    cv = stream.uniform(section.range("cv", DEFAULT_WORK_CV))
    below = [_probability_below((units + 0.5) / mean, distribution, cv) for units in range(1, maximum)]
    cumulative = [0.0, *below, 1.0]
    return RequestUnits(tuple(high - low for low, high in zip(cumulative, cumulative[1:], strict=False)))


def _probability_below(work: float, distribution: str, cv: float) -> float:
    """The probability that the work of a request, over the mean of its class, is below `work`."""
    if distribution == "exp":
        return 1.0 - math.exp(-work)
    if distribution == "fixed" or cv == 0:
        return 1.0 if work > 1.0 else 0.0
    log_variance = math.log(1.0 + cv**2)
    z_score = (math.log(work) + log_variance / 2) / math.sqrt(log_variance)
    return 0.5 * (1.0 + math.erf(z_score / math.sqrt(2.0)))
