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
    began: float
    rate: float
    limit: float
    pool: bool = False  # of a ceiling: a number that is new, or that the counter lost, begins full

    @property
    def ends(self) -> float:
        """When another number takes its place: what this one's total tells is worth nothing from then on."""
        return self.began + COUNTER_ENTRY_ROTATION_S

    def before(self, now: float, total: float, amount: float) -> float:
        """The fill ahead of a call; below nought where what was not used has added up."""
        return total - amount - self.rate * (now - self.began)


@dataclass(slots=True)
class PendingCall:
    """A call that waits for its total. Without a reservation it fills up or takes back."""

    at: float
    bucket: Bucket
    amount: float
    restrictor: Restrictor
    reservation: Reservation | None = None
    others: float = 0.0  # units of the amount that stand for requests like it that are not asked about
    fills: bool = False  # it fills up what an idle customer has not used

    @property
    def request(self) -> api.Request | None:
        """The request that the reply decides on; none where its client has left."""
        waits = self.reservation and not self.reservation.released
        return self.reservation.request if self.reservation and waits else None


def has_total(event: api.CounterReply) -> bool:
    """Whether a reply brings a total that can be used."""
    return event.ok and math.isfinite(event.total)


def _bounded(amount: float) -> float:
    """An amount that one call may have; what is over waits for the next."""
    return max(-MAX_CALL_UNITS, min(MAX_CALL_UNITS, amount))


