"""Draws the customers of a day: their plans, sets of gateways and demand over time."""

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

DEMAND_STEP_S = 0.25  # s, the step of a customer's demand over time
SURGE_START_S = Range(4.0, 8.0)  # s into the day at which its burst begins
SURGE_DURATION_S = Range(4.0, 5.5)  # s of the burst of traffic that every day has
SURGE_INCREASE = Range(0.4, 0.8)  # by how much all demand rises in it
CALM_CUSTOMER_DEMAND = Range(0.15, 0.5)  # demand of most customers, over the rate
FULL_CUSTOMER_DEMAND = Range(
    0.6, 1.0
)  # demand of a customer that uses nearly all of its quota, over the rate
FULL_SHARE_FACTOR = 1.5  # times the site's share of such customers, as counted in plays
CUSTOMER_KIND_SHARES = {"full": Range(0.1, 0.3), "heavy": Range(0.04, 0.12), "spiky": Range(0.1, 0.25)}
HEAVY_CUSTOMER_DEMAND = Range(
    1.6, 5.0
)  # demand of a customer that asks too much for most of the day, over the rate
HEAVY_PERIOD_SHARE = Range(0.5, 1.0)  # share of the day for which it does
SPIKE_DEMAND = Range(2.0, 8.0)  # demand in a spike, over the rate
SPIKE_DURATION_S = Range(0.5, 5.0)  # s
SPIKE_INTERVAL_S = Range(10.0, 25.0)  # s
WAVE_AMPLITUDE = Range(0.1, 0.35)  # share by which demand goes up and down over the day
WAVE_PERIOD_S = Range(8.0, 30.0)  # s of one such wave
GATEWAY_WEIGHT_SKEW = Range(0.3, 1.5)  # exponent by which the gateways of a set are unlike
WEIGHT_CHANGE_INTERVAL_S = Range(5.0, 25.0)  # s after which the weights of a set change
ENTRY_GATEWAY_SHARE = Range(0.3, 1.0)  # of a customer's set, over all gateways
MIN_ENTRY_GATEWAYS = 2  # of a customer's set
MAX_EXCESS_RATIO = 0.9  # asked beyond quotas over asked inside, at most
HOT_KEY_LOAD_FACTOR = 2.5  # times the size of the trouble that customers with a hot key add to the load
HOT_KEY_SIZE = Range(0.03, 0.25)
HOT_KEY_SIZE_RANGE_SHARE = 0.25  # part of the size's range, from its low end, that a calm day has
HOT_KEY_DURATION_S = Range(5.0, 25.0)  # s
HOT_KEY_START_SHARE = Range(0.0, 0.5)  # share of the day after which a hot key begins
MAX_HOT_KEYS = 3
MAX_HOT_KEY_DEMAND = (
    15.0  # most that a hot key adds, over the rate; as much as any customer of the plays asked
)
DISTURBANCES = ("hot_key", "flush")  # of which a day has one; the model does not play a flush


@dataclass(slots=True, eq=False)
class Customer:
    """One customer: its plan, its set of gateways, and its demand (units a second) in steps of TICK."""

    number: int
    plan: api.Plan
    plan_index: int
    kind: str
    first_gateway: int
    entry_gateways: int
    demand: TimeSeries
    weight_changes_at: list[float]  # times (s) at which the weights of its gateways change
    cumulative_weights: list[list[float]]  # cumulative, one list for each stretch between changes

    def pick_gateway(self, now: float, random: Random, gateways: int) -> int:
        """The gateway of the customer's set that the front gives a first try to."""
        weights = self.cumulative_weights[bisect.bisect(self.weight_changes_at, now)]
        position = bisect.bisect(weights, random.random() * weights[-1])
        return (self.first_gateway + min(position, self.entry_gateways - 1)) % gateways


class CustomerBuilder:
    """Draws customers until what they ask inside their quotas makes up the load."""

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
        """Customers of all plans whose demand inside quotas adds up to the load (units a second)."""
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
        """What all demand is multiplied by at each step."""
        factors = np.ones(self.steps)
        start = stream.uniform(SURGE_START_S)
        end = start + stream.uniform(SURGE_DURATION_S)
        factors[int(start / DEMAND_STEP_S) : int(end / DEMAND_STEP_S)] += stream.uniform(SURGE_INCREASE)
        return factors

    def _relative_demand(self, stream: RandomStream, kind: str) -> TimeSeries:
        """A customer's demand over its rate, for each step of the day."""
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
        """The size of a customer's set; under a ceiling no gateway's part may be too small."""
        plan = self.plans[plan_index]
        share_range = self.quota_section.sections("plan")[plan_index].range("spread", ENTRY_GATEWAY_SHARE)
        entry_gateways = round(stream.uniform(share_range) * self.gateways)
        if plan.ceiling_burst:
            entry_gateways = min(entry_gateways, int(plan.ceiling_burst / (2 * self.max_units)))
        return max(min(MIN_ENTRY_GATEWAYS, self.gateways), min(self.gateways, entry_gateways))

    def _gateway_weights(
        self, stream: RandomStream, skew: float, entry_gateways: int
    ) -> tuple[list[float], list[list[float]]]:
        """Times at which the weights of a set change, and the cumulative weights of each stretch."""
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
        """Shrinks what is asked beyond quotas where it passes the site's bound."""
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
        """Where the day's own trouble is a hot key, up to three customers ask for much more for a while."""
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
    """Units a second that a customer's demand goes by; for a plan without a rate, its burst."""
    return plan.rate or plan.burst
