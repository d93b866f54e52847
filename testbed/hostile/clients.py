"""Hostile clients, each a coroutine that goes on until it is cancelled."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Callable, Coroutine
from enum import StrEnum
from typing import Any

from testbed.hostile.messages import (
    LARGE_BODY_BYTES,
    UNFINISHED_HEAD,
    UNKNOWN_PATH_REQUEST,
    UP_REQUEST,
    UP_REQUEST_OF_MANY_FIELDS,
    api_request,
)
from testbed.standins.http import read_message

RECONNECT_DELAY_S = 0.02
WITHHELD_BYTES = 2000  # of a request whose sending stops before its end
TRICKLED_PIECE_BYTES = 1000
TRICKLE_INTERVAL_S = 0.025
PIPELINED_LARGE_REQUESTS = 20  # that a client sends at once
FLOOD_BATCH = 200  # requests of one write
UNREAD_REQUESTS = 400  # whose responses a client does not read
SMALL_RECEIVE_BUFFER_BYTES = 4096
TIMEOUT_S = 3.0  # that the requests state
NUMBERS_PER_CLIENT = 1 << 24  # of customers and requests: each client counts in a range of its own

Address = tuple[str, int]


class Kind(StrEnum):
    """What a hostile client does."""

    STALLED_BODY = "stalled-body"  # stops shortly before the end of a large body
    TRICKLED_BODY = "trickled-body"  # sends a large body slowly
    UNFINISHED_HEAD = "unfinished-head"  # stops within a head of very many short fields
    PIPELINED_LARGE = "pipelined-large"  # sends many large requests at once
    UNREAD_RESPONSES = "unread-responses"  # reads no response
    FLOOD_UP = "flood-up"  # the floods send at full speed on one connection
    FLOOD_UNKNOWN_PATH = "flood-unknown-path"
    FLOOD_UNSOUND = "flood-unsound"
    FLOOD_FIELDS = "flood-fields"
    FLOOD_NEW_CUSTOMERS = "flood-new-customers"
    NEW_CUSTOMERS = "new-customers"  # sends a request of a new customer as soon as the last one is answered


async def discard_responses(reader: asyncio.StreamReader) -> None:
    """Reads until the gateway closes the connection."""
    with contextlib.suppress(OSError):
        while await reader.read(1 << 16):
            pass


async def send_and_wait(address: Address, pieces: list[bytes], pause: float = 0.0) -> None:
    """Sends the pieces with a pause (s) between them, then reads until the gateway closes the connection."""
    reader, writer = await asyncio.open_connection(*address)
    closed = asyncio.ensure_future(discard_responses(reader))
    try:
        for piece in pieces:
            if closed.done():
                break
            writer.write(piece)
            if pause:
                await asyncio.sleep(pause)
        await closed
    finally:
        closed.cancel()
        writer.transport.abort()


async def flood(address: Address, make: Callable[[int], bytes]) -> None:
    """Sends requests on one connection as fast as the gateway takes them; `make` gets their number."""
    reader, writer = await asyncio.open_connection(*address)
    closed = asyncio.ensure_future(discard_responses(reader))
    number = 0
    try:
        while not closed.done():
            writer.write(b"".join(make(number + i) for i in range(FLOOD_BATCH)))
            number += FLOOD_BATCH
            await writer.drain()
            await asyncio.sleep(0)
    finally:
        closed.cancel()
        writer.transport.abort()


async def send_without_reading(address: Address, requests: bytes) -> None:
    """Sends requests, then keeps the connection open and reads nothing."""
    loop = asyncio.get_running_loop()
    connection = socket.socket()
    try:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_RECEIVE_BUFFER_BYTES)
        connection.setblocking(False)
        await loop.sock_connect(connection, address)
        await loop.sock_sendall(connection, requests)
        await loop.create_future()
    finally:
        connection.close()


async def ask_on_and_on(address: Address, make: Callable[[], bytes]) -> None:
    """Sends one request after another on a connection, each once the one before is answered."""
    reader, writer = await asyncio.open_connection(*address)
    try:
        while True:
            writer.write(make())
            await read_message(reader)
    except asyncio.IncompleteReadError:
        return
    finally:
        writer.transport.abort()


class HostileClient:
    """One client of a kind; `index` sets apart its request ids and its customers' numbers."""

    def __init__(self, kind: Kind, address: Address, index: int, run_name: str) -> None:
        self.kind, self.address, self.index, self.run_name = kind, address, index, run_name
        self.requests_made = 0
        self.actions: dict[Kind, Callable[[], Coroutine[Any, Any, None]]] = {
            Kind.STALLED_BODY: self._stall_in_body,
            Kind.TRICKLED_BODY: self._trickle_body,
            Kind.UNFINISHED_HEAD: lambda: send_and_wait(address, [UNFINISHED_HEAD]),
            Kind.PIPELINED_LARGE: self._pipeline_large,
            Kind.UNREAD_RESPONSES: self._leave_unread,
            Kind.FLOOD_UP: lambda: flood(address, lambda _: UP_REQUEST),
            Kind.FLOOD_UNKNOWN_PATH: lambda: flood(address, lambda _: UNKNOWN_PATH_REQUEST),
            Kind.FLOOD_UNSOUND: lambda: flood(address, lambda _: self._request(units="x")),
            Kind.FLOOD_FIELDS: lambda: flood(address, lambda _: UP_REQUEST_OF_MANY_FIELDS),
            Kind.FLOOD_NEW_CUSTOMERS: lambda: flood(address, lambda _: self._request()),
            Kind.NEW_CUSTOMERS: lambda: ask_on_and_on(address, self._request),
        }

    async def run(self) -> None:
        """Acts, on a new connection after each end, until cancelled."""
        while True:
            with contextlib.suppress(OSError):
                await self.actions[self.kind]()
            await asyncio.sleep(RECONNECT_DELAY_S)

    def _request(self, body: bytes = b"", units: str = "1") -> bytes:
        """The next request, of a new customer."""
        self.requests_made += 1
        return api_request(
            f"{self.run_name}-{self.index}-{self.requests_made}",
            self.index * NUMBERS_PER_CLIENT + self.requests_made,
            TIMEOUT_S,
            body,
            class_name="unsafe" if body else "safe",
            units=units,
        )

    async def _stall_in_body(self) -> None:
        await send_and_wait(self.address, [self._request(b"x" * LARGE_BODY_BYTES)[:-WITHHELD_BYTES]])

    async def _trickle_body(self) -> None:
        data = self._request(b"x" * LARGE_BODY_BYTES)
        starts = range(0, len(data), TRICKLED_PIECE_BYTES)
        pieces = [data[start : start + TRICKLED_PIECE_BYTES] for start in starts]
        await send_and_wait(self.address, pieces, TRICKLE_INTERVAL_S)

    async def _pipeline_large(self) -> None:
        requests = [self._request(b"x" * LARGE_BODY_BYTES) for _ in range(PIPELINED_LARGE_REQUESTS)]
        await send_and_wait(self.address, requests)

    async def _leave_unread(self) -> None:
        requests = b"".join(self._request() for _ in range(UNREAD_REQUESTS))
        await send_without_reading(self.address, requests)
