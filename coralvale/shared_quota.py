"""Buckets on the shared counter, each one leaky bucket for all entry gateways of a customer together.

A gateway that sees one of a customer's requests in many seconds cannot tell how much the customer uses. It
asks the counter instead: one call adds the request's units to the customer's entry and returns the entry's
total. The counter itself does not leak. The fill of the shared bucket is the total less what has leaked at
the plan's rate since the entry came into use. The request is admitted if that fill, its own units included,
is within the burst; otherwise another call takes the units back. Units that a local bucket has admitted are
queued, and added with the gateway's next call.

Entries are rotated: each serves a customer for a fixed time, then another takes its place, with an empty
bucket. Units that leak but were never used make the computed fill negative. An idle customer must not save
up more than a burst, so a fill-up call adds the missing units once the fill is too far below empty.

Another entry holds the pool of a customer's ceiling. It serves those gateways that receive more of the
customer's requests than their even share of the ceiling admits. Its bucket starts full, so that rotation does
not refill the ceiling.
"""

from __future__ import annotations

import math
import random
from collections import deque
from dataclasses import dataclass

from coralvale import interface as api
from coralvale.reservation import Reservation
from coralvale.restrictor import UNDERFLOW_TOLERANCE, Restrictor

COUNTER_ENTRY_TTL_S = 60.0  # for which the counter keeps an entry; the longest that it allows
COUNTER_ENTRY_ROTATION_S = 50.0  # for which an entry serves; the next starts empty, with a full burst to use
ROTATION_PHASES = 97  # points in the rotation time at which entries are replaced, spread over the customers
MIN_TIME_LEFT_IN_TIMEOUTS = 4.0  # counter timeouts that a request must have left for the counter to be asked
LOST_REPLY_AGE_IN_TIMEOUTS = 2.0  # counter timeouts after which a reply is taken to be lost
UNDO_FILL_UP_THRESHOLD = 0.5  # share of UNDERFLOW_TOLERANCE; fill-ups of a smaller underflow are undone
INITIAL_COVERAGE = 0.75  # below 1, as all gateways may start at once
COVERAGE_ALL_CUSTOMERS = 1.0  # coverage from which on all customers are counted
COVERAGE_ALL_REQUESTS = 2.0  # the highest coverage: small requests are no longer sampled, all are asked about
TARGET_CONGESTION = 0.25  # at which the coverage is kept; above 0, as a well used counter has a short queue
# By which the logarithm of the coverage changes in a second, for each unit of congestion off the target. It
# rises faster than it falls, so that a counter that was lost is soon used again.
COVERAGE_DECREASE_RATE = 1.0
COVERAGE_INCREASE_RATE = 4.0
CONGESTION_EWMA_WEIGHT = 0.1  # of the newest call; with more, the gateways' estimates would differ widely
CONGESTION_TIME_CONSTANT_S = 5.0  # with which congestion decays while no calls are made
BACKOFF_FACTOR = 0.25  # share of the time in which an even share of the quota leaks the refused units
MIN_COVERAGE = 0.05  # kept under any congestion, to notice when the counter has capacity again
POOL_KEY_OFFSET = 1 << 33  # from a customer's number to the key of its pool; above all customers' numbers
# Multiples of it, modulo 1, spread the customers' numbers evenly over 0 to 1.
GOLDEN_RATIO_CONJUGATE = (math.sqrt(5) - 1) / 2
MEAN_PRICE_EWMA_WEIGHT = 0.05  # of the newest request in the mean price of plans
MIN_DELAY_DRIFT_PER_S = 0.01  # share by which the lowest delay seen is raised, as the counter may have moved
MAX_CALL_UNITS = 1e9  # that one call may add or take back; the counter rejects more
NEW_ENTRY_TOLERANCE = 1e-6  # share of a call's amount by which the total of a new entry may exceed it
Calls = list[api.Action]  # calls to the counter, to be made in this order


@dataclass(slots=True)
class SharedBucket:
    """A leaky bucket in one entry of the counter."""

    name: int  # of the entry
    started_at: float  # when the entry came into use, the same for all gateways
    rate: float  # leak rate in units a second
    burst: float  # units
    is_pool: bool = False  # the pool of a ceiling: starts full, and again if the counter has lost the entry

    @property
    def expires_at(self) -> float:
        """When another entry takes its place and its total no longer counts."""
        return self.started_at + COUNTER_ENTRY_ROTATION_S

    def fill_before(self, now: float, total: float, amount: float) -> float:
        """The fill before a call added its amount; negative if some of the leaked units were never used."""
        return total - amount - self.rate * (now - self.started_at)


