"""A fake server whose requests are answered by the test."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from dataclasses import dataclass, field

from testbed.standins.http import Message, read_message

TEST_TIMEOUT_S = 20.0  # for each thing that a test waits for
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # value of SO_LINGER


def reset(transport: asyncio.WriteTransport) -> None:
    """Ends a connection with a TCP reset; `abort` alone sends one only where data lies unread."""
    connection = transport.get_extra_info("socket")
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    transport.abort()


@dataclass
class ReceivedRequest:
    """A request that a fake server received, and the connection to answer it on."""

    message: Message
    writer: asyncio.StreamWriter
    connection: int  # number of the connection, from 1

    def reply(self, data: bytes) -> None:
        self.writer.write(data)

    def close(self) -> None:
        self.writer.close()

    def reset(self) -> None:
        self.writer.transport.abort()


@dataclass
class FakeServer:
    """A server that puts each request it receives into `requests`, for the test to answer.

    If `auto_response` is set, it is sent at once as the response to each request.
    """

    auto_response: bytes | None = None
    requests: asyncio.Queue[ReceivedRequest] = field(default_factory=asyncio.Queue)
    connections: int = 0  # accepted so far
    closed: int = 0  # connections that have ended
    writers: list[asyncio.StreamWriter] = field(default_factory=list)

    async def start(self, port: int = 0) -> FakeServer:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", port)
        self.port = int(self.server.sockets[0].getsockname()[1])
        return self

    @property
    def address(self) -> tuple[str, int]:
        return "127.0.0.1", self.port

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        number = self.connections
        self.writers.append(writer)
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while True:
                request = ReceivedRequest(await read_message(reader), writer, number)
                if self.auto_response is not None:
                    writer.write(self.auto_response)
                self.requests.put_nowait(request)
        self.closed += 1
        writer.close()

    async def next_request(self) -> ReceivedRequest:
        return await asyncio.wait_for(self.requests.get(), TEST_TIMEOUT_S)

    def stop(self) -> None:
        self.server.close()
        for writer in self.writers:
            writer.transport.abort()
