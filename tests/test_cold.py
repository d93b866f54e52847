"""Cold servers: what all gateways together send to one stays within what the settings allow, and chance.

Many instances of the module in fake time. A server that has started does `cold_share` of its work at first
and is warm after `warm_after`; it falls when more is sent within `fall_window` than `fall_multiple` times
what it can do. N being that many requests, 2 x root of N + 2 more are put down to chance.
"""

from __future__ import annotations

import heapq
import math
import random
from dataclasses import replace

import pytest
from helpers import SETTINGS, full_list, server

from coralvale import Gateway
from coralvale import interface as api

CAPACITY = 10.0  # requests a second that a warm server of scale 1 can do
DELAY = 0.1  # s that one takes
LOAD = 0.9  # of what all servers can do when they are warm
BUSY = 5.0  # times what another gateway sees comes to one of ten
COLD = replace(SETTINGS, cold_share=0.19, warm_after=14.0, fall_multiple=3.0, fall_window=2.0)
PLAN = api.Plan("open", rate=1e6, burst=1e6)


class Fleet:
    """Gateways and servers on one clock; `sent` holds when each server was sent something."""

    def __init__(self, gateways: int, servers: int, seed: int) -> None:
        self.random, self.now, self.serial = random.Random(seed), 1000.0, 0
        settings = replace(COLD, gateways=gateways, plans=(PLAN,))
        self.gateways = [Gateway(replace(settings, index=i), seed * 1000 + i) for i in range(gateways)]
        self.weights = [BUSY if i % 10 == 0 else 1.0 for i in range(gateways)]
        self.servers = {f"s{i}": server(f"s{i}") for i in range(servers)}
        self.sent: dict[str, list[float]] = {name: [] for name in self.servers}
        self.failing: dict[str, float] = {}  # servers that answer errors, and until when
        self.due: list[tuple[float, int, int, api.Event]] = []
        for i in range(gateways):
            self.tell(i)

    def tell(self, gateway: int) -> None:
        self.feed(gateway, full_list(*self.servers.values()))

    def later(self, delay: float, gateway: int, event: api.Event) -> None:
        self.serial += 1
        heapq.heappush(self.due, (self.now + delay, self.serial, gateway, event))

    def feed(self, gateway: int, event: api.Event) -> None:
        for action in self.gateways[gateway].handle(self.now, event):
            if isinstance(action, api.SetTimer):
                self.later(action.delay, gateway, api.TimerFired(action.token))
            elif isinstance(action, api.Send):
                self.sent[action.server].append(self.now)
                held = self.gateways[gateway].requests[action.request]
                fails = self.now < self.failing.get(action.server, 0.0)
                outcome = api.Outcome.ERROR if fails else api.Outcome.OK
                number = len(held.attempts) - 1
                done = api.AttemptDone(action.request, number, outcome, DELAY, finished=not fails)
                self.later(0.01 if fails else DELAY, gateway, done)

    def run(self, seconds: float) -> None:
        until, gap = self.now + seconds, 1 / (LOAD * CAPACITY * len(self.servers))
        arrives = self.now
        while (arrives := arrives + self.random.expovariate(1 / gap)) < until:
            while self.due and self.due[0][0] <= arrives:
                self.now, _, gateway, event = heapq.heappop(self.due)
                self.feed(gateway, event)
            self.now, self.serial = arrives, self.serial + 1
            (gateway,) = self.random.choices(range(len(self.gateways)), self.weights)
            self.feed(gateway, api.Request(f"r{self.serial}", 0, 0, 1, 1, self.now + 4.0))
        self.now = until

    def start(self, names: list[str]) -> None:
        for name in names:
            self.servers[name] = server(name, started_at=self.now)

    def beyond(self, name: str, started: float) -> float:
        """The most that any window had over N and its chance; at nought or less the server stands."""
        times, worst = [t for t in self.sent[name] if t >= started], -math.inf
        for i, begin in enumerate(times):
            if begin - started >= COLD.warm_after:
                break
            count = sum(1 for t in times[i:] if t < begin + COLD.fall_window)
            warmth = COLD.cold_share + (1 - COLD.cold_share) * (begin - started) / COLD.warm_after
            allowed = COLD.fall_multiple * warmth * CAPACITY * COLD.fall_window
            worst = max(worst, count - (allowed + 2 * math.sqrt(allowed) + 2))
        return worst


@pytest.mark.parametrize("gateways", [3, 20, 30, 200])
@pytest.mark.parametrize("case", ["one", "half", "all", "errors", "restarted", "a gateway anew"])
def test_all_gateways_together_keep_to_what_a_cold_server_bears(gateways: int, case: str) -> None:
    servers = 24
    fleet = Fleet(gateways, servers, seed=gateways)
    fleet.run(4.0)
    started = fleet.now
    cold = [f"s{i}" for i in range({"half": servers // 2, "all": servers}.get(case, 1))]
    fleet.start(cold)
    if case == "errors":  # what fails elsewhere is tried again, and must not end up there
        fleet.failing = {f"s{i}": started + 8.0 for i in range(1, servers // 2)}
    for i in range(gateways):
        if case != "restarted" or i % 2:
            fleet.tell(i)
    if case == "a gateway anew":  # it knows nothing but the list
        fleet.gateways[0] = Gateway(fleet.gateways[0].settings, 1)
        fleet.tell(0)
    fleet.run(3.0)
    for i in range(gateways):
        fleet.tell(i)  # half of them had a list from before the start until now
    fleet.run(8.0)
    assert max(fleet.beyond(name, started) for name in cold) <= 0
    assert case == "all" or sum(len(fleet.sent[name]) for name in cold) > 0
