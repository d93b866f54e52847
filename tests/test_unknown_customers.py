"""Requests of undersampled customers: large ones with a high excess cost are admitted at random."""

from __future__ import annotations

from dataclasses import replace

from helpers import PLAN, Bench

from coralvale import interface as api

ENTRY_GATEWAYS = 40  # entry gateways of a customer
HIGH_COST_PLAN = replace(PLAN, excess_cost=1.5)  # of a burst of 8, a quarter is always admitted
ROUNDS = 400


def admitted_share(plan: api.Plan, sizes: tuple[float, ...]) -> dict[float, float]:
    """The share of first requests of new customers that is admitted, by their units."""
    bench = Bench(gateways=100, meter_period=0.0, plans=(plan,), max_units=4.0)
    admitted = dict.fromkeys(sizes, 0)
    customer = 0
    for turn in range(ROUNDS + 100):
        for units in sizes:
            customer += 1
            name, actions = bench.request(customer=customer, entry_gateways=ENTRY_GATEWAYS, units=units)
            if api.Send in [type(a) for a in actions]:
                admitted[units] += turn >= 100  # earlier rounds set the plan's mean units
                bench.done(name)
    return {units: count / ROUNDS for units, count in admitted.items()}


def test_large_requests_are_admitted_at_random_if_the_excess_cost_is_high() -> None:
    shares = admitted_share(HIGH_COST_PLAN, (1.0, 1.0, 1.0, 4.0))
    assert shares[1.0] == 3.0  # three requests in each round
    assert 0.06 < shares[4.0] < 0.2  # (2 / 4) ** 3, as 2 units are always admitted


def test_all_requests_are_admitted_if_the_excess_cost_is_low() -> None:
    for plan in (replace(PLAN, excess_cost=0.2), replace(PLAN, excess_cost=1.5, excess_worth=1.5)):
        assert admitted_share(plan, (1.0, 4.0)) == {1.0: 1.0, 4.0: 1.0}


def test_all_requests_of_the_mean_size_are_admitted() -> None:
    assert admitted_share(HIGH_COST_PLAN, (4.0,))[4.0] > 0.99


def test_a_customer_that_is_not_undersampled_is_admitted_whatever_the_size() -> None:
    bench = Bench(gateways=100, meter_period=0.0, plans=(HIGH_COST_PLAN,), max_units=4.0)
    for customer in range(200):
        assert api.Send in [type(a) for a in bench.request(customer=customer, units=4.0, entry_gateways=1)[1]]
