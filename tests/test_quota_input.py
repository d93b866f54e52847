"""Odd input to the quota path: no estimate leaves its bounds, no request is lost, nothing is raised."""

from __future__ import annotations

import math
import random
from collections import Counter
from dataclasses import replace

import pytest
from helpers import PLAN, Bench

from coralvale import interface as api
from coralvale.logic import TIMER_INTERVAL_S
from coralvale.shared_quota import TRUST_EACH, TRUST_LEAST

GATEWAYS = 1024
MOST_UNITS = 8.0
COUNTER_TIMEOUT = 0.05
BASIC, OPEN_ONLY, CEILING, SOFT = range(4)  # indices of PLANS
PLANS = (
    PLAN,
    replace(PLAN, name="open only", rate=0.0, burst=0.0, open_limit=3.0),
    replace(
        PLAN,
        name="ceiling",
        rate=50.0,
        burst=100.0,
        ceiling_rate=100.0,
        ceiling_burst=200.0,
        ceiling_slack=20.0,
    ),
    replace(PLAN, name="soft", excess_cost=0.0),
)
LARGEST_BURST = max(plan.burst for plan in PLANS)
LARGEST_CEILING = max(plan.ceiling_burst for plan in PLANS)
SET_SIZES = (1, 2, 40, GATEWAYS)
ODD_READINGS = (math.nan, -0.5, -math.inf, math.inf, 1e300, 0.0)
ODD_TOTALS = (math.nan, math.inf, -math.inf, -1e6, -1e300, 0.0)
ODD_TRUE_UNITS = (math.nan, -1.0, -math.inf, math.inf, 0.0)
FAILURES = (api.Outcome.ERROR, api.Outcome.FULL, api.Outcome.CONNECT_FAILED, api.Outcome.NOT_SENT)


class QuotaBench(Bench):
    """A bench that knows the fate of each request and checks all estimates after each event."""

    def __init__(self, seed: int = 1, **changes: object) -> None:
        settings: dict[str, object] = {
            "gateways": GATEWAYS,
            "plans": PLANS,
            "may_count": True,
            "counter_timeout": COUNTER_TIMEOUT,
            "post_paid": True,
            "max_units": MOST_UNITS,
        }
        self.random = random.Random(seed)
        self.ends: dict[str, list[str]] = {}  # by request: how it ended, which must be once
        self.attempts: dict[str, int] = {}  # by request: number of its attempt that is out
        self.calls: list[api.CounterAdd] = []  # without a reply so far
        self.asked = dict[int, list[api.Request]]()  # by customer
        self.settled = dict[int, float]()  # by customer: guesses settled since its bucket last leaked
        self.true_units = 0.0  # told by answers
        super().__init__(seed=seed, **{**settings, **changes})
        self.trust_fully()

    def trust_fully(self) -> None:
        self.gateway.admission.shared.trust = TRUST_EACH

    def feed(self, event: api.Event) -> list[api.Action]:
        if isinstance(event, api.Request):
            self.ends[event.id] = []
            self.asked.setdefault(event.customer, []).append(event)
            self.settled[event.customer] = 0.0
        actions = super().feed(event)
        for action in actions:
            if isinstance(action, api.Send):
                assert not self.ends[action.request], "sent after its end"
                self.attempts[action.request] = self.attempts.get(action.request, -1) + 1
            elif isinstance(action, api.Refuse | api.Fail):
                self.end(action.request, type(action).__name__)
                assert not isinstance(action, api.Refuse) or 0 <= action.retry_after <= 1.0
            elif isinstance(action, api.CounterAdd):
                assert math.isfinite(action.amount)
                self.calls.append(action)
        self.check()
        return actions

    def end(self, request: str, how: str) -> None:
        self.ends[request].append(how)
        assert len(self.ends[request]) == 1, (request, self.ends[request])

    def out(self) -> list[str]:
        """Requests with an attempt that waits for its answer."""
        return [name for name in self.attempts if not self.ends[name]]

    def answer(
        self, name: str, outcome: api.Outcome = api.Outcome.OK, units: float | None = None, **more: object
    ) -> None:
        """Answers the attempt that is out; a good answer is the request's end."""
        held = self.gateway.requests[name]
        customer = held.request.customer
        self.settled[customer] = self.settled.get(customer, 0.0) + held.request.units
        if outcome is api.Outcome.OK:
            self.end(name, "answered")
        self.true_units += units if units and 0 < units < math.inf else 0.0
        self.done(name, outcome, self.attempts[name], units=units, **more)

    def leave(self, name: str) -> None:
        self.end(name, "left")
        self.feed(api.RequestAbandoned(name))

    def counter(self, total: float, ok: bool = True, **more: bool) -> list[api.Action]:
        """Replies to the oldest call."""
        return self.feed(api.CounterReply(self.calls.pop(0).name, ok, total, **more))

    def finish(self) -> None:
        """Lets all time-outs pass, answers what is out, and checks that nothing is left in hand."""
        while self.gateway.admission.shared.pending:
            self.wait(2 * COUNTER_TIMEOUT)
        for name in self.out():
            self.answer(name)
        for name in list(self.gateway.requests):  # those whose clients have left
            self.done(name, api.Outcome.CANCELLED, self.attempts[name])
        assert {name: ends for name, ends in self.ends.items() if len(ends) != 1} == {}
        assert self.gateway.admission.shared.pending == {}
        assert self.gateway.requests == {}
        assert all(r.open == 0 for r in self.gateway.admission.restrictors.values())

    def check(self) -> None:
        if not hasattr(self, "gateway"):
            return
        shared = self.gateway.admission.shared
        assert TRUST_LEAST <= shared.trust <= TRUST_EACH
        assert 0 <= shared.congestion <= 1
        assert shared.least_delay >= 0 and math.isfinite(shared.mean_price)
        for customer, restrictor in self.gateway.admission.restrictors.items():
            asked = self.asked[customer]
            # Only settling takes a fill below nought, by no more than the guesses settled since it leaked.
            assert -self.settled[customer] <= restrictor.fill <= 2 * LARGEST_BURST + self.true_units
            if restrictor.plan.rate:
                tolerance = 1e-9 * restrictor.plan.rate
                assert restrictor.floor - tolerance <= restrictor.rate <= restrictor.plan.rate + tolerance
            else:
                assert restrictor.rate == 0
            assert 0 <= restrictor.recent_use <= 1e300 and 0 <= restrictor.use <= 1e300
            assert 0 <= restrictor.demand <= sum(r.units for r in asked)
            # Bounded by the burst and by the units of what was in hand at once, which is all that was asked.
            units = MOST_UNITS * len(asked)
            assert -units <= restrictor.unreported <= LARGEST_BURST + units
            assert math.isfinite(restrictor.ceiling) and restrictor.ceiling <= LARGEST_CEILING
            assert restrictor.open >= 0 and restrictor.passed >= 0 and restrictor.own >= 0


