"""One run of the soak: the stand-ins and clients on one event loop, the gateway processes, and the record."""

from __future__ import annotations

import asyncio
import contextlib
import random
import time
from pathlib import Path
from typing import Any

import msgspec

from testbed.soak import pushes
from testbed.soak import record as r
from testbed.soak.clients import (
    AUDITED_CUSTOMERS,
    AUDITED_GATEWAY,
    PLANS,
    PUSHED_PLAN,
    Clients,
    Request,
)
from testbed.soak.gateways import GatewayProcess
from testbed.soak.plan import Fault, FaultEvent, RunPlan
from testbed.standins.counter import Call, CallOutcome, Counter
from testbed.standins.discovery import Agent, ListedHost, Registry
from testbed.standins.hosts import MAX_SERVICE_TIME_S, MIN_SERVICE_TIME_S, Arrival, Host, HostMode

ENTRY_GATEWAYS = 12  # of each customer; most of them do not run, so that the shared bucket decides
LATE_REPLY_TIMEOUTS = 3  # timeouts of a call by which a late reply comes after the usual time
MAX_COUNTER_DELAY_S = 0.02  # of a faulty counter
CERTAIN_REPLY_TIME_S = 0.025  # a call answered sooner has certainly not timed out
# Outcomes that the calling gateway knows, drawn evenly.
CERTAIN_OUTCOMES = [CallOutcome.ADDED, CallOutcome.REJECTED, CallOutcome.REJECTED]
KEY_TTL_S = 5.0  # for which hosts remember idempotency keys
POLL_INTERVAL_S = 0.01  # between checks of the gateways, and of how late the event loop is
MIN_RECORDED_LAG_S = 0.02  # of the event loop
START_TIMEOUT_S = 15.0  # until all gateways are ready
SETTLE_TIME_S = 1.2  # after the load, before the resources of the gateways are recorded
MAX_FLUSH_ROUNDS = 80  # of requests that make a gateway report its unreported units to the counter
FLUSH_CALLS_NEEDED = 2  # of each customer: the second reports what was outstanding at the first
FLUSH_PAUSE_S = 0.25  # between rounds, so that a gateway calls a counter again that was faulty
MAX_SOCKETS = 192  # of a gateway
FLOOD_CONNECTIONS = 110  # of idle clients
NEW_CONNECTIONS_TIME_S = (0.2, 0.4)  # range of the time after SIGTERM for which new clients still come


