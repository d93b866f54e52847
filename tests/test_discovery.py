"""The watch on the list of hosts."""

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
    LIMIT,
    WATCH_HEAD,
    FullListener,
    Registry,
    answer,
    chunk,
    entry,
    line,
    run,
    run_in_fake_time,
    until,
    with_timeout,
)

from coralvale import interface as api
from coralvale.net.config import HostInstance
from coralvale.net.discovery import TURNS, Discovery
from coralvale.net.node import TOLD

News = tuple[api.ListKind, tuple[api.HostInfo, ...], list[HostInstance]]


@dataclass
class Bench:
    registry: Registry
    discovery: Discovery
    news: asyncio.Queue[News] = field(default_factory=asyncio.Queue)

    async def told(self) -> News:
        return await with_timeout(self.news.get())


@contextlib.asynccontextmanager
async def bench(silent: float = LIMIT, callers: int = 0, **limits: float) -> AsyncIterator[Bench]:
    registry = Registry()
    await registry.start()
    discovery = Discovery(
        registry.address,
        ("north", "south"),
        ("small", "large"),
        lambda *news: result.news.put_nowait(news),
        silent,
        callers,
        **limits,
    )
    result = Bench(registry, discovery)
    discovery.apply(
        {"index": 41, "snapshot": True, "endpoints": [entry("s-1", 1), entry("s-2", 2)]}, cached=True
    )
    task = asyncio.create_task(discovery.run())
    yield result
    task.cancel()
    registry.stop()


def test_the_known_list_is_cached_and_the_watch_goes_on_from_it() -> None:
    async def test() -> None:
        async with bench() as b:
            kind, servers, _ = await b.told()
            assert kind is api.ListKind.CACHED
            assert servers[0] == api.HostInfo("s-1", api.HostState.HEALTHY, 1.0, zone=1, cell=1, kind=1)
            watch = await b.registry.watch()
            assert watch.message.first == b"GET /discovery/hosts?stream=1&index=41 HTTP/1.1"

    run(test())


def test_changes_merge_over_broken_chunks_and_a_snapshot_replaces() -> None:
    async def test() -> None:
        async with bench() as b:
            await b.told()
            watch = await b.registry.watch()
            news = line(42, entry("s-1", 1, status="leaving"), entry("s-3", 3, zone="north", since_ms=1500))
            watch.reply(
                chunk(b"\n") + chunk(news[:50]) + chunk(news[50:] + line(43, entry("s-2", 2, status="left")))
            )
            kind, servers, stale = await b.told()
            assert kind is api.ListKind.CHANGES and stale == [("s-1", 0.0, ("127.0.0.1", 1))]
            assert servers[0].state is api.HostState.DRAINING
            assert (servers[1].zone, servers[1].started_at) == (0, 1.5)
            _, (gone,), stale = await b.told()
            assert gone.state is api.HostState.GONE and ("s-2", 0.0, ("127.0.0.1", 2)) in stale
            assert set(b.discovery.endpoints) == {"s-1", "s-3"}
            watch.reply(chunk(line(50, entry("s-4", 4), snapshot=True)))
            kind, _, _ = await b.told()
            assert kind is api.ListKind.FULL and set(b.discovery.endpoints) == {"s-4"}
            watch.close()
            assert b"index=50 " in (await b.registry.watch()).message.first

    run(test())


def test_a_host_that_restarts_or_moves_leaves_its_connections() -> None:
    async def test() -> None:
        async with bench() as b:
            await b.told()
            watch = await b.registry.watch()
            watch.reply(chunk(line(42, entry("s-1", 1, since_ms=9000), entry("s-2", 22))))
            assert (await b.told())[2] == [
                ("s-1", 0.0, ("127.0.0.1", 1)),
                ("s-2", 0.0, ("127.0.0.1", 2)),
            ]

    run(test())


def test_a_host_is_told_as_draining_as_often_as_it_comes() -> None:
    """Told once or twice, in a change or in a whole list: it takes nothing new until it is told as active."""

    async def test() -> None:
        async with bench() as b:
            leaving, place = entry("s-1", 1, status="leaving"), ("s-1", 0.0, ("127.0.0.1", 1))
            await b.told()
            for snapshot in (False, False, True):
                b.discovery.apply({"index": 42, "endpoints": [leaving], "snapshot": snapshot})
                assert b.discovery.endpoints["s-1"].leaving and place in (await b.told())[2]
            b.discovery.apply({"index": 45, "endpoints": [entry("s-1", 1, since_ms=9000)]})
            assert not b.discovery.endpoints["s-1"].leaving

    run(test())


