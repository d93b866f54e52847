"""Books of units that balance, in any order of events: a model-based test of the quota path.

A request's units lie in up to four places (own bucket, number on the counter, pool of the ceiling, own part
of the ceiling). Calls to the counter are late, lost, refused or spoilt while clients leave, plans, sets and
numbers change and the gateway drains; see tests/quota_books.py for what must hold all the same.
"""

from __future__ import annotations

import itertools

import pytest
from helpers import PLAN, Bench
from hypothesis import HealthCheck, seed, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, precondition, rule, run_state_machine_as_test
from quota_books import BASIC, CEILING, GATEWAYS, MOST_UNITS, PLANS, Fate, LedgerBench, OpenCall, Purpose

from coralvale import interface as api

SEEDS = (1, 2, 3, 4)
ORDERS = settings(
    max_examples=60,
    stateful_step_count=40,
    deadline=None,
    database=None,
    print_blob=False,
    suppress_health_check=list(HealthCheck),
)
UNITS = st.sampled_from((1.0, 2.0, MOST_UNITS))
OUTCOMES = st.sampled_from((api.Outcome.OK, api.Outcome.ERROR, api.Outcome.NOT_SENT, api.Outcome.NOT_SENT))


class QuotaOrders(RuleBasedStateMachine):
    """Any order of requests, answers, departures and changes, with calls of every fate."""

    fates: tuple[Fate, ...] = tuple(Fate)

    def __init__(self) -> None:
        super().__init__()
        self.bench = LedgerBench()

    @rule(plan=st.sampled_from((BASIC, CEILING)), entries=st.sampled_from((1, 10, GATEWAYS)), units=UNITS)
    def ask(self, plan: int, entries: int, units: float) -> None:
        self.bench.ask(plan, entries, units)

    @precondition(lambda self: self.bench.calls)
    @rule(data=st.data())
    def answer_call(self, data: st.DataObject) -> None:
        name = data.draw(st.sampled_from(sorted(self.bench.calls)), "number")
        self.bench.answer(name, data.draw(st.sampled_from(self.fates), "fate"))

    @precondition(lambda self: self.bench.out())
    @rule(data=st.data(), outcome=OUTCOMES)
    def end_attempt(self, data: st.DataObject, outcome: api.Outcome) -> None:
        self.bench.finish(data.draw(st.sampled_from(self.bench.out()), "request"), outcome)

    @precondition(lambda self: self.bench.waiting())
    @rule(data=st.data())
    def client_leaves(self, data: st.DataObject) -> None:
        self.bench.leave(data.draw(st.sampled_from(self.bench.waiting()), "request"))

    @rule(pool=st.booleans(), units=st.sampled_from((20.0, 500.0, 1000.0)))
    def others_use(self, pool: bool, units: float) -> None:
        self.bench.use_elsewhere(units, pool)

    @precondition(lambda self: not self.bench.calls)
    @rule(seconds=st.sampled_from((0.05, 0.5, 5.0)))
    def time_passes(self, seconds: float) -> None:
        self.bench.wait(seconds)

    @rule(pool=st.booleans())
    def number_ends(self, pool: bool) -> None:
        self.bench.pass_over_number_end(pool)

    @precondition(lambda self: self.bench.calls and Fate.LATE in self.fates)
    @rule(added=st.booleans())
    def counter_falls_silent(self, added: bool) -> None:
        self.bench.fall_silent(added)

    @rule()
    def drain(self) -> None:
        self.bench.drain()

    def teardown(self) -> None:
        settle(self.bench)
        self.bench.check_books()


class CertainOrders(QuotaOrders):
    """The same with calls of which the gateway knows whether they were added: the books balance exactly."""

    fates = (Fate.ADDED, Fate.ADDED, Fate.REFUSED, Fate.CLOSED)


def settle(bench: LedgerBench) -> None:
    """Lets the counter answer all calls, and those that follow."""
    for _ in range(100):
        if not bench.calls:
            return
        bench.answer(next(iter(bench.calls)), Fate.ADDED)
    raise AssertionError("calls without end")


@pytest.mark.parametrize("number", SEEDS)
@pytest.mark.parametrize("machine", [CertainOrders, QuotaOrders])
def test_the_books_balance_in_any_order_of_events(machine: type[QuotaOrders], number: int) -> None:
    run_state_machine_as_test(seed(number)(type(machine.__name__, (machine,), {})), settings=ORDERS)


# Each cell of the table of orders that lose units or count them twice


CHANGES = ("nothing", "plan", "set", "number", "drain")
TROUBLES = tuple(fate for fate in Fate if fate is not Fate.ADDED)


