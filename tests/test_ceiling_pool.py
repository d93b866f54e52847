"""The ceiling is kept at every moment at which the counter entry of its pool is replaced or forgotten."""

from __future__ import annotations

import pytest
from ceiling_fleet import PLAN_UNDER_CEILING, CeilingFleet, Scenario

from coralvale import interface as api
from coralvale.reservation import Reservation
from coralvale.restrictor import Restrictor
from coralvale.shared_bucket import COUNTER_ENTRY_ROTATION_S, SharedBucket

SEEDS = range(3)
SLOW_COUNTER_S = (0.01, 0.045)  # one way; the gateways wait for 0.1 s
SCENARIOS = {
    "just before a push": Scenario(push_at=0.05),
    "one second into a push": Scenario(),
    "three seconds into a push": Scenario(push_at=-3.0, push_seconds=7.0),
    "eleven gateways": Scenario(gateways=11),
    "the largest requests": Scenario(gateways=11, units=6.0),
    "small requests": Scenario(units=1.0, push_rate=600.0, push_at=-2.0, push_seconds=5.0),
    "a slow counter": Scenario(gateways=11, delay=SLOW_COUNTER_S),
    "a flush": Scenario(flushes=(1.0,)),
    "a flush just before and three after": Scenario(flushes=(-0.02, 0.02, 0.3, 1.0)),
    "flushes of a slow counter": Scenario(gateways=11, delay=SLOW_COUNTER_S, flushes=(-0.3, 0.1, 1.0)),
    "a late first call": Scenario(push_at=20.0, spike_before=5.0),
    "gateways restart": Scenario(restarts=((-0.01, 2), (0.0, 3), (0.1, 4))),
    "clients leave": Scenario(leaving_share=0.3),
    "a customer with more calm traffic": Scenario(calm_rate=30.0),
}


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("scenario", SCENARIOS.values(), ids=SCENARIOS)
def test_the_ceiling_is_kept_while_the_pools_counter_entry_is_replaced(scenario: Scenario, seed: int) -> None:
    """Guards against a pool that gives its burst twice as its counter entry is replaced (review/8)."""
    fleet = CeilingFleet(scenario, seed)
    fleet.play()
    assert len(fleet.sent_at) > 50 and len(fleet.refused_at) > 50  # the ceiling does limit
    assert fleet.store.lowest >= -PLAN_UNDER_CEILING.ceiling_slack


def test_a_calm_customer_is_refused_nothing_by_a_replacement() -> None:
    """Guards against a full new pool costing customers that stay within their even shares."""
    for seed in SEEDS:
        fleet = CeilingFleet(Scenario(calm_rate=12.0, push_at=20.0), seed)
        fleet.play()
        assert fleet.refusals(-10.0, 10.0) == 0


NOW = 10.0
POOL = SharedBucket(name=1, started_at=9.0, rate=20.0, burst=40.0, is_pool=True, gateways=11)


def initialized(now: float, others: float = 0.0) -> float:
    """The total of an entry that was initialized while it held units of other gateways."""
    return others + POOL.initial_amount(now, others)


def test_a_new_pool_is_full_whenever_it_is_initialized() -> None:
    assert not POOL.is_initialized(0.0) and not POOL.is_initialized(500.0)
    for now in (9.0, 10.0, 9.0 + COUNTER_ENTRY_ROTATION_S):
        total = initialized(now)
        assert POOL.is_initialized(total) and POOL.fill(now, total) == pytest.approx(POOL.burst)


def test_the_units_of_requests_that_a_new_pool_refuses_leave_it_full_once_they_are_taken_back() -> None:
    """Guards against calls that cross: the gateway that initializes the entry has seen units of others."""
    others = 60.0
    assert POOL.fill(NOW, initialized(NOW, others) - others) == pytest.approx(POOL.burst)
    assert POOL.fill(NOW, initialized(NOW, -others)) == pytest.approx(POOL.burst)  # taken back already


def test_a_pool_that_two_gateways_have_initialized_is_full_and_the_second_call_is_undone() -> None:
    """Guards against fill-ups that cross and leave the pool empty."""
    first = initialized(NOW)
    second = POOL.initial_amount(NOW, 0.0)
    assert POOL.is_filled_up(NOW, first) and not POOL.is_filled_up(NOW, 0.0)
    assert POOL.fill(NOW, first + second) >= POOL.burst
    assert POOL.fill(NOW, first + second) <= POOL.burst + POOL.rate * (NOW - POOL.started_at)


def test_units_of_a_request_that_ended_are_taken_back_from_the_entry_that_has_them() -> None:
    """Guards against a new entry that is emptied by units which its predecessor had."""
    restrictor = Restrictor(PLAN_UNDER_CEILING, 8, NOW, 0.0, may_count=True)
    request = api.Request("r1", 0, 0, 1, 8, NOW + 1.0, units=3.0)
    reservation = Reservation(request, restrictor, pool_units=3.0, pool_entry=1)
    reservation.release()
    assert restrictor.take_unreported_units(pool_entry=2) == 0.0
    assert restrictor.unreported_pool_units == -3.0
    assert restrictor.take_unreported_units(pool_entry=1) == -3.0
    assert restrictor.unreported_pool_units == 0.0
