"""Invalid and extreme input to the quota path: estimates stay in bounds, requests are answered once."""

from __future__ import annotations

import math
import random
from collections import Counter
from dataclasses import replace

import pytest
from helpers import PLAN, Bench

from coralvale import interface as api
from coralvale.logic import TIMER_INTERVAL_S
from coralvale.shared_quota import COVERAGE_ALL_REQUESTS, MIN_COVERAGE

GATEWAYS = 1024
MAX_UNITS = 8.0
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
ENTRY_GATEWAY_COUNTS = (1, 2, 40, GATEWAYS)
EDGE_READINGS = (math.nan, -0.5, -math.inf, math.inf, 1e300, 0.0)
EDGE_TOTALS = (math.nan, math.inf, -math.inf, -1e6, -1e300, 0.0)
EDGE_TRUE_UNITS = (math.nan, -1.0, -math.inf, math.inf, 0.0)
FAILURES = (api.Outcome.ERROR, api.Outcome.FULL, api.Outcome.CONNECT_FAILED, api.Outcome.NOT_SENT)


class QuotaBench(Bench):
    """A bench that records how each request ends and checks all estimates after each event."""

    def __init__(self, seed: int = 1, **changes: object) -> None:
        settings: dict[str, object] = {
            "gateways": GATEWAYS,
            "plans": PLANS,
            "may_count": True,
            "counter_timeout": COUNTER_TIMEOUT,
            "post_paid": True,
            "max_units": MAX_UNITS,
        }
        self.random = random.Random(seed)
        self.ends: dict[str, list[str]] = {}  # by request: how it ended, which must happen once
        self.attempts: dict[str, int] = {}  # by request: number of its newest attempt
        self.calls: list[api.CounterAdd] = []  # to the counter, without a reply so far
        self.requests_by_customer = dict[int, list[api.Request]]()  # by customer
        # By customer: estimated units corrected since its bucket last leaked.
        self.corrected = dict[int, float]()
        self.true_units = 0.0  # reported by responses
        super().__init__(seed=seed, **{**settings, **changes})
        self.set_full_coverage()

    def set_full_coverage(self) -> None:
        self.gateway.admission.shared_quota.coverage = COVERAGE_ALL_REQUESTS

    def feed(self, event: api.Event) -> list[api.Action]:
        if isinstance(event, api.Request):
            self.ends[event.id] = []
            self.requests_by_customer.setdefault(event.customer, []).append(event)
            self.corrected[event.customer] = 0.0
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
        """Requests with an outstanding attempt."""
        return [name for name in self.attempts if not self.ends[name]]

    def answer(
        self, name: str, outcome: api.Outcome = api.Outcome.OK, units: float | None = None, **more: object
    ) -> None:
        """Ends the outstanding attempt; with the outcome OK, the request ends too."""
        held = self.gateway.requests[name]
        customer = held.request.customer
        self.corrected[customer] = self.corrected.get(customer, 0.0) + held.request.units
        if outcome is api.Outcome.OK:
            self.end(name, "answered")
        self.true_units += units if units and 0 < units < math.inf else 0.0
        self.done(name, outcome, self.attempts[name], units=units, **more)

    def leave(self, name: str) -> None:
        self.end(name, "left")
        self.feed(api.RequestAbandoned(name))

    def answer_oldest_call(self, total: float, ok: bool = True, **more: bool) -> list[api.Action]:
        """Replies to the oldest call to the counter."""
        return self.feed(api.CounterReply(self.calls.pop(0).name, ok, total, **more))

    def finish(self) -> None:
        """Lets all timeouts pass, answers what is outstanding, and checks that no state is left."""
        while self.gateway.admission.shared_quota.pending:
            self.wait(2 * COUNTER_TIMEOUT)
        for name in self.out():
            self.answer(name)
        for name in list(self.gateway.requests):  # those whose clients have left
            self.done(name, api.Outcome.CANCELLED, self.attempts[name])
        assert {name: ends for name, ends in self.ends.items() if len(ends) != 1} == {}
        assert self.gateway.admission.shared_quota.pending == {}
        assert self.gateway.requests == {}
        assert all(r.open_attempts == 0 for r in self.gateway.admission.restrictors.values())

    def check(self) -> None:
        if not hasattr(self, "gateway"):
            return
        shared = self.gateway.admission.shared_quota
        assert MIN_COVERAGE <= shared.coverage <= COVERAGE_ALL_REQUESTS
        assert 0 <= shared.congestion <= 1
        assert shared.min_delay >= 0 and math.isfinite(shared.mean_price)
        for customer, restrictor in self.gateway.admission.restrictors.items():
            requests = self.requests_by_customer[customer]
            # Only corrections make a fill negative, by no more than the estimates corrected since it leaked.
            assert -self.corrected[customer] <= restrictor.fill <= 2 * LARGEST_BURST + self.true_units
            if restrictor.plan.rate:
                tolerance = 1e-9 * restrictor.plan.rate
                assert restrictor.min_rate - tolerance <= restrictor.rate <= restrictor.plan.rate + tolerance
            else:
                assert restrictor.rate == 0
            assert 0 <= restrictor.usage_for_demand <= 1e300 and 0 <= restrictor.usage_for_rate <= 1e300
            assert 0 <= restrictor.demand <= sum(r.units for r in requests)
            # Bounded by the burst and the units in flight at once, which may be those of all requests.
            units = MAX_UNITS * len(requests)
            assert -units <= restrictor.unreported_units <= LARGEST_BURST + units
            assert math.isfinite(restrictor.ceiling_tokens) and restrictor.ceiling_tokens <= LARGEST_CEILING
            assert (
                restrictor.open_attempts >= 0
                and restrictor.admitted_units >= 0
                and restrictor.admitted_rate >= 0
            )


