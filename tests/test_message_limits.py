"""Bounds on the processor time and memory that one message of a client or a host takes."""

from __future__ import annotations

import asyncio
import math
import time
import tracemalloc

import pytest
from net_helpers import (
    FakeServer,
    host_entry,
    http_response,
    request,
    run,
    running_gateway,
    until,
    with_timeout,
)
from upstream_helpers import harness

from coralvale import interface as api
from coralvale.interface import Outcome
from coralvale.net.client_connection import READ_AHEAD_BYTES, READ_SIZE_BYTES
from coralvale.net.discovery import Discovery, Watch
from coralvale.net.message_size import MAX_BODY_BYTES, MAX_FIELDS
from coralvale.net.upstream import READ_SIZE_BYTES as HOST_READ_SIZE_BYTES

MAX_LOOP_HOLD_S = 0.02  # of processor time, for which one message may hold up the event loop
TRIES = 3  # of which the fastest counts, as other work may fall into one of them
LONG_VALUE_BYTES = 15_000  # just within the limit on a request's head
PATTERNS = (
    b"a",
    b"1",
    b"0",
    b".",
    b"=",
    b",",
    b";",
    b"; ",
    b" ",
    b"a=",
    b"units=1,",
    b"; client",
    b"client=;",
)


@pytest.mark.parametrize(
    "header",
    [
        "X-Request-ID", "X-Priority-Class", "Plan", "Cookie", "X-Timeout", "Quota-Info", "Idempotency-Key",
        "Content-Length", "Transfer-Encoding", "Connection", "Expect", "X-Retried",
    ],
)  # fmt: skip
def test_no_long_header_value_holds_up_the_event_loop(header: str) -> None:
    # Guards against a value parsed in time that grows with the square of its length, while all others wait.

    async def test() -> None:
        async with running_gateway(host_entry("s-1", 1)) as w:
            w.script.on(api.Request, lambda e: [api.Refuse(e.id)])
            for pattern in PATTERNS:
                value = pattern * (LONG_VALUE_BYTES // len(pattern))
                data = request(**{header.replace("-", "_"): value.decode()})
                fastest = math.inf
                for _ in range(TRIES):
                    began = time.thread_time()
                    assert (await w.ask(data)).status in (400, 413, 503)
                    fastest = min(fastest, time.thread_time() - began)
                assert fastest < MAX_LOOP_HOLD_S, pattern

    run(test())


@pytest.mark.parametrize(
    "value",
    [
        "units=1,spread=2,first=1",
        "units=1, spread=2, first=1",
        "first=1;spread=2;units=1",
        "units=1 spread=2\tfirst=1",
        "units=4,units=1,spread=2,first=1,other,=,a=b=c",
    ],
)
def test_the_fields_of_quota_info_come_in_any_order_between_separators(value: str) -> None:
    async def test() -> None:
        async with running_gateway(host_entry("s-1", 1)) as w:
            w.script.on(api.Request, lambda e: [api.Refuse(e.id)])
            assert (await w.ask(request(Quota_Info=value))).status == 503
            (event,) = w.script.received(api.Request)
            assert (event.units, event.entry_gateways) == (1.0, 2)

    run(test())


RESPONSE = b"HTTP/1.1 200 OK\r\n"
CHUNKED_RESPONSE = RESPONSE + b"Transfer-Encoding: chunked\r\n\r\n"
ENDLESS_BYTES = 500_000  # sent of a message that does not end, well beyond each limit on its size


def endless(start: bytes, block: bytes) -> bytes:
    return start + block * (ENDLESS_BYTES // len(block))


@pytest.mark.parametrize(
    ("start", "block"),
    [
        pytest.param(b"", b"\r\n", id="empty lines ahead of it"),
        pytest.param(b"HTTP/1.1 200 ", b"x", id="reason phrase"),
        pytest.param(RESPONSE, b"x", id="header name"),
        pytest.param(RESPONSE + b"A: ", b"x", id="header value"),
        pytest.param(RESPONSE, b"a: b\r\n", id="headers"),
        pytest.param(b"HTTP/1.1 102 x\r\n", b"a: b\r\n", id="headers of an interim response"),
        pytest.param(RESPONSE + b"\r\n", b"x", id="body"),
        pytest.param(CHUNKED_RESPONSE, b"1\r\nx\r\n", id="chunks"),
        pytest.param(CHUNKED_RESPONSE, b"0", id="chunk size"),
        pytest.param(CHUNKED_RESPONSE + b"1;", b"x", id="chunk extension"),
        pytest.param(CHUNKED_RESPONSE, b"1;" + b"x" * 3000 + b"\r\nx\r\n", id="chunk extensions"),
        pytest.param(CHUNKED_RESPONSE + b"2\r\nok\r\n0\r\n", b"x", id="trailer name"),
        pytest.param(CHUNKED_RESPONSE + b"2\r\nok\r\n0\r\na: ", b"x", id="trailer value"),
        pytest.param(CHUNKED_RESPONSE + b"2\r\nok\r\n0\r\n", b"a: b\r\n", id="trailers"),
    ],
)
def test_a_response_that_does_not_end_fails_in_whichever_part_it_goes_on(start: bytes, block: bytes) -> None:
    # Guards against bytes of a host that count against no limit and fill the memory.

    async def test() -> None:
        async with harness(auto=endless(start, block)) as h:
            h.send()
            assert await h.outcome() is Outcome.ERROR
            assert h.upstreams.open_count == 0

    run(test())


# Guards against a host that sends much at once and holds up the event loop until all of it is read.
def test_of_a_response_a_bounded_part_is_read_in_one_turn_of_the_event_loop() -> None:
    async def test() -> None:
        async with harness() as h:
            h.send()
            host = await h.host.next_request()
            (connection,) = h.upstreams.connections
            read, largest = 0, 0
            host.reply(CHUNKED_RESPONSE + b"1\r\nx\r\n" * (ENDLESS_BYTES // 10))
            while h.ended.empty() and read < ENDLESS_BYTES // 4:
                await asyncio.sleep(0)
                received = connection.size.received
                largest, read = max(largest, received - read), received
            assert 0 < largest <= 2 * HOST_READ_SIZE_BYTES  # the turns of the test are not those of the read

    run(test())


# Guards against a buffer that is copied with each piece of a long list.
def test_a_long_list_in_short_pieces_is_collected_in_linear_time() -> None:
    async def test() -> None:
        watch = Watch(Discovery(("127.0.0.1", 1), (), (), lambda *_: None))
        watch.owner.watch = watch
        buffer = watch.buffer
        for _ in range(1000):
            watch.on_body(b'{"index":1,')
        assert watch.buffer is buffer and len(buffer) == 11_000

    run(test())


def test_a_response_in_single_byte_chunks_with_trailers_is_passed_on_without_them() -> None:
    body = bytes(range(65, 91)) * 2000
    chunks = b"".join(b"1;x=y\r\n%c\r\n" % byte for byte in body)
    response = CHUNKED_RESPONSE.replace(b"\r\n\r\n", b"\r\nKept: 1\r\n\r\n") + chunks
    response += b"0\r\nUsage-Percent: 50\r\n" + b"Other: x\r\n" * 10 + b"\r\n"

    async def test() -> None:
        async with harness(auto=response) as h:
            h.send()
            _, outcome, received = await with_timeout(h.ended.get())
            assert outcome is Outcome.OK and received and received.body == body
            assert received.headers == [(b"Kept", b"1")] and received.usage is None
            assert len(h.upstreams.connections) == 1  # kept for the next request

    run(test())


REQUEST_LINE = b"POST /api HTTP/1.1\r\n"
CHUNKED_REQUEST = request(class_name="write", Transfer_Encoding="chunked")


@pytest.mark.parametrize(
    ("start", "block", "status"),
    [
        pytest.param(b"", b"\r\n", 400, id="empty lines ahead of it"),
        pytest.param(b"", b"X", 400, id="method"),
        pytest.param(b"POST /", b"x", 400, id="target"),
        pytest.param(REQUEST_LINE, b"x", 400, id="header name"),
        pytest.param(REQUEST_LINE + b"A: ", b"x", 400, id="header value"),
        pytest.param(REQUEST_LINE, b"a: b\r\n", 400, id="headers"),
        pytest.param(CHUNKED_REQUEST, b"1\r\nx\r\n", 413, id="chunks"),
        pytest.param(CHUNKED_REQUEST, b"0", 400, id="chunk size"),
        pytest.param(CHUNKED_REQUEST + b"1;", b"x", 400, id="chunk extension"),
        pytest.param(CHUNKED_REQUEST, b"1;" + b"x" * 3000 + b"\r\nx\r\n", 400, id="chunk extensions"),
        pytest.param(CHUNKED_REQUEST + b"2\r\nok\r\n0\r\n", b"x", 400, id="trailer name"),
        pytest.param(CHUNKED_REQUEST + b"2\r\nok\r\n0\r\na: ", b"x", 400, id="trailer value"),
        pytest.param(CHUNKED_REQUEST + b"2\r\nok\r\n0\r\n", b"a: b\r\n", 400, id="trailers"),
    ],
)
def test_a_request_that_does_not_end_is_answered_in_whichever_part_it_goes_on(
    start: bytes, block: bytes, status: int
) -> None:
    # Guards against bytes of a client that count against no limit and fill the memory.

    async def test() -> None:
        async with running_gateway() as w:
            assert (await w.ask(endless(start, block))).status == status
            assert not w.script.received(api.Request)

    run(test())


def test_a_request_that_does_not_end_behind_another_is_answered_from_the_same_read() -> None:
    # Guards against a whole read kept uncounted, on hundreds of connections at once.
    data = request(target="/up") + endless(REQUEST_LINE + b"A: ", b"x")

    async def test() -> None:
        async with running_gateway() as w:
            client = await w.client()
            await until(lambda: w.node.server.connections)
            (connection,) = w.node.server.connections
            await until(lambda: connection.transport)
            for start in range(0, len(data), READ_SIZE_BYTES):  # as if the system had all of it at hand
                piece = data[start : start + READ_SIZE_BYTES]
                connection.get_buffer(-1)[: len(piece)] = piece
                connection.buffer_updated(len(piece))
                if connection.reading_paused:
                    break
            assert connection.reading_paused and len(connection.unparsed) <= READ_AHEAD_BYTES
            assert (await client.receive()).status in (200, 503)
            assert (await client.receive()).status == 400

    run(test())


def test_a_request_in_single_byte_chunks_with_trailers_is_handled_without_them() -> None:
    body = bytes(range(65, 91)) * 2000
    chunks = b"".join(b"1;x=y\r\n%c\r\n" % byte for byte in body)
    data = CHUNKED_REQUEST + chunks + b"0\r\nX-Timeout: 1\r\n" + b"Other: x\r\n" * 10 + b"\r\n"

    async def test() -> None:
        host = await FakeServer(http_response()).start()
        async with running_gateway(host_entry("s-1", host.port)) as w:
            w.script.on(api.Request, lambda e: [api.Send(e.id, "s-1", 0.0)])
            client = await w.client()
            for request_id in (b"r1", b"r2"):  # the second on the same connection
                assert (await client.ask(data.replace(b": r1\r\n", b": %b\r\n" % request_id))).status == 200
                assert w.script.received(api.Request)[-1].id == request_id.decode()
                message = (await host.next_request()).message
                assert message.body == body and b"other" not in message.headers
        host.stop()

    run(test())


SHORT_FIELD = b"a:\r\n"
NEXT_LINE = b"b"  # a field is complete when the next line begins, as it may be folded


def test_a_request_with_too_many_fields_is_answered_before_its_head_ends() -> None:
    # Guards against short header lines, each kept in many times its size, on hundreds of connections at once.
    head = request(class_name="write", Content_Length="2").removesuffix(b"\r\n")
    own_fields = head.count(b"\r\n") - 1

    async def test() -> None:
        async with running_gateway() as w:
            w.script.on(api.Request, lambda e: [api.Refuse(e.id)])
            full = head + SHORT_FIELD * (MAX_FIELDS - own_fields)
            assert (await w.ask(full + b"\r\nok")).status == 503
            assert (await w.ask(full + SHORT_FIELD + NEXT_LINE)).status == 400

    run(test())


def test_a_response_with_too_many_fields_fails_before_its_head_ends() -> None:
    # Guards against short header lines, each kept in many times its size, in many responses at once.
    full = RESPONSE + b"Content-Length: 2\r\n" + SHORT_FIELD * (MAX_FIELDS - 1)

    async def test(response: bytes, expected: Outcome) -> None:
        async with harness(auto=response) as h:
            h.send()
            assert await h.outcome() is expected

    run(test(full + b"\r\nok", Outcome.OK))
    run(test(full + SHORT_FIELD + NEXT_LINE, Outcome.ERROR))


def test_a_response_in_many_pieces_takes_no_more_memory_than_in_one() -> None:
    # Guards against short chunks, each kept in many times its size, in many responses at once.
    pieces = MAX_BODY_BYTES // 4
    response = CHUNKED_RESPONSE + b"2\r\nxy\r\n" * pieces  # half of the largest body, and no end

    async def test() -> None:
        async with harness() as h:
            h.send()
            host = await h.host.next_request()
            (connection,) = h.upstreams.connections
            tracemalloc.start()
            host.reply(response)
            await until(lambda: connection.size.body == 2 * pieces)
            held, _ = tracemalloc.get_traced_memory()
            tracemalloc.stop()
            assert held < 2 * MAX_BODY_BYTES

    run(test())
