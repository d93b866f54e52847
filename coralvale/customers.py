"""The restrictors of the customers that this gateway knows: how many are kept, and which go first.

Every customer that sends a request has one. Their number is limited, as clients may name ever new customers;
the time that it takes to update them all is spread, as other requests wait meanwhile.
"""

from __future__ import annotations

import math
from collections import deque
from itertools import islice

from coralvale.restrictor import Restrictor

IDLE_TIMEOUT_S = 60.0  # time without requests after which a customer's restrictor may be dropped
MAX_UPDATES_AT_ONCE = 4000  # restrictors updated in one go, which takes some 7 ms; the rest follows later
EVICTION_CANDIDATES = 16  # customers without a request for longest, of which one is dropped for a new one


class CustomerTable:
    """At most `max_customers` restrictors by customer, the one without a request for longest first."""

    def __init__(self, max_customers: float = math.inf) -> None:
        self.max_customers = max_customers
        self.restrictors: dict[int, Restrictor] = {}
        self._due = deque[int]()  # customers whose leak rate is still to be updated

    def touch(self, customer: int) -> Restrictor | None:
        """The restrictor of a customer that has sent a request, None if there is none."""
        restrictor = self.restrictors.pop(customer, None)
        if restrictor is not None:
            self.restrictors[customer] = restrictor
        return restrictor

    def add(self, now: float, customer: int, restrictor: Restrictor) -> bool:
        """Adds a new customer; returns whether there was room for it or another one could be dropped."""
        if len(self.restrictors) >= self.max_customers and not self._drop_one(now):
            return False
        self.restrictors[customer] = restrictor
        return True

    def _drop_one(self, now: float) -> bool:
        """Drops the restrictor whose loss does least harm among those without a request for longest.

        That is one that limits nothing now, else one whose customer gets a part of its burst again. Those
        with attempts outstanding or a ceiling in use stay.
        """
        candidates = list(islice(self.restrictors.items(), EVICTION_CANDIDATES))
        for _, restrictor in candidates:
            restrictor.drain(now)
        for may_go in (Restrictor.can_be_dropped, Restrictor.holds_no_limit):
            for customer, restrictor in candidates:
                if may_go(restrictor):
                    del self.restrictors[customer]
                    return True
        return False

    def begin_update(self) -> None:
        """Has all leak rates updated, by this and the next calls of `update_rates`."""
        if not self._due:
            self._due.extend(self.restrictors)

    def update_rates(self, now: float) -> None:
        """Updates leak rates that are due, at most `MAX_UPDATES_AT_ONCE`, and drops idle customers."""
        for _ in range(min(len(self._due), MAX_UPDATES_AT_ONCE)):
            customer = self._due.popleft()
            restrictor = self.restrictors.get(customer)
            if restrictor is None:
                continue
            restrictor.update_rate(now)
            if now - restrictor.last_request_at > IDLE_TIMEOUT_S and restrictor.can_be_dropped():
                del self.restrictors[customer]
