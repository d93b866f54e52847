"""Runs the connections to hosts on loopback sockets, with a fake host and a clock that a test can advance."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator
from dataclasses import dataclass, field

from net_helpers import FakeServer, with_timeout

from coralvale.interface import Outcome
from coralvale.net.clock import Clock
from coralvale.net.upstream import Attempt, Response, Upstreams

PAYLOAD = b"GET /api HTTP/1.1\r\nX-Request-ID: r1\r\n\r\n"


class TestClock(Clock):
    """A clock that a test can advance."""

    __test__ = False

    def __init__(self) -> None:
        super().__init__()
        self.offset = 0.0

    def now(self) -> float:
        return super().now() + self.offset


@dataclass
class Harness:
    upstreams: Upstreams
    clock: TestClock
    host: FakeServer
    ended: asyncio.Queue[tuple[Attempt, Outcome, Response | None]] = field(default_factory=asyncio.Queue)

    def send(
        self, payload: bytes | None = PAYLOAD, address: tuple[str, int] | None = None, host_id: str = "s-1"
    ) -> Attempt:
        attempt = Attempt(
            host_id, address or self.host.address, lambda: payload, lambda *end: self.ended.put_nowait(end)
        )
        self.upstreams.send(attempt)
        return attempt

    async def outcome(self) -> Outcome:
        return (await with_timeout(self.ended.get()))[1]


@contextlib.asynccontextmanager
async def harness(
    auto: bytes | None = None, max_connections: int = 10, connect_timeout: float = 5.0
) -> AsyncIterator[Harness]:
    host, clock = await FakeServer(auto).start(), TestClock()
    yield Harness(Upstreams(clock, connect_timeout, 15.0, max_connections), clock, host)
    host.stop()
