"""The services that tell gateways of each other's traffic, and the true quota stores."""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field

from coralvale import interface as api

ROUNDING = 1e-9  # units that a store may lack through rounding
METER_READINGS_KEPT = 64  # periods of a customer that the meter remembers, well past its lateness


@dataclass(slots=True)
class QuotaStore:
    """The true token store of one customer over all gateways (units; rate in units a second)."""

    rate: float
    burst: float
    level: float
    open_limit: float = 0.0  # attempts out at once; 0 means no limit
    updated_at: float = 0.0
    open: int = 0

    @classmethod
    def full(cls, plan: api.Plan) -> QuotaStore:
        """The store of a customer of a plan as the day begins."""
        return cls(plan.rate, plan.burst, plan.burst, plan.open_limit)

    def level_at(self, now: float) -> float:
        """The units in the store at a time, without taking any."""
        return min(self.burst, self.level + self.rate * (now - self.updated_at))

    def take(self, now: float, units: float) -> bool:
        """Takes a request's units if the store holds them; says whether the request was inside its quota."""
        self.level = self.level_at(now)
        self.updated_at = now
        if not self.would_hold(now, units):
            return False
        if self.rate:
            self.level -= units
        return True

    def would_hold(self, now: float, units: float) -> bool:
        """Whether a request of so many units would be inside the quota now."""
        if self.open_limit and self.open >= self.open_limit:
            return False
        return not self.rate or self.level_at(now) >= units - ROUNDING

    def settle(self, units: float) -> None:
        """Takes the difference between true and guessed units; the level may fall below zero."""
        self.level -= units


@dataclass(slots=True)
class CounterPart:
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
class CounterAnswer:
    """When a call is answered (s, on the counter's side) and the total; no total if it was turned away."""

    at: float
    total: float | None


class Counter:
    """Named totals, spread by name over parts that serve `calls_per_second` together (times in seconds)."""

    def __init__(self, parts: int, calls_per_second: float, delay: float, queue_limit: float) -> None:
        self.parts = [CounterPart(parts / calls_per_second, queue_limit) for _ in range(parts)]
        self.delay = delay
        self.totals: dict[int, float] = {}
        self.expiry: dict[int, float] = {}
        self.turned_away = 0

    def add(self, now: float, name: int, amount: float, lifetime: float) -> CounterAnswer:
        """Adds an amount to a name, which is forgotten `lifetime` after its first call."""
        served_at = self.parts[hash(name) % len(self.parts)].serve(now)
        if served_at is None:
            self.turned_away += 1
            return CounterAnswer(now + self.delay, None)
        if self.expiry.get(name, -math.inf) <= now:
            self.totals[name] = 0.0
            self.expiry[name] = now + lifetime
        self.totals[name] += amount
        return CounterAnswer(served_at + self.delay, self.totals[name])


@dataclass(slots=True)
class Meter:
    """One customer's use by periods, readable only after a delay (both in seconds)."""

    period: float
    delay: float
    current: int = 0
    units: float = 0.0
    finished: deque[tuple[int, float]] = field(default_factory=lambda: deque(maxlen=METER_READINGS_KEPT))

    def note(self, now: float, units: float) -> None:
        """Adds units that were sent on now."""
        if not self.period:
            return
        self._advance(now)
        self.units += units

    def read(self, now: float, rate: float) -> float:
        """Use in the last period whose sum is known, as a fraction of the rate; nought without a rate."""
        if not rate or not self.period:
            return 0.0
        self._advance(now)
        wanted = int((now - self.delay) / self.period) - 1
        for index, units in reversed(self.finished):
            if index <= wanted:
                return units / (rate * self.period) if index == wanted else 0.0
        return 0.0

    def _advance(self, now: float) -> None:
        index = int(now / self.period)
        if index != self.current:
            self.finished.append((self.current, self.units))
            self.current, self.units = index, 0.0
