"""The services that tell gateways of each other's traffic, and the true quota stores."""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field

from coralvale import interface as api

ROUNDING_TOLERANCE = 1e-9  # units that a store may lack through rounding
METER_PERIODS_KEPT = 64  # periods of a customer that the meter remembers, well past its lateness


@dataclass(slots=True)
class QuotaBucket:
    """The true token store of one customer over all gateways (units; rate in units a second)."""

    rate: float
    burst: float
    level: float
    open_limit: float = 0.0  # attempts out at once; 0 means no limit
    updated_at: float = 0.0
    open_attempts: int = 0

    @classmethod
    def full(cls, plan: api.Plan) -> QuotaBucket:
        """The store of a customer of a plan as the day begins."""
        return cls(plan.rate, plan.burst, plan.burst, plan.open_limit)

    def level_at(self, now: float) -> float:
        """The units in the store at a time, without taking any."""
        return min(self.burst, self.level + self.rate * (now - self.updated_at))

    def take(self, now: float, units: float) -> bool:
        """Takes a request's units if the store holds them; says whether the request was inside its quota."""
        self.level = self.level_at(now)
        self.updated_at = now
        if not self.allows(now, units):
            return False
        if self.rate:
            self.level -= units
        return True

    def allows(self, now: float, units: float) -> bool:
        """Whether a request of so many units would be inside the quota now."""
        if self.open_limit and self.open_attempts >= self.open_limit:
            return False
        return not self.rate or self.level_at(now) >= units - ROUNDING_TOLERANCE

    def correct(self, units: float) -> None:
        """Takes the difference between true and guessed units; the level may fall below zero."""
        self.level -= units


@dataclass(slots=True)
class CounterShard:
    """One part of the counter: calls are served in turn by one server with a bounded queue."""

    service_time: float
    queue_limit: float
    free_at: float = 0.0

    def serve(self, now: float) -> float | None:
        """When a call that arrives now is answered; None if the queue is too long."""
        start = max(now, self.free_at)
        if start - now > self.queue_limit:
            return None
        self.free_at = start + self.service_time
        return self.free_at


@dataclass(frozen=True, slots=True)
class CounterResult:
    """When a call is answered (s, on the counter's side) and the total; no total if it was turned away."""

    at: float
    total: float | None


class Counter:
    """Named totals, spread by name over parts that serve `calls_per_second` together (times in seconds)."""

    def __init__(self, shards: int, calls_per_second: float, delay: float, queue_limit: float) -> None:
        self.shards = [CounterShard(shards / calls_per_second, queue_limit) for _ in range(shards)]
        self.delay = delay
        self.totals: dict[int, float] = {}
        self.expires_at: dict[int, float] = {}
        self.rejected_calls = 0

    def add(self, now: float, name: int, amount: float, lifetime: float) -> CounterResult:
        """Adds an amount to a name, which is forgotten `lifetime` after its first call."""
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
    """One customer's use by periods, readable only after a delay (both in seconds)."""

    period: float
    delay: float
    current_period: int = 0
    current_units: float = 0.0
    finished_periods: deque[tuple[int, float]] = field(
        default_factory=lambda: deque(maxlen=METER_PERIODS_KEPT)
    )

    def record(self, now: float, units: float) -> None:
        """Adds units that were sent on now."""
        if not self.period:
            return
        self._advance_to(now)
        self.current_units += units

    def read(self, now: float, rate: float) -> float:
        """Use in the last period whose sum is known, as a fraction of the rate; nought without a rate."""
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
