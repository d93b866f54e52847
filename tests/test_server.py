"""Client connections over sockets: valid and invalid requests, connection limits and timeouts."""

from __future__ import annotations

import errno
import socket

import pytest
from net_helpers import (
    Client,
    ManualClock,
    RunningGateway,
    host_entry,
    request,
    run,
    running_gateway,
    until,
    with_timeout,
)

from coralvale import interface as api
from coralvale.net.server import IDLE_TIMEOUT_S, REQUEST_READ_TIMEOUT_S

MARGIN_S = 0.001  # by which a timeout is exceeded


def refuse_all(w: RunningGateway) -> None:
    w.script.on(api.Request, lambda e: [api.Refuse(e.id, 0.25)])


def test_a_request_reaches_the_decision_module_with_the_values_of_its_headers() -> None:
    async def test() -> None:
        async with running_gateway() as w:
            refuse_all(w)
            before = w.node.clock.now()
            message = await w.ask(request("r7", "write", body=b"x", X_Timeout="0.480"))
            assert message.status == 503 and message.headers[b"retry-after"] == b"0.250"
            (event,) = w.script.received(api.Request)
            assert (event.id, event.class_index, event.plan_index, event.customer) == ("r7", 1, 0, 0xB4D65521)
            assert (event.entry_gateways, event.units) == (2, 1.0)
            assert before < event.expires_at < w.node.clock.now() + 0.480

    run(test())


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"nonsense\r\n\r\n", 400),
        (b"GET /api HTTP/1.1\r\nno colon\r\n\r\n", 400),
        (b"GET /api HTTP/1.1\r\nX: " + b"x" * 70_000, 400),
        (request(X_Request_ID=None), 400),
        (request(X_Request_ID="two words"), 400),
        (request(X_Priority_Class=None), 400),
        (request(X_Priority_Class="other"), 400),
        (request(Plan=None), 400),
        (request(Plan="other"), 400),
        (request(Cookie=None), 400),
        (request(Cookie="client=12"), 400),
        (request(Cookie="client=ffffffffffffffff"), 400),
        (request(X_Timeout=None), 400),
        (request(X_Timeout="0"), 400),
        (request(X_Timeout="-1"), 400),
        (request(X_Timeout="nan"), 400),
        (request(X_Timeout="soon"), 400),
        (request(Quota_Info=None), 400),
        (request(Quota_Info="spread=2,first=1"), 400),
        (request(Quota_Info="units=x,spread=2,first=1"), 400),
        (request(Quota_Info="units=1,spread=0,first=1"), 400),
        (request(Quota_Info="units=1,spread=4,first=1"), 400),
        (request(Quota_Info="units=1,spread=2,first=3"), 400),
        (request().replace(b"GET", b"POST"), 400),
        (request(class_name="write").replace(b"POST", b"GET"), 400),
        (request().replace(b"Plan: team\r\n", b"Plan: team\r\nPlan: team\r\n"), 400),
        (request(class_name="write", body=b"x" * (64 * 1024 + 1)), 413),
        (request(class_name="write", Content_Length="99999999999"), 413),
        (request(class_name="write", Content_Length="-1"), 400),
        (request(class_name="write", Content_Length="+1") + b"x", 400),
        (request(class_name="write", Content_Length="1, 1") + b"x", 400),
        (request(class_name="write", Content_Length="1\r\nContent-Length: 1") + b"x", 400),
        (request(class_name="write", Content_Length="5", Transfer_Encoding="chunked") + b"0\r\n\r\n", 400),
        (request(class_name="write", Transfer_Encoding="chunked", Content_Length="5") + b"0\r\n\r\n", 400),
        (request(class_name="write", Transfer_Encoding="gzip, chunked") + b"0\r\n\r\n", 400),
        (request(Quota_Info="units=1e9,spread=2,first=1"), 400),
        (request(Quota_Info="units=4.5,spread=2,first=1"), 400),
        (request(Quota_Info="units=0.001,spread=2,first=1"), 400),
        (request(Quota_Info="units=-1,spread=2,first=1"), 400),
        (request(target="/other"), 404),
        (request(target="/api/more"), 404),
        (request(target="/"), 404),
    ],
)
def test_an_invalid_request_is_answered_with_an_error_and_not_handled(data: bytes, status: int) -> None:
    async def test() -> None:
        async with running_gateway(host_entry("s-1", 1)) as w:
            assert (await w.ask(data)).status == status
            assert not w.script.received(api.Request)

    run(test())


