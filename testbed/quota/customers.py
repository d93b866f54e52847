"""Draws the customers of a day: their plans, sets of gateways and demand over time."""

from __future__ import annotations

import bisect
import itertools
from dataclasses import dataclass
from random import Random

import numpy as np
from numpy.typing import NDArray

from coralvale import interface as api
from testbed.quota.draws import Draw
from testbed.quota.site import Range, Section

Series = NDArray[np.float64]

TICK = 0.25  # s, the step of a customer's demand over time
BURST_START = Range(4.0, 8.0)  # s into the day at which its burst begins
BURST_LENGTH = Range(4.0, 5.5)  # s of the burst of traffic that every day has
BURST_SIZE = Range(0.4, 0.8)  # by how much all demand rises in it
CALM_USE = Range(0.15, 0.5)  # demand of most customers, over the rate
FULL_USE = Range(0.6, 1.0)  # demand of a customer that uses nearly all of its quota, over the rate
FULL_FACTOR = 1.5  # times the site's share of such customers, as counted in plays
SHARES = {"full": Range(0.1, 0.3), "heavy": Range(0.04, 0.12), "spiky": Range(0.1, 0.25)}
HEAVY_USE = Range(1.6, 5.0)  # demand of a customer that asks too much for most of the day, over the rate
HEAVY_PART = Range(0.5, 1.0)  # share of the day for which it does
SPIKE_USE = Range(2.0, 8.0)  # demand in a spike, over the rate
SPIKE_LENGTH = Range(0.5, 5.0)  # s
SPIKE_EVERY = Range(10.0, 25.0)  # s
WOBBLE = Range(0.1, 0.35)  # share by which demand goes up and down over the day
WAVE_LENGTH = Range(8.0, 30.0)  # s of one such wave
SKEW = Range(0.3, 1.5)  # exponent by which the gateways of a set are unlike
SHIFT = Range(5.0, 25.0)  # s after which the weights of a set change
SET_SIZE = Range(0.3, 1.0)  # of a customer's set, over all gateways
FEWEST_GATEWAYS = 2  # of a customer's set
MOST_EXCESS = 0.9  # asked beyond quotas over asked inside, at most
HOT_KEY_FACTOR = 2.5  # times the size of the trouble that customers with a hot key add to the load
HOT_KEY_SIZE = Range(0.03, 0.25)
HOT_KEY_MILDNESS = 0.25  # part of the size's range, from its low end, that a calm day has
HOT_KEY_LENGTH = Range(5.0, 25.0)  # s
HOT_KEY_START = Range(0.0, 0.5)  # share of the day after which a hot key begins
MOST_HOT_KEYS = 3
MOST_HOT_KEY_USE = 15.0  # most that a hot key adds, over the rate; as much as any customer of the plays asked
OWN_TROUBLES = ("hot_key", "flush")  # of which a day has one; the model does not play a flush


@dataclass(slots=True, eq=False)
class Customer:
    """One customer: its plan, its set of gateways, and its demand (units a second) in steps of TICK."""

    number: int
    plan: api.Plan
    plan_index: int
    kind: str
    first: int
    spread: int
    demand: Series
    shifts: list[float]  # times (s) at which the weights of its gateways change
    weights: list[list[float]]  # cumulative, one list for each stretch between changes

    def gateway(self, now: float, random: Random, gateways: int) -> int:
        """The gateway of the customer's set that the front gives a first try to."""
        weights = self.weights[bisect.bisect(self.shifts, now)]
        place = bisect.bisect(weights, random.random() * weights[-1])
        return (self.first + min(place, self.spread - 1)) % gateways


