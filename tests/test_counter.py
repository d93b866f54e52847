"""The bucket on the counter: when it is asked, what it lets in; no request is ever held for long by it."""

import math
from dataclasses import replace

import pytest
from helpers import PLAN, Bench

from coralvale import interface as api
from coralvale.shared_quota import CONGESTION_BORNE, NUMBER_LIFETIME, TRUST_EACH

MANY = 40  # gateways of a customer's set


def counting(**more: object) -> Bench:
    bench = Bench(gateways=100, may_count=True, counter_timeout=0.05, **more)
    bench.gateway.admission.shared.trust = 1.0
    return bench


def ask(bench: Bench, **more: object) -> tuple[str, api.CounterAdd]:
    name, actions = bench.request(entry_gateways=MANY, **more)
    assert [type(a) for a in actions] == [api.CounterAdd]
    return name, actions[0]


class Counter:
    """The counter of a fleet of benches on one clock."""

    def __init__(self) -> None:
        self.totals: dict[int, float] = {}

    def serve(self, bench: Bench, actions: list[api.Action]) -> list[api.Action]:
        """Answers all calls among the actions, and those that follow; returns the other actions."""
        others = [a for a in actions if not isinstance(a, api.CounterAdd)]
        for call in (a for a in actions if isinstance(a, api.CounterAdd)):
            total = self.totals[call.name] = self.totals.get(call.name, 0.0) + call.amount
            others += self.serve(bench, bench.feed(api.CounterReply(call.name, True, total)))
        return others


def fleet(size: int, now: float) -> list[Bench]:
    benches = [counting(seed=seed) for seed in range(size)]
    for bench in benches:
        bench.now = now
    return benches


def test_nothing_is_asked_for_a_set_of_few_gateways() -> None:
    bench = counting()
    for _ in range(20):
        _, actions = bench.request(entry_gateways=4)
        assert not [a for a in actions if isinstance(a, api.CounterAdd)]


def test_where_each_part_of_the_burst_holds_a_request_the_meter_spares_the_counter() -> None:
    for metered in (True, False):
        bench = counting(meter_period=0.5 * metered)
        for entries, units in ((8, 1.0), (4, 2.0), (8, 2.0), (16, 1.0)):  # of a burst of eight
            customer = entries + 100 * int(units)
            _, actions = bench.request(customer=customer, entry_gateways=entries, units=units)
            own = entries < 8 or (metered and units * entries <= PLAN.burst)
            assert [type(a) for a in actions] == [api.Send if own else api.CounterAdd], (
                metered,
                entries,
                units,
            )


def test_nothing_is_asked_where_there_is_no_counter_or_little_time() -> None:
    assert [type(a) for a in Bench(gateways=100).request(entry_gateways=MANY)[1]] == [api.Send]
    bench = counting()
    _, actions = bench.request(entry_gateways=MANY, expires_at=bench.now + 0.15)
    assert not [a for a in actions if isinstance(a, api.CounterAdd)]


def test_nothing_is_asked_where_letting_in_beyond_the_quota_costs_nothing() -> None:
    bench = counting(plans=(replace(PLAN, excess_cost=0.0, excess_worth=0.1),))
    assert [type(a) for a in bench.request(entry_gateways=MANY)[1]] == [api.Send]


def test_many_gateways_let_in_about_one_burst_at_once() -> None:
    """300 gateways with one request each: a bucket each would let in 300 units of a burst of 8."""
    counter, sent = Counter(), 0
    for bench in fleet(300, now=1000.0):
        sent += [type(a) for a in counter.serve(bench, bench.request(entry_gateways=MANY)[1])] == [api.Send]
    assert sent == PLAN.burst


def test_many_gateways_let_in_what_the_quota_leaks_and_no_more() -> None:
    counter, sent, seconds = Counter(), 0, 20
    benches = fleet(MANY, now=1000.0)
    for tick in range(seconds * 10):  # ten requests a second, each at another gateway, of a rate of four
        bench = benches[tick * 7 % MANY]
        bench.wait(1000.0 + tick / 10 - bench.now)
        sent += [type(a) for a in counter.serve(bench, bench.request(entry_gateways=MANY)[1])] == [api.Send]
    most = PLAN.burst + PLAN.rate * seconds
    assert 0.9 * most <= sent <= 1.1 * most