def test_a_request_may_come_in_pieces_and_a_connection_is_kept() -> None:
    async def test() -> None:
        async with running_gateway() as w:
            refuse_all(w)
            client = await w.client()
            data = request(class_name="write", body=b"12345")
            for i in range(len(data)):
                client.send(data[i : i + 1])
                await client.writer.drain()
            assert (await client.receive()).status == 503
            chunked = request("r2", "write", Transfer_Encoding="chunked") + b"2\r\nab\r\n1\r\nc\r\n0\r\n\r\n"
            assert (await client.ask(chunked)).status == 503
            assert len(w.script.received(api.Request)) == 2 and len(w.node.server.connections) == 1

    run(test())


def test_pipelined_requests_are_answered_in_order() -> None:
    async def test() -> None:
        async with running_gateway() as w:
            w.script.on(
                api.Request, lambda e: [api.Refuse("r2", 2.0), api.Refuse("r1", 1.0)][: e.id == "r2" and 2]
            )
            client = await w.client()
            client.send(request("r1") + request("r2") + request("r3", target="/no"))
            assert (await client.receive()).headers[b"retry-after"] == b"1.000"
            assert (await client.receive()).headers[b"retry-after"] == b"2.000"
            assert (await client.receive()).status == 404

    run(test())


def test_many_pipelined_requests_are_all_answered() -> None:
    async def test() -> None:
        async with running_gateway() as w:
            refuse_all(w)
            client = await w.client()
            client.send(b"".join(request(f"r{i}") for i in range(60)))
            for _ in range(60):
                assert (await client.receive()).status == 503

    run(test())


def test_a_connection_is_closed_where_the_client_says_so() -> None:
    async def test() -> None:
        async with running_gateway() as w:
            refuse_all(w)
            client = await w.client()
            message = await client.ask(request(Connection="close"))
            assert message.status == 503 and message.headers[b"connection"] == b"close"
            assert await client.closed_by_gateway()

    run(test())


def test_a_client_that_disconnects_is_reported_to_the_decision_module_once() -> None:
    async def test() -> None:
        async with running_gateway() as w:
            client = await w.client()
            client.send(request("r1"))
            await until(lambda: w.script.received(api.Request))
            client.close()
            await until(lambda: w.script.received(api.RequestAbandoned))
            assert w.script.received(api.RequestAbandoned) == [api.RequestAbandoned("r1")]
            assert not w.node.pending
            half = await w.client()
            half.send(request("r2")[:-10])
            half.close()
            await until(lambda: not w.node.server.connections)
            assert len(w.script.received(api.Request)) == len(w.script.received(api.RequestAbandoned)) == 1

    run(test())


def test_a_second_request_with_an_id_in_use_is_rejected() -> None:
    async def test() -> None:
        async with running_gateway() as w:
            client = await w.client()
            client.send(request("r1"))
            await until(lambda: w.script.received(api.Request))
            assert (await w.ask(request("r1"))).status == 400
            assert len(w.script.received(api.Request)) == 1

    run(test())


def test_requests_beyond_the_maximum_of_pending_ones_are_refused_at_once() -> None:
    async def test() -> None:
        async with running_gateway(ceilings={"most_held": 2}) as w:
            client = await w.client()
            client.send(request("r1") + request("r2"))
            await until(lambda: len(w.node.pending) == 2)
            message = await w.ask(request("r3"))
            assert message.status == 503 and message.headers[b"retry-after"] == b"0.500"
            assert len(w.script.received(api.Request)) == 2

    run(test())


