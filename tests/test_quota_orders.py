"""Model-based test of the quota path: the accounts of units balance in any order of events.

A request's units are held in up to four places: local bucket, shared bucket, pool of the ceiling, and this
gateway's share of the ceiling. Calls to the counter are late, lost, rejected or answered with an invalid
total while clients leave, plans, entry gateways and counter entries change, and the gateway drains.
tests/quota_books.py says what must hold all the same.
"""

from __future__ import annotations

import itertools

import pytest
from helpers import PLAN, Bench
from hypothesis import HealthCheck, seed, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, precondition, rule, run_state_machine_as_test
from quota_books import (
    BASIC,
    CEILING,
    GATEWAYS,
    MAX_UNITS,
    PLANS,
    CallResult,
    LedgerBench,
    Purpose,
    UnansweredCall,
)

from coralvale import interface as api

SEEDS = (1, 2, 3, 4)
STATE_MACHINE_SETTINGS = settings(
    max_examples=60,
    stateful_step_count=40,
    deadline=None,
    database=None,
    print_blob=False,
    suppress_health_check=list(HealthCheck),
)
UNITS = st.sampled_from((1.0, 2.0, MAX_UNITS))
OUTCOMES = st.sampled_from((api.Outcome.OK, api.Outcome.ERROR, api.Outcome.NOT_SENT, api.Outcome.NOT_SENT))


class RequestEnds(RuleBasedStateMachine):
    """How requests end, whatever the quota that they were admitted by."""

    bench: LedgerBench  # set by each machine

    @precondition(lambda self: self.bench.out())
    @rule(data=st.data(), outcome=OUTCOMES)
    def end_attempt(self, data: st.DataObject, outcome: api.Outcome) -> None:
        self.bench.finish(data.draw(st.sampled_from(self.bench.out()), "request"), outcome)

    @precondition(lambda self: self.bench.waiting())
    @rule(data=st.data())
    def client_leaves(self, data: st.DataObject) -> None:
        self.bench.leave(data.draw(st.sampled_from(self.bench.waiting()), "request"))


class QuotaOrders(RequestEnds):
    """Any order of requests, answers, leaving clients and changes, with every result of calls."""

    results: tuple[CallResult, ...] = tuple(CallResult)

    def __init__(self) -> None:
        super().__init__()
        self.bench = LedgerBench()

    @rule(plan=st.sampled_from((BASIC, CEILING)), entries=st.sampled_from((1, 10, GATEWAYS)), units=UNITS)
    def ask(self, plan: int, entries: int, units: float) -> None:
        self.bench.ask(plan, entries, units)

    @precondition(lambda self: self.bench.calls)
    @rule(data=st.data())
    def answer_call(self, data: st.DataObject) -> None:
        name = data.draw(st.sampled_from(sorted(self.bench.calls)), "entry")
        self.bench.answer(name, data.draw(st.sampled_from(self.results), "result"))

    @rule(pool=st.booleans(), units=st.sampled_from((20.0, 500.0, 1000.0)))
    def others_use(self, pool: bool, units: float) -> None:
        self.bench.add_other_gateways_use(units, pool)

    @precondition(lambda self: not self.bench.calls)
    @rule(seconds=st.sampled_from((0.05, 0.5, 5.0)))
    def time_passes(self, seconds: float) -> None:
        self.bench.wait(seconds)

    @rule(pool=st.booleans())
    def entry_rotates(self, pool: bool) -> None:
        self.bench.pass_rotation(pool)

    @precondition(lambda self: self.bench.calls and CallResult.LATE in self.results)
    @rule(added=st.booleans())
    def counter_stops_answering(self, added: bool) -> None:
        self.bench.stop_answering(added)

    @rule()
    def drain(self) -> None:
        self.bench.drain()

    def teardown(self) -> None:
        settle(self.bench)
        self.bench.check_accounts()


class CertainOrders(QuotaOrders):
    """Only results that tell the gateway whether a call was added, so the accounts balance exactly."""

    results = (CallResult.ADDED, CallResult.ADDED, CallResult.REJECTED, CallResult.NOT_WRITTEN)


def settle(bench: LedgerBench) -> None:
    """Answers all calls to the counter, and those that follow from the answers."""
    for _ in range(100):
        if not bench.calls:
            return
        bench.answer(next(iter(bench.calls)), CallResult.ADDED)
    raise AssertionError("still making calls to the counter after 100 answers")


@pytest.mark.parametrize("number", SEEDS)
@pytest.mark.parametrize("machine", [CertainOrders, QuotaOrders])
def test_the_accounts_balance_in_any_order_of_events(machine: type[QuotaOrders], number: int) -> None:
    run_state_machine_as_test(
        seed(number)(type(machine.__name__, (machine,), {})), settings=STATE_MACHINE_SETTINGS
    )


# Each combination of a failed call's result, its purpose, and what has changed since it was made


