"""Reads and writes HTTP/1.1 messages, for the stand-ins and the test clients."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass


@dataclass
class Message:
    """An HTTP request or response."""

    start_line: bytes
    headers: dict[bytes, bytes]
    body: bytes

    @property
    def status(self) -> int:
        return int(self.start_line.split(b" ")[1])


def parse_head(head: bytes) -> Message:
    """Parses a head, with its empty line, to a message without a body; header names are lowercased."""
    start_line, *lines = head[:-4].split(b"\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(b":")
        headers[name.lower()] = value.strip()
    return Message(start_line, headers, b"")


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Reads the next message with its body; raises IncompleteReadError if the connection ends too early."""
    message = parse_head(await reader.readuntil(b"\r\n\r\n"))
    message.body = await reader.readexactly(int(message.headers.get(b"content-length", b"0")))
    return message


def http_response(status: int = 200, body: bytes = b"ok", **headers: str) -> bytes:
    """A response with a Content-Length; underscores in the names of `headers` stand for hyphens."""
    lines = [f"HTTP/1.1 {status} x", f"Content-Length: {len(body)}"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def chunk(data: bytes) -> bytes:
    """One chunk of a chunked body."""
    return b"%x\r\n%b\r\n" % (len(data), data)
