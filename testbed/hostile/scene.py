"""One gateway process between stand-ins, with usual clients and, in a process of their own, hostile ones."""

from __future__ import annotations

import asyncio
import contextlib
import sys
import time
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from testbed.hostile.clients import Kind
from testbed.hostile.messages import api_request
from testbed.soak.gateways import ROOT, GatewayProcess
from testbed.standins.discovery import Agent, ListedHost, Registry
from testbed.standins.hosts import Host
from testbed.standins.http import Message, read_message

HOSTS = 6
GATEWAYS = 12  # that the settings name; one runs
SERVICE_TIME_S = 0.02
USUAL_CLIENTS = 5
USUAL_TIMEOUT_S = 3.0  # that the usual requests state
ANSWER_SLACK_S = 0.5  # after a request's time, within which an answer only earns nothing
PAUSE_S = 0.05  # of a usual client between two requests
START_TIMEOUT_S = 15.0
FIRST_USUAL_CUSTOMER = 1 << 32  # above the numbers of the hostile clients
LARGE_RESPONSE_BYTES = 30_000


@dataclass
class Answers:
    """What the usual clients saw."""

    served: int = 0
    refused: int = 0
    failed: int = 0
    lost: list[str] = field(default_factory=list)  # requests with no answer in their time, and why
    slowest: float = 0.0  # s, of those answered

    @property
    def total(self) -> int:
        return self.served + self.refused + self.failed + len(self.lost)


@dataclass(frozen=True, slots=True)
class MemoryUse:
    """Memory of a process in bytes."""

    resident: int
    peak_resident: int
    file_backed: int  # of `resident`: programs and libraries, which the system may drop and shares

    @property
    def peak_private(self) -> int:
        return self.peak_resident - self.file_backed


def memory_of(pid: int) -> MemoryUse:
    """Reads the memory of a running process; raises OSError if it has ended."""
    sizes = {}
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        name, _, value = line.partition(":")
        if name in ("VmRSS", "VmHWM", "RssFile"):
            sizes[name] = int(value.split()[0]) * 1024
    return MemoryUse(sizes["VmRSS"], sizes["VmHWM"], sizes["RssFile"])


class UsualClient:
    """A client that sends one request after another on a connection that it keeps."""

    def __init__(self, port: int, number: int, answers: Answers) -> None:
        self.port, self.number, self.answers = port, number, answers
        self.connection: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None
        self.sent = 0

    async def run(self, until: float) -> None:
        """Sends requests until a time (s, monotonic)."""
        while time.monotonic() < until:
            self.sent += 1
            await self._ask(f"usual-{self.number}-{self.sent}")
            await asyncio.sleep(PAUSE_S)
        self._close()

    async def _ask(self, request_id: str) -> None:
        began = time.monotonic()
        try:
            async with asyncio.timeout(USUAL_TIMEOUT_S + ANSWER_SLACK_S):
                message = await self._exchange(request_id)
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
            self._close()
            self.answers.lost.append(f"{request_id}: {error!r} after {time.monotonic() - began:.3f} s")
            return
        self.answers.slowest = max(self.answers.slowest, time.monotonic() - began)
        if message.status == 200:
            self.answers.served += 1
        elif message.status in (429, 503):
            self.answers.refused += 1
        else:
            self.answers.failed += 1
        if message.headers.get(b"connection", b"").lower() == b"close":
            self._close()

    async def _exchange(self, request_id: str) -> Message:
        """Sends a request; once more on a new connection if a kept one has been closed unanswered."""
        if self.connection:
            try:
                return await self._send(request_id)
            except (OSError, asyncio.IncompleteReadError) as error:
                if isinstance(error, asyncio.IncompleteReadError) and error.partial:
                    raise
                self._close()
        self.connection = await asyncio.open_connection("127.0.0.1", self.port)
        return await self._send(request_id)

    async def _send(self, request_id: str) -> Message:
        assert self.connection is not None
        reader, writer = self.connection
        writer.write(api_request(request_id, FIRST_USUAL_CUSTOMER + self.number, USUAL_TIMEOUT_S))
        return await read_message(reader)

    def _close(self) -> None:
        if self.connection:
            self.connection[1].transport.abort()
            self.connection = None


