"""What becomes of the requests of a client that has closed its connection."""

from __future__ import annotations

import asyncio
import contextlib
import socket

import pytest
from net_helpers import (
    FakeServer,
    RunningGateway,
    hold_connects,
    host_entry,
    http_response,
    request,
    run,
    running_gateway,
    until,
    with_timeout,
)

UNREAD_BYTES = 32 * 1024 * 1024  # more than the buffers of both systems and the gateway hold


async def send_until_full(client: socket.socket, data: bytes) -> None:
    """Writes until the system takes no more for a while, as the gateway reads no more."""
    loop = asyncio.get_running_loop()
    with contextlib.suppress(TimeoutError):
        await asyncio.wait_for(loop.sock_sendall(client, data), 0.5)


async def connect(w: RunningGateway) -> socket.socket:
    client = socket.socket()
    client.setblocking(False)
    await asyncio.get_running_loop().sock_connect(client, ("127.0.0.1", w.node.server.port))
    return client


# Guards against attempts for a client that has left, its end hidden behind what it sent and was not read.
def test_no_attempt_begins_once_a_client_has_left_with_much_unread() -> None:
    async def test() -> None:
        host = await FakeServer().start()
        async with running_gateway(host_entry("s-1", host.port), real_module=True) as w:
            started, go = hold_connects(w.node.upstreams)
            client = await connect(w)
            await asyncio.get_running_loop().sock_sendall(client, request("first"))
            await with_timeout(started.wait())
            await send_until_full(client, b"".join(request(f"r{i}") for i in range(UNREAD_BYTES // 200)))
            client.close()
            go.set()
            await until(lambda: not w.node.pending or not host.requests.empty())
            assert host.requests.empty()
        host.stop()

    run(test())


# Guards against a client that is refused for good after it has once sent much at once.
def test_requests_are_forwarded_again_once_all_that_was_sent_has_been_read() -> None:
    async def test() -> None:
        host = await FakeServer(http_response(body=b"served")).start()
        async with running_gateway(host_entry("s-1", host.port), real_module=True) as w:
            client, count = await w.client(), 2000
            client.send(b"".join(request(f"r{i}") for i in range(count)))
            statuses = [(await client.receive()).status for _ in range(count)]
            assert set(statuses) <= {200, 503} and 503 in statuses
            assert (await client.ask(request("later"))).body == b"served"
        host.stop()

    run(test())


# Guards against a request that runs twice as its id comes again after the first client has left.
@pytest.mark.parametrize("ended", ["in hand", "reset by the host", "answered too late"])
def test_an_id_that_may_have_run_is_not_sent_again_after_its_client_has_left(ended: str) -> None:
    async def test() -> None:
        host = await FakeServer().start()
        async with running_gateway(host_entry("s-1", host.port), real_module=True) as w:
            first = await w.client()
            first.send(request("r1", "write", body=b"x"))
            attempt = await host.next_request()
            first.close()
            await until(lambda: "r1" not in w.node.pending or w.node.pending["r1"].answered)
            if ended == "reset by the host":
                attempt.reset()
                await until(lambda: not w.node.pending)
            elif ended == "answered too late":
                attempt.reply(http_response())
                await until(lambda: not w.node.pending)
            assert (await w.ask(request("r1", "write", body=b"x"))).status == 400
            assert host.requests.empty()
        host.stop()

    run(test())


def test_an_id_of_a_safe_class_and_one_that_was_never_sent_may_come_again() -> None:
    async def test() -> None:
        host = await FakeServer(http_response(body=b"served")).start()
        async with running_gateway(host_entry("s-1", host.port), real_module=True) as w:
            for _ in range(2):
                assert (await w.ask(request("r1"))).body == b"served"
            refused = request("r2", "write", body=b"x", X_Timeout="0.001")
            assert (await w.ask(refused)).status == 503
            assert (await w.ask(request("r2", "write", body=b"x"))).body == b"served"
        host.stop()

    run(test())
