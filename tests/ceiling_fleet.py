"""Gateways of one customer under a ceiling, with a shared counter that takes time, in simulated time.

The ceiling is checked as the protocol has it: a store that starts full, refills at the ceiling's rate, and
from which each request takes its units when it is sent.
"""

from __future__ import annotations

import heapq
import itertools
import math
import random
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from helpers import PLAN, Bench

from coralvale import interface as api
from coralvale.shared_bucket import COUNTER_ENTRY_ROTATION_S
from coralvale.shared_quota import POOL_KEY_OFFSET, ROTATION_PHASES

CUSTOMER = 1
RATE, BURST = 48.0, 134.0  # of the ceiling, in units a second and units
# Only the ceiling limits: the quota is far above it.
PLAN_UNDER_CEILING = replace(
    PLAN, rate=1e6, burst=1e6, excess_cost=0.1, ceiling_rate=RATE, ceiling_burst=BURST, ceiling_slack=13.4
)
COUNTER_TIMEOUT_S = 0.1
SERVICE_TIME_S = 0.03
REPLACEMENT = 20  # number of the rotation whose entry replaces the one before
SPIKE_UNITS, SPIKE_INTERVAL_S = 14.0, 0.04
START_S = 120.0  # before the replacement; a gateway's tokens are full by then


@dataclass(frozen=True, slots=True)
class Scenario:
    """What happens around the replacement of the pool's counter entry, which is at time 0 (times in s)."""

    gateways: int = 8
    units: float = 2.0  # of each request
    push_at: float = -1.0
    push_seconds: float = 4.0
    push_rate: float = 300.0  # units a second
    calm_rate: float = 4.0  # units a second before the push
    delay: tuple[float, float] = (0.0005, 0.002)  # one way between a gateway and the counter, drawn
    flushes: tuple[float, ...] = ()  # when the counter forgets all entries
    restarts: tuple[tuple[float, int], ...] = ()  # when which gateway restarts
    leaving_share: float = 0.0  # of the requests: their client leaves while the counter is asked
    spike_before: float = 2.65  # s ahead of the push, at which one gateway gets more than its share


@dataclass
class Store:
    """The ceiling's store; `lowest` is its lowest level so far."""

    level: float = BURST
    lowest: float = BURST
    updated_at: float = 0.0

    def take(self, now: float, units: float) -> None:
        self.level = min(BURST, self.level + RATE * (now - self.updated_at)) - units
        self.updated_at, self.lowest = now, min(self.lowest, self.level)


