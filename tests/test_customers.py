"""The table of customers: how many are kept, which go first, and how the work on them is spread."""

from __future__ import annotations

from helpers import PLAN, Bench

from coralvale import interface as api
from coralvale.customers import EVICTION_CANDIDATES, MAX_UPDATES_AT_ONCE, CustomerTable
from coralvale.restrictor import Restrictor

SERVED = {"outcome": api.Outcome.OK, "delay": 0.01, "request_done": True}


def ask(bench: Bench, customer: int, plan_index: int = 0) -> list[api.Action]:
    """Sends a request of a customer."""
    bench.serial += 1
    request = api.Request(f"q{bench.serial}", 0, plan_index, customer, 1, bench.now + 4.0)
    return bench.feed(request)


def serve(bench: Bench, actions: list[api.Action]) -> None:
    """Ends the attempts that the actions order."""
    for action in actions:
        if isinstance(action, api.Send):
            bench.feed(api.AttemptDone(action.request, 0, **SERVED))


def limited_bench(max_customers: int, **changes: object) -> Bench:
    bench = Bench(**changes)
    bench.gateway.admission.customers.max_customers = max_customers
    return bench


# Guards against a record for each name that a client makes up, until the memory is full.
def test_never_more_customers_are_kept_than_the_maximum() -> None:
    bench = limited_bench(100)
    for customer in range(1000):
        serve(bench, ask(bench, customer))
        assert len(bench.gateway.admission.restrictors) <= 100
    assert 999 in bench.gateway.admission.restrictors and 0 not in bench.gateway.admission.restrictors


def test_a_customer_that_keeps_sending_stays_and_its_quota_holds() -> None:
    bench = limited_bench(100)
    sent = 0
    for customer in range(1000, 1500):
        actions = ask(bench, 1)
        sent += any(isinstance(action, api.Send) for action in actions)
        serve(bench, actions)
        serve(bench, ask(bench, customer))
    assert 1 in bench.gateway.admission.restrictors
    assert sent <= 2 * PLAN.burst  # the most that its bucket admits at once


def test_customers_with_attempts_outstanding_stay_and_a_new_one_is_refused() -> None:
    bench = limited_bench(EVICTION_CANDIDATES)
    held = [ask(bench, customer) for customer in range(EVICTION_CANDIDATES)]
    assert all(isinstance(action, api.Send) for (action,) in held)
    (refusal,) = ask(bench, 1000)
    assert isinstance(refusal, api.Refuse) and refusal.retry_after > 0
    assert 1000 not in bench.gateway.admission.restrictors
    serve(bench, held[3])
    (action,) = ask(bench, 1000)
    assert isinstance(action, api.Send) and 3 not in bench.gateway.admission.restrictors


def test_a_customer_that_has_spent_its_ceiling_does_not_get_it_again() -> None:
    ceiling = api.Plan("capped", rate=4.0, burst=8.0, ceiling_rate=2.0, ceiling_burst=4.0)
    bench = limited_bench(4, plans=(PLAN, ceiling))
    bench.wait(10.0)
    serve(bench, ask(bench, 1, plan_index=1))
    spent = bench.gateway.admission.restrictors[1].ceiling_tokens
    for customer in range(1000, 1020):
        serve(bench, ask(bench, customer))
    assert bench.gateway.admission.restrictors[1].ceiling_tokens == spent < 4.0


def test_a_restrictor_that_limits_nothing_goes_ahead_of_one_that_does() -> None:
    bench = limited_bench(2)
    serve(bench, ask(bench, 1))
    serve(bench, ask(bench, 2))
    bench.gateway.admission.restrictors[2].fill = 0.0
    serve(bench, ask(bench, 3))
    assert list(bench.gateway.admission.restrictors) == [1, 3]


# Guards against requests that wait each second until the records of all customers are updated.
def test_many_leak_rates_are_updated_in_parts_and_each_of_them_once() -> None:
    table, updated = CustomerTable(), list[int]()

    class Recorded(Restrictor):
        def update_rate(self, now: float) -> None:
            updated.append(id(self))

    count = 2 * MAX_UPDATES_AT_ONCE + 1
    for customer in range(count):
        table.add(1.0, customer, Recorded(PLAN, 1, 1.0, 0.0))
    table.begin_update()
    for expected in (MAX_UPDATES_AT_ONCE, 2 * MAX_UPDATES_AT_ONCE, count, count):
        table.update_rates(1.0)
        assert len(updated) == len(set(updated)) == expected