def fuzz(bench: QuotaBench, events: int) -> None:
    """Feeds invalid and extreme events of all kinds in random order."""
    rng = bench.random
    for _ in range(events):
        kind = rng.random()
        if kind < 0.45:
            bench.request(
                customer=rng.randrange(4),
                plan_index=rng.randrange(len(PLANS)),
                entry_gateways=rng.choice(ENTRY_GATEWAY_COUNTS),
                units=rng.choice((1.0, MAX_UNITS)),
            )
        elif kind < 0.6 and bench.calls:
            edge_case_reply(bench)
        elif kind < 0.85 and (out := bench.out()):
            outcome = api.Outcome.OK if rng.random() < 0.7 else rng.choice(FAILURES)
            units = rng.choice((None, 1.0, MAX_UNITS, *EDGE_TRUE_UNITS))
            usage = rng.choice((None, 0.5, 2.0, *EDGE_READINGS))
            bench.answer(rng.choice(out), outcome, usage=usage, units=units)
        elif kind < 0.9 and (alive := [name for name, ends in bench.ends.items() if not ends]):
            bench.leave(rng.choice(alive))
        elif kind < 0.93:
            bench.set_full_coverage()
        else:
            bench.wait(rng.choice((0.0, 0.01, 0.1, 1.3)))  # 0: the clock stands still


def edge_case_reply(bench: QuotaBench) -> None:
    rng = bench.random
    call = bench.calls.pop(rng.randrange(len(bench.calls)))
    replies = rng.choice((0, 1, 1, 1, 2))  # never, once, twice
    name = call.name if rng.random() < 0.9 else call.name + 1  # an entry without a call
    for _ in range(replies):
        total = rng.choice((call.amount, 5.0, 300.0, *EDGE_TOTALS))
        ok, maybe = rng.random() < 0.8, rng.random() < 0.5
        bench.feed(api.CounterReply(name, ok, total, maybe_added=maybe and not ok))


@pytest.mark.parametrize("seed", range(12))
def test_edge_case_input_in_random_order_loses_no_request_and_keeps_estimates_in_bounds(seed: int) -> None:
    bench = QuotaBench(seed, may_count=seed % 4 != 3, meter_period=float(seed % 2))
    fuzz(bench, 1500)
    bench.finish()
    ends = Counter(ends[0] for ends in bench.ends.values())
    assert min(ends[how] for how in ("answered", "Refuse", "left")) > 10, ends


