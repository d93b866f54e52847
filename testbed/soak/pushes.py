"""Customers that ask for far more than their ceiling while the counter entry of its pool is replaced."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable

from coralvale.shared_bucket import COUNTER_ENTRY_ROTATION_S
from coralvale.shared_quota import POOL_KEY_OFFSET, ROTATION_PHASES
from testbed.soak.clients import PUSHED_PLAN, Clients, Request
from testbed.soak.plan import PUSH_LEAD_S, SPIKE_LEAD_S, Push
from testbed.soak.record import Ceiling

FIRST_CUSTOMER = 1000  # of those whose entries are replaced at different times
UNITS = 4  # of each request
CEILING_RATE, CEILING_BURST = 114.0, 320.0  # units a second, units
CEILING_TOLERANCE = float(UNITS)  # units: one request
UNITS_PER_SECOND = 500.0  # in a push: uses up the ceiling's burst ahead of the replacement
PUSH_S = PUSH_LEAD_S + 1.9
# Ahead of a push one gateway gets more than its even share of the ceiling, so that the pool is in use.
SPIKE_REQUESTS, SPIKE_INTERVAL_S = 8, 0.04
SPIKE_GATEWAY = 0


def next_replacement(customer: int, after: float) -> float:
    """The Unix time at which the entry of a customer's pool is next replaced."""
    key = customer + POOL_KEY_OFFSET
    rotation = after / COUNTER_ENTRY_ROTATION_S + key % ROTATION_PHASES / ROTATION_PHASES
    return after + (1 - rotation % 1) * COUNTER_ENTRY_ROTATION_S


def choose_customer(after: float) -> int:
    """The customer, one for each time of replacement, whose entry is replaced first after a Unix time."""
    customers = range(FIRST_CUSTOMER, FIRST_CUSTOMER + ROTATION_PHASES)
    return min(customers, key=lambda customer: next_replacement(customer, after))


class PushingClients:
    """Plays one push: a spike at one gateway, a pause, and the push across the replacement."""

    def __init__(
        self, push: Push, clients: Clients, rng: random.Random, add_ceiling: Callable[[Ceiling], None]
    ) -> None:
        self.push, self.clients, self.rng, self.add_ceiling = push, clients, rng, add_ceiling

    async def send_requests(self, begin: float) -> None:
        """Sends all requests; `begin` is the start of the run (s, monotonic)."""
        to_unix_time = time.time() - time.monotonic()
        customer = choose_customer(begin + self.push.replaced_after + to_unix_time)
        replaced_at = next_replacement(customer, begin + self.push.replaced_after + to_unix_time)
        self.add_ceiling(Ceiling(customer, CEILING_RATE, CEILING_BURST, CEILING_TOLERANCE))
        push_at = replaced_at - to_unix_time - PUSH_LEAD_S
        for number in range(SPIKE_REQUESTS):
            await self._wait_until(push_at - SPIKE_LEAD_S + number * SPIKE_INTERVAL_S)
            self._send(customer, SPIKE_GATEWAY)
        due = push_at
        while (due := due + self.rng.expovariate(UNITS_PER_SECOND / UNITS)) < push_at + PUSH_S:
            await self._wait_until(due)
            self._send(customer, self.rng.randrange(len(self.clients.gateways)))

    @staticmethod
    async def _wait_until(due: float) -> None:
        await asyncio.sleep(max(0.0, due - time.monotonic()))

    def _send(self, customer: int, gateway: int) -> None:
        request = Request(
            id=self.clients.next_id(),
            idempotency="safe",
            plan=PUSHED_PLAN,
            customer=customer,
            units=UNITS,
            timeout=self.clients.timeout,
            gateway=gateway,
            entry_gateways=len(self.clients.gateways),
        )
        self.clients.start_request(request)
