"""The figures of one simulated day, by the definitions that the deployment's operators use."""

from __future__ import annotations

import heapq
from dataclasses import dataclass

from coralvale import interface as api
from testbed.quota.deployment import Day
from testbed.quota.services import QuotaStore
from testbed.quota.tries import Try

ROOM = 0.5  # share of the burst that has to be unused for a refusal to count as "with room"


@dataclass(slots=True)
class PlanFigures:
    """Worth sums of one plan (class worth x plan price x units)."""

    offered: float = 0.0
    inside: float = 0.0
    beyond: float = 0.0
    beyond_cost: float = 0.0

    @property
    def served_share(self) -> float:
        """Worth served over worth offered; nought if none was offered."""
        return (self.inside + self.beyond) / self.offered if self.offered else 0.0


@dataclass(frozen=True, slots=True)
class DayFigures:
    """Figures of one day. Shares of the worth offered: over_quota, served. Of all tries: the refusals."""

    over_quota: float
    served: float
    refused_with_room: float
    refused: float
    tries: int
    first_tries: int
    counter_calls: int
    counter_unanswered: float  # share of the calls that were turned away or answered too late
    served_by_plan: tuple[float, ...]

    @property
    def net(self) -> float:
        """What was served less the price of what was sent on beyond quotas."""
        return self.served - self.over_quota


class ReferenceGateway:
    """One gateway that sees all first tries of a customer; it defines what is offered."""

    def __init__(self, plan: api.Plan) -> None:
        self.store = QuotaStore.full(plan)
        self.ends: list[float] = []

    def admits(self, now: float, units: float, service_time: float) -> bool:
        """Whether a first try, which would take a host `service_time` seconds, is let in."""
        while self.ends and self.ends[0] <= now:
            heapq.heappop(self.ends)
        self.store.open = len(self.ends)
        if not self.store.take(now, units):
            return False
        heapq.heappush(self.ends, now + service_time)
        return True


class Figures:
    """Collects what happens to each try and sums it up."""

    def __init__(self, day: Day) -> None:
        self.day = day
        self.plans = [PlanFigures() for _ in day.plans]
        self.references = {c.number: ReferenceGateway(c.plan) for c in day.customers}
        self.tries = 0
        self.first_tries = 0
        self.refused_count = 0
        self.refused_with_room = 0
        self.counter_calls = 0
        self.counter_unanswered = 0

    def arrived(self, now: float, attempt: Try) -> None:
        """A try has come; a customer's first ones define what is offered."""
        self.tries += 1
        if attempt.number:
            return
        self.first_tries += 1
        plan = attempt.customer.plan
        reference = self.references[attempt.customer.number]
        inside = reference.admits(now, attempt.request.units, self.day.work[attempt.request.class_index])
        share = 1.0 if inside else plan.excess_worth
        self.plans[attempt.customer.plan_index].offered += share * self._worth(attempt)

    def sent(self, attempt: Try) -> None:
        """A try was first sent on, inside or beyond its quota."""
        if attempt.inside:
            return
        cost = attempt.customer.plan.excess_cost * self._worth(attempt)
        self.plans[attempt.customer.plan_index].beyond_cost += cost

    def served(self, attempt: Try) -> None:
        """A try was answered."""
        figures = self.plans[attempt.customer.plan_index]
        worth = self._worth(attempt)
        if attempt.inside:
            figures.inside += worth
        else:
            figures.beyond += attempt.customer.plan.excess_worth * worth

    def refused(self, attempt: Try, level: float) -> None:
        """A try was refused while its store held `level` units."""
        self.refused_count += 1
        if level >= max(ROOM * attempt.customer.plan.burst, attempt.request.units):
            self.refused_with_room += 1

    def _worth(self, attempt: Try) -> float:
        worth = self.day.classes[attempt.request.class_index].worth * attempt.customer.plan.price
        return worth * attempt.request.units

    def summary(self) -> DayFigures:
        """The day's figures; all nought where nothing was offered."""
        offered = sum(plan.offered for plan in self.plans) or 1.0
        tries = max(self.tries, 1)
        return DayFigures(
            over_quota=sum(plan.beyond_cost for plan in self.plans) / offered,
            served=sum(plan.inside + plan.beyond for plan in self.plans) / offered,
            refused_with_room=self.refused_with_room / tries,
            refused=self.refused_count / tries,
            tries=self.tries,
            first_tries=self.first_tries,
            counter_calls=self.counter_calls,
            counter_unanswered=self.counter_unanswered / max(self.counter_calls, 1),
            served_by_plan=tuple(plan.served_share for plan in self.plans),
        )
