"""Tests of the quota simulation: services, random draws, figures, simulated runs and the command."""

from __future__ import annotations

import json
import re
from dataclasses import dataclass, replace
from pathlib import Path
from random import Random
from types import SimpleNamespace

import pytest
from click.testing import CliRunner, Result

from coralvale import Gateway
from coralvale import interface as api
from testbed.quota.__main__ import main
from testbed.quota.customers import DEMAND_STEP_S, Customer
from testbed.quota.deployment import Arrival, ClientBehaviour, Deployment, draw_deployment
from testbed.quota.grid import DEFAULT_SITE, GridAxes, scenarios
from testbed.quota.plays import RunSpec, mean_figures, simulate, simulate_all
from testbed.quota.report import FigureCollector, RunFigures
from testbed.quota.services import Counter, Meter, QuotaBucket
from testbed.quota.simulation import Simulation
from testbed.quota.site import Range, Section, SiteError, read_site
from testbed.quota.units import draw_units
from testbed.quota.variation import CounterKind, SiteOverrides

GATEWAYS = 12
SECONDS = 5.0
WIDE_ENTRY_SHARE = Range(0.8, 1.0)


def small_deployment(
    seed: int = 3, overrides: SiteOverrides | None = None, site: Path = DEFAULT_SITE, gateways: int = GATEWAYS
) -> Deployment:
    return draw_deployment(
        site,
        seed,
        gateways,
        overrides or SiteOverrides(CounterKind.NONE, entry_share=WIDE_ENTRY_SHARE),
        SECONDS,
    )


class AdmitAll:
    """Sends every request to the first host."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        pass

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        return [api.Send(event.id, "host-0", now + 10.0)] if isinstance(event, api.Request) else []


class RefuseAll:
    """Refuses every request, without a Retry-After."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        pass

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        return [api.Refuse(event.id)] if isinstance(event, api.Request) else []


@dataclass
class AdmitByTrueBucket:
    """Admits by the true bucket of the customer, which no real gateway can see."""

    buckets: dict[int, QuotaBucket]

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        if not isinstance(event, api.Request):
            return []
        if self.buckets[event.customer].allows(now, event.units):
            return [api.Send(event.id, "host-0", now + 10.0)]
        return [api.Refuse(event.id)]


# The true bucket


def test_a_bucket_grants_up_to_its_level_and_refills_at_its_rate() -> None:
    bucket = QuotaBucket(rate=2.0, burst=4.0, level=4.0)
    assert bucket.take(0.0, 3.0)
    assert not bucket.take(0.0, 2.0)
    assert bucket.level_at(0.0) == 1.0
    assert bucket.take(0.5, 2.0)
    assert bucket.level_at(0.5) == 0.0
    assert bucket.level_at(100.0) == 4.0


def test_a_request_in_excess_of_the_quota_takes_no_units() -> None:
    bucket = QuotaBucket(rate=1.0, burst=4.0, level=1.0)
    assert not bucket.take(0.0, 2.0)
    assert bucket.level_at(0.0) == 1.0


def test_a_correction_takes_the_difference_and_may_make_the_level_negative() -> None:
    bucket = QuotaBucket(rate=1.0, burst=4.0, level=2.0)
    assert bucket.take(0.0, 2.0)
    bucket.correct(3.0)
    assert bucket.level_at(0.0) == -3.0
    assert not bucket.take(3.0, 1.0)
    bucket.correct(-2.0)
    assert bucket.level_at(3.0) == 2.0


def test_the_open_limit_bounds_outstanding_attempts() -> None:
    bucket = QuotaBucket(rate=0.0, burst=0.0, level=0.0, open_limit=2.0, open_attempts=1)
    assert bucket.take(0.0, 5.0)
    bucket.open_attempts = 2
    assert not bucket.take(0.0, 1.0)


# The counter


