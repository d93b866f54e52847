"""A request at a gateway as the simulation and its figures know it."""

from __future__ import annotations

from dataclasses import dataclass

from coralvale import interface as api
from testbed.quota.customers import Customer
from testbed.quota.deployment import Arrival


@dataclass(slots=True)
class ClientTry:
    """One request of a client at one gateway; a client's retry is another."""

    request: api.Request
    arrival: Arrival
    gateway: int
    retry_number: int
    sent: bool = False
    corrected: bool = False
    within_quota: bool = False
    ended: bool = False
    attempts_sent: int = 0

    @property
    def customer(self) -> Customer:
        """Whose request it is."""
        return self.arrival.customer
