"""Admission control: whether a request is within its customer's quota and ceiling.

Usually the local bucket decides, this gateway's own leaky bucket for the customer (NICC ND1621, clause 5 and
figure 4). If this gateway sees too little of the customer's traffic for that (the customer is undersampled),
the shared bucket decides: one for all gateways, on the shared counter. The counter is not asked if it may not
be used, if a request beyond the quota costs no more than it earns, if the request has no time to wait, if the
counter is too congested to count the customer, or if the request is not sampled (the counter is asked about
only a part of the requests, more of the large ones). Then the local bucket decides after all, as it does if a
reply has no usable total.
"""

from __future__ import annotations

import math
import random

from coralvale import interface as api
from coralvale.customers import CustomerTable
from coralvale.reservation import Reservation
from coralvale.restrictor import RATE_UPDATE_INTERVAL_S, Restrictor
from coralvale.shared_quota import Calls, PendingCall, SharedQuota, has_total
from coralvale.state import Admitted, Decision, Pending, Reason, Refused

# Factor on the net cost of a request beyond the quota. It is above 1 because operators also limit the total
# cost of such requests over all gateways, which nothing in this code checks.
EXCESS_COST_FACTOR = 2.0
SIZE_PENALTY_EXPONENT = 3.0  # how steeply the admission probability falls with a request's size
MEAN_UNITS_EWMA_WEIGHT = 0.02  # weight of the newest request in the mean units of its plan


