"""The node between decision module and sockets: each attempt has one outcome, each request one response."""

from __future__ import annotations

import asyncio
import contextlib
import gc
import math
import os
import socket
import time
from dataclasses import replace
from types import SimpleNamespace
from typing import Any

import pytest
from net_helpers import (
    SETTINGS,
    FakeServer,
    ManualClock,
    Registry,
    RunningGateway,
    chunk,
    hold_connects,
    host_entry,
    http_response,
    list_message,
    request,
    run,
    run_in_fake_time,
    running_gateway,
    until,
    with_timeout,
)

from coralvale import interface as api
from coralvale.interface import Outcome
from coralvale.net.client_connection import MAX_PIPELINED_REQUESTS, READ_AHEAD_BYTES, Exchange
from coralvale.net.clock import Clock
from coralvale.net.node import FLUSH_S, KILL_MARGIN_S, PendingRequest
from coralvale.net.server import NEW_CONNECTION_GRACE_S
from coralvale.net.upstream import REUSE_DELAY_S, Attempt


def send_all(w: RunningGateway, *hosts: str, timeout: float = 60.0) -> None:
    """Has the module send the attempts of a request to `hosts` in turn; after the last the request fails."""
    remaining = list(hosts)

    def send_next(name: str) -> list[api.Action]:
        return (
            [api.Send(name, remaining.pop(0), w.node.clock.now() + timeout)]
            if remaining
            else [api.Fail(name)]
        )

    w.script.on(api.Request, lambda e: send_next(e.id))
    w.script.on(api.AttemptDone, lambda e: [] if e.request_done else send_next(e.request))


@pytest.mark.parametrize(("cls", "method"), [("read", b"GET"), ("write", b"POST")])
def test_a_request_and_its_response_are_passed_on_unchanged(cls: str, method: bytes) -> None:
    async def test() -> None:
        host = await FakeServer().start()
        async with running_gateway(host_entry("s-1", host.port)) as w:
            send_all(w, "s-1")
            client = await w.client()
            body = os.urandom(60_000) if cls == "write" else b""
            client.send(request("id-1", cls, target="/api?a=%20b&c", body=body, Accept="x/y"))
            arrived = await host.next_request()
            assert arrived.message.start_line == method + b" /api?a=%20b&c HTTP/1.1"
            assert arrived.message.headers[b"x-request-id"] == b"id-1" and arrived.message.body == body
            assert arrived.message.headers[b"accept"] == b"x/y"
            assert 0 < float(arrived.message.headers[b"x-timeout"]) < 30
            reply = os.urandom(64 * 1024)
            arrived.reply(http_response(200, reply, Usage_Percent="85", Content_Type="a/b"))
            message = await client.receive()
            assert message.status == 200 and message.body == reply
            assert message.headers[b"content-type"] == b"a/b" and b"usage-percent" not in message.headers
            done = await w.attempt_done()
            assert (done.attempt, done.outcome, done.request_done, done.usage) == (0, Outcome.OK, True, 0.85)
            assert not w.node.pending
        host.stop()

    run(test())


def test_the_decision_module_decides_on_each_further_attempt() -> None:
    async def test() -> None:
        host = await FakeServer().start()
        async with running_gateway(host_entry("s-1", host.port), host_entry("s-2", host.port)) as w:
            send_all(w, "s-1", "s-2", "unknown")
            client = await w.client()
            client.send(request())
            (await host.next_request()).reply(http_response(503, X_Not_Processed="1"))
            (await host.next_request()).reset()
            assert (await client.receive()).status == 502
            done = await w.attempt_done(3)
            assert [d.attempt for d in w.script.received(api.AttemptDone)] == [0, 1, 2]
            outcomes = [d.outcome for d in w.script.received(api.AttemptDone)]
            assert outcomes == [Outcome.FULL, Outcome.RESET, Outcome.NOT_SENT]
            assert not done.request_done and not w.node.pending
        host.stop()

    run(test())


def test_an_attempt_ends_at_its_deadline_and_the_request_at_the_clients_timeout() -> None:
    async def test() -> None:
        host = await FakeServer().start()
        async with running_gateway(host_entry("s-1", host.port), host_entry("s-2", host.port)) as w:
            send_all(w, "s-1", "s-2", timeout=0.05)
            assert (await w.ask(request())).status == 504
            assert [d.outcome for d in w.script.received(api.AttemptDone)] == [Outcome.TIMEOUT] * 2
            send_all(w, "s-1")
            assert (await w.ask(request("r2", X_Timeout="0.1"))).status == 504
            assert (await w.attempt_done(3)).outcome is Outcome.TIMEOUT
            await until(lambda: not w.node.pending)
        host.stop()

    run(test())


def test_a_request_without_a_decision_is_answered() -> None:
    async def test() -> None:
        async with running_gateway() as w:
            message = await w.ask(request(X_Timeout="0.1"))
            assert message.status == 503 and w.script.received(api.RequestAbandoned) == [
                api.RequestAbandoned("r1")
            ]
            w.script.on(api.Request, lambda e: [api.Refuse(e.id, 0.1), api.Fail(e.id), api.Refuse(e.id)])
            client = await w.client()
            assert (await client.ask(request("r2"))).headers[b"retry-after"] == b"0.100"
            assert (await client.ask(request("r3"))).headers[b"retry-after"] == b"0.100"

    run(test())


