"""The body of a request while it is being received, and the length that the request's head announces."""

from __future__ import annotations

from collections.abc import Mapping

from coralvale.net.message_size import is_body_too_large


class InvalidBodyLength(ValueError):
    """A request's head announces a body that is not accepted; `status` is that of the error response."""

    def __init__(self, status: int) -> None:
        super().__init__(f"invalid or excessive body length, answered {status}")
        self.status = status


class RequestBody:
    """What has come of a request's body, and whether that is all that the head announces."""

    __slots__ = ("announced", "data", "is_chunked", "is_last_chunk")

    def __init__(self) -> None:
        self.data = bytearray()
        self.announced = 0  # bytes, by the head's Content-Length; unused if the body is chunked
        self.is_chunked = False
        self.is_last_chunk = False  # whether a chunk has begun and no data of it has come: the last has none

    def announce(self, header_values: Mapping[bytes, bytes]) -> None:
        """Takes the length from a head's fields, by name in lower case; raises `InvalidBodyLength`."""
        length = header_values.get(b"content-length", b"0")
        if b"transfer-encoding" in header_values:
            # Together with a length it allows request smuggling: a second request hidden in a body.
            if b"content-length" in header_values or header_values[b"transfer-encoding"] != b"chunked":
                raise InvalidBodyLength(400)
            self.is_chunked = True
        elif not length.isdigit():  # signed, a list, or repeated
            raise InvalidBodyLength(400)
        elif is_body_too_large(length):
            raise InvalidBodyLength(413)
        self.announced = int(length)

    def framing_field(self) -> bytes:
        """The header field that announces this body."""
        if self.is_chunked:
            return b"Transfer-Encoding: chunked\r\n"
        return b"Content-Length: %d\r\n" % self.announced

    def begin_chunk(self) -> None:
        """Records that the size of a chunk has come."""
        self.is_last_chunk = True

    def add(self, data: bytes) -> None:
        """Adds a part of the body."""
        self.data += data
        self.is_last_chunk = False

    @property
    def remaining(self) -> int:
        """Bytes still to come, if the head states a length; 0 if the body is chunked."""
        return 0 if self.is_chunked else max(0, self.announced - len(self.data))

    @property
    def is_complete(self) -> bool:
        """Whether the body is as long as the head says."""
        return self.is_last_chunk if self.is_chunked else len(self.data) == self.announced