class Run:
    """Plays one plan; the gateways' configurations and logs are written to `folder`."""

    def __init__(self, plan: RunPlan, folder: Path) -> None:
        self.plan, self.folder = plan, folder
        self.rng = random.Random(plan.seed + 1)
        conditions = r.Conditions(
            plan.seed, plan.drain_grace, KEY_TTL_S, plan.client_timeout, tuple(AUDITED_CUSTOMERS)
        )
        self.record = r.Record(conditions)
        self.add_entry = self.record.entries.append
        self.registry = Registry(plan.full_lists, self._on_status_sent)
        self.counter = Counter(
            self._draw_outcome,
            self._counter_delay,
            LATE_REPLY_TIMEOUTS * plan.counter_timeout,
            self._on_counter_call,
            audited_callers=frozenset({AUDITED_GATEWAY}),
        )
        self.counter_faults_until = 0.0
        self.hosts = [
            Host(f"h{i}", self._service_time, self._on_arrival, self._on_attempt_end)
            for i in range(plan.hosts)
        ]
        self.gateways: list[GatewayProcess] = []
        self.agents: list[list[Agent]] = []  # by gateway: two, which reloads alternate between
        self.counter_ports: list[list[int]] = []  # likewise
        # By gateway; each reload makes the gateway use its other agent and its other port of the counter.
        self.reload_counts = [0] * plan.gateways
        self.tasks: set[asyncio.Task[None]] = set()

    async def execute(self) -> r.Record:
        """Starts everything, injects the faults, records the resources still in use and stops everything."""
        try:
            await self._start()
            clients = Clients(
                self.gateways, ENTRY_GATEWAYS, self.plan.client_timeout, self.rng, self.add_entry
            )
            begin = time.monotonic()
            for event in self.plan.events:
                self._spawn(self._inject(begin, event))
            if self.plan.push:
                pushing = pushes.PushingClients(self.plan.push, clients, self.rng, self._add_ceiling)
                self._spawn(pushing.send_requests(begin))
            await clients.send_requests(self.plan.seconds, self.plan.requests_per_second)
            while len(self.tasks) > 1:  # the last one is `_record_lag`
                await asyncio.sleep(POLL_INTERVAL_S)
            await self._end_faults()
            await clients.finish()
            await self._flush_counter(clients)
            await clients.finish()
            await asyncio.sleep(SETTLE_TIME_S)
            self._record_final_usage()
            await self._stop_gateways()
        finally:
            await self.close()
        return self.record

    # Start and end

    async def _start(self) -> None:
        self._spawn(self._record_lag())
        for host in self.hosts:
            await host.start()
            self._update_host_list(host, "active")
        for index in range(self.plan.gateways):
            self.agents.append([Agent(self.registry, index) for _ in range(2)])
            for agent in self.agents[index]:
                await agent.start()
            self.counter_ports.append([await self.counter.listen(index) for _ in range(2)])
            gateway = GatewayProcess(index, self.folder, self._configuration_of(index), self.add_entry)
            self.gateways.append(gateway)
            await gateway.start()
        await self._wait_until_ready()

    async def _wait_until_ready(self) -> None:
        """Waits until all gateways are ready; raises TimeoutError."""
        async with asyncio.timeout(START_TIMEOUT_S):
            while not all(gateway.is_ready for gateway in self.gateways):
                await asyncio.sleep(POLL_INTERVAL_S)

    def _configuration_of(self, index: int) -> Any:  # noqa: ANN401
        return lambda: configuration(
            self.plan,
            index,
            self.gateways[index].port,
            self.agents[index][self.reload_counts[index] % 2].port,
            self.counter_ports[index][self.reload_counts[index] % 2],
            self.registry.full_list(),
        )

    async def _end_faults(self) -> None:
        """Ends all faults and waits until all gateways are ready."""
        self.counter_faults_until = 0.0
        for host in self.hosts:
            host.mode = HostMode.SERVES
        with contextlib.suppress(TimeoutError):
            await self._wait_until_ready()

    async def _flush_counter(self, clients: Clients) -> None:
        """Makes gateway 0 report all unreported units: each call for a request adds them to its amount."""
        calls_before = {customer: self._count_calls(customer) for customer in AUDITED_CUSTOMERS}
        for number in range(MAX_FLUSH_ROUNDS):
            for customer in calls_before:
                request_id = f"f{customer}-{number}"
                clients.start_request(
                    Request(
                        request_id,
                        "safe",
                        PLANS[0],
                        customer,
                        1,
                        self.plan.client_timeout,
                        gateway=AUDITED_GATEWAY,
                    )
                )
            await clients.finish()
            calls_before = {
                c: calls
                for c, calls in calls_before.items()
                if self._count_calls(c) < calls + FLUSH_CALLS_NEEDED
            }
            if not calls_before:
                return
            await asyncio.sleep(FLUSH_PAUSE_S)

    def _count_calls(self, customer: int) -> int:
        calls = (e for e in self.record.entries if isinstance(e, r.CounterCalled))
        return sum(1 for call in calls if call.name >> 24 == customer)

    def _record_final_usage(self) -> None:
        at_hosts = sum(len(host.writers) for host in self.hosts)
        for gateway in self.gateways:
            if gateway.is_ready:
                descriptors, memory = gateway.resource_usage()
                self.add_entry(
                    r.ProcessRested(
                        time.monotonic(), gateway.index, gateway.start_number, descriptors, memory, at_hosts
                    )
                )

    async def _stop_gateways(self) -> None:
        for gateway in self.gateways:
            gateway.signal("SIGTERM")
        for gateway in self.gateways:
            await gateway.wait_for_exit(self.plan.kill_after)
        await asyncio.sleep(POLL_INTERVAL_S)
        for gateway in self.gateways:
            gateway.record_failures()

    async def close(self) -> None:
        """Ends everything that was started."""
        for task in list(self.tasks):
            task.cancel()
        for gateway in self.gateways:
            await gateway.close()
        for agent in (agent for agents in self.agents for agent in agents):
            agent.close()
        for host in self.hosts:
            host.stop()
        self.counter.close()

    def _spawn(self, coroutine: Any) -> None:  # noqa: ANN401
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _record_lag(self) -> None:
        """Records when the event loop was late, as what it saw then may have happened earlier.

        Also when a gateway was kept waiting for a processor, as on a busy machine.
        """
        waited = dict[int, float]()  # for a processor, by process id
        while True:
            begin = time.monotonic()
            await asyncio.sleep(POLL_INTERVAL_S)
            now = time.monotonic()
            if now - begin - POLL_INTERVAL_S > MIN_RECORDED_LAG_S:
                self.add_entry(r.Delayed(begin, -1, now))
            for gateway in self.gateways:
                if gateway.process is None:
                    continue
                before, waited[gateway.process.pid] = (
                    waited.get(gateway.process.pid, 0.0),
                    gateway.time_waited_for_cpu(),
                )
                lag = waited[gateway.process.pid] - before
                if lag > MIN_RECORDED_LAG_S:  # the system adds a wait once it is over
                    self.add_entry(r.Delayed(begin - lag, gateway.index, now))

    def _add_ceiling(self, ceiling: r.Ceiling) -> None:
        conditions = self.record.conditions
        self.record.conditions = msgspec.structs.replace(conditions, ceilings=(*conditions.ceilings, ceiling))

    # Callbacks of the stand-ins

    def _on_status_sent(self, gateway: int, host: str, status: str) -> None:
        self.add_entry(r.HostTold(time.monotonic(), gateway, host, status))  # type: ignore[arg-type]

    def _service_time(self) -> float:
        return self.rng.uniform(MIN_SERVICE_TIME_S, MAX_SERVICE_TIME_S)

    def _on_arrival(self, host: Host, arrival: Arrival) -> None:
        timeout = float(arrival.message.headers.get(b"x-timeout", b"0"))
        is_post = arrival.message.start_line.startswith(b"POST ")
        own_body = arrival.request_id.encode() if is_post else b""  # see `Request.body`
        self.add_entry(
            r.AttemptArrived(
                arrival.last_byte_at,
                arrival.request_id,
                host.name,
                host.started_at,
                arrival.first_byte_at,
                timeout,
                arrival.message.body == own_body,
            )
        )

    def _on_attempt_end(self, host: Host, arrival: Arrival, never_ran: bool) -> None:
        self.add_entry(r.AttemptEnded(time.monotonic(), arrival.request_id, host.name, never_ran))

    def _draw_outcome(self) -> CallOutcome:
        if time.monotonic() < self.counter_faults_until:
            return self.rng.choice(
                list(CallOutcome) if self.plan.uncertain_counter_calls else CERTAIN_OUTCOMES
            )
        return CallOutcome.ADDED

    def _counter_delay(self) -> float:
        """A faulty counter is also slow, so that some clients leave during a call."""
        is_faulty = time.monotonic() < self.counter_faults_until
        return self.rng.uniform(0.0, MAX_COUNTER_DELAY_S) if is_faulty else 0.0

    def _on_counter_call(self, call: Call) -> None:
        is_certain = (
            call.outcome.is_certain and call.is_reply_trusted and call.reply_delay < CERTAIN_REPLY_TIME_S
        )
        self.add_entry(
            r.CounterCalled(call.at, call.caller, call.name, call.amount, call.outcome.was_added, is_certain)
        )

    # Faults

    async def _inject(self, begin: float, event: FaultEvent) -> None:
        await asyncio.sleep(max(0.0, begin + event.at - time.monotonic()))
        gateway = self.gateways[event.target % len(self.gateways)]
        host = self.hosts[event.target % len(self.hosts)]
        if event.fault is Fault.RESTART:
            await self._restart(gateway)
        elif event.fault is Fault.KILL:
            await self._kill(gateway)
        elif event.fault is Fault.RELOAD:
            self._reload(gateway)
        elif event.fault is Fault.STALL:
            await gateway.stall(event.duration)
        elif event.fault is Fault.CONNECTION_FLOOD:
            await self._flood_connections(gateway, event.duration)
        elif event.fault is Fault.WATCHES_SILENT:
            self.registry.silence_watches()
        elif event.fault is Fault.DISCOVERY_DOWN:
            self.registry.go_down(event.duration)
        elif event.fault is Fault.COUNTER_FLUSH:
            self.counter.flush()
        elif event.fault is Fault.COUNTER_FAULTS:
            self.counter_faults_until = time.monotonic() + event.duration
        else:
            await self._inject_host_fault(host, event)

    async def _restart(self, gateway: GatewayProcess) -> None:
        """A planned restart: SIGTERM, new clients for a while, the earliest kill that is allowed, a start."""
        if not gateway.is_ready:
            return
        gateway.new_connections_until = time.monotonic() + self.rng.uniform(*NEW_CONNECTIONS_TIME_S)
        gateway.signal("SIGTERM")
        kill_at = time.monotonic() + self.plan.kill_after
        if not await gateway.wait_for_exit(self.plan.kill_after):
            gateway.signal("SIGKILL", planned=True)
            await gateway.wait_for_exit(1.0)
        await asyncio.sleep(max(0.0, kill_at - time.monotonic()) * self.rng.choice((0.0, 1.0)))
        await gateway.start()

    async def _kill(self, gateway: GatewayProcess) -> None:
        if not gateway.is_running:
            return
        gateway.signal("SIGKILL")
        await gateway.wait_for_exit(1.0)
        await gateway.start()

    def _reload(self, gateway: GatewayProcess) -> None:
        """Reloads the configuration, which names the other agent and the other port of the counter."""
        self.reload_counts[gateway.index] += 1
        gateway.write_configuration()
        gateway.signal("SIGHUP")

    async def _flood_connections(self, gateway: GatewayProcess, seconds: float) -> None:
        begin, writers = time.monotonic(), []
        with contextlib.suppress(OSError):
            for _ in range(FLOOD_CONNECTIONS):
                _, writer = await asyncio.open_connection("127.0.0.1", gateway.port)
                writers.append(writer)
        await asyncio.sleep(seconds)
        for writer in writers:
            writer.transport.abort()
        self.add_entry(r.Crowded(begin, gateway.index, time.monotonic()))

    async def _inject_host_fault(self, host: Host, event: FaultEvent) -> None:
        modes = {
            Fault.HOST_HANGS: HostMode.HANGS,
            Fault.HOST_RESETS: HostMode.RESETS,
            Fault.HOST_REJECTS: HostMode.REJECTS,
        }
        if mode := modes.get(event.fault):
            host.mode = mode
            await asyncio.sleep(event.duration)
            host.mode = HostMode.SERVES
        elif event.fault is Fault.HOST_DRAINS:
            self._update_host_list(host, "leaving")
            await asyncio.sleep(event.duration)
            self._update_host_list(host, "left")
            await asyncio.sleep(event.duration)
            self._relist(host)
        else:
            host.stop()
            await asyncio.sleep(event.duration)
            await host.start()
            self._relist(host)

    def _relist(self, host: Host) -> None:
        host.started_at = time.time()
        self._update_host_list(host, "active")

    def _update_host_list(self, host: Host, status: str) -> None:
        known_at = self.registry.change(ListedHost(host.name, host.port, status, host.started_at))
        now = time.monotonic()
        self.add_entry(r.HostChanged(now, host.name, status, host.started_at, known_at))  # type: ignore[arg-type]