def call_for(bench: LedgerBench, purpose: Purpose) -> tuple[OpenCall, str | None]:
    """A call of this purpose that is out, and the request that waits for it, if there is one."""
    if purpose is Purpose.TAKE_BACK:
        bench.use_elsewhere(1000.0 + PLANS[BASIC].rate * 50.0)
        bench.ask()
        bench.answer(bench.open_calls()[0].action.name, Fate.ADDED)
        (call,) = bench.open_calls()
        return call, None
    if purpose is Purpose.FILL_UP:
        bench.use_elsewhere(-1e4)
        name = bench.ask()
        bench.answer(bench.open_calls()[0].action.name, Fate.ADDED)
        (call,) = bench.open_calls()
        return call, name
    if purpose is Purpose.POOL:
        name = bench.ask(CEILING, units=MOST_UNITS)
        bench.answer(bench.open_calls()[0].action.name, Fate.ADDED)
        (call,) = bench.open_calls()
        assert call.is_pool
        return call, name
    name = bench.ask()
    (call,) = bench.open_calls()
    if purpose is Purpose.CLIENT_LEFT:
        bench.leave(name)
        return call, None
    return call, name


def change(bench: LedgerBench, call: OpenCall, what: str) -> None:
    if what == "plan":
        bench.ask(CEILING if call.record.restrictor.plan is PLANS[BASIC] else BASIC)
    elif what == "set":
        plan = PLANS.index(call.record.restrictor.plan)
        bench.ask(plan, entries=10)
    elif what == "number":
        bench.pass_over_number_end(call.is_pool)
    elif what == "drain":
        bench.drain()


def test_the_table_has_every_cell() -> None:
    """125 orders: five fates of a call, five purposes, and what has changed since it was made."""
    assert len(list(itertools.product(TROUBLES, Purpose, CHANGES))) == 125


@pytest.mark.parametrize("what", CHANGES)
@pytest.mark.parametrize("purpose", Purpose, ids=lambda purpose: purpose.name)
@pytest.mark.parametrize("fate", TROUBLES, ids=lambda fate: fate.name)
def test_the_books_balance_in_each_cell(fate: Fate, purpose: Purpose, what: str) -> None:
    bench = LedgerBench()
    call, request = call_for(bench, purpose)
    change(bench, call, what)
    bench.answer(call.action.name, fate)
    assert sum(count for cell, count in bench.reached.items() if cell[0] is fate and cell[2] == what) == 1
    if request in bench.out():
        bench.finish(request, api.Outcome.NOT_SENT if what == "drain" else api.Outcome.OK)
    settle(bench)
    bench.check_books()
    for name in bench.waiting():
        bench.leave(name)
    for name in bench.out():
        bench.finish(name, api.Outcome.NOT_SENT)
    bench.ask()  # the next call tells what has not been told
    settle(bench)
    bench.check_books()


# The own part of a ceiling


class CeilingOrders(RuleBasedStateMachine):
    """Requests of one customer under changing plans and sets while the clock stands still."""

    def __init__(self) -> None:
        super().__init__()
        self.bench = LedgerBench(may_count=False)
        first = self.bench.ask(CEILING, entries=1)
        self.bench.finish(first, api.Outcome.OK)
        self.restrictor = self.bench.gateway.admission.restrictors[1]
        self.start = self.restrictor.ceiling_tokens + 1.0

    @rule(plan=st.sampled_from((BASIC, CEILING)), entries=st.sampled_from((1, 2, 10)), units=UNITS)
    def ask(self, plan: int, entries: int, units: float) -> None:
        self.bench.ask(plan, entries, units)

    @precondition(lambda self: self.bench.out())
    @rule(data=st.data(), outcome=OUTCOMES)
    def end_attempt(self, data: st.DataObject, outcome: api.Outcome) -> None:
        self.bench.finish(data.draw(st.sampled_from(self.bench.out()), "request"), outcome)

    @precondition(lambda self: self.bench.waiting())
    @rule(data=st.data())
    def client_leaves(self, data: st.DataObject) -> None:
        self.bench.leave(data.draw(st.sampled_from(self.bench.waiting()), "request"))

    def teardown(self) -> None:
        tickets = self.bench.tickets.values()
        taken = sum(t.units * t.entries for t in tickets if t.is_sent_on and t.plan == CEILING)
        assert self.restrictor.ceiling_tokens == pytest.approx(self.start - taken)


@pytest.mark.parametrize("number", SEEDS)
def test_the_own_part_of_a_ceiling_balances_in_any_order_of_events(number: int) -> None:
    run_state_machine_as_test(seed(number)(type("Orders", (CeilingOrders,), {})), settings=ORDERS)


def test_what_is_not_told_is_bounded_by_a_burst() -> None:
    """A customer that is let in by the own bucket for long is not held for more than a bucket holds."""
    bench = Bench(gateways=40, may_count=True, counter_timeout=0.05)
    restrictor = None
    for _ in range(200):
        bench.request(entry_gateways=1)
        bench.wait(0.25)
        restrictor = bench.gateway.admission.restrictors[1]
    assert restrictor is not None and restrictor.unreported_units <= PLAN.burst
