"""A parser of a connection's requests which ignores offers of an upgrade.

A client may offer with any request to go on with another protocol, as some do by default for HTTP/2. A server
may ignore that and serve the request as if nothing had been offered (RFC 9110, 7.8). llhttp, the parser of
httptools, can't be told to: it ends such a request behind its head, whatever body the head announces.
"""

from __future__ import annotations

from typing import Protocol

import httptools

from coralvale.net.request_body import RequestBody


class RequestEvents(Protocol):
    """What a parser reports, in this order for each request; `body` is that of the request being received."""

    body: RequestBody

    def on_message_begin(self) -> None: ...

    def on_url(self, url: bytes) -> None: ...

    def on_header(self, name: bytes, value: bytes) -> None: ...

    def on_headers_complete(self) -> None: ...

    def on_chunk_header(self) -> None: ...

    def on_body(self, body: bytes) -> None: ...

    def on_message_complete(self) -> None: ...


class RequestParser:
    """Parses requests and reports their parts.

    Behind the head of a request with an offer, a new llhttp parser takes over. It is fed a head that
    announces the same body, then reads that body and all later requests.
    """

    __slots__ = (
        "ends_at_head", "events", "on_body", "on_chunk_header", "on_header", "on_message_begin", "on_url",
        "parser",
    )  # fmt: skip

    def __init__(self, events: RequestEvents) -> None:
        self.events = events
        self.ends_at_head = False  # whether llhttp ends the current request behind its head
        # Called by llhttp without a detour: there is one for each header field.
        self.on_message_begin, self.on_url, self.on_header = (
            events.on_message_begin,
            events.on_url,
            events.on_header,
        )
        self.on_chunk_header, self.on_body = events.on_chunk_header, events.on_body
        self.parser = httptools.HttpRequestParser(self)

    def close(self) -> None:
        """Drops the llhttp parser, which refers back here, so that all is freed at once."""
        del self.parser

    def feed(self, data: bytes) -> None:
        """Parses what was received; raises `httptools.HttpParserError` at an invalid request."""
        while data:
            try:
                self.parser.feed_data(data)
                return
            except httptools.HttpParserUpgrade as offer:
                data = data[offer.args[0] :]
                self._resume_behind_head()

    def get_method(self) -> bytes:
        """The method of the request whose head is being reported."""
        return bytes(self.parser.get_method())

    def should_keep_alive(self) -> bool:
        """Whether the client lets the connection stay open behind the current request."""
        return bool(self.parser.should_keep_alive())

    def on_headers_complete(self) -> None:
        self.events.on_headers_complete()
        self.ends_at_head = self.parser.should_upgrade()

    def on_message_complete(self) -> None:
        if not self.ends_at_head:
            self.events.on_message_complete()

    def _resume_behind_head(self) -> None:
        connection = b"keep-alive" if self.parser.should_keep_alive() else b"close"
        head = b"POST / HTTP/1.1\r\nConnection: %b\r\n%b\r\n" % (
            connection,
            self.events.body.framing_field(),
        )
        self.ends_at_head = False
        self.parser = httptools.HttpRequestParser(_BehindHead(self))
        self.parser.feed_data(head)


class _BehindHead:
    """The callbacks of a parser that takes over: its first head is not reported."""

    __slots__ = ("in_first_head", "on_body", "on_chunk_header", "on_message_complete", "parser")

    def __init__(self, parser: RequestParser) -> None:
        self.parser = parser
        self.in_first_head = True
        self.on_chunk_header, self.on_body = parser.on_chunk_header, parser.on_body
        self.on_message_complete = parser.on_message_complete

    def on_message_begin(self) -> None:
        if not self.in_first_head:
            self.parser.on_message_begin()

    def on_url(self, url: bytes) -> None:
        if not self.in_first_head:
            self.parser.on_url(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        if not self.in_first_head:
            self.parser.on_header(name, value)

    def on_headers_complete(self) -> None:
        if not self.in_first_head:
            self.parser.on_headers_complete()
        self.in_first_head = False
