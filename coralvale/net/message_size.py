"""Limits on the size of an incoming HTTP message, which hold in every part of it."""

from __future__ import annotations

MAX_BODY_BYTES = 64 * 1024  # of a request or a response
MAX_LENGTH_DIGITS = 6  # of a Content-Length, so that no long number is converted
MAX_FIELDS = 128  # header and trailer fields: each takes memory many times its size if it is short
CHUNK_FRAMING_BYTES = 20  # allowed around the data of a chunk: a size of 16 digits and two line ends


def is_body_too_large(content_length: bytes) -> bool:
    """Whether a Content-Length exceeds `MAX_BODY_BYTES`; raises `ValueError` if it is not a number."""
    return len(content_length) > MAX_LENGTH_DIGITS or int(content_length) > MAX_BODY_BYTES


class MessageTooLarge(ValueError):
    """A message exceeds a limit on its size."""


class MessageSize:
    """Counts the bytes of one message while it is being received.

    Each byte received counts either as part of the body or towards `overhead`: the head, interim responses,
    chunk extensions and trailer fields. A parser reports a line only once it is complete, so the overhead is
    known from what was received, less what the parser has reported as body.
    """

    __slots__ = ("body", "field_bytes", "fields", "max_body", "max_overhead", "overhead", "received")

    def __init__(self, max_overhead: int, max_body: int = MAX_BODY_BYTES) -> None:
        """Both limits are in bytes."""
        self.max_overhead, self.max_body = max_overhead, max_body
        self.reset()

    def reset(self) -> None:
        """Starts counting anew, for the next message on the connection."""
        self.received = self.body = self.overhead = self.fields = self.field_bytes = 0

    def add_received(self, data: bytes) -> None:
        """Counts data about to be passed to the parser, all of it as overhead until reported as body."""
        self.received += len(data)
        self.overhead += len(data)

    def add_field(self, name: bytes, value: bytes) -> None:
        """Counts a field that the parser reports; raises `MessageTooLarge` if there are too many."""
        self.fields += 1
        self.field_bytes += len(name) + len(value)
        if self.fields > MAX_FIELDS or self.field_bytes > self.max_overhead:
            raise MessageTooLarge("too many header or trailer fields")

    def add_body(self, data: bytes) -> None:
        """Counts a part of the body that the parser reports, with the usual framing of a chunk."""
        self.body += len(data)
        self.overhead = max(0, self.overhead - len(data) - CHUNK_FRAMING_BYTES)

    @property
    def overhead_exceeded(self) -> bool:
        return self.overhead > self.max_overhead

    @property
    def body_exceeded(self) -> bool:
        return self.body > self.max_body
