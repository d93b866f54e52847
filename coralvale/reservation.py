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
    in_shared: float = 0.0  # on the counter's number, in a call that is out, or to be told with the next one
    in_pool: float = 0.0  # the same for the pool of the ceiling
    in_bucket: float = 0.0  # in this gateway's own bucket
    in_ceiling: float = 0.0  # of this gateway's own part of the ceiling
    ceiling_most: float = 0.0  # units that this part held at most when they were taken
    released: bool = False

    def charge(self) -> None:
        """Takes the units where no call has taken them, once a server has been chosen for the request."""
        restrictor, units = self.restrictor, self.request.units
        self.in_bucket = restrictor.charge(units)
        if not self.in_shared:
            self.in_shared = restrictor.tell_let_in(units)
        if not self.in_pool:
            self.ceiling_most = restrictor.ceiling_burst
            self.in_ceiling = restrictor.charge_ceiling(units)

    def correct(self, true_units: float) -> None:
        """Takes the true units that an answer tells: both buckets held a guess. A ceiling keeps it."""
        difference = true_units - self.request.units
        self.restrictor.fill += difference
        self.in_shared += self.restrictor.tell_let_in(difference)

    def release(self) -> None:
        """Gives all of it back: the request is refused after all, or ends without having been sent on."""
        if self.released:
            return
        self.released = True
        restrictor = self.restrictor
        restrictor.unreported -= self.in_shared  # taken back with the next call
        restrictor.pool_unreported -= self.in_pool
        restrictor.refund(self.request.units if self.in_bucket else 0.0, self.in_bucket)
        restrictor.refund_ceiling(self.in_ceiling, self.ceiling_most)

    def not_added(self, amount: float, pool: bool) -> None:
        """A call for this request was surely not added: what it carried besides is told with the next one.

        Where the request has been released, its units are being taken back, so they are told as well.
        """
        carried = amount if self.released else amount - (self.in_pool if pool else self.in_shared)
        self.restrictor.tell_later(carried, pool)
        self.keep_nothing(pool)

    def keep_nothing(self, pool: bool) -> None:
        """The counter holds no units of the request any more, or a call that takes them back is out."""
        if pool:
            self.in_pool = 0.0
        else:
            self.in_shared = 0.0