def test_what_is_not_used_adds_up_to_one_burst_and_no_more() -> None:
    counter, sent = Counter(), 0
    early, late = counting(), fleet(60, now=130.0)
    early.now = 101.0
    assert counter.serve(early, ask(early, customer=97)[1:])
    for bench in late:
        actions = bench.request(customer=97, entry_gateways=MANY)[1]
        sent += [type(a) for a in counter.serve(bench, actions)] == [api.Send]
    assert PLAN.burst <= sent <= 1.25 * PLAN.burst + 1


def test_what_two_gateways_fill_up_at_once_is_taken_back() -> None:
    benches, calls, total = fleet(2, now=1000.0 + 0.9 * NUMBER_LIFETIME), [], 0.0
    for bench in benches:
        total += ask(bench, customer=97)[1].amount
    for bench in benches:
        (name,) = bench.gateway.admission.shared.pending
        calls += [a for a in bench.feed(api.CounterReply(name, True, total)) if isinstance(a, api.CounterAdd)]
    assert len(calls) == 2 and min(c.amount for c in calls) > PLAN.burst
    undone = []
    for bench, call in zip(benches, calls, strict=True):
        total += call.amount
        undone += bench.feed(api.CounterReply(call.name, True, total))
    assert [c.amount for c in undone] == [-calls[1].amount]


def test_a_bucket_known_to_be_full_needs_no_further_call() -> None:
    bench = counting()
    _, call = ask(bench)
    actions = bench.feed(api.CounterReply(call.name, True, 1e6))
    assert [a.amount for a in actions if isinstance(a, api.CounterAdd)] == [-1.0]  # refused: takes nothing
    assert [type(a) for a in bench.request(entry_gateways=MANY)[1]] == [api.Refuse]


def test_a_crowded_counter_is_spared_calls_about_a_customer_that_was_refused() -> None:
    drained = PLAN.burst / PLAN.rate
    for congestion, backoff in ((0.0, 0.0), (CONGESTION_BORNE / 2, drained / 2), (1.0, drained)):
        bench = counting()
        _, call = ask(bench)
        shared = bench.gateway.admission.shared
        bucket = shared.pending[call.name][0].bucket
        shared.congestion = congestion
        full = PLAN.burst + PLAN.rate * (bench.now - bucket.began) + 0.1  # has room again in a moment
        bench.feed(api.CounterReply(call.name, True, full))
        refused_at = bench.now
        shared.trust = TRUST_EACH
        while not isinstance(bench.request(entry_gateways=MANY)[1][0], api.CounterAdd):
            bench.now += 0.05
            shared.trust = TRUST_EACH
        assert bench.now - refused_at == pytest.approx(backoff, abs=0.11)


def test_a_refusal_backs_off_by_the_quota_it_was_counted_under() -> None:
    """A request that names a plan without a rate, by mistake, may come while the counter is asked."""
    bench = counting(plans=(PLAN, replace(PLAN, name="open", rate=0.0, burst=0.0, open_limit=2.0)))
    _, call = ask(bench)
    bench.gateway.admission.shared.congestion = 1.0
    bench.request(plan_index=1, entry_gateways=MANY)
    assert api.Refuse in [type(a) for a in bench.feed(api.CounterReply(call.name, True, 1e6))]


def test_a_counter_whose_line_takes_a_fifth_of_its_time_is_used_in_full() -> None:
    bench = counting()
    for customer in range(100):
        bench.wait(0.1)
        _, call = ask(bench, customer=customer)
        bucket = bench.gateway.admission.shared.pending[call.name][0].bucket
        bench.now += 0.001 if customer == 0 else 0.01  # of the 0.05 that it may take
        empty = call.amount + PLAN.rate * (bench.now - bucket.began)
        assert [type(a) for a in bench.feed(api.CounterReply(call.name, True, empty))] == [api.Send]
    assert bench.gateway.admission.shared.trust == TRUST_EACH


