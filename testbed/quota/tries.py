"""State of one request in the simulation."""

from __future__ import annotations

from dataclasses import dataclass

from coralvale import interface as api
from testbed.quota.customers import Customer
from testbed.quota.deployment import Arrival


@dataclass(slots=True)
class ClientTry:
    """One request of a client to one gateway; a retry by the client is a new try.

    It is not an attempt, which is what a gateway sends to a host.
    """

    request: api.Request
    arrival: Arrival
    gateway: int
    retry_number: int  # 0 for the first try
    sent: bool = False  # to a host, at least once
    corrected: bool = False  # the true units have been told
    within_quota: bool = False  # by the true bucket, when first sent
    ended: bool = False  # answered or refused
    attempts_sent: int = 0

    @property
    def customer(self) -> Customer:
        """The customer whose request it is."""
        return self.arrival.customer
