"""Responses whose body is ended by the connection, as their head states no length."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator

import pytest
from net_helpers import http_response, run, until, with_timeout
from upstream_helpers import Harness, RawHost, harness

from coralvale.interface import Outcome
from coralvale.net.response import Response

HEAD = b"HTTP/1.1 200 OK\r\nServer: x\r\n\r\n"
CHUNKED_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
CHUNKED_END = b"0\r\n\r\n"


@contextlib.asynccontextmanager
async def requested() -> AsyncIterator[tuple[Harness, RawHost]]:
    """A host that has read a request and answers it as the test decides."""
    host = RawHost()
    async with harness() as h:
        h.send(address=host.address)
        await host.accept_request()
        yield h, host
    host.close()


async def ended(h: Harness) -> tuple[Outcome, Response | None]:
    _, outcome, response = await with_timeout(h.ended.get())
    assert h.ended.empty()
    return outcome, response


async def read_by_gateway(h: Harness, size: int) -> None:
    """Waits until the gateway has read so many bytes of the body."""
    await until(lambda: any(len(connection.body) == size for connection in h.upstreams.connections))


async def leave_bytes_unread(h: Harness, host: RawHost) -> None:
    """Sends the host bytes that it does not read: its close over them is a reset in place of an end."""
    for connection in h.upstreams.connections:
        assert connection.transport
        connection.transport.write(b"more")
    await asyncio.get_running_loop().sock_recv(host.connection, 1)


@pytest.mark.parametrize("apart", [False, True], ids=["with the last bytes", "apart"])
@pytest.mark.parametrize("body", [b"", b"result", b"x" * 60_000], ids=len)
def test_an_orderly_end_completes_a_response_with_no_length(body: bytes, apart: bool) -> None:
    # Guards against whole answers that were never forwarded: each end of a connection counted as a reset.

    async def test() -> None:
        async with requested() as (h, host):
            host.write(HEAD + body)
            if apart:
                await read_by_gateway(h, len(body))
            host.end()
            outcome, response = await ended(h)
            assert outcome is Outcome.OK and response
            assert (response.status, response.body) == (200, body)
            await until(lambda: not h.upstreams.connections)  # it is of no further use

    run(test())


@pytest.mark.parametrize("apart", [False, True], ids=["with the last bytes", "apart"])
def test_a_reset_never_completes_a_response_with_no_length(apart: bool) -> None:
    async def test() -> None:
        async with requested() as (h, host):
            host.write(HEAD + b"half")
            if apart:
                await read_by_gateway(h, 4)
            host.reset()
            assert await ended(h) == (Outcome.RESET, None)

    run(test())


def test_a_reset_over_unread_bytes_never_completes_a_response_with_no_length() -> None:
    async def test() -> None:
        async with requested() as (h, host):
            await leave_bytes_unread(h, host)
            host.write(HEAD + b"half")
            host.connection.close()
            assert await ended(h) == (Outcome.RESET, None)

    run(test())


def test_a_reset_behind_an_orderly_end_leaves_the_response_complete() -> None:
    async def test() -> None:
        async with requested() as (h, host):
            await leave_bytes_unread(h, host)
            host.write(HEAD + b"result")
            host.end()
            host.connection.close()
            outcome, response = await ended(h)
            assert outcome is Outcome.OK and response and response.body == b"result"

    run(test())


@pytest.mark.parametrize(
    "response",
    [
        b"HTTP/1.1 200 OK\r\nServer",
        b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf",
        b"HTTP/1.1 100 Continue\r\n\r\n",
        CHUNKED_HEAD,
        CHUNKED_HEAD + b"6\r\nres",
        CHUNKED_HEAD + b"6\r\nresult\r\n",
        CHUNKED_HEAD + b"6\r\nresult\r\n0\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nresult",
    ],
)
def test_an_orderly_end_does_not_complete_a_head_a_chunk_or_a_stated_length(response: bytes) -> None:
    async def test() -> None:
        async with requested() as (h, host):
            host.write(response)
            host.end()
            outcome, _ = await ended(h)
            assert outcome is Outcome.RESET

    run(test())


@pytest.mark.parametrize(
    "response", [http_response(200, b"result"), CHUNKED_HEAD + b"6\r\nresult\r\n" + CHUNKED_END]
)
def test_a_whole_response_that_lies_unread_as_a_reset_follows_is_read(response: bytes) -> None:
    async def test() -> None:
        async with requested() as (h, host):
            host.write(response)
            host.reset()
            outcome, read = await ended(h)
            assert outcome is Outcome.OK and read and read.body == b"result"

    run(test())


def test_a_response_with_no_length_is_held_to_the_bound_on_bodies() -> None:
    async def test() -> None:
        async with requested() as (h, host):
            host.write(HEAD + b"x" * (64 * 1024 + 1))
            host.end()
            outcome, response = await ended(h)
            assert (outcome, response) == (Outcome.ERROR, None)

    run(test())


def test_the_status_and_headers_of_a_response_with_no_length_decide_its_outcome() -> None:
    async def test() -> None:
        async with requested() as (h, host):
            host.write(b"HTTP/1.1 503 x\r\nX-Not-Processed: 1\r\n\r\nbusy")
            host.end()
            outcome, response = await ended(h)
            assert outcome is Outcome.FULL and response and response.status == 503

    run(test())


@pytest.mark.parametrize(
    ("response", "outcome"),
    [
        (http_response(200, b"of another"), Outcome.ERROR),
        (http_response(503, b"", X_Not_Processed="1"), Outcome.FULL),
    ],
)
def test_a_response_before_the_whole_request_was_written_is_not_served(
    response: bytes, outcome: Outcome
) -> None:
    # Guards against a stray response taken for that to a request which its host does not have yet.

    async def test() -> None:
        host = RawHost()
        async with harness() as h:
            h.send(b"x" * (64 * 1024 * 1024), address=host.address)  # more than the sockets' buffers hold
            await host.accept_request()
            host.write(response)
            assert (await ended(h))[0] is outcome
            await until(lambda: not h.upstreams.connections)
        host.close()

    run(test())
