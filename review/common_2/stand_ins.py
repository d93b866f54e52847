"""Stand-ins of the second review: gateways as processes, and small hosts, discovery, counter and clients.

Everything listens on 127.0.0.0/8. Only the standard library is used; the gateways are started with `run` of
the deploy file from the repository's root, which is found from this file's own place.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent.parent
HEARTBEAT_S = 2.0  # between empty lines on a watch
READY_TIMEOUT_S = 30.0
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # value of SO_LINGER

Headers = dict[str, str]


class CannotRun(Exception):
    """The case could not be played; the script exits with 2."""


class Record:
    """What was sent, answered and run, written to `record.txt` beside the script."""

    def __init__(self, folder: Path) -> None:
        self.path, self.began_at, self.lines = folder / "record.txt", time.time(), list[str]()

    def add(self, text: str) -> None:
        self.lines.append(f"{time.time() - self.began_at:9.4f} {text}")

    def write(self) -> None:
        self.path.write_text("\n".join(self.lines) + "\n")


_reserved: list[socket.socket] = []


def free_port(address: str = "127.0.0.1") -> int:
    """A port that stays reserved for a listener with SO_REUSEADDR until this process ends."""
    reservation = socket.socket()
    reservation.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    reservation.bind((address, 0))
    _reserved.append(reservation)
    return int(reservation.getsockname()[1])


async def read_head(reader: asyncio.StreamReader) -> tuple[str, Headers]:
    """The start line and the headers, by name in lower case."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    start_line, *lines = head[:-4].split("\r\n")
    pairs = (line.partition(":") for line in lines)
    return start_line, {name.lower(): value.strip() for name, _, value in pairs}


async def read_body(reader: asyncio.StreamReader, headers: Headers) -> bytes:
    return await reader.readexactly(int(headers.get("content-length", "0")))


def response(status: int, body: bytes = b"", **headers: str) -> bytes:
    """An HTTP response with its length; underscores in header names stand for hyphens."""
    lines = [f"HTTP/1.1 {status} x", f"Content-Length: {len(body)}"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def reset(writer: asyncio.StreamWriter) -> None:
    """Ends a connection with a TCP reset."""
    with contextlib.suppress(OSError):
        connection = writer.get_extra_info("socket")
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    writer.transport.abort()


class Listener:
    """A TCP server on loopback whose `serve` handles one connection."""

    def __init__(self, address: str = "127.0.0.1") -> None:
        self.address, self.port = address, free_port(address)
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        self.server = await asyncio.start_server(self._on_connection, self.address, self.port, backlog=512)

    def stop(self, with_reset: bool = True) -> None:
        """Stops listening and ends all connections, as a process that dies does."""
        if self.server:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            reset(writer) if with_reset else writer.close()

    async def _on_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
                await self.serve(reader, writer)
        except asyncio.CancelledError:
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        raise NotImplementedError


class Counter(Listener):
    """The shared counter: exact totals, kept for `keep_ms` from a name's first call."""

    def __init__(self, delay: float = 0.001) -> None:
        super().__init__()
        self.delay, self.calls = delay, 0
        self.totals: dict[str, float] = {}
        self.ends: dict[str, float] = {}

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            start_line, headers = await read_head(reader)
            await read_body(reader, headers)
            name, _, query = start_line.split(" ")[1].removeprefix("/tally/").partition("?")
            fields = dict(field.split("=") for field in query.split("&"))
            await asyncio.sleep(self.delay)
            now, keep = time.monotonic(), min(60.0, float(fields["keep_ms"]) / 1000)
            if now >= self.ends.get(name, 0.0):
                self.totals[name], self.ends[name] = 0.0, now + keep
            self.totals[name] += float(fields["n"])
            self.calls += 1
            writer.write(response(200, f"{self.totals[name]:.7g}".encode()))


class Discovery(Listener):
    """The agent of the gateways: a watch that tells the list first and then what changes."""

    def __init__(self) -> None:
        super().__init__()
        self.index, self.entries = 1, dict[str, dict[str, Any]]()
        self.history = list[tuple[int, dict[str, Any]]]()
        self.changed = asyncio.Event()

    def set(self, entry: dict[str, Any]) -> None:
        """Lists a host, or changes its entry."""
        self.index += 1
        self.history.append((self.index, entry))
        if entry["status"] == "left":
            self.entries.pop(entry["name"], None)
        else:
            self.entries[entry["name"]] = entry
        self.changed.set()
        self.changed = asyncio.Event()

    def snapshot(self) -> dict[str, Any]:
        return {"index": self.index, "snapshot": True, "endpoints": list(self.entries.values())}

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        start_line, _ = await read_head(reader)
        target = start_line.split(" ")[1]
        fields = dict(f.split("=") for f in target.partition("?")[2].split("&") if f)
        if "stream" not in fields:
            writer.write(response(200, json.dumps(self.snapshot()).encode()))
            return
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        known = int(fields["index"]) if "index" in fields else None
        while not writer.is_closing():
            if known is None:
                self._tell(writer, self.snapshot())
            elif known != self.index:
                latest = {entry["name"]: entry for index, entry in self.history if index > known}
                message = {"index": self.index, "snapshot": False, "endpoints": list(latest.values())}
                self._tell(writer, message)
            else:
                writer.write(b"1\r\n\n\r\n")
            known = self.index
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.changed.wait(), HEARTBEAT_S)

    @staticmethod
    def _tell(writer: asyncio.StreamWriter, message: dict[str, Any]) -> None:
        line = json.dumps(message).encode() + b"\n"
        writer.write(b"%x\r\n%b\r\n" % (len(line), line))


