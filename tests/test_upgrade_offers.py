"""Requests that offer an upgrade to another protocol: served as if they did not offer it (RFC 9110, 7.8)."""

from __future__ import annotations

import asyncio
import gc
import weakref

import pytest
from net_helpers import Client, RunningGateway, chunk, host_entry, request, run, running_gateway, until
from test_node import send_all

from coralvale import interface as api
from coralvale.net.client_connection import ClientConnection
from coralvale.net.server import Server
from testbed.standins.http import http_response
from testbed.standins.peer import FakeServer

BODY = bytes(range(256)) * 8
H2C = {
    "Connection": "Upgrade, HTTP2-Settings",
    "Upgrade": "h2c",
    "HTTP2-Settings": "AAMAAABkAARAAAAAAAIAAAAA",
}
OFFERS = {
    "h2c": H2C,
    "lower case": {"connection": "upgrade", "upgrade": "h2c"},
    "websocket": {"Connection": "Upgrade", "Upgrade": "websocket", "Sec-WebSocket-Version": "13"},
    "TLS": {"Connection": "Upgrade", "Upgrade": "TLS/1.3"},
    "only Upgrade": {"Upgrade": "h2c"},
    "only Connection": {"Connection": "Upgrade"},
}
# Bytes that are sent at once, and then the rest: all, up to the end of the head, or one byte after another.
DELIVERIES = ("whole", "body later", "single bytes")


def offering(name: str, offer: dict[str, str], is_chunked: bool = False, body: bytes = BODY) -> bytes:
    """A request with an offer: a GET without a body, or else a POST."""
    if not body:
        return request(name, **offer)
    if not is_chunked:
        return request(name, "write", body=body, **offer)
    chunks = chunk(body[:100]) + chunk(body[100:]) + b"0\r\nTrailer: x\r\n\r\n"
    return request(name, "write", Transfer_Encoding="chunked", **offer) + chunks


async def deliver(client: Client, data: bytes, delivery: str) -> None:
    end_of_head = data.index(b"\r\n\r\n") + 4
    cuts = {"whole": [], "body later": [end_of_head], "single bytes": range(1, len(data))}[delivery]
    for start, end in zip([0, *cuts], [*cuts, len(data)], strict=True):
        client.send(data[start:end])
        await client.writer.drain()
        await asyncio.sleep(0)


async def expect_served(w: RunningGateway, client: Client, host: FakeServer, name: str, body: bytes) -> None:
    """Checks that a host gets a request without the offer, and its client the host's response."""
    arrived = await host.next_request()
    assert arrived.message.headers[b"x-request-id"] == name.encode() and arrived.message.body == body
    assert not arrived.message.headers.keys() & {b"upgrade", b"connection", b"http2-settings"}
    arrived.reply(http_response(body=f"answer to {name}".encode()))
    message = await client.receive()
    assert message.status == 200 and message.body == f"answer to {name}".encode()


@pytest.mark.parametrize("delivery", DELIVERIES)
@pytest.mark.parametrize("offer", OFFERS.values(), ids=OFFERS)
@pytest.mark.parametrize("is_chunked", [False, True])
def test_a_request_with_an_offer_is_served_with_its_body_and_so_are_those_behind_it(
    offer: dict[str, str], is_chunked: bool, delivery: str
) -> None:
    """Guards against bodies that are lost and second answers where a client offers an upgrade (review/6)."""

    async def test() -> None:
        host = await FakeServer().start()
        async with running_gateway(host_entry("s-1", host.port)) as w:
            send_all(w, *["s-1"] * 4)
            client = await w.client()
            bodies = {"r1": BODY, "r2": b"", "r3": BODY, "r4": b""}
            for name, body in bodies.items():
                await deliver(client, offering(name, offer, is_chunked, body), delivery)
                await expect_served(w, client, host, name, body)
            assert len(w.node.server.connections) == 1  # kept, with nothing behind the last response
            assert (await client.ask(request(target="/other"))).status == 404
            assert [event.id for event in w.script.received(api.Request)] == list(bodies)
        host.stop()

    run(test())


def test_requests_right_behind_one_with_an_offer_are_served_in_order() -> None:
    async def test() -> None:
        host = await FakeServer().start()
        async with running_gateway(host_entry("s-1", host.port)) as w:
            send_all(w, *["s-1"] * 4)
            client = await w.client()
            forms = {
                "r1": offering("r1", H2C),
                "r2": offering("r2", H2C, is_chunked=True),
                "r3": request("r3", "write", body=BODY),
                "r4": offering("r4", H2C),
            }
            client.send(b"".join(forms.values()))
            for _ in forms:
                arrived = await host.next_request()
                assert arrived.message.body == BODY
                arrived.reply(http_response(body=arrived.message.headers[b"x-request-id"]))
            for name in forms:
                assert (await client.receive()).body == name.encode()
            assert len(w.node.server.connections) == 1
        host.stop()

    run(test())