def fuzz(bench: QuotaBench, events: int) -> None:
    """Feeds odd events of all kinds in an order drawn by lot."""
    lot = bench.random
    for _ in range(events):
        kind = lot.random()
        if kind < 0.45:
            bench.request(
                customer=lot.randrange(4),
                plan_index=lot.randrange(len(PLANS)),
                entry_gateways=lot.choice(SET_SIZES),
                units=lot.choice((1.0, MOST_UNITS)),
            )
        elif kind < 0.6 and bench.calls:
            odd_reply(bench)
        elif kind < 0.85 and (out := bench.out()):
            outcome = api.Outcome.OK if lot.random() < 0.7 else lot.choice(FAILURES)
            units = lot.choice((None, 1.0, MOST_UNITS, *ODD_TRUE_UNITS))
            usage = lot.choice((None, 0.5, 2.0, *ODD_READINGS))
            bench.answer(lot.choice(out), outcome, usage=usage, units=units)
        elif kind < 0.9 and (alive := [name for name, ends in bench.ends.items() if not ends]):
            bench.leave(lot.choice(alive))
        elif kind < 0.93:
            bench.trust_fully()
        else:
            bench.wait(lot.choice((0.0, 0.01, 0.1, 1.3)))  # nought: the clock stands still


def odd_reply(bench: QuotaBench) -> None:
    lot = bench.random
    call = bench.calls.pop(lot.randrange(len(bench.calls)))
    replies = lot.choice((0, 1, 1, 1, 2))  # never, once, twice
    name = call.name if lot.random() < 0.9 else call.name + 1  # one that nobody asked about
    for _ in range(replies):
        total = lot.choice((call.amount, 5.0, 300.0, *ODD_TOTALS))
        ok, maybe = lot.random() < 0.8, lot.random() < 0.5
        bench.feed(api.CounterReply(name, ok, total, maybe_added=maybe and not ok))


