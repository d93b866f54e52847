"""The event loop of the quota model: requests, attempts, counter calls and timers in simulated time."""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from coralvale import interface as api
from testbed.quota.deployment import Customer, Day
from testbed.quota.report import Figures
from testbed.quota.services import CounterService, Meter, QuotaStore

HOSTS = 24  # hosts that all gateways list; the model gives them no limit, so few will do
START_SPREAD = 1.0  # s over which the gateways start


class Decisions(Protocol):
    """What the model needs of a gateway's decision module."""

    def handle(self, now: float, event: api.Event) -> list[api.Action]: ...


@dataclass(slots=True)
class Try:
    """One request of a client at one gateway; a client's retry is another."""

    request: api.Request
    customer: Customer
    gateway: int
    number: int
    sent_at: float | None = None
    inside: bool = False
    ended: bool = False
    attempts: int = 0
    true_units: float = 0.0


class Simulation:
    """Plays one day; `make` builds the decision module of a gateway from its settings and a seed."""

    def __init__(self, day: Day, make: Callable[[api.Settings, int], Decisions], seed: int) -> None:
        self.day = day
        self.random = random.Random(seed)
        self.sequence = itertools.count()
        self.queue: list[tuple[float, int, Callable[..., None], tuple[object, ...]]] = []
        self.gateways = [make(settings, seed * 4096 + i) for i, settings in enumerate(day.settings)]
        self.figures = Figures(day)
        self.stores = {
            c.number: QuotaStore(c.plan.rate, c.plan.burst, c.plan.burst, c.plan.open_limit)
            for c in day.customers
        }
        self.meters = {c.number: Meter(day.meter_period, day.meter_delay) for c in day.customers}
        self.counter = CounterService(
            day.counter_parts, day.counter_calls, day.counter_delay, day.counter_queue
        )
        self.tries: dict[str, Try] = {}
        self.now = 0.0

    def run(self) -> Figures:
        """Plays the day to its end and returns its figures."""
        self._start_gateways()
        for arrival in self.day.arrivals():
            self._at(arrival.at, self._arrive, arrival.customer, arrival.cls, arrival.units, 0)
        end = self.day.length
        while self.queue:
            self.now, _, action, arguments = heapq.heappop(self.queue)
            if self.now > end:
                break
            action(*arguments)
        self.figures.counter_calls = self.counter.calls
        return self.figures

    def _at(self, when: float, action: Callable[..., None], *arguments: object) -> None:
        heapq.heappush(self.queue, (when, next(self.sequence), action, arguments))

    def _start_gateways(self) -> None:
        hosts = tuple(
            api.Server(f"host-{i}", api.ServerState.HEALTHY, zone=i % 2, cell=i % 4) for i in range(HOSTS)
        )
        listed = api.ServerList(api.ListKind.CACHED, hosts)
        for index in range(len(self.gateways)):
            self._at(-START_SPREAD * self.random.random(), self._feed, index, listed)

    # Requests

    def _arrive(self, customer: Customer, cls: int, units: float, number: int) -> None:
        gateway = self.day.entry(customer, self.now, self.random)
        name = f"r{next(self.sequence)}"
        request = api.Request(
            id=name,
            cls=cls,
            plan=customer.plan_index,
            customer=customer.number,
            entry_gateways=customer.spread,
            expires_at=self.now + self.day.patience(cls, self.random),
            units=self.day.guess(units, self.random),
            **self.day.marks(number),
        )
        attempt = Try(request, customer, gateway, number, true_units=units)
        self.tries[name] = attempt
        store = self.stores[customer.number]
        self.figures.arrived(self.now, attempt, store.level_at(self.now))
        self._feed(gateway, request)

    def _feed(self, gateway: int, event: api.Event) -> None:
        for action in self.gateways[gateway].handle(self.now, event):
            self._act(gateway, action)

    def _act(self, gateway: int, action: api.Action) -> None:
        if isinstance(action, api.SetTimer):
            self._at(self.now + action.delay, self._feed, gateway, api.TimerFired(action.token))
        elif isinstance(action, api.Count):
            self._count(gateway, action)
        elif isinstance(action, api.Send):
            self._send(gateway, self.tries[action.request])
        elif isinstance(action, api.Refuse | api.Fail):
            self._refuse(self.tries[action.request], getattr(action, "advice", 0.0))

    def _send(self, gateway: int, attempt: Try) -> None:
        customer = attempt.customer
        store = self.stores[customer.number]
        if attempt.sent_at is None:
            attempt.sent_at = self.now
            attempt.inside = store.take(self.now, attempt.request.units)
            self.meters[customer.number].note(self.now, attempt.request.units)
            self.figures.sent(self.now, attempt)
        store.open += 1
        delay = self.day.service_time(attempt.request.cls, self.random)
        self._at(self.now + delay, self._answer, gateway, attempt, attempt.attempts, delay)
        attempt.attempts += 1

    def _answer(self, gateway: int, attempt: Try, number: int, delay: float) -> None:
        customer = attempt.customer
        store = self.stores[customer.number]
        store.open -= 1
        usage = None
        if self.day.meter_period:
            usage = self.meters[customer.number].read(self.now, customer.plan.rate)
            usage = round(usage * 100) / 100
        units = None
        if self.day.settles_after:
            units = attempt.true_units
            if attempt.inside:
                store.settle(units - attempt.request.units)
        event = api.AttemptDone(
            attempt.request.id, number, api.Outcome.OK, delay, True, usage=usage, units=units
        )
        if not attempt.ended:
            attempt.ended = True
            self.figures.served(self.now, attempt)
        self._feed(gateway, event)

    def _refuse(self, attempt: Try, advice: float) -> None:
        if attempt.ended:
            return
        attempt.ended = True
        store = self.stores[attempt.customer.number]
        self.figures.refused(self.now, attempt, store.level_at(self.now))
        wait = self.day.retry_wait(attempt.number, advice, self.random)
        if wait is None:
            return
        self._at(
            self.now + wait,
            self._arrive,
            attempt.customer,
            attempt.request.cls,
            attempt.true_units,
            attempt.number + 1,
        )

    # The counter

    def _count(self, gateway: int, call: api.Count) -> None:
        answered_at, total = self.counter.add(self.now, call.name, call.amount, call.lifetime)
        deadline = self.now + self.day.counter_timeout
        if total is None:
            self._at(
                self.now + self.day.counter_delay,
                self._feed,
                gateway,
                api.CounterReply(call.name, False, 0.0),
            )
        elif answered_at > deadline:
            late = api.CounterReply(call.name, False, 0.0, maybe_added=True)
            self._at(deadline, self._feed, gateway, late)
        else:
            self._at(answered_at, self._feed, gateway, api.CounterReply(call.name, True, total))
