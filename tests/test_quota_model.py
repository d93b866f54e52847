"""The quota model: its services, its draws, its bookkeeping and its command."""

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
from testbed.quota.customers import TICK, Customer
from testbed.quota.deployment import Arrival, Clients, Day, draw_day
from testbed.quota.grid import DEFAULT_SITE, Choices, kinds
from testbed.quota.plays import Play, mean_figures, play, play_all
from testbed.quota.report import DayFigures, Figures
from testbed.quota.services import Counter, Meter, QuotaStore
from testbed.quota.simulation import Simulation
from testbed.quota.site import Range, Section, SiteError, read_site
from testbed.quota.units import draw_units
from testbed.quota.variation import CounterKind, Variation

GATEWAYS = 12
SECONDS = 5.0
WIDE = Range(0.8, 1.0)


def small_day(
    seed: int = 3, variation: Variation | None = None, site: Path = DEFAULT_SITE, gateways: int = GATEWAYS
) -> Day:
    return draw_day(site, seed, gateways, variation or Variation(CounterKind.NONE, sets=WIDE), SECONDS)


class AdmitAll:
    """Sends every request to the first host."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        pass

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        return [api.Send(event.id, "host-0", now + 10.0)] if isinstance(event, api.Request) else []


class RefuseAll:
    """Refuses every request, without advice."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        pass

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        return [api.Refuse(event.id)] if isinstance(event, api.Request) else []


@dataclass
class GrantByTrueStore:
    """Admits what the true store of the simulation holds; no real gateway can see it."""

    stores: dict[int, QuotaStore]

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        if not isinstance(event, api.Request):
            return []
        if self.stores[event.customer].would_hold(now, event.units):
            return [api.Send(event.id, "host-0", now + 10.0)]
        return [api.Refuse(event.id)]


# The true store


def test_a_store_takes_what_it_holds_and_fills_at_its_rate() -> None:
    store = QuotaStore(rate=2.0, burst=4.0, level=4.0)
    assert store.take(0.0, 3.0)
    assert not store.take(0.0, 2.0)
    assert store.level_at(0.0) == 1.0
    assert store.take(0.5, 2.0)
    assert store.level_at(0.5) == 0.0
    assert store.level_at(100.0) == 4.0


def test_a_try_beyond_the_quota_takes_nothing() -> None:
    store = QuotaStore(rate=1.0, burst=4.0, level=1.0)
    assert not store.take(0.0, 2.0)
    assert store.level_at(0.0) == 1.0


def test_settling_takes_the_difference_and_may_go_below_nothing() -> None:
    store = QuotaStore(rate=1.0, burst=4.0, level=2.0)
    assert store.take(0.0, 2.0)
    store.settle(3.0)
    assert store.level_at(0.0) == -3.0
    assert not store.take(3.0, 1.0)
    store.settle(-2.0)
    assert store.level_at(3.0) == 2.0


def test_a_limit_of_attempts_at_once_bounds_what_is_inside() -> None:
    store = QuotaStore(rate=0.0, burst=0.0, level=0.0, open_limit=2.0, open=1)
    assert store.take(0.0, 5.0)
    store.open = 2
    assert not store.take(0.0, 1.0)


# The counter


def test_calls_on_one_part_wait_in_turn() -> None:
    counter = Counter(parts=1, calls_per_second=100.0, delay=0.005, queue_limit=1.0)
    answers = [counter.add(0.0, 7, 2.0, 60.0) for _ in range(3)]
    assert [answer.at for answer in answers] == pytest.approx([0.015, 0.025, 0.035])
    assert [answer.total for answer in answers] == [2.0, 4.0, 6.0]


def test_calls_on_other_parts_do_not_wait() -> None:
    counter = Counter(parts=2, calls_per_second=100.0, delay=0.0, queue_limit=1.0)
    assert counter.add(0.0, 0, 1.0, 60.0).at == counter.add(0.0, 1, 1.0, 60.0).at == pytest.approx(0.02)


def test_a_call_is_turned_away_and_adds_nothing_when_the_line_is_long() -> None:
    counter = Counter(parts=1, calls_per_second=100.0, delay=0.0, queue_limit=0.015)
    answers = [counter.add(0.0, 7, 1.0, 60.0) for _ in range(3)]
    assert [answer.total for answer in answers] == [1.0, 2.0, None]
    assert counter.turned_away == 1
    assert counter.add(1.0, 7, 0.0, 60.0).total == 2.0


