"""The figures of one simulated day, by the definitions that the deployment's operators use."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from testbed.quota.services import QuotaStore

if TYPE_CHECKING:
    from testbed.quota.deployment import Day
    from testbed.quota.simulation import Try

ROOM = 0.5  # share of the burst that has to be unused for a refusal to count as "with room"


@dataclass(slots=True)
class PlanFigures:
    """Worth sums of one plan (class worth x plan price x units)."""

    offered: float = 0.0
    inside: float = 0.0
    beyond: float = 0.0
    beyond_cost: float = 0.0


class Figures:
    """Collects what happens to each try and sums it up."""

    def __init__(self, day: Day) -> None:
        self.day = day
        self.plans = [PlanFigures() for _ in day.plans]
        self.references = {c.number: QuotaStore(c.plan.rate, c.plan.burst, c.plan.burst) for c in day.customers}
        self.tries = 0
        self.first_tries = 0
        self.refused_count = 0
        self.refused_with_room = 0
        self.sent_count = 0
        self.beyond_count = 0
        self.counter_calls = 0

    def arrived(self, now: float, attempt: Try, level: float) -> None:
        """A try has come; a customer's first ones define what is offered."""
        self.tries += 1
        if attempt.number:
            return
        self.first_tries += 1
        plan = attempt.customer.plan
        share = 1.0
        if not self.references[attempt.customer.number].take(now, attempt.request.units):
            share = plan.excess_worth
        self.plans[attempt.customer.plan_index].offered += share * self._worth(attempt)

    def sent(self, now: float, attempt: Try) -> None:
        """A try was first sent on, inside or beyond its quota."""
        self.sent_count += 1
        if attempt.inside:
            return
        self.beyond_count += 1
        worth = self._worth(attempt)
        self.plans[attempt.customer.plan_index].beyond_cost += attempt.customer.plan.excess_cost * worth

    def served(self, now: float, attempt: Try) -> None:
        """A try was answered."""
        figures = self.plans[attempt.customer.plan_index]
        worth = self._worth(attempt)
        if attempt.inside:
            figures.inside += worth
        else:
            figures.beyond += attempt.customer.plan.excess_worth * worth

    def refused(self, now: float, attempt: Try, level: float) -> None:
        """A try was refused while its store held `level` units."""
        self.refused_count += 1
        if level >= max(ROOM * attempt.customer.plan.burst, attempt.request.units):
            self.refused_with_room += 1

    def _worth(self, attempt: Try) -> float:
        worth = self.day.classes[attempt.request.cls].worth * attempt.customer.plan.price
        return worth * attempt.request.units

    @property
    def offered(self) -> float:
        """Worth asked for inside the quotas, and excess worth of the rest."""
        return max(sum(p.offered for p in self.plans), 1e-9)

    @property
    def over_quota(self) -> float:
        """Price of what was sent on beyond quotas, as a share of the worth offered."""
        return sum(p.beyond_cost for p in self.plans) / self.offered

    @property
    def served_share(self) -> float:
        """Worth served, as a share of the worth offered."""
        return sum(p.inside + p.beyond for p in self.plans) / self.offered

    @property
    def room_share(self) -> float:
        """Tries refused with room, as a share of all tries."""
        return self.refused_with_room / max(self.tries, 1)

    def as_dict(self) -> dict[str, object]:
        """The figures for a report."""
        return {
            "over_quota": round(self.over_quota, 4),
            "served": round(self.served_share, 4),
            "refused_with_room": round(self.room_share, 4),
            "refused": round(self.refused_count / max(self.tries, 1), 4),
            "tries": self.tries,
            "first_tries": self.first_tries,
            "counter_calls": self.counter_calls,
            "net": round(self.served_share - self.over_quota, 4),
            "plans": [round((p.inside + p.beyond) / max(p.offered, 1e-9), 3) for p in self.plans],
        }