@pytest.mark.parametrize("reading", EDGE_READINGS)
@pytest.mark.parametrize("entries", ENTRY_GATEWAY_COUNTS)
def test_an_edge_case_reading_keeps_the_leak_rate_between_minimum_and_quota(
    reading: float, entries: int
) -> None:
    bench = QuotaBench(may_count=False)
    for _ in range(20):
        name, actions = bench.request(entry_gateways=entries)
        if any(isinstance(a, api.Send) for a in actions):
            bench.answer(name, usage=reading)
        bench.wait(0.5)
    bench.finish()


@pytest.mark.parametrize("reading", [r for r in EDGE_READINGS if not 0 <= r < math.inf])
def test_an_invalid_reading_is_ignored(reading: float) -> None:
    ends = []
    for usage in (None, reading):
        bench = QuotaBench(may_count=False)
        for _ in range(40):
            name, actions = bench.request(entry_gateways=2)
            if any(isinstance(a, api.Send) for a in actions):
                bench.answer(name, usage=usage)
            bench.wait(0.1)
        ends.append(list(bench.ends.values()))
        assert bench.gateway.admission.restrictors[1].usage_at == -math.inf
    assert ends[0] == ends[1]


@pytest.mark.parametrize("total", (*EDGE_TOTALS, 1e6, 1e300))
@pytest.mark.parametrize("ok", (True, False))
def test_an_edge_case_total_decides_the_request_once(total: float, ok: bool) -> None:
    for plan in (BASIC, CEILING):
        bench = QuotaBench()
        name, _ = bench.request(plan_index=plan, entry_gateways=GATEWAYS)
        while bench.calls:  # calls that correct the bucket get the same answer
            bench.answer_oldest_call(total, ok)
        assert bench.out() == [name] or bench.ends[name] == ["Refuse"]
        bench.finish()


def test_a_total_that_is_not_finite_leaves_the_decision_to_the_local_bucket() -> None:
    for total in (math.nan, math.inf, -math.inf):
        bench = QuotaBench()
        name, _ = bench.request(entry_gateways=GATEWAYS)
        bench.answer_oldest_call(total)
        assert bench.out() == [name]
        assert bench.gateway.admission.restrictors[1].shared_blocked_until == -math.inf
        bench.finish()


def test_replies_without_a_pending_call_change_nothing() -> None:
    bench = QuotaBench()
    name, _ = bench.request(entry_gateways=GATEWAYS)
    (call,) = bench.calls
    for unknown in (0, -1, call.name + 1, 1 << 70):
        assert bench.feed(api.CounterReply(unknown, True, 1e6)) == []
    assert bench.ends[name] == [] and not bench.out()
    shared = bench.gateway.admission.shared_quota
    started_at = shared.pending[call.name][0].bucket.started_at
    # The total of a bucket that was empty before the call.
    bench.answer_oldest_call(call.amount + PLAN.rate * (bench.now - started_at))
    before = (shared.coverage, shared.congestion, shared.min_delay)
    assert bench.feed(api.CounterReply(call.name, True, 1e6)) == []  # a second reply to the same call
    assert before == (shared.coverage, shared.congestion, shared.min_delay)
    assert bench.out() == [name]
    bench.finish()


@pytest.mark.parametrize(("plan", "calls"), ((BASIC, 1), (CEILING, 2)))
def test_a_counter_that_never_replies_delays_a_request_by_two_timeouts_and_a_timer_interval_per_call(
    plan: int, calls: int
) -> None:
    """One call goes to the shared bucket, and a second one to the pool of the ceiling if there is one."""
    bench = QuotaBench()
    names = [bench.request(customer, plan_index=plan, entry_gateways=GATEWAYS)[0] for customer in range(30)]
    bench.wait(calls * (2 * COUNTER_TIMEOUT + TIMER_INTERVAL_S) + 0.01)
    assert [n for n in names if not bench.ends[n] and n not in bench.attempts] == []
    bench.finish()


@pytest.mark.parametrize("units", [(1.0, MAX_UNITS), (MAX_UNITS, 1.0)])
def test_entry_gateways_and_units_that_change_between_requests_keep_the_rate_in_bounds(
    units: tuple[float, float],
) -> None:
    for plan in range(len(PLANS)):
        for first in ENTRY_GATEWAY_COUNTS:
            for second in ENTRY_GATEWAY_COUNTS:
                bench = QuotaBench()
                for entries, amount in zip((first, second) * 4, units * 4, strict=True):
                    bench.set_full_coverage()
                    name, _ = bench.request(plan_index=plan, entry_gateways=entries, units=amount)
                    while bench.calls:
                        bench.answer_oldest_call(amount)
                    if name in bench.out():
                        bench.answer(name, usage=0.5)
                    bench.wait(0.4)
                bench.finish()