def test_an_offer_changes_neither_the_clients_wish_to_close_nor_its_wait_for_100_continue() -> None:
    async def test() -> None:
        host = await FakeServer().start()
        async with running_gateway(host_entry("s-1", host.port)) as w:
            send_all(w, "s-1")
            client = await w.client()
            data = offering("r1", {**H2C, "Connection": "close, Upgrade", "Expect": "100-continue"})
            client.send(data[: -len(BODY)])
            assert (await client.receive()).status == 100
            client.send(BODY)
            await expect_served(w, client, host, "r1", BODY)
            assert await client.closed_by_gateway()
        host.stop()

    run(test())


def test_http_1_0_with_an_offer_is_served_once_and_closed() -> None:
    async def test() -> None:
        host = await FakeServer().start()
        async with running_gateway(host_entry("s-1", host.port)) as w:
            send_all(w, "s-1")
            client = await w.client()
            client.send(offering("r1", H2C).replace(b"HTTP/1.1", b"HTTP/1.0", 1))
            await expect_served(w, client, host, "r1", BODY)
            assert await client.closed_by_gateway()
        host.stop()

    run(test())


CHUNKED = request("r1", "write", Transfer_Encoding="chunked", **H2C)
BAD_INPUT = {
    "long body": (request("r1", "write", body=b"x" * (64 * 1024 + 1), **H2C), 413),
    "long chunk": (CHUNKED + chunk(b"x" * 70_000), 413),
    "chunk without a size": (CHUNKED + b"no size\r\n", 400),
    "long chunk extension": (CHUNKED + b"1;" + b"x" * 20_000, 400),
    "two lengths": (request("r1", "write", Transfer_Encoding="chunked", Content_Length="1", **H2C), 400),
    "negative length": (request("r1", "write", Content_Length="-1", **H2C), 400),
    "preface of HTTP/2": (b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + bytes(9), 400),
    "CONNECT": (b"CONNECT service.internal:80 HTTP/1.1\r\nHost: service.internal\r\n\r\n" + bytes(9), 404),
}


@pytest.mark.parametrize(("data", "status"), BAD_INPUT.values(), ids=BAD_INPUT)
def test_bad_input_with_an_offer_is_refused_once_and_not_handled(data: bytes, status: int) -> None:
    async def test() -> None:
        async with running_gateway(host_entry("s-1", 1)) as w:
            client = await w.client()
            assert (await client.ask(data)).status == status
            assert await client.closed_by_gateway() and not w.script.received(api.Request)

    run(test())


@pytest.mark.parametrize(
    "fields", [{"Content_Length": "5"}, {"Transfer_Encoding": "chunked"}], ids=["length", "chunked"]
)
def test_a_request_whose_body_has_not_come_is_not_dispatched_whatever_the_parser_says(
    fields: dict[str, str], monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a parser that reports a request as complete ahead of the end of its body (review/6)."""
    report_head = ClientConnection.on_headers_complete

    def report_head_and_end(connection: ClientConnection) -> None:
        report_head(connection)
        connection.on_message_complete()

    monkeypatch.setattr(ClientConnection, "on_headers_complete", report_head_and_end)

    async def test() -> None:
        async with running_gateway(host_entry("s-1", 1)) as w:
            client = await w.client()
            assert (await client.ask(request("r1", "write", **fields))).status == 400
            assert not w.script.received(api.Request)

    run(test())


def test_a_connection_that_ends_behind_an_offer_is_freed_at_once() -> None:
    """Guards against ended connections that wait for a garbage collection, as their parser refers back."""
    connections = list[weakref.ref[ClientConnection]]()
    add = Server.remove

    def remove(server: Server, connection: ClientConnection) -> None:
        connections.append(weakref.ref(connection))
        add(server, connection)

    async def test() -> None:
        async with running_gateway(host_entry("s-1", 1)) as w:
            client = await w.client()
            client.send(offering("r1", H2C)[:-10])
            await until(lambda: any(c.incoming_bytes() > len(BODY) for c in w.node.server.connections))
            client.close()
            await until(lambda: connections)
            await until(lambda: connections[0]() is None)

    gc.collect()
    gc.disable()
    try:
        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(Server, "remove", remove)
            run(test())
    finally:
        gc.enable()
