"""The soak test: its plans, its command and a few short runs with real gateways.

Longer runs are started by hand. A run that fails here leaves its record and logs in pytest's temporary
directory; `python -m testbed.soak` repeats it with the same seed and seconds.
"""

from __future__ import annotations

import asyncio
import signal
import subprocess
import sys
from dataclasses import replace
from pathlib import Path

import pytest
from helpers import SETTINGS

from coralvale import Gateway
from coralvale.net.counter import STALL_TIMEOUT_S
from coralvale.net.node import RESPONSE_MARGIN_S
from coralvale.restrictor import WIDE_SET_MIN_GATEWAYS
from coralvale.shared_bucket import COUNTER_ENTRY_ROTATION_S
from coralvale.shared_quota import MIN_TIME_LEFT_IN_TIMEOUTS, POOL_KEY_OFFSET, ROTATION_PHASES
from testbed.soak.__main__ import build
from testbed.soak.clients import TIMEOUT_SHARES
from testbed.soak.gateways import ROOT, GatewayProcess
from testbed.soak.plan import CLIENT_TIMEOUTS_S, MAX_COUNTER_TIMEOUT_S, MAX_STALL_S, Fault, draw_plan
from testbed.soak.pushes import choose_customer, next_replacement
from testbed.soak.run import (
    CERTAIN_REPLY_TIME_S,
    LATE_REPLY_TIMEOUTS,
    MIN_RECORDED_LAG_S,
    Run,
)
from testbed.soak.series import run_seed
from testbed.standins.counter import TRUSTED_REPLY_TIME_S
from testbed.standins.discovery import Agent

SEEDS = (3, 4, 8, 11, 20, 27, 25, 93)  # the last two have a push against a ceiling
SECONDS = 5.0
COMMAND = [sys.executable, "-m", "testbed.soak"]


@pytest.fixture(scope="module", autouse=True)
def built() -> None:
    build()


def test_the_same_seed_draws_the_same_plan_and_all_faults_occur() -> None:
    plans = [draw_plan(seed, 8.0) for seed in range(60)]
    assert plans == [draw_plan(seed, 8.0) for seed in range(60)]
    events = [event for plan in plans for event in plan.events]
    assert {event.fault for event in events} == set(Fault)
    assert all(event.duration <= MAX_STALL_S for event in events if event.fault is Fault.STALL)
    assert all(
        event.target != 0 for event in events if event.fault in (Fault.RESTART, Fault.KILL)
    )  # gateway 0 must run throughout, as its units on the counter are checked


def test_the_kill_in_a_planned_restart_comes_as_early_as_allowed() -> None:
    assert {round(plan.kill_after, 3) for plan in (draw_plan(seed, 8.0) for seed in range(60))} == {
        1.4,
        1.9,
        2.7,
        3.7,
    }


def test_in_most_pushes_the_counter_works_while_the_pool_is_used_up_and_replaced() -> None:
    # Guards against pushes that could not pass a ceiling, whatever the gateways do.
    plans = [plan for plan in (draw_plan(seed, 8.0) for seed in range(200)) if plan.push]
    assert 20 < len(plans) < 60 and {plan.gateways for plan in plans} == {WIDE_SET_MIN_GATEWAYS}
    undisturbed = 0
    for plan in plans:
        assert plan.push and 0.0 < plan.push.needs_counter_from < plan.push.replaced_after < plan.seconds
        faults = [event for event in plan.events if event.fault is Fault.COUNTER_FAULTS]
        undisturbed += all(event.at + event.duration < plan.push.needs_counter_from for event in faults)
    assert undisturbed > len(plans) / 2


