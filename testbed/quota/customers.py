"""Draws the customers of a run: their plans, entry gateways and demand over time."""

from __future__ import annotations

import bisect
import itertools
from dataclasses import dataclass
from random import Random

import numpy as np
from numpy.typing import NDArray

from coralvale import interface as api
from testbed.quota.draws import RandomStream
from testbed.quota.site import Range, Section

TimeSeries = NDArray[np.float64]

DEMAND_STEP_S = 0.25  # demand is constant within a step
# A demand is relative to the rate of the customer's plan unless its unit is named.
SURGE_START_S = Range(4.0, 8.0)  # every run has one surge, in which the demand of all customers rises
SURGE_DURATION_S = Range(4.0, 5.5)
SURGE_INCREASE = Range(0.4, 0.8)  # over the demand without the surge
CALM_CUSTOMER_DEMAND = Range(0.15, 0.5)
FULL_CUSTOMER_DEMAND = Range(0.6, 1.0)  # "full" customers use nearly all of their quota
FULL_SHARE_FACTOR = 1.5  # "full" customers in recorded runs, over the share in the site file
CUSTOMER_KIND_SHARES = {"full": Range(0.1, 0.3), "heavy": Range(0.04, 0.12), "spiky": Range(0.1, 0.25)}
HEAVY_CUSTOMER_DEMAND = Range(1.6, 5.0)  # "heavy" customers exceed their quota for most of the run
HEAVY_PERIOD_SHARE = Range(0.5, 1.0)  # of the run, for which the demand of a "heavy" customer is high
SPIKE_DEMAND = Range(2.0, 8.0)  # of a "spiky" customer during a spike
SPIKE_DURATION_S = Range(0.5, 5.0)
SPIKE_INTERVAL_S = Range(10.0, 25.0)
WAVE_AMPLITUDE = Range(0.1, 0.35)  # of the sine wave by which each demand varies, over its mean
WAVE_PERIOD_S = Range(8.0, 30.0)
GATEWAY_WEIGHT_SKEW = Range(0.3, 1.5)  # exponent of the Zipf weights of a customer's entry gateways
WEIGHT_CHANGE_INTERVAL_S = Range(5.0, 25.0)  # after which these weights change
ENTRY_GATEWAY_SHARE = Range(0.3, 1.0)  # of all gateways, that receive requests of a customer
MIN_ENTRY_GATEWAYS = 2
MAX_EXCESS_RATIO = 0.9  # demand in excess of quotas, over demand within them
HOT_KEY_LOAD_FACTOR = 2.5  # extra demand of customers with a hot key, over size x total load
HOT_KEY_SIZE = Range(0.03, 0.25)
HOT_KEY_SIZE_RANGE_SHARE = 0.25  # only sizes in this lowest part of the range are drawn: mild hot keys
HOT_KEY_DURATION_S = Range(5.0, 25.0)
HOT_KEY_START_SHARE = Range(0.0, 0.5)  # of the run, after which the hot keys begin
MAX_HOT_KEYS = 3
MAX_HOT_KEY_DEMAND = 15.0  # limit of what a hot key adds; the highest demand of a customer in recorded runs
DISTURBANCES = ("hot_key", "flush")  # a run has one of them; a flush is not simulated


@dataclass(slots=True, eq=False)
class Customer:
    """One customer.

    Its entry gateways are `entry_gateways` consecutive ones, of which `first_gateway` is the first.
    """

    number: int  # identifies the customer
    plan: api.Plan
    plan_index: int
    kind: str
    first_gateway: int
    entry_gateways: int
    demand: TimeSeries  # units a second, for each step of `DEMAND_STEP_S`
    weight_changes_at: list[float]  # s, when the weights of its entry gateways change
    cumulative_weights: list[list[float]]  # one list for each interval between changes

    def pick_gateway(self, now: float, random: Random, gateways: int) -> int:
        """Draws the entry gateway to which the load balancer sends a request."""
        weights = self.cumulative_weights[bisect.bisect(self.weight_changes_at, now)]
        position = bisect.bisect(weights, random.random() * weights[-1])
        return (self.first_gateway + min(position, self.entry_gateways - 1)) % gateways


