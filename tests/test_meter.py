"""The leak rate: its minimum, its growth, and several gateways with one late meter."""

import math

from helpers import PLAN, Bench, host_info


def send_requests(bench: Bench, seconds: float, rate: float, usage: float | None) -> int:
    """Feeds `rate` requests a second of one customer with two entry gateways, all answered with `usage`."""
    sent = 0
    for _ in range(int(seconds * rate)):
        bench.wait(1 / rate)
        name, actions = bench.request(entry_gateways=2)
        if name in bench.gateway.requests:
            sent += 1
            bench.done(name, usage=usage)
    return sent


def restrictor_of(bench: Bench):  # noqa: ANN201
    return bench.gateway.admission.restrictors[1]


def test_a_new_customer_starts_at_the_minimum_rate() -> None:
    bench = Bench()
    bench.request(entry_gateways=2)
    assert restrictor_of(bench).rate == PLAN.rate / 2


def test_the_rate_rises_to_this_gateways_share_of_the_use_but_not_above_the_quota() -> None:
    bench = Bench()
    send_requests(bench, 10, 2.0, usage=0.5)  # all of the metered use is admitted here
    assert PLAN.rate * 0.95 < restrictor_of(bench).rate <= PLAN.rate


def test_the_rate_growth_per_update_is_limited() -> None:
    bench = Bench()
    send_requests(bench, 1.0, 2.0, usage=0.0)
    before = restrictor_of(bench).rate
    bench.wait(1.0)
    assert before < restrictor_of(bench).rate <= before * 1.5


def test_the_rate_stays_at_its_minimum_if_other_gateways_use_the_quota() -> None:
    bench = Bench()
    send_requests(bench, 10, 0.5, usage=3.0)
    assert restrictor_of(bench).rate == PLAN.rate / 2


def test_the_rate_returns_to_its_minimum_without_readings() -> None:
    bench = Bench()
    send_requests(bench, 10, 2.0, usage=0.5)
    bench.wait(30.0)
    assert abs(restrictor_of(bench).rate - PLAN.rate / 2) < 0.05


def test_two_gateways_with_a_late_meter_converge_to_the_quota() -> None:
    """With a demand of twice the quota, split unevenly, both together admit about the quota."""
    gateways = [Bench(seed=s) for s in (1, 2)]
    history: list[int] = []
    total = 0
    for second in range(60):
        reading = sum(history[-3:-2]) / PLAN.rate if len(history) > 2 else None
        sent = sum(send_requests(b, 1.0, rate, reading) for b, rate in zip(gateways, (6.0, 2.0), strict=True))
        history.append(sent)
        total += sent if second >= 20 else 0
    assert 0.9 * PLAN.rate <= total / 40 <= 1.2 * PLAN.rate


def test_true_units_replace_the_estimate() -> None:
    bench = Bench(post_paid=True)
    name, _ = bench.request(units=1.0)
    bench.done(name, units=3.0)
    assert restrictor_of(bench).fill == 3.0


def test_idle_customers_and_finished_requests_are_dropped() -> None:
    bench = Bench(hosts=(host_info("a"), host_info("b")))
    for customer in range(500):
        name, _ = bench.request(customer=customer)
        bench.done(name)
    assert bench.gateway.requests == {}
    bench.wait(62.0)
    assert len(bench.gateway.admission.restrictors) == 0


def test_invalid_readings_and_true_units_are_ignored() -> None:
    bench = Bench(post_paid=True)
    for invalid in (math.nan, math.inf, -math.inf, -0.5):
        name, _ = bench.request(entry_gateways=2)
        bench.done(name, usage=invalid, units=invalid)
        bench.wait(3.0)
    assert restrictor_of(bench).rate == PLAN.rate / 2
    assert math.isfinite(restrictor_of(bench).fill)