def test_a_name_is_forgotten_after_the_lifetime_of_its_first_call() -> None:
    counter = Counter(parts=1, calls_per_second=1000.0, delay=0.0, queue_limit=1.0)
    counter.add(0.0, 7, 3.0, 10.0)
    assert counter.add(9.9, 7, 1.0, 60.0).total == 4.0
    assert counter.add(10.0, 7, 1.0, 60.0).total == 1.0


# The meter


def test_a_reading_is_known_only_after_its_period_and_the_delay() -> None:
    meter = Meter(period=1.0, delay=0.5)
    meter.note(0.2, 6.0)
    assert meter.read(1.4, rate=4.0) == 0.0
    assert meter.read(1.6, rate=4.0) == 1.5
    assert meter.read(2.6, rate=4.0) == 0.0


def test_a_meter_says_nothing_of_a_plan_without_a_rate() -> None:
    meter = Meter(period=1.0, delay=0.0)
    meter.note(0.2, 6.0)
    assert meter.read(1.5, rate=0.0) == 0.0


# Draws


def test_the_same_seed_draws_the_same_day_and_another_does_not() -> None:
    first, again, other = (list(small_day(seed).arrivals()) for seed in (3, 3, 4))
    assert [(a.at, a.units, a.customer.number) for a in first] == [
        (a.at, a.units, a.customer.number) for a in again
    ]
    assert [a.at for a in first] != [a.at for a in other]


def test_the_counter_leaves_the_customers_as_they_are() -> None:
    without = small_day(variation=Variation(CounterKind.NONE))
    slow = small_day(variation=Variation(CounterKind.SLOW))
    assert [c.number for c in without.customers] == [c.number for c in slow.customers]
    assert all((a.demand == b.demand).all() for a, b in zip(without.customers, slow.customers, strict=True))
    assert slow.settings[0].may_count and not without.settings[0].may_count


def test_requests_come_at_the_demand_of_the_customers() -> None:
    day = small_day(gateways=60)
    asked = sum(arrival.units for arrival in day.arrivals())
    demand = sum(float(customer.demand.sum()) for customer in day.customers) * TICK
    assert asked == pytest.approx(demand, rel=0.1)


def test_a_customers_requests_stay_in_its_set() -> None:
    day = small_day(variation=Variation(sets=Range(0.2, 0.4)))
    customer = day.customers[0]
    allowed = {(customer.first + i) % GATEWAYS for i in range(customer.spread)}
    random = Random(1)
    assert {customer.gateway(i / 50, random, GATEWAYS) for i in range(250)} == allowed


def test_guesses_stay_between_one_unit_and_the_most() -> None:
    day = small_day(variation=Variation(settles_after=True))
    arrivals = list(day.arrivals())
    assert any(a.named != a.units for a in arrivals)
    assert all(1 <= a.named <= day.settings[0].max_units for a in arrivals)


@pytest.mark.parametrize(("rule", "expected"), [("one", [1, 1]), ("class", [1, 3])])
def test_units_by_a_rule_that_leaves_nothing_to_chance(rule: str, expected: list[int]) -> None:
    site = Section({"fam": {"units": rule, "most_units": 6}}, "test.toml")
    units = draw_units(site, [0.02, 0.06], draw=None)  # type: ignore[arg-type]
    assert [u.mean for u in units] == expected
    assert [u.most for u in units] == expected


def test_clients_retry_so_often_and_wait_as_they_were_told() -> None:
    clients = Clients(2, 1.0, "exp", 0.1, 1.0, 0.0, True)
    random = Random(1)
    assert [clients.retry_wait(i, 0.0, random) for i in range(3)] == [0.1, 0.2, None]
    assert clients.retry_wait(0, 0.7, random) == 0.7
    assert replace(clients, honours_advice=0.0).retry_wait(1, 0.7, random) == 0.2
    assert replace(clients, backoff="fixed").retry_wait(1, 0.0, random) == 0.1


# Figures


def test_what_is_offered_goes_by_first_tries_only() -> None:
    day = small_day()
    plan = replace(day.plans[0], rate=1.0, burst=2.0, price=1.0, excess_worth=0.25)
    customer = SimpleNamespace(number=1, plan=plan, plan_index=0)
    figures = Figures(replace(day, customers=[customer]))  # type: ignore[list-item]

    def arrive(number: int) -> None:
        request = api.Request("r", 0, 0, 1, 2, 9.0, 2.0)
        figures.arrived(0.0, SimpleNamespace(number=number, customer=customer, request=request))  # type: ignore[arg-type]

    arrive(0)
    arrive(1)
    arrive(2)
    worth = day.classes[0].worth * 2.0
    assert figures.plans[0].offered == worth
    assert (figures.tries, figures.first_tries) == (3, 1)
    arrive(0)
    assert figures.plans[0].offered == pytest.approx(1.25 * worth)


