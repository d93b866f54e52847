"""What one request has taken from its customer's quota, in which places, and how it is given back.

A request's units lie in up to four places: this gateway's own bucket, the bucket shared on the counter, and
for a plan with a ceiling this gateway's own part of it or the pool on the counter.
"""

from __future__ import annotations

from dataclasses import dataclass

from coralvale import interface as api
from coralvale.restrictor import Restrictor


@dataclass(slots=True, eq=False)
class Reservation:
    """The units of one request by place, from the first call or charge for it on; released at most once."""

    request: api.Request
    restrictor: Restrictor
    shared_units: float = (
        0.0  # on the counter's number, in a call that is out, or to be told with the next one
    )
    pool_units: float = 0.0  # the same for the pool of the ceiling
    local_units: float = 0.0  # in this gateway's own bucket
    ceiling_tokens_taken: float = 0.0  # of this gateway's own part of the ceiling
    max_ceiling_tokens: float = 0.0  # units that this part held at most when they were taken
    released: bool = False

    def charge(self) -> None:
        """Takes the units where no call has taken them, once a server has been chosen for the request."""
        restrictor, units = self.restrictor, self.request.units
        self.local_units = restrictor.charge(units)
        if not self.shared_units:
            self.shared_units = restrictor.queue_admitted(units)
        if not self.pool_units:
            self.max_ceiling_tokens = restrictor.unpooled_ceiling_burst
            self.ceiling_tokens_taken = restrictor.charge_ceiling(units)

    def correct(self, true_units: float) -> None:
        """Takes the true units that an answer tells: both buckets held a guess. A ceiling keeps it."""
        difference = true_units - self.request.units
        self.restrictor.fill += difference
        self.shared_units += self.restrictor.queue_admitted(difference)

    def release(self) -> None:
        """Gives all of it back: the request is refused after all, or ends without having been sent on."""
        if self.released:
            return
        self.released = True
        restrictor = self.restrictor
        restrictor.unreported_units -= self.shared_units  # taken back with the next call
        restrictor.unreported_pool_units -= self.pool_units
        restrictor.refund(self.request.units if self.local_units else 0.0, self.local_units)
        restrictor.refund_ceiling(self.ceiling_tokens_taken, self.max_ceiling_tokens)

    def handle_call_not_added(self, amount: float, is_pool: bool) -> None:
        """A call for this request was surely not added: what it carried besides is told with the next one.

        Where the request has been released, its units are being taken back, so they are told as well.
        """
        carried = amount if self.released else amount - (self.pool_units if is_pool else self.shared_units)
        self.restrictor.queue_for_next_call(carried, is_pool)
        self.clear_counter_units(is_pool)

    def clear_counter_units(self, is_pool: bool) -> None:
        """The counter holds no units of the request any more, or a call that takes them back is out."""
        if is_pool:
            self.pool_units = 0.0
        else:
            self.shared_units = 0.0