class Arrival:
    """A request that a host has read whole."""

    def __init__(self, host: Host, start_line: str, headers: Headers, body: bytes) -> None:
        self.host, self.start_line, self.headers, self.body = host, start_line, headers, body
        self.at, self.id = time.time(), headers.get("x-request-id", "")


Handler = Callable[[Arrival, asyncio.StreamReader, asyncio.StreamWriter], Awaitable[bool]]


class Host(Listener):
    """A host; `handle` answers a request that was read whole and returns whether the connection stays."""

    def __init__(
        self, name: str, handle: Handler, group: int = 0, zone: str = "hall-a", address: str = "127.0.0.1"
    ) -> None:
        super().__init__(address)
        self.name, self.handle, self.group, self.zone = name, handle, group, zone
        self.since_ms = 0

    def entry(self, status: str = "active") -> dict[str, Any]:
        return {
            "name": self.name, "address": f"{self.address}:{self.port}", "zone": self.zone, "type": "std",
            "group": self.group, "status": status, "weight": 1.0, "since_ms": self.since_ms,
        }  # fmt: skip

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        keep = True
        while keep:
            start_line, headers = await read_head(reader)
            body = await read_body(reader, headers)
            keep = await self.handle(Arrival(self, start_line, headers, body), reader, writer)
            await writer.drain()


class GatewayProcess:
    """One gateway, started with `run` of the deploy file."""

    def __init__(self, index: int, folder: Path, config: dict[str, Any], record: Record) -> None:
        self.index, self.record, self.port = index, record, free_port()
        self.path, self.log = folder / f"gateway{index}.json", folder / f"gateway{index}.log"
        self.config = {**config, "name": f"n{index}", "listen": f"127.0.0.1:{self.port}"}
        self.process: asyncio.subprocess.Process | None = None
        self.starts = 0

    def write_config(self) -> None:
        new = self.path.with_suffix(".new")
        new.write_text(json.dumps(self.config))
        new.replace(self.path)

    async def start(self) -> None:
        """Starts the process and waits until it answers that it is up."""
        self.starts += 1
        self.config["seed"] = f"{self.starts * 1000 + self.index + 1:016x}"
        self.write_config()
        command = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", command, cwd=ROOT, env={**os.environ, "LB_CONFIG": str(self.path)},
                stdin=asyncio.subprocess.DEVNULL, stdout=log, stderr=log,
            )  # fmt: skip
        self.record.add(f"gateway {self.index}: started")
        end = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < end and self.process.returncode is None:
            if await self._is_up():
                self.record.add(f"gateway {self.index}: up")
                return
            await asyncio.sleep(0.02)
        raise CannotRun(f"gateway {self.index} did not come up, see {self.log.read_text()[-500:]}")

    async def _is_up(self) -> bool:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
                try:
                    writer.write(b"GET /up HTTP/1.1\r\nHost: service.internal\r\n\r\n")
                    return (await read_head(reader))[0].split(" ")[1] == "200"
                finally:
                    writer.close()
        return False

    def signal(self, number: signal.Signals) -> None:
        assert self.process
        self.record.add(f"gateway {self.index}: {number.name}")
        with contextlib.suppress(ProcessLookupError):
            os.kill(self.process.pid, number)

    async def stop(self) -> None:
        """Kills the process if it still runs."""
        if self.process and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                os.kill(self.process.pid, signal.SIGCONT)
                os.kill(self.process.pid, signal.SIGKILL)
            await self.process.wait()


class Answer:
    """What a client got: a status and a body, or how its connection ended."""

    def __init__(self, status: int, body: bytes = b"", headers: Headers | None = None, end: str = "") -> None:
        self.status, self.body, self.headers, self.end = status, body, headers or {}, end
        self.at = time.time()


