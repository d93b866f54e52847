"""The watch on discovery and the host list that it keeps."""

from __future__ import annotations

import asyncio
import contextlib
import json
import math
import random
from collections.abc import AsyncIterator
from dataclasses import dataclass, field
from typing import Any

import pytest
from net_helpers import (
    TEST_TIMEOUT_S,
    WATCH_RESPONSE_HEAD,
    FullListener,
    Registry,
    chunk,
    host_entry,
    http_response,
    list_message,
    run,
    run_in_fake_time,
    until,
    with_timeout,
)

from coralvale import interface as api
from coralvale.net.config import HostInstance
from coralvale.net.discovery import MAX_QUEUE_WAIT_S, MAX_REJECTED_MESSAGES, Discovery
from coralvale.net.node import MAX_PROPAGATION_DELAY_S

Change = tuple[api.ListKind, tuple[api.HostInfo, ...], list[HostInstance]]


@dataclass
class Bench:
    """A discovery that runs against a fake registry, and the changes that it has reported."""

    registry: Registry
    discovery: Discovery
    changes: asyncio.Queue[Change] = field(default_factory=asyncio.Queue)

    async def next_change(self) -> Change:
        return await with_timeout(self.changes.get())


@contextlib.asynccontextmanager
async def bench(
    max_silence: float = TEST_TIMEOUT_S, queued_callers: int = 0, **limits: float
) -> AsyncIterator[Bench]:
    registry = Registry()
    await registry.start()
    discovery = Discovery(
        registry.address,
        ("north", "south"),
        ("small", "large"),
        lambda *change: result.changes.put_nowait(change),
        max_silence,
        queued_callers,
        **limits,
    )
    result = Bench(registry, discovery)
    discovery.apply(
        {"index": 41, "snapshot": True, "endpoints": [host_entry("s-1", 1), host_entry("s-2", 2)]},
        cached=True,
    )
    task = asyncio.create_task(discovery.run())
    yield result
    task.cancel()
    registry.stop()


def test_the_configured_list_is_reported_as_cached_and_the_watch_starts_from_its_index() -> None:
    async def test() -> None:
        async with bench() as b:
            kind, hosts, _ = await b.next_change()
            assert kind is api.ListKind.CACHED
            assert hosts[0] == api.HostInfo("s-1", api.HostState.HEALTHY, 1.0, zone=1, cell=1, kind=1)
            watch = await b.registry.watch()
            assert watch.message.start_line == b"GET /discovery/hosts?stream=1&index=41 HTTP/1.1"

    run(test())


def test_changes_split_over_chunks_are_merged_and_a_snapshot_replaces_the_list() -> None:
    async def test() -> None:
        async with bench() as b:
            await b.next_change()
            watch = await b.registry.watch()
            message = list_message(
                42, host_entry("s-1", 1, status="leaving"), host_entry("s-3", 3, zone="north", since_ms=1500)
            )
            watch.reply(
                chunk(b"\n")
                + chunk(message[:50])
                + chunk(message[50:] + list_message(43, host_entry("s-2", 2, status="left")))
            )
            kind, hosts, retired = await b.next_change()
            assert kind is api.ListKind.CHANGES and retired == [("s-1", 0.0, ("127.0.0.1", 1))]
            assert hosts[0].state is api.HostState.DRAINING
            assert (hosts[1].zone, hosts[1].started_at) == (0, 1.5)
            _, (gone,), retired = await b.next_change()
            assert gone.state is api.HostState.GONE and ("s-2", 0.0, ("127.0.0.1", 2)) in retired
            assert set(b.discovery.endpoints) == {"s-1", "s-3"}
            watch.reply(chunk(list_message(50, host_entry("s-4", 4), snapshot=True)))
            kind, _, _ = await b.next_change()
            assert kind is api.ListKind.FULL and set(b.discovery.endpoints) == {"s-4"}
            watch.close()
            assert b"index=50 " in (await b.registry.watch()).message.start_line

    run(test())


def test_connections_to_a_host_that_has_restarted_or_moved_are_retired() -> None:
    async def test() -> None:
        async with bench() as b:
            await b.next_change()
            watch = await b.registry.watch()
            watch.reply(chunk(list_message(42, host_entry("s-1", 1, since_ms=9000), host_entry("s-2", 22))))
            assert (await b.next_change())[2] == [
                ("s-1", 0.0, ("127.0.0.1", 1)),
                ("s-2", 0.0, ("127.0.0.1", 2)),
            ]

    run(test())


