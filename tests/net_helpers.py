"""Runs a gateway on loopback sockets, with fake clients, hosts, discovery and counter around it."""

from __future__ import annotations

import asyncio
import contextlib
import json
import selectors
import socket
from collections.abc import AsyncIterator, Awaitable, Callable, Coroutine
from dataclasses import dataclass, field
from typing import Any

import pytest
import uvloop

from coralvale import interface as api
from coralvale.net.config import parse_config
from coralvale.net.node import Node
from coralvale.net.upstream import Upstreams
from testbed.standins.http import Message, read_message
from testbed.standins.http import chunk as chunk
from testbed.standins.http import http_response as http_response
from testbed.standins.lists import WATCH_RESPONSE_HEAD
from testbed.standins.lists import host_entry as host_entry
from testbed.standins.lists import list_message as list_message
from testbed.standins.peer import TEST_TIMEOUT_S, FakeServer, ReceivedRequest

SETTINGS: dict[str, Any] = {
    "n_instances": 3,
    "me": 0,
    "locality": 1,
    "zones": ["north", "south"],
    "skus": ["small", "large"],
    "classes": [
        {"name": "read", "aim_s": 5.0, "give_up_s": 30.0, "worth": 3.0, "repeat": "free"},
        {"name": "write", "aim_s": 5.0, "give_up_s": 30.0, "worth": 2.0, "repeat": "single_shot"},
    ],
    "packages": [{"name": "team", "per_second": 1000.0, "most_at_once": 1000.0}],
    "ceilings": {
        "send_cap": 4,
        "connect_timeout_s": 5.0,
        "conn_idle_s": 60.0,
        "most_held": 100,
        "retry_after": True,
        "max_retry_after_s": 0.5,
        "may_cancel": True,
    },
    "family_info": {"may_count": True, "count_wait_s": 5.0, "use_period_s": 0.5, "most_units": 4},
    "rules": {
        "stop_sending_within_s": 10.0,
        "cold_from": 0.5,
        "ramp_time_s": 1.0,
        "fall_multiple": 2.0,
        "overload_for_s": 3.0,
    },
}


def settings(**changes: dict[str, Any]) -> dict[str, Any]:
    """A copy of SETTINGS; a changed dictionary is merged into the one it changes, other values replace."""
    copy = json.loads(json.dumps(SETTINGS))
    for key, value in changes.items():
        copy[key] = {**copy[key], **value} if isinstance(value, dict) else value
    return copy


def run(test: Coroutine[Any, Any, None]) -> None:
    """Runs a test on uvloop, as the program does; cancels it after 3 * TEST_TIMEOUT_S seconds."""

    async def limited() -> None:
        async with asyncio.timeout(3 * TEST_TIMEOUT_S):
            await test

    uvloop.run(limited())


class FakeTimeSelector(selectors.DefaultSelector):
    """Selector with a fake clock: it stands still while sockets have events, then jumps to the next timer."""

    IDLE_WAIT_S = 0.002  # s of real time for data sent on loopback to arrive

    def __init__(self) -> None:
        super().__init__()
        self.now = 1000.0

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        events = super().select(timeout and min(timeout, self.IDLE_WAIT_S))
        if timeout and not events:
            self.now += timeout
        return events


def run_in_fake_time(test: Coroutine[Any, Any, None]) -> None:
    """Runs a test on real sockets in fake time: waits take no real time, and their lengths are exact."""
    selector = FakeTimeSelector()
    loop = asyncio.SelectorEventLoop(selector)
    loop.time = lambda: selector.now  # type: ignore[method-assign]
    try:
        loop.run_until_complete(test)
    finally:
        loop.run_until_complete(loop.shutdown_asyncgens())
        loop.close()


