"""Draws a deployment from the ranges of a site file: gateway settings, customers, clients and services.

Only what affects quotas is drawn: plans, classes, units, customers, clients, the counter and the meter.
"""

from __future__ import annotations

import math
from collections.abc import Iterator
from dataclasses import dataclass, replace
from pathlib import Path
from random import Random

import numpy as np

from coralvale import interface as api
from testbed.quota.customers import DEMAND_STEP_S, Customer, CustomerBuilder
from testbed.quota.draws import RandomStream
from testbed.quota.site import Range, Section, SiteError, read_site
from testbed.quota.units import UNIT_RULES, RequestUnits, draw_units
from testbed.quota.variation import SiteOverrides

FIRST_TRY_RATE = Range(3.2, 6.5)  # first tries within quotas, per second and gateway
CUSTOMERS_PER_GATEWAY = Range(3.2, 4.4)  # as in a large fleet; plan rates are scaled to give this many
MEAN_DEMAND_WITHIN_QUOTA = 0.55  # over the rate
COUNTER_CAPACITY_PER_GATEWAY = Range(
    0.02, 0.034
)  # each gateway adds this share of the site's `counter_per_s`
COUNTER_QUEUE_LIMIT = Range(0.4, 3.0)  # of a shard of the counter, over the counter timeout
METER_PERIOD_S = Range(1.0, 1.0)
METER_DELAY_MS = Range(200.0, 1500.0)
ESTIMATE_SIGMA = Range(0.3, 0.7)  # standard deviation of the logarithm of estimated over true units
RETRY_ELSEWHERE_SHARE = Range(0.0, 0.8)  # of retries, sent to a newly drawn entry gateway
OPEN_LIMIT_FACTOR = Range(1.5, 2.5)  # over the mean outstanding attempts at the plan's rate and idle hosts
MIN_OPEN_LIMIT = 2
COLD_CAPACITY = 0.2  # of a host that has just started; has no effect, as no host starts during a run
CEILING_SLACK = 0.1  # over the burst of the ceiling
SERVICE_TIME_SIGMA = 0.4  # standard deviation of the logarithm of a host's service time
ZONES = 4  # as in a large fleet; the counter is in the first zone
BACKOFFS = ("none", "fixed", "exp")
IMMEDIATE_RETRY_DELAY_S = 0.001  # between a refusal and the retry of a client without backoff


@dataclass(frozen=True, slots=True)
class Arrival:
    """A request of a client, from its first try to its last retry."""

    at: float  # s, when the first try arrives
    customer: Customer
    class_index: int
    true_units: float
    estimated_units: float  # units that the gateway is told; the true ones unless post-paid


@dataclass(frozen=True, slots=True)
class CounterParameters:
    """Parameters of the shared counter. Times in seconds."""

    shards: int
    calls_per_second: float  # of all shards together
    delay: float  # of each reply, in addition to the queue and the service
    queue_limit: float  # longest time in the queue of a shard
    timeout: float  # of a call, at the gateway


@dataclass(frozen=True, slots=True)
class ClientBehaviour:
    """How clients wait and retry."""

    max_retries: int
    retry_after_share: float  # probability that a client honours a Retry-After
    backoff: str  # one of `BACKOFFS`
    backoff_time: float  # s
    min_timeout_share: float  # of the class's timeout, that a client waits at least
    elsewhere_share: float  # probability that a retry goes to a newly drawn entry gateway
    marks_retries: bool

    def retry_delay(self, retry_number: int, retry_after: float, random: Random) -> float | None:
        """Seconds until a client retries after its try `retry_number` was refused, None if it gives up."""
        if retry_number >= self.max_retries:
            return None
        if retry_after and random.random() < self.retry_after_share:
            return retry_after
        if self.backoff == "none":
            return IMMEDIATE_RETRY_DELAY_S
        if self.backoff == "exp":
            return self.backoff_time * 2.0**retry_number
        return self.backoff_time


