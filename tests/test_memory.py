"""What is held for peers: that it is counted, freed, and given up in the stated order beyond the limit."""

from __future__ import annotations

import asyncio
import gc
import weakref
from typing import Any

import pytest
from net_helpers import (
    Client,
    FakeServer,
    RunningGateway,
    host_entry,
    http_response,
    request,
    run,
    running_gateway,
    until,
)

from coralvale import interface as api
from coralvale.net.memory import (
    CLIENT_CONNECTION_BYTES,
    CUSTOMER_BYTES,
    MEBIBYTE,
    MIN_BUDGET_BYTES,
    MIN_CUSTOMERS,
    HeldBytes,
    MemoryBudget,
    MemoryGuard,
    MemoryShares,
    ShedStep,
    resident_bytes,
    share_out,
)

BODY_BYTES = 40_000


def half_request(id: str, size: int = BODY_BYTES) -> bytes:
    """A request whose last byte is missing."""
    return request(id, "write", body=b"x" * size)[:-1]


async def send_half(w: RunningGateway, id: str, size: int = BODY_BYTES) -> Client:
    """Sends a request but for its last byte, and waits until the gateway has received it."""
    client = await w.client()
    data = half_request(id, size)
    before = w.node.budget.held
    client.send(data)
    await until(lambda: w.node.budget.held - before >= size or w.node.budget.shed_counts)
    return client


def test_steps_are_taken_in_their_order_and_only_as_far_as_needed() -> None:
    budget, taken = MemoryBudget(100), list[ShedStep]()
    parts = {step: [HeldBytes(budget) for _ in range(2)] for step in ShedStep}

    def give_up(step: ShedStep) -> bool:
        if not parts[step]:
            return False
        parts[step].pop().set(0)
        taken.append(step)
        return True

    for step in reversed(ShedStep):
        budget.steps[step] = lambda step=step: give_up(step)
        for part in parts[step]:
            part.set(8)
    assert budget.held == 96 and not taken
    more = HeldBytes(budget)
    more.set(12)
    assert budget.held == 100 and taken == [ShedStep.INCOMING_REQUEST]
    more.set(36)
    assert budget.held == 100 and taken == [
        ShedStep.INCOMING_REQUEST, ShedStep.INCOMING_REQUEST, ShedStep.UNREAD_RESPONSE,
        ShedStep.UNREAD_RESPONSE,
    ]  # fmt: skip
    more.set(200)
    assert budget.is_exceeded and budget.held == 200 and len(taken) == 2 * len(ShedStep)
    more.set(0)
    assert budget.held == 0 and budget.peak == 200 + 8 * 8  # before the last parts were given up


def test_peers_and_customers_share_what_the_process_leaves_of_its_limit() -> None:
    shares = share_out(200, 20 * MEBIBYTE)
    assert shares.peers_bytes == 120 * MEBIBYTE
    assert shares.max_customers == 40 * MEBIBYTE // CUSTOMER_BYTES
    assert share_out(32, 31 * MEBIBYTE) == MemoryShares(MIN_BUDGET_BYTES, MIN_CUSTOMERS)
    assert resident_bytes() > 5 * MEBIBYTE


def test_a_gateway_takes_its_shares_from_the_configured_limit() -> None:
    async def test() -> None:
        async with running_gateway(real_module=True, memory_mb=4000.0) as w:
            expected = 0.9 * 4000 * MEBIBYTE - resident_bytes()
            assert w.node.budget.limit == pytest.approx(0.75 * expected, rel=0.01)
            table = w.node.gateway.admission.customers
            assert table.max_customers == pytest.approx(0.25 * expected / CUSTOMER_BYTES, rel=0.01)

    run(test())


