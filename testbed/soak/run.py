"""One run of the soak: stand-ins, gateways and clients on one event loop, and the record of what they saw."""

from __future__ import annotations

import asyncio
import contextlib
import random
import time
from pathlib import Path
from typing import Any

from testbed.soak import record as r
from testbed.soak.clients import BOOKS_CUSTOMERS, PLANS, Clients, Request
from testbed.soak.gateways import GatewayProcess
from testbed.soak.plan import Event, Plan, Trouble
from testbed.standins.counter import Call, Counter, Fate
from testbed.standins.discovery import Agent, Listed, Registry
from testbed.standins.hosts import LEAST_SERVICE, MOST_SERVICE, Arrival, Host, Mode

SPREAD = 12  # gateways of a set, most of which do not run: so the shared bucket decides
COUNT_WAIT = 0.05  # s that a call to the counter may take
SLOW_CALL = 0.03  # s that a counter in trouble takes at the most
SURELY_IN_TIME = 0.04  # s from a call's arrival to its answer, within which no gateway has given up
CERTAIN_FATES = [Fate.ADDED, Fate.REFUSED, Fate.REFUSED]
KEY_WINDOW = 5.0  # s
LAG_EVERY = 0.01  # s between looks at how late the event loop is
LAG = 0.02  # s of lateness that is noted
READY = 15.0  # s that all gateways may take at the start
REST = 1.2  # s after the load until what is left is looked at
FLUSH_TRIES = 80  # requests of a customer by which a gateway may tell the counter what it has not told
FLUSH_CALLS = 2  # calls that tell all: the second is for what was in hand at the first
FLUSH_PAUSE = 0.25  # s between them, in which a gateway trusts a counter that was in trouble again
SOCKETS = 192  # descriptors of a gateway
CROWD = 110  # idle clients
NEW_CLIENTS = (0.2, 0.4)  # s after SIGTERM in which new connections go on coming