def configuration(
    plan: RunPlan, index: int, port: int, discovery: int, counter: int, known: dict[str, Any]
) -> dict[str, Any]:
    """The configuration file of a gateway."""
    shared = {"aim_s": plan.client_timeout / 2, "give_up_s": plan.client_timeout, "worth": 1.0}
    return {
        "name": f"g{index}",
        "listen": f"127.0.0.1:{port}",
        "discovery": f"127.0.0.1:{discovery}",
        "counter": f"127.0.0.1:{counter}",
        "seed": f"{plan.seed * 1000 + index:016x}",
        "limits": {"cores": 1.0, "memory_mb": 80, "sockets": MAX_SOCKETS},
        "known": known,
        "settings": {
            "n_instances": ENTRY_GATEWAYS,
            "me": index,
            "locality": 1,
            "zones": ["north", "south"],
            "skus": ["small", "large"],
            "classes": [
                {"name": "safe", "repeat": "free", **shared},
                {"name": "keyed", "repeat": "guarded", "group": "all", "key_ttl_s": KEY_TTL_S, **shared},
                {"name": "unsafe", "repeat": "single_shot", **shared},
            ],
            "packages": [
                # At this rate no unused quota has to be added back to a shared bucket: the counter holds
                # nothing but the units of requests.
                {"name": PLANS[0], "per_second": 0.01, "most_at_once": 1e6, "excess_cost": 1.0},
                {
                    "name": PLANS[1], "per_second": 50.0, "most_at_once": 100.0, "excess_cost": 1.0,
                    "never_over_rate": 100.0, "hard_burst": 200.0, "tolerance": 20.0,
                },
                {
                    "name": PUSHED_PLAN, "per_second": 1000.0, "most_at_once": 1000.0, "excess_cost": 0.0,
                    "never_over_rate": pushes.CEILING_RATE, "hard_burst": pushes.CEILING_BURST,
                    "tolerance": pushes.CEILING_TOLERANCE,
                },
            ],
            "ceilings": {
                "send_cap": 4, "connect_timeout_s": 0.25, "conn_idle_s": 15.0, "most_held": 400,
                "retry_after": True, "max_retry_after_s": 0.5, "may_cancel": True,
            },
            # Without `most_units` requests are not sampled: each one has its own call to the counter.
            "family_info": {
                "may_count": True, "count_wait_s": plan.counter_timeout, "use_period_s": 0.0,
            },
            "rules": {
                "stop_sending_within_s": plan.drain_grace, "cold_from": 0.3, "ramp_time_s": 5.0,
                "fall_multiple": 4.0, "overload_for_s": 2.0,
            },
        },
    }  # fmt: skip
