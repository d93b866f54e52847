"""Runs the connections to hosts on loopback sockets, with a fake host and a clock that a test can advance."""

from __future__ import annotations

import asyncio
import contextlib
import fcntl
import socket
import struct
import termios
from collections.abc import AsyncIterator
from dataclasses import dataclass, field

from net_helpers import FakeServer, with_timeout

from coralvale.interface import Outcome
from coralvale.net.clock import Clock
from coralvale.net.response import Response
from coralvale.net.upstream import Attempt, Upstreams
from testbed.standins.peer import RESET_ON_CLOSE

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


class RawHost:
    """A host on a plain socket: its writes and ends have arrived before the loop turns again."""

    def __init__(self) -> None:
        self.listener = socket.socket()
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen()
        self.listener.setblocking(False)

    @property
    def address(self) -> tuple[str, int]:
        host, port = self.listener.getsockname()
        return host, port

    async def accept_request(self) -> None:
        """Accepts a connection and reads the request on it."""
        loop = asyncio.get_running_loop()
        self.connection, _ = await with_timeout(loop.sock_accept(self.listener))
        await self.read_request()

    async def read_request(self) -> None:
        """Reads a further request on the connection, which must be short."""
        loop = asyncio.get_running_loop()
        assert await with_timeout(loop.sock_recv(self.connection, 65536))

    def unacknowledged_bytes(self) -> int:
        """Bytes written that the gateway's system has not acknowledged, or that are not sent yet."""
        buffer = fcntl.ioctl(self.connection, termios.TIOCOUTQ, struct.pack("i", 0))
        return int(struct.unpack("i", buffer)[0])

    def write(self, data: bytes) -> None:
        self.connection.sendall(data)

    def end(self) -> None:
        self.connection.shutdown(socket.SHUT_WR)

    def reset(self) -> None:
        self.connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        self.connection.close()

    def close(self) -> None:
        self.connection.close()
        self.listener.close()
