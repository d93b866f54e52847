"""Clients that send in an open loop, keep their connections, leave early, and resend as the protocol says."""

from __future__ import annotations

import asyncio
import contextlib
import random
import time
from collections.abc import Callable
from dataclasses import dataclass

from testbed.soak import record as r
from testbed.soak.gateways import GatewayProcess
from testbed.standins.http import Message, read_message

LEAVES = 0.12  # share of the requests whose client leaves while it waits
HURRIED = 0.05  # share of the requests with very little time left
KEPT = 24  # connections that a client keeps to a gateway
AFTER_TIME = 2.0  # s after its time in which an answer is still read
REPEATS: tuple[r.Repeat, ...] = ("safe", "safe", "keyed", "unsafe")
PLANS = ("team", "capped")
BOOKS_CUSTOMERS = (5, 13, 34)  # of plan `team`; gateway 0 has all their requests, and counts them first
OTHER_CUSTOMERS = range(100, 130)


@dataclass(frozen=True, slots=True)
class Request:
    """A request as its client makes it."""

    id: str
    repeat: r.Repeat
    plan: str
    customer: int
    units: int
    patience: float
    leaves_after: float | None

    def text(self, spread: int) -> bytes:
        """The request in the protocol's form."""
        method = "GET" if self.repeat == "safe" else "POST"
        lines = [
            f"{method} /api HTTP/1.1",
            "Host: service.internal",
            f"X-Request-ID: {self.id}",
            f"X-Priority-Class: {self.repeat}",
            f"Plan: {self.plan}",
            f"Cookie: client={self.customer:016x}",
            f"X-Timeout: {self.patience:.3f}",
            f"Quota-Info: units={self.units},spread={spread},first=0",
        ]
        if self.repeat == "keyed":
            lines.append(f"Idempotency-Key: {self.id}")
        if method == "POST":
            lines.append("Content-Length: 4")
        return "\r\n".join(lines).encode() + b"\r\n\r\n" + (b"body" if method == "POST" else b"")


@dataclass(eq=False)
class Connection:
    """A connection to one start of a gateway."""

    gateway: GatewayProcess
    start: int
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    used: int = 0

    @property
    def is_open(self) -> bool:
        return not (self.reader.at_eof() or self.writer.is_closing() or self.reader.exception())


class Clients:
    """All clients of a run, behind a front that knows which gateways take new connections."""

    def __init__(
        self,
        gateways: list[GatewayProcess],
        spread: int,
        patience: float,
        rng: random.Random,
        note: Callable[[r.AnyEntry], None],
    ) -> None:
        self.gateways, self.spread, self.patience, self.rng, self.note = gateways, spread, patience, rng, note
        self.idle: list[Connection] = []
        self.tasks: set[asyncio.Task[None]] = set()
        self.serial = 0

    def draw(self) -> Request:
        """The next request."""
        self.serial += 1
        rng = self.rng
        books, leaves = rng.random() < 0.25, rng.random() < LEAVES
        patience = rng.uniform(0.3, 1.0) * self.patience
        if rng.random() < HURRIED:
            patience = rng.uniform(0.01, 0.1)
        return Request(
            id=f"q{self.serial}",
            repeat=rng.choice(REPEATS),
            plan=PLANS[0] if books else rng.choice(PLANS),
            customer=rng.choice(BOOKS_CUSTOMERS if books else OTHER_CUSTOMERS),
            units=rng.choice((1, 1, 2, 4)),
            patience=patience,
            leaves_after=rng.uniform(0.0, rng.choice((0.03, 0.8))) * patience if leaves else None,
        )

    async def send_for(self, seconds: float, per_second: float) -> None:
        """Sends requests at random times, whatever becomes of those before."""
        end = time.monotonic() + seconds
        due = time.monotonic()
        while (due := due + self.rng.expovariate(per_second)) < end:
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            self.start(self.draw())

    def start(self, request: Request) -> asyncio.Task[None]:
        """Sends one request, in a task of its own."""
        task = asyncio.get_running_loop().create_task(self.perform(request))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def finish(self) -> None:
        """Waits for all requests to end, then closes all connections."""
        while self.tasks:
            await asyncio.wait(self.tasks)
        for connection in self.idle:
            connection.writer.close()
        self.idle.clear()

    async def perform(self, request: Request) -> None:
        """One request to its end; sent once more where a kept connection ended unanswered."""
        connection = await self._connection(request, only_new=False)
        if connection and await self._ask(request, connection, resent=False):
            connection = await self._connection(request, only_new=True)
            if connection:
                await self._ask(request, connection, resent=True)

    async def _connection(self, request: Request, only_new: bool) -> Connection | None:
        """A connection that is kept, of any start that still holds it open, or a new one."""
        pinned = request.customer in BOOKS_CUSTOMERS
        if not only_new:
            kept = [c for c in self.idle if c.gateway.index == 0 or not pinned]
            while kept:
                connection = kept.pop(self.rng.randrange(len(kept)))
                self.idle.remove(connection)
                if connection.is_open:
                    return connection
                connection.writer.close()
        open_gateways = [g for g in self.gateways if self._takes_new(g) and (g.index == 0 or not pinned)]
        self.rng.shuffle(open_gateways)
        for gateway in open_gateways:
            with contextlib.suppress(OSError, TimeoutError):
                async with asyncio.timeout(1.0):
                    streams = await asyncio.open_connection("127.0.0.1", gateway.port)
                return Connection(gateway, gateway.number, *streams)
        return None

    @staticmethod
    def _takes_new(gateway: GatewayProcess) -> bool:
        return gateway.is_ready or time.monotonic() < gateway.new_connections_until

    async def _ask(self, request: Request, connection: Connection, resent: bool) -> bool:
        """Sends a request and notes what comes; tells whether it has to be sent once more."""
        gateway, kept = connection.gateway, connection.used > 0
        connection.used += 1
        sent = r.RequestSent(
            at=time.monotonic(), request=request.id, gateway=gateway.index, start=connection.start,
            repeat=request.repeat, patience=request.patience, customer=request.customer,
            units=float(request.units), kept=kept, resent=resent,
        )  # fmt: skip
        connection.writer.write(request.text(self.spread))
        self.note(sent)
        waiting = asyncio.ensure_future(read_message(connection.reader))
        limit = request.patience + AFTER_TIME if request.leaves_after is None else request.leaves_after
        try:
            message = await asyncio.wait_for(waiting, limit)
        except TimeoutError:
            connection.writer.transport.abort()
            if request.leaves_after is not None:
                self.note(r.ClientLeft(time.monotonic(), request.id))
            return False
        except (OSError, asyncio.IncompleteReadError) as error:
            is_partial = isinstance(error, asyncio.IncompleteReadError) and bool(error.partial)
            connection.writer.close()
            again = kept and not resent and not is_partial
            if not again:
                self.note(r.ConnectionEnded(time.monotonic(), request.id, is_partial))
            return again
        self._note_answer(request, connection, message)
        return False

    def _note_answer(self, request: Request, connection: Connection, message: Message) -> None:
        own = message.body == request.id.encode()
        self.note(r.Answered(time.monotonic(), request.id, message.status, own))
        if connection.reader._buffer:  # type: ignore[attr-defined]
            self.note(r.ExtraAnswer(time.monotonic(), request.id))
            connection.writer.close()
        elif message.headers.get(b"connection", b"").lower() == b"close" or len(self.idle) >= KEPT:
            connection.writer.close()
        else:
            self.idle.append(connection)
