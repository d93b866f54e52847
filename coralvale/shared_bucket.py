"""A leaky bucket that several gateways share: how its fill follows from the total of a counter entry.

The counter only adds. An entry's total holds the units of all gateways' calls since the entry came into use;
the fill is that total less what has leaked meanwhile. A bucket that was empty for a time has leaked less than
that, so its computed fill is negative, and a call fills it up to 0.

Entries are replaced at fixed times, and the counter may forget one. A new entry has a total of 0, whatever
use there was just before. For a customer's quota that counts as an empty bucket. For the pool of a ceiling,
which must not be refilled, it counts as a full one until a gateway has initialized the entry: it raises the
total to an offset, by which all gateways recognize it, and to what makes the bucket full. Until that call has
arrived no gateway admits a request by the pool, and if those of several gateways cross, all but the first are
taken back.
"""

from __future__ import annotations

from dataclasses import dataclass

COUNTER_ENTRY_ROTATION_S = 50.0  # time for which a counter entry serves, after which another replaces it
UNDERFLOW_TOLERANCE = 0.25  # of the burst, by which a fill may be negative before it is filled up
UNDO_FILL_UP_THRESHOLD = 0.5  # of that tolerance: a fill-up that met a smaller underflow is undone
# The offset of an initialized pool. All calls under way at once must stay below it; but the larger it is, the
# less exact are the seven digits of a total.
OFFSET_IN_ENTRY_UNITS = 64.0  # times the units that a pool admits while its entry serves


@dataclass(frozen=True, slots=True)
class SharedBucket:
    """A leaky bucket kept in one counter entry."""

    name: int  # of the counter entry
    started_at: float  # when the counter entry came into use, the same for all gateways
    rate: float  # leak rate in units a second
    burst: float  # units
    is_pool: bool = False  # whether it is the pool of a ceiling
    gateways: int = 1  # that use it

    @property
    def pool_entry(self) -> int | None:
        """The name of its counter entry, if it is the pool of a ceiling."""
        return self.name if self.is_pool else None

    @property
    def expires_at(self) -> float:
        """When another counter entry replaces this one, whose total is then no longer used."""
        return self.started_at + COUNTER_ENTRY_ROTATION_S

    @property
    def offset(self) -> float:
        """What a pool's total exceeds the units in it by once its entry is initialized."""
        return OFFSET_IN_ENTRY_UNITS * (self.burst + self.rate * COUNTER_ENTRY_ROTATION_S)

    def is_initialized(self, total: float) -> bool:
        """Whether a total tells the fill: that of a pool does not while its entry is new."""
        return not self.is_pool or total >= self.offset

    def initial_amount(self, now: float, total: float) -> float:
        """What the call has to add that initializes a new pool, whose entry has this total.

        Units in the total belong to requests that a new pool refuses, so they are about to be taken back. If
        the total is negative, units were taken back that the counter had forgotten.
        """
        return self.offset + self.burst + self.rate * (now - self.started_at) - min(0.0, total)

    def fill(self, now: float, total: float) -> float:
        """The fill at a total; negative if less was used than could have leaked.

        Calls that initialize a pool may cross, one of each gateway. Those beyond the first are about to be
        taken back, so the offset and the full burst of each are left out.
        """
        if self.is_pool:
            initializations = min(total // self.offset, self.gateways)
            total -= initializations * self.offset + (initializations - 1) * self.burst
        return total - self.rate * (now - self.started_at)

    def has_underflow(self, fill: float) -> bool:
        """Whether a fill is so far below 0 that the bucket has to be filled up."""
        return fill < -UNDERFLOW_TOLERANCE * self.burst

    def is_filled_up(self, now: float, total: float) -> bool:
        """Whether a total needs no fill-up, so that one that met it is to be undone."""
        if not self.is_initialized(total):
            return False
        return self.fill(now, total) > -UNDO_FILL_UP_THRESHOLD * UNDERFLOW_TOLERANCE * self.burst
