"""The bucket shared on the counter: when calls are made, what is admitted, and that no request waits long."""

import math
from dataclasses import replace

import pytest
from helpers import PLAN, Bench

from coralvale import interface as api
from coralvale.shared_quota import COUNTER_ENTRY_ROTATION_S, COVERAGE_ALL_REQUESTS, TARGET_CONGESTION

MANY = 40  # gateways that receive requests of one customer


def bench_with_counter(**more: object) -> Bench:
    bench = Bench(gateways=100, may_count=True, counter_timeout=0.05, **more)
    bench.gateway.admission.shared_quota.coverage = 1.0
    return bench


def request_with_call(bench: Bench, **more: object) -> tuple[str, api.CounterAdd]:
    """Feeds a request for which a call to the counter must be made; returns its id and the call."""
    name, actions = bench.request(entry_gateways=MANY, **more)
    assert [type(a) for a in actions] == [api.CounterAdd]
    return name, actions[0]


class FakeCounter:
    """A counter that several benches share."""

    def __init__(self) -> None:
        self.totals: dict[int, float] = {}

    def answer_calls(self, bench: Bench, actions: list[api.Action]) -> list[api.Action]:
        """Answers all calls among the actions and those that result; returns the other actions."""
        others = [a for a in actions if not isinstance(a, api.CounterAdd)]
        for call in (a for a in actions if isinstance(a, api.CounterAdd)):
            total = self.totals[call.name] = self.totals.get(call.name, 0.0) + call.amount
            others += self.answer_calls(bench, bench.feed(api.CounterReply(call.name, True, total)))
        return others


def make_benches(size: int, now: float) -> list[Bench]:
    benches = [bench_with_counter(seed=seed) for seed in range(size)]
    for bench in benches:
        bench.now = now
    return benches


def test_no_call_is_made_for_a_customer_with_few_entry_gateways() -> None:
    bench = bench_with_counter()
    for _ in range(20):
        _, actions = bench.request(entry_gateways=4)
        assert not [a for a in actions if isinstance(a, api.CounterAdd)]


def test_a_metered_customer_needs_no_call_if_each_gateways_share_of_the_burst_holds_a_request() -> None:
    for metered in (True, False):
        bench = bench_with_counter(meter_period=0.5 * metered)
        for entries, units in ((8, 1.0), (4, 2.0), (8, 2.0), (16, 1.0)):  # the burst is 8
            customer = entries + 100 * int(units)
            _, actions = bench.request(customer=customer, entry_gateways=entries, units=units)
            own = entries < 8 or (metered and units * entries <= PLAN.burst)
            assert [type(a) for a in actions] == [api.Send if own else api.CounterAdd], (
                metered,
                entries,
                units,
            )


def test_no_call_is_made_without_a_counter_or_with_little_time_left() -> None:
    assert [type(a) for a in Bench(gateways=100).request(entry_gateways=MANY)[1]] == [api.Send]
    bench = bench_with_counter()
    _, actions = bench.request(entry_gateways=MANY, expires_at=bench.now + 0.15)
    assert not [a for a in actions if isinstance(a, api.CounterAdd)]


def test_no_call_is_made_if_requests_beyond_the_quota_cost_nothing() -> None:
    bench = bench_with_counter(plans=(replace(PLAN, excess_cost=0.0, excess_worth=0.1),))
    assert [type(a) for a in bench.request(entry_gateways=MANY)[1]] == [api.Send]


def test_many_gateways_together_admit_one_burst_at_once() -> None:
    """300 gateways with one request each: with a bucket each they would admit 300 units, not 8."""
    counter, sent = FakeCounter(), 0
    for bench in make_benches(300, now=1000.0):
        sent += [type(a) for a in counter.answer_calls(bench, bench.request(entry_gateways=MANY)[1])] == [
            api.Send
        ]
    assert sent == PLAN.burst


def test_many_gateways_together_admit_what_the_quota_allows_and_no_more() -> None:
    counter, sent, seconds = FakeCounter(), 0, 20
    benches = make_benches(MANY, now=1000.0)
    for tick in range(seconds * 10):  # ten requests a second at changing gateways; the rate is 4
        bench = benches[tick * 7 % MANY]
        bench.wait(1000.0 + tick / 10 - bench.now)
        sent += [type(a) for a in counter.answer_calls(bench, bench.request(entry_gateways=MANY)[1])] == [
            api.Send
        ]
    allowed = PLAN.burst + PLAN.rate * seconds
    assert 0.9 * allowed <= sent <= 1.1 * allowed