# Guards against a budget that stays as it was at the start while the process itself has grown.
def test_what_the_process_takes_for_other_things_is_taken_off_the_budget() -> None:
    shares = MemoryShares(100 * MEBIBYTE, max_customers=10_000)
    budget = MemoryBudget(shares.peers_bytes)
    guard = MemoryGuard(budget, shares, resident=20 * MEBIBYTE)
    held = HeldBytes(budget)
    held.set(30 * MEBIBYTE)
    guard.update(resident=50 * MEBIBYTE, customers=0)
    assert budget.limit == 100 * MEBIBYTE
    held.set(0)
    guard.update(resident=50 * MEBIBYTE, customers=0)  # the allocator has kept what was held
    assert budget.limit == 100 * MEBIBYTE
    guard.update(resident=65 * MEBIBYTE + 1000 * CUSTOMER_BYTES, customers=1000)
    assert budget.limit == 85 * MEBIBYTE
    guard.update(resident=500 * MEBIBYTE, customers=0)
    assert budget.limit == MIN_BUDGET_BYTES
    guard.update(resident=0, customers=0)  # not known
    assert budget.limit == 100 * MEBIBYTE


# Guards against a limit on each request alone, which hundreds of connections exceed together.
def test_beyond_the_limit_the_largest_half_received_request_is_refused_and_sound_ones_are_served() -> None:
    async def test() -> None:
        host = await FakeServer(http_response(body=b"served")).start()
        async with running_gateway(host_entry("s-1", host.port), real_module=True) as w:
            w.set_memory_limit(150_000)
            small = await send_half(w, "small", 10_000)
            large = await send_half(w, "large", 60_000)
            assert (await w.ask(request("r1"))).body == b"served"
            other = await send_half(w, "other", 50_000)
            last = await w.client()
            last.send(half_request("last", 45_000))
            answer = await large.receive()
            assert answer.status == 503 and answer.headers[b"connection"] == b"close"
            assert answer.headers[b"retry-after"] == b"0.500"
            for client in (small, other, last):
                client.send(b"x")
                assert (await client.receive()).body == b"served"
            assert w.node.budget.shed_counts == {ShedStep.INCOMING_REQUEST: 1}
        host.stop()

    run(test())


def test_a_new_request_is_refused_while_nothing_else_can_be_given_up() -> None:
    async def test() -> None:
        async with running_gateway(host_entry("s-1", 1)) as w:
            client, busy = await w.client(), await w.client()
            busy.send(request("held", "write", body=b"x" * BODY_BYTES))
            await until(lambda: w.node.pending)
            w.set_memory_limit(BODY_BYTES)
            refused = await client.ask(request("r1"))
            assert refused.status == 503 and refused.headers[b"retry-after"] == b"0.500"
            assert list(w.node.pending) == ["held"]
            assert w.node.budget.shed_counts[ShedStep.NEW_REQUEST] == 1
            newer = await w.ask(request("r1"))  # on a connection that is opened now
            assert newer.status == 503 and newer.headers[b"connection"] == b"close"
            w.set_memory_limit(MEBIBYTE)
            (await w.client()).send(request("r2"))
            await until(lambda: "r2" in w.node.pending)

    run(test())


def test_a_client_that_does_not_read_is_given_up_ahead_of_idle_ones(monkeypatch: pytest.MonkeyPatch) -> None:
    async def test() -> None:
        host = await FakeServer(http_response(body=b"x" * 60_000)).start()
        async with running_gateway(host_entry("s-1", host.port)) as w:
            w.script.on(api.Request, lambda e: [api.Send(e.id, "s-1", 0.0)])
            idle = await w.client()
            assert (await idle.ask(request("r0"))).status == 200
            client = await w.client()
            client.writer.transport.pause_reading()  # type: ignore[attr-defined]
            for number in range(1, 200):
                client.send(request(f"r{number}"))
                await until(lambda: len(w.script.received(api.AttemptDone)) > number)  # noqa: B023
                if w.node.server.write_blocked:
                    break
            (blocked,) = w.node.server.write_blocked
            w.set_memory_limit(w.node.budget.held - 1)
            w.node.budget.change(0)
            await until(lambda: blocked not in w.node.server.connections)
            assert (await idle.ask(request("last"))).status == 200
            assert w.node.budget.shed_counts == {ShedStep.UNREAD_RESPONSE: 1}
        host.stop()

    monkeypatch.setattr("coralvale.net.server.STALL_TIME_S", 0.0)
    run(test())


