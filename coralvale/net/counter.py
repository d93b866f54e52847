"""HTTP client of the shared counter.

Calls are pipelined on a few persistent connections; the counter answers those on one connection in order.
"""

from __future__ import annotations

import asyncio
import re
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import httptools

from coralvale.interface import CounterReply
from coralvale.net.config import Address
from coralvale.net.message_size import MessageSize

MAX_CONNECTIONS = 2  # all calls for one entry go over the same connection, so that their replies are in order
IDLE_TIMEOUT_S = 4.0  # until an idle connection is closed here; the counter keeps one open for up to 10 s
MAX_LIFETIME_MS = 60_000  # of an entry on the counter
MAX_TOTAL_BYTES = 64  # of the body of a response, a number
MAX_OVERHEAD_BYTES = 4096  # of a response besides its body, such as its head
STALL_TIMEOUT_S = 0.5  # age of the oldest unanswered call at which its connection is closed


# A total as the counter writes it; stricter than float(), which also accepts 1_0, inf and nan.
TOTAL_PATTERN = re.compile(rb"\s*-?\d{1,15}(\.\d{0,15})?([eE][-+]?\d{1,2})?\s*")


@dataclass(slots=True, eq=False)
class Call:
    """One addition to an entry of the counter."""

    name: int  # of the entry
    request: bytes  # the HTTP request
    timer: asyncio.TimerHandle | None = None
    written_at: float | None = None  # loop time; None: not written yet
    replied: bool = False  # whether `on_reply` was called for it


class CounterClient:
    """Adds to entries of the counter; calls `on_reply` exactly once for each `add`.

    A call without a valid response fails; its reply has `maybe_added` set unless it is certain that nothing
    was added. `timeout` and `connect_timeout` are in seconds.
    """

    def __init__(
        self,
        address: Address,
        timeout: float,
        connect_timeout: float,
        on_reply: Callable[[CounterReply], None],
    ) -> None:
        self.address, self.timeout, self.connect_timeout = address, timeout, connect_timeout
        self.on_reply = on_reply
        self.loop = asyncio.get_running_loop()
        self.connections: list[Connection | None] = [None] * MAX_CONNECTIONS
        self.connect_tasks: set[asyncio.Task[None]] = set()

    def add(self, name: int, amount: float, lifetime: float) -> None:
        """Adds an amount to an entry.

        The counter keeps the entry for `lifetime` seconds, at most 60, from its first addition.
        """
        lifetime_ms = min(MAX_LIFETIME_MS, max(1, round(lifetime * 1000)))
        host, port = self.address
        head = f"POST /tally/{name}?n={amount:.6f}&keep_ms={lifetime_ms} HTTP/1.1\r\nHost: {host}:{port}\r\n"
        call = Call(name, f"{head}Content-Length: 0\r\n\r\n".encode())
        connection = self.connections[name % MAX_CONNECTIONS]
        if connection is None or connection.is_closing:
            connection = self.connections[name % MAX_CONNECTIONS] = Connection(self)
            task = self.loop.create_task(self._connect(connection))
            self.connect_tasks.add(task)
            task.add_done_callback(self.connect_tasks.discard)
        call.timer = self.loop.call_later(self.timeout, self._on_timeout, connection, call)
        connection.add(call)

    def close(self) -> None:
        """Closes all connections immediately; unanswered calls fail.

        Calls on a connection that is still being opened fail only at their timeout.
        """
        for task in self.connect_tasks:
            task.cancel()
        for connection in self.connections:
            if connection:
                connection.close()

    def drain(self) -> None:
        """Closes each connection once its calls are answered, and all of them after the last call's timeout.

        `add` must not be called any more.
        """
        for connection in self.connections:
            if connection:
                connection.draining = True
                connection.check_idle()
        self.loop.call_later(max(STALL_TIMEOUT_S, self.timeout), self.close)

    async def _connect(self, connection: Connection) -> None:
        try:
            async with asyncio.timeout(self.connect_timeout):
                await self.loop.create_connection(lambda: connection, *self.address)
        except (OSError, TimeoutError):
            connection.close()
            connection.connection_lost(None)

    def _on_timeout(self, connection: Connection, call: Call) -> None:
        """Fails a call that got no response in time; closes its connection if that is stalled.

        A call that was never written has certainly added nothing.
        """
        self.reply(call, CounterReply(call.name, False, 0.0, maybe_added=call.written_at is not None))
        oldest = connection.calls[0] if connection.calls else None
        if (
            oldest
            and oldest.written_at is not None
            and self.loop.time() - oldest.written_at > STALL_TIMEOUT_S
        ):
            connection.close()

    def reply(self, call: Call, reply: CounterReply) -> None:
        """Reports the result of a call, unless one was reported before."""
        if not call.replied:
            call.replied = True
            if call.timer:
                call.timer.cancel()
            self.on_reply(reply)