def test_a_repeated_drain_keeps_the_host_draining() -> None:
    """Whether in changes or in a full list: only an entry with status active ends the drain."""

    async def test() -> None:
        async with bench() as b:
            leaving, instance = host_entry("s-1", 1, status="leaving"), ("s-1", 0.0, ("127.0.0.1", 1))
            await b.next_change()
            for snapshot in (False, False, True):
                b.discovery.apply({"index": 42, "endpoints": [leaving], "snapshot": snapshot})
                assert b.discovery.endpoints["s-1"].draining and instance in (await b.next_change())[2]
            b.discovery.apply({"index": 45, "endpoints": [host_entry("s-1", 1, since_ms=9000)]})
            assert not b.discovery.endpoints["s-1"].draining

    run(test())


def test_a_silent_watch_is_replaced() -> None:
    async def test() -> None:
        async with bench(max_silence=0.05) as b:
            await b.registry.watch()
            second = await b.registry.watch()
            assert b"index=41 " in second.message.start_line

    run(test())


def test_an_invalid_message_or_status_ends_the_watch_and_a_new_one_is_opened() -> None:
    async def test() -> None:
        async with bench() as b:
            await b.next_change()
            (await b.registry.watch()).reply(chunk(b"{nonsense\n"))
            (await b.registry.next_request()).reply(http_response(503, b""))
            watch = await b.registry.watch()
            watch.reply(chunk(list_message(44, {"name": "s-9"}, host_entry("s-5", 5))))
            assert [host.id for host in (await b.next_change())[1]] == ["s-5"]

    run(test())


def test_an_agent_that_is_back_is_called_within_the_drain_grace() -> None:
    """Even after the longest backoff: what the agent has learnt counts as known from its return."""

    async def test() -> None:
        async with bench(drain_grace=1.0) as b:
            for _ in range(6):  # accepted and left unanswered, until the backoff is at its maximum
                await b.registry.next_request()
            returned = asyncio.get_running_loop().time()  # just too late for the last call
            watch = await b.registry.watch()
            assert asyncio.get_running_loop().time() - returned < 1.0
            watch.reply(chunk(list_message(42, host_entry("s-1", 1, status="leaving"))))
            await b.next_change()
            assert (await b.next_change())[1][0].state is api.HostState.DRAINING

    run(test())


class Agent:
    """A discovery agent that fails in one way for a while, and then answers with one change."""

    def __init__(self, failure: str, response_time: float) -> None:
        self.failure, self.response_time, self.back_at = failure, response_time, math.inf
        self.server: asyncio.Server | None = None
        self.address = ("127.0.0.1", 0)
        self.full: FullListener | None = None
        self.open: list[asyncio.StreamWriter] = []
        self.calls = 0

    async def start(self) -> None:
        if self.failure == "hangs":
            self.full = FullListener()
            self.address = self.full.address
            return
        await self._listen()
        if self.failure == "refused":
            self._close()

    async def _listen(self) -> None:
        self.server = await asyncio.start_server(self._serve, *self.address)
        self.address = self.server.sockets[0].getsockname()

    async def come_back(self) -> None:
        self.back_at = asyncio.get_running_loop().time()
        if self.full:
            self.full.close()
        if self.server is None:
            await self._listen()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        loop = asyncio.get_running_loop()
        self.calls += 1
        self.open.append(writer)
        writer.transport.set_write_buffer_limits(high=0)
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            await reader.readuntil(b"\r\n\r\n")
            if loop.time() > self.back_at:
                await asyncio.sleep(self.response_time)
                writer.write(
                    WATCH_RESPONSE_HEAD + chunk(list_message(42, host_entry("s-1", 1, status="leaving")))
                )
            elif self.failure == "responds 503":
                writer.write(http_response(503, b""))
            elif self.failure == "sends half a message and closes":
                writer.write(WATCH_RESPONSE_HEAD + chunk(list_message(42, host_entry("s-9", 1))[:30]))
                writer.close()
            elif self.failure == "sends half a message":
                writer.write(WATCH_RESPONSE_HEAD + chunk(list_message(42, host_entry("s-9", 1))[:30]))
            elif self.failure == "falls silent" and self.calls == 1:
                writer.write(WATCH_RESPONSE_HEAD + chunk(b"\n"))
            elif self.failure == "resets" and self.calls == 1:
                writer.write(WATCH_RESPONSE_HEAD + chunk(b"\n"))
                await asyncio.sleep(1.0)
                writer.transport.abort()

    def _close(self) -> None:
        assert self.server
        self.server.close()
        self.server = None

    def stop(self) -> None:
        self._close()
        for writer in self.open:
            writer.transport.abort()