def test_one_that_was_counted_full_gets_nothing_by_the_own_bucket() -> None:
    bench = counting()
    _, call = ask(bench)
    bench.feed(api.CounterReply(call.name, True, call.amount + PLAN.rate * NUMBER_LIFETIME + PLAN.burst))
    bench.wait(12.0)  # its next request here comes no sooner
    bench.gateway.admission.shared.trust = 0.0
    assert bench.gateway.admission.restrictors[1].wait(1.0) == 0.0
    assert [type(a) for a in bench.request(entry_gateways=MANY)[1]] == [api.Refuse]


def test_the_own_bucket_decides_when_the_counter_fails() -> None:
    for reply in ((False, 0.0), (True, math.nan), (True, math.inf)):
        bench = counting()
        _, call = ask(bench)
        assert [type(a) for a in bench.feed(api.CounterReply(call.name, *reply))] == [api.Send]
        second = bench.request(entry_gateways=MANY)[1]
        if isinstance(second[0], api.CounterAdd):
            second = bench.feed(api.CounterReply(second[0].name, False, 0.0))
        assert [type(a) for a in second] == [api.Refuse]


def test_what_was_let_in_uncounted_is_told_with_the_next_call() -> None:
    bench = counting()
    _, call = ask(bench)
    bench.feed(api.CounterReply(call.name, False, 0.0))  # turned away, and let in by the own bucket
    bench.gateway.admission.shared.trust = 1.0
    assert ask(bench)[1].amount == 2.0
    bench = counting()
    _, call = ask(bench)
    bench.feed(api.CounterReply(call.name, False, 0.0, maybe_added=True))  # it is on the counter's line
    bench.gateway.admission.shared.trust = 1.0
    assert ask(bench)[1].amount == 1.0


CAPPED = replace(PLAN, rate=100.0, burst=200.0, ceiling_rate=200.0, ceiling_burst=400.0, ceiling_slack=40.0)


def test_what_is_over_the_even_part_of_a_ceiling_is_taken_from_the_pool() -> None:
    bench, counter = counting(plans=(CAPPED,), seed=3), Counter()
    bench.wait(10.0)
    sent = 0
    for _ in range(40):  # 20 units in a second: the even part of the ceiling is five, and six at once
        name, actions = bench.request(entry_gateways=MANY)
        if any(isinstance(a, api.Send) for a in counter.serve(bench, actions)):
            bench.done(name)
            sent += 1
        bench.wait(0.05)
    assert sent >= 36  # a new pool begins full and drains


def test_a_pool_known_to_have_no_room_is_not_asked_again_before_it_has() -> None:
    bench = counting(plans=(replace(CAPPED, excess_cost=0.0),))  # no call about the quota
    _, call = ask(bench)
    began = bench.gateway.admission.shared.pending[call.name][0].bucket.began
    rate, most = bench.gateway.admission.restrictors[1].pool
    total = rate * (bench.now - began) + most + rate + call.amount  # a second's worth over the brim
    actions = bench.feed(api.CounterReply(call.name, True, total))
    assert [a.amount for a in actions if isinstance(a, api.CounterAdd)] == [-1.0]
    asked = []
    for _ in range(24):  # each 0.05 s, of which the even part lets in every seventh
        bench.wait(0.05)
        asked.append(api.CounterAdd in [type(a) for a in bench.request(entry_gateways=MANY)[1]])
    assert not any(asked[:20]) and any(asked[20:])