# Guards against responses of many hosts that together exceed the memory.
def test_beyond_the_limit_the_attempt_with_the_largest_response_has_failed() -> None:
    async def test() -> None:
        host = await FakeServer().start()
        async with running_gateway(host_entry("s-1", host.port)) as w:
            w.script.on(api.Request, lambda e: [api.Send(e.id, "s-1", 0.0)])
            w.script.on(api.AttemptDone, lambda e: [] if e.request_done else [api.Fail(e.request)])
            head = b"HTTP/1.1 200 OK\r\nContent-Length: 60000\r\n\r\n"
            asking: list[asyncio.Task[Any]] = []
            w.set_memory_limit(150_000)
            for number, size in enumerate((30_000, 59_000, 50_000)):
                asking.append(asyncio.create_task(w.ask(request(f"r{number}"))))
                arrived = await host.next_request()
                before = w.node.budget.held
                arrived.reply(head + b"x" * size)
                await until(lambda: w.node.budget.held - before > size or w.node.budget.shed_counts)  # noqa: B023
            assert (await asking[1]).status == 502
            assert w.node.budget.shed_counts == {ShedStep.HOST_RESPONSE: 1}
            for task in asking:
                task.cancel()
        host.stop()

    run(test())


def test_nothing_is_counted_any_more_once_all_connections_have_ended() -> None:
    async def test() -> None:
        host = await FakeServer(http_response(body=b"x" * 30_000)).start()
        async with running_gateway(host_entry("s-1", host.port), host_entry("s-2", 1)) as w:
            w.script.on(api.Request, lambda e: [api.Send(e.id, e.id[:3], 0.0)])
            w.script.on(api.AttemptDone, lambda e: [] if e.request_done else [api.Refuse(e.request)])
            served, broken, half, bad = [await w.client() for _ in range(4)]
            assert (await served.ask(request("s-1-a"))).status == 200
            assert (await broken.ask(request("s-2-b"))).status == 503  # nobody listens there
            bad.send(b"nonsense\r\n\r\n")
            half.send(half_request("half"))
            await until(lambda: w.node.budget.held >= BODY_BYTES)
            for client in (served, broken, half, bad):
                client.writer.transport.abort()
            await until(lambda: not w.node.server.connections)
            host.stop()
            await until(lambda: not w.node.upstreams.connections)
            assert w.node.budget.held == 0

    run(test())


# Guards against ended connections kept, by a cycle of references, until the next full garbage collection.
@pytest.mark.parametrize(
    "more",
    [
        pytest.param(b"", id="idle"),
        pytest.param(half_request("r2"), id="receiving"),
        pytest.param(b"GET /no HTTP/1.1\r\n\r\n" * 50, id="rejected"),
    ],
)
def test_an_ended_connection_is_freed_without_garbage_collection(more: bytes) -> None:
    async def test() -> None:
        host = await FakeServer(http_response()).start()
        async with running_gateway(host_entry("s-1", host.port)) as w:
            w.script.on(api.Request, lambda e: [api.Send(e.id, "s-1", 0.0)])
            client = await w.client()
            assert (await client.ask(request("r1"))).status == 200
            ended: list[weakref.ref[Any]] = [weakref.ref(each) for each in w.node.server.connections]
            ended += [weakref.ref(each) for each in w.node.upstreams.connections]
            client.send(more)
            await until(lambda: not more or not w.node.server.idle_connections)
            gc.collect()
            gc.disable()
            try:
                client.close()
                host.stop()
                await until(lambda: all(reference() is None for reference in ended))
                assert len(ended) == 2
            finally:
                gc.enable()

    run(test())


def test_an_idle_client_is_closed_where_the_limit_leaves_no_room_for_it() -> None:
    async def test() -> None:
        async with running_gateway() as w:
            w.script.on(api.Request, lambda e: [api.Refuse(e.id)])
            clients = [await w.client() for _ in range(3)]
            for number, client in enumerate(clients):
                assert (await client.ask(request(f"r{number}"))).status == 503
            assert w.node.budget.held >= 3 * CLIENT_CONNECTION_BYTES
            w.set_memory_limit(w.node.budget.held - 1)
            w.node.budget.change(0)
            assert await clients[0].closed_by_gateway()  # idle for longest
            assert len(w.node.server.connections) == 2 and not w.node.budget.is_exceeded

    run(test())