def test_a_day_without_requests_has_figures_of_nought() -> None:
    figures = Figures(small_day()).summary()
    assert (figures.tries, figures.over_quota, figures.served, figures.net) == (0, 0.0, 0.0, 0.0)


def test_means_need_a_day() -> None:
    with pytest.raises(ValueError, match="no day"):
        mean_figures([])


# Plays


def test_admitting_all_goes_over_quotas_and_refuses_none() -> None:
    figures = Simulation(small_day(), AdmitAll, 3).run()
    assert figures.over_quota > 0
    assert figures.refused == 0
    assert figures.tries == figures.first_tries > 0


def test_refusing_all_serves_nothing_and_refuses_with_room() -> None:
    figures = Simulation(small_day(), RefuseAll, 3).run()
    assert figures.served == figures.over_quota == 0
    assert figures.refused == 1
    assert figures.refused_with_room > 0.9


def test_granting_by_the_true_store_is_never_over_quota() -> None:
    day = small_day()
    simulation = Simulation(day, RefuseAll, 3)
    simulation.gateways = [GrantByTrueStore(simulation.stores) for _ in simulation.gateways]
    figures = simulation.run()
    assert figures.over_quota == 0
    assert 0.5 < figures.served < 1.3
    assert 0 < figures.refused < 1


def retries_of(elsewhere: float) -> list[tuple[Arrival, int]]:
    """Gateways of all tries of a play in which all are refused and come again."""
    day = small_day()
    day.clients = replace(day.clients, retries=2, elsewhere=elsewhere)
    simulation = Simulation(day, RefuseAll, 3)
    simulation.run()
    return [(attempt.arrival, attempt.gateway) for attempt in simulation.tries.values()]


def test_a_retry_comes_back_to_the_same_gateway_unless_the_front_sends_it_elsewhere() -> None:
    def pairs(tries: list[tuple[Arrival, int]]) -> int:
        return len({(id(arrival), gateway) for arrival, gateway in tries})

    staying, moving = retries_of(0.0), retries_of(1.0)
    assert pairs(staying) == len({id(arrival) for arrival, _ in staying})
    assert pairs(moving) > 1.5 * len({id(arrival) for arrival, _ in moving})


def test_the_first_answer_settles_the_units_once() -> None:
    day = small_day(variation=Variation(CounterKind.NONE, settles_after=True))
    simulation = Simulation(day, AdmitAll, 3)
    customer: Customer = day.customers[0]
    store = simulation.stores[customer.number]
    simulation._arrive(Arrival(0.0, customer, 0, units=4.0, named=1.0), customer.first, 0)
    (attempt,) = simulation.tries.values()
    before = store.level_at(0.0)
    assert simulation._settle(attempt) == 4.0
    assert simulation._settle(attempt) == 4.0
    assert store.level_at(0.0) == before - 3.0


def test_the_real_module_with_the_same_seed_gives_the_same_figures() -> None:
    variation = Variation(CounterKind.SLOW, meter=True, sets=WIDE, excess_cost=1.5, settles_after=True)
    wanted = Play(DEFAULT_SITE, 5, GATEWAYS, SECONDS, variation)
    first, second = play(wanted), play(wanted)
    assert first == second
    assert first.served > 0
    assert first.counter_calls > 0
    assert play(replace(wanted, seed=6)) != first


def test_the_real_module_lies_between_the_two_extremes() -> None:
    day = small_day()
    real = Simulation(day, Gateway, 3).run()
    every = Simulation(small_day(), AdmitAll, 3).run()
    assert real.served > 0
    assert real.over_quota < every.over_quota


def test_plays_in_processes_give_the_same_as_in_one() -> None:
    plays = [Play(DEFAULT_SITE, seed, 4, 2.0, Variation()) for seed in (1, 2)]
    assert list(play_all(plays, 2)) == list(play_all(plays, 1))


# Site files and the command


def changed_site(tmp_path: Path, pattern: str, replacement: str) -> Path:
    text, count = re.subn(pattern, replacement, DEFAULT_SITE.read_text(), count=1, flags=re.MULTILINE)
    assert count == 1
    path = tmp_path / "wrong.toml"
    path.write_text(text)
    return path