@dataclass(slots=True)
class Deployment:
    """All parameters of a run; gateways know only their `settings`. Times in seconds."""

    duration: float
    seed: int
    plans: tuple[api.Plan, ...]
    classes: tuple[api.RequestClass, ...]
    class_shares: list[float]  # of all requests
    class_units: list[RequestUnits]
    mean_service_times: list[float]  # on hosts, for each class
    settings: list[api.Settings]
    customers: list[Customer]
    clients: ClientBehaviour
    counter: CounterParameters
    post_paid: bool  # whether responses tell the true units, which replace an estimate
    estimate_sigma: float
    meter_period: float  # 0: there is no meter
    meter_delay: float
    same_zone_delay: float  # one way
    cross_zone_delay: float  # one way

    @property
    def mean_units(self) -> float:
        """Mean true units of a request."""
        return _mean_units(self.class_shares, self.class_units)

    def arrivals(self) -> Iterator[Arrival]:
        """All requests, ordered by customer and not by time."""
        generator = np.random.default_rng(self.seed)
        mean_units = self.mean_units
        for customer in self.customers:
            request_counts = generator.poisson(customer.demand * DEMAND_STEP_S / mean_units)
            for step in np.flatnonzero(request_counts):
                for _ in range(int(request_counts[step])):
                    yield self._arrival(generator, customer, int(step))

    def _arrival(self, generator: np.random.Generator, customer: Customer, step: int) -> Arrival:
        class_index = int(generator.choice(len(self.classes), p=self.class_shares))
        true_units = float(self.class_units[class_index].sample(generator))
        estimated_units = true_units
        if self.post_paid:
            estimate = round(true_units * float(generator.lognormal(0.0, self.estimate_sigma)))
            estimated_units = min(self.settings[0].max_units, max(1.0, float(estimate)))
        at = (step + float(generator.random())) * DEMAND_STEP_S
        return Arrival(at, customer, class_index, true_units, estimated_units)

    def client_timeout(self, class_index: int, random: Random) -> float:
        """Draws the time (s) for which a client waits for the answer to one try."""
        return self.classes[class_index].timeout * random.uniform(self.clients.min_timeout_share, 1.0)

    def service_time(self, class_index: int, random: Random) -> float:
        """Draws the time (s) that a host takes for an attempt."""
        return self.mean_service_times[class_index] * random.lognormvariate(0.0, SERVICE_TIME_SIGMA)

    def counter_round_trip(self, gateway: int) -> float:
        """Network time (s) from a gateway to the counter and back."""
        return 2 * (self.same_zone_delay if self.settings[gateway].zone == 0 else self.cross_zone_delay)


def draw_deployment(
    site_file: Path,
    seed: int,
    gateways: int = 200,
    overrides: SiteOverrides | None = None,
    duration: float = 22.0,
) -> Deployment:
    """Draws the parameters of a run of `duration` seconds; SiteError if the site file is invalid."""
    site = (overrides or SiteOverrides()).apply_to(read_site(site_file))
    try:
        return _DeploymentBuilder(site, seed, gateways, duration).build()
    except api.SettingsError as error:
        raise SiteError(f"{site_file.name}: {error}") from error