def test_calls_to_one_counter_shard_queue() -> None:
    counter = Counter(shards=1, calls_per_second=100.0, delay=0.005, queue_limit=1.0)
    answers = [counter.add(0.0, 7, 2.0, 60.0) for _ in range(3)]
    assert [answer.at for answer in answers] == pytest.approx([0.015, 0.025, 0.035])
    assert [answer.total for answer in answers] == [2.0, 4.0, 6.0]


def test_calls_to_different_counter_shards_do_not_wait_for_each_other() -> None:
    counter = Counter(shards=2, calls_per_second=100.0, delay=0.0, queue_limit=1.0)
    assert counter.add(0.0, 0, 1.0, 60.0).at == counter.add(0.0, 1, 1.0, 60.0).at == pytest.approx(0.02)


def test_a_call_beyond_the_queue_limit_is_rejected_and_adds_nothing() -> None:
    counter = Counter(shards=1, calls_per_second=100.0, delay=0.0, queue_limit=0.015)
    answers = [counter.add(0.0, 7, 1.0, 60.0) for _ in range(3)]
    assert [answer.total for answer in answers] == [1.0, 2.0, None]
    assert counter.rejected_calls == 1
    assert counter.add(1.0, 7, 0.0, 60.0).total == 2.0


def test_a_counter_entry_expires_after_the_lifetime_of_its_first_call() -> None:
    counter = Counter(shards=1, calls_per_second=1000.0, delay=0.0, queue_limit=1.0)
    counter.add(0.0, 7, 3.0, 10.0)
    assert counter.add(9.9, 7, 1.0, 60.0).total == 4.0
    assert counter.add(10.0, 7, 1.0, 60.0).total == 1.0


# The meter


def test_a_meter_period_is_readable_only_after_its_end_and_the_delay() -> None:
    meter = Meter(period=1.0, delay=0.5)
    meter.record(0.2, 6.0)
    assert meter.read(1.4, rate=4.0) == 0.0
    assert meter.read(1.6, rate=4.0) == 1.5
    assert meter.read(2.6, rate=4.0) == 0.0


def test_a_meter_reads_zero_for_a_plan_without_a_rate() -> None:
    meter = Meter(period=1.0, delay=0.0)
    meter.record(0.2, 6.0)
    assert meter.read(1.5, rate=0.0) == 0.0


# Random draws


def test_the_same_seed_draws_the_same_requests_and_another_does_not() -> None:
    first, again, other = (list(small_deployment(seed).arrivals()) for seed in (3, 3, 4))
    assert [(a.at, a.true_units, a.customer.number) for a in first] == [
        (a.at, a.true_units, a.customer.number) for a in again
    ]
    assert [a.at for a in first] != [a.at for a in other]


def test_the_kind_of_counter_does_not_change_the_customers() -> None:
    without = small_deployment(overrides=SiteOverrides(CounterKind.NONE))
    slow = small_deployment(overrides=SiteOverrides(CounterKind.SLOW))
    assert [c.number for c in without.customers] == [c.number for c in slow.customers]
    assert all((a.demand == b.demand).all() for a, b in zip(without.customers, slow.customers, strict=True))
    assert slow.settings[0].may_count and not without.settings[0].may_count


def test_requests_add_up_to_the_demand_of_the_customers() -> None:
    deployment = small_deployment(gateways=60)
    requested_units = sum(arrival.true_units for arrival in deployment.arrivals())
    demand = sum(float(customer.demand.sum()) for customer in deployment.customers) * DEMAND_STEP_S
    assert requested_units == pytest.approx(demand, rel=0.1)


def test_a_customers_requests_reach_only_its_entry_gateways() -> None:
    deployment = small_deployment(overrides=SiteOverrides(entry_share=Range(0.2, 0.4)))
    customer = deployment.customers[0]
    allowed = {(customer.first_gateway + i) % GATEWAYS for i in range(customer.entry_gateways)}
    random = Random(1)
    assert {customer.pick_gateway(i / 50, random, GATEWAYS) for i in range(250)} == allowed


