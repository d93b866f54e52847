"""Turns of connections that have more to do than others."""

from __future__ import annotations

import asyncio

import pytest
from net_helpers import ManualClock, host_entry, request, run, running_gateway, until

from coralvale import interface as api
from coralvale.net.arrival_times import ArrivalTimes
from coralvale.net.client_connection import (
    MAX_PIPELINED_REQUESTS,
    READ_AHEAD_BYTES,
    READ_SIZE_BYTES,
    ClientConnection,
)
from coralvale.net.turns import MAX_LOOP_HOLD_S, TurnQueue

UP_REQUEST = b"GET /up HTTP/1.1\r\n\r\n"
MAX_REAL_TIME_S = 0.4  # for which a test may be held up, less than the wait that it looks for


class Worker:
    """Takes a number of turns, each of the same time on the clock."""

    def __init__(self, name: str, turns: int, seconds: float, clock: ManualClock, log: list[str]) -> None:
        self.name, self.turns, self.seconds, self.clock, self.log = name, turns, seconds, clock, log

    def take_turn(self) -> bool:
        self.turns -= 1
        self.clock.now += self.seconds
        self.log.append(self.name)
        return self.turns > 0


def play(clock: ManualClock, monkeypatch: pytest.MonkeyPatch, turn_time: float) -> list[str]:
    """The order of the turns of three workers; "loop" stands for each time the event loop goes on."""
    monkeypatch.setattr("coralvale.net.turns.time", clock)
    log: list[str] = []

    async def test() -> None:
        queue = TurnQueue(asyncio.get_running_loop())
        for name, turns in (("a", 4), ("b", 1), ("c", 2)):
            queue.add(Worker(name, turns, turn_time, clock, log))
        while queue:
            await asyncio.sleep(0)
            log.append("loop")

    run(test())
    return log


def test_each_gets_one_turn_before_anyone_gets_the_next(monkeypatch: pytest.MonkeyPatch) -> None:
    log = play(ManualClock(), monkeypatch, turn_time=0.0)
    assert [name for name in log if name != "loop"] == ["a", "b", "c", "a", "c", "a", "a"]


# Guards against a single request that waits for a turn of each of hundreds of connections that flood.
def test_one_with_work_for_one_turn_waits_for_one_other_at_the_most(monkeypatch: pytest.MonkeyPatch) -> None:
    clock, log = ManualClock(), list[str]()
    monkeypatch.setattr("coralvale.net.turns.time", clock)

    async def test() -> None:
        queue = TurnQueue(asyncio.get_running_loop())
        for _ in range(100):
            queue.add(Worker("long", 2, 0.0, clock, log))
        for name in ("a", "b"):
            queue.add(Worker(name, 1, 0.0, clock, log), is_short=True)
        gone = Worker("gone", 1, 0.0, clock, log)
        queue.add(gone, is_short=True)
        queue.remove(gone)
        while queue:
            await asyncio.sleep(0)

    run(test())
    assert log.index("a") <= 1 and log.index("b") <= log.index("a") + 2
    assert log.count("long") == 200 and "gone" not in log


def test_the_event_loop_goes_on_between_turns_that_take_long(monkeypatch: pytest.MonkeyPatch) -> None:
    log = play(ManualClock(), monkeypatch, turn_time=MAX_LOOP_HOLD_S)
    assert log[1::2] == ["loop"] * 7


def receive(connection: ClientConnection, data: bytes) -> None:
    """Lets a connection read data, as if the system had all of it at hand."""
    for start in range(0, len(data), READ_SIZE_BYTES):
        piece = data[start : start + READ_SIZE_BYTES]
        connection.get_buffer(-1)[: len(piece)] = piece
        connection.buffer_updated(len(piece))


# Guards against one client's requests, many at once, ahead of those of all other clients.
def test_a_single_request_does_not_wait_for_all_that_another_client_has_sent() -> None:
    async def test() -> None:
        async with running_gateway() as w:
            w.script.on(api.Request, lambda e: [api.Refuse(e.id)])
            clients = [await w.client(), await w.client()]
            connections = w.node.server.connections
            await until(lambda: len(connections) == 2 and all(c.transport for c in connections))
            flooding, usual = connections
            receive(flooding, UP_REQUEST * (READ_AHEAD_BYTES // len(UP_REQUEST) - 1))
            receive(usual, request("r1"))
            while not w.script.received(api.Request):
                await asyncio.sleep(0)
            assert len(flooding.unparsed) >= READ_AHEAD_BYTES - 2 * READ_SIZE_BYTES
            assert all(not client.reader.at_eof() for client in clients)

    run(test())


# Guards against requests that stay unparsed as nothing is received after the ones before are answered.
def test_requests_behind_many_unanswered_ones_are_parsed_once_these_are_answered() -> None:
    async def test() -> None:
        async with running_gateway(host_entry("s-1", 1)) as w:
            client, count = await w.client(), 3 * MAX_PIPELINED_REQUESTS
            client.send(b"".join(request(f"r{i}") for i in range(count)))
            for number in range(count):
                await until(lambda: f"r{number}" in w.node.pending)  # noqa: B023
                pending = w.node.pending[f"r{number}"]
                w.node._refuse(api.Refuse(pending.request.id))
                assert (await client.receive()).status == 503
            assert len(w.script.received(api.Request)) == count

    run(test())


def test_the_time_of_each_part_is_that_of_its_arrival_to_a_hundredth_of_a_second() -> None:
    times = ArrivalTimes()
    times.add(1.0, 100)
    times.add(1.009, 50)
    times.add(2.0, 10)
    assert times.take(120) == 1.0
    assert times.take(30) == 1.0
    assert times.take(5) == 2.0
    times.add(3.0, 1)
    assert times.take(6) == 3.0
    times.add(4.0, 1)
    times.clear()
    times.add(5.0, 1)
    assert times.take(1) == 5.0


# Guards against hosts that are told of more time than the client has, as its request waited to be parsed.
def test_the_wait_for_a_turn_counts_against_the_timeout(monkeypatch: pytest.MonkeyPatch) -> None:
    clock = ManualClock()

    async def test() -> None:
        async with running_gateway() as w:
            client = await w.client()
            connections = w.node.server.connections
            await until(lambda: connections and all(c.transport for c in connections))
            (connection,) = connections
            before = w.node.clock.now()
            receive(connection, UP_REQUEST * (READ_SIZE_BYTES // len(UP_REQUEST)))
            receive(connection, request("r1", X_Timeout="2"))
            clock.now += 0.5  # before its turn
            await until(lambda: w.script.received(api.Request))
            (event,) = w.script.received(api.Request)
            assert event.expires_at - before <= 1.5 + MAX_REAL_TIME_S
            client.close()

    clock.install(monkeypatch)
    run(test())
