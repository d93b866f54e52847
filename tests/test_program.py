"""The program as a process: configuration, signals and exit codes."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import resource
import signal
import socket
import sys
import time
import tomllib
from pathlib import Path
from typing import Any

import pytest
from net_helpers import (
    TEST_TIMEOUT_S,
    WATCH_RESPONSE_HEAD,
    Client,
    FakeServer,
    Registry,
    chunk,
    host_entry,
    http_response,
    list_message,
    request,
    run,
    settings,
    with_timeout,
)

from coralvale.__main__ import EarlyReload, serve
from coralvale.adapter import read_settings
from coralvale.net.clock import Clock
from coralvale.net.config import ConfigError, flatten, parse_config, read_config
from coralvale.net.node import MAX_PROPAGATION_DELAY_S
from testbed.standins.ports import free_port

READY_WITHIN = 10.0  # s; 9 in 10 gateways are required to be ready by then
ROOT = Path(__file__).resolve().parent.parent


def config(**more: Any) -> dict[str, Any]:
    data = {
        "name": "n1",
        "listen": "127.0.0.1:1",
        "discovery": "127.0.0.1:2",
        "counter": "127.0.0.1:3",
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256},
        "known": {"index": 41, "snapshot": True, "endpoints": []},
        "settings": settings(),
    }
    return {**data, **more}


async def start(path: Path, descriptors: int = 1024) -> asyncio.subprocess.Process:
    return await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "coralvale",
        cwd=ROOT,
        env={**os.environ, "LB_CONFIG": str(path)},
        stderr=asyncio.subprocess.PIPE,
        preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (descriptors, descriptors)),
    )


async def end(process: asyncio.subprocess.Process) -> None:
    """Stops the program with SIGTERM; it must exit with 0 and without a traceback."""
    process.send_signal(signal.SIGTERM)
    _, errors = await with_timeout(process.communicate())
    assert process.returncode == 0 and b"Traceback" not in errors


async def connect_when_ready(port: int) -> Client:
    """Waits until the program is ready; returns a connection to it."""
    async with asyncio.timeout(TEST_TIMEOUT_S):
        while True:
            try:
                client = Client(*await asyncio.open_connection("127.0.0.1", port))
                if (await client.ask(b"GET /up HTTP/1.1\r\n\r\n")).status == 200:
                    return client
                client.close()
            except (ConnectionError, asyncio.IncompleteReadError):
                pass
            await asyncio.sleep(0.02)


def test_nested_settings_are_flattened_to_the_paths_of_the_simulators_wire() -> None:
    objects = [{"x": "y z"}, {"x": ""}]
    pairs = flatten({"a": {"b": 1.5, "on": True}, "list": objects, "words": ["p", "q"], "no": []})
    assert pairs == {
        "a.b": "1.5",
        "a.on": "true",
        "list.count": "2",
        "list.0.x": "y z",
        "list.1.x": "",
        "words": "p,q",
        "no": "",
    }
    assert read_settings(flatten(settings())) == parse_config(config()).settings


@pytest.mark.parametrize(
    ("changes", "named"),
    [
        ({"listen": "nowhere"}, "nowhere"),
        ({"listen": None}, "config.json"),
        ({"discovery": "agent.internal:80"}, "agent.internal"),
        ({"seed": "xyz"}, "xyz"),
        ({"settings": {}}, "classes.count"),
        ({"settings": settings(ceilings={"send_cap": "many"})}, "send_cap"),
        ({"settings": settings(ceilings={"conn_idle_s": 0.0})}, "conn_idle"),
        ({"limits": {"sockets": 3}}, "sockets"),
        ({"limits": {"memory_mb": 0}}, "limits.memory_mb"),
        ({"limits": {"memory_mb": -32}}, "limits.memory_mb"),
        ({"limits": {"memory_mb": "much"}}, "limits.memory_mb"),
        ({"limits": {"memory_mb": True}}, "limits.memory_mb"),
        ({"limits": {"memory_mb": float("nan")}}, "limits.memory_mb"),
    ],
)
def test_the_error_names_an_invalid_setting(tmp_path: Path, changes: dict[str, Any], named: str) -> None:
    path = tmp_path / "config.json"
    path.write_text(json.dumps(config(**changes)))
    with pytest.raises(ConfigError, match=named):
        read_config(str(path))


def test_the_clock_agrees_with_unix_time_and_never_steps_back(monkeypatch: pytest.MonkeyPatch) -> None:
    clock = Clock()
    assert abs(clock.now() - time.time()) < 5
    before = clock.now()
    monkeypatch.setattr(time, "time", lambda: 0.0)
    assert clock.now() >= before


@pytest.mark.parametrize("text", ["{", "{}", None])
def test_an_invalid_configuration_ends_the_program_with_one_line(tmp_path: Path, text: str | None) -> None:
    async def test() -> None:
        path = tmp_path / "config.json"
        if text is not None:
            path.write_text(text)
        process = await start(path)
        _, err = await with_timeout(process.communicate())
        assert process.returncode == 2
        assert err.startswith(b"coralvale: ") and err.count(b"\n") == 1

    run(test())


def test_an_address_in_use_ends_the_program_with_one_line(tmp_path: Path) -> None:
    async def test() -> None:
        with socket.socket() as taken:
            taken.bind(("127.0.0.1", 0))
            taken.listen()
            path = tmp_path / "config.json"
            path.write_text(json.dumps(config(listen=f"127.0.0.1:{taken.getsockname()[1]}")))
            process = await start(path)
            _, err = await with_timeout(process.communicate())
            assert process.returncode == 1
            assert err.startswith(b"coralvale: ") and err.count(b"\n") == 1

    run(test())


def test_the_program_serves_and_ends_on_sigterm(tmp_path: Path) -> None:
    async def test() -> None:
        host, registry = await FakeServer(http_response(body=b"served")).start(), Registry()
        await registry.start()
        port = free_port()
        known = {"index": 1, "snapshot": True, "endpoints": [host_entry("s-1", host.port)]}
        path = tmp_path / "config.json"
        more = {"listen": f"127.0.0.1:{port}", "discovery": f"127.0.0.1:{registry.port}", "known": known}
        path.write_text(json.dumps(config(**more)))
        process = await start(path)
        client = await connect_when_ready(port)
        assert (await client.ask(request())).body == b"served"
        threads = [p.read_text() for p in Path(f"/proc/{process.pid}/task").glob("*/comm")]
        assert not [name for name in threads if name.startswith("iou-")]  # polling kernel threads of io_uring
        process.send_signal(signal.SIGTERM)
        assert await client.closed_by_gateway()
        await with_timeout(process.communicate())
        assert process.returncode == 0
        host.stop()
        registry.stop()

    run(test())


@pytest.mark.parametrize("sockets", [64, 1024])
def test_a_flood_of_connections_is_survived(tmp_path: Path, sockets: int) -> None:
    """With 64 sockets its own limits suffice; under a lower process limit it runs out, and must recover."""

    async def test() -> None:
        host, registry, port = await FakeServer().start(), Registry(), free_port()
        await registry.start()
        more = {
            "listen": f"127.0.0.1:{port}",
            "discovery": f"127.0.0.1:{registry.port}",
            "known": {"index": 1, "snapshot": True, "endpoints": [host_entry("s-1", host.port)]},
            "limits": {"sockets": sockets},
        }
        path = tmp_path / "config.json"
        path.write_text(json.dumps(config(**more)))
        process = await start(path, descriptors=sockets)
        first = await connect_when_ready(port)
        if sockets > 64:
            resource.prlimit(process.pid, resource.RLIMIT_NOFILE, (64, 64))
        first.send(request("first"))  # an open request, so that the connection is not closed as idle
        waiting = await host.next_request()
        flood = [Client(*await asyncio.open_connection("127.0.0.1", port)) for _ in range(150)]
        for client in flood:
            client.send(request()[:-2])
        if sockets > 64:
            assert process.stderr is not None
            await with_timeout(process.stderr.readuntil(b"cannot accept"))
        for client in flood:
            client.writer.transport.abort()
        after = await connect_when_ready(port)
        after.send(request("after"))
        (await host.next_request()).reply(http_response(body=b"served"))
        assert (await after.receive()).body == b"served"
        waiting.reply(http_response(body=b"served"))
        assert (await first.receive()).body == b"served"
        await end(process)
        host.stop()
        registry.stop()

    run(test())


@pytest.mark.parametrize("sockets", [96, 1024])
def test_idle_clients_leave_descriptors_for_the_watch_while_discovery_is_down(
    tmp_path: Path, sockets: int
) -> None:
    """Also if the configuration allows more descriptors than the process limit."""

    async def test() -> None:
        host, registry = await FakeServer(http_response(body=b"new")).start(), Registry()
        port, agent = free_port(), free_port()
        more = {
            "listen": f"127.0.0.1:{port}",
            "discovery": f"127.0.0.1:{agent}",
            "known": {"index": 1, "snapshot": True, "endpoints": []},
            "limits": {"sockets": sockets},
        }
        path = tmp_path / "config.json"
        path.write_text(json.dumps(config(**more)))
        process = await start(path, descriptors=96)
        await connect_when_ready(port)
        idle = [Client(*await asyncio.open_connection("127.0.0.1", port)) for _ in range(300)]
        for client in idle:
            client.send(b"GET /up HTTP/1.1\r\n\r\n")
        assert (await idle[0].receive()).status == 200
        # The idle clients stay, and take each descriptor that is freed.
        async with asyncio.timeout(MAX_PROPAGATION_DELAY_S):
            await registry.start(agent)
            watch = await registry.watch()
            watch.reply(chunk(list_message(2, host_entry("s-1", host.port))))
            answered = b""
            while answered != b"new":  # until the program has read the list
                asking = Client(*await asyncio.open_connection("127.0.0.1", port))
                with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
                    answered = (await asking.ask(request())).body
                asking.close()
        await end(process)
        host.stop()
        registry.stop()

    run(test())


@pytest.mark.parametrize("mode", ["pushed", "on_request"])
@pytest.mark.parametrize("agent", ["refuses", "never responds", "responds 503", "responds"])
def test_gateways_restarted_together_are_ready_in_time(tmp_path: Path, agent: str, mode: str) -> None:
    """Whatever discovery does: the configured list is enough."""

    async def test() -> None:
        registry, ports = Registry(), [free_port() for _ in range(6)]
        await registry.start()
        if agent == "responds 503":
            registry.auto_response = http_response(503, b"")
        if agent == "responds":
            registry.auto_response = WATCH_RESPONSE_HEAD + chunk(b"\n")
        processes = []
        async with asyncio.timeout(READY_WITHIN):
            for port in ports:
                path = tmp_path / f"{port}.json"
                more = {
                    "listen": f"127.0.0.1:{port}",
                    "discovery": f"127.0.0.1:{free_port() if agent == 'refuses' else registry.port}",
                    "known": {"index": 1, "snapshot": True, "endpoints": [host_entry("s-1", 1)]},
                    "settings": settings(registry_mode=mode),
                }
                path.write_text(json.dumps(config(**more)))
                processes.append(await start(path))
            await asyncio.gather(*(connect_when_ready(port) for port in ports))
        await asyncio.gather(*map(end, processes))
        registry.stop()

    run(test())


OTHER_SETTINGS: dict[str, dict[str, Any]] = {
    "an unsafe class with short deadlines, and nothing that is optional": {
        "classes": [
            {"name": "sell", "aim_s": 0.5, "give_up_s": 0.8, "worth": 0.0, "repeat": "single_shot"},
        ],
        "packages": [{"name": "per seat", "per_second": 0.0, "most_at_once": 0.0, "concurrency": 2}],
        "zones": [],
        "skus": [],
        "ceilings": {"send_cap": 3, "retry_after": False, "may_cancel": False},
        "family_info": {"may_count": False, "use_period_s": 0.0, "post_paid": True},
        "registry_mode": "on_request",
    },
    "names with special characters, a class keyed by zone, a plan with a ceiling and zero costs": {
        "classes": [
            {
                **{"name": "a.b/c=1;d", "aim_s": 0.3, "give_up_s": 2.0, "worth": 1.0, "repeat": "guarded"},
                **{"group": "zone", "key_ttl_s": 1.0},
            },
            {"name": "\u00fcber", "aim_s": 1.0, "give_up_s": 2.0, "worth": 1.0, "repeat": "free"},
        ],
        "packages": [
            {
                **{"name": "Gro\u00df & Klein", "per_second": 5.0, "most_at_once": 9.0, "value_factor": 0.0},
                **{"excess_cost": 0.0, "never_over_rate": 20.0, "hard_burst": 40.0, "tolerance": 1.0},
            },
        ],
        "load_info": {"via": "off", "columns": []},
    },
}


@pytest.mark.parametrize("name", OTHER_SETTINGS)
def test_the_program_serves_with_other_classes_and_plans(tmp_path: Path, name: str) -> None:
    """A second attempt follows one that was not processed, but none that an unsafe class may have run."""

    async def test() -> None:
        host, registry, port = await FakeServer().start(), await Registry().start(), free_port()
        other = {key: value for key, value in settings().items() if key not in OTHER_SETTINGS[name]}
        other |= OTHER_SETTINGS[name]
        hosts = [host_entry(f"s-{i}", host.port, zone="", type="") for i in range(2)]
        path = tmp_path / "config.json"
        more = {
            **{"listen": f"127.0.0.1:{port}", "discovery": f"127.0.0.1:{registry.port}", "counter": None},
            **{"known": {"index": 1, "snapshot": True, "endpoints": hosts}, "settings": other},
        }
        path.write_text(json.dumps(config(**more)))
        process = await start(path)
        client, (plan,) = await connect_when_ready(port), other["packages"]

        def ask(id: str, cls: dict[str, Any]) -> None:
            method = b"GET" if cls["repeat"] == "free" else b"POST"
            names = f"X-Request-ID: {id}\r\nX-Priority-Class: {cls['name']}\r\nPlan: {plan['name']}\r\n"
            rest = "Cookie: client=00000000b4d65521\r\nX-Timeout: 30\r\nQuota-Info: units=1,spread=1,first=1"
            client.send(method + b" /api HTTP/1.1\r\n" + f"{names}{rest}\r\n\r\n".encode())

        for number, cls in enumerate(other["classes"]):
            ask(f"twice{number}", cls)
            if number == 0:  # the retry budget is one attempt at the start
                (await host.next_request()).reply(http_response(503, X_Not_Processed="1"))
            (await host.next_request()).reply(http_response(body=b"served", Billed_Units="1"))
            assert (await client.receive()).body == b"served"
            if cls["repeat"] == "single_shot":
                ask(f"once{number}", cls)
                (await host.next_request()).reset()
                message = await client.receive()
                assert message.status in (502, 504) and b"retry-after" not in message.headers
                assert host.requests.empty()
        await end(process)
        host.stop()
        registry.stop()

    run(test())


def test_sigterm_before_it_is_ready_ends_the_program_cleanly(tmp_path: Path) -> None:
    """The listener is open and no list has come: the client gets a response, and the exit code is 0."""

    async def test() -> None:
        port, path = free_port(), tmp_path / "config.json"
        registry = await Registry().start()  # accepts, and never responds
        path.write_text(
            json.dumps(config(listen=f"127.0.0.1:{port}", discovery=f"127.0.0.1:{registry.port}"))
        )
        process = await start(path)
        async with asyncio.timeout(TEST_TIMEOUT_S):
            while True:
                try:
                    client = Client(*await asyncio.open_connection("127.0.0.1", port))
                    break
                except ConnectionError:
                    await asyncio.sleep(0.005)
        process.send_signal(signal.SIGTERM)
        assert (await client.ask(b"GET /up HTTP/1.1\r\n\r\n")).status in (200, 503)
        _, errors = await with_timeout(process.communicate())
        assert process.returncode == 0 and b"Traceback" not in errors
        registry.stop()

    run(test())


def test_sighup_moves_discovery_and_counter_without_disturbing_requests(tmp_path: Path) -> None:
    """An invalid file changes nothing; an open request is answered; the list comes from the new agent."""

    async def test() -> None:
        host, other = await FakeServer().start(), await FakeServer(http_response(body=b"other")).start()
        registry, moved = Registry(), Registry()
        await registry.start()
        await moved.start()
        port = free_port()
        known = {"index": 1, "snapshot": True, "endpoints": [host_entry("s-1", host.port)]}
        path = tmp_path / "config.json"
        more = {"listen": f"127.0.0.1:{port}", "discovery": f"127.0.0.1:{registry.port}", "known": known}
        path.write_text(json.dumps(config(**more)))
        process = await start(path)
        assert process.stderr is not None
        client = await connect_when_ready(port)
        client.send(request())
        arrived = await host.next_request()
        path.write_text("{")
        process.send_signal(signal.SIGHUP)
        await with_timeout(process.stderr.readuntil(b"keeping the old configuration"))
        path.write_text(json.dumps(config(**more)))
        process.send_signal(signal.SIGHUP)  # without a change in the file
        more |= {"discovery": f"127.0.0.1:{moved.port}", "counter": f"127.0.0.1:{free_port()}"}
        path.write_text(json.dumps(config(**more)))
        process.send_signal(signal.SIGHUP)
        watch = await moved.watch()
        process.send_signal(signal.SIGHUP)
        watch.reply(chunk(list_message(1, host_entry("s-2", other.port), snapshot=True)))
        arrived.reply(http_response(body=b"served"))
        assert (await client.receive()).body == b"served"
        async with asyncio.timeout(TEST_TIMEOUT_S):
            while (await client.ask(request(os.urandom(4).hex()))).body != b"other":
                await asyncio.sleep(0.01)
        assert moved.connections == 1
        process.send_signal(signal.SIGTERM)
        process.send_signal(signal.SIGHUP)
        await with_timeout(process.communicate())
        assert process.returncode == 0
        for peer in (host, other, registry, moved):
            peer.stop()

    run(test())


def test_sighup_while_the_interpreter_starts_does_not_end_the_program(tmp_path: Path) -> None:
    """SIGHUP kills a process without a handler, and the program sets its own only once modules are loaded.

    Gateways were killed by it (code -1) within 0.1 s of their start. The command in the deploy file therefore
    ignores SIGHUP before the interpreter starts.
    """

    async def test() -> None:
        registry, port = await Registry(http_response(503, b"")).start(), free_port()
        path = tmp_path / "config.json"
        more = {"listen": f"127.0.0.1:{port}", "discovery": f"127.0.0.1:{registry.port}"}
        path.write_text(json.dumps(config(**more)))
        command = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        process = await asyncio.create_subprocess_exec(
            *("sh", "-c", command.replace(".venv/bin/python", sys.executable)),
            cwd=ROOT,
            env={**os.environ, "LB_CONFIG": str(path)},
            stderr=asyncio.subprocess.PIPE,
        )
        name = Path(f"/proc/{process.pid}/cmdline")
        async with asyncio.timeout(TEST_TIMEOUT_S):
            while not name.read_bytes().startswith(sys.executable.encode()):
                await asyncio.sleep(0)
        process.send_signal(signal.SIGHUP)
        await connect_when_ready(port)
        await end(process)
        registry.stop()

    run(test())


def test_sighup_before_the_event_loop_runs_is_handled_later(tmp_path: Path) -> None:
    """The file is changed, and SIGHUP sent, after it was read but before the event loop handles signals."""

    async def test() -> None:
        registry, moved = await Registry().start(), await Registry().start()
        path = tmp_path / "config.json"
        listen = f"127.0.0.1:{free_port()}"
        path.write_text(json.dumps(config(listen=listen, discovery=f"127.0.0.1:{registry.port}")))
        early = EarlyReload()
        first = read_config(str(path))
        path.write_text(json.dumps(config(listen=listen, discovery=f"127.0.0.1:{moved.port}")))
        signal.raise_signal(signal.SIGHUP)
        serving = asyncio.ensure_future(serve(first, str(path), early))
        await moved.watch()
        os.kill(os.getpid(), signal.SIGTERM)
        await with_timeout(serving)
        registry.stop()
        moved.stop()

    before = signal.getsignal(signal.SIGHUP)
    try:
        run(test())
    finally:
        signal.signal(signal.SIGHUP, before)


def test_signals_while_the_interpreter_exits_do_not_change_the_exit_code(tmp_path: Path) -> None:
    """A gateway that was shutting down cleanly was killed by a SIGHUP 0.7 s after SIGTERM, with code -1.

    The event loop restores the default actions of its signals when it closes, and the interpreter takes some
    milliseconds more to exit.
    """

    async def test() -> None:
        registry, port = await Registry(http_response(503, b"")).start(), free_port()
        path = tmp_path / "config.json"
        path.write_text(
            json.dumps(config(listen=f"127.0.0.1:{port}", discovery=f"127.0.0.1:{registry.port}"))
        )
        process = await start(path)
        client = await connect_when_ready(port)
        process.send_signal(signal.SIGTERM)
        assert await client.closed_by_gateway()
        while process.returncode is None:
            for number in (signal.SIGHUP, signal.SIGTERM):
                process.send_signal(number)
            await asyncio.sleep(0.001)  # a faster series would keep the process from exiting
        assert process.returncode == 0
        registry.stop()

    run(test())
