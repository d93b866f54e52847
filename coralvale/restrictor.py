"""One customer's quota at one gateway, after NICC ND1621: a leaky bucket (a restrictor) and its leak rate.

The gateways that receive a customer's requests are its entry gateways. Each has a bucket for the customer,
here called the local bucket. An admitted request adds its units to the fill, and the fill leaks at the leak
rate. A request is admitted if the fill together with the request's units does not exceed the threshold.

The plan's rate and burst hold for all entry gateways together. So each gateway sets its leak rate, once a
second, to its share of the plan's rate: the share of the customer's metered use that it has admitted, but
never less than an even share. Its threshold is a part of the burst that follows from the leak rate, the
customer's demand and the cost of a wrong admission; see `Restrictor.threshold`.

A customer with WIDE_SET_MIN_GATEWAYS or more entry gateways is said to have a wide set of them.

A ceiling is a second limit, which must not be exceeded whatever the quota allows. Each entry gateway has an
even share of it, kept as a token bucket. For a wide set, a part of the ceiling may be pooled on the shared
counter instead; see coralvale/shared_quota.py.
"""

from __future__ import annotations

import math
from functools import cache

from coralvale import interface as api
from coralvale.shared_bucket import UNDERFLOW_TOLERANCE

USAGE_EWMA_WEIGHT = 0.5  # weight of the newest value in the averages of use; damps single outliers
RATE_UPDATE_INTERVAL_S = 1.0  # interval between updates of the leak rate
RATE_DAMPING = 0.5  # share of the step to the target leak rate made in one update; avoids oscillation
MAX_RATE_GROWTH = 0.5  # share by which the target leak rate of an update may exceed the current one
READING_MAX_AGE_S = 4.0  # age above which a usage reading is stale; twice the meter's usual delay
# Share of the step from the leak rate to its minimum that is made in one update without a fresh reading.
RATE_DECAY_WITHOUT_READINGS = 0.25
# Time constants of the average demand. A customer's requests are some seconds apart at one gateway, and
# further apart for a wide set, whose gateways each see fewer of them.
DEMAND_TIME_CONSTANT_S = 8.0
WIDE_SET_DEMAND_TIME_CONSTANT_S = 20.0
# Estimated demand as a multiple of the plan's rate: up to the first a customer counts as light, from the
# second as heavy.
LIGHT_DEMAND_RATIO, HEAVY_DEMAND_RATIO = 0.4, 1.0
# Net cost at which a wrong admission is as bad as a wrong refusal, as a multiple of a request's worth.
BREAK_EVEN_COST = 1.0
# A customer is undersampled if a request's units are more than this many times an even share of the burst, in
# other words if such a share holds fewer requests than the inverse of this.
UNDERSAMPLED_UNITS_RATIO = 2.0
WIDE_SET_MIN_GATEWAYS = 8  # with so many entry gateways, each sees little of a customer's traffic
MAX_USAGE = 8.0  # highest usage reading, as a multiple of the plan's rate; larger ones say nothing more
POOLED_CEILING_SHARE = 0.4  # pooled share of a wide set's ceiling; the gateways divide the rest evenly
RECENT_USAGE_MAX_AGE_S = 15.0  # age up to which a usage reading still shows whether demand is light
LOCAL_BLOCK_EXTRA_S = 20.0  # time after `shared_blocked_until` in which the local bucket still admits nothing


@cache
def traffic_skew(entries: int) -> float:
    """Expected traffic of a customer at the gateway that a request reaches, as a multiple of an even split.

    A request is more likely to reach a gateway with more of the traffic. How unevenly traffic is split is not
    known; Zipf's law is assumed.
    """
    weights = [1 / rank for rank in range(1, entries + 1)]
    return entries * sum(w * w for w in weights) / sum(weights) ** 2