def test_estimated_units_stay_between_one_and_the_maximum() -> None:
    deployment = small_deployment(overrides=SiteOverrides(post_paid=True))
    arrivals = list(deployment.arrivals())
    assert any(a.estimated_units != a.true_units for a in arrivals)
    assert all(1 <= a.estimated_units <= deployment.settings[0].max_units for a in arrivals)


@pytest.mark.parametrize(("rule", "expected"), [("one", [1, 1]), ("class", [1, 3])])
def test_unit_rules_without_random_draws(rule: str, expected: list[int]) -> None:
    site = Section({"fam": {"units": rule, "most_units": 6}}, "test.toml")
    units = draw_units(site, [0.02, 0.06], stream=None)  # type: ignore[arg-type]
    assert [u.mean for u in units] == expected
    assert [u.maximum for u in units] == expected


def test_clients_retry_up_to_their_maximum_and_honour_retry_after() -> None:
    clients = ClientBehaviour(2, 1.0, "exp", 0.1, 1.0, 0.0, True)
    random = Random(1)
    assert [clients.retry_delay(i, 0.0, random) for i in range(3)] == [0.1, 0.2, None]
    assert clients.retry_delay(0, 0.7, random) == 0.7
    assert replace(clients, retry_after_share=0.0).retry_delay(1, 0.7, random) == 0.2
    assert replace(clients, backoff="fixed").retry_delay(1, 0.0, random) == 0.1


# Figures


def test_only_first_tries_count_towards_the_worth_offered() -> None:
    deployment = small_deployment()
    plan = replace(deployment.plans[0], rate=1.0, burst=2.0, price=1.0, excess_worth=0.25)
    customer = SimpleNamespace(number=1, plan=plan, plan_index=0)
    figures = FigureCollector(replace(deployment, customers=[customer]))  # type: ignore[list-item]

    def arrive(retry_number: int) -> None:
        request = api.Request("r", 0, 0, 1, 2, 9.0, 2.0)
        figures.record_arrival(
            0.0, SimpleNamespace(retry_number=retry_number, customer=customer, request=request)
        )  # type: ignore[arg-type]

    arrive(0)
    arrive(1)
    arrive(2)
    worth = deployment.classes[0].worth * 2.0
    assert figures.plans[0].offered == worth
    assert (figures.tries, figures.first_tries) == (3, 1)
    arrive(0)
    assert figures.plans[0].offered == pytest.approx(1.25 * worth)


def test_the_figures_of_a_run_without_requests_are_zero() -> None:
    figures = FigureCollector(small_deployment()).summary()
    assert (figures.tries, figures.over_quota, figures.served, figures.net) == (0, 0.0, 0.0, 0.0)


def test_means_need_at_least_one_run() -> None:
    with pytest.raises(ValueError, match="no simulation runs"):
        mean_figures([])


# Simulated runs


def test_admitting_all_exceeds_quotas_and_refuses_none() -> None:
    figures = Simulation(small_deployment(), AdmitAll, 3).run()
    assert figures.over_quota > 0
    assert figures.refused == 0
    assert figures.tries == figures.first_tries > 0


def test_refusing_all_serves_nothing_and_refuses_with_room() -> None:
    figures = Simulation(small_deployment(), RefuseAll, 3).run()
    assert figures.served == figures.over_quota == 0
    assert figures.refused == 1
    assert figures.refused_with_room > 0.9


def test_admitting_by_the_true_bucket_never_exceeds_quotas() -> None:
    deployment = small_deployment()
    simulation = Simulation(deployment, RefuseAll, 3)
    simulation.gateways = [AdmitByTrueBucket(simulation.buckets) for _ in simulation.gateways]
    figures = simulation.run()
    assert figures.over_quota == 0
    assert 0.5 < figures.served < 1.3
    assert 0 < figures.refused < 1


def tries_of_refused_requests(elsewhere_share: float) -> list[tuple[Arrival, int]]:
    """All tries, with their gateways, of a run in which every request is refused and retried."""
    deployment = small_deployment()
    deployment.clients = replace(deployment.clients, max_retries=2, elsewhere_share=elsewhere_share)
    simulation = Simulation(deployment, RefuseAll, 3)
    simulation.run()
    return [(client_try.arrival, client_try.gateway) for client_try in simulation.tries.values()]


