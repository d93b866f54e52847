"""The memory that the process may hold for its peers, and the order in which it gives it up.

What each connection holds is counted as it changes: received and unparsed data, requests, responses that are
not sent yet, and a fixed amount for the connection itself. The sum over all peers has one limit, whatever the
memory is held for. Beyond it the process sheds: see `ShedStep`.
"""

from __future__ import annotations

import os
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum
from pathlib import Path

MEBIBYTE = 1024 * 1024
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
MAX_USED_SHARE = 0.9  # of the limit: the rest is for what is not counted
MIN_BUDGET_BYTES = 3 * MEBIBYTE  # enough to serve some hundred clients, however much the process itself takes
CUSTOMERS_SHARE = 0.25  # of what the process leaves, for the records of customers
CUSTOMER_BYTES = 1280  # of a customer's record in the decision module
MIN_CUSTOMERS = 1024  # kept however little memory there is
ROOM_SHARE = 0.75  # of the budget, above which less is read at once and nothing is read ahead
CLIENT_CONNECTION_BYTES = 4 * 1024 + 256  # of a connection that holds no data
HOST_CONNECTION_BYTES = 4 * 1024
REQUEST_BYTES = 3 * 1024  # of a request's records, here and in the decision module, besides its own bytes


class ShedStep(StrEnum):
    """What is given up beyond the limit, in this order; a step is taken again while it finds something."""

    INCOMING_REQUEST = "incoming requests"  # not received in full: stalled ones first, of these the largest
    UNREAD_RESPONSE = "unread responses"  # clients that have not read for a while, the largest first
    IDLE_CLIENT = "idle clients"  # longest idle first
    IDLE_HOST_CONNECTION = "idle host connections"  # longest idle first
    HOST_RESPONSE = "host responses"  # being received, the largest first; the attempt has failed
    NEW_REQUEST = "new requests"  # refused on arrival, while none of the others finds anything


class MemoryBudget:
    """Bytes that may be held for all peers together; takes the steps that are set in `steps` beyond them."""

    def __init__(self, limit: float) -> None:
        self.limit = limit
        self.held = 0
        self.peak = 0  # most bytes held so far
        # Each gives up a part of what is held, and returns whether it found something.
        self.steps: dict[ShedStep, Callable[[], bool]] = {}
        self.shed_counts = Counter[ShedStep]()  # since the last report
        self._is_shedding = False

    @property
    def is_exceeded(self) -> bool:
        """Whether more is held than may be, though nothing more can be given up."""
        return self.held > self.limit

    @property
    def has_room(self) -> bool:
        """Whether so little is held that more may be read than is needed at once."""
        return self.held <= ROOM_SHARE * self.limit

    def change(self, difference: int) -> None:
        """Counts bytes that are held from now on, or no longer if negative; sheds beyond the limit."""
        self.held += difference
        self.peak = max(self.peak, self.held)
        if self.held > self.limit and not self._is_shedding:
            self._shed()

    def _shed(self) -> None:
        self._is_shedding = True
        try:
            for step in ShedStep:
                give_up = self.steps.get(step)
                while give_up and self.held > self.limit and give_up():
                    self.shed_counts[step] += 1
        finally:
            self._is_shedding = False


@dataclass(frozen=True, slots=True)
class MemoryShares:
    """How the memory that the process itself leaves is divided."""

    peers_bytes: float
    max_customers: int


class MemoryGuard:
    """Lowers the budget for peers by what the process takes beyond all that is counted.

    That is, for example, a list of hosts that has grown. Memory that was held once counts as held: the
    allocator keeps it for further use.
    """

    def __init__(self, budget: MemoryBudget, shares: MemoryShares, resident: int) -> None:
        """`resident`: the bytes that the process takes without any peers."""
        self.budget, self.shares, self.resident_at_start = budget, shares, resident

    def update(self, resident: int, customers: int) -> None:
        """Sets the limit from the resident memory and the number of customers' records; 0 bytes: unknown."""
        counted = self.resident_at_start + self.budget.peak + customers * CUSTOMER_BYTES
        excess = max(0, resident - counted)
        self.budget.limit = max(MIN_BUDGET_BYTES, self.shares.peers_bytes - excess)
        self.budget.change(0)


class HeldBytes:
    """What one connection holds, as a part of a budget."""

    __slots__ = ("budget", "size")

    def __init__(self, budget: MemoryBudget) -> None:
        self.budget, self.size = budget, 0

    def set(self, size: int) -> None:
        """Sets the size in bytes; 0 once the connection has ended."""
        difference, self.size = size - self.size, size
        if difference:
            self.budget.change(difference)


def resident_bytes() -> int:
    """The resident memory of this process; 0 if the system does not tell it."""
    try:
        return int(Path("/proc/self/statm").read_bytes().split()[1]) * PAGE_BYTES
    except (OSError, IndexError, ValueError):
        return 0


def share_out(limit_mb: float, resident: int) -> MemoryShares:
    """Divides what a process that may use `limit_mb` MiB and takes `resident` bytes itself leaves."""
    free = max(0.0, MAX_USED_SHARE * limit_mb * MEBIBYTE - resident)
    customers = int(CUSTOMERS_SHARE * free / CUSTOMER_BYTES)
    return MemoryShares(max(MIN_BUDGET_BYTES, (1 - CUSTOMERS_SHARE) * free), max(MIN_CUSTOMERS, customers))
