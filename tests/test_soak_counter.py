"""The soak's stand-in counter: what it records of calls whose connection ends early."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator

import pytest
from net_helpers import run, until, with_timeout

from testbed.standins.counter import TRUSTED_REPLY_TIME_S, Call, CallOutcome, Counter

CALLER = 0
CALL = b"POST /tally/%d?n=1.000000&keep_ms=1000 HTTP/1.1\r\nHost: counter\r\nContent-Length: 0\r\n\r\n"


class Caller:
    """A connection to a counter whose calls have the given outcomes, and are added once these are used up."""

    def __init__(self, outcomes: list[CallOutcome]) -> None:
        self.outcomes = outcomes
        self.calls: list[Call] = []  # as the counter has handled them

    def draw_outcome(self) -> CallOutcome:
        return self.outcomes.pop(0) if self.outcomes else CallOutcome.ADDED

    def write(self, name: int) -> None:
        self.writer.write(CALL % name)

    async def handled(self, count: int) -> list[tuple[int, CallOutcome]]:
        """Name and outcome of the calls handled so far, once there are `count`."""
        await until(lambda: len(self.calls) == count)
        return [(call.name, call.outcome) for call in self.calls]


@contextlib.asynccontextmanager
async def connected(
    *outcomes: CallOutcome, is_audited: bool = True, late_by: float = 0.0
) -> AsyncIterator[Caller]:
    caller = Caller(list(outcomes))
    counter = Counter(
        caller.draw_outcome, lambda: 0.0, late_by, caller.calls.append,
        audited_callers=frozenset({CALLER} if is_audited else ()),
    )  # fmt: skip
    caller.reader, caller.writer = await asyncio.open_connection("127.0.0.1", await counter.listen(CALLER))
    yield caller
    caller.writer.close()
    counter.close()


@pytest.mark.parametrize("fault", [CallOutcome.LOST, CallOutcome.ADDED_AND_RESET])
def test_calls_written_after_a_connection_was_ended_are_recorded_as_lost(fault: CallOutcome) -> None:
    # Guards against a false COUNTER_MISMATCH: a call lost unread was neither added nor uncertain.

    async def test() -> None:
        async with connected(fault) as caller:
            caller.write(1)
            assert await with_timeout(caller.reader.read()) == b""
            caller.write(2)
            caller.write(3)
            lost = CallOutcome.LOST
            assert await caller.handled(3) == [(1, fault), (2, lost), (3, lost)]

    run(test())


def test_a_caller_that_is_not_audited_is_reset() -> None:
    async def test() -> None:
        async with connected(CallOutcome.LOST, is_audited=False) as caller:
            caller.write(1)
            with pytest.raises(ConnectionResetError):
                await with_timeout(caller.reader.read())

    run(test())


def test_calls_behind_a_malformed_reply_are_recorded_as_uncertain_and_not_answered() -> None:
    # Guards against a false COUNTER_MISMATCH: a gateway closes the connection at a reply that is no total.

    async def test() -> None:
        async with connected(CallOutcome.ADDED, CallOutcome.ADDED_MALFORMED, CallOutcome.REJECTED) as caller:
            for name in range(4):
                caller.write(name)
            await caller.handled(4)
            assert [call.is_reply_trusted for call in caller.calls] == [True, True, False, False]
            caller.writer.write_eof()
            received = await with_timeout(caller.reader.read())
            assert received.count(b"HTTP/1.1") == 2 and received.endswith(b"<html>")

    run(test())


def test_calls_behind_one_that_was_not_answered_for_long_are_recorded_as_uncertain() -> None:
    # Guards against a false COUNTER_MISMATCH: a gateway closes a connection that is stalled.

    async def test() -> None:
        async with connected(CallOutcome.ADDED_LATE, late_by=TRUSTED_REPLY_TIME_S + 0.05) as caller:
            caller.write(1)
            caller.write(2)
            await caller.handled(2)
            assert [call.is_reply_trusted for call in caller.calls] == [True, False]

    run(test())


def test_a_flush_makes_the_counter_begin_all_totals_anew() -> None:
    counter = Counter(lambda: CallOutcome.ADDED, lambda: 0.0, 0.0, lambda call: None)
    assert [counter.add(7, 2.0, 60.0), counter.add(7, 2.0, 60.0)] == [2.0, 4.0]
    counter.flush()
    assert counter.add(7, 2.0, 60.0) == 2.0