def test_at_the_connection_limit_idle_ones_are_closed_for_new_ones_or_requests_refused() -> None:
    async def test() -> None:
        async with running_gateway() as w:
            refuse_all(w)
            w.node.server.max_connections, w.node.server.max_overflow = 2, 1
            first, second = await w.client(), await w.client()
            await first.ask(request("r1"))
            await second.ask(request("r2"))
            third = await w.client()
            assert (await third.ask(request("r3"))).status == 503
            assert await first.closed_by_gateway()  # it was idle for longest
            w.script.on(api.Request, lambda e: [])
            second.send(request("r4"))
            third.send(request("r5"))
            await until(lambda: len(w.node.pending) == 2)
            overflow = await w.client()
            message = await overflow.ask(request("r6"))
            assert message.status == 503 and message.headers[b"connection"] == b"close"
            assert await overflow.closed_by_gateway() and len(w.node.pending) == 2

    run(test())


def test_the_wait_of_a_new_connection_to_be_accepted_counts_against_the_timeout() -> None:
    """Otherwise hosts are told of more time than the client has left (0.2 s more in a run with idle clients).

    A connection that waits in the kernel to be accepted brings its request along. The timeout counts from the
    request's last byte, so by the time the request is read, up to that wait has to be taken off.
    """

    async def test() -> None:
        async with running_gateway() as w:
            w.node.server.max_connections, w.node.server.max_overflow = 1, 0
            first = await w.client()
            first.send(request("r1"))
            await until(lambda: len(w.node.pending) == 1)
            second = await w.client()
            sent_at = w.node.clock.now()
            second.send(request("r2"))
            await until(lambda: w.node.clock.now() > sent_at + 0.2)
            first.close()
            await until(lambda: "r2" in w.node.pending)
            (_, event) = w.script.received(api.Request)
            assert event.expires_at <= sent_at + 30.0
            assert event.expires_at > sent_at + 29.0
            third = await w.client()
            second.close()
            await until(lambda: not w.node.pending)
            third.send(request("r3"))
            sent_at = w.node.clock.now()
            await until(lambda: "r3" in w.node.pending)
            assert w.script.received(api.Request)[-1].expires_at > sent_at + 29.0

    run(test())


def test_accepting_goes_on_after_it_has_failed() -> None:
    class Exhausted:
        """A listening socket whose first accept fails for lack of descriptors."""

        def __init__(self, inner: socket.socket) -> None:
            self.inner, self.failures = inner, 1

        def accept(self) -> tuple[socket.socket, object]:
            if self.failures:
                self.failures -= 1
                raise OSError(errno.EMFILE, "Too many open files")
            return self.inner.accept()

        def __getattr__(self, name: str) -> object:
            return getattr(self.inner, name)

    async def test() -> None:
        async with running_gateway() as w:
            exhausted = Exhausted(w.node.server.socket)
            w.node.server.socket = exhausted  # type: ignore[assignment]
            assert (await w.ask(request(target="/no"))).status == 404
            assert exhausted.failures == 0

    run(test())


def test_idle_connections_and_those_of_incomplete_requests_are_closed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def test() -> None:
        async with running_gateway() as w:
            refuse_all(w)
            silent, slow, body, usual = [await w.client() for _ in range(4)]
            slow.send(request()[:-10])
            body.send(request(class_name="write", Content_Length="9") + b"x")
            assert (await usual.ask(request("r1"))).status == 503
            await until(lambda: sum(c.incoming is not None for c in w.node.server.connections) == 2)
            clock.now += REQUEST_READ_TIMEOUT_S
            w.node.server._sweep()
            assert len(w.node.server.connections) == 4  # no timeout has passed yet
            assert not any(c.closing or c.error_status for c in w.node.server.connections)
            clock.now += MARGIN_S
            for client in (slow, body):  # answered, as their requests were not handled
                assert (await client.receive()).status == 408
                assert await client.closed_by_gateway()
            assert await silent.closed_by_gateway()
            assert (await usual.ask(request("r2"))).status == 503  # one that sends requests is not closed
            await until(lambda: len(w.node.server.connections) == 1)
            clock.now += IDLE_TIMEOUT_S
            w.node.server._sweep()
            assert [c.closing for c in w.node.server.connections] == [False]
            clock.now += MARGIN_S
            assert await usual.closed_by_gateway()
            assert len(w.script.received(api.Request)) == 2

    clock = ManualClock()
    clock.install(monkeypatch)
    for name in ("SWEEP_INTERVAL_S", "LINGER_S"):
        monkeypatch.setattr(f"coralvale.net.server.{name}", 0.01)
    run(test())


