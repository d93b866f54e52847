"""Buckets on the shared counter, each one leaky bucket for all entry gateways of a customer together.

A gateway that sees a customer's request only every many seconds cannot tell how much the customer uses. It
asks the counter instead: one call adds the request's units to the customer's counter entry and returns the
entry's total. The counter itself does not leak. To get the fill of the shared bucket, the gateway subtracts
from the total what has leaked at the plan's rate since the counter entry came into use. The call also adds
units that the local bucket has admitted and that were queued for it. The request is admitted if the fill
before the call, plus its own and the queued units, is within the burst, or if the bucket was empty.
Otherwise another call takes the request's own units back. A customer about whose requests the counter is
asked is called counted; if it is asked about a part of them only, those are called sampled.

Another counter entry holds the pool of a customer's ceiling. It serves those gateways that receive more of
the customer's requests than their even share of the ceiling admits. Counter entries are rotated: each serves
for a fixed time and is then replaced by another. For a quota the next one begins with an empty bucket, for a
pool with a full one; see coralvale/shared_bucket.py.
"""

from __future__ import annotations

import math
import random
from collections import deque
from dataclasses import dataclass, replace

from coralvale import interface as api
from coralvale.reservation import Reservation
from coralvale.restrictor import Restrictor
from coralvale.shared_bucket import COUNTER_ENTRY_ROTATION_S, SharedBucket

COUNTER_ENTRY_TTL_S = 60.0  # time for which the counter keeps an entry; the longest that it allows
ROTATION_PHASES = 97  # points in the rotation time over which the replacements of entries are spread
# In counter timeouts: the time that a request must have left for the counter to be asked, and the age of a
# call after which its reply is taken to be lost.
MIN_TIME_LEFT_IN_TIMEOUTS = 4.0
LOST_REPLY_AGE_IN_TIMEOUTS = 2.0
INITIAL_COVERAGE = 0.75  # below 1, as all gateways may start at once
COVERAGE_ALL_CUSTOMERS = 1.0  # coverage at which all customers of at least the mean price are counted
COVERAGE_ALL_REQUESTS = 2.0  # the highest coverage: the counter is asked about every small request, too
# Congestion at which the coverage stays as it is; above 0, as a well used counter has a short queue.
TARGET_CONGESTION = 0.25
# Change of the coverage's logarithm in a second, for each unit of congestion off the target. The coverage
# rises faster than it falls, so that a counter that did not answer is soon used again.
COVERAGE_DECREASE_RATE = 1.0
COVERAGE_INCREASE_RATE = 4.0
# Weight of the newest call; if it were higher, the gateways' estimates would differ widely.
CONGESTION_EWMA_WEIGHT = 0.1
# Time constant of the congestion's decay, by which it is forgotten if no calls are made.
CONGESTION_TIME_CONSTANT_S = 5.0
BACKOFF_FACTOR = 0.25  # share of the time in which an even share of the leak rate leaks a refused request
MIN_COVERAGE = 0.05  # lowest coverage under any congestion, to notice when the counter has capacity again
POOL_KEY_OFFSET = 1 << 33  # added to a customer's number for the key of its pool; above all such numbers
# Customer numbers times this, modulo 1, are spread evenly over 0 to 1.
GOLDEN_RATIO_CONJUGATE = (math.sqrt(5) - 1) / 2
MEAN_PRICE_EWMA_WEIGHT = 0.05  # weight of the newest request in the mean price
MIN_DELAY_DRIFT_PER_S = 0.01  # share by which the lowest delay seen is raised, as the counter may have moved
MAX_CALL_UNITS = 1e9  # the most that one call may add or take back; the counter rejects more
Calls = list[api.Action]  # calls to the counter, to be made in this order


@dataclass(slots=True)
class PendingCall:
    """A call to the counter that awaits its reply.

    If it has no reservation, it corrects the bucket: a fill-up, or units taken back.
    """

    sent_at: float
    bucket: SharedBucket
    amount: float  # units to add: of the request, extrapolated ones, and those queued for this call
    restrictor: Restrictor
    reservation: Reservation | None = None
    extrapolated_units: float = 0.0  # estimate for the similar requests that the counter is not asked about
    is_fill_up: bool = False  # whether it raises a fill that is too low, see `SharedQuota.apply_total`

    @property
    def request(self) -> api.Request | None:
        """The request that the reply decides on; None if there is none or its client has left."""
        is_waiting = self.reservation and not self.reservation.released
        return self.reservation.request if self.reservation and is_waiting else None


def has_total(event: api.CounterReply) -> bool:
    """Whether a reply carries a usable total."""
    return event.ok and math.isfinite(event.total)


def _clamp_amount(amount: float) -> float:
    """The amount, limited to what one call may carry."""
    return max(-MAX_CALL_UNITS, min(MAX_CALL_UNITS, amount))