def test_a_silent_watch_is_made_anew() -> None:
    async def test() -> None:
        async with bench(silent=0.05) as b:
            await b.registry.watch()
            second = await b.registry.watch()
            assert b"index=41 " in second.message.first

    run(test())


def test_a_broken_message_or_status_ends_the_watch_but_not_the_following() -> None:
    async def test() -> None:
        async with bench() as b:
            await b.told()
            (await b.registry.watch()).reply(chunk(b"{nonsense\n"))
            (await b.registry.next()).reply(answer(503, b""))
            watch = await b.registry.watch()
            watch.reply(chunk(line(44, {"name": "s-9"}, entry("s-5", 5))))
            assert [s.id for s in (await b.told())[1]] == ["s-5"]

    run(test())


def test_an_agent_that_is_back_is_asked_within_the_grace_of_a_drain() -> None:
    """However long it was silent: what it has learnt counts from its return, before the next try comes."""

    async def test() -> None:
        async with bench(grace=1.0) as b:
            for _ in range(6):  # accepted and left unanswered, and the pauses have grown to their longest
                await b.registry.next()
            returned = asyncio.get_running_loop().time()  # just too late for that call
            watch = await b.registry.watch()
            assert asyncio.get_running_loop().time() - returned < 1.0
            watch.reply(chunk(line(42, entry("s-1", 1, status="leaving"))))
            await b.told()
            assert (await b.told())[1][0].state is api.HostState.DRAINING

    run(test())


class Agent:
    """Discovery as one finds it: for a while it fails in one way, then it has one change and tells it."""

    def __init__(self, fails: str, turn: float) -> None:
        self.fails, self.turn, self.back_at = fails, turn, math.inf
        self.server: asyncio.Server | None = None
        self.address = ("127.0.0.1", 0)
        self.full: FullListener | None = None
        self.open: list[asyncio.StreamWriter] = []
        self.calls = 0

    async def start(self) -> None:
        if self.fails == "hangs":
            self.full = FullListener()
            self.address = self.full.address
            return
        await self._listen()
        if self.fails == "refused":
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
                await asyncio.sleep(self.turn)
                writer.write(WATCH_HEAD + chunk(line(42, entry("s-1", 1, status="leaving"))))
            elif self.fails == "says 503":
                writer.write(answer(503, b""))
            elif self.fails == "tells half and closes":
                writer.write(WATCH_HEAD + chunk(line(42, entry("s-9", 1))[:30]))
                writer.close()
            elif self.fails == "tells half":
                writer.write(WATCH_HEAD + chunk(line(42, entry("s-9", 1))[:30]))
            elif self.fails == "falls silent" and self.calls == 1:
                writer.write(WATCH_HEAD + chunk(b"\n"))
            elif self.fails == "resets" and self.calls == 1:
                writer.write(WATCH_HEAD + chunk(b"\n"))
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


class Longest(random.Random):
    """Draws the longest pause each time."""

    def random(self) -> float:
        return 0.999


FAILURES = [
    "refused", "hangs", "never answers", "says 503", "tells half", "tells half and closes", "falls silent",
    "resets",
]  # fmt: skip


@pytest.mark.parametrize("callers", [0, 6, 1024])
@pytest.mark.parametrize("fails", FAILURES)
def test_whatever_calls_have_failed_a_change_is_heard_before_it_counts_as_told(
    fails: str, callers: int
) -> None:
    """In a line each answer takes as long as one may; discovery is back at any moment of the tries before."""
    turn = TURNS if callers else 0.0

    async def test(phase: float) -> float:
        loop, agent = asyncio.get_running_loop(), Agent(fails, turn)
        await agent.start()
        heard = loop.create_future()

        def on_change(
            kind: api.ListKind, servers: tuple[api.HostInfo, ...], stale: list[HostInstance]
        ) -> None:
            if any(s.state is api.HostState.DRAINING for s in servers) and not heard.done():
                heard.set_result(loop.time())

        limits = {"callers": callers, "grace": 1.0, "told_within": TOLD}
        discovery = Discovery(agent.address, (), (), on_change, **limits)
        discovery.random = Longest()
        discovery.apply({"index": 41, "endpoints": [entry("s-1", 1)]}, cached=True)
        following = asyncio.create_task(discovery.run())
        # A watch that falls silent, or is reset, has missed what comes right after; the others fail for long.
        await asyncio.sleep(phase if fails not in ("falls silent", "resets") else discovery.spread + phase)
        await agent.come_back()
        took = await heard - agent.back_at
        following.cancel()
        agent.stop()
        return took

    worst = 0.0
    for step in range(8):

        async def phased(step: int = step) -> None:
            nonlocal worst
            worst = max(worst, await test(9.0 + step * 0.37))

        run_in_fake_time(phased())
    assert turn <= worst < TOLD


