"""What one request has taken from its customer's quota and ceiling, so that it can be given back.

A request's units are held in up to three places: the local bucket, the bucket shared on the counter and, for
a plan with a ceiling, either this gateway's share of the ceiling or the ceiling's pool on the counter.
"""

from __future__ import annotations

from dataclasses import dataclass

from coralvale import interface as api
from coralvale.restrictor import Restrictor


@dataclass(slots=True, eq=False)
class Reservation:
    """The units of one request by place, since its first call to the counter or its charge.

    It is released at most once.
    """

    request: api.Request
    restrictor: Restrictor
    # In the shared bucket, in a pending call to it, or queued for the next call. If sampling leaves the
    # request out, the calls of similar requests add these units, on average, as extrapolated units.
    shared_units: float = 0.0
    pool_units: float = 0.0  # likewise for the ceiling's pool, whose calls are not sampled
    pool_entry: int | None = None  # name of the pool's counter entry that has these units
    local_units: float = 0.0  # by which the request has increased the local bucket's fill
    ceiling_tokens_taken: float = 0.0  # from this gateway's share of the ceiling
    max_ceiling_tokens: float = 0.0  # the most that the share could hold when they were taken
    released: bool = False

    def charge(self) -> None:
        """Takes the units wherever no call has taken them; called when a host has been chosen."""
        restrictor, units = self.restrictor, self.request.units
        self.local_units = restrictor.charge(units)
        if not self.shared_units:
            self.shared_units = restrictor.queue_admitted(units)
        if not self.pool_units:
            self.max_ceiling_tokens = restrictor.unpooled_ceiling_burst
            self.ceiling_tokens_taken = restrictor.charge_ceiling(units)

    def correct(self, true_units: float) -> None:
        """Replaces the estimated units by those that a response reports, in the local and shared buckets.

        The ceiling keeps the estimate.
        """
        difference = true_units - self.request.units
        self.restrictor.fill += difference
        self.shared_units += self.restrictor.queue_admitted(difference)

    def release(self) -> None:
        """Gives all units back: the request is refused after all, or ends without having been sent."""
        if self.released:
            return
        self.released = True
        restrictor = self.restrictor
        restrictor.queue_for_next_call(-self.shared_units)  # taken back with the next call
        restrictor.queue_for_next_call(-self.pool_units, self.pool_entry)
        restrictor.refund(self.request.units if self.local_units else 0.0, self.local_units)
        restrictor.refund_ceiling(self.ceiling_tokens_taken, self.max_ceiling_tokens)

    def handle_call_not_added(self, amount: float, pool_entry: int | None) -> None:
        """Handles a call for this request that was certainly not added to its counter entry.

        What the call carried besides the request's own units is queued for the next call. If the request has
        been released, `release` has queued the removal of its own units, so they are queued as well.
        """
        is_pool = pool_entry is not None
        carried = amount if self.released else amount - (self.pool_units if is_pool else self.shared_units)
        self.restrictor.queue_for_next_call(carried, pool_entry)
        self.clear_counter_units(is_pool)

    def clear_counter_units(self, is_pool: bool) -> None:
        """Records that the counter holds no units of the request, or that a call to remove them is made."""
        if is_pool:
            self.pool_units = 0.0
        else:
            self.shared_units = 0.0