class Clients:
    """Connections to one gateway, kept and reused one request at a time."""

    def __init__(self, gateway: GatewayProcess) -> None:
        self.gateway = gateway
        self.idle: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []

    async def send(self, data: bytes, timeout: float, reuse: bool = True) -> Answer:
        """Sends a request; one whose kept connection ends unanswered is sent once more on a new one."""
        while reuse and self.idle:
            reader, writer = self.idle.pop()
            if reader.at_eof() or writer.is_closing():
                writer.close()
                continue
            answer = await self._exchange(reader, writer, data, timeout)
            if answer.end == "closed":
                break
            return answer
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.gateway.port)
        except OSError as error:
            return Answer(0, end=f"no connection: {error.strerror}")
        return await self._exchange(reader, writer, data, timeout)

    async def _exchange(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, data: bytes, timeout: float
    ) -> Answer:
        try:
            async with asyncio.timeout(timeout):
                writer.write(data)
                start_line, headers = await read_head(reader)
                body = await read_body(reader, headers)
        except TimeoutError:
            writer.transport.abort()
            return Answer(0, end="no answer")
        except (OSError, asyncio.IncompleteReadError) as error:
            writer.close()
            partial = isinstance(error, asyncio.IncompleteReadError) and bool(error.partial)
            return Answer(0, end="cut" if partial else "closed")
        if headers.get("connection", "").lower() == "close":
            writer.close()
        else:
            self.idle.append((reader, writer))
        return Answer(int(start_line.split(" ")[1]), body, headers)


def request(
    id_: str, class_: str, plan: str, customer: int, units: int, timeout: float, spread: int,
    first: int = 0, method: str = "GET", key: str = "", body: bytes = b"",
) -> bytes:  # fmt: skip
    """A client's request as the protocol page has it."""
    lines = [
        f"{method} /api HTTP/1.1", "Host: service.internal", f"X-Request-ID: {id_}",
        f"X-Priority-Class: {class_}", f"Plan: {plan}", f"Cookie: client={customer:016x}",
        f"X-Timeout: {timeout:.3f}", f"Quota-Info: units={units},spread={spread},first={first}",
    ]  # fmt: skip
    lines += [f"Idempotency-Key: {key}"] if key else []
    lines += [f"Content-Length: {len(body)}"] if method == "POST" else []
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def class_setting(name: str, aim: float, give_up: float, repeat: str, **more: Any) -> dict[str, Any]:  # noqa: ANN401
    shared = {"name": name, "aim_s": aim, "give_up_s": give_up, "repeat": repeat, "worth": 1.0}
    return {**shared, "late_value": 0.0, "streaming": False, **more}


def plan_setting(name: str, rate: float, burst: float, **more: Any) -> dict[str, Any]:  # noqa: ANN401
    shared = {"name": name, "per_second": rate, "most_at_once": burst, "concurrency": 0, "value_factor": 1.0}
    ceiling = {"never_over_rate": 0.0, "hard_burst": 0.0, "tolerance": 0.0}
    return {**shared, "excess_cost": 1.0, "excess_worth": 0.0, **ceiling, **more}


def settings(
    index: int,
    gateways: int,
    classes: list[dict[str, Any]],
    plans: list[dict[str, Any]],
    **more: dict[str, Any],
) -> dict[str, Any]:
    """The settings of a gateway, with the figures of the wire page's example where nothing else is given."""
    family = {"may_count": True, "count_wait_s": 0.03, "use_period_s": 0.5, "most_units": 3}
    family |= {"post_paid": False, "inbox_per_s": 0.0, "count_fee": 0.01}
    ceilings = {
        "conn_idle_s": 15.0, "connect_timeout_s": 0.25, "max_retry_after_s": 0.5, "max_streams": 1,
        "may_cancel": True, "may_probe": True, "most_held": 20000, "peer_messages": False,
        "retry_after": True, "second_copies": True, "send_cap": 5,
    }  # fmt: skip
    rules = {
        "answer_slack_s": 0.008, "ask_within_s": 10.0, "cold_from": 0.19, "fall_multiple": 4.0,
        "overload_for_s": 3.0, "ramp_time_s": 14.0, "stop_sending_within_s": 2.0,
    }  # fmt: skip
    return {
        "family": "gate", "me": index, "n_instances": gateways, "locality": 0,
        "zones": ["hall-a", "hall-b"], "skus": ["std", "slow"], "registry_mode": "pushed", "weights": "off",
        "clients": {"marks_retry": False}, "load_info": {"columns": ["queue", "qps"], "via": "off"},
        "classes": classes, "packages": plans,
        "family_info": family | more.get("family_info", {}),
        "ceilings": ceilings | more.get("ceilings", {}),
        "rules": rules | more.get("rules", {}),
    }  # fmt: skip


def main(play: Callable[[Path, Path, Record, bool], Awaitable[bool]]) -> None:
    """Plays a case: exits with 1 if `play` returns that the rule was broken, 0 if it held, 2 if it failed."""
    folder = Path(sys.argv[0]).resolve().parent
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record, code = Record(folder), 2
    record.add(f"{'with' if trouble else 'without'} the disruption")
    try:
        with tempfile.TemporaryDirectory() as temporary:
            broken = asyncio.run(asyncio.wait_for(play(folder, Path(temporary), record, trouble), 115.0))
        code = 1 if broken else 0
    except (CannotRun, TimeoutError, OSError) as error:
        record.add(f"could not run: {type(error).__name__}: {error}")
    record.add({0: "the rule held", 1: "the rule was broken", 2: "the case could not run"}[code])
    record.write()
    print(record.lines[-1], flush=True)
    os._exit(code)  # at once: streams that were left open would write warnings
