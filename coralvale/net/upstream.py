"""Connections to the hosts: a pool for each host, and one attempt at a time on each connection.

Nothing here chooses a host or sends anything a second time. Each attempt ends with exactly one `Outcome`: an
attempt whose connection fails before its last byte is written has not run, one that fails later may have.
"""

from __future__ import annotations

import asyncio
import errno
import logging
import math
import select
import socket
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import httptools

from coralvale.interface import Outcome
from coralvale.net.clock import TIMER_RESOLUTION_S, Clock
from coralvale.net.config import Address, HostInstance
from coralvale.net.idle_limit import IdleLimit
from coralvale.net.memory import HOST_CONNECTION_BYTES, HeldBytes, MemoryBudget, ShedStep
from coralvale.net.message_size import MessageSize, is_body_too_large
from coralvale.net.response import Response, read_response

MAX_OVERHEAD_BYTES = 64 * 1024  # of a response besides its body, with its interim responses
READ_SIZE_BYTES = 16 * 1024  # read from a connection in one turn of the event loop
MAX_INTERIM_RESPONSES = 8  # with status 1xx, ahead of the final one
REUSE_DELAY_S = 0.02  # from a response to the next request: a stray second response may follow some ms later
IDLE_TIMEOUT_SHARE = 0.8  # of the hosts' idle timeout, after which this side closes an idle connection
SWEEP_INTERVAL_S = 1.0  # between checks for connections that have been idle for too long

log = logging.getLogger(__name__)


@dataclass(slots=True, eq=False)
class Attempt:
    """One request sent to one host, from the decision to send it until its outcome."""

    host: str  # id
    address: Address
    build_payload: Callable[[], bytes | None]  # called just before the write; None: do not send
    on_end: Callable[[Attempt, Outcome, Response | None], None]
    index: int = 0  # among the attempts of its request
    sent_at: float = 0.0  # when it was ordered, before any wait for a connection; not set for probes
    host_started_at: float = 0.0  # tells a restarted host from its predecessor
    timer: asyncio.TimerHandle | None = None
    connection: HostConnection | None = field(default=None, repr=False)
    ended: bool = False
    connection_broken: bool = False  # the connection was established and then broke

    @property
    def host_instance(self) -> HostInstance:
        return self.host, self.host_started_at, self.address

    def end(self, outcome: Outcome, response: Response | None = None) -> None:
        if not self.ended:
            self.ended, self.connection = True, None
            if self.timer:
                self.timer.cancel()
            self.on_end(self, outcome, response)


