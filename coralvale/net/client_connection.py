"""One client connection: reading requests and writing their responses."""

from __future__ import annotations

import asyncio
import select
import time
from collections import OrderedDict, deque
from typing import Any, Protocol

import httptools

from coralvale.net.arrival_times import ArrivalTimes
from coralvale.net.memory import CLIENT_CONNECTION_BYTES, REQUEST_BYTES, HeldBytes, MemoryBudget
from coralvale.net.message_size import MessageSize
from coralvale.net.request_body import InvalidBodyLength, RequestBody
from coralvale.net.request_parser import RequestParser
from coralvale.net.turns import TurnQueue

MAX_OVERHEAD_BYTES = 16 * 1024  # of a request besides its body, such as its request line and headers
READ_SIZE_BYTES = 16 * 1024  # read from a socket at once; also the most that is parsed at once, of a body
TURN_BYTES = 2 * 1024  # parsed in one turn, but for the rest of a body: some ten requests
READ_AHEAD_BYTES = 64 * 1024  # received and not yet parsed at which reading from a connection pauses
MAX_PIPELINED_REQUESTS = 16  # unanswered requests on a connection at which parsing pauses

REASON_PHRASES = {
    200: "OK",
    400: "Bad Request",
    404: "Not Found",
    408: "Request Timeout",
    413: "Content Too Large",
    500: "Internal Server Error",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}
STATUS_LINES = {
    status: f"HTTP/1.1 {status} {reason}\r\n".encode() for status, reason in REASON_PHRASES.items()
}
CLOSING_HEAD_END = b"Connection: close\r\n\r\n"  # ends the head of the last response on a connection
# Request headers that the gateway reads. One that is repeated has no value, as none of them may be a list.
HEADERS_READ = {
    b"x-request-id", b"x-priority-class", b"plan", b"cookie", b"x-timeout", b"quota-info", b"content-length",
    b"transfer-encoding", b"expect",
}  # fmt: skip
# Request headers that apply to one connection only, or that are written anew for the host.
HEADERS_NOT_FORWARDED = {
    b"connection", b"keep-alive", b"transfer-encoding", b"te", b"trailer", b"upgrade", b"http2-settings",
    b"content-length", b"proxy-authorization", b"proxy-connection", b"expect", b"x-timeout",
}  # fmt: skip


class ConnectionOwner(Protocol):
    """What a connection needs of the server that has accepted it."""

    budget: MemoryBudget
    turns: TurnQueue
    read_buffer: memoryview  # into which all connections read, emptied after each read
    # The connections that are idle, that receive a request, and whose client does not read, oldest first.
    idle_connections: OrderedDict[ClientConnection, None]
    receiving: dict[ClientConnection, None]
    write_blocked: dict[ClientConnection, None]
    draining: bool

    def dispatch(self, exchange: Exchange) -> None:
        """Answers a request that was received, or passes it on to the handler."""

    def abandon(self, exchange: Exchange) -> None:
        """Tells the handler that the client no longer waits for a request."""

    def linger(self, connection: ClientConnection) -> None:
        """Closes a connection on which more is coming in, once its last response has had time to arrive."""

    def remove(self, connection: ClientConnection) -> None:
        """Forgets a connection that has ended."""