def test_an_attempt_has_one_outcome_even_if_the_client_has_left() -> None:
    async def test() -> None:
        host = await FakeServer().start()
        async with running_gateway(host_entry("s-1", host.port)) as w:
            send_all(w, "s-1")
            client = await w.client()
            client.send(request())
            arrived = await host.next_request()
            client.close()
            await until(lambda: w.script.received(api.RequestAbandoned))
            assert w.node.pending and not w.script.received(api.AttemptDone)
            arrived.reply(http_response())
            done = await w.attempt_done()
            assert done.outcome is Outcome.OK and done.request_done and not w.node.pending
        host.stop()

    run(test())


def test_a_cancelled_attempt_is_closed_and_reported_once() -> None:
    async def test() -> None:
        host = await FakeServer().start()
        async with running_gateway(host_entry("s-1", host.port)) as w:
            send_all(w, "s-1")
            client = await w.client()
            client.send(request())
            await host.next_request()
            for _ in range(2):
                w.node.action_handlers[api.Cancel](api.Cancel("r1", 0))
            assert (await client.receive()).status == 502
            assert [d.outcome for d in w.script.received(api.AttemptDone)] == [Outcome.CANCELLED]
            await until(lambda: host.closed == 1)
        host.stop()

    run(test())


@pytest.mark.parametrize("change", ["left", "leaving", "restarted", "moved", "client", "none"])
def test_host_and_client_are_checked_again_between_connect_and_write(change: str) -> None:
    async def test() -> None:
        host = await FakeServer(http_response()).start()
        known = host_entry("s-1", host.port)
        async with running_gateway(known, real_module=True) as w:
            events, handle = list[api.Event](), w.node.gateway.handle

            def record(now: float, event: api.Event) -> list[api.Action]:
                events.append(event)
                return handle(now, event)

            w.node.gateway.handle = record  # type: ignore[method-assign]
            watch = await w.registry.watch()
            started, go = hold_connects(w.node.upstreams)
            client = await w.client()
            client.send(request())
            await with_timeout(started.wait())
            if change == "client":
                client.close()
                await until(lambda: w.node.pending["r1"].answered)
            elif change != "none":
                more = {
                    "left": {"status": "left"},
                    "leaving": {"status": "leaving"},
                    "restarted": {"since_ms": 1000},
                    "moved": {"address": "127.0.0.1:1"},
                }[change]
                before = w.node.discovery.endpoints["s-1"]
                watch.reply(chunk(list_message(42, {**known, **more})))
                await until(lambda: w.node.discovery.endpoints.get("s-1") != before)
            go.set()
            if change != "client":
                assert (await client.receive()).status == (200 if change == "none" else 503)
            await until(lambda: not w.node.pending)
            (done,) = [event for event in events if isinstance(event, api.AttemptDone)]
            if change == "none":
                assert done.outcome is Outcome.OK and host.requests.qsize() == 1
            else:
                assert done.outcome is Outcome.NOT_SENT and host.requests.empty()
        host.stop()

    run(test())


@pytest.mark.parametrize("connects", ["within the window", "after the window"])
def test_a_keyed_request_is_not_written_after_its_keys_window(connects: str) -> None:
    # Guards against a second run: decided in time, the attempt waited for a connection past the window.
    window = 2.0  # s

    async def test() -> None:
        hosts = {f"s-{i}": await FakeServer().start() for i in range(2)}
        known = [host_entry(name, host.port) for name, host in hosts.items()]
        keyed = {"name": "write", "repeat": "guarded", "group": "all", "key_ttl_s": window}
        classes = [{**keyed, "aim_s": 5.0, "give_up_s": 30.0, "worth": 2.0}]
        async with running_gateway(*known, real_module=True, classes=classes) as w:
            client = await w.client()
            client.send(request("r1", "write", body=b"x", Idempotency_Key="k1"))
            await until(lambda: any(host.requests.qsize() for host in hosts.values()))
            first, other = sorted(hosts.values(), key=lambda host: -host.requests.qsize())
            started, go = hold_connects(w.node.upstreams)
            (await first.next_request()).reset()
            await with_timeout(started.wait())
            if connects == "after the window":
                now = w.node.clock.now
                w.node.clock.now = lambda: now() + window  # type: ignore[method-assign]
            go.set()
            if connects == "within the window":
                (await other.next_request()).reply(http_response())
                assert (await client.receive()).status == 200
            else:
                assert (await client.receive()).status == 503  # answered at once; trying again is harmless
                assert other.requests.empty()
        for host in hosts.values():
            host.stop()

    run(test())