@pytest.mark.parametrize("after", [0.0, 12.3, 1.7e9])
def test_a_pushing_customers_entry_is_replaced_at_about_the_wanted_time(after: float) -> None:
    customer = choose_customer(after)
    replaced_at = next_replacement(customer, after)
    assert after < replaced_at < after + 1.1 * COUNTER_ENTRY_ROTATION_S / ROTATION_PHASES
    shared_quota = Gateway(SETTINGS, 1).admission.shared_quota
    names = [
        shared_quota._current_counter_entry(at, customer + POOL_KEY_OFFSET)[0]
        for at in (replaced_at - 0.001, replaced_at + 0.001)
    ]
    assert names[0] != names[1]


@pytest.mark.parametrize("client_timeout", CLIENT_TIMEOUTS_S)
def test_a_gateway_has_not_given_up_a_call_whose_result_is_recorded_as_certain(client_timeout: float) -> None:
    # Guards against a false COUNTER_MISMATCH: lag before the call is read and after its reply is written.
    timeout = replace(draw_plan(1, SECONDS), client_timeout=client_timeout).counter_timeout
    unrecorded_lag = 2 * MIN_RECORDED_LAG_S
    assert CERTAIN_REPLY_TIME_S + unrecorded_lag < timeout <= MAX_COUNTER_TIMEOUT_S
    assert LATE_REPLY_TIMEOUTS * timeout < TRUSTED_REPLY_TIME_S < STALL_TIMEOUT_S


@pytest.mark.parametrize("client_timeout", CLIENT_TIMEOUTS_S)
def test_most_requests_have_the_time_that_a_call_to_the_counter_needs(client_timeout: float) -> None:
    # Guards against runs that call the counter for no request, or few.
    timeout = replace(draw_plan(1, SECONDS), client_timeout=client_timeout).counter_timeout
    shortest, longest = (share * client_timeout - RESPONSE_MARGIN_S for share in TIMEOUT_SHARES)
    needed = MIN_TIME_LEFT_IN_TIMEOUTS * timeout
    assert (longest - needed) / (longest - shortest) > 0.7


@pytest.mark.parametrize("seed", SEEDS)
def test_real_gateways_violate_no_rule(tmp_path: Path, seed: int) -> None:
    result = run_seed(seed, SECONDS, tmp_path / str(seed))
    assert result.failure is None
    assert result.responses > 100 and result.starts >= 3
    assert [str(violation) for violation in result.violations] == []


def test_a_run_that_is_cut_short_while_it_starts_ends_what_it_has_started(tmp_path: Path) -> None:
    # Guards against an agent that has no listener yet, by which the record of such a run was lost.
    async def cut_short() -> None:
        run = Run(draw_plan(1, SECONDS), tmp_path)
        run.agents.append([Agent(run.registry, 0)])
        gateway = GatewayProcess(0, tmp_path, lambda: {}, run.add_entry)
        run.gateways.append(gateway)
        await gateway.start()
        assert gateway.is_running
        await run.close()
        assert not gateway.is_running

    asyncio.run(cut_short())


@pytest.mark.parametrize("options", [["--seeds", "0"], ["--seconds", "x"], ["--jobs", "99"], ["--no-such"]])
def test_a_wrong_option_is_reported_in_one_line(options: list[str]) -> None:
    result = subprocess.run([*COMMAND, *options], cwd=ROOT, capture_output=True, text=True, check=False)
    assert result.returncode == 2
    assert result.stderr.startswith("soak: ") and result.stderr.count("\n") == 1


def test_an_interrupt_stops_the_run_and_keeps_its_record(tmp_path: Path) -> None:
    command = [*COMMAND, "--seconds", "60", "--records", str(tmp_path)]
    process = subprocess.Popen(command, cwd=ROOT, stdout=subprocess.PIPE, text=True)
    log = tmp_path / "1/gateway2.log"
    while not (log.exists() and log.with_suffix(".json").exists()):
        assert process.poll() is None
    process.send_signal(signal.SIGINT)
    out, _ = process.communicate(timeout=60)
    assert process.returncode == 130 and "interrupted after 0 of 1 runs" in out
    assert (tmp_path / "1/record.jsonl").stat().st_size > 0
