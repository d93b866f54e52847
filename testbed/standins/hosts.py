"""Fake hosts on loopback that serve, hang, reset, reject or stop, and report the requests they receive."""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from testbed.standins.http import Message, http_response, parse_head
from testbed.standins.ports import free_port

MIN_SERVICE_TIME_S, MAX_SERVICE_TIME_S = 0.005, 0.04


class HostMode(Enum):
    """What a host does with a request that it has read in full."""

    SERVES = "serves"
    HANGS = "hangs"
    RESETS = "resets"
    REJECTS = "rejects"


@dataclass(frozen=True, slots=True)
class Arrival:
    """A request that a host has read in full, with the times of its first and last byte (s, monotonic)."""

    message: Message
    first_byte_at: float
    last_byte_at: float

    @property
    def request_id(self) -> str:
        return self.message.headers.get(b"x-request-id", b"").decode()


class Host:
    """A fake host.

    `on_arrival` is called for each request read in full; `on_end` when it has been answered or dropped, with
    whether it certainly was not processed.
    """

    def __init__(
        self,
        name: str,
        service_time: Callable[[], float],
        on_arrival: Callable[[Host, Arrival], None],
        on_end: Callable[[Host, Arrival, bool], None],
    ) -> None:
        self.name, self.service_time, self.on_arrival, self.on_end = name, service_time, on_arrival, on_end
        self.mode = HostMode.SERVES
        self.started_at = 0.0  # Unix time of its last start; 0: long ago
        self.response_bytes = 0  # to which the body of a response, the request's id, is filled up
        self.port = free_port()
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listens on its port, the same one after each stop; does nothing if it listens already."""
        if self.server:
            return
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)

    def stop(self) -> None:
        """Closes the listener and resets all connections."""
        if self.server:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
                while await self._serve_one(reader, writer):
                    pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _serve_one(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        """Reads and handles one request; returns whether the connection stays open."""
        first = await reader.readexactly(1)
        first_byte_at = time.monotonic()
        message = parse_head(first + await reader.readuntil(b"\r\n\r\n"))
        message.body = await reader.readexactly(int(message.headers.get(b"content-length", b"0")))
        arrival = Arrival(message, first_byte_at, time.monotonic())
        self.on_arrival(self, arrival)
        mode = self.mode
        never_ran = mode is HostMode.REJECTS
        try:
            if mode is HostMode.HANGS:
                await reader.read()  # until the gateway closes the connection
                return False
            if mode is HostMode.RESETS:
                await asyncio.sleep(self.service_time() / 2)
                writer.transport.abort()
                return False
            if mode is HostMode.REJECTS:
                writer.write(http_response(503, b"", X_Not_Processed="1"))
                return True
            await asyncio.sleep(self.service_time())
            writer.write(http_response(200, arrival.request_id.encode().ljust(self.response_bytes)))
            return True
        finally:
            self.on_end(self, arrival, never_ran)
