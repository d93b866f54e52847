"""Draws one day of a deployment: settings, customers and their demand, from a site file's ranges.

Only what bears on quotas is drawn: plans, classes, units, customers of four kinds, the counter and the meter.
"""

from __future__ import annotations

import bisect
import itertools
import tomllib
from collections.abc import Iterator, Sequence
from dataclasses import dataclass, replace
from pathlib import Path
from random import Random
from typing import Any

import numpy as np

from coralvale import interface as api

BURST_START = (4.0, 7.0)  # s into the day at which its burst begins
BURST_LENGTH = (4.0, 7.0)  # s of the burst of traffic that every day has
BURST_SIZE = 0.5  # by how much all demand rises in it
TRIES = (4.0, 5.5)  # first tries a second and gateway inside the quotas
TICK = 0.25  # s, the step of a customer's demand over time
FULL_USE = (0.85, 1.0)  # demand of a customer that uses nearly all of its quota, over the quota
FEWEST_GATEWAYS = 2  # of a customer's set
COUNTER_SCALE = 0.024  # by which the counter's parts and calls a second grow with each gateway, at 200 by 4.8
COUNTER_QUEUE = (0.4, 3.0)  # longest line at a part of the counter, in time-outs
HOT_KEY_FACTOR = 1.0  # times the size of the trouble that customers with a hot key add to the load
MAX_UNITS_BY_CLASS = 3  # units of the heaviest class where units go by class


@dataclass(frozen=True, slots=True)
class Arrival:
    """A client's first try: when it comes and what it asks for."""

    at: float
    customer: Customer
    cls: int
    units: float


@dataclass(slots=True, eq=False)
class Customer:
    """One customer: its plan, its set of gateways, and its demand (units a second) in steps of TICK."""

    number: int
    plan: api.Plan
    plan_index: int
    kind: str
    first: int
    spread: int
    demand: np.ndarray
    shifts: list[float]  # when the weights of its gateways change
    weights: list[list[float]]  # cumulative, one list for each stretch between changes


@dataclass(slots=True)
class Day:
    """All that a simulated day needs; gateways are only told what is in `settings`."""

    length: float
    plans: tuple[api.Plan, ...]
    classes: tuple[api.RequestClass, ...]
    class_shares: list[float]
    class_units: list[list[int]]
    settings: list[api.Settings]
    customers: list[Customer]
    settles_after: bool
    guess_spread: float
    meter_period: float
    meter_delay: float
    counter_parts: int
    counter_calls: float
    counter_delay: float
    counter_queue: float
    counter_timeout: float
    retries: float
    honours: float
    backoff: float
    longest_advice: float
    try_share: float
    work: list[float]
    marks_retry: bool
    seed: int

    def arrivals(self) -> Iterator[Arrival]:
        """All first tries, customer by customer; the event loop sorts them."""
        generator = np.random.default_rng(self.seed)
        mean_units = sum(s * sum(u) / len(u) for s, u in zip(self.class_shares, self.class_units, strict=True))
        for customer in self.customers:
            counts = generator.poisson(customer.demand * TICK / mean_units)
            for step in np.flatnonzero(counts):
                for _ in range(int(counts[step])):
                    cls = int(generator.choice(len(self.classes), p=self.class_shares))
                    units = float(generator.choice(self.class_units[cls]))
                    at = (float(step) + float(generator.random())) * TICK
                    yield Arrival(at, customer, cls, units)

    def entry(self, customer: Customer, now: float, random: Random) -> int:
        """The gateway of the customer's set that the front gives a request to."""
        weights = customer.weights[bisect.bisect(customer.shifts, now)]
        place = bisect.bisect(weights, random.random() * weights[-1])
        return (customer.first + min(place, customer.spread - 1)) % len(self.settings)

    def patience(self, cls: int, random: Random) -> float:
        """Seconds that a client waits for one try."""
        return self.classes[cls].give_up * random.uniform(self.try_share, 1.0)

    def guess(self, units: float, random: Random) -> float:
        """The units that a request names: the true ones, or a guess where they are settled afterwards."""
        if not self.settles_after:
            return units
        return float(max(1, round(units * random.lognormvariate(0.0, self.guess_spread))))

    def marks(self, number: int) -> dict[str, Any]:
        """Fields of a request that tell of a retry, where clients mark them and the gateway reads them."""
        if "retried" not in api.Request.__slots__:
            return {}
        return {"retried": self.marks_retry and number > 0}

    def service_time(self, cls: int, random: Random) -> float:
        """Seconds that a host takes for an attempt."""
        return self.work[cls] * random.lognormvariate(0.0, 0.4)

    def retry_wait(self, number: int, advice: float, random: Random) -> float | None:
        """Seconds until a refused client comes again, None if it does not."""
        if random.random() >= self.retries - number:
            return None
        if advice and random.random() < self.honours:
            return advice
        return self.backoff * random.uniform(0.5, 1.5)