def test_empty_lines_do_not_keep_a_connection_without_a_request_open(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Guards against bytes that begin no request and put off the end of their connection for good.

    async def test() -> None:
        async with running_gateway() as w:
            client = await w.client()
            await until(lambda: w.node.server.connections)
            (connection,) = w.node.server.connections
            for lines in range(1, 4):
                client.send(b"\r\n")
                await until(lambda lines=lines: connection.size.received == 2 * lines)
                clock.now += REQUEST_READ_TIMEOUT_S / 3 + MARGIN_S
            assert await client.closed_by_gateway()

    clock = ManualClock()
    clock.install(monkeypatch)
    monkeypatch.setattr("coralvale.net.server.SWEEP_INTERVAL_S", 0.01)
    run(test())


def test_idle_connections_are_closed_sooner_near_the_connection_limit(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def test() -> None:
        async with running_gateway() as w:
            refuse_all(w)
            w.node.server.max_connections = 3
            first, second = await w.client(), await w.client()
            await first.ask(request("r1"))
            await second.ask(request("r2"))
            assert await first.closed_by_gateway()

    monkeypatch.setattr("coralvale.net.server.SHORT_IDLE_TIMEOUT_S", 0.01)
    monkeypatch.setattr("coralvale.net.server.SWEEP_INTERVAL_S", 0.01)
    run(test())


def test_silent_connections_are_closed_for_those_that_send_requests(monkeypatch: pytest.MonkeyPatch) -> None:
    """A hundred connections that send nothing must not keep out a client with a request."""

    async def test() -> None:
        async with running_gateway() as w:
            refuse_all(w)
            w.node.server.max_connections, w.node.server.max_overflow = 4, 0
            silent = [await w.client() for _ in range(100)]
            assert (await w.ask(request())).headers[b"retry-after"] == b"0.250"
            assert len(w.node.server.connections) <= 4
            assert await silent[0].closed_by_gateway()

    monkeypatch.setattr("coralvale.net.server.NEW_CONNECTION_GRACE_S", 0.0)
    run(test())


def test_an_invalid_request_is_the_last_of_its_connection() -> None:
    """Otherwise a client could repeat it at full speed. A request right behind it is ignored."""

    async def test() -> None:
        async with running_gateway() as w:
            refuse_all(w)
            bad = await w.client()
            assert (await bad.ask(request("bad", Plan="other") + request("r2"))).status == 400
            assert await bad.closed_by_gateway()
            assert not w.script.received(api.Request)

    run(test())


def test_the_body_behind_an_invalid_head_is_not_read_and_the_response_arrives() -> None:
    async def test() -> None:
        async with running_gateway() as w:
            bad = await w.client()
            bad.send(request(class_name="write", Content_Length="60000000"))
            assert (await bad.receive()).status == 413
            (connection,) = w.node.server.connections
            assert connection.transport is not None and not connection.transport.is_reading()
            bad.send(b"x" * 1_000_000)
            assert await bad.closed_by_gateway()
            await until(lambda: not w.node.server.connections)  # the connection is closed in the end

    run(test())


def test_the_number_of_lingering_connections_is_limited(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def test() -> None:
        async with running_gateway() as w:
            for _ in range(5):
                assert (await w.ask(b"nonsense\r\n\r\n")).status == 400
            await until(lambda: len(w.node.server.connections) == 2)

    monkeypatch.setattr("coralvale.net.server.LINGER_S", 60.0)
    monkeypatch.setattr("coralvale.net.server.MAX_LINGERING", 2)
    run(test())


# Guards against connections that end at once and linger in any number, as only one of them is aborted.
def test_the_number_of_connections_that_begin_to_linger_at_once_is_limited(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def test() -> None:
        async with running_gateway() as w:
            clients = [await w.client() for _ in range(40)]
            connections = w.node.server.connections
            await until(lambda: len(connections) == 40 and all(c.transport for c in connections))
            for client in clients:
                client.send(b"nonsense\r\n\r\n")
            await until(lambda: len(connections) == 2)

    monkeypatch.setattr("coralvale.net.server.LINGER_S", 60.0)
    monkeypatch.setattr("coralvale.net.server.MAX_LINGERING", 2)
    run(test())


# Guards against half-sent requests that take all connections, while none of them is idle.
def test_at_the_connection_limit_a_request_that_has_stalled_makes_room(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def test() -> None:
        async with running_gateway() as w:
            refuse_all(w)
            w.node.server.max_connections, w.node.server.max_overflow = 2, 1
            stalled, other = await w.client(), await w.client()
            stalled.send(request("r1")[:-1])
            await until(lambda: len(w.node.server.receiving) == 1)
            other.send(request("r2")[:-1])
            await until(lambda: len(w.node.server.receiving) == 2)
            usual = await w.client()
            assert (await usual.ask(request("r3"))).headers.get(b"connection") is None
            assert (await stalled.receive()).status == 503 and await stalled.closed_by_gateway()
            assert list(w.node.server.receiving) == [c for c in w.node.server.connections if c.incoming]

    monkeypatch.setattr("coralvale.net.server.STALL_TIME_S", 0.0)
    run(test())


def test_up_is_answered_200_once_the_host_list_has_arrived(monkeypatch: pytest.MonkeyPatch) -> None:
    async def up(client: Client) -> int:
        return (await client.ask(b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n")).status

    async def test() -> None:
        async with running_gateway() as w:
            client = await w.client()
            w.node.ready = False
            assert await up(client) == 503
            watch = await w.registry.watch()
            watch.reply(b"1e\r\n" + b'{"index":42,"endpoints":[{}]}\n' + b"\r\n")
            watch.reply(b"39\r\n" + b'{"index":43,"snapshot":true,"endpoints":[]}'.ljust(56) + b"\n\r\n")
            await until(lambda: w.node.ready)
            assert await up(client) == 200

    monkeypatch.setattr("coralvale.net.node.READY_TIMEOUT_S", 60.0)  # so only the list makes it ready
    run(test())


def test_a_client_that_never_reads_is_no_longer_read_and_finally_disconnected(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """It goes on sending requests: without a limit, the unread responses would fill the memory."""

    async def test() -> None:
        async with running_gateway() as w:
            client = await w.client()
            client.writer.transport.pause_reading()  # type: ignore[attr-defined]
            client.send(500_000 * b"GET /up HTTP/1.1\r\n\r\n")
            await until(lambda: w.node.server.connections)
            (connection,) = w.node.server.connections
            assert connection.transport
            unread = connection.transport.get_write_buffer_size
            await until(lambda: connection.reading_paused or unread() > 4_000_000)
            assert unread() < 2_000_000
            await until(lambda: not w.node.server.connections)

    monkeypatch.setattr("coralvale.net.server.WRITE_TIMEOUT_S", 0.3)
    run(test())


def test_a_client_that_reads_late_gets_all_of_its_responses() -> None:
    async def test() -> None:
        async with running_gateway() as w:
            client, count = await w.client(), 300_000
            client.writer.transport.pause_reading()  # type: ignore[attr-defined]
            client.send(count * b"GET /up HTTP/1.1\r\n\r\n")
            await until(lambda: any(c.write_blocked_since is not None for c in w.node.server.connections))
            client.writer.transport.resume_reading()  # type: ignore[attr-defined]
            seen, end = 0, b""
            while seen < count:
                end = end[-8:] + await with_timeout(client.reader.read(1 << 20))
                seen += end.count(b"HTTP/1.1 ")  # nine bytes; the last eight are kept for the next read

    run(test())