def test_unused_quota_accumulates_to_one_burst_at_most() -> None:
    counter, sent = FakeCounter(), 0
    early, late = bench_with_counter(), make_benches(60, now=130.0)
    early.now = 101.0
    assert counter.answer_calls(early, request_with_call(early, customer=97)[1:])
    for bench in late:
        actions = bench.request(customer=97, entry_gateways=MANY)[1]
        sent += [type(a) for a in counter.answer_calls(bench, actions)] == [api.Send]
    assert PLAN.burst <= sent <= 1.25 * PLAN.burst + 1


def test_if_two_gateways_fill_up_an_idle_bucket_at_once_one_takes_it_back() -> None:
    benches, calls, total = make_benches(2, now=1000.0 + 0.9 * COUNTER_ENTRY_ROTATION_S), [], 0.0
    for bench in benches:
        total += request_with_call(bench, customer=97)[1].amount
    for bench in benches:
        (name,) = bench.gateway.admission.shared_quota.pending
        calls += [a for a in bench.feed(api.CounterReply(name, True, total)) if isinstance(a, api.CounterAdd)]
    assert len(calls) == 2 and min(c.amount for c in calls) > PLAN.burst
    undone = []
    for bench, call in zip(benches, calls, strict=True):
        total += call.amount
        undone += bench.feed(api.CounterReply(call.name, True, total))
    assert [c.amount for c in undone] == [-calls[1].amount]


def test_a_bucket_known_to_be_full_needs_no_further_call() -> None:
    bench = bench_with_counter()
    _, call = request_with_call(bench)
    actions = bench.feed(api.CounterReply(call.name, True, 1e6))
    # The request is refused and takes its unit back.
    assert [a.amount for a in actions if isinstance(a, api.CounterAdd)] == [-1.0]
    assert [type(a) for a in bench.request(entry_gateways=MANY)[1]] == [api.Refuse]


def test_calls_about_a_refused_customer_back_off_with_the_counters_congestion() -> None:
    drain_time = PLAN.burst / PLAN.rate
    for congestion, backoff in ((0.0, 0.0), (TARGET_CONGESTION / 2, drain_time / 2), (1.0, drain_time)):
        bench = bench_with_counter()
        _, call = request_with_call(bench)
        shared = bench.gateway.admission.shared_quota
        bucket = shared.pending[call.name][0].bucket
        shared.congestion = congestion
        full = PLAN.burst + PLAN.rate * (bench.now - bucket.started_at) + 0.1  # full; has room after 0.025 s
        bench.feed(api.CounterReply(call.name, True, full))
        refused_at = bench.now
        shared.coverage = COVERAGE_ALL_REQUESTS
        while not isinstance(bench.request(entry_gateways=MANY)[1][0], api.CounterAdd):
            bench.now += 0.05
            shared.coverage = COVERAGE_ALL_REQUESTS
        assert bench.now - refused_at == pytest.approx(backoff, abs=0.11)


def test_a_refusal_backs_off_by_the_plan_that_its_call_was_made_for() -> None:
    """While the call is outstanding, the customer may name a plan without a rate by mistake."""
    bench = bench_with_counter(plans=(PLAN, replace(PLAN, name="open", rate=0.0, burst=0.0, open_limit=2.0)))
    _, call = request_with_call(bench)
    bench.gateway.admission.shared_quota.congestion = 1.0
    bench.request(plan_index=1, entry_gateways=MANY)
    assert api.Refuse in [type(a) for a in bench.feed(api.CounterReply(call.name, True, 1e6))]


def test_a_counter_that_replies_within_a_fifth_of_its_timeout_is_used_in_full() -> None:
    bench = bench_with_counter()
    for customer in range(100):
        bench.wait(0.1)
        _, call = request_with_call(bench, customer=customer)
        bucket = bench.gateway.admission.shared_quota.pending[call.name][0].bucket
        bench.now += 0.001 if customer == 0 else 0.01  # s, of a timeout of 0.05 s
        empty = call.amount + PLAN.rate * (bench.now - bucket.started_at)
        assert [type(a) for a in bench.feed(api.CounterReply(call.name, True, empty))] == [api.Send]
    assert bench.gateway.admission.shared_quota.coverage == COVERAGE_ALL_REQUESTS