class Restrictor:
    """One customer's leaky bucket at this gateway, its leak rate, and this gateway's share of the ceiling.

    `entries` is the number of the customer's entry gateways, `born` the time at which this gateway started.
    """

    def __init__(
        self, plan: api.Plan, entries: int, now: float, born: float, may_count: bool = False
    ) -> None:
        self.may_count = may_count  # whether the shared counter may be used
        self.configure(plan, entries)
        self.rate = self.min_rate  # leak rate in units a second
        self.fill, self.drained_at, self.last_request_at = 0.0, now, now  # fill in units, as of drained_at
        # Units admitted since the last rate update; attempts of the customer that are outstanding.
        self.admitted_units, self.open_attempts = 0.0, 0
        # Moving averages for the leak rate: units a second admitted here; the same, delayed about as much as
        # readings of the meter are; and the customer's metered use over all gateways, as a multiple of the
        # plan's rate, which takes in the latest reading, if fresh, at each update of the leak rate.
        self.admitted_rate = self.delayed_admitted_rate = self.usage_for_rate = 0.0
        self.latest_reading, self.usage_at = (
            0.0,
            -math.inf,
        )  # newest reading of the meter, and when it arrived
        self.usage_for_demand = 0.0  # moving average that takes in each reading once, as it arrives
        # Average units a second requested here as of demand_at. Refused requests count, but not those that
        # had expired on arrival.
        self.demand, self.demand_at = 0.0, now
        self.unreported_units = 0.0  # queued for the next shared bucket call; negative: to be taken back
        # Until then the counter is not asked about the shared bucket: until the full bucket has room, longer
        # if the counter is congested, but at most until the counter entry is replaced.
        self.shared_blocked_until = -math.inf
        self.pool_blocked_until = -math.inf  # until then the ceiling's pool is not asked, as it was full
        # Like unreported_units, for the pool, by the name of the counter entry that has the units. An entry
        # that has replaced it must not get them, as it knows nothing of the requests that they are of.
        self.unreported_by_pool_entry: dict[int, float] = {}
        # A restart must not refill the ceiling, so its tokens start at zero when the gateway starts.
        self.ceiling_tokens = min(self.unpooled_ceiling_burst, self.unpooled_ceiling_rate * (now - born))

    def configure(self, plan: api.Plan, entries: int) -> None:
        """Applies the plan and the number of entry gateways that the current request names.

        Called when a request names others than the ones in force, so the next request replaces wrong ones.
        But the caller limits the leak rate to their range, and `drain` the ceiling's tokens to their maximum,
        so these two return to their earlier values only with time.
        """
        self.plan, self.entries = plan, max(1, entries)
        self.min_rate = plan.rate / self.entries
        # Corrects the demand estimated from this gateway's traffic; not applied to a wide set.
        self.traffic_skew = traffic_skew(self.entries) if self.entries < WIDE_SET_MIN_GATEWAYS else 1.0
        self.demand_time_constant = (
            WIDE_SET_DEMAND_TIME_CONSTANT_S
            if self.entries >= WIDE_SET_MIN_GATEWAYS
            else DEMAND_TIME_CONSTANT_S
        )
        share = POOLED_CEILING_SHARE if self.may_count and self.entries >= WIDE_SET_MIN_GATEWAYS else 0.0
        self.unpooled_ceiling_rate, self.unpooled_ceiling_burst = (
            (1 - share) * plan.ceiling_rate,
            (1 - share) * plan.ceiling_burst,
        )
        # Rate and burst of the pool; the rate is 0 if there is none. The pool's fill may be negative by
        # UNDERFLOW_TOLERANCE of its burst before it is corrected, so the burst is lower by as much.
        self.pool_limits = share * plan.ceiling_rate, share * plan.ceiling_burst / (1 + UNDERFLOW_TOLERANCE)

    def can_be_dropped(self) -> bool:
        """Whether this restrictor has no attempts outstanding, no fill that limits and no spent tokens.

        Its averages, blocks and units queued for the counter are lost when it is dropped.
        """
        is_filled = self.fill > 0 and self.plan.rate > 0  # without a rate the fill never leaks nor limits
        return self.holds_no_limit() and not is_filled

    def holds_no_limit(self) -> bool:
        """Whether no attempts are outstanding and no tokens of the ceiling are spent; the fill may limit."""
        is_short = self.plan.ceiling_rate > 0 and self.ceiling_tokens < self.unpooled_ceiling_burst
        return not (self.open_attempts or is_short)

    def drain(self, now: float) -> None:
        """Lets the bucket leak, and adds the ceiling's tokens, up to the current time."""
        elapsed, self.drained_at = max(0.0, now - self.drained_at), max(self.drained_at, now)
        self.fill = max(0.0, self.fill - self.rate * elapsed)
        # If a request names a plan without a ceiling by mistake, the tokens stay as they are.
        if self.plan.ceiling_rate:
            self.ceiling_tokens = min(
                self.unpooled_ceiling_burst, self.ceiling_tokens + self.unpooled_ceiling_rate * elapsed
            )

    def threshold(self, units: float) -> float:
        """The most that fill and units together may be for a request to be admitted; at least its units.

        It is a part of the burst times (1 + BREAK_EVEN_COST) / (1 + net cost of a wrong admission), which may
        be up to twice the burst. The part is the leak rate's share of the plan's rate if the customer's
        demand is heavy, and the full burst if it is light.
        """
        cost = self.plan.net_excess_cost  # of a wrong admission; a wrong refusal costs 1, the request's worth
        plan_rate = max(self.plan.rate, 1e-9)
        # A light customer gets the full burst at every gateway: a share of the burst holds only one or two
        # requests, and several requests in a row may reach the same gateway by chance.
        demand_ratio = (
            self.demand
            * math.exp((self.demand_at - self.drained_at) / self.demand_time_constant)
            * self.entries
            / plan_rate
        )
        demand_ratio /= self.traffic_skew
        if self.entries >= WIDE_SET_MIN_GATEWAYS and self.drained_at - self.usage_at < RECENT_USAGE_MAX_AGE_S:
            # Both estimates are noisy: a reading covers a short period, and few requests arrive here.
            demand_ratio = (self.usage_for_demand + demand_ratio) / 2
        # 1 if demand is light, 0 if it is heavy, in between in proportion.
        lightness = min(
            1.0, max(0.0, (HEAVY_DEMAND_RATIO - demand_ratio) / (HEAVY_DEMAND_RATIO - LIGHT_DEMAND_RATIO))
        )
        share = self.rate / plan_rate
        return max(
            units, self.plan.burst * (share + lightness * (1 - share)) * (1 + BREAK_EVEN_COST) / (1 + cost)
        )

    def record_usage(self, now: float, usage: float) -> None:
        """Records a reading of the meter: the customer's use over all gateways as a multiple of its rate."""
        usage = min(usage, MAX_USAGE)
        is_recent = now - self.usage_at < RECENT_USAGE_MAX_AGE_S
        self.usage_for_demand += (USAGE_EWMA_WEIGHT if is_recent else 1.0) * (usage - self.usage_for_demand)
        self.latest_reading, self.usage_at = usage, now

    def record_demand(self, now: float, units: float) -> None:
        """Adds a request to the demand.

        Called after the request has been decided on, so the decision uses the demand without it, unless the
        decision awaits a reply of the counter.
        """
        self.demand = (
            self.demand * math.exp((self.demand_at - now) / self.demand_time_constant)
            + units / self.demand_time_constant
        )
        self.demand_at = now

    def bucket_wait(self, units: float) -> float:
        """Seconds until the local bucket has room for a request; 0 if it has room now or there is no rate."""
        return max(0.0, (self.fill + units - self.threshold(units)) / self.rate) if self.plan.rate else 0.0

    def would_admit(self, now: float, units: float) -> bool:
        """Whether the local bucket admits a request that the counter is not asked about."""
        return not (self.bucket_wait(units) or self.is_locally_blocked(now))

    def ceiling_wait(self, units: float) -> float:
        """Seconds until the tokens that a request lacks have been added; 0 if none are missing."""
        # The token bucket is as large as the unpooled ceiling, but each request takes its units times the
        # number of entry gateways. That equals an even share for each gateway.
        missing = units * self.entries - self.ceiling_tokens
        return max(0.0, missing / self.unpooled_ceiling_rate) if self.plan.ceiling_rate else 0.0

    def is_undersampled(self, units: float, is_metered: bool) -> bool:
        """Whether this gateway sees too little of the customer's traffic for its local bucket to decide well.

        That is the case if an even share of the burst holds less than half a request. It is also the case
        with many entry gateways, unless the customer is metered and an even share holds a whole request.
        """
        requests_per_share = self.plan.burst / (units * self.entries)
        sees_too_little = requests_per_share < 1 / UNDERSAMPLED_UNITS_RATIO or (
            self.entries >= WIDE_SET_MIN_GATEWAYS and not (is_metered and requests_per_share >= 1)
        )
        return self.plan.rate > 0 and sees_too_little

    def is_locally_blocked(self, now: float) -> bool:
        """Whether the local bucket must admit nothing.

        The shared bucket was full lately, so local admissions would exceed the quota.
        """
        return now < self.shared_blocked_until + LOCAL_BLOCK_EXTRA_S

    def has_soft_quota(self) -> bool:
        """Whether a request beyond the quota costs no more than it earns."""
        return self.plan.excess_cost <= self.plan.excess_worth

    def at_open_limit(self) -> bool:
        """Whether the attempts outstanding here, hung ones included, reach the plan's open limit.

        With a rate, each entry gateway applies the whole open limit; without one, an even share of it. The
        limit is at least one attempt.
        """
        limit = self.plan.open_limit / (1 if self.plan.rate else self.entries)
        return limit > 0 and self.open_attempts >= max(1.0, limit)

    def charge(self, units: float) -> float:
        """Adds a request's units to the fill, up to the threshold; returns the increase of the fill."""
        before = self.fill
        self.fill = max(before, min(before + units, self.threshold(units)))
        self.admitted_units += units
        return self.fill - before

    def refund(self, units: float, fill_increase: float) -> None:
        """Takes back what `charge` added, for a request that was not sent; `fill_increase` as it returned."""
        self.fill, self.admitted_units = (
            max(0.0, self.fill - fill_increase),
            max(0.0, self.admitted_units - units),
        )

    def charge_ceiling(self, units: float) -> float:
        """Takes a request's tokens from this gateway's share of the ceiling; returns how many it took."""
        if not self.plan.ceiling_rate:  # maybe a wrong plan, see `drain`
            return 0.0
        tokens = units * self.entries  # see `ceiling_wait`
        self.ceiling_tokens -= tokens
        return tokens

    def refund_ceiling(self, tokens: float, max_tokens: float) -> None:
        """Returns tokens to this gateway's share of the ceiling.

        `max_tokens` is the most that the share could hold when the tokens were taken.
        """
        self.ceiling_tokens = max(self.ceiling_tokens, min(max_tokens, self.ceiling_tokens + tokens))

    def queue_admitted(self, units: float) -> float:
        """Queues units admitted here for the next call to the shared bucket; returns how many were queued.

        This adds nothing beyond a burst, so that the shared bucket is not full for longer than a burst takes
        to leak. The units are negative if a response reports fewer than were estimated.
        """
        before = self.unreported_units
        self.unreported_units = min(before + units, max(before, self.plan.burst))
        return self.unreported_units - before

    def queue_for_next_call(self, units: float, pool_entry: int | None = None) -> None:
        """Queues units for the next call to the shared bucket, or to an entry of the ceiling's pool."""
        if pool_entry is None:
            self.unreported_units += units
        elif due := units + self.unreported_by_pool_entry.pop(pool_entry, 0.0):
            self.unreported_by_pool_entry[pool_entry] = due

    def take_unreported_units(self, pool_entry: int | None = None) -> float:
        """Takes all units out of the queue for the shared bucket, or for an entry of the ceiling's pool."""
        if pool_entry is not None:
            return self.unreported_by_pool_entry.pop(pool_entry, 0.0)
        units, self.unreported_units = self.unreported_units, 0.0
        return units

    @property
    def unreported_pool_units(self) -> float:
        """Units queued for the pool, over all of its counter entries."""
        return sum(self.unreported_by_pool_entry.values())

    def update_rate(self, now: float) -> None:
        """Sets the leak rate to the plan's rate times this gateway's share of the customer's metered use.

        Readings of the meter are late, so the admitted rate that they are compared with is delayed as well.
        Without fresh readings the leak rate returns to its minimum.
        """
        self.drain(now)
        self.delayed_admitted_rate += USAGE_EWMA_WEIGHT * (self.admitted_rate - self.delayed_admitted_rate)
        self.admitted_rate += USAGE_EWMA_WEIGHT * (
            self.admitted_units / RATE_UPDATE_INTERVAL_S - self.admitted_rate
        )
        self.admitted_units = 0.0
        if now - self.usage_at > READING_MAX_AGE_S:
            self.rate += RATE_DECAY_WITHOUT_READINGS * (self.min_rate - self.rate)
            return
        self.usage_for_rate += USAGE_EWMA_WEIGHT * (self.latest_reading - self.usage_for_rate)
        max_rate = self.rate * (1 + MAX_RATE_GROWTH)
        # Usage is metered units over the plan's rate, so this is the plan's rate times admitted over metered.
        target = self.delayed_admitted_rate / self.usage_for_rate if self.usage_for_rate > 0 else max_rate
        self.rate += RATE_DAMPING * (max(self.min_rate, min(target, max_rate, self.plan.rate)) - self.rate)
