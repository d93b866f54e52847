"""Requests of customers of whom a gateway knows too little: the large and dear ones are let in by lot."""

from __future__ import annotations

from dataclasses import replace

from helpers import PLAN, Bench

from coralvale import interface as api

MANY = 40  # gateways of a customer's set
DEAR = replace(PLAN, excess_cost=1.5)  # a burst of 8; a quarter of it is borne
ROUNDS = 400


def share_let_in(plan: api.Plan, sizes: tuple[float, ...]) -> dict[float, float]:
    """The share of first requests of new customers that is let in, by their units."""
    bench = Bench(gateways=100, meter_period=0.0, plans=(plan,), max_units=4.0)
    let_in = dict.fromkeys(sizes, 0)
    customer = 0
    for turn in range(ROUNDS + 100):
        for units in sizes:
            customer += 1
            name, actions = bench.request(customer=customer, entry_gateways=MANY, units=units)
            if api.Send in [type(a) for a in actions]:
                let_in[units] += turn >= 100  # the plan's mean units are known by then
                bench.done(name)
    return {units: count / ROUNDS for units, count in let_in.items()}


def test_large_requests_are_let_in_by_lot_where_that_is_dear() -> None:
    shares = share_let_in(DEAR, (1.0, 1.0, 1.0, 4.0))
    assert shares[1.0] == 3.0  # three in each round
    assert 0.06 < shares[4.0] < 0.2  # (2 / 4) to the third power: half of the burst, a quarter is borne


def test_all_are_let_in_where_letting_in_wrongly_costs_little() -> None:
    for plan in (replace(PLAN, excess_cost=0.2), replace(PLAN, excess_cost=1.5, excess_worth=1.5)):
        assert share_let_in(plan, (1.0, 4.0)) == {1.0: 1.0, 4.0: 1.0}


def test_a_plan_whose_requests_are_all_alike_is_not_starved() -> None:
    assert share_let_in(DEAR, (4.0,))[4.0] > 0.99


def test_a_customer_of_whom_enough_is_known_is_let_in_whatever_the_size() -> None:
    bench = Bench(gateways=100, meter_period=0.0, plans=(DEAR,), max_units=4.0)
    for customer in range(200):
        assert api.Send in [type(a) for a in bench.request(customer=customer, units=4.0, entry_gateways=1)[1]]