class Run:
    """Plays one plan; `folder` gets the gateways' configurations and logs."""

    def __init__(self, plan: Plan, folder: Path) -> None:
        self.plan, self.folder = plan, folder
        self.rng = random.Random(plan.seed + 1)
        conditions = r.Conditions(
            plan.seed, plan.drain_grace, KEY_WINDOW, plan.patience, tuple(BOOKS_CUSTOMERS)
        )
        self.record = r.Record(conditions)
        self.note = self.record.entries.append
        self.registry = Registry(plan.whole_lists, self._told)
        self.counter = Counter(self._fate, self._counter_delay, 3 * COUNT_WAIT, self._called)
        self.counter_trouble_until = 0.0
        self.hosts = [
            Host(f"h{i}", self._service_time, self._arrived, self._ended) for i in range(plan.hosts)
        ]
        self.gateways: list[GatewayProcess] = []
        self.agents: list[list[Agent]] = []  # by gateway: the one at first, and those of reloads
        self.counter_ports: list[list[int]] = []
        self.turns = [0] * plan.gateways  # which agent and counter port each configuration names
        self.tasks: set[asyncio.Task[None]] = set()

    async def play(self) -> r.Record:
        """Starts everything, plays the plan, looks at what is left, and ends everything."""
        try:
            await self._start()
            clients = Clients(self.gateways, SPREAD, self.plan.patience, self.rng, self.note)
            begin = time.monotonic()
            for event in self.plan.events:
                self._spawn(self._happen(begin, event))
            await clients.send_for(self.plan.seconds, self.plan.requests_per_second)
            while len(self.tasks) > 1:  # the last one watches the lag
                await asyncio.sleep(LAG_EVERY)
            await self._calm_down()
            await clients.finish()
            await self._flush(clients)
            await clients.finish()
            await asyncio.sleep(REST)
            self._look_at_rest()
            await self._end()
        finally:
            await self.close()
        return self.record

    # Start and end

    async def _start(self) -> None:
        self._spawn(self._watch_lag())
        for host in self.hosts:
            await host.start()
            self._list(host, "active")
        for index in range(self.plan.gateways):
            self.agents.append([Agent(self.registry, index) for _ in range(2)])
            for agent in self.agents[index]:
                await agent.start()
            self.counter_ports.append([await self.counter.listen(index) for _ in range(2)])
            gateway = GatewayProcess(index, self.folder, self._configuration_of(index), self.note)
            self.gateways.append(gateway)
            await gateway.start()
        async with asyncio.timeout(READY):
            while not all(gateway.is_ready for gateway in self.gateways):
                await asyncio.sleep(LAG_EVERY)

    def _configuration_of(self, index: int) -> Any:  # noqa: ANN401
        return lambda: configuration(
            self.plan,
            index,
            self.gateways[index].port,
            self.agents[index][self.turns[index] % 2].port,
            self.counter_ports[index][self.turns[index] % 2],
            self.registry.known(),
        )

    async def _calm_down(self) -> None:
        """Ends all troubles, and waits until each gateway that is to run is ready."""
        self.counter_trouble_until = 0.0
        for host in self.hosts:
            host.mode = Mode.SERVES
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(READY):
                while not all(gateway.is_ready for gateway in self.gateways):
                    await asyncio.sleep(LAG_EVERY)

    async def _flush(self, clients: Clients) -> None:
        """Has gateway 0 tell the counter what it has not told: each call carries that along."""
        untold = {customer: self._calls_of(customer) for customer in BOOKS_CUSTOMERS}
        for number in range(FLUSH_TRIES):
            for customer in untold:
                name = f"f{customer}-{number}"
                clients.start(Request(name, "safe", PLANS[0], customer, 1, self.plan.patience, None))
            await clients.finish()
            untold = {c: calls for c, calls in untold.items() if self._calls_of(c) < calls + FLUSH_CALLS}
            if not untold:
                return
            await asyncio.sleep(FLUSH_PAUSE)

    def _calls_of(self, customer: int) -> int:
        calls = (e for e in self.record.entries if isinstance(e, r.CounterCalled))
        return sum(1 for call in calls if call.name >> 24 == customer)

    def _look_at_rest(self) -> None:
        at_hosts = sum(len(host.writers) for host in self.hosts)
        for gateway in self.gateways:
            if gateway.is_ready:
                descriptors, memory = gateway.sample()
                self.note(
                    r.ProcessRested(
                        time.monotonic(), gateway.index, gateway.number, descriptors, memory, at_hosts
                    )
                )

    async def _end(self) -> None:
        for gateway in self.gateways:
            gateway.signal("SIGTERM")
        for gateway in self.gateways:
            await gateway.wait(self.plan.kill_after)
        await asyncio.sleep(LAG_EVERY)
        for gateway in self.gateways:
            gateway.note_failures()

    async def close(self) -> None:
        """Ends all that it started."""
        for task in list(self.tasks):
            task.cancel()
        for gateway in self.gateways:
            await gateway.close()
        for agent in (agent for agents in self.agents for agent in agents):
            agent.close()
        for host in self.hosts:
            host.vanish()
        self.counter.close()

    def _spawn(self, coroutine: Any) -> None:  # noqa: ANN401
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _watch_lag(self) -> None:
        """Notes where the event loop was late: what it saw then may have come earlier."""
        while True:
            begin = time.monotonic()
            await asyncio.sleep(LAG_EVERY)
            late = time.monotonic() - begin - LAG_EVERY
            if late > LAG:
                self.note(r.Delayed(begin, -1, time.monotonic()))

    # What the stand-ins see

    def _told(self, gateway: int, host: str, status: str) -> None:
        self.note(r.HostTold(time.monotonic(), gateway, host, status))  # type: ignore[arg-type]

    def _service_time(self) -> float:
        return self.rng.uniform(LEAST_SERVICE, MOST_SERVICE)

    def _arrived(self, host: Host, arrival: Arrival) -> None:
        patience = float(arrival.message.headers.get(b"x-timeout", b"0"))
        self.note(
            r.AttemptArrived(
                arrival.at, arrival.request, host.name, host.started, arrival.first_byte, patience
            )
        )

    def _ended(self, host: Host, arrival: Arrival, never_ran: bool) -> None:
        self.note(r.AttemptEnded(time.monotonic(), arrival.request, host.name, never_ran))

    def _fate(self) -> Fate:
        if time.monotonic() < self.counter_trouble_until:
            return self.rng.choice(list(Fate) if self.plan.uncertain_calls else CERTAIN_FATES)
        return Fate.ADDED

    def _counter_delay(self) -> float:
        """A counter in trouble is slow as well, so that clients leave while it is asked."""
        in_trouble = time.monotonic() < self.counter_trouble_until
        return self.rng.uniform(0.0, SLOW_CALL) if in_trouble else 0.0

    def _called(self, call: Call) -> None:
        is_certain = call.fate.is_certain and call.waited < SURELY_IN_TIME  # else the gateway gave up first
        self.note(
            r.CounterCalled(call.at, call.caller, call.name, call.amount, call.fate.is_added, is_certain)
        )

    # Troubles

    async def _happen(self, begin: float, event: Event) -> None:
        await asyncio.sleep(max(0.0, begin + event.at - time.monotonic()))
        gateway = self.gateways[event.target % len(self.gateways)]
        host = self.hosts[event.target % len(self.hosts)]
        if event.trouble is Trouble.RESTART:
            await self._restart(gateway)
        elif event.trouble is Trouble.KILL:
            await self._kill(gateway)
        elif event.trouble is Trouble.RELOAD:
            self._reload(gateway)
        elif event.trouble is Trouble.STALL:
            await gateway.stall(event.seconds)
        elif event.trouble is Trouble.CROWD:
            await self._crowd(gateway, event.seconds)
        elif event.trouble is Trouble.WATCHES_SILENT:
            self.registry.fall_silent()
        elif event.trouble is Trouble.DISCOVERY_DOWN:
            self.registry.go_down(event.seconds)
        elif event.trouble is Trouble.COUNTER_TROUBLE:
            self.counter_trouble_until = time.monotonic() + event.seconds
        else:
            await self._trouble_host(host, event)

    async def _restart(self, gateway: GatewayProcess) -> None:
        """A planned restart: SIGTERM, new connections for a while, the kill at its earliest, a new start."""
        if not gateway.is_ready:
            return
        gateway.new_connections_until = time.monotonic() + self.rng.uniform(*NEW_CLIENTS)
        gateway.signal("SIGTERM")
        kill_at = time.monotonic() + self.plan.kill_after
        if not await gateway.wait(self.plan.kill_after):
            gateway.signal("SIGKILL", planned=True)
            await gateway.wait(1.0)
        await asyncio.sleep(max(0.0, kill_at - time.monotonic()) * self.rng.choice((0.0, 1.0)))
        await gateway.start()

    async def _kill(self, gateway: GatewayProcess) -> None:
        if not gateway.is_running:
            return
        gateway.signal("SIGKILL")
        await gateway.wait(1.0)
        await gateway.start()

    def _reload(self, gateway: GatewayProcess) -> None:
        """A new configuration, which moves discovery and the counter."""
        self.turns[gateway.index] += 1
        gateway.write_configuration()
        gateway.signal("SIGHUP")

    async def _crowd(self, gateway: GatewayProcess, seconds: float) -> None:
        begin, writers = time.monotonic(), []
        with contextlib.suppress(OSError):
            for _ in range(CROWD):
                _, writer = await asyncio.open_connection("127.0.0.1", gateway.port)
                writers.append(writer)
        await asyncio.sleep(seconds)
        for writer in writers:
            writer.transport.abort()
        self.note(r.Crowded(begin, gateway.index, time.monotonic()))

    async def _trouble_host(self, host: Host, event: Event) -> None:
        modes = {
            Trouble.HOST_HANGS: Mode.HANGS,
            Trouble.HOST_RESETS: Mode.RESETS,
            Trouble.HOST_TURNS_AWAY: Mode.TURNS_AWAY,
        }
        if mode := modes.get(event.trouble):
            host.mode = mode
            await asyncio.sleep(event.seconds)
            host.mode = Mode.SERVES
        elif event.trouble is Trouble.HOST_DRAINS:
            self._list(host, "leaving")
            await asyncio.sleep(event.seconds)
            self._list(host, "left")
            await asyncio.sleep(event.seconds)
            self._come_back(host)
        else:
            host.vanish()
            await asyncio.sleep(event.seconds)
            await host.start()
            self._come_back(host)

    def _come_back(self, host: Host) -> None:
        host.started = time.time()
        self._list(host, "active")

    def _list(self, host: Host, status: str) -> None:
        known_at = self.registry.change(Listed(host.name, host.port, status, host.started))
        now = time.monotonic()
        self.note(r.HostChanged(now, host.name, status, host.started, known_at))  # type: ignore[arg-type]