class SharedQuota:
    """This gateway's calls to the counter: which to make, what their totals mean, how congested it is.

    The coverage says how much of the traffic the counter is asked about. Up to COVERAGE_ALL_CUSTOMERS it is
    about the share of customers that are counted (more of those with a high price, fewer of those with a low
    one). Of their requests, the counter is asked about most large ones and a few small ones; the local bucket
    decides on the others. Above that, the counter is asked about a growing share of the small requests, up to
    all of them at COVERAGE_ALL_REQUESTS. The coverage falls while the congestion is above its target, and
    rises while it is below.
    """

    def __init__(self, settings: api.Settings, rng: random.Random) -> None:
        self.settings, self.random = settings, rng
        self.pending: dict[int, deque[PendingCall]] = {}  # by counter entry name, in the order of replies
        self.waiting: dict[str, Reservation] = {}  # by request id: those that a reply will decide on
        self.coverage, self.updated_at = INITIAL_COVERAGE, -math.inf
        self.congestion = 0.0  # mean delay of calls, from 0 for the lowest delay seen to 1 for the timeout
        self.min_delay = math.inf  # s, the lowest seen, assumed to be that of an idle counter
        self.mean_price = 0.0  # of the plans of the requests that `should_count` was called for

    # Calls

    def should_count(self, now: float, request: api.Request, restrictor: Restrictor) -> bool:
        """Whether the request's customer is counted and there is time for a reply.

        Also updates the coverage, the congestion, the lowest delay and the mean price.
        """
        timeout, elapsed = self.settings.counter_timeout, min(1.0, now - self.updated_at)
        elapsed = 0.0 if self.updated_at == -math.inf else elapsed
        self.updated_at = now
        adjustment_rate = (
            COVERAGE_DECREASE_RATE if self.congestion > TARGET_CONGESTION else COVERAGE_INCREASE_RATE
        )
        self.coverage *= math.exp(adjustment_rate * elapsed * (TARGET_CONGESTION - self.congestion))
        self.coverage = max(MIN_COVERAGE, min(COVERAGE_ALL_REQUESTS, self.coverage))
        self.congestion *= math.exp(-elapsed / CONGESTION_TIME_CONSTANT_S)  # forgotten if no calls are made
        self.min_delay *= 1 + MIN_DELAY_DRIFT_PER_S * elapsed
        price = restrictor.plan.price
        self.mean_price += MEAN_PRICE_EWMA_WEIGHT * (price - self.mean_price) if self.mean_price else price
        # If not all customers can be counted, the gateways choose nearly the same ones (their coverages and
        # mean prices differ): a shared bucket that misses some of the use is useless. Customers with a higher
        # price are more likely to be chosen.
        in_time = request.expires_at - now > MIN_TIME_LEFT_IN_TIMEOUTS * timeout
        return (
            in_time
            and request.customer * GOLDEN_RATIO_CONJUGATE % 1 * self.mean_price < self.coverage * price
        )

    def sampling_probability(self, units: float) -> float:
        """Probability that the counter is asked about a request; the larger the request, the higher it is.

        Most requests are small and most units are in large ones, so asking about few of the small ones saves
        most calls and misses few units. Without a maximum of units, the counter is asked about every request.
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
        # Set even if the request is left out: the calls of similar requests then add its units, on average,
        # as extrapolated units.
        reservation.shared_units = request.units
        probability = self.sampling_probability(request.units)
        if probability < 1 and self.random.random() >= probability:
            return []
        plan, (name, started_at) = restrictor.plan, self._current_counter_entry(now, request.customer)
        bucket = SharedBucket(name, started_at, plan.rate, plan.burst)
        # A sampled request represents similar ones that are left out, on which the local bucket decides.
        # Their units are extrapolated only while the local bucket admits requests; units that nobody uses
        # would keep the shared bucket full.
        represented_requests = 1 / probability - 1 if restrictor.would_admit(now, request.units) else 0.0
        extrapolated_units = request.units * represented_requests
        amount = self._call_amount(request.units + extrapolated_units, restrictor, bucket)
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
        bucket = SharedBucket(
            name, started_at, *restrictor.pool_limits, is_pool=True, gateways=restrictor.entries
        )
        reservation.pool_units, reservation.pool_entry = request.units, name
        amount = self._call_amount(request.units, restrictor, bucket)
        return [
            *self._report_to_replaced_entries(now, restrictor, bucket),
            self._enqueue(PendingCall(now, bucket, amount, restrictor, reservation)),
        ]

    def _report_to_replaced_entries(self, now: float, restrictor: Restrictor, current: SharedBucket) -> Calls:
        """Calls that report what is queued for entries of a pool that another has replaced."""
        calls = Calls()
        for name in list(restrictor.unreported_by_pool_entry):
            if name != current.name:
                bucket = replace(current, name=name)
                amount = self._call_amount(0.0, restrictor, bucket)
                calls.append(self._enqueue(PendingCall(now, bucket, amount, restrictor)))
        return calls

    def _current_counter_entry(self, now: float, key: int) -> tuple[int, float]:
        """Name of the counter entry that serves a key now, and when it came into use.

        The name has the number of the rotation in its lower 24 bits and the key above them.
        """
        rotation = now / COUNTER_ENTRY_ROTATION_S + key % ROTATION_PHASES / ROTATION_PHASES
        return key << 24 | int(rotation) & 0xFFFFFF, now - rotation % 1 * COUNTER_ENTRY_ROTATION_S

    def _call_amount(self, units: float, restrictor: Restrictor, bucket: SharedBucket) -> float:
        """The units together with those queued, as far as one call may carry them; the rest stays queued."""
        due = units + restrictor.take_unreported_units(bucket.pool_entry)
        amount = _clamp_amount(due)
        restrictor.queue_for_next_call(due - amount, bucket.pool_entry)
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
            # A failed call counts as full congestion, a successful one by its delay: delays rise before calls
            # fail.
            delay = min(now - call.sent_at, timeout)
            self.min_delay = min(self.min_delay, delay)
            congestion = (delay - self.min_delay) / max(timeout - self.min_delay, 1e-3)
        self.congestion += CONGESTION_EWMA_WEIGHT * (congestion - self.congestion)
        return call

    @staticmethod
    def _requeue_failed_call(event: api.CounterReply, call: PendingCall) -> None:
        """Queues what a call that was certainly not added carried; one that may have been counts as added.

        The units of the call's request are left out, unless it was released, and a fill-up queues nothing.
        A pool with too many units refuses too much; with too few, the ceiling would be exceeded. So if a call
        to a pool may not have been added, the request's units are not taken back from it: if `release` has
        queued their removal, the same units are queued to cancel it.
        """
        pool_entry, reservation = call.bucket.pool_entry, call.reservation
        if not event.ok and not event.maybe_added:
            if reservation:
                reservation.handle_call_not_added(call.amount, pool_entry)
            elif not call.is_fill_up:
                call.restrictor.queue_for_next_call(call.amount, pool_entry)
        elif call.bucket.is_pool and reservation and not has_total(event):
            if reservation.released:
                call.restrictor.queue_for_next_call(reservation.pool_units, pool_entry)
            reservation.clear_counter_units(is_pool=True)

    def apply_total(self, now: float, event: api.CounterReply, call: PendingCall) -> tuple[float, Calls]:
        """Seconds until the bucket has room for the request, 0 if it has now; and the calls to correct it."""
        assert call.reservation
        bucket, units, calls = call.bucket, call.reservation.request.units, Calls()
        total_before = event.total - call.amount
        if bucket.is_initialized(total_before):
            fill = bucket.fill(now, total_before)
            if bucket.has_underflow(fill):
                calls += self._fill_up_call(now, call, -fill)
            amount = call.amount - call.extrapolated_units
            wait = max(0.0, max(0.0, fill) + amount - max(bucket.burst, amount)) / bucket.rate
        else:
            calls += self._fill_up_call(now, call, bucket.initial_amount(now, event.total - units))
            wait = min(units, bucket.burst) / bucket.rate  # as for a full bucket
        # A refused request's units are taken back. The extrapolated ones stay, as the local bucket admits the
        # requests that they stand for.
        if wait:
            calls.append(self._enqueue(PendingCall(now, bucket, -units, call.restrictor)))
            call.reservation.clear_counter_units(bucket.is_pool)
        return wait, calls

    def _fill_up_call(self, now: float, call: PendingCall, amount: float) -> Calls:
        """The call that corrects a total that is too low, as a reply has shown; none if one is under way."""
        if any(pending.is_fill_up for pending in self.pending.get(call.bucket.name, ())):
            return []
        fill_up = PendingCall(now, call.bucket, _clamp_amount(amount), call.restrictor, is_fill_up=True)
        return [self._enqueue(fill_up)]

    def backoff(self, call: PendingCall) -> float:
        """Seconds for which a congested counter is not asked about a customer whose shared bucket was full.

        All entry gateways ask, so each may ask less often than once in the time the bucket leaks a request.
        The time is no longer than a full bucket takes to drain, after which its fill is unknown.
        """
        assert call.request
        congestion_ratio = min(1.0, self.congestion / TARGET_CONGESTION)
        backoff_units = BACKOFF_FACTOR * call.request.units * call.restrictor.entries
        return congestion_ratio * min(call.bucket.burst, backoff_units) / call.bucket.rate

    def undo_fill_up(self, now: float, event: api.CounterReply, call: PendingCall) -> Calls:
        """Takes back a fill-up if another gateway had already filled the bucket up."""
        if not (call.is_fill_up and has_total(event)):
            return []
        if not call.bucket.is_filled_up(now, event.total - call.amount):
            return []
        return [self._enqueue(PendingCall(now, call.bucket, -call.amount, call.restrictor))]

    def abandon_request(self, request_id: str) -> None:
        """Releases the request of a client that has left: no reply decides on it any more."""
        if reservation := self.waiting.pop(request_id, None):
            reservation.release()

    def overdue_calls(self, now: float) -> list[int]:
        """Counter entry names of the calls whose reply is taken to be lost, one for each call."""
        max_age = LOST_REPLY_AGE_IN_TIMEOUTS * self.settings.counter_timeout
        return [
            name for name, calls in self.pending.items() for call in calls if now - call.sent_at > max_age
        ]
