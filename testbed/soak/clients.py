"""Clients that send at random times, reuse connections, leave early and resend as the protocol allows."""

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

ABANDON_SHARE = 0.12  # of the requests: their client leaves while it waits for the response
TIMEOUT_SHARES = (0.3, 1.0)  # range of a request's timeout, in longest timeouts of the run
SHORT_TIMEOUT_SHARE = 0.05  # of the requests: they have a very short timeout
MAX_IDLE_CONNECTIONS = 24  # to all gateways together
LATE_READ_TIME_S = 2.0  # after its timeout, for which a client still reads the response
# Drawn evenly, so "safe" is twice as frequent.
REQUEST_CLASSES: tuple[r.Repeat, ...] = ("safe", "safe", "keyed", "unsafe")
PLANS = ("team", "capped")
PUSHED_PLAN = "pushed"  # only its ceiling limits
OFFER_SHARE = 0.08  # of the requests: their client offers to go on with HTTP/2, as RFC 7540, 3.2, has it
OFFER = (
    "Connection: Upgrade, HTTP2-Settings",
    "Upgrade: h2c",
    "HTTP2-Settings: AAMAAABkAARAAAAAAAIAAAAA",
)
AUDITED_GATEWAY = 0
# On plan `team`. All their requests go to that gateway, so that their units on the counter can be checked.
AUDITED_CUSTOMERS = (5, 13, 34)
OTHER_CUSTOMERS = range(100, 130)


@dataclass(frozen=True, slots=True)
class Request:
    """A request of a client."""

    id: str
    idempotency: r.Repeat
    plan: str
    customer: int
    units: int  # quota units
    timeout: float  # s
    leaves_after: float | None = None  # s until the client closes its connection; None: it waits
    gateway: int | None = None  # the only one that gets it; None: any
    offers_upgrade: bool = False
    entry_gateways: int | None = None  # that receive the customer's requests; None: as many as usual

    @property
    def body(self) -> bytes:
        return b"" if self.idempotency == "safe" else self.id.encode()

    def encode(self, entry_gateways: int) -> bytes:
        """The request as HTTP; `entry_gateways` is how many gateways usually receive a customer's."""
        method = "GET" if self.idempotency == "safe" else "POST"
        lines = [
            f"{method} /api HTTP/1.1",
            "Host: service.internal",
            f"X-Request-ID: {self.id}",
            f"X-Priority-Class: {self.idempotency}",
            f"Plan: {self.plan}",
            f"Cookie: client={self.customer:016x}",
            f"X-Timeout: {self.timeout:.3f}",
            f"Quota-Info: units={self.units},spread={self.entry_gateways or entry_gateways},first=0",
        ]
        if self.offers_upgrade:
            lines += OFFER
        if self.idempotency == "keyed":
            lines.append(f"Idempotency-Key: {self.id}")
        if method == "POST":
            lines.append(f"Content-Length: {len(self.body)}")
        return "\r\n".join(lines).encode() + b"\r\n\r\n" + self.body


@dataclass(eq=False)
class Connection:
    """A connection to one process of a gateway."""

    gateway: GatewayProcess
    start: int  # number of the process
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    requests_sent: int = 0

    @property
    def is_open(self) -> bool:
        return not (self.reader.at_eof() or self.writer.is_closing() or self.reader.exception())


