"""What a comparison changes about a deployment: the counter, the meter, set sizes, costs, settling."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from testbed.quota.site import Range, Section

METER_DEFAULTS = {"meter_s": 0.5, "meter_late_ms": [210, 1400]}
COUNTER_DEFAULTS = {"counter_timeout_ms": 30, "counter_parts": [1, 3]}
GOOD_COUNTER = {"counter_per_s": [600, 820], "counter_ms": [0.35, 1.7]}
SLOW_COUNTER = {"counter_per_s": [220, 320], "counter_ms": [3, 6], "counter_parts": 1}
GUESS_DEFAULT = {"guess_cv": [0.3, 0.7]}


class CounterKind(Enum):
    """How much the shared counter bears."""

    GOOD = "good"
    SLOW = "slow"
    NONE = "none"


@dataclass(frozen=True, slots=True)
class Variation:
    """What is changed about a site's own ranges; None leaves the site's.

    `sets` is the size of a customer's set as a share of all gateways.
    """

    counter: CounterKind | None = None
    meter: bool | None = None
    sets: Range | None = None
    excess_cost: float | None = None
    settles_after: bool | None = None

    def applied(self, site: Section) -> Section:
        """The site with the changes made; SiteError if it has no quotas or plans."""
        quota = site.section("fam")
        changed = dict(quota.entries)
        changed |= self._counter(changed)
        changed |= self._meter(changed)
        changed |= self._settling(changed)
        changed["plan"] = [self._plan(plan) for plan in quota.sections("plan")]
        return Section({**site.entries, "fam": changed}, site.path)

    def _counter(self, quota: dict[str, object]) -> dict[str, object]:
        if self.counter is None:
            return {}
        if self.counter is CounterKind.NONE:
            return {"counter": False}
        speed = GOOD_COUNTER if self.counter is CounterKind.GOOD else SLOW_COUNTER
        own = {name: quota[name] for name in COUNTER_DEFAULTS if name in quota}
        return {**COUNTER_DEFAULTS, **own, **speed, "counter": True}

    def _meter(self, quota: dict[str, object]) -> dict[str, object]:
        if self.meter is None:
            return {}
        own = {name: quota[name] for name in METER_DEFAULTS if name in quota}
        return {**METER_DEFAULTS, **own, "meter": self.meter}

    def _settling(self, quota: dict[str, object]) -> dict[str, object]:
        if self.settles_after is None or self.settles_after == (quota.get("units") == "after"):
            return {}
        return {**GUESS_DEFAULT, "units": "after" if self.settles_after else "size"}

    def _plan(self, plan: Section) -> dict[str, object]:
        changed = dict(plan.entries)
        if self.sets is not None:
            changed["spread"] = list(self.sets)
        if self.excess_cost is not None:
            changed["over_cost"] = self.excess_cost
        return changed
