"""A fake counter on loopback: exact totals, and calls that fail as the test decides."""

from __future__ import annotations

import asyncio
import re
import time
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Any

from testbed.standins.http import http_response
from testbed.standins.peer import reset

CALL_PATTERN = re.compile(rb"POST /tally/(\d+)\?n=(-?[\d.]+)&keep_ms=(\d+) HTTP/1\.1")
MAX_LIFETIME_S = 60.0  # of an entry
TRUSTED_REPLY_TIME_S = 0.4  # a caller may close a connection on which a call is not answered for longer


class CallOutcome(Enum):
    """How the counter handles a call."""

    ADDED = "added and answered"
    ADDED_LATE = "added, answered too late"
    LOST = "not added, connection reset"
    REJECTED = "not added, answered with a 503"
    ADDED_MALFORMED = "added, answered with something that is no total"
    ADDED_AND_RESET = "added, connection reset"

    @property
    def was_added(self) -> bool:
        return self in (
            CallOutcome.ADDED,
            CallOutcome.ADDED_LATE,
            CallOutcome.ADDED_MALFORMED,
            CallOutcome.ADDED_AND_RESET,
        )

    @property
    def is_certain(self) -> bool:
        """Whether the caller learns if the amount was added."""
        return self in (CallOutcome.ADDED, CallOutcome.REJECTED)


@dataclass(frozen=True, slots=True)
class Call:
    """A call that the counter has handled."""

    caller: int
    name: int  # of the entry
    amount: float  # quota units
    outcome: CallOutcome
    at: float  # when it was handled (s, monotonic)
    reply_delay: float  # s since it was read
    is_reply_trusted: bool  # the caller has no reason yet to close the connection ahead of the reply


@dataclass(frozen=True, slots=True)
class QueuedCall:
    """A call that has been read and waits for its turn, and when it was read (s, monotonic)."""

    start_line: bytes
    arrived_at: float


class Counter:
    """A counter whose entries all callers share; each caller has its own port, which identifies its calls."""

    def __init__(
        self,
        draw_outcome: Callable[[], CallOutcome],
        delay: Callable[[], float],
        late_by: float,
        on_call: Callable[[Call], None],
        audited_callers: frozenset[int] = frozenset(),
    ) -> None:
        """`delay` returns the seconds until a call is answered; `late_by` is added for a late answer.

        A reset destroys calls that lie unread, and those written before the caller notices it. To the
        `audited_callers` a connection is therefore half-closed instead, and read until they close it: each
        call that they have written is handed to `on_call`.
        """
        self.draw_outcome, self.delay, self.late_by, self.on_call = draw_outcome, delay, late_by, on_call
        self.audited_callers = audited_callers
        self.totals: dict[int, float] = {}
        self.expires_at: dict[int, float] = {}
        self.servers: list[asyncio.Server] = []
        self.connections: set[CallerConnection] = set()

    async def listen(self, caller: int) -> int:
        """Opens a port for a caller; returns its number."""
        loop = asyncio.get_running_loop()
        server = await loop.create_server(lambda: CallerConnection(self, caller), "127.0.0.1", 0)
        self.servers.append(server)
        return int(server.sockets[0].getsockname()[1])

    def close(self) -> None:
        for server in self.servers:
            server.close()
        for connection in list(self.connections):
            connection.abort()

    def flush(self) -> None:
        """Forgets all entries."""
        self.totals.clear()
        self.expires_at.clear()

    def add(self, name: int, amount: float, lifetime: float) -> float:
        """Adds to an entry, which expires `lifetime` seconds after its first call; returns its total."""
        now = time.monotonic()
        if now >= self.expires_at.get(name, 0.0):
            self.totals[name], self.expires_at[name] = 0.0, now + min(lifetime, MAX_LIFETIME_S)
        self.totals[name] += amount
        return self.totals[name]


class CallerConnection(asyncio.Protocol):
    """A connection of a caller: pipelined calls are answered in order, none after the connection's end."""

    def __init__(self, counter: Counter, caller: int) -> None:
        self.counter, self.caller = counter, caller
        self.received = b""  # of a call that is not complete
        self.queue: asyncio.Queue[QueuedCall | None] = asyncio.Queue()  # None: the connection has ended
        self.ended = False  # by a fault: all further calls are lost
        # Until a reply that makes the caller close the connection, so that it gets none of the later ones.
        self.trusted = True

    def connection_made(self, transport: Any) -> None:  # noqa: ANN401
        self.transport = transport
        self.counter.connections.add(self)
        self.responding = asyncio.get_running_loop().create_task(self._respond_all())

    def data_received(self, data: bytes) -> None:
        *heads, self.received = (self.received + data).split(b"\r\n\r\n")
        for head in heads:  # calls have no body
            self.queue.put_nowait(QueuedCall(head.partition(b"\r\n")[0], time.monotonic()))

    def connection_lost(self, exc: Exception | None) -> None:
        self.queue.put_nowait(None)

    def abort(self) -> None:
        self.responding.cancel()
        self.transport.abort()

    async def _respond_all(self) -> None:
        try:
            while call := await self.queue.get():
                outcome = CallOutcome.LOST if self.ended else self.counter.draw_outcome()
                await self._respond(call, outcome)
        finally:
            self.counter.connections.discard(self)

    async def _respond(self, call: QueuedCall, outcome: CallOutcome) -> None:
        match = CALL_PATTERN.fullmatch(call.start_line)
        if not match:
            self._write(http_response(400, b""))
            return
        name, amount, lifetime = int(match[1]), float(match[2]), int(match[3]) / 1000
        await asyncio.sleep(max(0.0, call.arrived_at + self.counter.delay() - time.monotonic()))
        now = time.monotonic()
        reply_delay = now - call.arrived_at
        self._check_reply_time(call)
        self.counter.on_call(Call(self.caller, name, amount, outcome, now, reply_delay, self.trusted))
        total = self.counter.add(name, amount, lifetime) if outcome.was_added else 0.0
        if outcome is CallOutcome.ADDED_LATE:
            await asyncio.sleep(self.counter.late_by)
            self._check_reply_time(call)
        if outcome in (CallOutcome.LOST, CallOutcome.ADDED_AND_RESET):
            self._end()
        elif outcome is CallOutcome.REJECTED:
            self._write(http_response(503, b""))
        else:
            is_malformed = outcome is CallOutcome.ADDED_MALFORMED
            self._write(http_response(200, b"<html>" if is_malformed else f"{total:.6f}".encode()))
            self.trusted = self.trusted and not is_malformed

    def _check_reply_time(self, call: QueuedCall) -> None:
        if time.monotonic() - call.arrived_at > TRUSTED_REPLY_TIME_S:
            self.trusted = False

    def _write(self, response: bytes) -> None:
        """Writes a response, unless an audited caller may have closed the connection.

        A write to a closed connection fails, and what lies unread in it is lost.
        """
        if self.transport.is_closing() or (self.is_audited and not self.trusted):
            return
        self.transport.write(response)

    @property
    def is_audited(self) -> bool:
        return self.caller in self.counter.audited_callers

    def _end(self) -> None:
        """Resets the connection, or half-closes that of an audited caller and reads on."""
        if self.transport.is_closing():
            return
        if not self.is_audited:
            reset(self.transport)
        elif not self.ended:
            self.transport.write_eof()
        self.ended = True