CHANGES = ("nothing", "plan", "set", "rotation", "drain")
FAILURE_RESULTS = tuple(result for result in CallResult if result is not CallResult.ADDED)


def call_for(bench: LedgerBench, purpose: Purpose) -> tuple[UnansweredCall, str | None]:
    """A pending call of this purpose, and the request that waits for it, if there is one."""
    if purpose is Purpose.TAKE_BACK:
        bench.add_other_gateways_use(1000.0 + PLANS[BASIC].rate * 50.0)
        bench.ask()
        bench.answer(bench.pending_calls()[0].action.name, CallResult.ADDED)
        (call,) = bench.pending_calls()
        return call, None
    if purpose is Purpose.FILL_UP:
        bench.add_other_gateways_use(-1e4)
        name = bench.ask()
        bench.answer(bench.pending_calls()[0].action.name, CallResult.ADDED)
        (call,) = bench.pending_calls()
        return call, name
    if purpose is Purpose.POOL:
        name = bench.ask(CEILING, units=MAX_UNITS)
        bench.answer(bench.pending_calls()[0].action.name, CallResult.ADDED)
        (call,) = bench.pending_calls()
        assert call.is_pool
        return call, name
    name = bench.ask()
    (call,) = bench.pending_calls()
    if purpose is Purpose.CLIENT_LEFT:
        bench.leave(name)
        return call, None
    return call, name


def change(bench: LedgerBench, call: UnansweredCall, what: str) -> None:
    if what == "plan":
        bench.ask(CEILING if call.record.restrictor.plan is PLANS[BASIC] else BASIC)
    elif what == "set":
        plan = PLANS.index(call.record.restrictor.plan)
        bench.ask(plan, entries=10)
    elif what == "rotation":
        bench.pass_rotation(call.is_pool)
    elif what == "drain":
        bench.drain()


def test_the_table_has_every_case() -> None:
    """125 cases: five results of a call, five purposes, and five changes since it was made."""
    assert len(list(itertools.product(FAILURE_RESULTS, Purpose, CHANGES))) == 125


@pytest.mark.parametrize("what", CHANGES)
@pytest.mark.parametrize("purpose", Purpose, ids=lambda purpose: purpose.name)
@pytest.mark.parametrize("result", FAILURE_RESULTS, ids=lambda result: result.name)
def test_the_accounts_balance_for_each_case(result: CallResult, purpose: Purpose, what: str) -> None:
    bench = LedgerBench()
    call, request = call_for(bench, purpose)
    change(bench, call, what)
    bench.answer(call.action.name, result)
    assert (
        sum(count for case, count in bench.calls_by_case.items() if case[0] is result and case[2] == what)
        == 1
    )
    if request in bench.out():
        bench.finish(request, api.Outcome.NOT_SENT if what == "drain" else api.Outcome.OK)
    settle(bench)
    bench.check_accounts()
    for name in bench.waiting():
        bench.leave(name)
    for name in bench.out():
        bench.finish(name, api.Outcome.NOT_SENT)
    bench.ask()  # its call reports the units that were queued
    settle(bench)
    bench.check_accounts()


# This gateway's share of a ceiling


class CeilingOrders(RequestEnds):
    """Requests of one customer with changing plans and entry gateways while the clock stands still."""

    def __init__(self) -> None:
        super().__init__()
        self.bench = LedgerBench(may_count=False)
        first = self.bench.ask(CEILING, entries=1)
        self.bench.finish(first, api.Outcome.OK)
        self.restrictor = self.bench.gateway.admission.restrictors[1]
        self.initial_tokens = self.restrictor.ceiling_tokens + 1.0

    @rule(plan=st.sampled_from((BASIC, CEILING)), entries=st.sampled_from((1, 2, 10)), units=UNITS)
    def ask(self, plan: int, entries: int, units: float) -> None:
        self.bench.ask(plan, entries, units)

    def teardown(self) -> None:
        tracked_requests = self.bench.tracked_requests.values()
        taken = sum(t.units * t.entries for t in tracked_requests if t.is_sent and t.plan == CEILING)
        assert self.restrictor.ceiling_tokens == pytest.approx(self.initial_tokens - taken)


@pytest.mark.parametrize("number", SEEDS)
def test_the_local_ceiling_tokens_balance_in_any_order_of_events(number: int) -> None:
    run_state_machine_as_test(
        seed(number)(type("Orders", (CeilingOrders,), {})), settings=STATE_MACHINE_SETTINGS
    )


def test_units_queued_for_the_counter_are_limited_to_a_burst() -> None:
    """A customer that the local bucket admitted for long must not fill the shared bucket beyond a burst."""
    bench = Bench(gateways=40, may_count=True, counter_timeout=0.05)
    restrictor = None
    for _ in range(200):
        bench.request(entry_gateways=1)
        bench.wait(0.25)
        restrictor = bench.gateway.admission.restrictors[1]
    assert restrictor is not None and restrictor.unreported_units <= PLAN.burst