def test_a_watch_that_falls_silent_soon_after_its_answer_is_noticed_as_soon(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """However long its call might have waited in a line."""

    async def test() -> None:
        async with bench(silent=0.2, callers=1) as b:
            await b.told()
            (await b.registry.watch()).reply(chunk(line(42, entry("s-3", 3))))
            await b.told()
            await b.registry.watch()

    monkeypatch.setattr("coralvale.net.discovery.PATIENCE", 10 * LIMIT)
    run(test())


@pytest.mark.parametrize("address", ["x" * 300 + ":80", "h.internal:80", "127.0.0.1", "127.0.0.1:", 80])
def test_an_entry_whose_address_cannot_be_used_is_left_out(address: Any) -> None:
    """Noticed only when a request has chosen the host, it would leave that attempt without an outcome."""

    async def test() -> None:
        async with bench() as b:
            await b.told()
            watch = await b.registry.watch()
            watch.reply(chunk(line(42, {**entry("s-3", 3), "address": address}, entry("s-4", 4))))
            assert [s.id for s in (await b.told())[1]] == ["s-4"]

    run(test())


def test_a_refresh_asks_for_the_whole_list() -> None:
    async def test() -> None:
        async with bench() as b:
            await b.registry.watch()
            b.discovery.refresh()
            assert (await b.registry.watch()).message.first == b"GET /discovery/hosts?stream=1 HTTP/1.1"

    run(test())


def test_a_move_begins_anew_at_the_new_address_and_keeps_the_list_till_then() -> None:
    async def test() -> None:
        async with bench() as b:
            await b.told()
            await b.registry.watch()
            other = Registry()
            await other.start()
            b.discovery.move(other.address)
            watch = await other.watch()
            assert watch.message.first == b"GET /discovery/hosts?stream=1 HTTP/1.1"
            assert set(b.discovery.endpoints) == {"s-1", "s-2"}
            await until(lambda: b.registry.closed == 1)
            watch.reply(chunk(line(3, entry("s-4", 4), snapshot=True)))
            kind, servers, _ = await b.told()
            assert kind is api.ListKind.FULL and [s.id for s in servers] == ["s-4"]
            other.stop()

    run(test())


def test_a_move_does_not_wait_for_a_connect_that_hangs_nor_for_a_long_pause() -> None:
    """As often as it moves: also before anything has come of the move before."""

    async def test() -> None:
        async with bench() as b:
            await b.told()
            b.registry.stop()
            b.discovery.backoff = 10 * LIMIT
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
def test_a_line_that_cannot_be_used_loses_no_other_and_the_whole_list_is_asked_for(bad: bytes) -> None:
    async def test() -> None:
        async with bench() as b:
            await b.told()
            watch = await b.registry.watch()
            watch.reply(chunk(bad + line(42, entry("s-3", 3))))
            _, servers, _ = await b.told()
            assert [s.id for s in servers] == ["s-3"] and set(b.discovery.endpoints) == {"s-1", "s-2", "s-3"}
            again = await b.registry.watch()
            assert again.message.first == b"GET /discovery/hosts?stream=1 HTTP/1.1"

    run(test())


@pytest.mark.parametrize("indent", [0, 2])
@pytest.mark.parametrize("piece", [7, 10_000])
def test_a_list_may_come_indented_in_pieces_of_any_size(indent: int, piece: int) -> None:
    """The watch goes on: a list taken for a spoilt one would be asked for anew, again and again."""

    async def test() -> None:
        async with bench() as b:
            await b.told()
            watch = await b.registry.watch()
            hosts = [entry("s-3", 3, zone="}\u00e9{"), entry("s-4", 4)]
            news = {"index": 42, "snapshot": True, "endpoints": hosts}
            text = (
                json.dumps(news, indent=indent, ensure_ascii=False)
                + "\n\n"
                + line(43, entry("s-5", 5)).decode()
            )
            data = text.encode()
            for at in range(0, len(data), piece):
                watch.reply(chunk(data[at : at + piece]))
            kind, servers, _ = await b.told()
            assert kind is api.ListKind.FULL and [s.id for s in servers] == ["s-3", "s-4"]
            kind, servers, _ = await b.told()
            assert kind is api.ListKind.CHANGES and [s.id for s in servers] == ["s-5"]
            assert b.discovery.index == 43 and b.registry.connections == 1

    run(test())


def test_a_message_that_breaks_off_is_asked_for_anew_at_the_next_sign_of_life() -> None:
    async def test() -> None:
        async with bench() as b:
            await b.told()
            watch = await b.registry.watch()
            watch.reply(chunk(line(42, entry("s-3", 3))[:60] + b"\n"))
            watch.reply(chunk(b"\n"))
            again = await b.registry.watch()
            assert again.message.first == b"GET /discovery/hosts?stream=1 HTTP/1.1"

    run(test())


def test_a_message_behind_one_that_broke_off_waits_for_nothing() -> None:
    async def test() -> None:
        async with bench() as b:
            await b.told()
            watch = await b.registry.watch()
            half = json.dumps({"index": 42, "endpoints": [entry("s-7", 7)]}, indent=2)[:60].encode()
            watch.reply(chunk(half + b"\n") + chunk(line(43, entry("s-8", 8))))
            assert [s.id for s in (await b.told())[1]] == ["s-8"]

    run(test())


def test_changes_with_an_index_that_went_backwards_have_the_whole_list_asked_for() -> None:
    """A registry that was set back: what it told of the list since then is not what is held here."""

    async def test() -> None:
        async with bench() as b:
            await b.told()
            watch = await b.registry.watch()
            watch.reply(chunk(line(7, entry("s-3", 3))))
            again = await b.registry.watch()
            assert again.message.first == b"GET /discovery/hosts?stream=1 HTTP/1.1"
            again.reply(chunk(line(8, entry("s-3", 3), snapshot=True)))
            await until(lambda: set(b.discovery.endpoints) == {"s-3"})
            assert b.discovery.index == 8 and b.registry.connections == 2

    run(test())


@pytest.mark.parametrize("piece", [30, None])
def test_a_watch_that_ends_in_the_middle_of_a_message_goes_on_from_the_last_whole_one(
    piece: int | None,
) -> None:
    async def test() -> None:
        async with bench() as b:
            await b.told()
            watch = await b.registry.watch()
            watch.reply(chunk(line(42, entry("s-3", 3))) + chunk(line(43, entry("s-4", 4)))[:piece])
            last = 42 if piece else 43
            await until(lambda: b.discovery.index == last)
            watch.reset()
            again = await b.registry.watch()
            assert again.message.first.endswith(b"&index=%d HTTP/1.1" % last)

    run(test())


def test_a_bad_index_or_field_costs_only_itself() -> None:
    async def test() -> None:
        async with bench() as b:
            await b.told()
            watch = await b.registry.watch()
            news = {"index": "x", "snapshot": True}
            hosts: list[Any] = [
                entry("s-1", 1, weight="heavy"),
                7,
                entry("s-4", 4),
                entry("s-5", 5, weight=1e999),
            ]
            watch.reply(chunk(json.dumps({**news, "endpoints": hosts}).encode() + b"\n"))
            kind, servers, _ = await b.told()
            assert kind is api.ListKind.FULL
            assert [s.id for s in servers] == ["s-1", "s-4"]  # what was known of s-1 still holds
            assert set(b.discovery.endpoints) == {"s-1", "s-4"} and b.discovery.index is None

    run(test())


def test_a_call_in_a_line_is_not_left_before_its_turn() -> None:
    """One that is left is served all the same, and the next call waits behind it."""

    async def test() -> None:
        async with bench(silent=0.05, callers=1) as b:
            arrived = await b.registry.next()
            with pytest.raises(TimeoutError):
                await asyncio.wait_for(b.registry.next(), 0.4)
            arrived.reply(WATCH_HEAD + chunk(line(42, entry("s-3", 3))))
            await b.told()
            await b.told()
            assert set(b.discovery.endpoints) == {"s-1", "s-2", "s-3"}

    run(test())


def test_a_fleet_that_lost_discovery_together_comes_back_one_by_one() -> None:
    def pauses(callers: int) -> list[float]:
        drawn = []
        for seed in range(40):
            discovery = Discovery(("127.0.0.1", 1), (), (), lambda *_: None, callers=callers)
            discovery.random.seed(seed)
            drawn.append(discovery._pause(0.0))
        return sorted(drawn)

    spread = pauses(40)
    most = max(sum(at <= other < at + 1 for other in spread) for at in spread)
    assert most <= 12  # a line of two seconds at a sixth of a second each: none waits too long
    assert pauses(0)[-1] < 0.1  # an agent of one's own has no line


def test_what_changes_is_followed_from_the_known_list_on() -> None:
    """Asking to follow must not throw the known version away: a whole list costs discovery by the line."""

    async def test() -> None:
        async with bench() as b:
            b.discovery.follow()
            assert (await b.registry.watch()).message.first.endswith(b"&index=41 HTTP/1.1")

    run(test())