class LongestDelay(random.Random):
    """Draws the longest delay each time."""

    def random(self) -> float:
        return 0.999


FAILURES = [
    "refused", "hangs", "never responds", "responds 503", "sends half a message",
    "sends half a message and closes", "falls silent", "resets",
]  # fmt: skip


@pytest.mark.parametrize("callers", [0, 6, 1024])
@pytest.mark.parametrize("failure", FAILURES)
def test_a_change_arrives_within_the_propagation_delay_however_calls_have_failed(
    failure: str, callers: int
) -> None:
    """A queue answers each call as late as it may; discovery comes back at any moment between two calls."""
    response_time = MAX_QUEUE_WAIT_S if callers else 0.0

    async def test(phase: float) -> float:
        loop, agent = asyncio.get_running_loop(), Agent(failure, response_time)
        await agent.start()
        received = loop.create_future()

        def on_change(
            kind: api.ListKind, hosts: tuple[api.HostInfo, ...], retired: list[HostInstance]
        ) -> None:
            if any(host.state is api.HostState.DRAINING for host in hosts) and not received.done():
                received.set_result(loop.time())

        limits = {
            "queued_callers": callers,
            "drain_grace": 1.0,
            "max_propagation_delay": MAX_PROPAGATION_DELAY_S,
        }
        discovery = Discovery(agent.address, (), (), on_change, **limits)
        discovery.random = LongestDelay()
        discovery.apply({"index": 41, "endpoints": [host_entry("s-1", 1)]}, cached=True)
        task = asyncio.create_task(discovery.run())
        # If the watch falls silent or is reset, the change comes right after; else calls fail for a while.
        await asyncio.sleep(
            phase if failure not in ("falls silent", "resets") else discovery.call_spread + phase
        )
        await agent.come_back()
        took = await received - agent.back_at
        task.cancel()
        agent.stop()
        return took

    worst = 0.0
    for step in range(8):

        async def phased(step: int = step) -> None:
            nonlocal worst
            worst = max(worst, await test(9.0 + step * 0.37))

        run_in_fake_time(phased())
    assert response_time <= worst < MAX_PROPAGATION_DELAY_S