def test_after_the_shared_bucket_was_full_the_gateways_own_bucket_admits_nothing() -> None:
    bench = bench_with_counter()
    _, call = request_with_call(bench)
    bench.feed(
        api.CounterReply(call.name, True, call.amount + PLAN.rate * COUNTER_ENTRY_ROTATION_S + PLAN.burst)
    )
    bench.wait(12.0)  # until the next request at this gateway
    bench.gateway.admission.shared_quota.coverage = 0.0
    assert bench.gateway.admission.restrictors[1].bucket_wait(1.0) == 0.0
    assert [type(a) for a in bench.request(entry_gateways=MANY)[1]] == [api.Refuse]


def test_the_gateways_own_bucket_decides_when_the_counter_fails() -> None:
    for reply in ((False, 0.0), (True, math.nan), (True, math.inf)):
        bench = bench_with_counter()
        _, call = request_with_call(bench)
        assert [type(a) for a in bench.feed(api.CounterReply(call.name, *reply))] == [api.Send]
        second = bench.request(entry_gateways=MANY)[1]
        if isinstance(second[0], api.CounterAdd):
            second = bench.feed(api.CounterReply(second[0].name, False, 0.0))
        assert [type(a) for a in second] == [api.Refuse]


def test_units_admitted_without_the_counter_are_added_with_the_next_call() -> None:
    bench = bench_with_counter()
    _, call = request_with_call(bench)
    bench.feed(api.CounterReply(call.name, False, 0.0))  # not added; admitted by the gateway's own bucket
    bench.gateway.admission.shared_quota.coverage = 1.0
    assert request_with_call(bench)[1].amount == 2.0
    bench = bench_with_counter()
    _, call = request_with_call(bench)
    bench.feed(api.CounterReply(call.name, False, 0.0, maybe_added=True))  # the counter may have it
    bench.gateway.admission.shared_quota.coverage = 1.0
    assert request_with_call(bench)[1].amount == 1.0


CAPPED = replace(PLAN, rate=100.0, burst=200.0, ceiling_rate=200.0, ceiling_burst=400.0, ceiling_slack=40.0)


def test_requests_beyond_the_even_share_of_a_ceiling_take_from_the_pool() -> None:
    bench, counter = bench_with_counter(plans=(CAPPED,), seed=3), FakeCounter()
    bench.wait(10.0)
    sent = 0
    for _ in range(40):  # 20 units a second; this gateway's even share is 3 a second, 6 at once
        name, actions = bench.request(entry_gateways=MANY)
        if any(isinstance(a, api.Send) for a in counter.answer_calls(bench, actions)):
            bench.done(name)
            sent += 1
        bench.wait(0.05)
    assert sent >= 36  # a new pool starts without room


def test_a_pool_without_room_is_not_called_again_until_it_has_room() -> None:
    bench = bench_with_counter(plans=(replace(CAPPED, excess_cost=0.0),))  # no calls but those to the pool
    _, call = request_with_call(bench)
    pool = bench.gateway.admission.shared_quota.pending[call.name][0].bucket
    fill = pool.burst + pool.rate  # has room after about 1 s
    total = pool.offset + pool.rate * (bench.now - pool.started_at) + fill + call.amount
    actions = bench.feed(api.CounterReply(call.name, True, total))
    assert [a.amount for a in actions if isinstance(a, api.CounterAdd)] == [-1.0]
    called = []
    for _ in range(24):  # every 0.05 s; the even share admits every seventh
        bench.wait(0.05)
        called.append(api.CounterAdd in [type(a) for a in bench.request(entry_gateways=MANY)[1]])
    assert not any(called[:20]) and any(called[20:])