@pytest.mark.parametrize("attempt", ["first", "further"])
def test_nothing_is_sent_for_a_client_that_has_closed_before_the_loop_notices(attempt: str) -> None:
    """With an idle connection to the host, an attempt is written before the loop reads the client's close."""

    async def test() -> None:
        host, first = await FakeServer(http_response()).start(), await FakeServer().start()
        async with running_gateway(host_entry("s-1", host.port), host_entry("s-2", first.port)) as w:
            send_all(w, "s-1", *["s-2"] * (attempt == "further"), "s-1")
            await w.ask(request("warm"))
            pool = next(iter(w.node.upstreams.pools.values()))
            await until(
                lambda: pool.idle_connections
                and w.node.clock.now() - pool.idle_connections[0].idle_since > 2 * REUSE_DELAY_S
            )
            with socket.create_connection(("127.0.0.1", w.node.server.port)) as client:
                client.sendall(request("r1"))
                if attempt == "further":  # the loop reads the host's response first, then the client's close
                    arrived = await first.next_request()
                    descriptor = arrived.writer.get_extra_info("socket").fileno()
                    os.write(descriptor, http_response(503, X_Not_Processed="1"))
            await until(lambda: w.script.received(api.RequestAbandoned) and not w.node.pending)
            assert w.script.received(api.AttemptDone)[-1].outcome is Outcome.NOT_SENT
            assert host.requests.qsize() == 1  # only the first one
        host.stop()
        first.stop()

    run(test())


@pytest.mark.parametrize("waits", ["for a connection", "for the decision module"])
def test_a_client_that_closes_while_its_connection_is_not_read_is_noticed(waits: str) -> None:
    """Its connection has too much waiting behind open requests to be read; its close follows unread bytes."""

    async def test() -> None:
        host = await FakeServer(http_response()).start()
        async with running_gateway(host_entry("s-1", host.port)) as w:
            _, go = hold_connects(w.node.upstreams)
            if waits == "for a connection":
                w.script.on(api.Request, lambda e: [api.Send(e.id, "s-1", 0.0)])
            with socket.create_connection(("127.0.0.1", w.node.server.port)) as client:
                await until(lambda: w.node.server.connections)
                client.sendall(b"".join(request(f"r{i}") for i in range(MAX_PIPELINED_REQUESTS)))
                await until(lambda: len(w.node.pending) == MAX_PIPELINED_REQUESTS)
                client.sendall(request("unread", "write", body=b"x" * (READ_AHEAD_BYTES - 1000)))
                client.sendall(request("also unread") * 20)
                await until(lambda: any(c.reading_paused for c in w.node.server.connections))
                client.sendall(request("never read"))
            if waits == "for a connection":
                go.set()
                await w.attempt_done(MAX_PIPELINED_REQUESTS)
                assert {e.outcome for e in w.script.received(api.AttemptDone)} == {Outcome.NOT_SENT}
                assert host.requests.empty()
            await until(
                lambda: len(w.script.received(api.RequestAbandoned)) == MAX_PIPELINED_REQUESTS
                and not w.node.pending
            )
        host.stop()

    run(test())


def test_if_the_decision_module_fails_requests_are_answered_and_timers_set_again(
    caplog: pytest.LogCaptureFixture,
) -> None:
    class Broken(RuntimeError):
        pass

    def fail(event: api.Event) -> list[api.Action]:
        raise Broken("by design")

    async def test() -> None:
        host = await FakeServer().start()
        async with running_gateway(host_entry("s-1", host.port)) as w:
            client = await w.client()
            w.script.on(api.Request, fail)
            assert (await client.ask(request("r1", "write"))).status == 503  # not sent: a retry is safe
            send_all(w, "s-1")
            w.script.on(api.AttemptDone, fail)
            client.send(request("r2", "write"))
            (await host.next_request()).reply(http_response(500))
            assert (await client.receive()).status == 502  # it may have run
            send_all(w, "s-1")
            w.script.on(api.AttemptDone, fail)
            client.send(request("r3", "read"))
            (await host.next_request()).reply(http_response(500))
            assert (await client.receive()).status == 503
            assert not w.node.pending
            w.script.on(api.TimerFired, fail)
            w.node.action_handlers[api.SetTimer](api.SetTimer(0, 0.01))
            await until(lambda: len(w.script.received(api.TimerFired)) >= 3)
        host.stop()

    run(test())
    assert "Broken: by design" in caplog.text and "Traceback" in caplog.text


def test_a_finished_request_leaves_no_objects_to_the_garbage_collector() -> None:
    async def test() -> None:
        host = await FakeServer(http_response()).start()
        async with running_gateway(host_entry("s-1", host.port)) as w:
            send_all(w, *["s-1"] * 20)
            client = await w.client()
            assert (await client.ask(request("r0"))).status == 200
            gc.collect()
            gc.disable()
            try:
                for i in range(1, 20):
                    assert (await client.ask(request(f"r{i}"))).status == 200
                await w.attempt_done(20)
                left = [o for o in gc.get_objects() if isinstance(o, PendingRequest | Attempt | Exchange)]
            finally:
                gc.enable()
            assert len(left) <= 3  # those that frames of the last request may still refer to
        host.stop()

    run(test())


def test_probes_and_counter_calls_are_answered() -> None:
    async def test() -> None:
        host = await FakeServer(http_response()).start()
        async with running_gateway(host_entry("s-1", host.port)) as w:
            w.script.on(
                api.Request, lambda e: [api.Probe("s-1"), api.Probe("none"), api.CounterAdd(5, 2.0, 1.0)]
            )
            (await w.client()).send(request())
            assert (await host.next_request()).message.start_line == b"GET /alive HTTP/1.1"
            await until(lambda: len(w.script.received(api.ProbeDone)) == 2)
            assert {p.outcome for p in w.script.received(api.ProbeDone)} == {Outcome.OK, Outcome.NOT_SENT}
            call = await w.counter.next_request()
            assert call.message.start_line == b"POST /tally/5?n=2.000000&keep_ms=1000 HTTP/1.1"
            call.reply(http_response(body=b"7"))
            await until(lambda: w.script.received(api.CounterReply) == [api.CounterReply(5, True, 7.0)])
        host.stop()

    run(test())