class Clients:
    """All clients of a run. They connect only to gateways that are ready or have just begun to stop."""

    def __init__(
        self,
        gateways: list[GatewayProcess],
        entry_gateways: int,
        timeout: float,
        rng: random.Random,
        add_entry: Callable[[r.AnyEntry], None],
    ) -> None:
        self.gateways, self.entry_gateways, self.timeout, self.rng, self.add_entry = (
            gateways,
            entry_gateways,
            timeout,
            rng,
            add_entry,
        )
        self.idle: list[Connection] = []
        self.tasks: set[asyncio.Task[None]] = set()
        self.last_id = 0

    def next_id(self) -> str:
        """An id that no request has had."""
        self.last_id += 1
        return f"q{self.last_id}"

    def draw_request(self) -> Request:
        """Draws the next request."""
        rng = self.rng
        is_audited, leaves = rng.random() < 0.25, rng.random() < ABANDON_SHARE
        timeout = rng.uniform(*TIMEOUT_SHARES) * self.timeout
        if rng.random() < SHORT_TIMEOUT_SHARE:
            timeout = rng.uniform(0.01, 0.1)
        return Request(
            id=self.next_id(),
            idempotency=rng.choice(REQUEST_CLASSES),
            plan=PLANS[0] if is_audited else rng.choice(PLANS),
            customer=rng.choice(AUDITED_CUSTOMERS if is_audited else OTHER_CUSTOMERS),
            units=rng.choice((1, 1, 2, 4)),
            timeout=timeout,
            leaves_after=rng.uniform(0.0, rng.choice((0.03, 0.8))) * timeout if leaves else None,
            gateway=AUDITED_GATEWAY if is_audited else None,
            offers_upgrade=rng.random() < OFFER_SHARE,
        )

    async def send_requests(self, seconds: float, per_second: float) -> None:
        """Sends requests at random times, without waiting for the responses to earlier ones."""
        end = time.monotonic() + seconds
        due = time.monotonic()
        while (due := due + self.rng.expovariate(per_second)) < end:
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            self.start_request(self.draw_request())

    def start_request(self, request: Request) -> asyncio.Task[None]:
        """Sends one request in its own task."""
        task = asyncio.get_running_loop().create_task(self.process(request))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def finish(self) -> None:
        """Waits until all requests have ended, then closes the idle connections."""
        while self.tasks:
            await asyncio.wait(self.tasks)
        for connection in self.idle:
            connection.writer.close()
        self.idle.clear()

    async def process(self, request: Request) -> None:
        """Sends a request; resends it once if a reused connection ended without a response."""
        connection = await self._get_connection(request, only_new=False)
        if connection and await self._send(request, connection, resent=False):
            connection = await self._get_connection(request, only_new=True)
            if connection:
                await self._send(request, connection, resent=True)

    async def _get_connection(self, request: Request, only_new: bool) -> Connection | None:
        """An open idle connection, also to a process that is stopping, or else a new one.

        None if no gateway accepts a new connection. `only_new` leaves out idle connections.
        """
        if not only_new:
            idle = [c for c in self.idle if request.gateway in (None, c.gateway.index)]
            while idle:
                connection = idle.pop(self.rng.randrange(len(idle)))
                self.idle.remove(connection)
                if connection.is_open:
                    return connection
                connection.writer.close()
        open_gateways = [
            g for g in self.gateways if self._accepts_connections(g) and request.gateway in (None, g.index)
        ]
        self.rng.shuffle(open_gateways)
        for gateway in open_gateways:
            with contextlib.suppress(OSError, TimeoutError):
                async with asyncio.timeout(1.0):
                    streams = await asyncio.open_connection("127.0.0.1", gateway.port)
                return Connection(gateway, gateway.start_number, *streams)
        return None

    @staticmethod
    def _accepts_connections(gateway: GatewayProcess) -> bool:
        return gateway.is_ready or time.monotonic() < gateway.new_connections_until

    async def _send(self, request: Request, connection: Connection, resent: bool) -> bool:
        """Sends a request and records what comes back; returns whether it must be resent."""
        gateway, reused = connection.gateway, connection.requests_sent > 0
        connection.requests_sent += 1
        sent = r.RequestSent(
            at=time.monotonic(), request=request.id, gateway=gateway.index, start=connection.start,
            repeat=request.idempotency, patience=request.timeout, customer=request.customer,
            units=float(request.units), kept=reused, resent=resent,
        )  # fmt: skip
        connection.writer.write(request.encode(self.entry_gateways))
        self.add_entry(sent)
        waiting = asyncio.ensure_future(read_message(connection.reader))
        limit = request.timeout + LATE_READ_TIME_S if request.leaves_after is None else request.leaves_after
        try:
            message = await asyncio.wait_for(waiting, limit)
        except TimeoutError:
            connection.writer.transport.abort()
            if request.leaves_after is not None:
                self.add_entry(r.ClientLeft(time.monotonic(), request.id))
            return False
        except (OSError, asyncio.IncompleteReadError) as error:
            is_partial = isinstance(error, asyncio.IncompleteReadError) and bool(error.partial)
            connection.writer.close()
            resend = reused and not resent and not is_partial
            if not resend:
                self.add_entry(r.ConnectionEnded(time.monotonic(), request.id, is_partial))
            return resend
        self._record_response(request, connection, message)
        return False

    def _record_response(self, request: Request, connection: Connection, message: Message) -> None:
        is_own = message.body == request.id.encode()
        self.add_entry(r.Answered(time.monotonic(), request.id, message.status, is_own))
        if connection.reader._buffer:  # type: ignore[attr-defined]
            self.add_entry(r.ExtraAnswer(time.monotonic(), request.id))
            connection.writer.close()
        elif (
            message.headers.get(b"connection", b"").lower() == b"close"
            or len(self.idle) >= MAX_IDLE_CONNECTIONS
        ):
            connection.writer.close()
        else:
            self.idle.append(connection)
