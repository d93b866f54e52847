"""One customer's quota at one gateway: NICC ND1621's leaky bucket, its leak rate, the part of a ceiling."""

from __future__ import annotations

import math
from functools import cache

from coralvale import interface as api

USAGE_EWMA_WEIGHT = (
    0.5  # weight of the newest second in admitted and metered use: two seconds of memory tame one odd reading
)
RATE_UPDATE_INTERVAL_S = 1.0  # s between new leak rates, as the design sets it
RATE_DAMPING = (
    0.5  # share of the way to the target leak rate taken at once, so that gateways do not chase each other
)
MAX_RATE_GROWTH = 0.5  # most a leak rate grows in one step: a doubling takes two steps
READING_MAX_AGE_S = 4.0  # s without a reading after which it is stale: the meter's usual lateness twice over
MIN_RATE_RETURN_SHARE = 0.25  # share of the way back to the floor in each step without readings
DEMAND_TIME_CONSTANT_S = (
    8.0  # s over which a customer's asking here is averaged: its mean gap there is some seconds
)
WIDE_SET_DEMAND_TIME_CONSTANT_S = 20.0  # s, the same where a gateway hears of a customer so seldom
LIGHT_DEMAND, HEAVY_DEMAND = (
    0.4,
    1.0,
)  # times its quota that a customer asks for, by what it asks here: surely under, over
BREAK_EVEN_COST = 1.0  # worths: net cost at which letting in wrongly costs as much as refusing wrongly
UNDERSAMPLED_UNITS_RATIO = (
    2.0  # times that a request is over the part of the burst where the bucket cannot know
)
WIDE_SET_GATEWAYS = 8  # gateways of a set past which each sees too little of the customer, whatever its burst
UNDERFLOW_TOLERANCE = (
    0.25  # share of the burst that a shared bucket may run below empty before it is put right
)
MAX_USAGE = 8.0  # times its quota: a reading over that says no more than that a customer is far over it
POOLED_CEILING_SHARE = (
    0.4  # share of a wide set's ceiling that is pooled on the counter; the rest is in even parts
)
RECENT_USAGE_MAX_AGE_S = (
    15.0  # s for which readings tell what kind of customer it is, if not its use of this moment
)
LOCAL_BLOCK_EXTRA_S = 20.0  # s for which one whose shared bucket was full gets nothing by this gateway's own


@cache
def traffic_skew(entries: int) -> float:
    """How many times its even part of a customer's traffic the gateway gets that a request comes to.

    Customers' traffic is spread unevenly; how unevenly is not known, so by Zipf's law.
    """
    weights = [1 / rank for rank in range(1, entries + 1)]
    return entries * sum(w * w for w in weights) / sum(weights) ** 2


