"""Draws one day of a deployment from a site file's ranges: settings, customers, clients and services.

Only what bears on quotas is drawn: plans, classes, units, customers of four kinds, the counter, the meter.
"""

from __future__ import annotations

import math
from collections.abc import Iterator
from dataclasses import dataclass, replace
from pathlib import Path
from random import Random

import numpy as np

from coralvale import interface as api
from testbed.quota.customers import TICK, Customer, CustomerDraw
from testbed.quota.draws import Draw
from testbed.quota.site import Range, Section, SiteError, read_site
from testbed.quota.units import UNIT_RULES, RequestUnits, draw_units
from testbed.quota.variation import Variation

TRIES = Range(3.2, 6.5)  # first tries a second and gateway inside the quotas
CUSTOMERS = Range(3.2, 4.4)  # for each gateway; all rates of a large fleet are scaled to give so many
INSIDE_USE = 0.55  # mean demand inside the quota, over the rate
CAPACITY_PER_GATEWAY = Range(0.02, 0.034)  # by which the counter's calls a second grow with each gateway
COUNTER_QUEUE = Range(0.4, 3.0)  # longest line at a part of the counter, in time-outs
METER_PERIOD = Range(1.0, 1.0)  # s
METER_DELAY = Range(200.0, 1500.0)  # ms
GUESS_SPREAD = Range(0.3, 0.7)  # sigma of the logarithm of guess over true units
ELSEWHERE = Range(0.0, 0.8)  # share of the retries that another gateway of the set gets
OPEN_FACTOR = Range(1.5, 2.5)  # limit of attempts at once, over what the rate keeps out on idle hosts
LEAST_OPEN = 2
COLD_SHARE = 0.2  # capacity of a host that has just started; no host of the model does
CEILING_SLACK = 0.1  # of the ceiling's burst
SERVICE_SPREAD = 0.4  # sigma of the logarithm of a host's service time
ZONES = 4  # zones of a large fleet; the counter stands in the first
BACKOFFS = ("none", "fixed", "exp")
LEAST_BACKOFF = 0.001  # s from a refusal to the next try where clients do not wait


@dataclass(frozen=True, slots=True)
class Arrival:
    """A client's request: when its first try comes (s) and what it asks for."""

    at: float
    customer: Customer
    cls: int
    units: float  # true units
    named: float  # units that the request names: a guess where they are settled afterwards


@dataclass(frozen=True, slots=True)
class CounterService:
    """The shared counter: parts, calls a second in all, and its times in seconds."""

    parts: int
    calls_per_second: float
    delay: float
    longest_queue: float
    timeout: float


@dataclass(frozen=True, slots=True)
class Clients:
    """How clients behave after a refusal; times in seconds."""

    retries: int
    honours_advice: float
    backoff: str
    backoff_time: float
    try_share: float
    elsewhere: float
    marks_retry: bool

    def retry_wait(self, number: int, advice: float, random: Random) -> float | None:
        """Seconds until a client whose try `number` was refused comes again, None if it does not."""
        if number >= self.retries:
            return None
        if advice and random.random() < self.honours_advice:
            return advice
        if self.backoff == "none":
            return LEAST_BACKOFF
        if self.backoff == "exp":
            return self.backoff_time * 2.0**number
        return self.backoff_time


@dataclass(slots=True)
class Day:
    """All that a simulated day needs; gateways are only told what is in `settings`. Times in seconds."""

    length: float
    seed: int
    plans: tuple[api.Plan, ...]
    classes: tuple[api.RequestClass, ...]
    class_shares: list[float]
    class_units: list[RequestUnits]
    work: list[float]
    settings: list[api.Settings]
    customers: list[Customer]
    clients: Clients
    counter: CounterService
    settles_after: bool
    guess_spread: float
    meter_period: float
    meter_delay: float
    near_trip: float
    far_trip: float

    @property
    def mean_units(self) -> float:
        """Mean true units of a request."""
        return _mean_units(self.class_shares, self.class_units)

    def arrivals(self) -> Iterator[Arrival]:
        """All first tries, customer by customer and not in order of time."""
        generator = np.random.default_rng(self.seed)
        mean_units = self.mean_units
        for customer in self.customers:
            counts = generator.poisson(customer.demand * TICK / mean_units)
            for step in np.flatnonzero(counts):
                for _ in range(int(counts[step])):
                    yield self._arrival(generator, customer, int(step))

    def _arrival(self, generator: np.random.Generator, customer: Customer, step: int) -> Arrival:
        cls = int(generator.choice(len(self.classes), p=self.class_shares))
        units = float(self.class_units[cls].draw(generator))
        named = units
        if self.settles_after:
            guess = round(units * float(generator.lognormal(0.0, self.guess_spread)))
            named = min(self.settings[0].max_units, max(1.0, float(guess)))
        at = (step + float(generator.random())) * TICK
        return Arrival(at, customer, cls, units, named)

    def patience(self, cls: int, random: Random) -> float:
        """Seconds that a client waits for one try."""
        return self.classes[cls].timeout * random.uniform(self.clients.try_share, 1.0)

    def service_time(self, cls: int, random: Random) -> float:
        """Seconds that a host takes for an attempt."""
        return self.work[cls] * random.lognormvariate(0.0, SERVICE_SPREAD)

    def counter_trip(self, gateway: int) -> float:
        """Seconds from a gateway to the counter and back."""
        return 2 * (self.near_trip if self.settings[gateway].zone == 0 else self.far_trip)


