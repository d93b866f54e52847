"""Event loop of the quota simulation: requests, attempts, counter calls and timers in simulated time."""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable
from typing import Protocol

from coralvale import interface as api
from testbed.quota.deployment import Arrival, Deployment
from testbed.quota.report import FigureCollector, RunFigures
from testbed.quota.services import Counter, Meter, QuotaBucket
from testbed.quota.tries import ClientTry

HOST_COUNT = 24  # hosts have unlimited capacity in the model, so a few are enough
GATEWAY_START_WINDOW_S = 1.0  # gateways start within this time before the run


class DecisionModule(Protocol):
    """Interface of a gateway's decision module."""

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        """Handles an event at time `now` (s); returns the actions to carry out."""
        ...


class Simulation:
    """Simulates one run; `make_gateway` builds a decision module from its settings and a seed."""

    def __init__(
        self, deployment: Deployment, make_gateway: Callable[[api.Settings, int], DecisionModule], seed: int
    ) -> None:
        self.deployment = deployment
        self.random = random.Random(seed)
        self.sequence = itertools.count()
        self.events: list[tuple[float, int, Callable[..., None], tuple[object, ...]]] = []
        self.gateways = [
            make_gateway(settings, seed * 4096 + i) for i, settings in enumerate(deployment.settings)
        ]
        self.figures = FigureCollector(deployment)
        self.buckets = {c.number: QuotaBucket.full(c.plan) for c in deployment.customers}
        self.meters = {
            c.number: Meter(deployment.meter_period, deployment.meter_delay) for c in deployment.customers
        }
        parameters = deployment.counter
        self.counter = Counter(
            parameters.shards, parameters.calls_per_second, parameters.delay, parameters.queue_limit
        )
        self.tries: dict[str, ClientTry] = {}
        self.now = 0.0

    def run(self) -> RunFigures:
        """Simulates the run to its end and returns its figures."""
        self._start_gateways()
        for arrival in self.deployment.arrivals():
            self._schedule(arrival.at, self._start_first_try, arrival)
        end = self.deployment.duration
        while self.events:
            self.now, _, callback, arguments = heapq.heappop(self.events)
            if self.now > end:
                break
            callback(*arguments)
        return self.figures.summary()

    def _schedule(self, when: float, callback: Callable[..., None], *arguments: object) -> None:
        heapq.heappush(self.events, (when, next(self.sequence), callback, arguments))

    def _start_gateways(self) -> None:
        hosts = tuple(
            api.HostInfo(f"host-{i}", api.HostState.HEALTHY, zone=i % 2, cell=i % 4)
            for i in range(HOST_COUNT)
        )
        host_list = api.HostList(api.ListKind.CACHED, hosts)
        for index in range(len(self.gateways)):
            self._schedule(-GATEWAY_START_WINDOW_S * self.random.random(), self._deliver, index, host_list)

    # Requests

    def _start_first_try(self, arrival: Arrival) -> None:
        gateway = arrival.customer.pick_gateway(self.now, self.random, len(self.gateways))
        self._start_try(arrival, gateway, 0)

    def _start_retry(self, arrival: Arrival, gateway: int, retry_number: int) -> None:
        if self.random.random() < self.deployment.clients.elsewhere_share:
            gateway = arrival.customer.pick_gateway(self.now, self.random, len(self.gateways))
        self._start_try(arrival, gateway, retry_number)

    def _start_try(self, arrival: Arrival, gateway: int, retry_number: int) -> None:
        customer = arrival.customer
        request = api.Request(
            id=f"r{next(self.sequence)}",
            class_index=arrival.class_index,
            plan_index=customer.plan_index,
            customer=customer.number,
            entry_gateways=customer.entry_gateways,
            expires_at=self.now + self.deployment.client_timeout(arrival.class_index, self.random),
            units=arrival.estimated_units,
        )
        client_try = ClientTry(request, arrival, gateway, retry_number)
        self.tries[request.id] = client_try
        self.figures.record_arrival(self.now, client_try)
        self._deliver(gateway, request)

    def _deliver(self, gateway: int, event: api.Event) -> None:
        for action in self.gateways[gateway].handle(self.now, event):
            self._carry_out(gateway, action)

    def _carry_out(self, gateway: int, action: api.Action) -> None:
        if isinstance(action, api.SetTimer):
            self._schedule(self.now + action.delay, self._deliver, gateway, api.TimerFired(action.token))
        elif isinstance(action, api.CounterAdd):
            self._call_counter(gateway, action)
        elif isinstance(action, api.Send):
            self._send_attempt(gateway, self.tries[action.request])
        elif isinstance(action, api.Refuse | api.Fail):
            self._refuse_try(self.tries[action.request], getattr(action, "retry_after", 0.0))

    def _send_attempt(self, gateway: int, client_try: ClientTry) -> None:
        customer = client_try.customer
        bucket = self.buckets[customer.number]
        if not client_try.sent:
            client_try.sent = True
            client_try.within_quota = bucket.take(self.now, client_try.request.units)
            self.meters[customer.number].record(self.now, client_try.request.units)
            self.figures.record_sent(client_try)
        bucket.open_attempts += 1
        delay = self.deployment.service_time(client_try.request.class_index, self.random)
        self._schedule(
            self.now + delay, self._finish_attempt, gateway, client_try, client_try.attempts_sent, delay
        )
        client_try.attempts_sent += 1

    def _finish_attempt(self, gateway: int, client_try: ClientTry, attempt_number: int, delay: float) -> None:
        customer = client_try.customer
        bucket = self.buckets[customer.number]
        bucket.open_attempts -= 1
        usage = None
        if self.deployment.meter_period:
            usage = self.meters[customer.number].read(self.now, customer.plan.rate)
            usage = round(usage * 100) / 100
        units = self._correct_units(client_try)
        event = api.AttemptDone(
            client_try.request.id, attempt_number, api.Outcome.OK, delay, True, usage=usage, units=units
        )
        if not client_try.ended:
            client_try.ended = True
            self.figures.record_served(client_try)
        self._deliver(gateway, event)

    def _correct_units(self, client_try: ClientTry) -> float | None:
        """The true units, if responses tell them; the first response corrects the bucket."""
        if not self.deployment.post_paid:
            return None
        units = client_try.arrival.true_units
        if client_try.within_quota and not client_try.corrected:
            self.buckets[client_try.customer.number].correct(units - client_try.request.units)
        client_try.corrected = True
        return units

    def _refuse_try(self, client_try: ClientTry, retry_after: float) -> None:
        if client_try.ended:
            return
        client_try.ended = True
        bucket = self.buckets[client_try.customer.number]
        self.figures.record_refused(client_try, bucket.level_at(self.now))
        delay = self.deployment.clients.retry_delay(client_try.retry_number, retry_after, self.random)
        if delay is not None:
            retry_at = self.now + delay
            self._schedule(
                retry_at,
                self._start_retry,
                client_try.arrival,
                client_try.gateway,
                client_try.retry_number + 1,
            )

    # The counter

    def _call_counter(self, gateway: int, call: api.CounterAdd) -> None:
        round_trip = self.deployment.counter_round_trip(gateway)
        deadline = self.now + self.deployment.counter.timeout
        result = self.counter.add(self.now, call.name, call.amount, call.lifetime)
        answered_at = result.at + round_trip
        self.figures.counter_calls += 1
        if result.total is None:
            self._schedule_reply(answered_at, gateway, api.CounterReply(call.name, False, 0.0))
        elif answered_at > deadline:
            self._schedule_reply(deadline, gateway, api.CounterReply(call.name, False, 0.0, maybe_added=True))
        else:
            self._schedule_reply(answered_at, gateway, api.CounterReply(call.name, True, result.total))

    def _schedule_reply(self, when: float, gateway: int, reply: api.CounterReply) -> None:
        if not reply.ok:
            self.figures.counter_unanswered += 1
        self._schedule(when, self._deliver, gateway, reply)