class CustomerBuilder:
    """Draws customers until their demand within quotas adds up to the load."""

    def __init__(
        self, site: Section, plans: tuple[api.Plan, ...], max_units: float, gateways: int, duration: float
    ) -> None:
        self.site = site
        self.quota_section = site.section("fam")
        self.plans = plans
        self.max_units = max_units
        self.gateways = gateways
        self.duration = duration
        self.steps = int(duration / DEMAND_STEP_S)

    def customers(self, seed: int, total_load: float) -> list[Customer]:
        """Customers of all plans whose demand within quotas adds up to `total_load` (units a second)."""
        stream = RandomStream(seed, "customers")
        skew = stream.uniform(self.quota_section.range("skew", GATEWAY_WEIGHT_SKEW))
        shares = {
            kind: stream.uniform(self.quota_section.range(kind, default))
            for kind, default in CUSTOMER_KIND_SHARES.items()
        }
        shares["full"] *= FULL_SHARE_FACTOR
        surge = self._surge_factors(stream)
        customers: list[Customer] = []
        for plan_index, tenant_section in enumerate(self.site.sections("tenant")):
            remaining_load = total_load * tenant_section.positive_range("share").high
            while remaining_load > 0:
                kind = _customer_kind(stream.random, shares)
                relative_demand = self._relative_demand(stream, kind)
                customer = self._customer(seed, stream, plan_index, kind, relative_demand, skew)
                remaining_load -= float(np.minimum(relative_demand, 1.0).mean()) * _reference_rate(
                    customer.plan
                )
                customers.append(customer)
        self._limit_excess(customers)
        for customer in customers:
            customer.demand = customer.demand * surge
        self._add_hot_keys(RandomStream(seed, "hot key"), customers, total_load)
        return customers

    def _customer(
        self,
        seed: int,
        stream: RandomStream,
        plan_index: int,
        kind: str,
        relative_demand: TimeSeries,
        skew: float,
    ) -> Customer:
        plan = self.plans[plan_index]
        number = stream.random.getrandbits(33)
        set_stream = RandomStream(seed, f"set of {number}")
        entry_gateways = self._entry_gateway_count(set_stream, plan_index)
        weight_changes_at, cumulative_weights = self._gateway_weights(set_stream, skew, entry_gateways)
        return Customer(
            number=number,
            plan=plan,
            plan_index=plan_index,
            kind=kind,
            first_gateway=set_stream.random.randrange(self.gateways),
            entry_gateways=entry_gateways,
            demand=relative_demand * _reference_rate(plan),
            weight_changes_at=weight_changes_at,
            cumulative_weights=cumulative_weights,
        )

    def _surge_factors(self, stream: RandomStream) -> TimeSeries:
        """The factor on all demand at each step."""
        factors = np.ones(self.steps)
        start = stream.uniform(SURGE_START_S)
        end = start + stream.uniform(SURGE_DURATION_S)
        factors[int(start / DEMAND_STEP_S) : int(end / DEMAND_STEP_S)] += stream.uniform(SURGE_INCREASE)
        return factors

    def _relative_demand(self, stream: RandomStream, kind: str) -> TimeSeries:
        """A customer's demand over the rate of its plan, for each step of the run."""
        quota_section = self.quota_section
        times = np.arange(self.steps) * DEMAND_STEP_S
        amplitude = stream.uniform(quota_section.range("wobble", WAVE_AMPLITUDE))
        phase = times / stream.uniform(WAVE_PERIOD_S) + stream.random.random()
        wave: TimeSeries = 1.0 + amplitude * np.sin(2 * np.pi * phase)
        if kind == "full":
            return stream.uniform(FULL_CUSTOMER_DEMAND) * wave
        relative_demand = stream.uniform(quota_section.range("calm_use", CALM_CUSTOMER_DEMAND)) * wave
        if kind == "spiky":
            self._add_spikes(stream, relative_demand)
        if kind == "heavy":
            self._add_heavy_period(stream, relative_demand, wave)
        return relative_demand

    def _add_heavy_period(self, stream: RandomStream, relative_demand: TimeSeries, wave: TimeSeries) -> None:
        steps = int(stream.uniform(HEAVY_PERIOD_SHARE) * self.steps)
        start = stream.random.randint(0, self.steps - steps)
        period = slice(start, start + steps)
        relative_demand[period] = (
            stream.uniform(self.quota_section.range("heavy_x", HEAVY_CUSTOMER_DEMAND)) * wave[period]
        )

    def _add_spikes(self, stream: RandomStream, relative_demand: TimeSeries) -> None:
        peak = stream.uniform(self.quota_section.range("spike_x", SPIKE_DEMAND))
        interval = stream.uniform(self.quota_section.range("spike_every_s", SPIKE_INTERVAL_S))
        at = stream.random.uniform(0, interval)
        while at < self.duration:
            end = at + stream.uniform(self.quota_section.range("spike_s", SPIKE_DURATION_S))
            relative_demand[int(at / DEMAND_STEP_S) : int(end / DEMAND_STEP_S) + 1] = peak
            at += max(DEMAND_STEP_S, interval * stream.random.uniform(0.7, 1.3))

    def _entry_gateway_count(self, stream: RandomStream, plan_index: int) -> int:
        """How many entry gateways a customer has; under a ceiling, no gateway's share may be too small."""
        plan = self.plans[plan_index]
        share_range = self.quota_section.sections("plan")[plan_index].range("spread", ENTRY_GATEWAY_SHARE)
        entry_gateways = round(stream.uniform(share_range) * self.gateways)
        if plan.ceiling_burst:
            entry_gateways = min(entry_gateways, int(plan.ceiling_burst / (2 * self.max_units)))
        return max(min(MIN_ENTRY_GATEWAYS, self.gateways), min(self.gateways, entry_gateways))

    def _gateway_weights(
        self, stream: RandomStream, skew: float, entry_gateways: int
    ) -> tuple[list[float], list[list[float]]]:
        """When the weights of the entry gateways change, and the cumulative weights between changes."""
        interval = max(
            DEMAND_STEP_S, stream.uniform(self.quota_section.range("shift_s", WEIGHT_CHANGE_INTERVAL_S))
        )
        weight_changes_at = list(np.arange(stream.random.uniform(0, interval), self.duration, interval))
        cumulative_weights = []
        for _ in range(len(weight_changes_at) + 1):
            ranks = list(range(1, entry_gateways + 1))
            stream.random.shuffle(ranks)
            cumulative_weights.append(list(itertools.accumulate(rank**-skew for rank in ranks)))
        return weight_changes_at, cumulative_weights

    def _limit_excess(self, customers: list[Customer]) -> None:
        """Scales down the demand in excess of quotas to the site's maximum."""
        total_within = total_excess = 0.0
        for customer in customers:
            rate = _reference_rate(customer.plan)
            within = np.minimum(customer.demand, rate)
            total_within += float(within.sum())
            total_excess += float((customer.demand - within).sum())
        max_excess = self.quota_section.number("most_excess", MAX_EXCESS_RATIO) * total_within
        if total_excess <= max_excess:
            return
        for customer in customers:
            within = np.minimum(customer.demand, _reference_rate(customer.plan))
            customer.demand = within + (customer.demand - within) * (max_excess / total_excess)

    def _add_hot_keys(self, stream: RandomStream, customers: list[Customer], total_load: float) -> None:
        """If the run's disturbance is a hot key, adds much demand to a few customers for some time."""
        if "trouble" not in self.site.entries:
            return
        disturbances = [t for t in self.site.sections("trouble") if t.text("name") in DISTURBANCES]
        if disturbances and (disturbance := stream.random.choice(disturbances)).text("name") == "hot_key":
            self._add_hot_key(stream, disturbance, customers, total_load)

    def _add_hot_key(
        self, stream: RandomStream, disturbance: Section, customers: list[Customer], total_load: float
    ) -> None:
        hot_key_count = stream.random.randint(1, MAX_HOT_KEYS)
        sizes = disturbance.range("size", HOT_KEY_SIZE)
        size = stream.uniform(
            Range(sizes.low, sizes.low + HOT_KEY_SIZE_RANGE_SHARE * (sizes.high - sizes.low))
        )
        extra_demand = HOT_KEY_LOAD_FACTOR * size * total_load / hot_key_count
        start = stream.uniform(HOT_KEY_START_SHARE) * self.duration
        end = start + stream.uniform(disturbance.range("len_s", HOT_KEY_DURATION_S))
        total_demands = [float(customer.demand.sum()) for customer in customers]
        for customer in stream.random.choices(customers, total_demands, k=hot_key_count):
            extra = min(extra_demand, MAX_HOT_KEY_DEMAND * _reference_rate(customer.plan))
            customer.demand[int(start / DEMAND_STEP_S) : int(end / DEMAND_STEP_S)] += extra


def _customer_kind(random: Random, shares: dict[str, float]) -> str:
    draw = random.random()
    for kind, share in shares.items():
        draw -= share
        if draw < 0:
            return kind
    return "calm"


def _reference_rate(plan: api.Plan) -> float:
    """Units a second to which demand is relative; the burst for a plan without a rate."""
    return plan.rate or plan.burst