def test_a_retry_goes_to_the_same_gateway_unless_the_load_balancer_moves_it() -> None:
    def count_pairs(tries: list[tuple[Arrival, int]]) -> int:
        return len({(id(arrival), gateway) for arrival, gateway in tries})

    staying, moving = tries_of_refused_requests(0.0), tries_of_refused_requests(1.0)
    assert count_pairs(staying) == len({id(arrival) for arrival, _ in staying})
    assert count_pairs(moving) > 1.5 * len({id(arrival) for arrival, _ in moving})


def test_the_true_units_correct_the_bucket_once() -> None:
    deployment = small_deployment(overrides=SiteOverrides(CounterKind.NONE, post_paid=True))
    simulation = Simulation(deployment, AdmitAll, 3)
    customer: Customer = deployment.customers[0]
    bucket = simulation.buckets[customer.number]
    simulation._start_try(
        Arrival(0.0, customer, 0, true_units=4.0, estimated_units=1.0), customer.first_gateway, 0
    )
    (client_try,) = simulation.tries.values()
    before = bucket.level_at(0.0)
    assert simulation._correct_units(client_try) == 4.0
    assert simulation._correct_units(client_try) == 4.0
    assert bucket.level_at(0.0) == before - 3.0


def test_the_real_gateway_with_the_same_seed_gives_the_same_figures() -> None:
    overrides = SiteOverrides(
        CounterKind.SLOW, meter=True, entry_share=WIDE_ENTRY_SHARE, excess_cost=1.5, post_paid=True
    )
    spec = RunSpec(DEFAULT_SITE, 5, GATEWAYS, SECONDS, overrides)
    first, second = simulate(spec), simulate(spec)
    assert first == second
    assert first.served > 0
    assert first.counter_calls > 0
    assert simulate(replace(spec, seed=6)) != first


def test_the_real_gateway_lies_between_refusing_all_and_admitting_all() -> None:
    deployment = small_deployment()
    real = Simulation(deployment, Gateway, 3).run()
    admitting_all = Simulation(small_deployment(), AdmitAll, 3).run()
    assert real.served > 0
    assert real.over_quota < admitting_all.over_quota


def test_runs_in_several_processes_give_the_same_figures_as_in_one() -> None:
    specs = [RunSpec(DEFAULT_SITE, seed, 4, 2.0, SiteOverrides()) for seed in (1, 2)]
    assert list(simulate_all(specs, 2)) == list(simulate_all(specs, 1))


# Site files and the command


def edited_site(tmp_path: Path, pattern: str, replacement: str) -> Path:
    text, count = re.subn(pattern, replacement, DEFAULT_SITE.read_text(), count=1, flags=re.MULTILINE)
    assert count == 1
    path = tmp_path / "wrong.toml"
    path.write_text(text)
    return path


@pytest.mark.parametrize(
    ("pattern", "replacement", "message"),
    [
        (r"^rate = .*", 'rate = "fast"', r"wrong.toml: fam.plan\[0\].rate: 'fast' is neither a number"),
        (
            r"^rate = .*",
            "rate = [3, 1]",
            r"fam.plan\[0\].rate: \[3, 1\] is negative or not in ascending order",
        ),
        (r"^rate = .*", "rate = 0", r"fam.plan\[0\].rate: 0 must be above 0"),
        (r"^rate = .*", "", r"fam.plan\[0\].rate: a missing value is neither a number"),
        (r"^units = .*", 'units = "weight"', "fam.units: 'weight' is not one of: one, class"),
        (r"^counter = .*", "counter = 1", "fam.counter: 1 is neither true nor false"),
        (r"^work_ms = .*", "work_ms = true", r"class\[0\].work_ms: True is neither a number"),
        (r"^aim_ms = .*", "aim_ms = 5000", r"wrong.toml: classes\[0\].aim: 5.0 is not within"),
        (r"^\[clients\]", "[customers]", "wrong.toml: clients: a table is needed"),
        (r"\[\[tenant\]\]\nname = .*\nshare = .*", "", "fam.plan: 3 plans for 2 tenants"),
        (r"^price = .*", "price = [1, 2]", r"fam.plan\[0\].price: \[1, 2\] must be a single number"),
        (r"^name = .*", "name = 4", r"class\[0\].name: 4 is not a string"),
        (r"^units", "units units", "wrong.toml: "),
    ],
)
def test_an_invalid_entry_of_a_site_file_is_named(
    tmp_path: Path, pattern: str, replacement: str, message: str
) -> None:
    path = edited_site(tmp_path, pattern, replacement)
    with pytest.raises(SiteError, match=message) as caught:
        draw_deployment(path, 1, 4, duration=2.0)
    assert "\n" not in str(caught.value)