def test_the_real_decision_module_serves_over_sockets() -> None:
    async def test() -> None:
        hosts = [await FakeServer(http_response(body=b"served")).start() for _ in range(3)]
        async with running_gateway(
            *(host_entry(f"s-{i}", h.port) for i, h in enumerate(hosts)), real_module=True
        ) as w:
            client = await w.client()
            for i in range(50):
                assert (await client.ask(request(f"r{i}", "write", body=b"x"))).body == b"served"
            hosts[0].stop()
            with contextlib.suppress(OSError), socket.create_connection(hosts[0].address):
                pass
            for i in range(50, 100):
                assert (await client.ask(request(f"r{i}"))).status in (200, 503)
            assert not w.node.pending and not w.node.gateway.requests
            assert sum(h.requests.qsize() for h in hosts) >= 50
        for host in hosts:
            host.stop()

    run(test())


def test_after_sigterm_all_requests_are_answered() -> None:
    async def test() -> None:
        host = await FakeServer().start()
        async with running_gateway(host_entry("s-1", host.port)) as w:
            send_all(w, "s-1", "s-1", "s-1")
            idle, busy = await w.client(), await w.client()
            busy.send(request("r1"))
            first = await host.next_request()
            await until(lambda: len(w.node.server.connections) == 2)
            w.node.stop()
            w.node.stop()
            late = await w.client()
            late.send(request("r2"))
            second = await host.next_request()
            earliest_kill = w.node.clock.now() + 3 + 0.7
            assert w.script.received(api.Request)[1].expires_at < earliest_kill - 0.25
            assert await idle.closed_by_gateway()
            assert not w.node.stopped.done()
            for client, arrived in ((busy, first), (late, second)):
                arrived.reply(http_response(body=b"done"))
                message = await client.receive()
                assert message.body == b"done" and message.headers[b"connection"] == b"close"
                assert await client.closed_by_gateway()
            await with_timeout(w.node.stopped)
        host.stop()

    run(test())


def test_pipelined_requests_are_answered_in_a_drain() -> None:
    """Whether complete or partial: only the last response of the connection says that it is closed."""

    async def test() -> None:
        host = await FakeServer().start()
        async with running_gateway(host_entry("s-1", host.port)) as w:
            send_all(w, "s-1", "s-1", "s-1")
            client = await w.client()
            third = request("r3")
            client.send(request("r1") + request("r2") + third[:40])
            waiting = [await host.next_request(), await host.next_request()]
            (connection,) = w.node.server.connections
            assert connection.incoming
            w.node.stop()
            for arrived in waiting:
                arrived.reply(http_response(body=arrived.message.headers[b"x-request-id"]))
            for id in (b"r1", b"r2"):
                message = await client.receive()
                assert message.body == id and b"connection" not in message.headers
            client.send(third[40:])
            (await host.next_request()).reply(http_response(body=b"r3"))
            message = await client.receive()
            assert message.body == b"r3" and message.headers[b"connection"] == b"close"
            assert await client.closed_by_gateway()
            await with_timeout(w.node.stopped)
        host.stop()

    run(test())


def test_a_request_pipelined_after_one_that_closes_the_connection_is_abandoned() -> None:
    """The module gets both its RequestAbandoned and the end of its attempt; no response is written."""

    async def test() -> None:
        host = await FakeServer().start()
        async with running_gateway(host_entry("s-1", host.port)) as w:
            send_all(w, "s-1", "s-1")
            client = await w.client()
            client.send(request("r1") + request("r2", Plan="unknown") + request("r3"))
            two = [await host.next_request(), await host.next_request()]
            first, third = sorted(two, key=lambda arrived: arrived.message.headers[b"x-request-id"])
            first.reply(http_response(body=b"done"))
            assert (await client.receive()).body == b"done" and (await client.receive()).status == 400
            assert await client.closed_by_gateway()
            assert [e.request for e in w.script.received(api.RequestAbandoned)] == ["r3"]
            third.reply(http_response(body=b"late"))
            done = await w.attempt_done(2)
            assert done.request == "r3" and not w.node.pending
        host.stop()

    run(test())


def stop_step_by_step(w: RunningGateway) -> list[tuple[float, Any]]:
    """Starts a drain without its timers: returns when each step is due (s), and the step."""
    steps: list[tuple[float, Any]] = []
    loop = w.node.loop
    w.node.loop = SimpleNamespace(call_later=lambda due, step: steps.append((due, step)))  # type: ignore[assignment]
    w.node.stop()
    w.node.loop = loop
    return sorted(steps, key=lambda step: step[0])


def classes_with_timeout(seconds: float) -> list[dict[str, Any]]:
    return [{**c, "aim_s": seconds, "give_up_s": seconds} for c in SETTINGS["classes"]]