class Scene:
    """A gateway process with the given limits, its hosts and its discovery; `folder` gets its files."""

    def __init__(self, folder: Path, memory_mb: float, sockets: int, response_bytes: int = 0) -> None:
        self.limits = {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets}
        self.hosts = [Host(f"h{i}", lambda: SERVICE_TIME_S, ignore, ignore) for i in range(HOSTS)]
        for host in self.hosts:
            host.response_bytes = response_bytes
        self.registry = Registry(True, ignore)
        self.agent = Agent(self.registry, 0)
        self.gateway = GatewayProcess(0, folder, self._configuration, ignore)
        self.answers = Answers()

    async def __aenter__(self) -> Scene:
        for host in self.hosts:
            await host.start()
            self.registry.change(ListedHost(host.name, host.port, "active", host.started_at))
        await self.agent.start()
        await self.gateway.start()
        async with asyncio.timeout(START_TIMEOUT_S):
            while not self.gateway.is_ready:
                await asyncio.sleep(PAUSE_S)
        return self

    async def __aexit__(self, *_: object) -> None:
        await self.gateway.close()
        self.agent.close()
        for host in self.hosts:
            host.stop()

    @property
    def pid(self) -> int:
        assert self.gateway.process is not None
        return self.gateway.process.pid

    def memory(self) -> MemoryUse:
        """The gateway's memory; raises OSError if its process has ended."""
        return memory_of(self.pid)

    def log(self) -> str:
        """What the gateway has logged."""
        return self.gateway.paths[1].read_text()

    async def press(self, kind: Kind, connections: int, seconds: float) -> None:
        """Runs hostile clients for some seconds, beside usual ones that begin before and end after them."""
        end = time.monotonic() + seconds + 1.0
        usual = [
            asyncio.ensure_future(UsualClient(self.gateway.port, i, self.answers).run(end))
            for i in range(USUAL_CLIENTS)
        ]
        hostile = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "testbed.hostile", "--kind", kind.value, "--port", str(self.gateway.port),
            "--connections", str(connections), "--seconds", str(seconds),
            cwd=ROOT, stdin=asyncio.subprocess.DEVNULL, stdout=asyncio.subprocess.DEVNULL,
        )  # fmt: skip
        try:
            assert await hostile.wait() == 0
            await asyncio.gather(*usual)
        finally:
            for task in usual:
                task.cancel()
            with contextlib.suppress(ProcessLookupError):
                hostile.kill()

    def _configuration(self) -> dict[str, Any]:
        times = {"aim_s": USUAL_TIMEOUT_S / 2, "give_up_s": USUAL_TIMEOUT_S, "worth": 1.0}
        return {
            "name": "g0",
            "listen": f"127.0.0.1:{self.gateway.port}",
            "discovery": f"127.0.0.1:{self.agent.port}",
            "seed": "1",
            "limits": self.limits,
            "known": self.registry.full_list(),
            "settings": {
                "n_instances": GATEWAYS,
                "me": 0,
                "locality": 1,
                "zones": ["north", "south"],
                "skus": ["small", "large"],
                "classes": [
                    {"name": "safe", "repeat": "free", **times},
                    {"name": "unsafe", "repeat": "single_shot", **times},
                ],
                "packages": [{"name": "basic", "per_second": 1e4, "most_at_once": 1e5}],
                "ceilings": {
                    "send_cap": 4, "connect_timeout_s": 0.25, "conn_idle_s": 15.0, "retry_after": True,
                    "max_retry_after_s": 0.5, "may_cancel": True,
                },
                "family_info": {"may_count": False, "most_units": 4},
                "rules": {
                    "stop_sending_within_s": 2.0, "cold_from": 0.3, "ramp_time_s": 5.0, "fall_multiple": 4.0,
                    "overload_for_s": 2.0,
                },
            },
        }  # fmt: skip


def ignore(*_: object) -> None:
    """Takes no notice of what a stand-in reports."""
