"""A sparse customer's leaky bucket, kept on the counter for all of its gateways together.

A gateway that sees one of a customer's requests in many seconds can tell nothing of its use. One call adds
the request's units to the customer's number and brings the total; less what leaks in the time since the
number began, the total is the fill of the one bucket that the quota means. Another number pools a part of a
ceiling, for those gateways that more of a customer's requests come to than their even part lets on.
"""

from __future__ import annotations

import math
import random
from collections import deque
from dataclasses import dataclass

from coralvale import interface as api
from coralvale.reservation import Reservation
from coralvale.restrictor import UNDERFLOW_TOLERANCE, Restrictor

COUNTER_ENTRY_TTL_S = 60.0  # s that the counter keeps a name, the most that it allows
COUNTER_ENTRY_ROTATION_S = 50.0  # s that a number serves: each new one starts with a full burst
ROTATION_PHASES = 97  # moments of a lifetime, spread over the customers, at which a new number begins
MIN_TIME_LEFT_TIMEOUTS = 4.0  # counter time-outs that a request must have left to wait for a reply
REPLY_LOST_TIMEOUTS = 2.0  # counter time-outs after which a reply is taken for lost
UNDO_FILL_UP_THRESHOLD = 0.5  # share of UNDERFLOW_TOLERANCE below empty, over which a fill-up was made twice
INITIAL_COVERAGE = 0.75  # trust at the start: all gateways may start at once
COVERAGE_ALL_CUSTOMERS = 1.0  # trust from which on all customers are counted
COVERAGE_ALL_REQUESTS = (
    2.0  # trust from which on each request is asked about, and not a sample of the small ones
)
TARGET_CONGESTION = 0.25  # mean at which the trust stays as it is: some wait means that it is well used
COVERAGE_DECREASE_RATE = (
    1.0  # by which, for each second and unit of crowding off that, the logarithm of the trust moves
)
COVERAGE_INCREASE_RATE = 4.0  # the same where it is less crowded: a counter that was lost is soon used again
CONGESTION_EWMA_WEIGHT = 0.1  # of the newest call in the mean: gateways that judge by single calls disagree
CONGESTION_TIME_CONSTANT_S = 5.0  # s in which crowding that is not seen any more is forgotten
BACKOFF_FACTOR = 0.25  # share of the time in which a gateway's even part of the quota leaks a refused request
MIN_COVERAGE = 0.05  # trust however crowded it is, to see when the counter has room again
POOL_KEY_OFFSET = 1 << 33  # past all customers' numbers
GOLDEN_RATIO_CONJUGATE = (math.sqrt(5) - 1) / 2  # spreads customers' numbers evenly over 0 to 1
MEAN_PRICE_EWMA_WEIGHT = 0.05  # weight of the newest request in the mean price of their plans
MIN_DELAY_DRIFT_PER_S = 0.01  # share by which the least delay seen grows in a second: a counter may move
MAX_CALL_UNITS = 1e9  # units that a call may add or take back: the counter turns away more
NEW_ENTRY_TOLERANCE = (
    1e-6  # share of a call's amount that a total may exceed it by where nothing was added before
)
Calls = list[api.Action]  # calls to the counter, to be made in this order


@dataclass(slots=True)
class Bucket:
    """A leaky bucket on the counter: its number, when that began by the clock of all gateways, the quota."""

    name: int
    started_at: float
    rate: float
    burst: float
    is_pool: bool = False  # of a ceiling: a number that is new, or that the counter lost, begins full

    @property
    def expires_at(self) -> float:
        """When another number takes its place: what this one's total tells is worth nothing from then on."""
        return self.started_at + COUNTER_ENTRY_ROTATION_S

    def fill_before(self, now: float, total: float, amount: float) -> float:
        """The fill ahead of a call; below nought where what was not used has added up."""
        return total - amount - self.rate * (now - self.started_at)


@dataclass(slots=True)
class PendingCall:
    """A call that waits for its total. Without a reservation it fills up or takes back."""

    sent_at: float
    bucket: Bucket
    amount: float
    restrictor: Restrictor
    reservation: Reservation | None = None
    extrapolated_units: float = (
        0.0  # units of the amount that stand for requests like it that are not asked about
    )
    is_fill_up: bool = False  # it fills up what an idle customer has not used

    @property
    def request(self) -> api.Request | None:
        """The request that the reply decides on; none where its client has left."""
        waits = self.reservation and not self.reservation.released
        return self.reservation.request if self.reservation and waits else None