@dataclass(frozen=True, slots=True)
class Variation:
    """What a comparison changes about a site's own ranges; None leaves the site's."""

    counter: str | None = None  # "good", "slow" or "none"
    meter: bool | None = None
    spread: tuple[float, float] | None = None
    excess_cost: float | None = None
    settles_after: bool | None = None


class _Draw:
    """Draws values from a site file's ranges."""

    def __init__(self, seed: int) -> None:
        self.random = Random(seed)
        self.most_units = 1.0  # of a request, once the day's units are known

    def value(self, given: Any, default: Any = 0.0) -> float:  # noqa: ANN401
        """A number as it is, or one drawn evenly from a range of two."""
        given = default if given is None else given
        if isinstance(given, Sequence) and not isinstance(given, str):
            return self.random.uniform(float(given[0]), float(given[1]))
        return float(given)


def draw_day(
    site: Path, seed: int, gateways: int = 200, variation: Variation | None = None, length: float = 22.0
) -> Day:
    """Draws a day of the deployment in a site file, for a fleet of the given size."""
    table = _varied(tomllib.loads(site.read_text()), variation or Variation())
    draw = _Draw(seed)
    quota = table["fam"]
    classes = _classes(table)
    shares = [draw.value(c["share"]) for c in table["class"]]
    class_shares = [share / sum(shares) for share in shares]
    work = [draw.value(c["work_ms"]) / 1000 for c in table["class"]]
    class_units = _class_units(quota, work)
    most_units = float(max(max(units) for units in class_units))
    draw.most_units = most_units
    plans = _plans(table, draw, most_units)
    settles = quota["units"] == "after"
    counter_timeout = quota.get("counter_timeout_ms", 30) / 1000
    base = api.Settings(
        gateways=gateways,
        zone=0,
        classes=classes,
        plans=plans,
        drain_grace=2.0,
        cold_share=0.2,
        warm_after=0.0,
        fall_multiple=4.0,
        fall_window=3.0,
        max_attempts=int(table["allow"]["max_attempts"]),
        may_count=bool(quota.get("counter")),
        counter_timeout=counter_timeout if quota.get("counter") else 0.0,
        meter_period=draw.value(quota.get("meter_s"), 0.5) if quota.get("meter") else 0.0,
        settles_after=settles,
        advice=bool(table["allow"]["retry_after"]),
        max_advice=table["clients"].get("max_retry_after_ms", 0) / 1000,
        most_units=most_units,
    )
    mean_units = sum(s * sum(u) / len(u) for s, u in zip(class_shares, class_units, strict=True))
    load = draw.value(TRIES) * gateways * mean_units
    day = Day(
        length=length,
        plans=plans,
        classes=classes,
        class_shares=class_shares,
        class_units=class_units,
        settings=[replace(base, index=i) for i in range(gateways)],
        customers=_customers(table, draw, plans, load, gateways, length),
        settles_after=settles,
        guess_spread=draw.value(quota.get("guess_cv"), 0.0) if settles else 0.0,
        meter_period=base.meter_period,
        meter_delay=draw.value(quota.get("meter_late_ms"), (210, 1400)) / 1000,
        counter_parts=max(1, round(draw.value(quota.get("counter_parts"), 1) * COUNTER_SCALE * gateways)),
        counter_calls=draw.value(quota.get("counter_per_s"), 600.0) * COUNTER_SCALE * gateways,
        counter_delay=(draw.value(quota.get("counter_ms"), 1.0) + 2 * draw.value(table["net"]["cross_ms"])) / 1000,
        counter_queue=draw.value(COUNTER_QUEUE) * counter_timeout,
        counter_timeout=counter_timeout,
        retries=draw.value(table["clients"]["retries"]),
        honours=draw.value(table["clients"]["honour"]),
        backoff=draw.value(table["clients"]["backoff_ms"]) / 1000,
        longest_advice=base.max_advice,
        try_share=draw.value(table["clients"]["try_share"]),
        work=work,
        marks_retry=bool(table["clients"].get("marks_retry")),
        seed=seed,
    )
    return day