class HostConnection(asyncio.BufferedProtocol):
    """One connection to a host.

    It returns to its pool unused, or after a complete response to a request that was sent in full. At most
    `READ_SIZE_BYTES` are read in one turn of the event loop, however much a host sends.
    """

    def __init__(self, pool: Pool) -> None:
        self.pool = pool
        self.attempt: Attempt | None = None
        self.transport: asyncio.Transport | None = None
        # idle_time: s idle before the latest request, valid only if `has_been_idle`
        self.idle_since = self.idle_time = 0.0
        self.has_been_idle = False  # whether it has been idle in the pool
        self.write_pending = self.response_complete = self.keep_alive = False
        self.held = HeldBytes(pool.upstreams.budget)
        self.held.set(HOST_CONNECTION_BYTES)
        self.size = MessageSize(MAX_OVERHEAD_BYTES)
        self._reset_response()

    def _reset_response(self) -> None:
        self.headers: list[tuple[bytes, bytes]] = []
        self.body = bytearray()  # one buffer: short pieces of their own would take many times their size
        self.status = self.interim_count = 0
        self.head_complete = False  # of the final response
        self.length_stated = False  # by its head; if not, the end of the connection is the end of the body
        self.size.reset()

    def connection_made(self, transport: Any) -> None:  # noqa: ANN401
        self.transport = transport
        # With a limit of 0, pause_writing is called whenever data is not yet fully written to the socket.
        transport.set_write_buffer_limits(high=0)
        self.parser = httptools.HttpResponseParser(self)
        self.socket = transport.get_extra_info("socket")
        self.poll = select.poll()
        self.poll.register(self.socket.fileno(), select.POLLIN)

    def pause_writing(self) -> None:
        self.write_pending = True

    def resume_writing(self) -> None:
        self.write_pending = False
        self._count_held()

    def _count_held(self) -> None:
        """Counts what the connection holds, which may end attempts with large responses."""
        if self.transport and not self.transport.is_closing():
            size = HOST_CONNECTION_BYTES + self.transport.get_write_buffer_size()
            self.held.set(size + self.received_bytes())

    def is_stale(self, now: float) -> bool:
        """Whether the host has closed the connection, even if not yet read by the loop, or may do so soon."""
        assert self.transport is not None
        closing = (
            self.transport.is_closing() or now - self.idle_since >= self.pool.upstreams.idle_limit.current
        )
        return closing or bool(self.poll.poll(0))

    def send_request(self, attempt: Attempt) -> None:
        assert self.transport is not None
        # Since the order to send, the client may have disconnected or the host begun to drain.
        if (payload := attempt.build_payload()) is None:
            self.pool.release(self)
            attempt.end(Outcome.NOT_SENT)
            return
        self.attempt, attempt.connection = attempt, self
        self.idle_time = self.pool.upstreams.clock.now() - self.idle_since
        self.transport.write(payload)
        if self.transport.is_closing():  # the write failed immediately, so nothing was sent
            self._mark_broken(attempt)
            self._finish(Outcome.CONNECT_FAILED)
        self._count_held()

    def get_buffer(self, sizehint: int) -> memoryview:
        return self.pool.upstreams.read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        if self.attempt is None:  # no request is outstanding
            self.close()
            return
        try:
            self._parse(bytes(self.pool.upstreams.read_buffer[:nbytes]))
        except Exception:
            # Any failure to read a response ends its attempt, exactly once, and closes the connection.
            log.exception("cannot read the response of a host")
            self._finish(Outcome.ERROR)
        self._acknowledge()  # once the client has its answer
        self._count_held()
        if nbytes == READ_SIZE_BYTES:  # there may be more
            self._read_on_later()

    def _read_on_later(self) -> None:
        """Lets the event loop go on before more is read."""
        if self.transport and not self.transport.is_closing():
            self.transport.pause_reading()
            self.pool.upstreams.loop.call_soon(self._resume_reading)

    def _resume_reading(self) -> None:
        if self.transport and not self.transport.is_closing():
            self.transport.resume_reading()

    def received_bytes(self) -> int:
        """Bytes of the response that is being received."""
        return self.size.overhead + self.body.__alloc__() if self.attempt else 0

    def give_up_response(self) -> None:
        """Ends the attempt whose response is being received as failed."""
        self._finish(Outcome.ERROR)

    def _acknowledge(self) -> None:
        """Has the system acknowledge what was read at once rather than up to 40 ms later.

        A host without TCP_NODELAY holds a small write back until then: the rest of a response, or a stray
        second one, which would come after `REUSE_DELAY_S` and be taken for the response to the next request.
        """
        if self.transport and not self.transport.is_closing():
            self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_QUICKACK, 1)

    def _parse(self, data: bytes) -> None:
        self.size.add_received(data)
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.keep_alive = False
            if not self.response_complete:
                self._finish(Outcome.ERROR)
                return
        if self.response_complete:
            self._complete_response()
        elif self.size.overhead_exceeded or self.size.body_exceeded:
            self._finish(Outcome.ERROR)

    def on_message_begin(self) -> None:
        if self.response_complete:  # one request was sent, so a second response belongs to none
            self.keep_alive = False

    def on_header(self, name: bytes, value: bytes) -> None:
        if self.response_complete:
            return
        self.size.add_field(name, value)
        if not self.head_complete:  # trailer fields are not kept
            self.headers.append((name, value))

    def on_headers_complete(self) -> None:
        if self.response_complete or self.parser.get_status_code() < 200:
            return
        self.head_complete = True
        for name, value in self.headers:
            lower = name.lower()
            if lower == b"content-length" and is_body_too_large(value):
                raise ValueError("body too large")  # rather than wait for 3 GB to arrive
            # A body with a transfer coding other than chunked is not forwarded, as it cannot be decoded.
            if lower in (b"content-length", b"transfer-encoding"):
                self.length_stated = True

    def on_body(self, body: bytes) -> None:
        if not self.response_complete:
            self.body += body
            self.size.add_body(body)

    def eof_received(self) -> None:
        """An orderly end completes a response with no stated length; `connection_lost` ends any other."""
        if self.attempt and self.head_complete and not self.length_stated and not self._was_reset():
            self.status = self.parser.get_status_code()
            self.keep_alive = False
            self._complete_response()

    def _was_reset(self) -> bool:
        """Whether the host reset the connection without a FIN before.

        The loop reports an end after the last bytes if a reset arrived together with them (libuv,
        `uv__stream_io`); the error is then still pending on the socket. After a FIN it is EPIPE.
        """
        return self.socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) not in (0, errno.EPIPE)

    def on_message_complete(self) -> None:
        if self.response_complete:
            return
        if self.parser.get_status_code() < 200:  # an interim response: the final one follows
            self.headers.clear()
            self.interim_count += 1
            if self.interim_count > MAX_INTERIM_RESPONSES:
                raise ValueError("too many interim responses")
        else:
            self.response_complete = True
            self.status = self.parser.get_status_code()
            # Read now: once the message is over, the parser always returns False.
            self.keep_alive = self.parser.should_keep_alive()

    def _complete_response(self) -> None:
        if self.has_been_idle:
            self.pool.upstreams.idle_limit.record(self.idle_time, False)
        response = read_response(
            self.status, self.headers, bytes(self.body), self.pool.upstreams.load_report_fields
        )
        outcome = self._outcome(response)
        # If the response came before the request was written in full, the rest of the request is still to be
        # written: the connection cannot be reused.
        keep = self.keep_alive and not self.write_pending
        self._finish(outcome, response, keep)

    def _outcome(self, response: Response) -> Outcome:
        if response.status == 200:
            # A host begins a request once its last byte has come: an earlier response was made for another.
            is_usable = not self.write_pending and not self.size.body_exceeded
            return Outcome.OK if is_usable else Outcome.ERROR
        if response.status in (503, 504) and response.not_processed:
            return Outcome.FULL
        return Outcome.ERROR

    def _finish(self, outcome: Outcome, response: Response | None = None, keep: bool = False) -> None:
        attempt, self.attempt = self.attempt, None
        self.response_complete = False
        self._reset_response()
        if keep:
            self.pool.release(self)
        else:
            self.close()
        if attempt:
            attempt.end(outcome, response)

    def close(self) -> None:
        self.pool.remove_idle(self)
        self.held.set(0)
        if self.transport:
            self.transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        self.give_back()
        if attempt := self.attempt:
            self.attempt = None
            self._mark_broken(attempt)
            attempt.end(Outcome.CONNECT_FAILED if self.write_pending else Outcome.RESET)

    def give_back(self) -> None:
        """Gives back all that is counted for the connection, which has ended; may be called again."""
        self.pool.remove_idle(self)
        self.pool.connections.discard(self)
        self.pool.upstreams.connections.discard(self)
        self.held.set(0)
        if hasattr(self, "parser"):
            del self.parser  # it refers back here: freed now, not at some later garbage collection

    def _mark_broken(self, attempt: Attempt) -> None:
        attempt.connection_broken = True
        if self.has_been_idle and not self.size.received:
            self.pool.upstreams.idle_limit.record(self.idle_time, True)