class Admission:
    """Decides on requests, by the customers' restrictors of this gateway and by their shared buckets."""

    def __init__(self, settings: api.Settings, rng: random.Random, max_customers: float = math.inf) -> None:
        self.settings = settings
        self.customers = CustomerTable(max_customers)
        self.restrictors = self.customers.restrictors  # by customer
        self.shared_quota = SharedQuota(settings, rng)
        self.random = rng
        self.mean_units = [0.0] * len(settings.plans)  # of the requests, by plan
        self.requests_seen = [0] * len(settings.plans)  # by plan
        self.started_at: float | None = None  # time of this gateway's first event

    def restrictor_for(self, now: float, request: api.Request) -> Restrictor | None:
        """The restrictor of the request's customer, updated for the request; made if there is none.

        None if there is no room for a new customer.
        """
        restrictor = self.customers.touch(request.customer)
        if restrictor is None:
            plan = self.settings.plans[request.plan_index]
            restrictor = Restrictor(
                plan, request.entry_gateways, now, self.started_at, self.settings.may_count
            )
            if not self.customers.add(now, request.customer, restrictor):
                return None
        restrictor.last_request_at = now
        self._update_restrictor(now, request, restrictor)
        self._record_units(request)
        return restrictor

    def _update_restrictor(self, now: float, request: api.Request, restrictor: Restrictor) -> None:
        """Drains a restrictor, and applies the plan and the entry gateways that a request names."""
        plan = self.settings.plans[request.plan_index]
        restrictor.drain(now)
        if restrictor.plan is not plan or restrictor.entries != request.entry_gateways:
            restrictor.configure(plan, request.entry_gateways)
            restrictor.rate = max(restrictor.min_rate, min(restrictor.rate, plan.rate))
            restrictor.drain(now)

    def decide(self, now: float, request: api.Request, restrictor: Restrictor) -> Decision:
        """Decides on a new request by the local bucket, or returns the call that asks the shared one.

        If the customer is undersampled and its shared bucket was full lately, the request is refused without
        a call until `shared_blocked_until`, provided that the counter may be used and the quota is not soft.
        """
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
        """Decides on the request that awaits a reply of the counter; None if no call awaits the reply.

        The total in the reply decides. Without one, the local bucket decides if the shared bucket was asked,
        and the request is refused if the ceiling's pool was. If no request awaits the reply (the call only
        corrected a bucket, or the client has left), the result is a `Pending`. Its only possible action takes
        back a fill-up that another gateway had made already, see `SharedQuota.undo_fill_up`.
        """
        if (call := self.shared_quota.match_reply(now, event)) is None:
            return None
        reservation, request, restrictor = call.reservation, call.request, call.restrictor
        if reservation is None or request is None:
            return Pending(tuple(self.shared_quota.undo_fill_up(now, event, call)))
        # Another request may have named a different plan or number of entry gateways meanwhile.
        self._update_restrictor(now, request, restrictor)
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
        """Checks a request that is within its quota against the ceiling; None if it may be sent.

        This gateway's share of the ceiling decides first. If it has no tokens, the pool is asked.
        """
        request, restrictor = reservation.request, reservation.restrictor
        if reservation.pool_units or not (wait := restrictor.ceiling_wait(request.units)):
            return None
        if now < restrictor.pool_blocked_until:
            wait = restrictor.pool_blocked_until - now
        elif calls := self.shared_quota.pool_call(now, reservation):
            return Pending(tuple(calls))
        reservation.release()
        return Refused(request, Reason.CEILING, wait)

    def abandon_request(self, request_id: str) -> None:
        """Releases the request of a client that has left, if it awaits a reply of the counter."""
        self.shared_quota.abandon_request(request_id)

    def overdue_replies(self, now: float) -> list[api.CounterReply]:
        """Failed replies to handle in place of lost ones, so that neither requests nor units are lost."""
        return [
            api.CounterReply(name, False, 0.0, maybe_added=True)
            for name in self.shared_quota.overdue_calls(now)
        ]

    def _record_units(self, request: api.Request) -> None:
        """Adds a request to the mean units of its plan, a plain mean at first, later a moving average."""
        self.requests_seen[request.plan_index] += 1
        weight = max(MEAN_UNITS_EWMA_WEIGHT, 1 / self.requests_seen[request.plan_index])
        self.mean_units[request.plan_index] += weight * (request.units - self.mean_units[request.plan_index])

    def _decide_locally(self, now: float, reservation: Reservation, is_represented: bool = False) -> Decision:
        """Decides by the local bucket.

        `is_represented`: sampling has left the request out. While the local bucket admits requests, the calls
        of similar sampled requests add its units, on average, as extrapolated units.
        """
        request, restrictor = reservation.request, reservation.restrictor
        wait = restrictor.bucket_wait(request.units)
        if not wait and not restrictor.is_locally_blocked(now):
            probability = 1.0 if is_represented else self._admission_probability(request, restrictor)
            if probability >= 1 or self.random.random() < probability:
                return Admitted(reservation)
        # A represented request is not released. While the local bucket refuses, the calls of similar sampled
        # requests carry no extrapolated units (see `SharedQuota.quota_call`), so `release` would take back
        # units from the shared bucket that were never added.
        if not is_represented:
            reservation.release()
        return Refused(request, Reason.QUOTA, wait or RATE_UPDATE_INTERVAL_S)

    def _admission_probability(self, request: api.Request, restrictor: Restrictor) -> float:
        """Probability of admitting a request for which the local bucket has room; 1 unless undersampled.

        This gateway does not know how full an undersampled customer's quota is and takes every fill to be
        equally likely. A request then exceeds the quota with a probability equal to its share of the burst.
        So one that is large, also compared with the mean of its plan, is admitted by a random draw if a wrong
        admission is costly. That leaves the room to smaller requests.
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
        """Decides by the total of the ceiling's pool; refuses without one, as the pool may have no room."""
        wait, calls = RATE_UPDATE_INTERVAL_S, Calls()
        if has_total(event):
            wait, calls = self.shared_quota.apply_total(now, event, call)
            call.restrictor.pool_blocked_until = min(now + wait, call.bucket.expires_at)
        if not wait:
            return Admitted(reservation, tuple(calls))
        reservation.release()
        return Refused(reservation.request, Reason.CEILING, wait, tuple(calls))