def test_a_missing_site_file_is_named(tmp_path: Path) -> None:
    with pytest.raises(SiteError, match="none.toml: No such file"):
        read_site(tmp_path / "none.toml")


def test_the_grid_has_each_scenario_once() -> None:
    found = list(scenarios(GridAxes()))
    assert len(found) == len({scenario.name for scenario in found}) == 3 * 2 * 2 * 3 * 2
    assert len({scenario.overrides for scenario in found}) == len(found)


def command(*arguments: str) -> Result:
    return CliRunner().invoke(main, arguments)


SMALL = ("--gateways", "4", "--seconds", "2", "--processes", "1")


def test_play_prints_a_line_per_run_and_the_means(tmp_path: Path) -> None:
    report = tmp_path / "runs.json"
    result = command("play", str(DEFAULT_SITE), "--seeds", "2", *SMALL, "--json", str(report))
    assert result.exit_code == 0, result.output
    lines = result.output.splitlines()
    assert [line.split("over_quota")[0].strip() for line in lines] == ["seed 1", "seed 2", "mean of 2"]
    results = json.loads(report.read_text())
    assert [entry["seed"] for entry in results] == [1, 2]
    assert f"over_quota {results[0]['figures']['over_quota']:.4f}" in lines[0]


def test_grid_simulates_only_the_chosen_scenarios() -> None:
    chosen = ("--counter", "slow", "--meter", "off", "--sets", "wide", "--excess-cost", "1.5")
    result = command("grid", "--draws", "1", *chosen, *SMALL)
    assert result.exit_code == 0, result.output
    assert [line.split("over_quota")[0].split()[-1] for line in result.output.splitlines()] == [
        "before",
        "after",
    ]


def test_an_invalid_argument_or_file_ends_with_exit_code_2_and_one_line(tmp_path: Path) -> None:
    missing = command("play", str(tmp_path / "none.toml"), *SMALL)
    assert (missing.exit_code, missing.output.count("\n")) == (2, 1)
    assert "none.toml: No such file" in missing.output
    assert command("play", str(DEFAULT_SITE), "--seeds", "0").exit_code == 2
    assert "in this order" in command("play", str(DEFAULT_SITE), "--sets", "0.9", "0.1", *SMALL).output
    report = ("--json", str(tmp_path / "none" / "runs.json"))
    assert command("play", str(DEFAULT_SITE), *SMALL, *report).exit_code == 2


def test_an_interrupt_keeps_and_prints_the_finished_runs(
    monkeypatch: pytest.MonkeyPatch, tmp_path: Path
) -> None:
    def interrupted(spec: RunSpec) -> RunFigures:
        if spec.seed == 3:
            raise KeyboardInterrupt
        return simulate(spec)

    monkeypatch.setattr("testbed.quota.plays.simulate", interrupted)
    report = tmp_path / "runs.json"
    result = command("play", str(DEFAULT_SITE), "--seeds", "5", *SMALL, "--json", str(report))
    assert result.exit_code == 0
    assert "mean of 2" in result.output
    assert "interrupted: 2 of 5 runs finished" in result.output
    assert len(json.loads(report.read_text())) == 2