@dataclass
class CeilingFleet:
    """Plays one scenario; the seed draws delays, gateways and clients that leave."""

    scenario: Scenario
    seed: int
    store: Store = field(default_factory=Store)
    refused_at: list[float] = field(default_factory=list)  # s from the replacement
    sent_at: list[float] = field(default_factory=list)  # likewise

    def __post_init__(self) -> None:
        self.random = random.Random(self.seed)
        self.events: list[tuple[float, int, Callable[..., None], tuple[object, ...]]] = []
        self.sequence = itertools.count()
        key = CUSTOMER + POOL_KEY_OFFSET
        phase = key % ROTATION_PHASES / ROTATION_PHASES
        self.replaced_at = (REPLACEMENT - phase) * COUNTER_ENTRY_ROTATION_S
        self.now = self.replaced_at - START_S
        self.store.updated_at = self.now
        self.totals: dict[int, float] = {}
        self.benches = [self._start(index) for index in range(self.scenario.gateways)]
        self.last_arrival: dict[tuple[int, bool], float] = {}

    def _start(self, index: int) -> Bench:
        return Bench(
            seed=self.seed * 100 + index,
            plans=(PLAN_UNDER_CEILING,),
            gateways=self.scenario.gateways,
            may_count=True,
            counter_timeout=COUNTER_TIMEOUT_S,
            meter_period=0.0,
            now=self.now,
        )

    def play(self) -> None:
        """Plays the scenario to its end."""
        scenario = self.scenario
        end = scenario.push_at + scenario.push_seconds
        self._schedule_requests(-START_S, scenario.push_at, scenario.calm_rate)
        # One gateway gets more than its share of the ceiling, so that the pool is in use, and has leaked
        # again when the push begins.
        for number in range(math.ceil(SPIKE_UNITS / scenario.units)):
            at = scenario.push_at - scenario.spike_before + number * SPIKE_INTERVAL_S
            self._schedule(self.replaced_at + at, self._ask, 0)
        self._schedule_requests(scenario.push_at, end, scenario.push_rate)
        for at in scenario.flushes:
            self._schedule(self.replaced_at + at, self.totals.clear)
        for at, index in scenario.restarts:
            self._schedule(self.replaced_at + at, self._restart, index)
        while self.events and self.events[0][0] < self.replaced_at + end + 1.0:
            self.now, _, callback, arguments = heapq.heappop(self.events)
            callback(*arguments)

    def refusals(self, begin: float, end: float) -> int:
        """Requests refused between two times."""
        return sum(begin <= at < end for at in self.refused_at)

    def _schedule(self, at: float, callback: Callable[..., None], *arguments: object) -> None:
        heapq.heappush(self.events, (at, next(self.sequence), callback, arguments))

    def _schedule_requests(self, begin: float, end: float, units_per_second: float) -> None:
        at = begin
        while (at := at + self.random.expovariate(units_per_second / self.scenario.units)) < end:
            self._schedule(self.replaced_at + at, self._ask, self.random.randrange(self.scenario.gateways))

    def _restart(self, index: int) -> None:
        self.benches[index] = self._start(index)

    def _ask(self, index: int) -> None:
        bench = self._advance(index)
        name, actions = bench.request(
            customer=CUSTOMER, units=self.scenario.units, entry_gateways=self.scenario.gateways
        )
        self._carry_out(index, bench, actions)
        is_waiting = any(isinstance(a, api.CounterAdd) for a in actions)
        if is_waiting and self.random.random() < self.scenario.leaving_share:
            self._carry_out(index, bench, bench.feed(api.RequestAbandoned(name)))

    def _advance(self, index: int) -> Bench:
        bench = self.benches[index]
        self._carry_out(index, bench, bench.wait(max(0.0, self.now - bench.now)))
        return bench

    def _carry_out(self, index: int, bench: Bench, actions: list[api.Action]) -> None:
        for action in actions:
            if isinstance(action, api.CounterAdd):
                at = self._arrival(index, True)
                self._schedule(at, self._count, index, bench, action, self.now)
            elif isinstance(action, api.Send):
                self.store.take(self.now, self.scenario.units)
                self.sent_at.append(self.now - self.replaced_at)
                self._schedule(self.now + SERVICE_TIME_S, self._finish, index, bench, action.request)
            elif isinstance(action, api.Refuse | api.Fail):
                self.refused_at.append(self.now - self.replaced_at)

    def _arrival(self, index: int, to_counter: bool) -> float:
        """When what is sent now arrives: a connection keeps its order."""
        key = (index, to_counter)
        at = max(self.now + self.random.uniform(*self.scenario.delay), self.last_arrival.get(key, 0.0))
        self.last_arrival[key] = at
        return at

    def _count(self, index: int, bench: Bench, call: api.CounterAdd, called_at: float) -> None:
        self.totals[call.name] = self.totals.get(call.name, 0.0) + call.amount
        at = self._arrival(index, False)
        reply = api.CounterReply(call.name, True, self.totals[call.name])
        if at - called_at > COUNTER_TIMEOUT_S:
            at, reply = (
                max(self.now, called_at + COUNTER_TIMEOUT_S),
                api.CounterReply(call.name, False, 0.0, maybe_added=True),
            )
        self._schedule(at, self._reply, index, bench, reply)

    def _reply(self, index: int, bench: Bench, reply: api.CounterReply) -> None:
        if bench is self.benches[index]:
            self._advance(index)
            self._carry_out(index, bench, bench.feed(reply))

    def _finish(self, index: int, bench: Bench, request: str) -> None:
        if bench is self.benches[index]:
            self._advance(index)
            self._carry_out(index, bench, bench.done(request))
