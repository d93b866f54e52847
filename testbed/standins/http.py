"""HTTP/1.1 messages as the stand-ins and test clients read and write them."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass


@dataclass
class Message:
    """An HTTP message as it came."""

    start_line: bytes
    headers: dict[bytes, bytes]
    body: bytes

    @property
    def status(self) -> int:
        return int(self.start_line.split(b" ")[1])


def parse_head(head: bytes) -> Message:
    """A message without its body, from all bytes up to the empty line; header names in lower case."""
    start_line, *lines = head[:-4].split(b"\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(b":")
        headers[name.lower()] = value.strip()
    return Message(start_line, headers, b"")


async def read_message(reader: asyncio.StreamReader) -> Message:
    """The next message with its body; raises IncompleteReadError where the connection ends before."""
    message = parse_head(await reader.readuntil(b"\r\n\r\n"))
    message.body = await reader.readexactly(int(message.headers.get(b"content-length", b"0")))
    return message


def http_response(status: int = 200, body: bytes = b"ok", **headers: str) -> bytes:
    """An answer with its length; an underscore in a header's name stands for a hyphen."""
    lines = [f"HTTP/1.1 {status} x", f"Content-Length: {len(body)}"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def chunk(data: bytes) -> bytes:
    """One chunk of a chunked answer."""
    return b"%x\r\n%b\r\n" % (len(data), data)
