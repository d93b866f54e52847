"""Overrides of a site file for comparisons: counter, meter, entry gateways, excess costs, post-payment."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from testbed.quota.site import Range, Section

# Entries of the site's table `fam`; the site's own entries take precedence over the defaults.
METER_DEFAULTS = {"meter_s": 0.5, "meter_late_ms": [210, 1400]}
COUNTER_DEFAULTS = {"counter_timeout_ms": 30, "counter_parts": [1, 3]}
GOOD_COUNTER = {"counter_per_s": [600, 820], "counter_ms": [0.35, 1.7]}
SLOW_COUNTER = {"counter_per_s": [220, 320], "counter_ms": [3, 6], "counter_parts": 1}
ESTIMATE_DEFAULTS = {"guess_cv": [0.3, 0.7]}


class CounterKind(Enum):
    """Capacity of the shared counter."""

    GOOD = "good"
    SLOW = "slow"
    NONE = "none"


@dataclass(frozen=True, slots=True)
class SiteOverrides:
    """Changes to the entries of a site file; None keeps the site's."""

    counter: CounterKind | None = None
    meter: bool | None = None
    entry_share: Range | None = None  # entry gateways of a customer, over all gateways
    excess_cost: float | None = None  # of a request in excess of its quota, over its worth
    post_paid: bool | None = None  # whether responses correct estimated units

    def apply_to(self, site: Section) -> Section:
        """A copy of the site with the changes; SiteError if it has no quota table or no plans."""
        quota_entries = site.section("fam")
        changed = dict(quota_entries.entries)
        changed |= self._counter_changes(changed)
        changed |= self._meter_changes(changed)
        changed |= self._unit_changes(changed)
        changed["plan"] = [self._changed_plan(plan) for plan in quota_entries.sections("plan")]
        return Section({**site.entries, "fam": changed}, site.path)

    def _counter_changes(self, quota_entries: dict[str, object]) -> dict[str, object]:
        if self.counter is None:
            return {}
        if self.counter is CounterKind.NONE:
            return {"counter": False}
        capacity = GOOD_COUNTER if self.counter is CounterKind.GOOD else SLOW_COUNTER
        site_values = {name: quota_entries[name] for name in COUNTER_DEFAULTS if name in quota_entries}
        return {**COUNTER_DEFAULTS, **site_values, **capacity, "counter": True}

    def _meter_changes(self, quota_entries: dict[str, object]) -> dict[str, object]:
        if self.meter is None:
            return {}
        site_values = {name: quota_entries[name] for name in METER_DEFAULTS if name in quota_entries}
        return {**METER_DEFAULTS, **site_values, "meter": self.meter}

    def _unit_changes(self, quota_entries: dict[str, object]) -> dict[str, object]:
        if self.post_paid is None or self.post_paid == (quota_entries.get("units") == "after"):
            return {}
        return {**ESTIMATE_DEFAULTS, "units": "after" if self.post_paid else "size"}

    def _changed_plan(self, plan: Section) -> dict[str, object]:
        changed = dict(plan.entries)
        if self.entry_share is not None:
            changed["spread"] = list(self.entry_share)
        if self.excess_cost is not None:
            changed["over_cost"] = self.excess_cost
        return changed
