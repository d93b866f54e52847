"""Calls to the shared counter over real sockets."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import AsyncIterator

import pytest
from net_helpers import FakeServer, ReceivedRequest, http_response, run, until, with_timeout

from coralvale.interface import CounterReply
from coralvale.net.counter import MAX_OVERHEAD_BYTES, CounterClient


@contextlib.asynccontextmanager
async def counter(
    time_out: float = 20.0,
) -> AsyncIterator[tuple[CounterClient, FakeServer, asyncio.Queue[CounterReply]]]:
    peer, replies = await FakeServer().start(), asyncio.Queue[CounterReply]()
    yield CounterClient(peer.address, time_out, 5.0, replies.put_nowait), peer, replies
    peer.stop()


def total(value: str) -> bytes:
    return http_response(body=value.encode())


def test_a_call_sends_amount_and_lifetime_and_receives_the_total() -> None:
    async def test() -> None:
        async with counter() as (calls, peer, replies):
            calls.add(8, -2.5, 4.0)
            arrived = await peer.next_request()
            assert arrived.message.start_line == b"POST /tally/8?n=-2.500000&keep_ms=4000 HTTP/1.1"
            arrived.reply(total("38.5"))
            assert await with_timeout(replies.get()) == CounterReply(8, True, 38.5)

    run(test())


def test_calls_are_pipelined_on_one_connection_and_answered_in_order() -> None:
    async def test() -> None:
        async with counter() as (calls, peer, replies):
            for amount in (1.0, 2.0, 3.0):
                calls.add(8, amount, 4.0)
            arrived: list[ReceivedRequest] = [await peer.next_request() for _ in range(3)]
            assert {a.connection for a in arrived} == {1}
            for i, a in enumerate(arrived):
                a.reply(total(str(i)))
            assert [(await with_timeout(replies.get())).total for _ in range(3)] == [0.0, 1.0, 2.0]

    run(test())


def test_a_call_after_the_end_of_a_connection_was_read_goes_over_a_new_one() -> None:
    # Guards against a call ignored by a closing transport, whose amount counted as perhaps added.

    async def test() -> None:
        async with counter() as (calls, peer, replies):
            calls.add(8, 1.0, 4.0)
            (await peer.next_request()).reply(total("1"))
            assert (await with_timeout(replies.get())).ok
            connection = calls.connections[8 % len(calls.connections)]
            assert connection and connection.transport
            connection.transport.close()  # `connection_lost` follows in the next turn of the loop
            calls.add(8, 2.0, 4.0)
            arrived = await peer.next_request()
            assert arrived.connection == 2
            arrived.reply(total("3"))
            assert await with_timeout(replies.get()) == CounterReply(8, True, 3.0)

    run(test())


def test_many_answers_that_arrive_together_are_each_within_the_limit_on_one() -> None:
    # Guards against the sizes of several answers added up and their connection closed, as a stall ends.

    async def test() -> None:
        async with counter() as (calls, peer, replies):
            for _ in range(200):
                calls.add(8, 1.0, 4.0)
            arrived = [await peer.next_request() for _ in range(200)]
            answers = b"".join(total(str(number)) for number in range(200))
            assert len(answers) > MAX_OVERHEAD_BYTES
            arrived[0].reply(answers)
            received = [await with_timeout(replies.get()) for _ in range(200)]
            assert received == [CounterReply(8, True, float(number)) for number in range(200)]

    run(test())


@pytest.mark.parametrize(
    ("reply", "maybe_added"),
    [
        (http_response(503), False),
        (http_response(400), False),
        (http_response(404), False),
        (http_response(500), True),
        (total("x"), True),
    ],
)
def test_a_call_counts_as_maybe_added_unless_the_counter_rejects_it(reply: bytes, maybe_added: bool) -> None:
    async def test() -> None:
        async with counter() as (calls, peer, replies):
            calls.add(8, 1.0, 4.0)
            (await peer.next_request()).reply(reply)
            assert await with_timeout(replies.get()) == CounterReply(8, False, 0.0, maybe_added=maybe_added)

    run(test())


def test_interim_responses_without_end_fail_their_call() -> None:
    # Guards against a connection kept busy for good, as each interim response began the count of bytes anew.
    interim = b"HTTP/1.1 100 Continue\r\n\r\n"

    async def test() -> None:
        async with counter(time_out=1000.0) as (calls, peer, replies):
            calls.add(8, 1.0, 4.0)
            (await peer.next_request()).reply(interim + total("1"))
            assert (await with_timeout(replies.get())).ok
            calls.add(8, 1.0, 4.0)
            arrived = await peer.next_request()
            for _ in range(MAX_OVERHEAD_BYTES // len(interim) + 1):
                arrived.reply(interim)
            assert await with_timeout(replies.get()) == CounterReply(8, False, 0.0, maybe_added=True)

    run(test())


def test_a_call_may_be_added_if_the_connection_breaks_but_not_if_it_is_refused() -> None:
    async def test() -> None:
        async with counter() as (calls, peer, replies):
            calls.add(8, 1.0, 4.0)
            (await peer.next_request()).reset()
            assert await with_timeout(replies.get()) == CounterReply(8, False, 0.0, maybe_added=True)
            with socket.socket() as closed:
                closed.bind(("127.0.0.1", 0))
                calls.address = closed.getsockname()
                calls.add(8, 1.0, 4.0)
                assert await with_timeout(replies.get()) == CounterReply(8, False, 0.0, maybe_added=False)
            calls.address = peer.address
            calls.add(8, 1.0, 4.0)
            (await peer.next_request()).reply(total("1"))
            assert (await with_timeout(replies.get())).ok

    run(test())


def test_a_late_answer_is_not_matched_to_the_next_call() -> None:
    async def test() -> None:
        async with counter(time_out=0.05) as (calls, peer, replies):
            calls.add(8, 1.0, 4.0)
            late = await peer.next_request()
            assert await with_timeout(replies.get()) == CounterReply(8, False, 0.0, maybe_added=True)
            calls.timeout = 20.0
            calls.add(8, 1.0, 4.0)
            own = await peer.next_request()
            assert own.connection == late.connection
            late.reply(total("100"))
            own.reply(total("200"))
            assert await with_timeout(replies.get()) == CounterReply(8, True, 200.0)
            assert replies.empty()

    run(test())


def test_a_connection_without_answers_is_closed_and_replaced(monkeypatch: pytest.MonkeyPatch) -> None:
    async def test() -> None:
        async with counter(time_out=0.05) as (calls, peer, replies):
            calls.add(8, 1.0, 4.0)
            assert (await with_timeout(replies.get())).maybe_added
            await until(lambda: peer.closed == 1)
            calls.timeout = 20.0
            calls.add(8, 1.0, 4.0)
            await peer.next_request()
            (await peer.next_request()).reply(total("1"))
            assert (await with_timeout(replies.get())).ok and peer.connections == 2

    monkeypatch.setattr("coralvale.net.counter.STALL_TIMEOUT_S", 0.01)
    run(test())


def test_an_idle_connection_is_closed(monkeypatch: pytest.MonkeyPatch) -> None:
    async def test() -> None:
        async with counter() as (calls, peer, replies):
            calls.add(8, 1.0, 4.0)
            (await peer.next_request()).reply(total("1"))
            assert (await with_timeout(replies.get())).ok
            await until(lambda: peer.closed == 1)

    monkeypatch.setattr("coralvale.net.counter.IDLE_TIMEOUT_S", 0.01)
    run(test())


def test_a_retired_counter_gives_each_call_one_reply_and_closes() -> None:
    async def test() -> None:
        async with counter() as (calls, peer, replies):
            calls.add(8, 1.0, 4.0)
            arrived = await peer.next_request()
            calls.drain()
            arrived.reply(total("3"))
            assert await with_timeout(replies.get()) == CounterReply(8, True, 3.0)
            await until(lambda: peer.closed == 1)
            assert replies.empty()

    run(test())


def test_a_call_unanswered_by_a_retired_counter_may_have_been_added() -> None:
    async def test() -> None:
        async with counter() as (calls, peer, replies):
            calls.add(8, 1.0, 4.0)
            await peer.next_request()
            calls.drain()
            peer.stop()
            assert await with_timeout(replies.get()) == CounterReply(8, False, 0.0, maybe_added=True)
            assert replies.empty()

    run(test())


@pytest.mark.parametrize(
    "body", [b"", b"nan", b"inf", b"1_0", b"+3", b"0x1", b"9" * 100, b"<html>", b"x" * 9000]
)
def test_an_answer_that_is_not_a_number_closes_the_connection(body: bytes) -> None:
    """The amount may have been added, and nothing that follows on the connection can be trusted."""

    async def test() -> None:
        async with counter() as (calls, peer, replies):
            calls.add(8, 1.0, 4.0)
            (await peer.next_request()).reply(http_response(body=body))
            assert await with_timeout(replies.get()) == CounterReply(8, False, 0.0, maybe_added=True)
            await until(lambda: peer.closed == 1)
            calls.add(8, 1.0, 4.0)
            (await peer.next_request()).reply(total("2"))
            assert await with_timeout(replies.get()) == CounterReply(8, True, 2.0)

    run(test())


def test_nothing_after_an_invalid_answer_counts_as_a_total() -> None:
    """Also if both arrive together: later calls may have been added, but their answers are unknown."""

    async def test() -> None:
        async with counter() as (calls, peer, replies):
            calls.add(8, 1.0, 4.0)
            calls.add(8, 2.0, 4.0)
            await peer.next_request()
            (await peer.next_request()).reply(http_response(body=b"<html>") + total("77"))
            for _ in range(2):
                assert await with_timeout(replies.get()) == CounterReply(8, False, 0.0, maybe_added=True)
            await until(lambda: peer.closed == 1)

    run(test())


def test_an_answer_without_a_call_closes_the_connection_and_is_dropped() -> None:
    async def test() -> None:
        async with counter() as (calls, peer, replies):
            calls.add(8, 1.0, 4.0)
            (await peer.next_request()).reply(total("5") + total("77"))
            assert await with_timeout(replies.get()) == CounterReply(8, True, 5.0)
            await until(lambda: peer.closed == 1)
            calls.add(8, 1.0, 4.0)
            (await peer.next_request()).reply(total("6"))
            assert await with_timeout(replies.get()) == CounterReply(8, True, 6.0)

    run(test())


def test_an_endless_response_head_closes_the_connection() -> None:
    async def test() -> None:
        async with counter() as (calls, peer, replies):
            calls.add(8, 1.0, 4.0)
            (await peer.next_request()).reply(b"HTTP/1.1 200 OK\r\nX: " + b"x" * 100_000)
            assert await with_timeout(replies.get()) == CounterReply(8, False, 0.0, maybe_added=True)
            await until(lambda: peer.closed == 1)

    run(test())


def test_a_counter_that_switches_protocols_ends_the_connection_without_an_internal_error() -> None:
    # Guards against a response that the parser reports by an exception of its own (101 with an upgrade).

    async def test() -> None:
        errors = list[dict[str, object]]()
        asyncio.get_running_loop().set_exception_handler(lambda _, context: errors.append(context))
        async with counter() as (calls, peer, replies):
            calls.add(8, 1.0, 4.0)
            head = b"HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: h2c\r\n\r\n"
            (await peer.next_request()).reply(head)
            assert await with_timeout(replies.get()) == CounterReply(8, False, 0.0, maybe_added=True)
        assert not errors

    run(test())