def _classes(table: dict[str, Any]) -> tuple[api.RequestClass, ...]:
    return tuple(
        api.RequestClass(
            name=given["name"],
            aim=given["aim_ms"] / 1000,
            give_up=given["deadline_ms"] / 1000,
            worth=float(given["worth"]),
            repeat=api.Repeat.SAFE,
            late_worth=float(given.get("late_worth", 0.0)),
        )
        for given in table["class"]
    )


def _class_units(quota: dict[str, Any], work: list[float]) -> list[list[int]]:
    """The units that requests of each class may have, each as likely."""
    most = int(quota.get("most_units", 6))
    if quota["units"] == "one":
        return [[1] for _ in work]
    if quota["units"] == "class":
        least = min(work)
        return [[min(most, max(1, round(w / least)))] for w in work]
    return [[1, 1, 1, 2, 2, 3, 4, most] for _ in work]


def _plans(table: dict[str, Any], draw: _Draw, most_units: float) -> tuple[api.Plan, ...]:
    plans = []
    for tenant, given in zip(table["tenant"], table["fam"]["plan"], strict=True):
        limits = given.get("limits", "rate")
        rate = draw.value(given["rate"])
        ceiling = draw.value(given.get("ceiling"), 0.0)
        least = (4 if ceiling else 2) * most_units
        burst = max(least, rate * draw.value(given["burst_s"]))
        plans.append(
            api.Plan(
                name=tenant["name"],
                rate=0.0 if limits == "open" else rate,
                burst=burst,
                price=draw.value(given.get("price"), 1.0),
                excess_worth=draw.value(given.get("over_worth"), 0.0),
                excess_cost=draw.value(given.get("over_cost"), 0.5),
                ceiling_rate=ceiling * rate,
                ceiling_burst=ceiling * burst,
                ceiling_slack=max(0.1 * ceiling * burst, most_units) if ceiling else 0.0,
            )
        )
    return tuple(plans)


def _customers(
    table: dict[str, Any],
    draw: _Draw,
    plans: tuple[api.Plan, ...],
    load: float,
    gateways: int,
    length: float,
) -> list[Customer]:
    """Customers of all plans, whose demand inside quotas adds up to the load (units a second)."""
    quota = table["fam"]
    steps = int(length / TICK)
    burst = np.ones(steps)
    start = draw.value(BURST_START)
    burst[int(start / TICK) : int((start + draw.value(BURST_LENGTH)) / TICK)] += BURST_SIZE
    skew = draw.value(quota["skew"])
    kinds = {kind: draw.value(quota[kind]) for kind in ("full", "heavy", "spiky")}
    customers: list[Customer] = []
    for index, (tenant, plan) in enumerate(zip(table["tenant"], plans, strict=True)):
        wanted = load * tenant["share"]
        inside = 0.0
        while inside < wanted:
            kind = _kind(draw.random, kinds)
            use = _use(quota, draw, kind, steps)
            inside += float(np.minimum(use, 1.0).mean()) * plan.rate
            spread = _spread(quota["plan"][index], plan, draw, gateways)
            shifts, weights = _weights(draw, skew, draw.value(quota["shift_s"]), spread, length)
            customers.append(
                Customer(
                    number=draw.random.getrandbits(33),
                    plan=plan,
                    plan_index=index,
                    kind=kind,
                    first=draw.random.randrange(gateways),
                    spread=spread,
                    demand=use * plan.rate * burst,
                    shifts=shifts,
                    weights=weights,
                )
            )
    _add_hot_key(table, draw, customers, load, steps)
    return customers