class Connection(asyncio.Protocol):
    """One connection to the counter.

    A call that has timed out stays in `calls` until its response arrives: responses are matched to calls by
    their order.
    """

    def __init__(self, client: CounterClient) -> None:
        self.client, self.closed, self.body = client, False, b""
        self.calls: deque[Call] = deque()  # without a response, oldest first
        self.transport: asyncio.Transport | None = None
        self.idle_timer: asyncio.TimerHandle | None = None
        self.size = MessageSize(MAX_OVERHEAD_BYTES, MAX_TOTAL_BYTES)  # since the last complete response
        self.draining = False  # to be closed once all its calls are answered

    @property
    def is_closing(self) -> bool:
        """Whether nothing more can be written, as for an end already read whose `connection_lost` is due."""
        return self.closed or (self.transport is not None and self.transport.is_closing())

    def add(self, call: Call) -> None:
        self.calls.append(call)
        if self.transport:
            self._write(call)

    def _write(self, call: Call) -> None:
        assert self.transport is not None
        if self.idle_timer:
            self.idle_timer.cancel()
            self.idle_timer = None
        call.written_at = self.client.loop.time()
        self.transport.write(call.request)

    def connection_made(self, transport: Any) -> None:  # noqa: ANN401
        self.transport = transport
        self.parser = httptools.HttpResponseParser(self)
        self.calls = deque(call for call in self.calls if not call.replied)  # drops those that timed out
        for call in self.calls:
            self._write(call)
        self.check_idle()

    def check_idle(self) -> None:
        """If no call is outstanding, closes a draining connection and starts the idle timer of any other."""
        if self.draining and not self.calls and self.transport:
            self.close()
        elif not self.calls and not self.idle_timer:
            self.idle_timer = self.client.loop.call_later(IDLE_TIMEOUT_S, self.close)

    def data_received(self, data: bytes) -> None:
        if not self.calls:  # data without a call
            self.close()
            return
        self.size.add_received(data)
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.close()
        if self.size.overhead_exceeded:
            self.close()
        self.check_idle()

    def on_body(self, body: bytes) -> None:
        self.body += body
        self.size.add_body(body)
        if self.size.body_exceeded:
            raise ValueError("response body too long")

    def on_message_begin(self) -> None:
        if self.closed or not self.calls:  # closed by an earlier response in the same data, or one too many
            raise ValueError("response without a call")

    def on_message_complete(self) -> None:
        status, body, self.body = self.parser.get_status_code(), self.body, b""
        if status < 200:  # an interim response, which counts towards the limit on the final one
            return
        self.size.reset()
        call = self.calls.popleft()
        if status == 200 and TOTAL_PATTERN.fullmatch(body):
            self.client.reply(call, CounterReply(call.name, True, float(body)))
        else:
            # With one of these statuses the counter has added nothing; with any other it may have.
            rejected = status in (503, 400, 404)
            self.client.reply(call, CounterReply(call.name, False, 0.0, maybe_added=not rejected))
            if not rejected:  # not a total: no later response on this connection can be trusted
                self.close()
        if not self.parser.should_keep_alive():
            self.close()

    def close(self) -> None:
        self.closed = True
        if self.transport:
            self.transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        self.closed = True
        if self.idle_timer:
            self.idle_timer.cancel()
        while self.calls:
            call = self.calls.popleft()
            maybe_added = call.written_at is not None
            self.client.reply(call, CounterReply(call.name, False, 0.0, maybe_added=maybe_added))
