"""The counter on loopback: exact totals, and calls that go wrong as a test wants."""

from __future__ import annotations

import asyncio
import contextlib
import re
import time
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from testbed.standins.http import Message, http_response, read_message

CALL = re.compile(rb"POST /tally/(\d+)\?n=(-?[\d.]+)&keep_ms=(\d+) HTTP/1\.1")
MOST_LIFE = 60.0  # s


class Fate(Enum):
    """What becomes of a call."""

    ADDED = "added and answered"
    LATE = "added, answered too late"
    LOST = "never added, the connection ends"
    REFUSED = "turned away by a 503"
    SPOILT = "added, answered with no number"
    CUT = "added, the connection ends"

    @property
    def is_added(self) -> bool:
        return self in (Fate.ADDED, Fate.LATE, Fate.SPOILT, Fate.CUT)

    @property
    def is_certain(self) -> bool:
        """Whether the caller learns what became of it."""
        return self in (Fate.ADDED, Fate.REFUSED)


@dataclass(frozen=True, slots=True)
class Call:
    """A call that reached the counter, at a time (s, monotonic)."""

    caller: int
    name: int
    amount: float
    fate: Fate
    at: float
    waited: float  # s from when it came to its answer


@dataclass(frozen=True, slots=True)
class Waiting:
    """A call that has been read and waits for its turn, and when it came (s, monotonic)."""

    message: Message
    came_at: float


class Counter:
    """Totals that all callers share; each caller has a port of its own, so that its calls are known."""

    def __init__(
        self,
        fate: Callable[[], Fate],
        delay: Callable[[], float],
        late_by: float,
        on_call: Callable[[Call], None],
    ) -> None:
        """`delay`: s until a call is answered; `late_by`: s more for a late one."""
        self.fate, self.delay, self.late_by, self.on_call = fate, delay, late_by, on_call
        self.totals: dict[int, float] = {}
        self.expires: dict[int, float] = {}
        self.servers: list[asyncio.Server] = []
        self.writers: set[asyncio.StreamWriter] = set()

    async def listen(self, caller: int) -> int:
        """Opens a port for a caller and returns it."""

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

    def add(self, name: int, amount: float, life: float) -> float:
        """Adds to a name, which is forgotten `life` after its first call, and returns its total."""
        now = time.monotonic()
        if now >= self.expires.get(name, 0.0):
            self.totals[name], self.expires[name] = 0.0, now + min(life, MOST_LIFE)
        self.totals[name] += amount
        return self.totals[name]

    async def _serve(self, caller: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Reads calls as they come and answers them in order; what a broken connection leaves is lost."""
        self.writers.add(writer)
        waiting: asyncio.Queue[Waiting | None] = asyncio.Queue()
        answering = asyncio.ensure_future(self._answer_all(caller, waiting, writer))
        try:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
                while True:
                    waiting.put_nowait(Waiting(await read_message(reader), time.monotonic()))
            waiting.put_nowait(None)
            with contextlib.suppress(asyncio.CancelledError):
                await answering
        finally:
            answering.cancel()
            self.writers.discard(writer)
            writer.close()

    async def _answer_all(
        self, caller: int, waiting: asyncio.Queue[Waiting | None], writer: asyncio.StreamWriter
    ) -> None:
        is_broken = False
        while call := await waiting.get():
            fate = Fate.LOST if is_broken else self.fate()
            is_broken = not await self._answer(caller, call, fate, writer) or is_broken

    async def _answer(self, caller: int, call: Waiting, fate: Fate, writer: asyncio.StreamWriter) -> bool:
        """Answers one call; tells whether the connection goes on."""
        match = CALL.fullmatch(call.message.start_line)
        if not match:
            writer.write(http_response(400, b""))
            return True
        name, amount, life = int(match[1]), float(match[2]), int(match[3]) / 1000
        await asyncio.sleep(max(0.0, call.came_at + self.delay() - time.monotonic()))
        now = time.monotonic()
        self.on_call(Call(caller, name, amount, fate, now, now - call.came_at))
        total = self.add(name, amount, life) if fate.is_added else 0.0
        if fate is Fate.LATE:
            await asyncio.sleep(self.late_by)
        if fate in (Fate.LOST, Fate.CUT):
            writer.transport.abort()
            return False
        if not writer.is_closing():
            body = b"<html>" if fate is Fate.SPOILT else f"{total:.6f}".encode()
            writer.write(http_response(503, b"") if fate is Fate.REFUSED else http_response(200, body))
        return True