class Pool:
    """The connections to one host: idle ones, in order of release, and attempts that wait for one."""

    def __init__(self, upstreams: Upstreams, address: Address) -> None:
        self.upstreams, self.address = upstreams, address
        self.retired = False  # the host's entry in the list has gone or changed: no connection is kept
        self.idle_connections: list[HostConnection] = []
        self.waiting_attempts: deque[Attempt] = deque()
        self.connections: set[HostConnection] = set()  # open or being opened

    def send(self, attempt: Attempt, after_delay: bool = False) -> None:
        """Uses an idle connection past its reuse delay, waits once for one within it, or opens a new one."""
        if attempt.ended:
            return
        now = self.upstreams.clock.now()
        # The last released first, so that connections not needed stay idle and are closed.
        while connection := next(
            (c for c in reversed(self.idle_connections) if now - c.idle_since >= REUSE_DELAY_S), None
        ):
            self.idle_connections.remove(connection)
            if not connection.is_stale(now):
                connection.send_request(attempt)
                return
            connection.close()
        if self.idle_connections and not after_delay:
            delay = self.idle_connections[0].idle_since + REUSE_DELAY_S - now
            self.upstreams.loop.call_later(delay + TIMER_RESOLUTION_S, self.send, attempt, True)
            return
        if not self.upstreams.make_room():
            attempt.end(Outcome.NOT_SENT)
            return
        self.waiting_attempts.append(attempt)
        self.upstreams.connect(self, attempt)

    def release(self, connection: HostConnection) -> None:
        """Takes back a connection, which is not reused before `REUSE_DELAY_S`, even if attempts wait.

        A second response right behind the last would be taken for the response to the next request.
        """
        if self.retired:
            connection.close()
            return
        connection.idle_since, connection.has_been_idle = self.upstreams.clock.now(), True
        self.idle_connections.append(connection)
        if self.waiting_attempts:
            self.upstreams.loop.call_later(REUSE_DELAY_S, self._serve_waiting, connection)

    def _serve_waiting(self, connection: HostConnection) -> None:
        """Gives a connection, after its reuse delay, to the attempt that has waited longest."""
        if connection not in self.idle_connections:
            return
        while self.waiting_attempts:
            attempt = self.waiting_attempts.popleft()
            if attempt.ended:
                continue
            self.idle_connections.remove(connection)
            if connection.is_stale(self.upstreams.clock.now()):
                self.waiting_attempts.appendleft(attempt)  # a connection for it is being opened
                connection.close()
            else:
                connection.send_request(attempt)
            return

    def retire(self) -> None:
        self.retired = True
        for connection in list(self.idle_connections):
            connection.close()

    def remove_idle(self, connection: HostConnection) -> None:
        if connection in self.idle_connections:
            self.idle_connections.remove(connection)

    def connect_failed(self, attempt: Attempt) -> None:
        if attempt.connection is None and not attempt.ended:
            self.waiting_attempts.remove(attempt)
            attempt.end(Outcome.CONNECT_FAILED)