def test_even_parts_and_pool_keep_to_the_ceiling_together() -> None:
    """Forty gateways that are asked for far more than the ceiling, of which the counter forgets all twice."""
    plan = replace(CAPPED, excess_cost=0.1, rate=1e6, burst=1e6)  # nothing but the ceiling binds
    benches = [counting(plans=(plan,), seed=seed) for seed in range(MANY)]
    counter, store, last, least = Counter(), plan.ceiling_burst, 110.0, plan.ceiling_burst
    for tick in range(600):
        now = 110.0 + tick / 200
        if tick in (200, 400):
            counter.totals.clear()
        bench = benches[tick % MANY]
        bench.wait(now - bench.now)
        for _ in range(4):
            name, actions = bench.request(entry_gateways=MANY, units=3.0)
            actions = counter.serve(bench, actions)
            if any(isinstance(a, api.Send) for a in actions):
                bench.done(name)
            store, last = min(plan.ceiling_burst, store + plan.ceiling_rate * (now - last)), now
            store -= 3.0 * sum(isinstance(a, api.Send) for a in actions)
            least = min(least, store)
    assert -plan.ceiling_slack <= least < plan.ceiling_burst / 2


def test_a_silent_counter_loses_no_request() -> None:
    bench = counting()
    name, _ = ask(bench)
    sends = [a for a in bench.wait(0.3) if isinstance(a, api.Send)]
    assert [s.request for s in sends] == [name]
    assert bench.gateway.admission.shared.pending == {}


def test_a_failing_counter_is_asked_ever_less_and_again_later() -> None:
    bench = counting()

    def asked_of(first: int) -> int:
        asked = 0
        for customer in range(first, first + 100):
            bench.wait(0.1)
            call = bench.request(customer=customer, entry_gateways=MANY)[1][0]
            if isinstance(call, api.CounterAdd):
                asked += 1
                bench.feed(api.CounterReply(call.name, False, 0.0))
        return asked

    assert 10 < asked_of(0) < 60
    assert asked_of(100) < 20
    for customer in range(200, 1000):
        bench.wait(0.1)
        for call in bench.request(customer=customer, entry_gateways=MANY)[1]:
            if isinstance(call, api.CounterAdd):
                bench.feed(api.CounterReply(call.name, True, call.amount))
    ask(bench, customer=1000)


def test_a_slow_counter_that_bears_the_calls_is_not_taken_for_a_crowded_one() -> None:
    bench = counting()
    for customer in range(100):
        _, call = ask(bench, customer=customer)
        bench.now += 0.03  # of the 0.05 that it may take, always
        bench.feed(api.CounterReply(call.name, True, call.amount))
    assert bench.gateway.admission.shared.trust == TRUST_EACH


def test_in_a_crowd_a_sample_of_the_small_requests_stands_for_all_of_them() -> None:
    for trust, least, most in ((1.0, 0.2, 0.3), (1.5, 0.57, 0.68), (TRUST_EACH, 1.0, 1.0)):
        bench, amounts = counting(max_units=4.0), list[float]()
        for customer in range(1000):
            bench.gateway.admission.shared.trust = trust
            action = bench.request(customer=customer, entry_gateways=MANY)[1][0]
            if isinstance(action, api.CounterAdd):
                amounts.append(action.amount)
        assert least <= len(amounts) / 1000 <= most
        assert 0.9 <= sum(amounts) / 1000 <= 1.1
        assert ask(bench, customer=1000, units=4.0)[1].amount == 4.0  # the large ones are all asked about


def sampled(bench: Bench) -> api.CounterAdd:
    """The first call about a small request that is drawn to be asked about, and so stands for others."""
    calls = (bench.request(customer=customer, entry_gateways=MANY)[1][0] for customer in range(100))
    call = next(c for c in calls if isinstance(c, api.CounterAdd))
    assert call.amount == 4.0
    return call


def test_a_request_stands_for_no_others_while_the_own_bucket_lets_none_in() -> None:
    bench, amounts = counting(max_units=4.0), list[float]()
    for customer in range(100):
        bench.gateway.admission.shared.trust = 1.0
        bench.request(customer=customer, entry_gateways=MANY)
        restrictor = bench.gateway.admission.restrictors[customer]
        restrictor.fill, restrictor.unreported = 2 * PLAN.burst, 0.0
        action = bench.request(customer=customer, entry_gateways=MANY)[1][0]
        assert isinstance(action, api.CounterAdd | api.Refuse)
        if isinstance(action, api.CounterAdd):
            amounts.append(action.amount)
    assert len(amounts) > 10
    assert set(amounts) == {1.0}


