"""Admission: whether a request is within its customer's quota and ceiling at this gateway.

Ordinary path: the customer's leaky bucket (NICC ND1621, clause 5 and figure 4). Exception: a customer of whom
this gateway sees too little has its bucket on the shared counter, whose reply then decides.
"""

from __future__ import annotations

import random

from coralvale import interface as api
from coralvale.reservation import Reservation
from coralvale.restrictor import RATE_UPDATE_INTERVAL_S, Restrictor
from coralvale.shared_quota import Calls, PendingCall, SharedQuota, has_total
from coralvale.state import Admitted, Decision, Pending, Reason, Refused

EXCESS_COST_FACTOR = (
    2.0  # times its net cost that a request beyond its quota counts, as its price is bounded too
)
SIZE_PENALTY_EXPONENT = (
    3.0  # power with which the chance of a large request falls past the size that is borne
)
MEAN_UNITS_EWMA_WEIGHT = 0.02  # of the newest request in the mean units of its plan
IDLE_TIMEOUT_S = 60.0  # s after which an idle customer's restrictor is dropped, once its bucket is empty


class Admission:
    """The customers' restrictors of one gateway, and its part in the buckets on the shared counter."""

    def __init__(self, settings: api.Settings, rng: random.Random) -> None:
        self.settings = settings
        self.restrictors: dict[int, Restrictor] = {}  # by customer
        self.shared_quota = SharedQuota(settings, rng)
        self.random = rng
        self.mean_units = [0.0] * len(settings.plans)  # of a request, by plan
        self.requests_seen = [0] * len(settings.plans)  # requests, by plan
        self.started_at: float | None = None  # when this gateway had its first event

    def restrictor_for(self, now: float, request: api.Request) -> Restrictor:
        """The restrictor of the request's customer, up to date with the time and with what it names."""
        plan, restrictor = self.settings.plans[request.plan_index], self.restrictors.get(request.customer)
        if restrictor is None:
            restrictor = Restrictor(
                plan, request.entry_gateways, now, self.started_at, self.settings.may_count
            )
            self.restrictors[request.customer] = restrictor
        restrictor.last_request_at = now
        self._update_restrictor(now, request, restrictor)
        self._record_units(request)
        return restrictor

    def _update_restrictor(self, now: float, request: api.Request, restrictor: Restrictor) -> None:
        """Brings a restrictor up to date with the time, the plan and the set that a request names."""
        plan = self.settings.plans[request.plan_index]
        restrictor.drain(now)
        if restrictor.plan is not plan or restrictor.entries != request.entry_gateways:
            restrictor.configure(plan, request.entry_gateways)
            restrictor.rate = max(restrictor.min_rate, min(restrictor.rate, plan.rate))
            restrictor.drain(now)

    def decide(self, now: float, request: api.Request, restrictor: Restrictor) -> Decision:
        """Decides on a new request by the own bucket, or has the shared one of a sparse customer asked."""
        reservation = Reservation(request, restrictor)
        may_count = self.settings.may_count and not restrictor.has_soft_quota()
        if not may_count or not restrictor.is_undersampled(request.units, self.settings.meter_period > 0):
            return self._decide_locally(now, reservation)
        if now < restrictor.shared_blocked_until:
            return Refused(request, Reason.SHARED_QUOTA, restrictor.shared_blocked_until - now)
        if not self.shared_quota.should_count(now, request, restrictor):
            return self._decide_locally(now, reservation)
        if calls := self.shared_quota.quota_call(now, reservation):
            return Pending(tuple(calls))
        return self._decide_locally(now, reservation, is_represented=True)

    def handle_reply(self, now: float, event: api.CounterReply) -> Decision | None:
        """Decides by the shared bucket's total; without one in time this gateway's own bucket decides."""
        if (call := self.shared_quota.match_reply(now, event)) is None:
            return None
        reservation, request, restrictor = call.reservation, call.request, call.restrictor
        if reservation is None or request is None:
            return Pending(tuple(self.shared_quota.undo_fill_up(now, event, call)))
        self._update_restrictor(
            now, request, restrictor
        )  # another request may have named another plan or set meanwhile
        if call.bucket.is_pool:
            return self._decide_by_pool(now, event, call, reservation)
        if not has_total(event):
            return self._decide_locally(now, reservation)
        wait, calls = self.shared_quota.apply_total(now, event, call)
        if not wait:
            return Admitted(reservation, tuple(calls))
        restrictor.shared_blocked_until = min(
            now + max(wait, self.shared_quota.backoff(call)), call.bucket.expires_at
        )
        return Refused(request, Reason.SHARED_QUOTA, wait, tuple(calls))

    def check_ceiling(self, now: float, reservation: Reservation) -> Refused | Pending | None:
        """What keeps back a request within its quota: this gateway's part of the ceiling, then the pool."""
        request, restrictor = reservation.request, reservation.restrictor
        if reservation.pool_units or not (wait := restrictor.ceiling_wait(request.units)):
            return None
        if now < restrictor.pool_blocked_until:
            wait = restrictor.pool_blocked_until - now
        elif calls := self.shared_quota.pool_call(now, reservation):
            return Pending(tuple(calls))
        reservation.release()
        return Refused(request, Reason.CEILING, wait)

    def abandon_request(self, request: str) -> None:
        """The client has left: no reply decides on its request any more."""
        self.shared_quota.abandon_request(request)

    def overdue_replies(self, now: float) -> list[api.CounterReply]:
        """Failed replies in place of lost ones: a lost reply must not lose the request, nor its units."""
        return [
            api.CounterReply(name, False, 0.0, maybe_added=True)
            for name in self.shared_quota.overdue_calls(now)
        ]

    def update_rates(self, now: float) -> None:
        """Updates all leak rates, every RATE_UPDATE_INTERVAL_S, and drops idle customers' restrictors."""
        for customer, restrictor in list(self.restrictors.items()):
            restrictor.update_rate(now)
            if now - restrictor.last_request_at > IDLE_TIMEOUT_S and restrictor.can_be_dropped():
                del self.restrictors[customer]

    def _record_units(self, request: api.Request) -> None:
        """Takes a request into the mean units of its plan, a plain mean until enough have come."""
        self.requests_seen[request.plan_index] += 1
        weight = max(MEAN_UNITS_EWMA_WEIGHT, 1 / self.requests_seen[request.plan_index])
        self.mean_units[request.plan_index] += weight * (request.units - self.mean_units[request.plan_index])

    def _decide_locally(self, now: float, reservation: Reservation, is_represented: bool = False) -> Decision:
        """Decides by the own bucket; `sampled`: another request, that is asked about, stands for this one."""
        request, restrictor = reservation.request, reservation.restrictor
        wait = restrictor.bucket_wait(request.units)
        if not wait and not restrictor.is_locally_blocked(now):
            probability = 1.0 if is_represented else self._admission_probability(request, restrictor)
            if probability >= 1 or self.random.random() < probability:
                return Admitted(reservation)
        if not is_represented:  # one that stands for others does so only while the own bucket lets these in
            reservation.release()
        return Refused(request, Reason.QUOTA, wait or RATE_UPDATE_INTERVAL_S)

    def _admission_probability(self, request: api.Request, restrictor: Restrictor) -> float:
        """How likely a request is let in of whose customer this gateway knows too little.

        A request is beyond its quota about as often as the share of the burst that it takes: the stores of
        all customers are at any level alike. One that is large beside the other requests of its plan, and
        dear to let in wrongly, is let in by lot, so that smaller ones find the room.
        """
        plan = restrictor.plan
        if not restrictor.is_undersampled(request.units, self.settings.meter_period > 0):
            return 1.0
        always_admitted_units = max(
            plan.burst / (1 + EXCESS_COST_FACTOR * plan.net_excess_cost), self.mean_units[request.plan_index]
        )
        return min(1.0, always_admitted_units / request.units) ** SIZE_PENALTY_EXPONENT

    def _decide_by_pool(
        self, now: float, event: api.CounterReply, call: PendingCall, reservation: Reservation
    ) -> Decision:
        """Lets in what the pool of the ceiling holds; without a total nothing is known to be left."""
        wait, calls = RATE_UPDATE_INTERVAL_S, Calls()
        if has_total(event):
            wait, calls = self.shared_quota.apply_total(now, event, call)
            call.restrictor.pool_blocked_until = min(now + wait, call.bucket.expires_at)
        if not wait:
            return Admitted(reservation, tuple(calls))
        reservation.release()
        return Refused(reservation.request, Reason.CEILING, wait, tuple(calls))