def test_a_watch_that_falls_silent_right_after_its_response_is_noticed_in_time(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The longer wait for the response to a queued call must not delay the detection."""

    async def test() -> None:
        async with bench(max_silence=0.2, queued_callers=1) as b:
            await b.next_change()
            (await b.registry.watch()).reply(chunk(list_message(42, host_entry("s-3", 3))))
            await b.next_change()
            await b.registry.watch()

    monkeypatch.setattr("coralvale.net.discovery.QUEUED_RESPONSE_TIMEOUT_S", 10 * TEST_TIMEOUT_S)
    run(test())


@pytest.mark.parametrize("address", ["x" * 300 + ":80", "h.internal:80", "127.0.0.1", "127.0.0.1:", 80])
def test_an_entry_with_an_invalid_address_is_left_out(address: Any) -> None:
    """If it were noticed only on sending to the host, that attempt would have no outcome."""

    async def test() -> None:
        async with bench() as b:
            await b.next_change()
            watch = await b.registry.watch()
            watch.reply(
                chunk(list_message(42, {**host_entry("s-3", 3), "address": address}, host_entry("s-4", 4)))
            )
            assert [host.id for host in (await b.next_change())[1]] == ["s-4"]

    run(test())


def test_a_refresh_asks_for_the_full_list() -> None:
    async def test() -> None:
        async with bench() as b:
            await b.registry.watch()
            b.discovery.refresh()
            assert (await b.registry.watch()).message.start_line == b"GET /discovery/hosts?stream=1 HTTP/1.1"

    run(test())


def test_a_move_asks_the_new_agent_for_the_full_list_and_keeps_the_old_list_until_then() -> None:
    async def test() -> None:
        async with bench() as b:
            await b.next_change()
            await b.registry.watch()
            other = Registry()
            await other.start()
            b.discovery.move(other.address)
            watch = await other.watch()
            assert watch.message.start_line == b"GET /discovery/hosts?stream=1 HTTP/1.1"
            assert set(b.discovery.endpoints) == {"s-1", "s-2"}
            await until(lambda: b.registry.closed == 1)
            watch.reply(chunk(list_message(3, host_entry("s-4", 4), snapshot=True)))
            kind, hosts, _ = await b.next_change()
            assert kind is api.ListKind.FULL and [host.id for host in hosts] == ["s-4"]
            other.stop()

    run(test())


def test_a_move_waits_neither_for_a_hanging_connect_nor_for_the_backoff() -> None:
    """Also if the next move comes before the previous one has had any effect."""

    async def test() -> None:
        async with bench() as b:
            await b.next_change()
            b.registry.stop()
            b.discovery.backoff = 10 * TEST_TIMEOUT_S
            other = Registry()
            await other.start()
            full = FullListener()
            b.discovery.move(full.address)
            await asyncio.sleep(0)
            b.discovery.move(other.address)
            await other.watch()
            full.close()
            other.stop()

    run(test())


@pytest.mark.parametrize(
    "bad",
    [
        b"no json\n",
        b"[]\n",
        b'{"index":9,"snapshot":true,"endpoints":7}\n',
        b"[" * 100_000 + b"\n",
    ],
)
def test_an_invalid_line_loses_no_other_and_the_full_list_is_asked_for(bad: bytes) -> None:
    async def test() -> None:
        async with bench() as b:
            await b.next_change()
            watch = await b.registry.watch()
            watch.reply(chunk(bad + list_message(42, host_entry("s-3", 3))))
            _, hosts, _ = await b.next_change()
            assert [host.id for host in hosts] == ["s-3"] and set(b.discovery.endpoints) == {
                "s-1",
                "s-2",
                "s-3",
            }
            again = await b.registry.watch()
            assert again.message.start_line == b"GET /discovery/hosts?stream=1 HTTP/1.1"

    run(test())


def test_only_some_invalid_lines_are_read_before_the_full_list_is_asked_for(
    caplog: pytest.LogCaptureFixture,
) -> None:
    # Guards against a gateway that reads and logs tens of thousands of invalid lines in one turn of its loop.

    async def test() -> None:
        async with bench() as b:
            await b.next_change()
            (await b.registry.watch()).reply(chunk(b"x\n" * 20_000))
            again = await b.registry.watch()
            assert again.message.start_line == b"GET /discovery/hosts?stream=1 HTTP/1.1"
            again.reply(chunk(list_message(42, host_entry("s-3", 3))))
            _, hosts, _ = await b.next_change()
            assert [host.id for host in hosts] == ["s-3"]

    run(test())
    assert 1 <= caplog.text.count("cannot use message") <= MAX_REJECTED_MESSAGES


@pytest.mark.parametrize("indent", [0, 2])
@pytest.mark.parametrize("piece", [7, 10_000])
def test_a_list_may_be_indented_and_arrive_in_pieces_of_any_size(indent: int, piece: int) -> None:
    """The watch stays open: a list taken for invalid would be asked for again and again."""

    async def test() -> None:
        async with bench() as b:
            await b.next_change()
            watch = await b.registry.watch()
            entries = [host_entry("s-3", 3, zone="}\u00e9{"), host_entry("s-4", 4)]
            message = {"index": 42, "snapshot": True, "endpoints": entries}
            text = (
                json.dumps(message, indent=indent, ensure_ascii=False)
                + "\n\n"
                + list_message(43, host_entry("s-5", 5)).decode()
            )
            data = text.encode()
            for at in range(0, len(data), piece):
                watch.reply(chunk(data[at : at + piece]))
            kind, hosts, _ = await b.next_change()
            assert kind is api.ListKind.FULL and [host.id for host in hosts] == ["s-3", "s-4"]
            kind, hosts, _ = await b.next_change()
            assert kind is api.ListKind.CHANGES and [host.id for host in hosts] == ["s-5"]
            assert b.discovery.index == 43 and b.registry.connections == 1

    run(test())


def test_a_truncated_message_has_the_full_list_asked_for_at_the_next_heartbeat() -> None:
    async def test() -> None:
        async with bench() as b:
            await b.next_change()
            watch = await b.registry.watch()
            watch.reply(chunk(list_message(42, host_entry("s-3", 3))[:60] + b"\n"))
            watch.reply(chunk(b"\n"))
            again = await b.registry.watch()
            assert again.message.start_line == b"GET /discovery/hosts?stream=1 HTTP/1.1"

    run(test())


def test_a_message_after_a_truncated_one_is_applied_at_once() -> None:
    async def test() -> None:
        async with bench() as b:
            await b.next_change()
            watch = await b.registry.watch()
            half = json.dumps({"index": 42, "endpoints": [host_entry("s-7", 7)]}, indent=2)[:60].encode()
            watch.reply(chunk(half + b"\n") + chunk(list_message(43, host_entry("s-8", 8))))
            assert [host.id for host in (await b.next_change())[1]] == ["s-8"]

    run(test())


def test_changes_with_a_lower_index_have_the_full_list_asked_for() -> None:
    """A registry restored to an earlier state: the changes since do not apply to the current list."""

    async def test() -> None:
        async with bench() as b:
            await b.next_change()
            watch = await b.registry.watch()
            watch.reply(chunk(list_message(7, host_entry("s-3", 3))))
            again = await b.registry.watch()
            assert again.message.start_line == b"GET /discovery/hosts?stream=1 HTTP/1.1"
            again.reply(chunk(list_message(8, host_entry("s-3", 3), snapshot=True)))
            await until(lambda: set(b.discovery.endpoints) == {"s-3"})
            assert b.discovery.index == 8 and b.registry.connections == 2

    run(test())


@pytest.mark.parametrize("piece", [30, None])
def test_after_a_watch_lost_within_a_message_the_next_starts_from_the_last_complete_one(
    piece: int | None,
) -> None:
    async def test() -> None:
        async with bench() as b:
            await b.next_change()
            watch = await b.registry.watch()
            watch.reply(
                chunk(list_message(42, host_entry("s-3", 3)))
                + chunk(list_message(43, host_entry("s-4", 4)))[:piece]
            )
            last = 42 if piece else 43
            await until(lambda: b.discovery.index == last)
            watch.reset()
            again = await b.registry.watch()
            assert again.message.start_line.endswith(b"&index=%d HTTP/1.1" % last)

    run(test())


def test_an_invalid_index_or_field_does_not_affect_other_entries() -> None:
    async def test() -> None:
        async with bench() as b:
            await b.next_change()
            watch = await b.registry.watch()
            message = {"index": "x", "snapshot": True}
            entries: list[Any] = [
                host_entry("s-1", 1, weight="heavy"),
                7,
                host_entry("s-4", 4),
                host_entry("s-5", 5, weight=1e999),
            ]
            watch.reply(chunk(json.dumps({**message, "endpoints": entries}).encode() + b"\n"))
            kind, hosts, _ = await b.next_change()
            assert kind is api.ListKind.FULL
            assert [host.id for host in hosts] == ["s-1", "s-4"]  # s-1 stays as it was
            assert set(b.discovery.endpoints) == {"s-1", "s-4"} and b.discovery.index is None

    run(test())


def test_a_queued_call_is_not_abandoned_before_its_turn() -> None:
    """Discovery would still serve the abandoned call, and the next call would wait behind it."""

    async def test() -> None:
        async with bench(max_silence=0.05, queued_callers=1) as b:
            arrived = await b.registry.next_request()
            with pytest.raises(TimeoutError):
                await asyncio.wait_for(b.registry.next_request(), 0.4)
            arrived.reply(WATCH_RESPONSE_HEAD + chunk(list_message(42, host_entry("s-3", 3))))
            await b.next_change()
            await b.next_change()
            assert set(b.discovery.endpoints) == {"s-1", "s-2", "s-3"}

    run(test())


def test_gateways_that_lost_discovery_together_spread_their_calls() -> None:
    def delays(callers: int) -> list[float]:
        drawn = []
        for seed in range(40):
            discovery = Discovery(("127.0.0.1", 1), (), (), lambda *_: None, queued_callers=callers)
            discovery.random.seed(seed)
            drawn.append(discovery._retry_delay(0.0))
        return sorted(drawn)

    starts = delays(40)
    most = max(sum(at <= other < at + 1 for other in starts) for at in starts)
    assert most <= 12  # a queue of 2 s at 1/6 s for each call
    assert delays(0)[-1] < 0.1  # the gateway's own agent has no queue


def test_changes_are_followed_from_the_index_of_the_configured_list() -> None:
    """`follow` must not discard the index: full lists are expensive for discovery."""

    async def test() -> None:
        async with bench() as b:
            b.discovery.follow()
            assert (await b.registry.watch()).message.start_line.endswith(b"&index=41 HTTP/1.1")

    run(test())