def has_total(event: api.CounterReply) -> bool:
    """Whether a reply brings a total that can be used."""
    return event.ok and math.isfinite(event.total)


def _clamp_amount(amount: float) -> float:
    """An amount that one call may have; what is over waits for the next."""
    return max(-MAX_CALL_UNITS, min(MAX_CALL_UNITS, amount))


class SharedQuota:
    """This gateway's calls to the counter: which are made, what their totals mean, how crowded it is."""

    def __init__(self, settings: api.Settings, rng: random.Random) -> None:
        self.settings, self.random = settings, rng
        self.pending: dict[int, deque[PendingCall]] = {}  # by name, in the order in which totals come
        self.waiting: dict[str, Reservation] = {}  # by request: those that a reply will decide on
        # Up to COVERAGE_ALL_CUSTOMERS: the share of the customers that are counted; beyond it all are.
        self.coverage, self.updated_at = INITIAL_COVERAGE, -math.inf
        self.congestion = 0.0  # mean share of the way from the least delay to the time-out that calls take
        self.min_delay = math.inf  # s that a call takes when nobody else is served
        self.mean_price = 0.0  # mean price of the plans of requests that a call may decide on

    # Calls

    def should_count(self, now: float, request: api.Request, restrictor: Restrictor) -> bool:
        """Whether the customer is counted, if the request can wait for a reply."""
        timeout, elapsed = self.settings.counter_timeout, min(1.0, now - self.updated_at)
        elapsed = 0.0 if self.updated_at == -math.inf else elapsed
        self.updated_at = now
        adjustment_rate = (
            COVERAGE_DECREASE_RATE if self.congestion > TARGET_CONGESTION else COVERAGE_INCREASE_RATE
        )
        self.coverage *= math.exp(adjustment_rate * elapsed * (TARGET_CONGESTION - self.congestion))
        self.coverage = max(MIN_COVERAGE, min(COVERAGE_ALL_REQUESTS, self.coverage))
        self.congestion *= math.exp(
            -elapsed / CONGESTION_TIME_CONSTANT_S
        )  # one that is not asked shows nothing
        self.min_delay *= 1 + MIN_DELAY_DRIFT_PER_S * elapsed
        price = restrictor.plan.price
        self.mean_price += MEAN_PRICE_EWMA_WEIGHT * (price - self.mean_price) if self.mean_price else price
        # Where not all calls can be made, some customers are counted whole, by all of their gateways alike:
        # a bucket that is told of a part of the use is no better than none.
        in_time = request.expires_at - now > MIN_TIME_LEFT_TIMEOUTS * timeout
        return (
            in_time
            and request.customer * GOLDEN_RATIO_CONJUGATE % 1 * self.mean_price < self.coverage * price
        )

    def sampling_probability(self, units: float) -> float:
        """How likely a request of a counted customer is asked about: in a crowd, by its size.

        Most requests are small and most units are in large ones, so this spares most calls and few units.
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
        """The call that shall decide on a counted customer's request, if it is drawn to be asked about."""
        request, restrictor = reservation.request, reservation.restrictor
        # Units of a request that is not drawn are in the mean told by those that stand for it.
        reservation.shared_units = request.units
        probability = self.sampling_probability(request.units)
        if probability < 1 and self.random.random() >= probability:
            return []
        plan, (name, started_at) = restrictor.plan, self._current_counter_entry(now, request.customer)
        bucket = Bucket(name, started_at, plan.rate, plan.burst)
        # Those that are not asked about are decided on by the gateways' own buckets. The one that is stands
        # for them while these let requests in: units that nobody used would keep the shared bucket full.
        represented_requests = 1 / probability - 1 if restrictor.would_admit(now, request.units) else 0.0
        extrapolated_units = request.units * represented_requests
        amount = self._call_amount(request.units + extrapolated_units, restrictor, is_pool=False)
        return [self._enqueue(PendingCall(now, bucket, amount, restrictor, reservation, extrapolated_units))]

    def pool_call(self, now: float, reservation: Reservation) -> Calls:
        """The call that takes a request's units from the pool of a ceiling, if there is one."""
        request, restrictor = reservation.request, reservation.restrictor
        if (
            not restrictor.pool_limits[0]
            or request.expires_at - now <= MIN_TIME_LEFT_TIMEOUTS * self.settings.counter_timeout
        ):
            return []
        name, started_at = self._current_counter_entry(now, request.customer + POOL_KEY_OFFSET)
        bucket = Bucket(name, started_at, *restrictor.pool_limits, is_pool=True)
        reservation.pool_units = request.units
        amount = self._call_amount(request.units, restrictor, is_pool=True)
        return [self._enqueue(PendingCall(now, bucket, amount, restrictor, reservation))]

    def _current_counter_entry(self, now: float, key: int) -> tuple[int, float]:
        """The number that serves a customer now, and when it began; not all begin at once."""
        rotation = now / COUNTER_ENTRY_ROTATION_S + key % ROTATION_PHASES / ROTATION_PHASES
        return key << 24 | int(rotation) & 0xFFFFFF, now - rotation % 1 * COUNTER_ENTRY_ROTATION_S

    def _call_amount(self, units: float, restrictor: Restrictor, is_pool: bool) -> float:
        """The amount of a call for so many units and those not told yet, as far as one call bears them."""
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
        """The call that a reply is to; every one tells how crowded the counter is."""
        if not (calls := self.pending.get(event.name)):
            return None
        call = calls.popleft()
        if not calls:
            del self.pending[event.name]
        if call.request:
            del self.waiting[call.request.id]
        self._record_not_added(event, call)
        congestion, timeout = 1.0, max(self.settings.counter_timeout, 1e-3)
        if event.ok:
            # Late replies tell of a crowded counter before it fails; calls that fail only crowd it more.
            delay = min(now - call.sent_at, timeout)
            self.min_delay = min(self.min_delay, delay)
            congestion = (delay - self.min_delay) / max(timeout - self.min_delay, 1e-3)
        self.congestion += CONGESTION_EWMA_WEIGHT * (congestion - self.congestion)
        return call

    @staticmethod
    def _record_not_added(event: api.CounterReply, call: PendingCall) -> None:
        """Books what was not added; a call that may have been is taken for added.

        Too many units in a pool only refuse; too few would let the ceiling be exceeded. So units that a pool
        may lack are not taken back from it.
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
        """Seconds until the shared bucket has room, nought for now; and the calls that put it right."""
        assert call.reservation
        before, calls = self._correct_underflow(now, event, call)
        bucket, amount = call.bucket, call.amount - call.extrapolated_units
        wait = max(0.0, max(0.0, before) + amount - max(bucket.burst, amount)) / bucket.rate
        if wait:  # takes nothing
            units = call.reservation.request.units
            calls.append(self._enqueue(PendingCall(now, bucket, -units, call.restrictor)))
            call.reservation.clear_counter_units(bucket.is_pool)
        return wait, calls

    def backoff(self, call: PendingCall) -> float:
        """Seconds for which a crowded counter is spared calls about a customer whose bucket was full.

        All gateways of the set ask in turn, so each need not ask as often as the bucket leaks a request. No
        longer than a full bucket takes to drain, as nothing is known of it after that.
        """
        assert call.request
        congestion_ratio = min(1.0, self.congestion / TARGET_CONGESTION)
        backoff_units = BACKOFF_FACTOR * call.request.units * call.restrictor.entries
        return congestion_ratio * min(call.bucket.burst, backoff_units) / call.bucket.rate

    def undo_fill_up(self, now: float, event: api.CounterReply, call: PendingCall) -> Calls:
        """Takes back what another gateway filled up at the same time."""
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
        """The fill ahead of a call; what an idle customer has not used must not add up."""
        bucket = call.bucket
        before = bucket.fill_before(now, event.total, call.amount)
        if before >= -UNDERFLOW_TOLERANCE * bucket.burst:
            return before, []
        # Neither a restart nor a lost number may refill a ceiling.
        is_new = event.total - call.amount <= NEW_ENTRY_TOLERANCE * abs(call.amount)
        target_fill = bucket.burst if bucket.is_pool and is_new else 0.0
        amount = _clamp_amount(target_fill - before)
        return target_fill, [
            self._enqueue(PendingCall(now, bucket, amount, call.restrictor, is_fill_up=True))
        ]

    def abandon_request(self, request: str) -> None:
        """A client has left: its call's reply decides nothing any more."""
        if reservation := self.waiting.pop(request, None):
            reservation.release()

    def overdue_calls(self, now: float) -> list[int]:
        """Names of calls whose reply was lost, one for each call: their requests must not wait for it."""
        max_age = REPLY_LOST_TIMEOUTS * self.settings.counter_timeout
        return [
            name for name, calls in self.pending.items() for call in calls if now - call.sent_at > max_age
        ]
