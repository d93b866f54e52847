"""Simulated shared counter and usage meter, and the token buckets that define each customer's quota."""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field

from coralvale import interface as api

ROUNDING_TOLERANCE = 1e-9  # units
METER_PERIODS_KEPT = 64  # enough to cover the delay of the meter


@dataclass(slots=True)
class QuotaBucket:
    """Token bucket of one customer over all gateways, which defines what is within its quota."""

    rate: float  # units a second; 0 means no limit
    burst: float  # units
    level: float  # units at `updated_at`
    open_limit: float = 0.0  # attempts that may be outstanding at once; 0 means no limit
    updated_at: float = 0.0  # s
    open_attempts: int = 0

    @classmethod
    def full(cls, plan: api.Plan) -> QuotaBucket:
        """A full bucket for a customer of the plan."""
        return cls(plan.rate, plan.burst, plan.burst, plan.open_limit)

    def level_at(self, now: float) -> float:
        """The units in the bucket at `now`, without taking any."""
        return min(self.burst, self.level + self.rate * (now - self.updated_at))

    def take(self, now: float, units: float) -> bool:
        """Takes the units of a request if it is within the quota; returns whether it is."""
        self.level = self.level_at(now)
        self.updated_at = now
        if not self.allows(now, units):
            return False
        if self.rate:
            self.level -= units
        return True

    def allows(self, now: float, units: float) -> bool:
        """Whether a request of this many units would be within the quota."""
        if self.open_limit and self.open_attempts >= self.open_limit:
            return False
        return not self.rate or self.level_at(now) >= units - ROUNDING_TOLERANCE

    def correct(self, units: float) -> None:
        """Takes the difference between true and estimated units; the level may become negative."""
        self.level -= units


@dataclass(slots=True)
class CounterShard:
    """One shard of the counter: serves one call at a time and has a bounded queue. Times in seconds."""

    service_time: float
    queue_limit: float  # longest time in the queue
    free_at: float = 0.0  # when all queued calls are served

    def serve(self, now: float) -> float | None:
        """When a call that arrives now is served; None if the queue is too long."""
        start = max(now, self.free_at)
        if start - now > self.queue_limit:
            return None
        self.free_at = start + self.service_time
        return self.free_at


@dataclass(frozen=True, slots=True)
class CounterResult:
    """Result of a call to the counter."""

    at: float  # s, when the reply leaves the counter
    total: float | None  # None if the call was rejected


class Counter:
    """Named totals, sharded by name; all shards together serve `calls_per_second`. Times in seconds."""

    def __init__(self, shards: int, calls_per_second: float, delay: float, queue_limit: float) -> None:
        self.shards = [CounterShard(shards / calls_per_second, queue_limit) for _ in range(shards)]
        self.delay = delay
        self.totals: dict[int, float] = {}
        self.expires_at: dict[int, float] = {}
        self.rejected_calls = 0

    def add(self, now: float, name: int, amount: float, lifetime: float) -> CounterResult:
        """Adds an amount to an entry, which expires `lifetime` after its first call."""
        served_at = self.shards[hash(name) % len(self.shards)].serve(now)
        if served_at is None:
            self.rejected_calls += 1
            return CounterResult(now + self.delay, None)
        if self.expires_at.get(name, -math.inf) <= now:
            self.totals[name] = 0.0
            self.expires_at[name] = now + lifetime
        self.totals[name] += amount
        return CounterResult(served_at + self.delay, self.totals[name])


@dataclass(slots=True)
class Meter:
    """Metered use of one customer in each period, readable after a delay. Times in seconds."""

    period: float  # 0: there is no meter
    delay: float
    current_period: int = 0  # index
    current_units: float = 0.0  # used in it
    finished_periods: deque[tuple[int, float]] = field(
        default_factory=lambda: deque(maxlen=METER_PERIODS_KEPT)
    )

    def record(self, now: float, units: float) -> None:
        """Adds units that are sent to a host now."""
        if not self.period:
            return
        self._advance_to(now)
        self.current_units += units

    def read(self, now: float, rate: float) -> float:
        """Use in the last period that is readable, as a fraction of the rate; 0 without a rate."""
        if not rate or not self.period:
            return 0.0
        self._advance_to(now)
        period_index = int((now - self.delay) / self.period) - 1
        for index, units in reversed(self.finished_periods):
            if index <= period_index:
                return units / (rate * self.period) if index == period_index else 0.0
        return 0.0

    def _advance_to(self, now: float) -> None:
        index = int(now / self.period)
        if index != self.current_period:
            self.finished_periods.append((self.current_period, self.current_units))
            self.current_period, self.current_units = index, 0.0