class CustomerDraw:
    """Draws customers until what they ask inside their quotas makes up the load."""

    def __init__(
        self, site: Section, plans: tuple[api.Plan, ...], most_units: float, gateways: int, length: float
    ) -> None:
        self.site = site
        self.quota = site.section("fam")
        self.plans = plans
        self.most_units = most_units
        self.gateways = gateways
        self.length = length
        self.steps = int(length / TICK)

    def customers(self, seed: int, load: float) -> list[Customer]:
        """Customers of all plans whose demand inside quotas adds up to the load (units a second)."""
        draw = Draw(seed, "customers")
        skew = draw.within(self.quota.range("skew", SKEW))
        shares = {kind: draw.within(self.quota.range(kind, usual)) for kind, usual in SHARES.items()}
        shares["full"] *= FULL_FACTOR
        burst = self._burst(draw)
        found: list[Customer] = []
        for index, tenant in enumerate(self.site.sections("tenant")):
            wanted = load * tenant.positive_range("share").high
            while wanted > 0:
                kind = _kind(draw.random, shares)
                use = self._use(draw, kind)
                customer = self._customer(seed, draw, index, kind, use, skew)
                wanted -= float(np.minimum(use, 1.0).mean()) * _base_rate(customer.plan)
                found.append(customer)
        self._limit_excess(found)
        for customer in found:
            customer.demand = customer.demand * burst
        self._add_hot_keys(Draw(seed, "hot key"), found, load)
        return found

    def _customer(self, seed: int, draw: Draw, index: int, kind: str, use: Series, skew: float) -> Customer:
        plan = self.plans[index]
        number = draw.random.getrandbits(33)
        own = Draw(seed, f"set of {number}")
        spread = self._spread(own, index)
        shifts, weights = self._weights(own, skew, spread)
        return Customer(
            number=number,
            plan=plan,
            plan_index=index,
            kind=kind,
            first=own.random.randrange(self.gateways),
            spread=spread,
            demand=use * _base_rate(plan),
            shifts=shifts,
            weights=weights,
        )

    def _burst(self, draw: Draw) -> Series:
        """What all demand is multiplied by at each step."""
        factors = np.ones(self.steps)
        start = draw.within(BURST_START)
        end = start + draw.within(BURST_LENGTH)
        factors[int(start / TICK) : int(end / TICK)] += draw.within(BURST_SIZE)
        return factors

    def _use(self, draw: Draw, kind: str) -> Series:
        """A customer's demand over its rate, for each step of the day."""
        quota = self.quota
        times = np.arange(self.steps) * TICK
        wobble = draw.within(quota.range("wobble", WOBBLE))
        turns = times / draw.within(WAVE_LENGTH) + draw.random.random()
        wave: Series = 1.0 + wobble * np.sin(2 * np.pi * turns)
        if kind == "full":
            return draw.within(FULL_USE) * wave
        use = draw.within(quota.range("calm_use", CALM_USE)) * wave
        if kind == "spiky":
            self._add_spikes(draw, use)
        if kind == "heavy":
            self._add_heavy_part(draw, use, wave)
        return use

    def _add_heavy_part(self, draw: Draw, use: Series, wave: Series) -> None:
        size = int(draw.within(HEAVY_PART) * self.steps)
        start = draw.random.randint(0, self.steps - size)
        part = slice(start, start + size)
        use[part] = draw.within(self.quota.range("heavy_x", HEAVY_USE)) * wave[part]

    def _add_spikes(self, draw: Draw, use: Series) -> None:
        peak = draw.within(self.quota.range("spike_x", SPIKE_USE))
        every = draw.within(self.quota.range("spike_every_s", SPIKE_EVERY))
        at = draw.random.uniform(0, every)
        while at < self.length:
            end = at + draw.within(self.quota.range("spike_s", SPIKE_LENGTH))
            use[int(at / TICK) : int(end / TICK) + 1] = peak
            at += max(TICK, every * draw.random.uniform(0.7, 1.3))

    def _spread(self, draw: Draw, index: int) -> int:
        """The size of a customer's set; under a ceiling no gateway's part may be too small."""
        plan = self.plans[index]
        bounds = self.quota.sections("plan")[index].range("spread", SET_SIZE)
        spread = round(draw.within(bounds) * self.gateways)
        if plan.ceiling_burst:
            spread = min(spread, int(plan.ceiling_burst / (2 * self.most_units)))
        return max(min(FEWEST_GATEWAYS, self.gateways), min(self.gateways, spread))

    def _weights(self, draw: Draw, skew: float, spread: int) -> tuple[list[float], list[list[float]]]:
        """Times at which the weights of a set change, and the cumulative weights of each stretch."""
        every = max(TICK, draw.within(self.quota.range("shift_s", SHIFT)))
        shifts = list(np.arange(draw.random.uniform(0, every), self.length, every))
        weights = []
        for _ in range(len(shifts) + 1):
            ranks = list(range(1, spread + 1))
            draw.random.shuffle(ranks)
            weights.append(list(itertools.accumulate(rank**-skew for rank in ranks)))
        return shifts, weights

    def _limit_excess(self, customers: list[Customer]) -> None:
        """Shrinks what is asked beyond quotas where it passes the site's bound."""
        inside = beyond = 0.0
        for customer in customers:
            rate = _base_rate(customer.plan)
            kept = np.minimum(customer.demand, rate)
            inside += float(kept.sum())
            beyond += float((customer.demand - kept).sum())
        most = self.quota.number("most_excess", MOST_EXCESS) * inside
        if beyond <= most:
            return
        for customer in customers:
            kept = np.minimum(customer.demand, _base_rate(customer.plan))
            customer.demand = kept + (customer.demand - kept) * (most / beyond)

    def _add_hot_keys(self, draw: Draw, customers: list[Customer], load: float) -> None:
        """Where the day's own trouble is a hot key, up to three customers ask for much more for a while."""
        if "trouble" not in self.site.entries:
            return
        troubles = [t for t in self.site.sections("trouble") if t.text("name") in OWN_TROUBLES]
        if troubles and (trouble := draw.random.choice(troubles)).text("name") == "hot_key":
            self._add_hot_key(draw, trouble, customers, load)

    def _add_hot_key(self, draw: Draw, trouble: Section, customers: list[Customer], load: float) -> None:
        count = draw.random.randint(1, MOST_HOT_KEYS)
        sizes = trouble.range("size", HOT_KEY_SIZE)
        size = draw.within(Range(sizes.low, sizes.low + HOT_KEY_MILDNESS * (sizes.high - sizes.low)))
        share = HOT_KEY_FACTOR * size * load / count
        start = draw.within(HOT_KEY_START) * self.length
        end = start + draw.within(trouble.range("len_s", HOT_KEY_LENGTH))
        by_demand = [float(customer.demand.sum()) for customer in customers]
        for customer in draw.random.choices(customers, by_demand, k=count):
            extra = min(share, MOST_HOT_KEY_USE * _base_rate(customer.plan))
            customer.demand[int(start / TICK) : int(end / TICK)] += extra


def _kind(random: Random, shares: dict[str, float]) -> str:
    lot = random.random()
    for kind, share in shares.items():
        lot -= share
        if lot < 0:
            return kind
    return "calm"


def _base_rate(plan: api.Plan) -> float:
    """Units a second that a customer's demand goes by; for a plan without a rate, its burst."""
    return plan.rate or plan.burst