@pytest.mark.parametrize("seed", range(12))
def test_odd_input_in_any_order_loses_no_request_and_moves_no_estimate_out_of_bounds(seed: int) -> None:
    bench = QuotaBench(seed, may_count=seed % 4 != 3, meter_period=float(seed % 2))
    fuzz(bench, 1500)
    bench.finish()
    ends = Counter(ends[0] for ends in bench.ends.values())
    assert min(ends[how] for how in ("answered", "Refuse", "left")) > 10, ends


@pytest.mark.parametrize("reading", ODD_READINGS)
@pytest.mark.parametrize("entries", SET_SIZES)
def test_an_odd_meter_reading_keeps_the_leak_rate_within_floor_and_quota(
    reading: float, entries: int
) -> None:
    bench = QuotaBench(may_count=False)
    for _ in range(20):
        name, actions = bench.request(entry_gateways=entries)
        if any(isinstance(a, api.Send) for a in actions):
            bench.answer(name, usage=reading)
        bench.wait(0.5)
    bench.finish()


@pytest.mark.parametrize("reading", [r for r in ODD_READINGS if not 0 <= r < math.inf])
def test_a_reading_that_is_no_amount_is_as_good_as_none(reading: float) -> None:
    ends = []
    for usage in (None, reading):
        bench = QuotaBench(may_count=False)
        for _ in range(40):
            name, actions = bench.request(entry_gateways=2)
            if any(isinstance(a, api.Send) for a in actions):
                bench.answer(name, usage=usage)
            bench.wait(0.1)
        ends.append(list(bench.ends.values()))
        assert bench.gateway.admission.restrictors[1].heard_at == -math.inf
    assert ends[0] == ends[1]


@pytest.mark.parametrize("total", (*ODD_TOTALS, 1e6, 1e300))
@pytest.mark.parametrize("ok", (True, False))
def test_an_odd_total_decides_the_request_once(total: float, ok: bool) -> None:
    for plan in (BASIC, CEILING):
        bench = QuotaBench()
        name, _ = bench.request(plan_index=plan, entry_gateways=GATEWAYS)
        while bench.calls:  # those that put the bucket right are answered alike
            bench.counter(total, ok)
        assert bench.out() == [name] or bench.ends[name] == ["Refuse"]
        bench.finish()


def test_a_total_that_is_no_number_leaves_the_decision_to_the_own_bucket() -> None:
    for total in (math.nan, math.inf, -math.inf):
        bench = QuotaBench()
        name, _ = bench.request(entry_gateways=GATEWAYS)
        bench.counter(total)
        assert bench.out() == [name]
        assert bench.gateway.admission.restrictors[1].blocked_until == -math.inf
        bench.finish()


def test_replies_that_nobody_waits_for_change_nothing() -> None:
    bench = QuotaBench()
    name, _ = bench.request(entry_gateways=GATEWAYS)
    (call,) = bench.calls
    for unknown in (0, -1, call.name + 1, 1 << 70):
        assert bench.feed(api.CounterReply(unknown, True, 1e6)) == []
    assert bench.ends[name] == [] and not bench.out()
    shared = bench.gateway.admission.shared
    began = shared.pending[call.name][0].bucket.began
    bench.counter(call.amount + PLAN.rate * (bench.now - began))  # an empty bucket
    before = (shared.trust, shared.congestion, shared.least_delay)
    assert bench.feed(api.CounterReply(call.name, True, 1e6)) == []  # for the second time
    assert before == (shared.trust, shared.congestion, shared.least_delay)
    assert bench.out() == [name]
    bench.finish()


@pytest.mark.parametrize(("plan", "calls"), ((BASIC, 1), (CEILING, 2)))
def test_a_counter_that_never_replies_holds_a_request_for_two_time_outs_and_a_tick_a_call(
    plan: int, calls: int
) -> None:
    """One call is about the quota, a second one about the pool of the ceiling, where there is one."""
    bench = QuotaBench()
    names = [bench.request(customer, plan_index=plan, entry_gateways=GATEWAYS)[0] for customer in range(30)]
    bench.wait(calls * (2 * COUNTER_TIMEOUT + TIMER_INTERVAL_S) + 0.01)
    assert [n for n in names if not bench.ends[n] and n not in bench.attempts] == []
    bench.finish()


