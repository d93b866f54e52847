"""A fake counter on loopback: exact totals, and calls that fail as the test decides."""

from __future__ import annotations

import asyncio
import contextlib
import re
import time
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from testbed.standins.http import Message, http_response, read_message

CALL_PATTERN = re.compile(rb"POST /tally/(\d+)\?n=(-?[\d.]+)&keep_ms=(\d+) HTTP/1\.1")
MAX_LIFETIME_S = 60.0  # of an entry


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


@dataclass(frozen=True, slots=True)
class QueuedCall:
    """A call that has been read and waits for its turn, and when it was read (s, monotonic)."""

    message: Message
    arrived_at: float


class Counter:
    """A counter whose entries all callers share; each caller has its own port, which identifies its calls."""

    def __init__(
        self,
        draw_outcome: Callable[[], CallOutcome],
        delay: Callable[[], float],
        late_by: float,
        on_call: Callable[[Call], None],
    ) -> None:
        """`delay` returns the seconds until a call is answered; `late_by` is added for a late answer."""
        self.draw_outcome, self.delay, self.late_by, self.on_call = draw_outcome, delay, late_by, on_call
        self.totals: dict[int, float] = {}
        self.expires_at: dict[int, float] = {}
        self.servers: list[asyncio.Server] = []
        self.writers: set[asyncio.StreamWriter] = set()

    async def listen(self, caller: int) -> int:
        """Opens a port for a caller; returns its number."""

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await self._serve(caller, reader, writer)

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        self.servers.append(server)
        return int(server.sockets[0].getsockname()[1])

    def close(self) -> None:
        for server in self.servers:
            server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    def add(self, name: int, amount: float, lifetime: float) -> float:
        """Adds to an entry, which expires `lifetime` seconds after its first call; returns its total."""
        now = time.monotonic()
        if now >= self.expires_at.get(name, 0.0):
            self.totals[name], self.expires_at[name] = 0.0, now + min(lifetime, MAX_LIFETIME_S)
        self.totals[name] += amount
        return self.totals[name]

    async def _serve(self, caller: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Reads pipelined calls and answers them in order; after a connection reset those left are lost."""
        self.writers.add(writer)
        queue: asyncio.Queue[QueuedCall | None] = asyncio.Queue()
        responding = asyncio.ensure_future(self._respond_all(caller, queue, writer))
        try:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
                while True:
                    queue.put_nowait(QueuedCall(await read_message(reader), time.monotonic()))
            queue.put_nowait(None)
            with contextlib.suppress(asyncio.CancelledError):
                await responding
        finally:
            responding.cancel()
            self.writers.discard(writer)
            writer.close()

    async def _respond_all(
        self, caller: int, queue: asyncio.Queue[QueuedCall | None], writer: asyncio.StreamWriter
    ) -> None:
        is_broken = False
        while call := await queue.get():
            outcome = CallOutcome.LOST if is_broken else self.draw_outcome()
            is_broken = not await self._respond(caller, call, outcome, writer) or is_broken

    async def _respond(
        self, caller: int, call: QueuedCall, outcome: CallOutcome, writer: asyncio.StreamWriter
    ) -> bool:
        """Handles one call; returns whether the connection stays open."""
        match = CALL_PATTERN.fullmatch(call.message.start_line)
        if not match:
            writer.write(http_response(400, b""))
            return True
        name, amount, lifetime = int(match[1]), float(match[2]), int(match[3]) / 1000
        await asyncio.sleep(max(0.0, call.arrived_at + self.delay() - time.monotonic()))
        now = time.monotonic()
        self.on_call(Call(caller, name, amount, outcome, now, now - call.arrived_at))
        total = self.add(name, amount, lifetime) if outcome.was_added else 0.0
        if outcome is CallOutcome.ADDED_LATE:
            await asyncio.sleep(self.late_by)
        if outcome in (CallOutcome.LOST, CallOutcome.ADDED_AND_RESET):
            writer.transport.abort()
            return False
        if not writer.is_closing():
            body = b"<html>" if outcome is CallOutcome.ADDED_MALFORMED else f"{total:.6f}".encode()
            writer.write(
                http_response(503, b"") if outcome is CallOutcome.REJECTED else http_response(200, body)
            )
        return True
