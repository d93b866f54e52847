"""What the cases share: gateways started with the deploy file, stand-ins, clients, and the record."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

from testbed.standins.counter import CallOutcome, Counter  # noqa: E402
from testbed.standins.discovery import Agent, ListedHost, Registry  # noqa: E402
from testbed.standins.http import Message, http_response, parse_head, read_message  # noqa: E402
from testbed.standins.ports import free_port  # noqa: E402

HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2  # exit codes of a case
READY_LIMIT_S = 30.0
REPEAT = {"safe": "free", "keyed": "guarded", "unsafe": "single_shot"}
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
COMPLETE_LATE_S = 0.5  # STANDING: up to half a second after its time an answer only earns nothing


class CannotRun(Exception):
    """The case could not be played."""


def middle(value: Any) -> float:  # noqa: ANN401
    """The middle of a range of a site file, or the figure itself."""
    return sum(value) / len(value) if isinstance(value, list) else float(value)


def site_settings(name: str, gateways: int, index: int) -> dict[str, Any]:
    """Settings of one gateway, from the site file of a deployment; the middle of each range."""
    site = tomllib.loads((ROOT / f"deploy/sites/{name}/{name}.toml").read_text())
    tier, fam, allow, rules = site["tier"][0], site["fam"], site["allow"], site["rules"]
    kind = tier["kind"][0]
    classes = [
        {
            "name": c["name"],
            "aim_s": c["aim_ms"] / 1000,
            "give_up_s": c["deadline_ms"] / 1000,
            "worth": c["worth"],
            "late_value": c["late_worth"],
            "repeat": REPEAT[c["effect"]],
            "group": c.get("group", "all"),
            "key_ttl_s": c.get("window_ms", 0) / 1000,
        }
        for c in site["class"]
    ]
    plans = []
    for tenant, plan in zip(site["tenant"], fam["plan"], strict=True):
        rate = middle(plan["rate"])
        ceiling = middle(plan["ceiling"]) if "ceiling" in plan else 0.0
        burst = max(fam["most_units"], rate * middle(plan["burst_s"]))
        plans.append(
            {
                "name": tenant["name"],
                "per_second": rate,
                "most_at_once": burst,
                "value_factor": plan["price"],
                "excess_worth": plan["over_worth"],
                "excess_cost": plan["over_cost"],
                "never_over_rate": rate * ceiling,
                "hard_burst": burst * ceiling,
                "tolerance": max(fam["most_units"], fam["slack"] * burst * ceiling),
            }
        )
    return {
        "n_instances": gateways,
        "me": index,
        "locality": 1,
        "zones": ["north", "south"],
        "skus": ["small", "large"],
        "classes": classes,
        "packages": plans,
        "ceilings": {
            "send_cap": allow["max_attempts"],
            "connect_timeout_s": tier["conn"]["connect_timeout_ms"] / 1000,
            "conn_idle_s": float(tier["conn"]["idle_s"]),
            "most_held": 20000,
            "retry_after": allow["retry_after"],
            "max_retry_after_s": 0.5,
            "may_cancel": allow["cancel"],
            "second_copies": allow["second_copies"],
        },
        "family_info": {
            "may_count": fam["counter"],
            "count_wait_s": 0.03,
            "use_period_s": 0.0,
            "most_units": fam["most_units"],
            "post_paid": fam["units"] == "after",
        },
        "rules": {
            "stop_sending_within_s": rules["drain_grace_ms"] / 1000,
            "cold_from": min(kind["cold_from"]),
            "ramp_time_s": max(kind["cold_s"]),
            "fall_multiple": float(rules["fall_multiple"]),
            "overload_for_s": rules["fall_ms"] / 1000,
            "answer_slack_s": 0.008,
        },
        "registry_mode": "on_request" if site["discovery"]["mode"] == "ask" else "pushed",
    }


class Record:
    """The lines of `record.txt`: what was sent, answered and run, with the seconds since the start."""

    def __init__(self) -> None:
        self.began, self.lines = time.monotonic(), list[str]()

    def add(self, text: str, at: float | None = None) -> None:
        when = (time.monotonic() if at is None else at) - self.began
        self.lines.append(f"{when:9.4f} {text}")

    def write(self, path: Path) -> None:
        path.write_text("\n".join(sorted(self.lines)) + "\n")


@dataclass
class Arrival:
    """A request that a host has read whole, and the connection to answer it on."""

    host: str
    message: Message
    at: float
    writer: asyncio.StreamWriter

    @property
    def id(self) -> str:
        return self.message.headers.get(b"x-request-id", b"").decode()

    def reply(self, data: bytes) -> None:
        if not self.writer.is_closing():
            self.writer.write(data)


Behaviour = Callable[[Arrival], Awaitable[bool]]  # returns whether the connection stays open


@dataclass(eq=False)
class Host:
    """A host; `behave` answers each request that it has read whole."""

    name: str
    record: Record
    behave: Behaviour
    port: int = 0
    seen: list[Arrival] = field(default_factory=list)
    writers: set[asyncio.StreamWriter] = field(default_factory=set)
    tasks: set[asyncio.Task[None]] = field(default_factory=set)

    async def start(self) -> None:
        self.socket = socket.socket()
        self.socket.setblocking(False)
        self.socket.bind(("127.0.0.1", self.port))
        self.port = int(self.socket.getsockname()[1])
        self.socket.listen(100)
        self.accepting = asyncio.create_task(self._accept())

    async def _accept(self) -> None:
        while True:
            accepted, _ = await asyncio.get_running_loop().sock_accept(self.socket)
            reader, writer = await asyncio.open_connection(sock=accepted)
            task = asyncio.create_task(self._serve(reader, writer))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                while True:
                    message = parse_head(await reader.readuntil(b"\r\n\r\n"))
                    message.body = await reader.readexactly(int(message.headers.get(b"content-length", b"0")))
                    arrival = Arrival(self.name, message, time.monotonic(), writer)
                    self.seen.append(arrival)
                    self.record.add(f"host {self.name} got {arrival.id}", arrival.at)
                    if not await self.behave(arrival):
                        return
        finally:
            self.writers.discard(writer)
            writer.close()

    def crash(self) -> None:
        """Ends as a process that dies: resets its connections and refuses new ones."""
        self.accepting.cancel()
        self.socket.close()
        for writer in list(self.writers):
            writer.transport.abort()
        for task in list(self.tasks):
            task.cancel()


def served(arrival: Arrival) -> bytes:
    """The answer that a host makes for a request; its body names the request."""
    return http_response(200, f"made for {arrival.id}".encode())


def serve_after(seconds: float) -> Behaviour:
    async def behave(arrival: Arrival) -> bool:
        await asyncio.sleep(seconds)
        arrival.reply(served(arrival))
        return True

    return behave


@dataclass(eq=False)
class Gateway:
    """One gateway process, started with `run` of the deploy file."""

    index: int
    port: int
    process: asyncio.subprocess.Process
    log: Path

    @property
    def pid(self) -> int:
        return self.process.pid

    def signal(self, number: int) -> None:
        if self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(number)

    def rss_mb(self) -> float:
        """The resident memory of the process in MiB, 0 if it has ended."""
        try:
            pages = int(Path(f"/proc/{self.pid}/statm").read_text().split()[1])
        except (OSError, IndexError):
            return 0.0
        return pages * os.sysconf("SC_PAGE_SIZE") / 2**20


@dataclass
class Answer:
    """What a client got for a request: a status, or 0 if the connection ended or nothing came."""

    id: str
    status: int
    body: bytes
    sent_at: float
    answered_at: float
    timeout: float

    @property
    def seconds(self) -> float:
        return self.answered_at - self.sent_at

    @property
    def is_lost(self) -> bool:
        """No whole answer by its time and the half second more that STANDING allows."""
        return self.status == 0 or self.seconds > self.timeout + COMPLETE_LATE_S


class Play:
    """Hosts, discovery, the counter and gateways of one case; use as an asynchronous context."""

    def __init__(self, site: str, memory_mb: int = 192, sockets: int = 1024) -> None:
        self.site, self.memory_mb, self.sockets = site, memory_mb, sockets
        self.record = Record()
        self.registry = Registry(False, lambda gateway, host, status: None)
        self.counter = Counter(lambda: CallOutcome.ADDED, lambda: 0.0, 0.0, lambda call: None)
        self.hosts: list[Host] = []
        self.gateways: list[Gateway] = []
        self.agents: list[Agent] = []
        self.settings: dict[str, Any] = {}
        self.sent = 0

    async def __aenter__(self) -> Play:
        self.folder = tempfile.TemporaryDirectory(prefix="review-")
        return self

    async def __aexit__(self, *_: object) -> None:
        for gateway in self.gateways:
            gateway.signal(signal.SIGCONT)
            gateway.signal(signal.SIGKILL)
            await gateway.process.wait()
        for agent in self.agents:
            agent.close()
        for host in self.hosts:
            host.crash()
        self.counter.close()
        self.folder.cleanup()

    async def start(self, gateways: int, hosts: int, behave: Behaviour) -> None:
        for number in range(hosts):
            host = Host(f"h{number}", self.record, behave)
            await host.start()
            self.hosts.append(host)
            self.registry.change(ListedHost(host.name, host.port, "active", 0.0))
        for index in range(gateways):
            await self._start_gateway(index, gateways)
        limit = time.monotonic() + READY_LIMIT_S
        for gateway in self.gateways:
            while not await self._is_up(gateway):
                if time.monotonic() > limit or gateway.process.returncode is not None:
                    raise CannotRun(f"gateway {gateway.index} is not ready: {gateway.log.read_text()[-500:]}")
                await asyncio.sleep(0.05)
            self.record.add(f"gateway {gateway.index} is ready")

    async def _start_gateway(self, index: int, gateways: int) -> None:
        agent = Agent(self.registry, index)
        await agent.start()
        self.agents.append(agent)
        self.settings = site_settings(self.site, gateways, index)
        port = free_port()
        config = {
            "name": f"g{index}",
            "listen": f"127.0.0.1:{port}",
            "discovery": f"127.0.0.1:{agent.port}",
            "counter": f"127.0.0.1:{await self.counter.listen(index)}",
            "seed": f"{index + 1:016x}",
            "limits": {"cores": 1.0, "memory_mb": self.memory_mb, "sockets": self.sockets},
            "known": self.registry.full_list(),
            "settings": self.settings,
        }
        folder = Path(self.folder.name)
        path, log, temporary = folder / f"g{index}.json", folder / f"g{index}.log", folder / f"tmp{index}"
        path.write_text(json.dumps(config))
        temporary.mkdir()
        run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        variables = {
            "LB_NAME": f"g{index}",
            "LB_LISTEN": str(config["listen"]),
            "LB_DISCOVERY": str(config["discovery"]),
            "LB_CONFIG": str(path),
            "TMPDIR": str(temporary),
        }
        with log.open("wb") as errors:
            process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", run, cwd=ROOT, env={**os.environ, **variables},
                stdin=asyncio.subprocess.DEVNULL, stdout=errors, stderr=errors,
            )  # fmt: skip
        self.gateways.append(Gateway(index, port, process, log))

    async def _is_up(self, gateway: Gateway) -> bool:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection("127.0.0.1", gateway.port)
                try:
                    writer.write(b"GET /up HTTP/1.1\r\nHost: service.internal\r\n\r\n")
                    return (await read_message(reader)).status == 200
                finally:
                    writer.close()
        return False

    # Clients

    def request(
        self, class_index: int, customer: int, plan: int = -1, key: str = "", timeout: float | None = None
    ) -> tuple[str, float, bytes]:
        """A request as PROTOCOL has it: its id, its time in seconds and its bytes."""
        self.sent += 1
        cls, id_ = self.settings["classes"][class_index], f"{self.sent:016x}"
        seconds = cls["give_up_s"] if timeout is None else timeout
        safe = cls["repeat"] == "free"
        lines = [
            f"{'GET' if safe else 'POST'} /api HTTP/1.1",
            "Host: service.internal",
            f"X-Request-ID: {id_}",
            f"X-Priority-Class: {cls['name']}",
            f"Plan: {self.settings['packages'][plan]['name']}",
            f"Cookie: client={customer:016x}",
            f"X-Timeout: {seconds:.3f}",
            f"Quota-Info: units=1,spread={self.settings['n_instances']},first=0",
        ]
        if not safe:
            lines.append("Content-Length: 4")
        if cls["repeat"] == "guarded":
            lines.append(f"Idempotency-Key: {key or f'{self.sent:032x}'}")
        return id_, seconds, "\r\n".join(lines).encode() + b"\r\n\r\n" + (b"" if safe else b"work")

    async def ask(
        self, gateway: Gateway, class_index: int, customer: int, plan: int = -1, wait: float = 3.0
    ) -> Answer:
        """Sends one request on a connection of its own; waits `wait` seconds longer than its time."""
        id_, timeout, data = self.request(class_index, customer, plan)
        name = self.settings["classes"][class_index]["name"]
        sent_at = time.monotonic()
        status, body, end = 0, b"", "no answer"
        try:
            async with asyncio.timeout(timeout + wait):
                reader, writer = await asyncio.open_connection("127.0.0.1", gateway.port)
                try:
                    writer.write(data)
                    await writer.drain()
                    sent_at = time.monotonic()
                    self.record.add(f"client sent {id_} {name} to gateway {gateway.index}", sent_at)
                    message = await read_message(reader)
                    status, body, end = message.status, message.body, f"{message.status}"
                finally:
                    writer.close()
        except (OSError, asyncio.IncompleteReadError):
            end = "connection ended without an answer"
        except TimeoutError:
            pass
        answer = Answer(id_, status, body, sent_at, time.monotonic(), timeout)
        late = ", LOST" if answer.is_lost else ""
        self.record.add(f"client got {id_}: {end} after {answer.seconds:.3f} s of {timeout:.3f} s{late}")
        return answer


def main(case: Callable[[Record], Awaitable[bool]], folder: Path, limit: float = 110.0) -> int:
    """Plays a case, writes its record and returns its exit code; the case returns whether the rule held."""
    record = Record()

    async def limited() -> bool:
        async with asyncio.timeout(limit):
            return await case(record)

    try:
        held = asyncio.run(limited())
        record.add(f"result: the rule {'held' if held else 'was broken'} (TROUBLE={int(TROUBLE)})")
        code = HELD if held else BROKEN
    except Exception as error:
        record.add(f"result: could not run: {error!r}")
        code = COULD_NOT_RUN
    record.write(folder / "record.txt")
    print(record.lines[-1].strip())
    return code