@pytest.mark.parametrize("second", range(len(PLANS)))
@pytest.mark.parametrize("entries", ENTRY_GATEWAY_COUNTS)
@pytest.mark.parametrize("total", (1.0, 1e6, math.nan, None))
def test_a_plan_that_changes_during_a_call_to_the_counter_loses_no_request(
    second: int, entries: int, total: float | None
) -> None:
    for first in (BASIC, CEILING):
        bench = QuotaBench()
        one, _ = bench.request(plan_index=first, entry_gateways=GATEWAYS)
        assert len(bench.calls) == 1
        two, _ = bench.request(plan_index=second, entry_gateways=entries)
        while bench.calls and total is not None:
            bench.answer_oldest_call(total)
        # Two calls each, and a timer interval for each call.
        bench.wait(2 * (2 * COUNTER_TIMEOUT + 2 * TIMER_INTERVAL_S) + 0.01)
        for name in (one, two):
            assert bench.ends[name] == ["Refuse"] or name in bench.out()
        bench.finish()


@pytest.mark.parametrize("units", EDGE_TRUE_UNITS)
def test_invalid_true_units_are_ignored(units: float) -> None:
    bench = QuotaBench()
    name, _ = bench.request(units=2.0)
    bench.answer(name, units=units)
    assert bench.gateway.admission.restrictors[1].fill == 2.0
    bench.finish()


def test_a_correction_makes_a_fill_negative_by_its_estimate_at_most_and_until_the_next_request() -> None:
    bench = QuotaBench()
    name, _ = bench.request(units=MAX_UNITS)
    bench.wait(10.0)  # the fill leaks meanwhile
    restrictor = bench.gateway.admission.restrictors[1]
    assert restrictor.fill == 0.0
    bench.answer(name, units=0.5)
    assert restrictor.fill == 0.5 - MAX_UNITS
    bench.request(units=1.0)
    assert restrictor.fill == 1.0
    bench.finish()


def test_true_units_above_the_maximum_leave_the_fill_finite() -> None:
    bench = QuotaBench()
    name, _ = bench.request()
    bench.answer(name, units=1e300)
    assert math.isfinite(bench.gateway.admission.restrictors[1].fill)
    bench.request()
    bench.finish()


def test_a_client_may_leave_at_any_stage() -> None:
    for plan in (BASIC, CEILING):
        for replies in range(3):  # before the shared bucket's reply, before the pool's, after both
            for outcome in (None, *FAILURES):
                bench = QuotaBench()
                if plan == CEILING:  # too few ceiling tokens here, so that the pool is asked
                    bench.wait(0.01)
                name, _ = bench.request(plan_index=plan, entry_gateways=GATEWAYS, units=MAX_UNITS)
                for _ in range(replies):
                    if bench.calls:
                        bench.answer_oldest_call(0.0)
                if outcome and name in bench.out():
                    bench.answer(name, outcome)
                if not bench.ends[name]:
                    bench.leave(name)
                while bench.calls:
                    bench.answer_oldest_call(MAX_UNITS)
                bench.finish()
                assert len(bench.ends[name]) == 1


def test_a_clock_that_stands_still_raises_no_error_and_admits_no_more_than_the_burst() -> None:
    bench = QuotaBench(may_count=False)
    for _ in range(500):
        name, actions = bench.request()
        if any(isinstance(a, api.Send) for a in actions):
            bench.answer(name, usage=0.5)
        bench.feed(api.TimerFired(0))
    assert Counter(ends[0] for ends in bench.ends.values())["answered"] == PLAN.burst
    bench.finish()


def test_a_counter_on_a_clock_that_stands_still_counts_as_uncongested() -> None:
    bench = QuotaBench()
    for customer in range(200):
        bench.request(customer=customer, entry_gateways=GATEWAYS)
        while bench.calls:
            bench.answer_oldest_call(1.0)
        bench.feed(api.TimerFired(0))
    assert bench.gateway.admission.shared_quota.congestion == 0.0
    bench.finish()