def configuration(
    plan: Plan, index: int, port: int, discovery: int, counter: int, known: dict[str, Any]
) -> dict[str, Any]:
    """A gateway's configuration in the form of the deploy page."""
    shared = {"aim_s": plan.patience / 2, "give_up_s": plan.patience, "worth": 1.0}
    return {
        "name": f"g{index}",
        "listen": f"127.0.0.1:{port}",
        "discovery": f"127.0.0.1:{discovery}",
        "counter": f"127.0.0.1:{counter}",
        "seed": f"{plan.seed * 1000 + index:016x}",
        "limits": {"cores": 1.0, "memory_mb": 80, "sockets": SOCKETS},
        "known": known,
        "settings": {
            "n_instances": SPREAD,
            "me": index,
            "locality": 1,
            "zones": ["north", "south"],
            "skus": ["small", "large"],
            "classes": [
                {"name": "safe", "repeat": "free", **shared},
                {"name": "keyed", "repeat": "guarded", "group": "all", "key_ttl_s": KEY_WINDOW, **shared},
                {"name": "unsafe", "repeat": "single_shot", **shared},
            ],
            "packages": [
                # So slow a rate that no shared bucket is ever filled up, so that the books are plain.
                {"name": PLANS[0], "per_second": 0.01, "most_at_once": 1e6, "excess_cost": 1.0},
                {
                    "name": PLANS[1], "per_second": 50.0, "most_at_once": 100.0, "excess_cost": 1.0,
                    "never_over_rate": 100.0, "hard_burst": 200.0, "tolerance": 20.0,
                },
            ],
            "ceilings": {
                "send_cap": 4, "connect_timeout_s": 0.25, "conn_idle_s": 15.0, "most_held": 400,
                "retry_after": True, "max_retry_after_s": 0.5, "may_cancel": True,
            },
            # Without the most units of a request no sample is drawn: each call is for its own request alone.
            "family_info": {
                "may_count": True, "count_wait_s": COUNT_WAIT, "use_period_s": 0.0,
            },
            "rules": {
                "stop_sending_within_s": plan.drain_grace, "cold_from": 0.3, "ramp_time_s": 5.0,
                "fall_multiple": 4.0, "overload_for_s": 2.0,
            },
        },
    }  # fmt: skip
