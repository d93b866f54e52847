"""The local leaky bucket, with expected figures worked out by hand."""

from helpers import PLAN, Bench

from coralvale import interface as api
from coralvale.restrictor import Restrictor


def action_types(actions: list[api.Action]) -> list[type]:
    return [type(a) for a in actions]


def test_a_single_entry_gateway_admits_the_burst_and_then_the_rate() -> None:
    bench = Bench()
    sent = 0
    for _ in range(12):
        name, actions = bench.request()
        sent += action_types(actions) == [api.Send]
        bench.done(name)
    assert sent == 8  # the burst of 8 units, all at the same time
    bench.wait(0.25)  # at 4 units a second, one more unit leaks
    assert action_types(bench.request()[1]) == [api.Send]
    assert action_types(bench.request()[1]) == [api.Refuse]


def test_the_threshold_is_the_leak_rates_share_of_the_burst_for_a_customer_with_heavy_demand() -> None:
    bench = Bench()
    for _ in range(60):  # 4 units a second, the whole quota and twice an even share of it
        bench.wait(0.25)
        bench.done(bench.request(entry_gateways=2)[0])
    bench.wait(4.0)  # the bucket is empty again
    sent = 0
    for _ in range(12):
        name, actions = bench.request(entry_gateways=2)
        sent += action_types(actions) == [api.Send]
        bench.done(name)
    assert sent == 4  # half of the burst


def test_a_customer_with_light_demand_has_the_whole_burst() -> None:
    bench = Bench()
    assert all(action_types(bench.request(entry_gateways=2)[1]) == [api.Send] for _ in range(6))


def test_retry_after_is_the_time_until_the_bucket_has_room() -> None:
    bench = Bench()
    for _ in range(8):
        bench.request()
    _, actions = bench.request()
    assert actions == [api.Refuse("r9", 0.25)]


def test_each_customer_has_its_own_bucket() -> None:
    bench = Bench()
    for _ in range(9):
        bench.request(customer=1)
    assert action_types(bench.request(customer=2)[1]) == [api.Send]


def test_in_a_wide_set_the_meter_tells_light_customers_from_heavy_ones() -> None:
    """At one of thirty entry gateways, two requests within seconds look like several times the quota."""
    for reading, is_admitted in ((0.2, True), (2.0, False)):
        restrictor = Restrictor(PLAN, 30, now=100.0, born=0.0)
        restrictor.record_demand(100.0, 1.0)
        restrictor.charge(1.0)
        restrictor.record_usage(101.0, reading)
        restrictor.drain(105.0)
        assert (restrictor.bucket_wait(1.0) == 0.0) is is_admitted
        restrictor.drain(120.0)  # the reading is no longer recent
        restrictor.record_demand(120.0, 3.0)
        restrictor.charge(2.0)
        assert restrictor.bucket_wait(2.0) > 0.0


def test_recent_usage_is_a_mean_of_several_readings() -> None:
    restrictor = Restrictor(PLAN, 30, now=100.0, born=0.0)
    for at, reading in ((100.0, 0.0), (102.0, 0.4), (104.0, 1.2)):
        restrictor.record_usage(at, reading)
    assert 0.5 < restrictor.usage_for_demand < 0.9


def test_a_light_customer_has_its_burst_also_at_its_busiest_gateway() -> None:
    """One of four gateways sees 0.15 of the quota; with an even split, all four would see 0.6 of it."""
    restrictor = Restrictor(PLAN, entries=4, now=0.0, born=0.0)
    for second in range(60):
        restrictor.drain(float(second))
        restrictor.record_demand(float(second), 0.15 * PLAN.rate)
    assert restrictor.threshold(1.0) > 0.85 * PLAN.burst
    for second in range(60, 120):
        restrictor.drain(float(second))
        restrictor.record_demand(float(second), 0.5 * PLAN.rate)  # with an even split, twice the quota
    assert restrictor.threshold(1.0) < 0.3 * PLAN.burst