def draw_day(
    site_file: Path,
    seed: int,
    gateways: int = 200,
    variation: Variation | None = None,
    length: float = 22.0,
) -> Day:
    """Draws a day of `length` seconds for a fleet of `gateways`; SiteError names a mistake in the file."""
    site = (variation or Variation()).applied(read_site(site_file))
    try:
        return _DayDraw(site, seed, gateways, length).day()
    except api.SettingsError as error:
        raise SiteError(f"{site_file.name}: {error}") from error


class _DayDraw:
    """Draws the parts of a day one after the other."""

    def __init__(self, site: Section, seed: int, gateways: int, length: float) -> None:
        self.site = site
        self.quota = site.section("fam")
        self.seed = seed
        self.gateways = gateways
        self.length = length
        self._check_plans()
        self._draw_classes()
        self.load = Draw(seed, "load").within(TRIES) * gateways * self.mean_units
        self.plans = self._plans()
        self.clients = self._clients()
        self.counter = self._counter()

    def day(self) -> Day:
        """The whole day."""
        net = Draw(self.seed, "net")
        meter = Draw(self.seed, "meter")
        period = meter.within(self.quota.range("meter_s", METER_PERIOD))
        metered = self.quota.flag("meter")
        settles = "after" in self.quota.options("units", UNIT_RULES)
        customer_draw = CustomerDraw(self.site, self.plans, self.most_units, self.gateways, self.length)
        base = self._settings(period if metered else 0.0, settles)
        return Day(
            length=self.length,
            seed=self.seed,
            plans=self.plans,
            classes=self.classes,
            class_shares=self.class_shares,
            class_units=self.class_units,
            work=self.work,
            settings=[replace(base, index=i, zone=i % ZONES) for i in range(self.gateways)],
            customers=customer_draw.customers(self.seed, self.load),
            clients=self.clients,
            counter=self.counter,
            settles_after=settles,
            guess_spread=meter.within(self.quota.range("guess_cv", GUESS_SPREAD)),
            meter_period=base.meter_period,
            meter_delay=meter.within(self.quota.range("meter_late_ms", METER_DELAY)) / 1000,
            near_trip=net.within(self.site.section("net").range("same_ms")) / 1000,
            far_trip=net.within(self.site.section("net").range("cross_ms")) / 1000,
        )

    def _check_plans(self) -> None:
        plans = len(self.quota.sections("plan"))
        tenants = len(self.site.sections("tenant"))
        if plans != tenants:
            self.quota.fail("plan", f"{plans} plans for {tenants} tenants")

    def _draw_classes(self) -> None:
        draw = Draw(self.seed, "classes")
        sections = self.site.sections("class")
        shares = [draw.within(section.positive_range("share")) for section in sections]
        self.class_shares = [share / sum(shares) for share in shares]
        self.work = [draw.within(section.positive_range("work_ms")) / 1000 for section in sections]
        self.class_units = draw_units(self.site, self.work, draw)
        self.mean_units = _mean_units(self.class_shares, self.class_units)
        self.most_units = float(max(units.most for units in self.class_units))
        self.classes = tuple(_request_class(section) for section in sections)

    def _plans(self) -> tuple[api.Plan, ...]:
        draw = Draw(self.seed, "plans")
        tenants = self.site.sections("tenant")
        sections = self.quota.sections("plan")
        rates = self._scaled([draw.within(section.positive_range("rate")) for section in sections])
        return tuple(
            self._plan(tenant.text("name"), section, rate, draw)
            for tenant, section, rate in zip(tenants, sections, rates, strict=True)
        )

    def _scaled(self, rates: list[float]) -> list[float]:
        """Rates (units a second) with which the load comes from as many customers as a large fleet has."""
        shares = [tenant.positive_range("share").high for tenant in self.site.sections("tenant")]
        loads = [self.load * share for share in shares]
        expected = sum(load / (INSIDE_USE * rate) for load, rate in zip(loads, rates, strict=True))
        wanted = Draw(self.seed, "scale").within(CUSTOMERS) * self.gateways
        return [rate * expected / wanted for rate in rates]

    def _plan(self, name: str, section: Section, rate: float, draw: Draw) -> api.Plan:
        (limits,) = section.options("limits", ("rate", "open", "both"), "rate")
        ceiling = draw.within(section.range("ceiling", Range(0.0, 0.0)))
        least = (4 if ceiling else 2) * self.most_units
        burst = max(least, rate * draw.within(section.range("burst_s")))
        open_limit = 0.0
        if limits != "rate":
            work = sum(share * work for share, work in zip(self.class_shares, self.work, strict=True))
            kept_out = rate / self.mean_units * work
            factor = draw.within(section.range("open", OPEN_FACTOR))
            open_limit = float(max(LEAST_OPEN, math.ceil(factor * kept_out)))
        slack = self.quota.number("slack", CEILING_SLACK)
        return api.Plan(
            name=name,
            rate=0.0 if limits == "open" else rate,
            burst=burst,
            open_limit=open_limit,
            price=section.number("price", 1.0),
            excess_worth=section.number("over_worth", 0.0),
            excess_cost=section.number("over_cost", 0.5),
            ceiling_rate=ceiling * rate,
            ceiling_burst=ceiling * burst,
            ceiling_slack=max(slack * ceiling * burst, self.most_units) if ceiling else 0.0,
        )

    def _clients(self) -> Clients:
        draw = Draw(self.seed, "clients")
        section = self.site.section("clients")
        return Clients(
            retries=draw.whole(section.range("retries")),
            honours_advice=draw.within(section.range("honour", Range(0.0, 0.0))),
            backoff=draw.pick(section.options("backoff", BACKOFFS, "fixed")),
            backoff_time=draw.within(section.range("backoff_ms")) / 1000,
            try_share=draw.within(section.range("try_share", Range(1.0, 1.0))),
            elsewhere=draw.within(self.quota.range("elsewhere", ELSEWHERE)),
            marks_retry=section.flag("marks_retry"),
        )

    def _counter(self) -> CounterService:
        if not self.quota.flag("counter"):
            return CounterService(1, 1.0, 0.0, 0.0, 0.0)
        draw = Draw(self.seed, "counter")
        timeout = self.quota.number("counter_timeout_ms", 50.0) / 1000
        calls = draw.within(self.quota.positive_range("counter_per_s"))
        capacity = draw.within(CAPACITY_PER_GATEWAY) * self.gateways
        return CounterService(
            parts=max(1, round(draw.within(self.quota.range("counter_parts", Range(1.0, 3.0))))),
            calls_per_second=calls * capacity,
            delay=draw.within(self.quota.range("counter_ms", Range(0.3, 2.0))) / 1000,
            longest_queue=draw.within(self.quota.range("counter_queue", COUNTER_QUEUE)) * timeout,
            timeout=timeout,
        )

    def _settings(self, meter_period: float, settles: bool) -> api.Settings:
        allowed = self.site.section("allow")
        rules = self.site.section("rules")
        counts = self.quota.flag("counter")
        advice = self.site.section("clients").number("max_retry_after_ms", 0.0) / 1000
        return api.Settings(
            gateways=self.gateways,
            zone=0,
            classes=self.classes,
            plans=self.plans,
            drain_grace=rules.number("drain_grace_ms") / 1000,
            cold_capacity=COLD_SHARE,
            warm_up_time=0.0,
            overload_multiple=rules.number("fall_multiple"),
            overload_window=rules.number("fall_ms") / 1000,
            max_attempts=max(1, int(allowed.number("max_attempts"))),
            may_count=counts,
            counter_timeout=self.counter.timeout,
            meter_period=meter_period,
            post_paid=settles,
            retry_after_allowed=allowed.flag("retry_after"),
            max_retry_after=advice,
            max_units=self.most_units,
        )


def _request_class(section: Section) -> api.RequestClass:
    return api.RequestClass(
        name=section.text("name"),
        latency_target=section.number("aim_ms") / 1000,
        timeout=section.number("deadline_ms") / 1000,
        worth=section.number("worth"),
        idempotency=api.Idempotency.SAFE,
        late_worth=section.number("late_worth", 0.0),
    )


def _mean_units(shares: list[float], units: list[RequestUnits]) -> float:
    return sum(share * of_class.mean for share, of_class in zip(shares, units, strict=True))