@pytest.mark.parametrize(
    ("pattern", "replacement", "message"),
    [
        (r"^rate = .*", 'rate = "fast"', r"wrong.toml: fam.plan\[0\].rate: 'fast' is no number"),
        (r"^rate = .*", "rate = [3, 1]", r"fam.plan\[0\].rate: \[3, 1\] is not a range from 0 up"),
        (r"^rate = .*", "rate = 0", r"fam.plan\[0\].rate: 0 has to be above 0"),
        (r"^rate = .*", "", r"fam.plan\[0\].rate: nothing is no number"),
        (r"^units = .*", 'units = "weight"', "fam.units: 'weight' is not of one, class"),
        (r"^counter = .*", "counter = 1", "fam.counter: 1 is neither true nor false"),
        (r"^work_ms = .*", "work_ms = true", r"class\[0\].work_ms: True is no number"),
        (r"^aim_ms = .*", "aim_ms = 5000", r"wrong.toml: classes\[0\].aim: 5.0 is not within"),
        (r"^\[clients\]", "[customers]", "wrong.toml: clients: a table is needed"),
        (r"\[\[tenant\]\]\nname = .*\nshare = .*", "", "fam.plan: 3 plans for 2 tenants"),
        (r"^price = .*", "price = [1, 2]", r"fam.plan\[0\].price: \[1, 2\] has to be one number"),
        (r"^name = .*", "name = 4", r"class\[0\].name: 4 is no text"),
        (r"^units", "units units", "wrong.toml: "),
    ],
)
def test_a_mistake_in_a_site_file_is_named(
    tmp_path: Path, pattern: str, replacement: str, message: str
) -> None:
    path = changed_site(tmp_path, pattern, replacement)
    with pytest.raises(SiteError, match=message) as caught:
        draw_day(path, 1, 4, length=2.0)
    assert "\n" not in str(caught.value)


def test_a_missing_site_file_is_named(tmp_path: Path) -> None:
    with pytest.raises(SiteError, match="none.toml: No such file"):
        read_site(tmp_path / "none.toml")


def test_the_grid_has_all_kinds_once() -> None:
    found = list(kinds(Choices()))
    assert len(found) == len({kind.name for kind in found}) == 3 * 2 * 2 * 3 * 2
    assert len({kind.variation for kind in found}) == len(found)


def command(*arguments: str) -> Result:
    return CliRunner().invoke(main, arguments)


SMALL = ("--gateways", "4", "--seconds", "2", "--processes", "1")


def test_play_prints_a_line_a_day_and_the_means(tmp_path: Path) -> None:
    report = tmp_path / "days.json"
    result = command("play", str(DEFAULT_SITE), "--seeds", "2", *SMALL, "--json", str(report))
    assert result.exit_code == 0, result.output
    lines = result.output.splitlines()
    assert [line.split("over_quota")[0].strip() for line in lines] == ["seed 1", "seed 2", "mean of 2"]
    days = json.loads(report.read_text())
    assert [day["seed"] for day in days] == [1, 2]
    assert f"over_quota {days[0]['figures']['over_quota']:.4f}" in lines[0]


def test_grid_plays_only_the_kinds_asked_for() -> None:
    chosen = ("--counter", "slow", "--meter", "off", "--sets", "wide", "--excess-cost", "1.5")
    result = command("grid", "--draws", "1", *chosen, *SMALL)
    assert result.exit_code == 0, result.output
    assert [line.split("over_quota")[0].split()[-1] for line in result.output.splitlines()] == [
        "before",
        "after",
    ]


def test_a_wrong_argument_or_file_ends_with_two_and_one_line(tmp_path: Path) -> None:
    missing = command("play", str(tmp_path / "none.toml"), *SMALL)
    assert (missing.exit_code, missing.output.count("\n")) == (2, 1)
    assert "none.toml: No such file" in missing.output
    assert command("play", str(DEFAULT_SITE), "--seeds", "0").exit_code == 2
    assert "in this order" in command("play", str(DEFAULT_SITE), "--sets", "0.9", "0.1", *SMALL).output
    report = ("--json", str(tmp_path / "none" / "days.json"))
    assert command("play", str(DEFAULT_SITE), *SMALL, *report).exit_code == 2


def test_an_interrupt_keeps_and_prints_what_was_played(
    monkeypatch: pytest.MonkeyPatch, tmp_path: Path
) -> None:
    def interrupted(wanted: Play) -> DayFigures:
        if wanted.seed == 3:
            raise KeyboardInterrupt
        return play(wanted)

    monkeypatch.setattr("testbed.quota.plays.play", interrupted)
    report = tmp_path / "days.json"
    result = command("play", str(DEFAULT_SITE), "--seeds", "5", *SMALL, "--json", str(report))
    assert result.exit_code == 0
    assert "mean of 2" in result.output
    assert "interrupted: 2 of 5 days played" in result.output
    assert len(json.loads(report.read_text())) == 2