def test_with_short_timeouts_too_the_drain_lasts_while_clients_connect(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """New connections arrive for 0.4 s after SIGTERM, even if the longest timeout is shorter."""

    async def test() -> None:
        host = await FakeServer(http_response(body=b"done")).start()
        async with running_gateway(host_entry("s-1", host.port), classes=classes_with_timeout(0.2)) as w:
            send_all(w, "s-1")
            for due, step in stop_step_by_step(w):
                if due <= 0.4:
                    step()
            assert (await w.ask(request())).status == 200
        host.stop()

    monkeypatch.setattr(Clock, "now", lambda _: 1000.0)  # a late loop must not use up the short timeout
    run_in_fake_time(test())


def test_a_new_connection_has_time_for_its_first_request_in_a_drain(monkeypatch: pytest.MonkeyPatch) -> None:
    """A connection opened just as idle ones are closed: its request may arrive a moment later."""

    async def test() -> None:
        host = await FakeServer(http_response(body=b"done")).start()
        async with running_gateway(host_entry("s-1", host.port)) as w:
            send_all(w, "s-1")
            idle = await w.client()
            assert (await idle.ask(b"GET /up HTTP/1.1\r\n\r\n")).status == 503
            client = await w.client()
            await until(lambda: len(w.node.server.connections) == 2)
            clock.now += NEW_CONNECTION_GRACE_S - 0.001
            for due, step in stop_step_by_step(w):
                if due <= 0.5:
                    step()
            assert await idle.closed_by_gateway()
            assert (await client.ask(request())).body == b"done"
        host.stop()

    clock = ManualClock()
    clock.install(monkeypatch)
    run(test())


def test_no_attempt_is_sent_after_the_end_of_the_drain() -> None:
    """The module knows only the client's timeout, and would try the other host."""

    async def test() -> None:
        hung, other = await FakeServer().start(), await FakeServer(http_response(body=b"done")).start()
        async with running_gateway(host_entry("s-1", hung.port), host_entry("s-2", other.port)) as w:
            send_all(w, "s-2", "s-1", "s-2")
            assert (await w.ask(request("r1"))).body == b"done"
            (kept,) = w.node.upstreams.connections  # idle long enough for an attempt to be sent on it at once
            await until(lambda: w.node.clock.now() - kept.idle_since > REUSE_DELAY_S)
            client = await w.client()
            client.send(request("r2"))
            await hung.next_request()
            steps = stop_step_by_step(w)
            next(step for _, step in steps if step == w.node._end_drain)()
            assert [e.outcome for e in w.script.received(api.AttemptDone)][1:] == [
                Outcome.TIMEOUT,
                Outcome.NOT_SENT,
            ]
            assert (await client.receive()).status in (502, 504)
        hung.stop()
        other.stop()

    run(test())


@pytest.mark.parametrize("waits", ["for the counter", "for a connection", "for the answer"])
def test_a_request_is_answered_once_at_whatever_stage_sigterm_comes(waits: str) -> None:
    async def test() -> None:
        host = await FakeServer().start()
        async with running_gateway(host_entry("s-1", host.port)) as w:
            started, go = hold_connects(w.node.upstreams)
            w.script.on(api.Request, lambda e: [api.CounterAdd(7, 1.0, 4.0)])
            w.script.on(api.CounterReply, lambda e: [api.Send("r1", "s-1", 0.0)])
            client = await w.client()
            client.send(request("r1"))
            call = await w.counter.next_request()
            if waits == "for the counter":
                w.node.stop()
            call.reply(http_response(body=b"1"))
            await with_timeout(started.wait())
            if waits == "for a connection":
                w.node.stop()
            go.set()
            arrived = await host.next_request()
            if waits == "for the answer":
                w.node.stop()
            arrived.reply(http_response(body=b"done"))
            message = await client.receive()
            assert message.body == b"done" and message.headers[b"connection"] == b"close"
            assert await client.closed_by_gateway()
            await with_timeout(w.node.stopped)
        host.stop()

    run(test())


def test_responses_partly_written_at_sigterm_arrive_complete() -> None:
    """A client that reads late: its responses are larger than the kernel's buffers."""

    async def test() -> None:
        host = await FakeServer().start()
        async with running_gateway(host_entry("s-1", host.port)) as w:
            w.script.on(api.Request, lambda e: [api.Send(e.id, "s-1", 0.0)])
            client, body = await w.client(), os.urandom(64 * 1024)
            client.writer.transport.pause_reading()  # type: ignore[attr-defined]
            client.send(b"".join(request(f"r{i}") for i in range(MAX_PIPELINED_REQUESTS)))
            waiting = [await host.next_request() for _ in range(MAX_PIPELINED_REQUESTS)]
            for arrived in waiting[1:]:
                arrived.reply(http_response(body=body))
            await until(lambda: len(w.script.received(api.AttemptDone)) == MAX_PIPELINED_REQUESTS - 1)
            w.node.stop()
            waiting[0].reply(http_response(body=body))
            await w.attempt_done(MAX_PIPELINED_REQUESTS)
            assert not w.node.stopped.done()
            client.writer.transport.resume_reading()  # type: ignore[attr-defined]
            answers = [await client.receive() for _ in range(MAX_PIPELINED_REQUESTS)]
            assert all(message.body == body for message in answers)
            assert b"connection" not in answers[0].headers and answers[-1].headers[b"connection"] == b"close"
            assert await client.closed_by_gateway()
            await with_timeout(w.node.stopped)
        host.stop()

    run(test())


def test_sighup_during_a_drain_disturbs_no_response() -> None:
    async def test() -> None:
        host, registry, counter = await FakeServer().start(), Registry(), await FakeServer().start()
        await registry.start()
        async with running_gateway(host_entry("s-1", host.port)) as w:
            send_all(w, "s-1")
            client = await w.client()
            client.send(request("r1"))
            arrived = await host.next_request()
            w.node.stop()
            w.node.reload(replace(w.node.config, discovery=registry.address, counter=counter.address))
            await registry.watch()
            arrived.reply(http_response(body=b"done"))
            message = await client.receive()
            assert message.body == b"done" and message.headers[b"connection"] == b"close"
            await with_timeout(w.node.stopped)
        for peer in (host, registry, counter):
            peer.stop()

    run(test())


def connect_unaccepted(w: RunningGateway, count: int) -> list[socket.socket]:
    """Opens connections that only the kernel has accepted, as the event loop does not run in between."""
    address = ("127.0.0.1", w.node.server.port)
    return [socket.create_connection(address) for _ in range(count)]


def send_numbered(connections: list[socket.socket]) -> None:
    for number, connection in enumerate(connections):
        connection.sendall(request(f"r{number}"))


async def read_to_end(connection: socket.socket) -> bytes:
    """All that a client gets until its connection is closed; nothing if it is reset before its response."""
    connection.setblocking(False)
    reader, writer = await asyncio.open_connection(sock=connection)
    try:
        return bytes(await with_timeout(reader.read()))
    except ConnectionError:
        return b""
    finally:
        writer.close()


async def read_all_to_end(connections: list[socket.socket]) -> list[bytes]:
    return await asyncio.gather(*map(read_to_end, connections))


def run_drain_steps(w: RunningGateway, *names: str) -> None:
    """Starts a drain and runs overdue steps of it in a row, with nothing read from sockets in between."""
    steps = {step.__name__: step for _, step in stop_step_by_step(w)}
    for name in names:
        steps[name]()


@pytest.mark.parametrize("writes", ["before the listener is closed", "after it"])
def test_all_connections_accepted_by_the_kernel_are_served_before_the_listener_is_closed(
    writes: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The event loop is late: all time limits on idle connections pass before it reads from them."""

    async def test() -> None:
        host = await FakeServer(http_response(body=b"done")).start()
        async with running_gateway(host_entry("s-1", host.port), sockets=1024) as w:
            w.script.on(api.Request, lambda e: [api.Send(e.id, "s-1", 0.0)])
            waiting = connect_unaccepted(w, 100)
            if writes == "before the listener is closed":
                send_numbered(waiting)
            run_drain_steps(w, "_close_idle", "_stop_accepting", "_close_idle")
            if writes == "after it":
                send_numbered(waiting)
            w.node.server._sweep()
            assert all(b"done" in each for each in await read_all_to_end(waiting))
        host.stop()

    for name in ("REQUEST_READ_TIMEOUT_S", "NEW_CONNECTION_GRACE_S", "SWEEP_INTERVAL_S"):
        monkeypatch.setattr(f"coralvale.net.server.{name}", 0.0)
    run(test())


def test_a_full_backlog_is_served_to_its_last_connection(monkeypatch: pytest.MonkeyPatch) -> None:
    """The kernel lets one connection more wait than the backlog."""

    async def test() -> None:
        host = await FakeServer(http_response(body=b"done")).start()
        async with running_gateway(host_entry("s-1", host.port)) as w:
            w.script.on(api.Request, lambda e: [api.Send(e.id, "s-1", 0.0)])
            waiting = connect_unaccepted(w, 9)
            send_numbered(waiting)
            run_drain_steps(w, "_stop_accepting")
            assert all(b"done" in each for each in await read_all_to_end(waiting))
        host.stop()

    monkeypatch.setattr("coralvale.net.server.LISTEN_BACKLOG", 8)
    monkeypatch.setattr("coralvale.net.server.MAX_ACCEPTS_PER_CALL", 4)
    run(test())


def test_the_listener_stays_open_while_backlogged_connections_exceed_the_limit() -> None:
    """The number of connections is at its limit when the drain is about to close the listener."""

    async def test() -> None:
        host = await FakeServer().start()
        async with running_gateway(host_entry("s-1", host.port)) as w:
            w.script.on(api.Request, lambda e: [api.Send(e.id, "s-1", 0.0)])
            w.node.server.max_connections, w.node.server.max_overflow = 1, 0
            busy = await w.client()
            busy.send(request("busy"))
            arrived = await host.next_request()
            waiting = connect_unaccepted(w, 1)
            send_numbered(waiting)
            run_drain_steps(w, "_stop_accepting")
            arrived.reply(http_response(body=b"done"))
            assert (await busy.receive()).body == b"done"
            (await host.next_request()).reply(http_response(body=b"done"))
            assert b"done" in (await read_all_to_end(waiting))[0]
            await until(lambda: w.node.listener_closed)
        host.stop()

    run(test())


def test_a_late_event_loop_answers_unread_requests_before_it_stops(monkeypatch: pytest.MonkeyPatch) -> None:
    """The last steps of a drain are overdue together, and run before requests in the kernel are read."""

    async def test() -> None:
        async with running_gateway() as w:

            async def end_when_stopped() -> None:
                """As in the program, where closing the event loop cancels the tasks that still run."""
                await w.node.stopped
                w.node.close()
                for task in w.node.server.tasks:
                    task.cancel()

            ending = asyncio.create_task(end_when_stopped())
            connections = connect_unaccepted(w, 2)
            await until(lambda: len(w.node.server.connections) == 2)
            connections += connect_unaccepted(w, 2)
            send_numbered(connections)
            run_drain_steps(w, "_stop_accepting", "_end_drain")
            time.sleep(2 * FLUSH_S)  # noqa: ASYNC251 - blocks the loop to make it late
            answers = await read_all_to_end(connections)
            assert [each[:12] for each in answers] == [b"HTTP/1.1 503"] * 4
            await with_timeout(ending)

    monkeypatch.setattr("coralvale.net.node.MAX_TIMEOUT_BEFORE_KILL_S", 0.0)
    monkeypatch.setattr("coralvale.net.node.KILL_DELAY_S", KILL_MARGIN_S)  # the drain ends at once
    run(test())


def test_requests_unanswered_at_the_end_of_the_drain_are_answered_then(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def test() -> None:
        host = await FakeServer().start()
        async with running_gateway(host_entry("s-1", host.port)) as w:
            send_all(w, "s-1")
            client = await w.client()
            client.send(request())
            await host.next_request()
            w.node.stop()
            assert (await client.receive()).status == 504
            await with_timeout(w.node.stopped)
        host.stop()

    monkeypatch.setattr("coralvale.net.node.MAX_TIMEOUT_BEFORE_KILL_S", 0.5)
    run(test())


def test_a_request_that_a_host_never_finishes_is_served_by_another() -> None:
    """The real module: a truncated response must not hold a safe request until the client times out."""

    async def test() -> None:
        hosts = [await FakeServer(http_response()).start(), await FakeServer(http_response()).start()]
        fast = {**SETTINGS["classes"][0], "aim_s": 2.0}
        known = [host_entry(f"s-{host.port}", host.port) for host in hosts]
        async with running_gateway(*known, real_module=True, classes=[fast, SETTINGS["classes"][1]]) as w:
            client = await w.client()
            for number in range(100):  # to learn the usual latency
                assert (await client.ask(request(f"r{number}"))).status == 200
            for host in hosts:
                host.auto_response, host.requests = None, asyncio.Queue()
            begun = w.node.clock.now()
            client.send(request("late"))
            tasks = [asyncio.create_task(host.requests.get()) for host in hosts]
            (first,), (other,) = await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
            first.result().reply(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort")
            (await with_timeout(other)).reply(http_response(body=b"whole"))
            assert (await client.receive()).body == b"whole"
            assert w.node.clock.now() - begun < 20.0  # the client would wait for 30 s
        for host in hosts:
            host.stop()

    run(test())


def test_the_retry_after_of_a_quota_refusal_is_within_the_latency_target() -> None:
    """Another of its gateways may have quota left, and a response after the target is worth nothing."""

    async def test() -> None:
        host = await FakeServer(http_response()).start()
        fast = {**SETTINGS["classes"][0], "aim_s": 1.0}
        plan = {"name": "team", "per_second": 0.01, "most_at_once": 1.0}
        changes = {"classes": [fast, SETTINGS["classes"][1]], "packages": [plan]}
        async with running_gateway(
            host_entry("s-1", host.port), real_module=True, family_info={"may_count": False}, **changes
        ) as w:
            client = await w.client()
            assert (await client.ask(request("r1"))).status == 200
            refused = await client.ask(request("r2"))
            assert refused.status == 503
            assert 0.2 < float(refused.headers[b"retry-after"]) <= 0.25
        host.stop()

    run(test())


@pytest.mark.parametrize("allowed", [True, False])
def test_refusals_by_the_node_carry_a_retry_after_only_where_allowed(
    allowed: bool,
) -> None:
    """One beyond the limit of pending requests, one on an overflow connection, one without a decision."""

    async def test() -> None:
        ceilings = {"most_held": 1, "retry_after": allowed}
        async with running_gateway(ceilings=ceilings, classes=classes_with_timeout(0.3), sockets=64) as w:
            first, second = await w.client(), await w.client()
            first.send(request("r1"))
            await until(lambda: w.node.pending)
            refusals = [await second.ask(request("r2")), await first.receive()]
            w.node.server.max_connections = 0
            w.script.on(api.Request, lambda e: [])
            third = await w.client()
            for client in (first, second):
                client.send(request("r3")[:20])  # not idle, so that neither is closed to make room
            refusals.append(await third.ask(request("r4")))
            for refusal in refusals:
                assert refusal.status == 503 and (b"retry-after" in refusal.headers) == allowed

    run(test())


def test_a_wrong_plan_or_spread_in_the_first_request_does_not_fix_them_for_the_customer() -> None:
    """The first request names a small plan and a wide spread; those that follow get their own."""

    async def test() -> None:
        host = await FakeServer(http_response()).start()
        plans = [
            {"name": "small", "per_second": 0.01, "most_at_once": 1.0},
            {"name": "team", "per_second": 1000.0, "most_at_once": 1000.0},
        ]
        async with running_gateway(host_entry("s-1", host.port), real_module=True, packages=plans) as w:
            client = await w.client()
            wrong = request("r1", Plan="small", Quota_Info="units=1,spread=3,first=0")
            assert (await client.ask(wrong)).status == 200
            for number in range(20):
                assert (await client.ask(request(f"ok{number}"))).status == 200
            (restrictor,) = w.node.gateway.admission.restrictors.values()
            assert (restrictor.plan.name, restrictor.entries) == ("team", 2)
        host.stop()

    run(test())


def test_billed_units_replace_the_estimate_in_the_bucket() -> None:
    """The real module: an estimate of 1 unit that is billed as 4 leaves 3 less for the next request."""

    async def test() -> None:
        host = await FakeServer().start()
        plan = {"name": "team", "per_second": 0.001, "most_at_once": 6.0, "excess_cost": 1.0}
        family = {"may_count": False, "most_units": 4, "post_paid": True, "use_period_s": 0.0}
        async with running_gateway(
            host_entry("s-1", host.port), real_module=True, packages=[plan], family_info=family, n_instances=1
        ) as w:
            client = await w.client()
            quota = {"Quota_Info": "units=1,spread=1,first=0"}
            for id, billed in (("r1", "4"), ("r2", "none"), ("r3", "9")):
                client.send(request(id, **quota))
                (await host.next_request()).reply(http_response(body=b"done", Billed_Units=billed))
                message = await client.receive()
                assert message.body == b"done" and b"billed-units" not in message.headers
            assert (await client.ask(request("r4", **quota))).status == 503
        host.stop()

    run(test())


@pytest.mark.parametrize("ceiling", [False, True])
def test_a_request_abandoned_before_it_was_sent_takes_no_units(ceiling: bool) -> None:
    """The real module: the next request finds the bucket and the ceiling unchanged."""

    async def test() -> None:
        host = await FakeServer(http_response(body=b"done")).start()
        plan = {"name": "team", "per_second": 0.001, "most_at_once": 1.0, "excess_cost": 1.0}
        if ceiling:
            plan |= {"per_second": 9.0, "most_at_once": 9.0, "never_over_rate": 0.001, "hard_burst": 1.5}
        family = {"may_count": False, "use_period_s": 0.0}
        async with running_gateway(
            host_entry("s-1", host.port), real_module=True, packages=[plan], family_info=family, n_instances=1
        ) as w:
            started, go = hold_connects(w.node.upstreams)
            w.node.gateway.admission.started_at = -math.inf  # the ceiling allows its whole burst
            quota = {"Quota_Info": "units=1,spread=1,first=0"}
            first, second = await w.client(), await w.client()
            first.send(request("r1", **quota))
            await with_timeout(started.wait())
            first.close()
            await until(lambda: w.node.pending["r1"].answered)
            go.set()
            await until(lambda: not w.node.pending)
            assert host.requests.empty()
            assert (await second.ask(request("r2", **quota))).body == b"done"
            assert (await second.ask(request("r3", **quota))).status == 503
        host.stop()

    run(test())


def test_a_customer_with_few_requests_has_the_whole_burst_at_any_gateway() -> None:
    """A few requests may all come to one gateway by chance; a steady flow gets only the gateway's share."""

    async def test() -> None:
        host = await FakeServer(http_response()).start()
        plan = {"name": "team", "per_second": 1.0, "most_at_once": 6.0, "excess_cost": 1.0}
        changes = {"packages": [plan], "family_info": {"may_count": False}}
        async with running_gateway(host_entry("s-1", host.port), real_module=True, **changes) as w:
            client = await w.client()
            headers = {"Quota_Info": "units=1,spread=3,first=1"}
            first = [(await client.ask(request(f"a{i}", **headers))).status for i in range(3)]
            assert first == [200] * 3  # a third of the burst is 2
            more = [(await client.ask(request(f"b{i}", **headers))).status for i in range(20)]
            assert more.count(200) <= 3
        host.stop()

    run(test())


def test_a_broken_connection_is_distinguished_from_a_failed_host() -> None:
    """Single breaks pause no host that still responds; breaks in a row, or a refused connection, do."""

    async def test() -> None:
        host = await FakeServer().start()
        async with running_gateway(host_entry("s-1", host.port), real_module=True) as w:
            client = await w.client()
            seen = w.node.gateway.hosts["s-1"]
            for number in range(5):
                client.send(request(f"lost{number}"))
                (await host.next_request()).reset()
                assert (await client.receive()).status == 503
                assert not seen.is_unhealthy(w.node.clock.now(), 1.0) and not seen.backoff_until
                client.send(request(f"well{number}"))
                (await host.next_request()).reply(http_response())
                assert (await client.receive()).status == 200
            for number in range(3):
                assert not seen.backoff_until
                client.send(request(f"down{number}"))
                (await host.next_request()).reset()
                assert (await client.receive()).status == 503
            assert seen.backoff_until > w.node.clock.now()
        gone = await FakeServer().start()
        async with running_gateway(host_entry("s-1", gone.port), real_module=True) as w:
            gone.stop()
            await with_timeout(gone.server.wait_closed())
            assert (await w.ask(request())).status == 503
            assert w.node.gateway.hosts["s-1"].backoff_until > w.node.clock.now()
        host.stop()

    run(test())