class Exchange:
    """One request on a connection and the response to it."""

    __slots__ = (
        "body", "close_after", "connection", "forwarded_headers", "header_values", "is_complete", "method",
        "pending_request", "response_body", "response_head", "target",
    )  # fmt: skip

    def __init__(self, connection: ClientConnection) -> None:
        self.connection = connection
        self.method = self.target = b""
        self.body: bytes | bytearray = b""
        self.is_complete = False  # whether the body is as long as the head says
        self.header_values: dict[bytes, bytes] = {}  # those in HEADERS_READ, by name in lower case
        # Lines of the headers that a host gets: an object for each field would take many times as much.
        self.forwarded_headers = bytearray()
        self.response_head: bytes | None = None  # without the end, which `flush` adds
        self.response_body = b""
        self.close_after = False  # whether the connection closes after the response
        self.pending_request: Any = None  # the node's state for this request

    def reply(
        self,
        status: int,
        body: bytes = b"",
        headers: list[tuple[bytes, bytes]] | None = None,
        retry_after: float = 0.0,
    ) -> None:
        """Sets the response and writes it in its turn; does nothing if there is a response already."""
        if self.response_head is not None:
            return
        parts = [STATUS_LINES[status], b"Content-Length: %d\r\n" % len(body)]
        if headers:
            parts += [b"%b: %b\r\n" % header for header in headers]
        elif body:
            parts.append(b"Content-Type: text/plain\r\n")
        if retry_after > 0:
            parts.append(b"Retry-After: %.3f\r\n" % retry_after)
        self.response_head, self.response_body = b"".join(parts), body if self.method != b"HEAD" else b""
        self.connection.flush()

    def held_bytes(self) -> int:
        """Bytes that the request and its response take, about."""
        size = len(self.target) + len(self.forwarded_headers) + len(self.body) + len(self.response_body)
        return REQUEST_BYTES + size

    def drop_request(self) -> None:
        """Frees what is needed to send the request to a host, once no attempt may begin any more."""
        self.body, self.forwarded_headers = b"", bytearray()

    def reject(self, status: int, body: bytes = b"") -> None:
        """Answers an invalid request and closes the connection, as later requests may be no better."""
        self.close_after = True
        self.reply(status, body)


def has_event(descriptor: int, event: int = select.POLLIN) -> bool:
    """Whether the kernel has an event for a descriptor, even if the loop has not reported it yet."""
    poll = select.poll()
    poll.register(descriptor, event)
    return bool(poll.poll(0))