def test_even_shares_and_pool_together_stay_within_the_ceiling() -> None:
    """Forty gateways get far more requests than the ceiling allows; the counter loses its totals twice."""
    plan = replace(CAPPED, excess_cost=0.1, rate=1e6, burst=1e6)  # only the ceiling limits
    benches = [bench_with_counter(plans=(plan,), seed=seed) for seed in range(MANY)]
    counter, room, updated_at, min_room = FakeCounter(), plan.ceiling_burst, 110.0, plan.ceiling_burst
    for tick in range(600):
        now = 110.0 + tick / 200
        if tick in (200, 400):
            counter.totals.clear()
        bench = benches[tick % MANY]
        bench.wait(now - bench.now)
        for _ in range(4):
            name, actions = bench.request(entry_gateways=MANY, units=3.0)
            actions = counter.answer_calls(bench, actions)
            if any(isinstance(a, api.Send) for a in actions):
                bench.done(name)
            room, updated_at = min(plan.ceiling_burst, room + plan.ceiling_rate * (now - updated_at)), now
            room -= 3.0 * sum(isinstance(a, api.Send) for a in actions)
            min_room = min(min_room, room)
    assert -plan.ceiling_slack <= min_room < plan.ceiling_burst / 2


def test_no_request_is_lost_when_the_counter_does_not_reply() -> None:
    bench = bench_with_counter()
    name, _ = request_with_call(bench)
    sends = [a for a in bench.wait(0.3) if isinstance(a, api.Send)]
    assert [s.request for s in sends] == [name]
    assert bench.gateway.admission.shared_quota.pending == {}


def test_a_failing_counter_is_called_less_and_less_until_it_works_again() -> None:
    bench = bench_with_counter()

    def calls_made(first: int) -> int:
        count = 0
        for customer in range(first, first + 100):
            bench.wait(0.1)
            call = bench.request(customer=customer, entry_gateways=MANY)[1][0]
            if isinstance(call, api.CounterAdd):
                count += 1
                bench.feed(api.CounterReply(call.name, False, 0.0))
        return count

    assert 10 < calls_made(0) < 60
    assert calls_made(100) < 20
    for customer in range(200, 1000):
        bench.wait(0.1)
        for call in bench.request(customer=customer, entry_gateways=MANY)[1]:
            if isinstance(call, api.CounterAdd):
                bench.feed(api.CounterReply(call.name, True, call.amount))
    request_with_call(bench, customer=1000)


def test_a_counter_that_is_slow_but_not_congested_is_used_in_full() -> None:
    bench = bench_with_counter()
    for customer in range(100):
        _, call = request_with_call(bench, customer=customer)
        bench.now += 0.03  # s for each call, of a timeout of 0.05 s
        bench.feed(api.CounterReply(call.name, True, call.amount))
    assert bench.gateway.admission.shared_quota.coverage == COVERAGE_ALL_REQUESTS


def test_under_congestion_a_sample_of_the_small_requests_stands_for_all_of_them() -> None:
    for coverage, low, high in ((1.0, 0.2, 0.3), (1.5, 0.57, 0.68), (COVERAGE_ALL_REQUESTS, 1.0, 1.0)):
        bench, amounts = bench_with_counter(max_units=4.0), list[float]()
        for customer in range(1000):
            bench.gateway.admission.shared_quota.coverage = coverage
            action = bench.request(customer=customer, entry_gateways=MANY)[1][0]
            if isinstance(action, api.CounterAdd):
                amounts.append(action.amount)
        assert low <= len(amounts) / 1000 <= high
        assert 0.9 <= sum(amounts) / 1000 <= 1.1
        # Large requests are not sampled.
        assert request_with_call(bench, customer=1000, units=4.0)[1].amount == 4.0


def first_sampled_call(bench: Bench) -> api.CounterAdd:
    """The first call for a small request; it is drawn at random, so its amount also stands for others."""
    calls = (bench.request(customer=customer, entry_gateways=MANY)[1][0] for customer in range(100))
    call = next(c for c in calls if isinstance(c, api.CounterAdd))
    assert call.amount == 4.0
    return call


def test_a_sampled_request_stands_only_for_itself_while_the_gateways_own_bucket_is_full() -> None:
    bench, amounts = bench_with_counter(max_units=4.0), list[float]()
    for customer in range(100):
        bench.gateway.admission.shared_quota.coverage = 1.0
        bench.request(customer=customer, entry_gateways=MANY)
        restrictor = bench.gateway.admission.restrictors[customer]
        restrictor.fill, restrictor.unreported_units = 2 * PLAN.burst, 0.0
        action = bench.request(customer=customer, entry_gateways=MANY)[1][0]
        assert isinstance(action, api.CounterAdd | api.Refuse)
        if isinstance(action, api.CounterAdd):
            amounts.append(action.amount)
    assert len(amounts) > 10
    assert set(amounts) == {1.0}


