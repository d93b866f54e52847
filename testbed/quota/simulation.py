"""The event loop of the quota model: requests, attempts, counter calls and timers in simulated time."""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable
from typing import Protocol

from coralvale import interface as api
from testbed.quota.deployment import Arrival, Day
from testbed.quota.report import DayFigures, Figures
from testbed.quota.services import Counter, Meter, QuotaStore
from testbed.quota.tries import Try

HOSTS = 24  # hosts that all gateways list; the model gives them no limit, so few will do
START_SPREAD = 1.0  # s over which the gateways start


class Decisions(Protocol):
    """What the model needs of a gateway's decision module."""

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        """Takes an event at a time (s); returns the actions to carry out."""
        ...


class Simulation:
    """Plays one day; `make` builds the decision module of a gateway from its settings and a seed."""

    def __init__(self, day: Day, make: Callable[[api.Settings, int], Decisions], seed: int) -> None:
        self.day = day
        self.random = random.Random(seed)
        self.sequence = itertools.count()
        self.queue: list[tuple[float, int, Callable[..., None], tuple[object, ...]]] = []
        self.gateways = [make(settings, seed * 4096 + i) for i, settings in enumerate(day.settings)]
        self.figures = Figures(day)
        self.stores = {c.number: QuotaStore.full(c.plan) for c in day.customers}
        self.meters = {c.number: Meter(day.meter_period, day.meter_delay) for c in day.customers}
        service = day.counter
        self.counter = Counter(service.parts, service.calls_per_second, service.delay, service.longest_queue)
        self.tries: dict[str, Try] = {}
        self.now = 0.0

    def run(self) -> DayFigures:
        """Plays the day to its end and returns its figures."""
        self._start_gateways()
        for arrival in self.day.arrivals():
            self._at(arrival.at, self._arrive_first, arrival)
        end = self.day.length
        while self.queue:
            self.now, _, action, arguments = heapq.heappop(self.queue)
            if self.now > end:
                break
            action(*arguments)
        return self.figures.summary()

    def _at(self, when: float, action: Callable[..., None], *arguments: object) -> None:
        heapq.heappush(self.queue, (when, next(self.sequence), action, arguments))

    def _start_gateways(self) -> None:
        hosts = tuple(
            api.HostInfo(f"host-{i}", api.HostState.HEALTHY, zone=i % 2, cell=i % 4) for i in range(HOSTS)
        )
        listed = api.HostList(api.ListKind.CACHED, hosts)
        for index in range(len(self.gateways)):
            self._at(-START_SPREAD * self.random.random(), self._feed, index, listed)

    # Requests

    def _arrive_first(self, arrival: Arrival) -> None:
        gateway = arrival.customer.gateway(self.now, self.random, len(self.gateways))
        self._arrive(arrival, gateway, 0)

    def _arrive_again(self, arrival: Arrival, gateway: int, number: int) -> None:
        if self.random.random() < self.day.clients.elsewhere:
            gateway = arrival.customer.gateway(self.now, self.random, len(self.gateways))
        self._arrive(arrival, gateway, number)

    def _arrive(self, arrival: Arrival, gateway: int, number: int) -> None:
        customer = arrival.customer
        request = api.Request(
            id=f"r{next(self.sequence)}",
            class_index=arrival.cls,
            plan_index=customer.plan_index,
            customer=customer.number,
            entry_gateways=customer.spread,
            expires_at=self.now + self.day.patience(arrival.cls, self.random),
            units=arrival.named,
        )
        attempt = Try(request, arrival, gateway, number)
        self.tries[request.id] = attempt
        self.figures.arrived(self.now, attempt)
        self._feed(gateway, request)

    def _feed(self, gateway: int, event: api.Event) -> None:
        for action in self.gateways[gateway].handle(self.now, event):
            self._act(gateway, action)

    def _act(self, gateway: int, action: api.Action) -> None:
        if isinstance(action, api.SetTimer):
            self._at(self.now + action.delay, self._feed, gateway, api.TimerFired(action.token))
        elif isinstance(action, api.CounterAdd):
            self._count(gateway, action)
        elif isinstance(action, api.Send):
            self._send(gateway, self.tries[action.request])
        elif isinstance(action, api.Refuse | api.Fail):
            self._refuse(self.tries[action.request], getattr(action, "retry_after", 0.0))

    def _send(self, gateway: int, attempt: Try) -> None:
        customer = attempt.customer
        store = self.stores[customer.number]
        if not attempt.sent:
            attempt.sent = True
            attempt.inside = store.take(self.now, attempt.request.units)
            self.meters[customer.number].note(self.now, attempt.request.units)
            self.figures.sent(attempt)
        store.open += 1
        delay = self.day.service_time(attempt.request.class_index, self.random)
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
        units = self._settle(attempt)
        event = api.AttemptDone(
            attempt.request.id, number, api.Outcome.OK, delay, True, usage=usage, units=units
        )
        if not attempt.ended:
            attempt.ended = True
            self.figures.served(attempt)
        self._feed(gateway, event)

    def _settle(self, attempt: Try) -> float | None:
        """The true units, where they are told afterwards; the first answer corrects the store."""
        if not self.day.settles_after:
            return None
        units = attempt.arrival.units
        if attempt.inside and not attempt.settled:
            self.stores[attempt.customer.number].settle(units - attempt.request.units)
        attempt.settled = True
        return units

    def _refuse(self, attempt: Try, advice: float) -> None:
        if attempt.ended:
            return
        attempt.ended = True
        store = self.stores[attempt.customer.number]
        self.figures.refused(attempt, store.level_at(self.now))
        wait = self.day.clients.retry_wait(attempt.number, advice, self.random)
        if wait is not None:
            again = self.now + wait
            self._at(again, self._arrive_again, attempt.arrival, attempt.gateway, attempt.number + 1)

    # The counter

    def _count(self, gateway: int, call: api.CounterAdd) -> None:
        trip = self.day.counter_trip(gateway)
        deadline = self.now + self.day.counter.timeout
        answer = self.counter.add(self.now, call.name, call.amount, call.lifetime)
        answered_at = answer.at + trip
        self.figures.counter_calls += 1
        if answer.total is None:
            self._reply(answered_at, gateway, api.CounterReply(call.name, False, 0.0))
        elif answered_at > deadline:
            self._reply(deadline, gateway, api.CounterReply(call.name, False, 0.0, maybe_added=True))
        else:
            self._reply(answered_at, gateway, api.CounterReply(call.name, True, answer.total))

    def _reply(self, when: float, gateway: int, reply: api.CounterReply) -> None:
        if not reply.ok:
            self.figures.counter_unanswered += 1
        self._at(when, self._feed, gateway, reply)