class ClientConnection(asyncio.BufferedProtocol):
    """One client connection. Responses are written in the order of the requests.

    What is received and cannot be parsed at once waits in `unparsed`. A connection that has much of it takes
    turns with others (see `TurnQueue`). Reading goes on meanwhile, as only it shows that the client has left,
    until `READ_AHEAD_BYTES` wait.
    """

    def __init__(self, server: ConnectionOwner) -> None:
        self.server = server
        self.transport: asyncio.Transport | None = None
        self.held = HeldBytes(server.budget)
        self.held.set(CLIENT_CONNECTION_BYTES)
        self.exchanges: deque[Exchange] = deque()  # received in full, response not yet written
        self.incoming: Exchange | None = None  # being received
        self.completed: list[Exchange] = []  # received in full, not yet dispatched
        self.last_active_at = self.opened_at = time.monotonic()
        self.request_started_at = 0.0
        self.has_sent_request = False  # whether a request has been received in full
        self.size = MessageSize(MAX_OVERHEAD_BYTES)  # since the last complete request
        self.unparsed = bytearray()  # received, not yet parsed
        self.arrival_times = ArrivalTimes()  # of what is not parsed yet
        self.parsing_delay = 0.0  # s for which what is being parsed has waited here
        # Whether so much was received that reading has paused. Until all of it is parsed and nothing more is
        # in the kernel, the client's end may lie unseen behind it.
        self.is_behind = False
        self.head_complete = False  # of the incoming request
        self.body = RequestBody()  # of the incoming request
        self.error_status = 0  # status of the error response that ends this connection
        self.error_retry_after = 0.0  # s, of that response
        self.error_replied = False  # whether that response has been added
        self.reading_paused = self.closing = False  # closing: nothing more is read or answered
        self.write_blocked_since: float | None = None  # since when the write buffer has been full
        self.is_overflow = False  # accepted beyond `max_connections`: /api is answered 503, then it closes
        self.backlog_wait = 0.0  # maximum s that it may have waited in the kernel, with its first request

    def connection_made(self, transport: Any) -> None:  # noqa: ANN401
        self.transport = transport
        self.parser = RequestParser(self)
        self.register_if_idle()

    # Reading

    def get_buffer(self, sizehint: int) -> memoryview:
        buffer = self.server.read_buffer
        return buffer if self.server.budget.has_room else buffer[:TURN_BYTES]

    def buffer_updated(self, nbytes: int) -> None:
        if self.error_status or self.closing:
            return  # behind a malformed request it is unknown where the next one begins
        data = bytes(self.server.read_buffer[:nbytes])
        if not self.server.turns and not self.unparsed and nbytes <= self._turn_size() and self._may_parse():
            self._process(data)
            return
        is_short = not (self.unparsed or self.exchanges or self.is_behind) and nbytes <= self._turn_size()
        self.server.idle_connections.pop(self, None)
        self.unparsed += data
        self.arrival_times.add(time.monotonic(), nbytes)
        self._update_reading()
        if self._may_parse():
            self.server.turns.add(self, is_short)
        self.count_held()

    def take_turn(self) -> bool:
        """Parses and dispatches a part of what waits; returns whether it can go on with more."""
        if not (self.unparsed and self._may_parse()):
            return False
        data = bytes(self.unparsed[: self._turn_size()])
        del self.unparsed[: len(data)]
        self.parsing_delay = time.monotonic() - self.arrival_times.take(len(data))
        self._process(data)
        self.parsing_delay = 0.0
        return bool(self.unparsed) and self._may_parse()

    def _turn_size(self) -> int:
        """Bytes to parse in one turn: no request can begin ahead of the end of a body."""
        return min(READ_SIZE_BYTES, max(TURN_BYTES, self.body.remaining))

    def _may_parse(self) -> bool:
        """Whether further requests may be taken from what is received."""
        if self.error_status or self.closing or self.transport is None or self.transport.is_closing():
            return False
        return len(self.exchanges) < MAX_PIPELINED_REQUESTS and self.write_blocked_since is None

    def _process(self, data: bytes) -> None:
        """Parses data and dispatches the requests that end in it."""
        self._parse(data)
        self._update_reading()
        completed, self.completed = self.completed, []
        for exchange in completed:
            if self.closing:  # an earlier response was the connection's last
                break
            self.server.dispatch(exchange)
        if self.error_status:
            self._reply_error()
            self._update_reading()
        self.register_if_idle()
        self.count_held()

    def count_held(self) -> None:
        """Counts what the connection holds, which may make the server give up a part of it."""
        if self.transport is None or self.transport.is_closing():
            return
        size = CLIENT_CONNECTION_BYTES + self.unparsed.__alloc__() + self.transport.get_write_buffer_size()
        if self.incoming:
            size += self.incoming_bytes()
        for exchange in self.exchanges:
            size += exchange.held_bytes()
        self.held.set(size)

    def __str__(self) -> str:
        """Where the connection comes from and what it holds, for the log, which drops most of such lines."""
        peer = self.transport.get_extra_info("peername") if self.transport else None
        where = f"{peer[0]}:{peer[1]}" if peer else "unknown"
        age = time.monotonic() - self.opened_at
        receiving = f"{self.incoming_bytes()} bytes of a request" if self.incoming else "no request"
        return (
            f"client {where}, open for {age:.1f} s, holds {self.held.size} bytes: "
            f"{receiving} being received, {len(self.unparsed)} not parsed, "
            f"{len(self.exchanges)} requests unanswered"
        )

    def incoming_bytes(self) -> int:
        """Bytes of the request that is being received."""
        return self.size.overhead + self.body.data.__alloc__()

    def _parse(self, data: bytes) -> None:
        self.size.add_received(data)
        try:
            self.parser.feed(data)
        except httptools.HttpParserError:
            self.error_status = self.error_status or 400
        if self.size.overhead_exceeded:  # an endless line is never reported by the parser
            self.error_status = self.error_status or 400

    def _update_reading(self) -> None:
        """Pauses reading while much waits to be parsed or the connection ends; else resumes it."""
        if self.transport is None or self.transport.is_closing():
            return
        ends = self.error_status or self.closing
        if ends:
            self._drop_unparsed()
        waiting = len(self.unparsed)
        if not self.server.budget.has_room:
            is_full = waiting > 0
        else:  # resumed only once much has been parsed, not with each turn
            is_full = waiting >= (READ_AHEAD_BYTES // 2 if self.reading_paused else READ_AHEAD_BYTES)
        if is_full:
            self.is_behind = True
        elif self.is_behind and not waiting and not self.has_unread_data():
            self.is_behind = False
        full = ends or is_full
        if full and not self.reading_paused:
            self.reading_paused = True
            self.transport.pause_reading()
        elif self.reading_paused and not full:
            self.reading_paused = False
            self.transport.resume_reading()

    def _drop_unparsed(self) -> None:
        self.unparsed.clear()
        self.arrival_times.clear()

    def _reply_error(self) -> None:
        """Adds the error response as the last one and reads no more: 60 MB of body may still follow."""
        if self.error_replied:
            return
        self.error_replied = True
        self._end_incoming()
        exchange = Exchange(self)
        exchange.close_after = True
        self.exchanges.append(exchange)
        exchange.reply(self.error_status, retry_after=self.error_retry_after)

    def _end_incoming(self) -> None:
        """Drops what has been received of a request that is not complete."""
        self.incoming = None
        self.body = RequestBody()
        self.server.receiving.pop(self, None)

    def register_if_idle(self) -> None:
        """Adds the connection, if idle, to the end of the list from whose front the server evicts."""
        if self.is_idle():
            self.server.idle_connections[self] = None

    def end_incoming_request(self, status: int, retry_after: float = 0.0) -> None:
        """Answers a request that is not received in full, after earlier ones, and reads no more."""
        self.error_status, self.error_retry_after = status, retry_after
        self._end_incoming()
        self._reply_error()
        self._update_reading()
        self.count_held()

    def on_message_begin(self) -> None:
        self.incoming = Exchange(self)
        # Not with each read: empty lines, which begin no request, must not keep a connection open.
        self.last_active_at = self.request_started_at = time.monotonic()
        self.server.idle_connections.pop(self, None)
        self.server.receiving[self] = None
        self.head_complete = False

    def on_url(self, url: bytes) -> None:
        assert self.incoming is not None
        self.incoming.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        exchange, lower = self.incoming, name.lower()
        assert exchange is not None
        self.size.add_field(name, value)
        if self.head_complete:  # trailer fields are not kept
            return
        if lower in HEADERS_READ:
            exchange.header_values[lower] = b"" if lower in exchange.header_values else value
        if lower not in HEADERS_NOT_FORWARDED:
            exchange.forwarded_headers += b"%b: %b\r\n" % (name, value)

    def on_headers_complete(self) -> None:
        exchange = self.incoming
        assert exchange is not None
        exchange.method = self.parser.get_method()
        self.head_complete = True
        try:
            self.body.announce(exchange.header_values)
        except InvalidBodyLength as error:
            self.error_status = error.status
            raise  # stops the parser before the body
        if exchange.header_values.get(b"expect", b"").lower() == b"100-continue" and not self.exchanges:
            assert self.transport is not None
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_chunk_header(self) -> None:
        self.body.begin_chunk()

    def on_body(self, body: bytes) -> None:
        assert self.incoming is not None
        self.size.add_body(body)
        if self.size.body_exceeded:
            self.error_status = 413
        else:
            self.body.add(body)

    def on_message_complete(self) -> None:
        exchange, self.incoming = self.incoming, None
        self.server.receiving.pop(self, None)
        self.size.reset()
        body, self.body = self.body, RequestBody()
        if exchange is None or self.error_status:
            return
        exchange.body, exchange.is_complete = body.data, body.is_complete
        self.has_sent_request = True
        exchange.close_after = not self.parser.should_keep_alive()
        self.exchanges.append(exchange)
        self.completed.append(exchange)

    # Writing

    def flush(self) -> None:
        if self.transport is None or self.transport.is_closing():
            return
        while self.exchanges and (response_head := self.exchanges[0].response_head) is not None:
            exchange = self.exchanges.popleft()
            last = exchange.close_after or self._drain_complete()
            self.transport.write(
                response_head + (CLOSING_HEAD_END if last else b"\r\n") + exchange.response_body
            )
            self.last_active_at = time.monotonic()
            if last:
                self.close_when_written()
                return
        self._continue_parsing()
        self.register_if_idle()
        self.count_held()

    def _continue_parsing(self) -> None:
        """Queues the connection for a turn if it can take one now."""
        if self.unparsed and self._may_parse():
            self.server.turns.add(self)

    def _drain_complete(self) -> bool:
        """Whether the server is draining and no further request has arrived on this connection."""
        return self.server.draining and not (
            self.exchanges or self.incoming or self.unparsed or self.has_unread_data()
        )

    def close_when_written(self) -> None:
        """Closes the connection once its last response is sent; later requests on it are not answered."""
        assert self.transport is not None
        self.closing = True
        self.server.idle_connections.pop(self, None)
        self.server.receiving.pop(self, None)
        more_incoming = (
            self.error_status or self.incoming or self.exchanges or self.unparsed or self.has_unread_data()
        )
        self._abandon_requests()
        if more_incoming:
            # Closing while data is still coming in would reset the connection and lose the response.
            self._update_reading()
            self.transport.write_eof()
            self.server.linger(self)
        else:
            self.transport.close()

    def has_unread_data(self) -> bool:
        """Whether the kernel holds data from the client, or its end, that the loop has not reported yet."""
        assert self.transport is not None
        return has_event(self.transport.get_extra_info("socket").fileno())

    def is_disconnected(self) -> bool:
        """Whether the client has disconnected, even if the loop has not read as far as that yet."""
        if self.transport is None or self.transport.is_closing():
            return True
        return has_event(self.transport.get_extra_info("socket").fileno(), select.POLLRDHUP)

    def pause_writing(self) -> None:
        self.write_blocked_since = time.monotonic()
        self.server.write_blocked[self] = None

    def resume_writing(self) -> None:
        self.write_blocked_since = None
        self.server.write_blocked.pop(self, None)
        self._continue_parsing()
        self.count_held()

    def connection_lost(self, exc: Exception | None) -> None:
        self.server.remove(self)
        self._drop_unparsed()
        self.held.set(0)
        self._abandon_requests()
        # These refer back here: freed now, not at some later garbage collection.
        self._end_incoming()
        self.completed.clear()
        self.parser.close()
        del self.parser

    def _abandon_requests(self) -> None:
        """Tells the handler that the client no longer waits for the unanswered requests, and drops them."""
        for exchange in self.exchanges:
            if exchange.response_head is None:
                exchange.response_head = b""  # so that a later reply is ignored
                self.server.abandon(exchange)
        self.exchanges.clear()

    def is_idle(self) -> bool:
        is_busy = self.exchanges or self.incoming or self.unparsed or self.closing or self.error_status
        return not is_busy and self.transport is not None

    def has_pending_response(self) -> bool:
        """Whether a request is unanswered or may be unread, or a response is not written in full."""
        if self.transport is None:  # accepted, not yet attached to the loop
            return True
        if self.transport.get_write_buffer_size():
            return True
        if self.closing or self.transport.is_closing():
            return False
        return bool(self.exchanges or self.unparsed) or self.has_unread_data()

    def close_if_idle(self) -> bool:
        """Closes an idle connection unless data has arrived on it, unread; returns whether it did."""
        if not self.is_idle() or self.has_unread_data():
            return False
        assert self.transport is not None
        self.closing = True
        self.server.idle_connections.pop(self, None)
        self.transport.close()
        self.held.set(0)
        return True
