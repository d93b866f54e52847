"""One customer's quota at one gateway: NICC ND1621's leaky bucket, its leak rate, the part of a ceiling."""

from __future__ import annotations

import math
from functools import cache

from coralvale import interface as api

USAGE_EWMA_WEIGHT = (
    0.5  # weight of the newest second in own and metered use: two seconds of memory tame one odd reading
)
RATE_UPDATE_INTERVAL_S = 1.0  # s between new leak rates, as the design sets it
RATE_DAMPING = (
    0.5  # share of the way to the wanted leak rate taken at once, so that gateways do not chase each other
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
def concentration(entries: int) -> float:
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
        self.settle(plan, entries)
        self.rate = self.floor
        self.fill, self.at, self.seen_at = 0.0, now, now
        self.passed, self.open = 0.0, 0  # units let through since the last step; attempts out
        self.own = self.own_late = self.use = 0.0  # own_late lags own by as much as readings lag use
        self.reading, self.heard_at = 0.0, -math.inf
        self.recent_use = 0.0  # mean of the last few readings
        self.demand, self.demand_at = 0.0, now  # units a second asked for here, refused ones too
        self.unreported = 0.0  # units let in here that the shared bucket has not been told of
        self.blocked_until = -math.inf  # until when the shared bucket is known to have no room
        self.pool_blocked_until = -math.inf  # the same for the pool of the ceiling
        self.pool_unreported = 0.0  # units that the pool has not been told of; below nought: to take back
        # A restart must not refill the ceiling, so the share is empty at birth and fills from then on.
        self.ceiling = min(self.ceiling_burst, self.ceiling_rate * (now - born))

    def settle(self, plan: api.Plan, entries: int) -> None:
        """Takes plan and set as a request names them: one that named others must not bind all that follow."""
        self.plan, self.entries = plan, max(1, entries)
        self.floor = plan.rate / self.entries
        self.concentration = concentration(self.entries) if self.entries < WIDE_SET_GATEWAYS else 1.0
        self.memory = (
            WIDE_SET_DEMAND_TIME_CONSTANT_S if self.entries >= WIDE_SET_GATEWAYS else DEMAND_TIME_CONSTANT_S
        )
        share = POOLED_CEILING_SHARE if self.may_count and self.entries >= WIDE_SET_GATEWAYS else 0.0
        self.ceiling_rate, self.ceiling_burst = (
            (1 - share) * plan.ceiling_rate,
            (1 - share) * plan.ceiling_burst,
        )
        # A pool may run below empty before it is put right, so it holds that much less.
        self.pool = share * plan.ceiling_rate, share * plan.ceiling_burst / (1 + UNDERFLOW_TOLERANCE)

    def is_settled(self) -> bool:
        """Whether nothing would be lost if the customer came back to a new restrictor."""
        filled = self.fill > 0 and self.plan.rate > 0  # without a rate nothing leaks, and no fill counts
        is_short = self.plan.ceiling_rate > 0 and self.ceiling < self.ceiling_burst
        return not (self.open or filled or is_short)

    def drain(self, now: float) -> None:
        elapsed, self.at = max(0.0, now - self.at), max(self.at, now)
        self.fill = max(0.0, self.fill - self.rate * elapsed)
        if self.plan.ceiling_rate:  # a plan without one, named by mistake, leaves the customer's as it was
            self.ceiling = min(self.ceiling_burst, self.ceiling + self.ceiling_rate * elapsed)

    def threshold(self, units: float) -> float:
        """Burst scaled with the leak rate, one request at least; more where letting in wrongly costs less."""
        # Let in wrongly a request costs c, refused wrongly its worth.
        cost = self.plan.net_excess_cost
        rate = max(self.plan.rate, 1e-9)
        # One that asks for little overall has the burst to itself, whichever gateway it comes to: a part of
        # it is a request or two, and by chance two that belong together come to the same gateway.
        asks = self.demand * math.exp((self.demand_at - self.at) / self.memory) * self.entries / rate
        asks /= self.concentration
        if self.entries >= WIDE_SET_GATEWAYS and self.at - self.heard_at < RECENT_USAGE_MAX_AGE_S:
            asks = (self.recent_use + asks) / 2  # one reading is of half a second, own requests are few
        spare = min(1.0, max(0.0, (HEAVY_DEMAND - asks) / (HEAVY_DEMAND - LIGHT_DEMAND)))
        share = self.rate / rate
        return max(
            units, self.plan.burst * (share + spare * (1 - share)) * (1 + BREAK_EVEN_COST) / (1 + cost)
        )

    def hear(self, now: float, reading: float) -> None:
        """Takes down a reading of the meter: the customer's use over all gateways as a share of its rate."""
        reading = min(reading, MAX_USAGE)
        fresh = now - self.heard_at < RECENT_USAGE_MAX_AGE_S
        self.recent_use += (USAGE_EWMA_WEIGHT if fresh else 1.0) * (reading - self.recent_use)
        self.reading, self.heard_at = reading, now

    def note(self, now: float, units: float) -> None:
        """Takes down that the customer has asked, when all has been decided by what it asked before."""
        self.demand = self.demand * math.exp((self.demand_at - now) / self.memory) + units / self.memory
        self.demand_at = now

    def wait(self, units: float) -> float:
        """Seconds until the bucket has room, 0 when it has it now."""
        return max(0.0, (self.fill + units - self.threshold(units)) / self.rate) if self.plan.rate else 0.0

    def admits(self, now: float, units: float) -> bool:
        """Whether a request that the counter is not asked about would be let in by this bucket."""
        return not (self.wait(units) or self.spent(now))

    def ceiling_wait(self, units: float) -> float:
        short = units * self.entries - self.ceiling  # shares are even, so a request takes for all
        return max(0.0, short / self.ceiling_rate) if self.plan.ceiling_rate else 0.0

    def sparse(self, units: float, metered: bool) -> bool:
        """Whether own traffic tells little: many gateways, or a part of the burst under half a request.

        Of many gateways each knows enough all the same whose part holds a request and which hears readings.
        """
        parts = self.plan.burst / (units * self.entries)
        few = parts < 1 / UNDERSAMPLED_UNITS_RATIO or (
            self.entries >= WIDE_SET_GATEWAYS and not (metered and parts >= 1)
        )
        return self.plan.rate > 0 and few

    def spent(self, now: float) -> bool:
        """Whether the shared bucket was full of late: what is let in unreported would come on top."""
        return now < self.blocked_until + LOCAL_BLOCK_EXTRA_S

    def soft(self) -> bool:
        """Whether what is let in beyond the quota costs no more than it earns."""
        return self.plan.excess_cost <= self.plan.excess_worth

    def open_full(self) -> bool:
        """Whether own attempts, hung ones too, reach the open limit, or its even part where no rate binds."""
        limit = self.plan.open_limit / (1 if self.plan.rate else self.entries)
        return limit > 0 and self.open >= max(1.0, limit)

    def charge(self, units: float) -> float:
        """Takes a request's units into the bucket; returns by how many its fill has grown."""
        before = self.fill
        self.fill = max(before, min(before + units, self.threshold(units)))
        self.passed += units
        return self.fill - before

    def refund(self, units: float, filled: float) -> None:
        """Gives back the units of a request that was never sent, and what the fill had grown by."""
        self.fill, self.passed = max(0.0, self.fill - filled), max(0.0, self.passed - units)

    def charge_ceiling(self, units: float) -> float:
        """Takes a request's units from this gateway's part of the ceiling; returns what was taken there."""
        if not self.plan.ceiling_rate:  # one that names another plan by mistake takes nothing there
            return 0.0
        taken = units * self.entries  # shares are even, so a request takes for all
        self.ceiling -= taken
        return taken

    def refund_ceiling(self, taken: float, most: float) -> None:
        """Gives back what was taken from the part of the ceiling, which held at most so much then."""
        self.ceiling = max(self.ceiling, min(most, self.ceiling + taken))

    def tell_let_in(self, units: float) -> float:
        """Notes units let in here for the next call, up to a burst in all; returns how many were noted."""
        before = self.unreported
        self.unreported = min(before + units, max(before, self.plan.burst))
        return self.unreported - before

    def tell_later(self, units: float, pool: bool) -> None:
        """Notes units that the next call to the shared bucket, or to the pool, has to carry."""
        if pool:
            self.pool_unreported += units
        else:
            self.unreported += units

    def step(self, now: float) -> None:
        """Sets the leak rate: own use times the quota over metered use of the same, late, time."""
        self.drain(now)
        self.own_late += USAGE_EWMA_WEIGHT * (self.own - self.own_late)
        self.own += USAGE_EWMA_WEIGHT * (self.passed / RATE_UPDATE_INTERVAL_S - self.own)
        self.passed = 0.0
        if now - self.heard_at > READING_MAX_AGE_S:
            self.rate += MIN_RATE_RETURN_SHARE * (self.floor - self.rate)
            return
        self.use += USAGE_EWMA_WEIGHT * (self.reading - self.use)
        grown = self.rate * (1 + MAX_RATE_GROWTH)
        wanted = self.own_late / self.use if self.use > 0 else grown
        self.rate += RATE_DAMPING * (max(self.floor, min(wanted, grown, self.plan.rate)) - self.rate)
