"""Bounds on the processor time and memory that one message of a client or a host takes."""

from __future__ import annotations

import math
import time

import pytest
from net_helpers import host_entry, request, run, running_gateway

from coralvale import interface as api

MAX_LOOP_HOLD_S = 0.02  # of processor time, for which one message may hold up the event loop
TRIES = 3  # of which the fastest counts, as other work may fall into one of them
LONG_VALUE_BYTES = 15_000  # just within the limit on a request's head
PATTERNS = (b"a", b"1", b"0", b".", b"=", b",", b";", b"; ", b" ", b"a=", b"units=1,", b"; client", b"client=;")


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
