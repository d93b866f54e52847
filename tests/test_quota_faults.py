"""Odd readings, totals and silences that once disturbed a customer's quota for longer than they lasted."""

from __future__ import annotations

import pytest
from quota_books import BASIC, CEILING, COUNTER_TIMEOUT, PLANS, LedgerBench
from test_quota_input import CEILING as CAPPED
from test_quota_input import OPEN_ONLY, QuotaBench

from coralvale import interface as api
from coralvale.admission import IDLE
from coralvale.logic import TIMER_INTERVAL_S
from coralvale.restrictor import STEP
from coralvale.shared_quota import MOST_AMOUNT

FAR_OFF = 1e8  # units that a total may be too high by, where a counter has kept what it should have lost


def test_a_request_of_a_plan_without_a_ceiling_takes_nothing_from_its_customer_s() -> None:
    bench = QuotaBench(may_count=False)
    bench.wait(1.0)
    bench.request(plan_index=CAPPED, entry_gateways=1)
    restrictor = bench.gateway.admission.restrictors[1]
    before = restrictor.ceiling
    bench.request(plan_index=BASIC, entry_gateways=1)
    assert restrictor.ceiling == before


def test_a_total_that_is_far_off_refuses_no_longer_than_its_number_lives() -> None:
    bench = LedgerBench()
    bench.use_elsewhere(FAR_OFF)
    bench.ask()
    bench.feed_total()
    bench.feed_total()  # of the call that takes the refused request's units back
    assert bench.gateway.admission.restrictors[1].blocked_until > bench.now
    bench.pass_over_number_end()
    name = bench.ask()
    bench.feed_total()
    assert name in bench.out()


def test_a_pool_s_total_that_is_far_off_refuses_no_longer_than_its_number_lives() -> None:
    bench = LedgerBench()
    bench.use_elsewhere(FAR_OFF, pool=True)
    bench.ask(CEILING, units=8.0)
    bench.feed_total()  # of the quota
    bench.feed_total()  # of the pool
    restrictor = bench.gateway.admission.restrictors[1]
    assert bench.now < restrictor.pool_blocked_until <= bench.now + bench.number_ends_in(pool=True) + 1e-6


def test_one_huge_reading_holds_the_leak_rate_down_for_seconds_only() -> None:
    """The bound is twice the steps that a reading of a few times the quota takes to be forgotten."""
    bench = QuotaBench(may_count=False)
    for second in range(60):
        name, _ = bench.request(entry_gateways=2, units=2.0)
        if name in bench.out():
            bench.answer(name, usage=1e300 if second == 20 else 0.5)
        bench.wait(STEP)
        if second == 20:
            assert bench.gateway.admission.restrictors[1].rate < PLANS[BASIC].rate
    assert bench.gateway.admission.restrictors[1].use == pytest.approx(0.5, rel=0.1)


def test_the_effect_of_a_huge_reading_is_that_of_one_that_is_far_over_any_quota() -> None:
    rates = []
    for reading in (100.0, 1e300):
        bench = QuotaBench(may_count=False)
        for second in range(12):
            name, _ = bench.request(entry_gateways=2, units=2.0)
            if name in bench.out():
                bench.answer(name, usage=reading if second == 4 else 0.5)
            bench.wait(STEP)
        rates.append(bench.gateway.admission.restrictors[1].rate)
    assert rates[0] == rates[1]


@pytest.mark.parametrize("units", [9.0, 1e6, 1e300])
def test_true_units_that_no_request_may_take_settle_nothing(units: float) -> None:
    """Requests take eight units at most here; by the simulator's wire any number comes through."""
    bench = QuotaBench()
    name, _ = bench.request(units=2.0)
    bench.answer(name, units=units)
    assert bench.gateway.admission.restrictors[1].fill == 2.0


def test_all_calls_to_a_silent_counter_end_together() -> None:
    """Calls that name one number, and hosts without time-outs of their own: none waits for those ahead."""
    bench = LedgerBench()
    names = [bench.ask() for _ in range(20)]
    assert len(bench.open_calls()) == 20
    bench.calls.clear()
    bench.wait(2 * COUNTER_TIMEOUT + TIMER_INTERVAL_S + 0.01)
    assert [name for name in names if name not in bench.out() and not bench.tickets[name].ended] == []


@pytest.mark.parametrize("plan", [OPEN_ONLY, BASIC, CAPPED])
def test_an_idle_customer_s_restrictor_is_dropped_whatever_its_plan(plan: int) -> None:
    bench = QuotaBench(may_count=False)
    bench.wait(1.0)  # one that has just started lets nothing in by a ceiling
    name, _ = bench.request(plan_index=plan)
    bench.answer(name)
    bench.wait(2 * IDLE)
    assert bench.gateway.admission.restrictors == {}


def test_a_restrictor_is_kept_while_its_part_of_the_ceiling_is_short() -> None:
    """A plan whose ceiling takes longer to fill than a customer is remembered would get it anew."""
    plan = PLANS[CEILING]
    seconds = 10 * IDLE
    slow = type(plan)(plan.name, 100.0, 1e3, excess_cost=1.0, ceiling_rate=1e3 / seconds, ceiling_burst=1e3)
    bench = LedgerBench(may_count=False, plans=(slow,))
    bench.wait(2 * seconds)
    for _ in range(100):
        name = bench.ask(0, entries=1, units=8.0)
        bench.finish(name, api.Outcome.OK)
    bench.wait(2 * IDLE)
    restrictor = bench.gateway.admission.restrictors[1]
    assert restrictor.ceiling < slow.ceiling_burst
    bench.wait(seconds)
    assert bench.gateway.admission.restrictors == {}


@pytest.mark.parametrize("total", [-1e12, -3e9, -1e300])
def test_no_call_is_over_what_the_counter_takes(total: float) -> None:
    """A total far below nought is filled up in steps; the counter turns away larger amounts."""
    bench = LedgerBench()
    for _ in range(5):
        bench.ask()
        (call,) = bench.open_calls()
        bench.calls.clear()
        for action in bench.feed(api.CounterReply(call.action.name, True, total)):
            if isinstance(action, api.CounterAdd):
                assert abs(action.amount) <= MOST_AMOUNT
        bench.calls.clear()
        bench.gateway.admission.shared.pending.clear()


def test_what_is_untold_beyond_what_a_call_may_carry_waits_for_the_next() -> None:
    bench = LedgerBench()
    bench.ask(entries=1)
    restrictor = bench.gateway.admission.restrictors[1]
    restrictor.unreported = -2.5 * MOST_AMOUNT
    amounts = []
    for _ in range(3):
        bench.ask()
        amounts.append(bench.open_calls()[-1].action.amount)
    assert amounts[:2] == [-MOST_AMOUNT, -MOST_AMOUNT]
    assert sum(amounts) == pytest.approx(-2.5 * MOST_AMOUNT + 3.0)


def test_a_correction_of_true_units_reaches_the_shared_bucket() -> None:
    bench = LedgerBench(post_paid=True, max_units=8.0)
    name = bench.ask(units=2.0)
    bench.feed_total()
    bench.tickets[name].units = 5.0
    bench.finish(name, api.Outcome.OK, units=5.0)
    bench.check_books()