class ManualClock:
    """Replaces the module `time` in the modules of client connections; only the test moves the time."""

    def __init__(self) -> None:
        self.now = 1000.0

    def install(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """Makes accepted connections, and the server that accepts them, use this clock."""
        for module in ("server", "client_connection"):
            monkeypatch.setattr(f"coralvale.net.{module}.time", self)

    def monotonic(self) -> float:
        return self.now


async def with_timeout(awaitable: Awaitable[Any]) -> Any:
    """Awaits for at most TEST_TIMEOUT_S seconds."""
    return await asyncio.wait_for(awaitable, TEST_TIMEOUT_S)


async def until(condition: Callable[[], object]) -> None:
    """Polls until a condition holds, for at most TEST_TIMEOUT_S seconds."""
    async with asyncio.timeout(TEST_TIMEOUT_S):
        while not condition():
            await asyncio.sleep(0.002)


class FullListener:
    """A listener with a full backlog, which answers no further SYN: attempts to connect to it hang."""

    def __init__(self) -> None:
        self.socket = socket.socket()
        self.socket.bind(("127.0.0.1", 0))
        self.socket.listen(0)
        self.address = self.socket.getsockname()
        self.fillers = [socket.socket() for _ in range(4)]
        for filler in self.fillers:
            filler.setblocking(False)
            filler.connect_ex(self.address)

    def close(self) -> None:
        for each in (*self.fillers, self.socket):
            each.close()


class Registry(FakeServer):
    """A fake discovery: answers each watch with a response head; the test sends the messages."""

    async def watch(self) -> ReceivedRequest:
        """Waits for the next watch and sends it the response head."""
        watch = await self.next_request()
        watch.reply(WATCH_RESPONSE_HEAD)
        return watch


class Client:
    """A client's connection to a gateway."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer

    def send(self, data: bytes) -> None:
        self.writer.write(data)

    async def receive(self) -> Message:
        return await with_timeout(read_message(self.reader))

    async def ask(self, data: bytes) -> Message:
        self.send(data)
        return await self.receive()

    async def closed_by_gateway(self) -> bool:
        """Whether the gateway closes the connection, by FIN or RST, without sending anything more."""
        try:
            return await with_timeout(self.reader.read()) == b""
        except ConnectionError:
            return True

    def close(self) -> None:
        self.writer.close()


def request(
    id: str = "r1", class_name: str = "read", target: str = "/api", body: bytes = b"", **headers: str | None
) -> bytes:
    """A request with the headers that a gateway expects; a header given as None is left out.

    Underscores in the names of `headers` stand for hyphens.
    """
    fields: dict[str, str | None] = {
        "Host": "service.internal",
        "X-Request-ID": id,
        "X-Priority-Class": class_name,
        "Plan": "team",
        "Cookie": "client=00000000b4d65521",
        "X-Timeout": "30",
        "Quota-Info": "units=1,spread=2,first=1",
        **{name.replace("_", "-"): value for name, value in headers.items()},
    }
    if body:
        fields["Content-Length"] = str(len(body))
    method = "GET" if class_name == "read" else "POST"
    lines = [f"{method} {target} HTTP/1.1", *(f"{k}: {v}" for k, v in fields.items() if v is not None)]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def hold_connects(upstreams: Upstreams) -> tuple[asyncio.Event, asyncio.Event]:
    """Makes connects to hosts wait.

    Returns two events: the first is set when a connect begins to wait, the second lets them all go on.
    """
    connect, started, go = upstreams._connect, asyncio.Event(), asyncio.Event()

    async def held(*args: Any) -> None:
        started.set()
        await go.wait()
        await connect(*args)

    upstreams._connect = held  # type: ignore[method-assign]
    return started, go


class ScriptedGateway:
    """Replaces the decision module: records events and answers each as `on` has set for its type."""

    customer_count = 0

    def __init__(self) -> None:
        self.events: list[api.Event] = []
        self.responses: dict[type, Callable[[Any], list[api.Action]]] = {}

    def on(self, event_type: type, respond: Callable[[Any], list[api.Action]]) -> None:
        self.responses[event_type] = respond

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        self.events.append(event)
        return self.responses.get(type(event), lambda _: [])(event)

    def may_write(self, now: float, write: api.AttemptWrite) -> bool:
        return write.client_waits and now < write.deadline

    def received(self, event_type: type) -> list[Any]:
        return [event for event in self.events if isinstance(event, event_type)]


@dataclass
class RunningGateway:
    """A started node and what surrounds it."""

    node: Node
    registry: Registry
    counter: FakeServer
    script: ScriptedGateway  # decides, unless the gateway was started with `real_module`
    clients: list[Client] = field(default_factory=list)

    async def client(self) -> Client:
        client = Client(*await asyncio.open_connection("127.0.0.1", self.node.server.port))
        self.clients.append(client)
        return client

    def set_memory_limit(self, limit: float) -> None:
        """Sets the bytes that may be held for peers, from now on."""
        self.node.monitor.memory_timer.cancel()  # it would set the limit from the test's own memory
        self.node.budget.limit = limit

    async def ask(self, data: bytes) -> Message:
        """Sends a request on a new connection and returns the response."""
        return await (await self.client()).ask(data)

    async def attempt_done(self, count: int = 1) -> api.AttemptDone:
        """Waits until the decision module has `count` outcomes of attempts; returns the last of these."""
        await until(lambda: len(self.script.received(api.AttemptDone)) >= count)
        return self.script.received(api.AttemptDone)[count - 1]


@contextlib.asynccontextmanager
async def running_gateway(
    *known_hosts: dict[str, Any],
    real_module: bool = False,
    sockets: int = 256,
    memory_mb: float = 4000.0,
    **changes: dict[str, Any],
) -> AsyncIterator[RunningGateway]:
    """Starts a gateway with an initial host list; a script decides for it unless `real_module` is set."""
    registry, counter = Registry(), FakeServer()
    await registry.start()
    await counter.start()
    config = parse_config(
        {
            "name": "n1",
            "listen": "127.0.0.1:0",
            "discovery": f"127.0.0.1:{registry.port}",
            "counter": f"127.0.0.1:{counter.port}",
            "seed": "8c1f30d27a5be964",
            "limits": {"sockets": sockets, "memory_mb": memory_mb},  # the tests themselves take memory
            "known": {"index": 41, "snapshot": True, "endpoints": list(known_hosts)},
            "settings": settings(**changes),
        }
    )
    node, script = Node(config), ScriptedGateway()
    if not real_module:
        node.gateway = script  # type: ignore[assignment]
    node.start()
    result = RunningGateway(node, registry, counter, script)
    try:
        yield result
    finally:
        for client in result.clients:
            client.close()
        node.close()
        registry.stop()
        counter.stop()