class Restrictor:
    """One customer's leaky bucket, its leak rate, and this gateway's share of the ceiling."""

    def __init__(
        self, plan: api.Plan, entries: int, now: float, born: float, may_count: bool = False
    ) -> None:
        self.may_count = may_count
        self.configure(plan, entries)
        self.rate = self.min_rate
        self.fill, self.drained_at, self.last_request_at = 0.0, now, now
        self.admitted_units, self.open_attempts = (
            0.0,
            0,
        )  # units let through since the last step; attempts out
        self.admitted_rate = self.delayed_admitted_rate = self.smoothed_usage = (
            0.0  # own_late lags own by as much as readings lag use
        )
        self.last_usage, self.usage_at = 0.0, -math.inf
        self.recent_usage = 0.0  # mean of the last few readings
        self.demand, self.demand_at = 0.0, now  # units a second asked for here, refused ones too
        self.unreported_units = 0.0  # units let in here that the shared bucket has not been told of
        self.shared_blocked_until = -math.inf  # until when the shared bucket is known to have no room
        self.pool_blocked_until = -math.inf  # the same for the pool of the ceiling
        self.unreported_pool_units = (
            0.0  # units that the pool has not been told of; below nought: to take back
        )
        # A restart must not refill the ceiling, so the share is empty at birth and fills from then on.
        self.ceiling_tokens = min(self.unpooled_ceiling_burst, self.unpooled_ceiling_rate * (now - born))

    def configure(self, plan: api.Plan, entries: int) -> None:
        """Takes plan and set as a request names them: one that named others must not bind all that follow."""
        self.plan, self.entries = plan, max(1, entries)
        self.min_rate = plan.rate / self.entries
        self.traffic_skew = traffic_skew(self.entries) if self.entries < WIDE_SET_GATEWAYS else 1.0
        self.demand_time_constant = (
            WIDE_SET_DEMAND_TIME_CONSTANT_S if self.entries >= WIDE_SET_GATEWAYS else DEMAND_TIME_CONSTANT_S
        )
        share = POOLED_CEILING_SHARE if self.may_count and self.entries >= WIDE_SET_GATEWAYS else 0.0
        self.unpooled_ceiling_rate, self.unpooled_ceiling_burst = (
            (1 - share) * plan.ceiling_rate,
            (1 - share) * plan.ceiling_burst,
        )
        # A pool may run below empty before it is put right, so it holds that much less.
        self.pool_limits = share * plan.ceiling_rate, share * plan.ceiling_burst / (1 + UNDERFLOW_TOLERANCE)

    def can_be_dropped(self) -> bool:
        """Whether nothing would be lost if the customer came back to a new restrictor."""
        filled = self.fill > 0 and self.plan.rate > 0  # without a rate nothing leaks, and no fill counts
        is_short = self.plan.ceiling_rate > 0 and self.ceiling_tokens < self.unpooled_ceiling_burst
        return not (self.open_attempts or filled or is_short)

    def drain(self, now: float) -> None:
        elapsed, self.drained_at = max(0.0, now - self.drained_at), max(self.drained_at, now)
        self.fill = max(0.0, self.fill - self.rate * elapsed)
        if self.plan.ceiling_rate:  # a plan without one, named by mistake, leaves the customer's as it was
            self.ceiling_tokens = min(
                self.unpooled_ceiling_burst, self.ceiling_tokens + self.unpooled_ceiling_rate * elapsed
            )

    def threshold(self, units: float) -> float:
        """Burst scaled with the leak rate, one request at least; more where letting in wrongly costs less."""
        # Let in wrongly a request costs c, refused wrongly its worth.
        cost = self.plan.net_excess_cost
        rate = max(self.plan.rate, 1e-9)
        # One that asks for little overall has the burst to itself, whichever gateway it comes to: a part of
        # it is a request or two, and by chance two that belong together come to the same gateway.
        demand_ratio = (
            self.demand
            * math.exp((self.demand_at - self.drained_at) / self.demand_time_constant)
            * self.entries
            / rate
        )
        demand_ratio /= self.traffic_skew
        if self.entries >= WIDE_SET_GATEWAYS and self.drained_at - self.usage_at < RECENT_USAGE_MAX_AGE_S:
            demand_ratio = (
                self.recent_usage + demand_ratio
            ) / 2  # one reading is of half a second, own requests are few
        spare = min(1.0, max(0.0, (HEAVY_DEMAND - demand_ratio) / (HEAVY_DEMAND - LIGHT_DEMAND)))
        share = self.rate / rate
        return max(
            units, self.plan.burst * (share + spare * (1 - share)) * (1 + BREAK_EVEN_COST) / (1 + cost)
        )

    def record_usage(self, now: float, usage: float) -> None:
        """Takes down a reading of the meter: the customer's use over all gateways as a share of its rate."""
        usage = min(usage, MAX_USAGE)
        is_fresh = now - self.usage_at < RECENT_USAGE_MAX_AGE_S
        self.recent_usage += (USAGE_EWMA_WEIGHT if is_fresh else 1.0) * (usage - self.recent_usage)
        self.last_usage, self.usage_at = usage, now

    def record_demand(self, now: float, units: float) -> None:
        """Takes down that the customer has asked, when all has been decided by what it asked before."""
        self.demand = (
            self.demand * math.exp((self.demand_at - now) / self.demand_time_constant)
            + units / self.demand_time_constant
        )
        self.demand_at = now

    def bucket_wait(self, units: float) -> float:
        """Seconds until the bucket has room, 0 when it has it now."""
        return max(0.0, (self.fill + units - self.threshold(units)) / self.rate) if self.plan.rate else 0.0

    def would_admit(self, now: float, units: float) -> bool:
        """Whether a request that the counter is not asked about would be let in by this bucket."""
        return not (self.bucket_wait(units) or self.is_locally_blocked(now))

    def ceiling_wait(self, units: float) -> float:
        short = units * self.entries - self.ceiling_tokens  # shares are even, so a request takes for all
        return max(0.0, short / self.unpooled_ceiling_rate) if self.plan.ceiling_rate else 0.0

    def is_undersampled(self, units: float, is_metered: bool) -> bool:
        """Whether own traffic tells little: many gateways, or a part of the burst under half a request.

        Of many gateways each knows enough all the same whose part holds a request and which hears readings.
        """
        requests_per_share = self.plan.burst / (units * self.entries)
        too_few = requests_per_share < 1 / UNDERSAMPLED_UNITS_RATIO or (
            self.entries >= WIDE_SET_GATEWAYS and not (is_metered and requests_per_share >= 1)
        )
        return self.plan.rate > 0 and too_few

    def is_locally_blocked(self, now: float) -> bool:
        """Whether the shared bucket was full of late: what is let in unreported would come on top."""
        return now < self.shared_blocked_until + LOCAL_BLOCK_EXTRA_S

    def has_soft_quota(self) -> bool:
        """Whether what is let in beyond the quota costs no more than it earns."""
        return self.plan.excess_cost <= self.plan.excess_worth

    def at_open_limit(self) -> bool:
        """Whether own attempts, hung ones too, reach the open limit, or its even part where no rate binds."""
        limit = self.plan.open_limit / (1 if self.plan.rate else self.entries)
        return limit > 0 and self.open_attempts >= max(1.0, limit)

    def charge(self, units: float) -> float:
        """Takes a request's units into the bucket; returns by how many its fill has grown."""
        before = self.fill
        self.fill = max(before, min(before + units, self.threshold(units)))
        self.admitted_units += units
        return self.fill - before

    def refund(self, units: float, fill_increase: float) -> None:
        """Gives back the units of a request that was never sent, and what the fill had grown by."""
        self.fill, self.admitted_units = (
            max(0.0, self.fill - fill_increase),
            max(0.0, self.admitted_units - units),
        )

    def charge_ceiling(self, units: float) -> float:
        """Takes a request's units from this gateway's part of the ceiling; returns what was taken there."""
        if not self.plan.ceiling_rate:  # one that names another plan by mistake takes nothing there
            return 0.0
        tokens = units * self.entries  # shares are even, so a request takes for all
        self.ceiling_tokens -= tokens
        return tokens

    def refund_ceiling(self, tokens: float, max_tokens: float) -> None:
        """Gives back what was taken from the part of the ceiling, which held at most so much then."""
        self.ceiling_tokens = max(self.ceiling_tokens, min(max_tokens, self.ceiling_tokens + tokens))

    def queue_admitted(self, units: float) -> float:
        """Notes units let in here for the next call, up to a burst in all; returns how many were noted."""
        before = self.unreported_units
        self.unreported_units = min(before + units, max(before, self.plan.burst))
        return self.unreported_units - before

    def queue_for_next_call(self, units: float, is_pool: bool) -> None:
        """Notes units that the next call to the shared bucket, or to the pool, has to carry."""
        if is_pool:
            self.unreported_pool_units += units
        else:
            self.unreported_units += units

    def update_rate(self, now: float) -> None:
        """Sets the leak rate: own use times the quota over is_metered use of the same, late, time."""
        self.drain(now)
        self.delayed_admitted_rate += USAGE_EWMA_WEIGHT * (self.admitted_rate - self.delayed_admitted_rate)
        self.admitted_rate += USAGE_EWMA_WEIGHT * (
            self.admitted_units / RATE_UPDATE_INTERVAL_S - self.admitted_rate
        )
        self.admitted_units = 0.0
        if now - self.usage_at > READING_MAX_AGE_S:
            self.rate += MIN_RATE_RETURN_SHARE * (self.min_rate - self.rate)
            return
        self.smoothed_usage += USAGE_EWMA_WEIGHT * (self.last_usage - self.smoothed_usage)
        max_rate = self.rate * (1 + MAX_RATE_GROWTH)
        target_rate = (
            self.delayed_admitted_rate / self.smoothed_usage if self.smoothed_usage > 0 else max_rate
        )
        self.rate += RATE_DAMPING * (
            max(self.min_rate, min(target_rate, max_rate, self.plan.rate)) - self.rate
        )