class _DeploymentBuilder:
    """Draws the parts of a deployment; later ones depend on earlier ones."""

    def __init__(self, site: Section, seed: int, gateways: int, duration: float) -> None:
        self.site = site
        self.quota_section = site.section("fam")
        self.seed = seed
        self.gateways = gateways
        self.duration = duration
        self._check_plans()
        self._draw_classes()
        self.total_load = RandomStream(seed, "load").uniform(FIRST_TRY_RATE) * gateways * self.mean_units
        self.plans = self._draw_plans()
        self.clients = self._draw_clients()
        self.counter = self._draw_counter()

    def build(self) -> Deployment:
        """The whole deployment."""
        net_stream = RandomStream(self.seed, "net")
        meter_stream = RandomStream(self.seed, "meter")
        meter_period = meter_stream.uniform(self.quota_section.range("meter_s", METER_PERIOD_S))
        has_meter = self.quota_section.flag("meter")
        post_paid = "after" in self.quota_section.options("units", UNIT_RULES)
        customer_builder = CustomerBuilder(
            self.site, self.plans, self.max_units, self.gateways, self.duration
        )
        base_settings = self._base_settings(meter_period if has_meter else 0.0, post_paid)
        return Deployment(
            duration=self.duration,
            seed=self.seed,
            plans=self.plans,
            classes=self.classes,
            class_shares=self.class_shares,
            class_units=self.class_units,
            mean_service_times=self.mean_service_times,
            settings=[replace(base_settings, index=i, zone=i % ZONES) for i in range(self.gateways)],
            customers=customer_builder.customers(self.seed, self.total_load),
            clients=self.clients,
            counter=self.counter,
            post_paid=post_paid,
            estimate_sigma=meter_stream.uniform(self.quota_section.range("guess_cv", ESTIMATE_SIGMA)),
            meter_period=base_settings.meter_period,
            meter_delay=meter_stream.uniform(self.quota_section.range("meter_late_ms", METER_DELAY_MS))
            / 1000,
            same_zone_delay=net_stream.uniform(self.site.section("net").range("same_ms")) / 1000,
            cross_zone_delay=net_stream.uniform(self.site.section("net").range("cross_ms")) / 1000,
        )

    def _check_plans(self) -> None:
        plans = len(self.quota_section.sections("plan"))
        tenants = len(self.site.sections("tenant"))
        if plans != tenants:
            self.quota_section.fail("plan", f"{plans} plans for {tenants} tenants")

    def _draw_classes(self) -> None:
        stream = RandomStream(self.seed, "classes")
        sections = self.site.sections("class")
        shares = [stream.uniform(section.positive_range("share")) for section in sections]
        self.class_shares = [share / sum(shares) for share in shares]
        self.mean_service_times = [
            stream.uniform(section.positive_range("work_ms")) / 1000 for section in sections
        ]
        self.class_units = draw_units(self.site, self.mean_service_times, stream)
        self.mean_units = _mean_units(self.class_shares, self.class_units)
        self.max_units = float(max(units.maximum for units in self.class_units))
        self.classes = tuple(_request_class(section) for section in sections)

    def _draw_plans(self) -> tuple[api.Plan, ...]:
        stream = RandomStream(self.seed, "plans")
        tenants = self.site.sections("tenant")
        sections = self.quota_section.sections("plan")
        rates = self._scaled_rates([stream.uniform(section.positive_range("rate")) for section in sections])
        return tuple(
            self._draw_plan(tenant.text("name"), section, rate, stream)
            for tenant, section, rate in zip(tenants, sections, rates, strict=True)
        )

    def _scaled_rates(self, rates: list[float]) -> list[float]:
        """Scales plan rates (units a second) so that `CUSTOMERS_PER_GATEWAY` customers make up the load."""
        shares = [tenant.positive_range("share").high for tenant in self.site.sections("tenant")]
        plan_loads = [self.total_load * share for share in shares]
        expected_customers = sum(
            plan_load / (MEAN_DEMAND_WITHIN_QUOTA * rate)
            for plan_load, rate in zip(plan_loads, rates, strict=True)
        )
        target_customers = RandomStream(self.seed, "scale").uniform(CUSTOMERS_PER_GATEWAY) * self.gateways
        return [rate * expected_customers / target_customers for rate in rates]

    def _draw_plan(self, name: str, section: Section, rate: float, stream: RandomStream) -> api.Plan:
        (limits,) = section.options("limits", ("rate", "open", "both"), "rate")
        ceiling_factor = stream.uniform(section.range("ceiling", Range(0.0, 0.0)))
        min_burst = (4 if ceiling_factor else 2) * self.max_units
        burst = max(min_burst, rate * stream.uniform(section.range("burst_s")))
        open_limit = 0.0
        if limits != "rate":
            mean_service_time = sum(
                share * service_time
                for share, service_time in zip(self.class_shares, self.mean_service_times, strict=True)
            )
            mean_open_attempts = rate / self.mean_units * mean_service_time
            factor = stream.uniform(section.range("open", OPEN_LIMIT_FACTOR))
            open_limit = float(max(MIN_OPEN_LIMIT, math.ceil(factor * mean_open_attempts)))
        slack_share = self.quota_section.number("slack", CEILING_SLACK)
        return api.Plan(
            name=name,
            rate=0.0 if limits == "open" else rate,
            burst=burst,
            open_limit=open_limit,
            price=section.number("price", 1.0),
            excess_worth=section.number("over_worth", 0.0),
            excess_cost=section.number("over_cost", 0.5),
            ceiling_rate=ceiling_factor * rate,
            ceiling_burst=ceiling_factor * burst,
            ceiling_slack=max(slack_share * ceiling_factor * burst, self.max_units)
            if ceiling_factor
            else 0.0,
        )

    def _draw_clients(self) -> ClientBehaviour:
        stream = RandomStream(self.seed, "clients")
        section = self.site.section("clients")
        return ClientBehaviour(
            max_retries=stream.uniform_int(section.range("retries")),
            retry_after_share=stream.uniform(section.range("honour", Range(0.0, 0.0))),
            backoff=stream.choice(section.options("backoff", BACKOFFS, "fixed")),
            backoff_time=stream.uniform(section.range("backoff_ms")) / 1000,
            min_timeout_share=stream.uniform(section.range("try_share", Range(1.0, 1.0))),
            elsewhere_share=stream.uniform(self.quota_section.range("elsewhere", RETRY_ELSEWHERE_SHARE)),
            marks_retries=section.flag("marks_retry"),
        )

    def _draw_counter(self) -> CounterParameters:
        if not self.quota_section.flag("counter"):
            return CounterParameters(1, 1.0, 0.0, 0.0, 0.0)
        stream = RandomStream(self.seed, "counter")
        timeout = self.quota_section.number("counter_timeout_ms", 50.0) / 1000
        base_calls_per_second = stream.uniform(self.quota_section.positive_range("counter_per_s"))
        capacity_factor = stream.uniform(COUNTER_CAPACITY_PER_GATEWAY) * self.gateways
        return CounterParameters(
            shards=max(1, round(stream.uniform(self.quota_section.range("counter_parts", Range(1.0, 3.0))))),
            calls_per_second=base_calls_per_second * capacity_factor,
            delay=stream.uniform(self.quota_section.range("counter_ms", Range(0.3, 2.0))) / 1000,
            queue_limit=stream.uniform(self.quota_section.range("counter_queue", COUNTER_QUEUE_LIMIT))
            * timeout,
            timeout=timeout,
        )

    def _base_settings(self, meter_period: float, post_paid: bool) -> api.Settings:
        allow_section = self.site.section("allow")
        rules_section = self.site.section("rules")
        may_count = self.quota_section.flag("counter")
        max_retry_after = self.site.section("clients").number("max_retry_after_ms", 0.0) / 1000
        return api.Settings(
            gateways=self.gateways,
            zone=0,
            classes=self.classes,
            plans=self.plans,
            drain_grace=rules_section.number("drain_grace_ms") / 1000,
            cold_capacity=COLD_CAPACITY,
            warm_up_time=0.0,
            overload_multiple=rules_section.number("fall_multiple"),
            overload_window=rules_section.number("fall_ms") / 1000,
            max_attempts=max(1, int(allow_section.number("max_attempts"))),
            may_count=may_count,
            counter_timeout=self.counter.timeout,
            meter_period=meter_period,
            post_paid=post_paid,
            retry_after_allowed=allow_section.flag("retry_after"),
            max_retry_after=max_retry_after,
            max_units=self.max_units,
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
    return sum(share * class_units.mean for share, class_units in zip(shares, units, strict=True))