@dataclass(slots=True)
class PendingCall:
    """A call to the counter that awaits its reply. Without a reservation it fills up or takes back units."""

    sent_at: float
    bucket: SharedBucket
    amount: float  # units to add: of the request, extrapolated ones, and those queued for this call
    restrictor: Restrictor
    reservation: Reservation | None = None
    extrapolated_units: float = 0.0  # of the requests like this one that the sampling leaves out
    is_fill_up: bool = False  # raises a negative fill, see `SharedQuota._correct_underflow`

    @property
    def request(self) -> api.Request | None:
        """The request that the reply decides on; None if there is none or its client has left."""
        is_waiting = self.reservation and not self.reservation.released
        return self.reservation.request if self.reservation and is_waiting else None


def has_total(event: api.CounterReply) -> bool:
    """Whether a reply carries a usable total."""
    return event.ok and math.isfinite(event.total)


def _clamp_amount(amount: float) -> float:
    """The part of an amount that one call may carry."""
    return max(-MAX_CALL_UNITS, min(MAX_CALL_UNITS, amount))


class SharedQuota:
    """This gateway's calls to the counter: which to make, what their totals mean, how congested it is.

    The coverage says how much of the traffic the counter is asked about. Up to COVERAGE_ALL_CUSTOMERS it is
    the share of customers that are counted: their shared buckets decide on their requests. From there up to
    COVERAGE_ALL_REQUESTS all customers are counted, and a growing share of their small requests is sampled.
    The coverage falls while the counter is congested, and rises again otherwise.
    """

    def __init__(self, settings: api.Settings, rng: random.Random) -> None:
        self.settings, self.random = settings, rng
        self.pending: dict[int, deque[PendingCall]] = {}  # by name of the entry, in the order of the replies
        self.waiting: dict[str, Reservation] = {}  # by request id: those that a reply will decide on
        self.coverage, self.updated_at = INITIAL_COVERAGE, -math.inf
        self.congestion = 0.0  # mean delay of calls, from 0 for the lowest delay seen to 1 for the timeout
        self.min_delay = math.inf  # s, the lowest seen, taken for that of an idle counter
        self.mean_price = 0.0  # of the plans of requests that the counter may be asked about

    # Calls

    def should_count(self, now: float, request: api.Request, restrictor: Restrictor) -> bool:
        """Whether the request's customer is counted and there is time for a reply. Updates the coverage."""
        timeout, elapsed = self.settings.counter_timeout, min(1.0, now - self.updated_at)
        elapsed = 0.0 if self.updated_at == -math.inf else elapsed
        self.updated_at = now
        adjustment_rate = (
            COVERAGE_DECREASE_RATE if self.congestion > TARGET_CONGESTION else COVERAGE_INCREASE_RATE
        )
        self.coverage *= math.exp(adjustment_rate * elapsed * (TARGET_CONGESTION - self.congestion))
        self.coverage = max(MIN_COVERAGE, min(COVERAGE_ALL_REQUESTS, self.coverage))
        self.congestion *= math.exp(-elapsed / CONGESTION_TIME_CONSTANT_S)  # without calls none is seen
        self.min_delay *= 1 + MIN_DELAY_DRIFT_PER_S * elapsed
        price = restrictor.plan.price
        self.mean_price += MEAN_PRICE_EWMA_WEIGHT * (price - self.mean_price) if self.mean_price else price
        # If not all customers can be counted, all gateways choose the same ones: a shared bucket that is told
        # of a part of the use only is no better than none. Those with higher prices are more likely chosen.
        in_time = request.expires_at - now > MIN_TIME_LEFT_IN_TIMEOUTS * timeout
        return (
            in_time
            and request.customer * GOLDEN_RATIO_CONJUGATE % 1 * self.mean_price < self.coverage * price
        )

    def sampling_probability(self, units: float) -> float:
        """Probability that the counter is asked about a request; the larger the request, the higher it is.

        Most requests are small and most units are in large ones, so sampling the small ones saves most calls
        and misses few units.
        """
        share = min(1.0, units / self.settings.max_units) if self.settings.max_units < math.inf else 1.0
        return min(
            1.0,
            share
            + (1 - share)
            * max(0.0, self.coverage - COVERAGE_ALL_CUSTOMERS)
            / (COVERAGE_ALL_REQUESTS - COVERAGE_ALL_CUSTOMERS),
        )

    def quota_call(self, now: float, reservation: Reservation) -> Calls:
        """The call whose reply decides on a counted customer's request; none if sampling leaves it out."""
        request, restrictor = reservation.request, reservation.restrictor
        # If it is left out, sampled requests report its units, on average, as their extrapolated units.
        reservation.shared_units = request.units
        probability = self.sampling_probability(request.units)
        if probability < 1 and self.random.random() >= probability:
            return []
        plan, (name, started_at) = restrictor.plan, self._current_counter_entry(now, request.customer)
        bucket = SharedBucket(name, started_at, plan.rate, plan.burst)
        # Local buckets decide on the requests that are left out. So units are extrapolated only while the
        # local bucket admits requests; units that nobody uses would keep the shared bucket full.
        represented_requests = 1 / probability - 1 if restrictor.would_admit(now, request.units) else 0.0
        extrapolated_units = request.units * represented_requests
        amount = self._call_amount(request.units + extrapolated_units, restrictor, is_pool=False)
        return [self._enqueue(PendingCall(now, bucket, amount, restrictor, reservation, extrapolated_units))]

    def pool_call(self, now: float, reservation: Reservation) -> Calls:
        """The call whose reply decides by the ceiling's pool; none without a pool or the time to wait."""
        request, restrictor = reservation.request, reservation.restrictor
        if (
            not restrictor.pool_limits[0]
            or request.expires_at - now <= MIN_TIME_LEFT_IN_TIMEOUTS * self.settings.counter_timeout
        ):
            return []
        name, started_at = self._current_counter_entry(now, request.customer + POOL_KEY_OFFSET)
        bucket = SharedBucket(name, started_at, *restrictor.pool_limits, is_pool=True)
        reservation.pool_units = request.units
        amount = self._call_amount(request.units, restrictor, is_pool=True)
        return [self._enqueue(PendingCall(now, bucket, amount, restrictor, reservation))]

    def _current_counter_entry(self, now: float, key: int) -> tuple[int, float]:
        """Name of the counter's entry that serves a key now, and when it came into use."""
        rotation = now / COUNTER_ENTRY_ROTATION_S + key % ROTATION_PHASES / ROTATION_PHASES
        return key << 24 | int(rotation) & 0xFFFFFF, now - rotation % 1 * COUNTER_ENTRY_ROTATION_S

    def _call_amount(self, units: float, restrictor: Restrictor, is_pool: bool) -> float:
        """The units together with those queued, as far as one call may carry them; the rest stays queued."""
        unreported_units = restrictor.unreported_pool_units if is_pool else restrictor.unreported_units
        amount = _clamp_amount(units + unreported_units)
        restrictor.queue_for_next_call(units - amount, is_pool)
        return amount

    def _enqueue(self, call: PendingCall) -> api.CounterAdd:
        self.pending.setdefault(call.bucket.name, deque()).append(call)
        if call.reservation:
            self.waiting[call.reservation.request.id] = call.reservation
        return api.CounterAdd(call.bucket.name, call.amount, COUNTER_ENTRY_TTL_S)

    # Replies

    def match_reply(self, now: float, event: api.CounterReply) -> PendingCall | None:
        """The call that a reply belongs to, if any; updates the congestion by its delay."""
        if not (calls := self.pending.get(event.name)):
            return None
        call = calls.popleft()
        if not calls:
            del self.pending[event.name]
        if call.request:
            del self.waiting[call.request.id]
        self._requeue_failed_call(event, call)
        congestion, timeout = 1.0, max(self.settings.counter_timeout, 1e-3)
        if event.ok:
            # Delays rise before a congested counter fails; once calls fail, they only add to the congestion.
            delay = min(now - call.sent_at, timeout)
            self.min_delay = min(self.min_delay, delay)
            congestion = (delay - self.min_delay) / max(timeout - self.min_delay, 1e-3)
        self.congestion += CONGESTION_EWMA_WEIGHT * (congestion - self.congestion)
        return call

    @staticmethod
    def _requeue_failed_call(event: api.CounterReply, call: PendingCall) -> None:
        """Queues the units of a call that was certainly not added; one that may have been counts as added.

        A pool with too many units refuses too much; with too few, the ceiling would be exceeded. So units
        that may not have been added to a pool are not taken back from it.
        """
        is_pool, reservation = call.bucket.is_pool, call.reservation
        if not event.ok and not event.maybe_added:
            if reservation:
                reservation.handle_call_not_added(call.amount, is_pool)
            elif not call.is_fill_up:
                call.restrictor.queue_for_next_call(call.amount, is_pool)
        elif is_pool and reservation and not has_total(event):
            if reservation.released:
                call.restrictor.queue_for_next_call(reservation.pool_units, is_pool)
            reservation.clear_counter_units(is_pool)

    def apply_total(self, now: float, event: api.CounterReply, call: PendingCall) -> tuple[float, Calls]:
        """Seconds until the bucket has room for the request, 0 if it has now; and the calls to correct it."""
        assert call.reservation
        fill, calls = self._correct_underflow(now, event, call)
        bucket, amount = call.bucket, call.amount - call.extrapolated_units
        wait = max(0.0, max(0.0, fill) + amount - max(bucket.burst, amount)) / bucket.rate
        if wait:  # refused, so its units are taken back
            units = call.reservation.request.units
            calls.append(self._enqueue(PendingCall(now, bucket, -units, call.restrictor)))
            call.reservation.clear_counter_units(bucket.is_pool)
        return wait, calls

    def backoff(self, call: PendingCall) -> float:
        """Seconds for which a congested counter is not asked about a customer whose shared bucket was full.

        As all entry gateways ask, each need not ask as often as the bucket leaks a request. The time is no
        longer than a full bucket takes to drain, after which nothing is known of its fill.
        """
        assert call.request
        congestion_ratio = min(1.0, self.congestion / TARGET_CONGESTION)
        backoff_units = BACKOFF_FACTOR * call.request.units * call.restrictor.entries
        return congestion_ratio * min(call.bucket.burst, backoff_units) / call.bucket.rate

    def undo_fill_up(self, now: float, event: api.CounterReply, call: PendingCall) -> Calls:
        """Takes back a fill-up if another gateway had already filled the bucket up."""
        if not (call.is_fill_up and has_total(event)):
            return []
        bucket = call.bucket
        if (
            bucket.fill_before(now, event.total, call.amount)
            <= -UNDO_FILL_UP_THRESHOLD * UNDERFLOW_TOLERANCE * bucket.burst
        ):
            return []
        return [self._enqueue(PendingCall(now, bucket, -call.amount, call.restrictor))]

    def _correct_underflow(
        self, now: float, event: api.CounterReply, call: PendingCall
    ) -> tuple[float, Calls]:
        """The fill before a call, corrected if it is too far below empty; and the fill-up call to do so."""
        bucket = call.bucket
        fill = bucket.fill_before(now, event.total, call.amount)
        if fill >= -UNDERFLOW_TOLERANCE * bucket.burst:
            return fill, []
        # A pool starts full: a new entry, or one that the counter has lost, must not refill the ceiling.
        is_new = event.total - call.amount <= NEW_ENTRY_TOLERANCE * abs(call.amount)
        target_fill = bucket.burst if bucket.is_pool and is_new else 0.0
        amount = _clamp_amount(target_fill - fill)
        return target_fill, [
            self._enqueue(PendingCall(now, bucket, amount, call.restrictor, is_fill_up=True))
        ]

    def abandon_request(self, request_id: str) -> None:
        """Releases the request of a client that has left: no reply decides on it any more."""
        if reservation := self.waiting.pop(request_id, None):
            reservation.release()

    def overdue_calls(self, now: float) -> list[int]:
        """Entry names of the calls whose reply is taken to be lost, one for each call."""
        max_age = LOST_REPLY_AGE_IN_TIMEOUTS * self.settings.counter_timeout
        return [
            name for name, calls in self.pending.items() for call in calls if now - call.sent_at > max_age
        ]
