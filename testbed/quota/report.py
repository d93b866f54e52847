"""Figures of one simulated run, as the operators of the deployment define them."""

from __future__ import annotations

import heapq
from dataclasses import dataclass

from coralvale import interface as api
from testbed.quota.deployment import Deployment
from testbed.quota.services import QuotaBucket
from testbed.quota.tries import ClientTry

ROOM_SHARE = 0.5  # share of the burst that must be left for a refusal to count as "with room"


@dataclass(slots=True)
class PlanFigures:
    """Sums for the requests of one plan. The worth of a request is class worth x plan price x units."""

    offered: float = 0.0  # worth of the first tries, as a single gateway would have admitted them
    served_within_quota: float = 0.0  # worth
    excess_served: float = 0.0  # worth, reduced by the plan's `excess_worth`
    cost_of_excess: float = 0.0  # cost of what was sent in excess of quotas

    @property
    def served_share(self) -> float:
        """Worth served over worth offered; 0 if none was offered."""
        return (self.served_within_quota + self.excess_served) / self.offered if self.offered else 0.0


@dataclass(frozen=True, slots=True)
class RunFigures:
    """Figures of one run."""

    over_quota: float  # cost of what was sent in excess of quotas, over the worth offered
    served: float  # worth served, over the worth offered
    refused_with_room: float  # share of all tries; at least `ROOM_SHARE` of the burst was left
    refused: float  # share of all tries
    tries: int
    first_tries: int  # tries that are not retries
    counter_calls: int
    counter_unanswered: float  # share of the calls that were rejected or answered too late
    served_by_plan: tuple[float, ...]

    @property
    def net(self) -> float:
        """Worth served less the cost of what was sent in excess of quotas, over the worth offered."""
        return self.served - self.over_quota


class ReferenceGateway:
    """A single gateway for all first tries of a customer; its decisions define the worth offered."""

    def __init__(self, plan: api.Plan) -> None:
        self.bucket = QuotaBucket.full(plan)
        self.end_times: list[float] = []

    def admits(self, now: float, units: float, service_time: float) -> bool:
        """Whether a first try that would take a host `service_time` seconds is within the quota."""
        while self.end_times and self.end_times[0] <= now:
            heapq.heappop(self.end_times)
        self.bucket.open_attempts = len(self.end_times)
        if not self.bucket.take(now, units):
            return False
        heapq.heappush(self.end_times, now + service_time)
        return True


class FigureCollector:
    """Records the events of all tries and sums them up."""

    def __init__(self, deployment: Deployment) -> None:
        self.deployment = deployment
        self.plans = [PlanFigures() for _ in deployment.plans]
        self.reference_gateways = {c.number: ReferenceGateway(c.plan) for c in deployment.customers}
        self.tries = 0
        self.first_tries = 0
        self.refused_count = 0
        self.refused_with_room = 0
        self.counter_calls = 0
        self.counter_unanswered = 0

    def record_arrival(self, now: float, client_try: ClientTry) -> None:
        """Records that a try has arrived; first tries count towards the worth offered."""
        self.tries += 1
        if client_try.retry_number:
            return
        self.first_tries += 1
        plan = client_try.customer.plan
        reference_gateway = self.reference_gateways[client_try.customer.number]
        admitted = reference_gateway.admits(
            now, client_try.request.units, self.deployment.mean_service_times[client_try.request.class_index]
        )
        share = 1.0 if admitted else plan.excess_worth
        self.plans[client_try.customer.plan_index].offered += share * self._worth(client_try)

    def record_sent(self, client_try: ClientTry) -> None:
        """Records that a try was first sent to a host."""
        if client_try.within_quota:
            return
        cost = client_try.customer.plan.excess_cost * self._worth(client_try)
        self.plans[client_try.customer.plan_index].cost_of_excess += cost

    def record_served(self, client_try: ClientTry) -> None:
        """Records that a try was answered by a host."""
        figures = self.plans[client_try.customer.plan_index]
        worth = self._worth(client_try)
        if client_try.within_quota:
            figures.served_within_quota += worth
        else:
            figures.excess_served += client_try.customer.plan.excess_worth * worth

    def record_refused(self, client_try: ClientTry, level: float) -> None:
        """Records that a try was refused while the customer's bucket held `level` units."""
        self.refused_count += 1
        if level >= max(ROOM_SHARE * client_try.customer.plan.burst, client_try.request.units):
            self.refused_with_room += 1

    def _worth(self, client_try: ClientTry) -> float:
        worth = self.deployment.classes[client_try.request.class_index].worth * client_try.customer.plan.price
        return worth * client_try.request.units

    def summary(self) -> RunFigures:
        """The figures of the run; shares are 0 if nothing was offered."""
        offered = sum(plan.offered for plan in self.plans) or 1.0
        tries = max(self.tries, 1)
        return RunFigures(
            over_quota=sum(plan.cost_of_excess for plan in self.plans) / offered,
            served=sum(plan.served_within_quota + plan.excess_served for plan in self.plans) / offered,
            refused_with_room=self.refused_with_room / tries,
            refused=self.refused_count / tries,
            tries=self.tries,
            first_tries=self.first_tries,
            counter_calls=self.counter_calls,
            counter_unanswered=self.counter_unanswered / max(self.counter_calls, 1),
            served_by_plan=tuple(plan.served_share for plan in self.plans),
        )