class Upstreams:
    """The pools of all hosts, and the limit on their connections in total."""

    def __init__(
        self,
        clock: Clock,
        connect_timeout: float,
        idle_timeout: float,
        max_connections: int,
        load_report_fields: tuple[str, ...] = (),
        budget: MemoryBudget | None = None,
    ) -> None:
        self.clock, self.connect_timeout, self.max_connections = clock, connect_timeout, max_connections
        self.read_buffer = memoryview(bytearray(READ_SIZE_BYTES))  # emptied after each read
        self.budget = budget or MemoryBudget(math.inf)  # of all connections, with those of clients
        self.budget.steps[ShedStep.IDLE_HOST_CONNECTION] = self._close_longest_idle
        self.budget.steps[ShedStep.HOST_RESPONSE] = self._give_up_largest_response
        self.idle_limit = IdleLimit(idle_timeout * IDLE_TIMEOUT_SHARE)
        self.load_report_fields = load_report_fields
        self.pools: dict[HostInstance, Pool] = {}
        self.tasks: set[asyncio.Task[None]] = set()
        self.connections: set[HostConnection] = set()  # open or being opened, of all pools
        self.loop = asyncio.get_running_loop()
        self.sweep_timer = self.loop.call_later(SWEEP_INTERVAL_S, self._sweep)

    def send(self, attempt: Attempt) -> None:
        # Not by address alone: a new host there must not get connections, or late responses, of the old one.
        pool = self.pools.get(attempt.host_instance)
        if pool is None:
            pool = self.pools[attempt.host_instance] = Pool(self, attempt.address)
        pool.send(attempt)

    def abort_attempt(self, attempt: Attempt, outcome: Outcome) -> None:
        """Ends an attempt by closing its connection; if it was not fully written, it counts as not sent."""
        connection = attempt.connection
        if connection is None:
            if (
                not attempt.ended
                and (pool := self.pools.get(attempt.host_instance))
                and attempt in pool.waiting_attempts
            ):
                pool.waiting_attempts.remove(attempt)
            attempt.end(Outcome.NOT_SENT)
            return
        connection.attempt = None
        written = not connection.write_pending
        connection.close()
        attempt.end(outcome if written else Outcome.NOT_SENT)

    @property
    def open_count(self) -> int:
        """How many connections are open or being opened."""
        return len(self.connections)

    def make_room(self) -> bool:
        """At the limit, closes the connection that has been idle longest; returns whether there is room."""
        if self.open_count < self.max_connections:
            return True
        return self._close_longest_idle()

    def _close_longest_idle(self) -> bool:
        """Closes the connection that has been idle longest; returns whether there was one."""
        oldest = min(
            (p.idle_connections[0] for p in self.pools.values() if p.idle_connections),
            key=lambda c: c.idle_since,
            default=None,
        )
        if oldest is None:
            return False
        oldest.close()
        return True

    def _give_up_largest_response(self) -> bool:
        """Ends the attempt with the largest response being received; returns whether there was one."""
        largest = max(self.connections, key=HostConnection.received_bytes, default=None)
        if largest is None or not largest.received_bytes():
            return False
        largest.give_up_response()
        return True

    def connect(self, pool: Pool, attempt: Attempt) -> None:
        connection = HostConnection(pool)
        pool.connections.add(connection)
        self.connections.add(connection)
        task = self.loop.create_task(self._connect(connection, attempt))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _connect(self, connection: HostConnection, attempt: Attempt) -> None:
        pool = connection.pool
        if not await self._open(connection):
            pool.connect_failed(attempt)
            return
        if attempt in pool.waiting_attempts:
            pool.waiting_attempts.remove(attempt)
            if not attempt.ended:
                connection.send_request(attempt)
                return
        pool.release(connection)

    async def _open(self, connection: HostConnection) -> bool:
        """Opens a connection; returns whether it has come up in time."""
        is_open = False
        try:
            async with asyncio.timeout(self.connect_timeout):  # an unreachable host does not answer the SYN
                await self.loop.create_connection(lambda: connection, *connection.pool.address)
            is_open = True
        except (OSError, TimeoutError):
            pass
        finally:
            # One that came up just as the time ended is closed without a call of `connection_lost`.
            if not is_open:
                connection.close()
                connection.give_back()
        return is_open

    def retire(self, instance: HostInstance) -> None:
        """The host drains, has gone, restarted or moved: its attempts go on, but no connection is kept."""
        if pool := self.pools.pop(instance, None):
            pool.retire()

    def close(self) -> None:
        self.sweep_timer.cancel()
        for task in self.tasks:
            task.cancel()
        for connection in list(self.connections):
            connection.close()

    def _sweep(self) -> None:
        self.sweep_timer = self.loop.call_later(SWEEP_INTERVAL_S, self._sweep)
        self.idle_limit.decay(SWEEP_INTERVAL_S)
        now = self.clock.now()
        for instance, pool in list(self.pools.items()):
            while (
                pool.idle_connections and now - pool.idle_connections[0].idle_since >= self.idle_limit.current
            ):
                pool.idle_connections[0].close()
            if not pool.connections:
                del self.pools[instance]  # else pools of hosts that have gone would pile up