def test_requests_refused_for_lack_of_a_host_leave_no_units_on_the_counter() -> None:
    """A sampled request is added for others too; they give back their units as it gives back its own."""
    bench, added, unreported_units = bench_with_counter(max_units=4.0, hosts=()), 0.0, 0.0
    for customer in range(1000):
        bench.gateway.admission.shared_quota.coverage = 1.0
        action = bench.request(customer=customer, entry_gateways=MANY)[1][0]
        if isinstance(action, api.CounterAdd):
            began = bench.gateway.admission.shared_quota.pending[action.name][0].bucket.started_at
            empty = action.amount + PLAN.rate * (bench.now - began)
            assert [type(a) for a in bench.feed(api.CounterReply(action.name, True, empty))] == [api.Refuse]
            added += action.amount
        unreported_units += bench.gateway.admission.restrictors[customer].unreported_units
    assert unreported_units == -1000.0
    assert 0.9 <= added / 1000 <= 1.1


def test_a_sampled_request_that_is_refused_takes_back_only_its_own_units() -> None:
    bench = bench_with_counter(max_units=4.0)
    call = first_sampled_call(bench)
    actions = bench.feed(api.CounterReply(call.name, True, 1e6))
    assert [a.amount for a in actions if isinstance(a, api.CounterAdd)] == [-1.0]


def test_units_for_other_requests_do_not_count_against_the_sampled_one() -> None:
    for fill, admitted in ((PLAN.burst - 1.0, True), (PLAN.burst - 0.5, False)):
        bench = bench_with_counter(max_units=4.0)
        call = first_sampled_call(bench)
        began = bench.gateway.admission.shared_quota.pending[call.name][0].bucket.started_at
        total = call.amount + fill + PLAN.rate * (bench.now - began)
        actions = bench.feed(api.CounterReply(call.name, True, total))
        assert (api.Send in [type(a) for a in actions]) is admitted


def test_all_gateways_count_the_same_customers_when_they_cannot_count_all() -> None:
    counted = []
    for bench in make_benches(3, now=100.0):
        asked = set()
        for customer in range(200):
            bench.gateway.admission.shared_quota.coverage = 0.3
            if isinstance(bench.request(customer=customer, entry_gateways=MANY)[1][0], api.CounterAdd):
                asked.add(customer)
        counted.append(asked)
    assert counted[0] == counted[1] == counted[2]
    assert 40 < len(counted[0]) < 80


def test_a_reply_for_a_client_that_has_left_is_ignored() -> None:
    bench = bench_with_counter()
    name, call = request_with_call(bench)
    bench.feed(api.RequestAbandoned(name))
    assert bench.feed(api.CounterReply(call.name, True, 1.0)) == []
    assert bench.feed(api.CounterReply(call.name, True, 1.0)) == []  # no call is outstanding
    assert bench.gateway.admission.shared_quota.pending == {} and bench.gateway.requests == {}


def test_a_client_that_leaves_takes_back_its_own_units_only() -> None:
    bench = bench_with_counter()
    _, call = request_with_call(bench)
    assert [type(a) for a in bench.feed(api.CounterReply(call.name, False, 0.0))] == [api.Send]
    name, call = request_with_call(bench)
    assert call.amount == 2.0  # with that of the first request, which was not added
    bench.feed(api.RequestAbandoned(name))
    bench.feed(api.CounterReply(call.name, True, 2.0))
    assert request_with_call(bench)[1].amount == 0.0


def test_a_counter_that_works_again_is_soon_used_again() -> None:
    bench, counter = bench_with_counter(), FakeCounter()
    bench.gateway.admission.shared_quota.coverage = 0.05
    for customer in range(100):
        bench.wait(0.1)
        counter.answer_calls(bench, bench.request(customer=customer, entry_gateways=MANY)[1])
    assert bench.gateway.admission.shared_quota.coverage > 0.5
