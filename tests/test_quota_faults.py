"""Wrong readings, wrong totals and lost replies must not disturb a quota for longer than they last."""

from __future__ import annotations

import pytest
from quota_books import BASIC, CEILING, COUNTER_TIMEOUT, PLANS, LedgerBench
from test_quota_input import CEILING as CAPPED
from test_quota_input import OPEN_ONLY, QuotaBench

from coralvale import interface as api
from coralvale.customers import IDLE_TIMEOUT_S
from coralvale.logic import TIMER_INTERVAL_S
from coralvale.restrictor import RATE_UPDATE_INTERVAL_S
from coralvale.shared_quota import MAX_CALL_UNITS

EXCESS_UNITS = 1e8  # units by which a total is too high, as of a counter that has kept an expired entry


def test_a_request_of_a_plan_without_a_ceiling_takes_no_ceiling_tokens() -> None:
    bench = QuotaBench(may_count=False)
    bench.wait(1.0)
    bench.request(plan_index=CAPPED, entry_gateways=1)
    restrictor = bench.gateway.admission.restrictors[1]
    before = restrictor.ceiling_tokens
    bench.request(plan_index=BASIC, entry_gateways=1)
    assert restrictor.ceiling_tokens == before


def test_a_total_that_is_far_too_high_refuses_only_until_its_entry_is_rotated_out() -> None:
    bench = LedgerBench()
    bench.add_other_gateways_use(EXCESS_UNITS)
    bench.ask()
    bench.answer_oldest_call()
    bench.answer_oldest_call()  # the call that takes the refused request's units back
    assert bench.gateway.admission.restrictors[1].shared_blocked_until > bench.now
    bench.pass_rotation()
    name = bench.ask()
    bench.answer_oldest_call()
    assert name in bench.out()


def test_a_pool_total_that_is_far_too_high_refuses_only_until_its_entry_is_rotated_out() -> None:
    bench = LedgerBench()
    bench.add_other_gateways_use(EXCESS_UNITS, pool=True)
    bench.ask(CEILING, units=8.0)
    bench.answer_oldest_call()  # to the shared bucket
    bench.answer_oldest_call()  # to the pool
    restrictor = bench.gateway.admission.restrictors[1]
    assert (
        bench.now < restrictor.pool_blocked_until <= bench.now + bench.seconds_to_rotation(pool=True) + 1e-6
    )


def test_one_huge_reading_lowers_the_leak_rate_for_seconds_only() -> None:
    """What follows the reading is twice as long as it takes to forget one of a few times the quota."""
    bench = QuotaBench(may_count=False)
    for second in range(60):
        name, _ = bench.request(entry_gateways=2, units=2.0)
        if name in bench.out():
            bench.answer(name, usage=1e300 if second == 20 else 0.5)
        bench.wait(RATE_UPDATE_INTERVAL_S)
        if second == 20:
            assert bench.gateway.admission.restrictors[1].rate < PLANS[BASIC].rate
    assert bench.gateway.admission.restrictors[1].usage_for_rate == pytest.approx(0.5, rel=0.1)


def test_a_huge_reading_has_the_same_effect_as_one_far_above_the_quota() -> None:
    rates = []
    for reading in (100.0, 1e300):
        bench = QuotaBench(may_count=False)
        for second in range(12):
            name, _ = bench.request(entry_gateways=2, units=2.0)
            if name in bench.out():
                bench.answer(name, usage=reading if second == 4 else 0.5)
            bench.wait(RATE_UPDATE_INTERVAL_S)
        rates.append(bench.gateway.admission.restrictors[1].rate)
    assert rates[0] == rates[1]


@pytest.mark.parametrize("units", [9.0, 1e6, 1e300])
def test_true_units_above_the_maximum_are_ignored(units: float) -> None:
    """Requests take eight units at most here, but the simulator's protocol lets any number through."""
    bench = QuotaBench()
    name, _ = bench.request(units=2.0)
    bench.answer(name, units=units)
    assert bench.gateway.admission.restrictors[1].fill == 2.0


def test_all_calls_to_a_counter_that_does_not_answer_time_out_together() -> None:
    """Calls to the same entry without a timeout at the caller: none waits for those before it to time out."""
    bench = LedgerBench()
    names = [bench.ask() for _ in range(20)]
    assert len(bench.pending_calls()) == 20
    bench.calls.clear()
    bench.wait(2 * COUNTER_TIMEOUT + TIMER_INTERVAL_S + 0.01)
    assert [
        name for name in names if name not in bench.out() and not bench.tracked_requests[name].ended
    ] == []


@pytest.mark.parametrize("plan", [OPEN_ONLY, BASIC, CAPPED])
def test_an_idle_customers_restrictor_is_dropped_whatever_its_plan(plan: int) -> None:
    bench = QuotaBench(may_count=False)
    bench.wait(1.0)  # a ceiling has no tokens right after the gateway's start
    name, _ = bench.request(plan_index=plan)
    bench.answer(name)
    bench.wait(2 * IDLE_TIMEOUT_S)
    assert bench.gateway.admission.restrictors == {}


def test_a_restrictor_is_kept_while_its_ceiling_tokens_are_short() -> None:
    """If the ceiling takes longer to fill than the idle timeout, a new restrictor would refill it."""
    plan = PLANS[CEILING]
    seconds = 10 * IDLE_TIMEOUT_S
    slow = type(plan)(plan.name, 100.0, 1e3, excess_cost=1.0, ceiling_rate=1e3 / seconds, ceiling_burst=1e3)
    bench = LedgerBench(may_count=False, plans=(slow,))
    bench.wait(2 * seconds)
    for _ in range(100):
        name = bench.ask(0, entries=1, units=8.0)
        bench.finish(name, api.Outcome.OK)
    bench.wait(2 * IDLE_TIMEOUT_S)
    restrictor = bench.gateway.admission.restrictors[1]
    assert restrictor.ceiling_tokens < slow.ceiling_burst
    bench.wait(seconds)
    assert bench.gateway.admission.restrictors == {}


@pytest.mark.parametrize("total", [-1e12, -3e9, -1e300])
def test_no_call_exceeds_the_maximum_amount(total: float) -> None:
    """A total far below zero is filled up in several calls; the counter rejects larger amounts."""
    bench = LedgerBench()
    for _ in range(5):
        bench.ask()
        (call,) = bench.pending_calls()
        bench.calls.clear()
        for action in bench.feed(api.CounterReply(call.action.name, True, total)):
            if isinstance(action, api.CounterAdd):
                assert abs(action.amount) <= MAX_CALL_UNITS
        bench.calls.clear()
        bench.gateway.admission.shared_quota.pending.clear()


def test_queued_units_beyond_the_maximum_amount_stay_queued() -> None:
    bench = LedgerBench()
    bench.ask(entries=1)
    restrictor = bench.gateway.admission.restrictors[1]
    restrictor.unreported_units = -2.5 * MAX_CALL_UNITS
    amounts = []
    for _ in range(3):
        bench.ask()
        amounts.append(bench.pending_calls()[-1].action.amount)
    assert amounts[:2] == [-MAX_CALL_UNITS, -MAX_CALL_UNITS]
    assert sum(amounts) == pytest.approx(-2.5 * MAX_CALL_UNITS + 3.0)


def test_a_correction_to_the_true_units_reaches_the_shared_bucket() -> None:
    bench = LedgerBench(post_paid=True, max_units=8.0)
    name = bench.ask(units=2.0)
    bench.answer_oldest_call()
    bench.tracked_requests[name].units = 5.0
    bench.finish(name, api.Outcome.OK, units=5.0)
    bench.check_accounts()