@pytest.mark.parametrize("units", [(1.0, MOST_UNITS), (MOST_UNITS, 1.0)])
def test_sets_and_units_that_change_between_two_requests_keep_the_rate_within_bounds(
    units: tuple[float, float],
) -> None:
    for plan in range(len(PLANS)):
        for first in SET_SIZES:
            for second in SET_SIZES:
                bench = QuotaBench()
                for entries, amount in zip((first, second) * 4, units * 4, strict=True):
                    bench.trust_fully()
                    name, _ = bench.request(plan_index=plan, entry_gateways=entries, units=amount)
                    while bench.calls:
                        bench.counter(amount)
                    if name in bench.out():
                        bench.answer(name, usage=0.5)
                    bench.wait(0.4)
                bench.finish()


@pytest.mark.parametrize("second", range(len(PLANS)))
@pytest.mark.parametrize("entries", SET_SIZES)
@pytest.mark.parametrize("total", (1.0, 1e6, math.nan, None))
def test_a_plan_that_changes_while_the_counter_is_asked_loses_no_request(
    second: int, entries: int, total: float | None
) -> None:
    for first in (BASIC, CEILING):
        bench = QuotaBench()
        one, _ = bench.request(plan_index=first, entry_gateways=GATEWAYS)
        assert len(bench.calls) == 1
        two, _ = bench.request(plan_index=second, entry_gateways=entries)
        while bench.calls and total is not None:
            bench.counter(total)
        # Two calls each; one number, a timer interval each.
        bench.wait(2 * (2 * COUNTER_TIMEOUT + 2 * TIMER_INTERVAL_S) + 0.01)
        for name in (one, two):
            assert bench.ends[name] == ["Refuse"] or name in bench.out()
        bench.finish()


@pytest.mark.parametrize("units", ODD_TRUE_UNITS)
def test_true_units_that_are_no_amount_settle_nothing(units: float) -> None:
    bench = QuotaBench()
    name, _ = bench.request(units=2.0)
    bench.answer(name, units=units)
    assert bench.gateway.admission.restrictors[1].fill == 2.0
    bench.finish()


def test_settling_takes_a_fill_below_nought_by_its_guess_at_most_and_until_the_next_request() -> None:
    bench = QuotaBench()
    name, _ = bench.request(units=MOST_UNITS)
    bench.wait(10.0)  # it has leaked meanwhile
    restrictor = bench.gateway.admission.restrictors[1]
    assert restrictor.fill == 0.0
    bench.answer(name, units=0.5)
    assert restrictor.fill == 0.5 - MOST_UNITS
    bench.request(units=1.0)
    assert restrictor.fill == 1.0
    bench.finish()


def test_true_units_over_any_request_s_most_leave_the_fill_finite() -> None:
    bench = QuotaBench()
    name, _ = bench.request()
    bench.answer(name, units=1e300)
    assert math.isfinite(bench.gateway.admission.restrictors[1].fill)
    bench.request()
    bench.finish()


def test_a_client_may_leave_at_every_stage() -> None:
    for plan in (BASIC, CEILING):
        for replies in range(3):  # before the quota's reply, before the pool's, after all
            for outcome in (None, *FAILURES):
                bench = QuotaBench()
                if plan == CEILING:  # over the even part of the ceiling, so that the pool is asked
                    bench.wait(0.01)
                name, _ = bench.request(plan_index=plan, entry_gateways=GATEWAYS, units=MOST_UNITS)
                for _ in range(replies):
                    if bench.calls:
                        bench.counter(0.0)
                if outcome and name in bench.out():
                    bench.answer(name, outcome)
                if not bench.ends[name]:
                    bench.leave(name)
                while bench.calls:
                    bench.counter(MOST_UNITS)
                bench.finish()
                assert len(bench.ends[name]) == 1


def test_a_clock_that_stands_still_raises_nothing_and_lets_in_no_more_than_the_burst() -> None:
    bench = QuotaBench(may_count=False)
    for _ in range(500):
        name, actions = bench.request()
        if any(isinstance(a, api.Send) for a in actions):
            bench.answer(name, usage=0.5)
        bench.feed(api.TimerFired(0))
    assert Counter(ends[0] for ends in bench.ends.values())["answered"] == PLAN.burst
    bench.finish()


def test_a_counter_on_a_clock_that_stands_still_is_taken_for_a_fast_one() -> None:
    bench = QuotaBench()
    for customer in range(200):
        bench.request(customer=customer, entry_gateways=GATEWAYS)
        while bench.calls:
            bench.counter(1.0)
        bench.feed(api.TimerFired(0))
    assert bench.gateway.admission.shared.congestion == 0.0
    bench.finish()