def _kind(random: Random, kinds: dict[str, float]) -> str:
    lot = random.random()
    for kind, share in kinds.items():
        lot -= share
        if lot < 0:
            return kind
    return "calm"


def _use(quota: dict[str, Any], draw: _Draw, kind: str, steps: int) -> np.ndarray:
    """A customer's demand over its rate, for each step of the day."""
    wobble = draw.value(quota.get("wobble"), (0.1, 0.35))
    times = np.arange(steps) * TICK
    wave = 1 + wobble * np.sin(2 * np.pi * (times / draw.random.uniform(8, 30) + draw.random.random()))
    if kind == "full":
        return draw.value(FULL_USE) * wave
    if kind == "heavy":
        return draw.value(quota["heavy_x"]) * wave
    use = draw.value(quota["calm_use"]) * wave
    if kind == "spiky":
        peak, every = draw.value(quota["spike_x"]), draw.value(quota["spike_every_s"])
        at = draw.random.uniform(0, every)
        while at < steps * TICK:
            use[int(at / TICK) : int((at + draw.value(quota["spike_s"])) / TICK) + 1] = peak
            at += every * draw.random.uniform(0.7, 1.3)
    return use


def _spread(given: dict[str, Any], plan: api.Plan, draw: _Draw, gateways: int) -> int:
    spread = round(draw.value(given.get("spread"), (0.3, 1.0)) * gateways)
    if plan.ceiling_burst:
        spread = min(spread, int(plan.ceiling_burst / (2 * draw.most_units)))
    return max(FEWEST_GATEWAYS, min(gateways, spread))


def _weights(
    draw: _Draw, skew: float, shift: float, spread: int, length: float
) -> tuple[list[float], list[list[float]]]:
    """When the weights of a customer's gateways change, and the weights (cumulative) of each stretch."""
    shifts = list(np.arange(draw.random.uniform(0, shift), length, shift))
    weights = []
    for _ in range(len(shifts) + 1):
        ranks = list(range(1, spread + 1))
        draw.random.shuffle(ranks)
        weights.append(list(itertools.accumulate(rank**-skew for rank in ranks)))
    return shifts, weights


def _add_hot_key(
    table: dict[str, Any], draw: _Draw, customers: list[Customer], load: float, steps: int
) -> None:
    """Where the site knows the trouble, up to three customers ask for much more for a while."""
    troubles = [t for t in table.get("trouble", []) if t["name"] == "hot_key"]
    if not troubles:
        return
    count = draw.random.randint(1, 3)
    extra = HOT_KEY_FACTOR * draw.value(troubles[0]["size"]) * load / count
    start = int(draw.random.uniform(0, 0.5) * steps)
    end = start + int(draw.value(troubles[0]["len_s"]) / TICK)
    for customer in draw.random.sample(customers, count):
        customer.demand[start:end] += extra


def _varied(table: dict[str, Any], variation: Variation) -> dict[str, Any]:
    """The site's table with what the comparison changes."""
    quota = dict(table["fam"])
    if variation.counter is not None:
        quota["counter"] = variation.counter != "none"
        if quota["counter"] and "counter_per_s" not in quota:
            quota |= {"counter_timeout_ms": 30, "counter_parts": (1, 3)}
        if variation.counter == "good":
            quota |= {"counter_per_s": (600, 820), "counter_ms": (0.35, 1.7)}
        elif variation.counter == "slow":
            quota |= {"counter_per_s": (220, 320), "counter_ms": (3, 6)}
    if variation.meter is not None:
        quota["meter"] = variation.meter
        quota.setdefault("meter_s", 0.5)
        quota.setdefault("meter_late_ms", (210, 1400))
    if variation.settles_after is not None and variation.settles_after != (quota["units"] == "after"):
        quota["units"] = "after" if variation.settles_after else "size"
        quota.setdefault("guess_cv", (0.3, 0.7))
    plans = [dict(p) for p in quota["plan"]]
    for plan in plans:
        if variation.spread is not None:
            plan["spread"] = variation.spread
        if variation.excess_cost is not None:
            plan["over_cost"] = variation.excess_cost
    quota["plan"] = plans
    return {**table, "fam": quota}