def test_requests_that_guards_refuse_leave_nothing_on_the_counter_whether_asked_about_or_not() -> None:
    """One that is asked about stands for others; these give back their units as it does its own."""
    bench, told, untold = counting(max_units=4.0, hosts=()), 0.0, 0.0
    for customer in range(1000):
        bench.gateway.admission.shared.trust = 1.0
        action = bench.request(customer=customer, entry_gateways=MANY)[1][0]
        if isinstance(action, api.CounterAdd):
            began = bench.gateway.admission.shared.pending[action.name][0].bucket.began
            empty = action.amount + PLAN.rate * (bench.now - began)
            assert [type(a) for a in bench.feed(api.CounterReply(action.name, True, empty))] == [api.Refuse]
            told += action.amount
        untold += bench.gateway.admission.restrictors[customer].unreported
    assert untold == -1000.0
    assert 0.9 <= told / 1000 <= 1.1


def test_a_request_refused_by_the_shared_bucket_leaves_there_what_it_stands_for() -> None:
    bench = counting(max_units=4.0)
    call = sampled(bench)
    actions = bench.feed(api.CounterReply(call.name, True, 1e6))
    assert [a.amount for a in actions if isinstance(a, api.CounterAdd)] == [-1.0]


def test_what_stands_for_others_takes_no_room_from_the_request_itself() -> None:
    for fill, lets_in in ((PLAN.burst - 1.0, True), (PLAN.burst - 0.5, False)):
        bench = counting(max_units=4.0)
        call = sampled(bench)
        began = bench.gateway.admission.shared.pending[call.name][0].bucket.began
        total = call.amount + fill + PLAN.rate * (bench.now - began)
        actions = bench.feed(api.CounterReply(call.name, True, total))
        assert (api.Send in [type(a) for a in actions]) is lets_in


def test_all_gateways_count_the_same_customers_where_not_all_can_be_counted() -> None:
    counted = []
    for bench in fleet(3, now=100.0):
        asked = set()
        for customer in range(200):
            bench.gateway.admission.shared.trust = 0.3
            if isinstance(bench.request(customer=customer, entry_gateways=MANY)[1][0], api.CounterAdd):
                asked.add(customer)
        counted.append(asked)
    assert counted[0] == counted[1] == counted[2]
    assert 40 < len(counted[0]) < 80


def test_a_client_that_leaves_while_the_counter_is_asked_gets_nothing_more() -> None:
    bench = counting()
    name, call = ask(bench)
    bench.feed(api.RequestAbandoned(name))
    assert bench.feed(api.CounterReply(call.name, True, 1.0)) == []
    assert bench.feed(api.CounterReply(call.name, True, 1.0)) == []  # a reply that nobody waits for
    assert bench.gateway.admission.shared.pending == {} and bench.gateway.requests == {}


def test_one_that_leaves_takes_back_its_own_units_and_none_that_were_used() -> None:
    bench = counting()
    _, call = ask(bench)
    assert [type(a) for a in bench.feed(api.CounterReply(call.name, False, 0.0))] == [api.Send]
    name, call = ask(bench)
    assert call.amount == 2.0  # with that of the one that was let in unreported
    bench.feed(api.RequestAbandoned(name))
    bench.feed(api.CounterReply(call.name, True, 2.0))
    assert ask(bench)[1].amount == 0.0


def test_a_counter_that_was_lost_is_soon_used_again() -> None:
    bench, counter = counting(), Counter()
    bench.gateway.admission.shared.trust = 0.05
    for customer in range(100):
        bench.wait(0.1)
        counter.serve(bench, bench.request(customer=customer, entry_gateways=MANY)[1])
    assert bench.gateway.admission.shared.trust > 0.5