class SharedQuota:
    """This gateway's calls to the counter: which are made, what their totals mean, how crowded it is."""

    def __init__(self, settings: api.Settings, rng: random.Random) -> None:
        self.settings, self.random = settings, rng
        self.pending: dict[int, deque[PendingCall]] = {}  # by name, in the order in which totals come
        self.waiting: dict[str, Reservation] = {}  # by request: those that a reply will decide on
        # Up to COVERAGE_ALL_CUSTOMERS: the share of the customers that are counted; beyond it all are.
        self.trust, self.updated_at = INITIAL_COVERAGE, -math.inf
        self.congestion = 0.0  # mean share of the way from the least delay to the time-out that calls take
        self.least_delay = math.inf  # s that a call takes when nobody else is served
        self.mean_price = 0.0  # mean price of the plans of requests that a call may decide on

    # Calls

    def covers(self, now: float, request: api.Request, restrictor: Restrictor) -> bool:
        """Whether the customer is counted, if the request can wait for a reply."""
        time_out, since = self.settings.counter_timeout, min(1.0, now - self.updated_at)
        since = 0.0 if self.updated_at == -math.inf else since
        self.updated_at = now
        swing = COVERAGE_DECREASE_RATE if self.congestion > TARGET_CONGESTION else COVERAGE_INCREASE_RATE
        self.trust *= math.exp(swing * since * (TARGET_CONGESTION - self.congestion))
        self.trust = max(MIN_COVERAGE, min(COVERAGE_ALL_REQUESTS, self.trust))
        self.congestion *= math.exp(
            -since / CONGESTION_TIME_CONSTANT_S
        )  # one that is not asked shows nothing
        self.least_delay *= 1 + MIN_DELAY_DRIFT_PER_S * since
        value = restrictor.plan.price
        self.mean_price += MEAN_PRICE_EWMA_WEIGHT * (value - self.mean_price) if self.mean_price else value
        # Where not all calls can be made, some customers are counted whole, by all of their gateways alike:
        # a bucket that is told of a part of the use is no better than none.
        in_time = request.expires_at - now > MIN_TIME_LEFT_TIMEOUTS * time_out
        return (
            in_time and request.customer * GOLDEN_RATIO_CONJUGATE % 1 * self.mean_price < self.trust * value
        )

    def chance(self, units: float) -> float:
        """How likely a request of a counted customer is asked about: in a crowd, by its size.

        Most requests are small and most units are in large ones, so this spares most calls and few units.
        """
        share = min(1.0, units / self.settings.max_units) if self.settings.max_units < math.inf else 1.0
        return min(
            1.0,
            share
            + (1 - share)
            * max(0.0, self.trust - COVERAGE_ALL_CUSTOMERS)
            / (COVERAGE_ALL_REQUESTS - COVERAGE_ALL_CUSTOMERS),
        )

    def call(self, now: float, reservation: Reservation) -> Calls:
        """The call that shall decide on a counted customer's request, if it is drawn to be asked about."""
        request, restrictor = reservation.request, reservation.restrictor
        # Units of a request that is not drawn are in the mean told by those that stand for it.
        reservation.in_shared = request.units
        chance = self.chance(request.units)
        if chance < 1 and self.random.random() >= chance:
            return []
        plan, (name, began) = restrictor.plan, self._number(now, request.customer)
        bucket = Bucket(name, began, plan.rate, plan.burst)
        # Those that are not asked about are decided on by the gateways' own buckets. The one that is stands
        # for them while these let requests in: units that nobody used would keep the shared bucket full.
        stands_for = 1 / chance - 1 if restrictor.admits(now, request.units) else 0.0
        others = request.units * stands_for
        amount = self._carry(request.units + others, restrictor, pool=False)
        return [self._enqueue(PendingCall(now, bucket, amount, restrictor, reservation, others))]

    def call_pool(self, now: float, reservation: Reservation) -> Calls:
        """The call that takes a request's units from the pool of a ceiling, if there is one."""
        request, restrictor = reservation.request, reservation.restrictor
        if (
            not restrictor.pool[0]
            or request.expires_at - now <= MIN_TIME_LEFT_TIMEOUTS * self.settings.counter_timeout
        ):
            return []
        name, began = self._number(now, request.customer + POOL_KEY_OFFSET)
        bucket = Bucket(name, began, *restrictor.pool, pool=True)
        reservation.in_pool = request.units
        amount = self._carry(request.units, restrictor, pool=True)
        return [self._enqueue(PendingCall(now, bucket, amount, restrictor, reservation))]

    def _number(self, now: float, key: int) -> tuple[int, float]:
        """The number that serves a customer now, and when it began; not all begin at once."""
        place = now / COUNTER_ENTRY_ROTATION_S + key % ROTATION_PHASES / ROTATION_PHASES
        return key << 24 | int(place) & 0xFFFFFF, now - place % 1 * COUNTER_ENTRY_ROTATION_S

    def _carry(self, units: float, restrictor: Restrictor, pool: bool) -> float:
        """The amount of a call for so many units and those not told yet, as far as one call bears them."""
        untold = restrictor.pool_unreported if pool else restrictor.unreported
        amount = _bounded(units + untold)
        restrictor.tell_later(units - amount, pool)
        return amount

    def _enqueue(self, call: PendingCall) -> api.CounterAdd:
        self.pending.setdefault(call.bucket.name, deque()).append(call)
        if call.reservation:
            self.waiting[call.reservation.request.id] = call.reservation
        return api.CounterAdd(call.bucket.name, call.amount, COUNTER_ENTRY_TTL_S)

    # Replies

    def reply(self, now: float, event: api.CounterReply) -> PendingCall | None:
        """The call that a reply is to; every one tells how crowded the counter is."""
        if not (calls := self.pending.get(event.name)):
            return None
        call = calls.popleft()
        if not calls:
            del self.pending[event.name]
        if call.request:
            del self.waiting[call.request.id]
        self._book(event, call)
        congestion, time_out = 1.0, max(self.settings.counter_timeout, 1e-3)
        if event.ok:
            # Late replies tell of a crowded counter before it fails; calls that fail only crowd it more.
            took = min(now - call.at, time_out)
            self.least_delay = min(self.least_delay, took)
            congestion = (took - self.least_delay) / max(time_out - self.least_delay, 1e-3)
        self.congestion += CONGESTION_EWMA_WEIGHT * (congestion - self.congestion)
        return call

    @staticmethod
    def _book(event: api.CounterReply, call: PendingCall) -> None:
        """Books what was not added; a call that may have been is taken for added.

        Too many units in a pool only refuse; too few would let the ceiling be exceeded. So units that a pool
        may lack are not taken back from it.
        """
        pool, reservation = call.bucket.pool, call.reservation
        if not event.ok and not event.maybe_added:
            if reservation:
                reservation.not_added(call.amount, pool)
            elif not call.fills:
                call.restrictor.tell_later(call.amount, pool)
        elif pool and reservation and not has_total(event):
            if reservation.released:
                call.restrictor.tell_later(reservation.in_pool, pool)
            reservation.keep_nothing(pool)

    def settle(self, now: float, event: api.CounterReply, call: PendingCall) -> tuple[float, Calls]:
        """Seconds until the shared bucket has room, nought for now; and the calls that put it right."""
        assert call.reservation
        before, calls = self._right(now, event, call)
        bucket, amount = call.bucket, call.amount - call.others
        wait = max(0.0, max(0.0, before) + amount - max(bucket.limit, amount)) / bucket.rate
        if wait:  # takes nothing
            units = call.reservation.request.units
            calls.append(self._enqueue(PendingCall(now, bucket, -units, call.restrictor)))
            call.reservation.keep_nothing(bucket.pool)
        return wait, calls

    def backoff(self, call: PendingCall) -> float:
        """Seconds for which a crowded counter is spared calls about a customer whose bucket was full.

        All gateways of the set ask in turn, so each need not ask as often as the bucket leaks a request. No
        longer than a full bucket takes to drain, as nothing is known of it after that.
        """
        assert call.request
        crowded = min(1.0, self.congestion / TARGET_CONGESTION)
        turn = BACKOFF_FACTOR * call.request.units * call.restrictor.entries
        return crowded * min(call.bucket.limit, turn) / call.bucket.rate

    def undo(self, now: float, event: api.CounterReply, call: PendingCall) -> Calls:
        """Takes back what another gateway filled up at the same time."""
        if not (call.fills and has_total(event)):
            return []
        bucket = call.bucket
        if (
            bucket.before(now, event.total, call.amount)
            <= -UNDO_FILL_UP_THRESHOLD * UNDERFLOW_TOLERANCE * bucket.limit
        ):
            return []
        return [self._enqueue(PendingCall(now, bucket, -call.amount, call.restrictor))]

    def _right(self, now: float, event: api.CounterReply, call: PendingCall) -> tuple[float, Calls]:
        """The fill ahead of a call; what an idle customer has not used must not add up."""
        bucket = call.bucket
        before = bucket.before(now, event.total, call.amount)
        if before >= -UNDERFLOW_TOLERANCE * bucket.limit:
            return before, []
        # Neither a restart nor a lost number may refill a ceiling.
        is_new = event.total - call.amount <= NEW_ENTRY_TOLERANCE * abs(call.amount)
        level = bucket.limit if bucket.pool and is_new else 0.0
        amount = _bounded(level - before)
        return level, [self._enqueue(PendingCall(now, bucket, amount, call.restrictor, fills=True))]

    def leave(self, request: str) -> None:
        """A client has left: its call's reply decides nothing any more."""
        if reservation := self.waiting.pop(request, None):
            reservation.release()

    def overdue(self, now: float) -> list[int]:
        """Names of calls whose reply was lost, one for each call: their requests must not wait for it."""
        limit = REPLY_LOST_TIMEOUTS * self.settings.counter_timeout
        return [name for name, calls in self.pending.items() for call in calls if now - call.at > limit]
