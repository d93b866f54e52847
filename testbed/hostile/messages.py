"""Requests as the hostile clients send them, sound and unsound."""

from __future__ import annotations

LARGE_BODY_BYTES = 60_000  # within the 64 KiB that the protocol allows
MANY_FIELDS = 127  # headers of a request, within the gateway's own limit

UP_REQUEST = b"GET /up HTTP/1.1\r\n\r\n"
UNKNOWN_PATH_REQUEST = b"GET /x HTTP/1.1\r\n\r\n"
SHORT_FIELDS = b"".join(b"%x:%x\r\n" % (number, number) for number in range(MANY_FIELDS))
UNFINISHED_HEAD = b"GET /api HTTP/1.1\r\n" + SHORT_FIELDS
UP_REQUEST_OF_MANY_FIELDS = b"GET /up HTTP/1.1\r\n" + SHORT_FIELDS[: 120 * 5] + b"\r\n"


def api_request(
    request_id: str,
    customer: int,
    timeout: float,
    body: bytes = b"",
    class_name: str = "safe",
    units: str = "1",
    spread: int = 12,
) -> bytes:
    """A request of a class; one with a body is a POST, and its class must not be safe.

    `timeout` is in seconds. `units` is written as it stands, so that it may be none.
    """
    method = "GET" if class_name == "safe" else "POST"
    lines = [
        f"{method} /api HTTP/1.1",
        "Host: service.internal",
        f"X-Request-ID: {request_id}",
        f"X-Priority-Class: {class_name}",
        "Plan: basic",
        f"Cookie: client={customer:016x}",
        f"X-Timeout: {timeout:.3f}",
        f"Quota-Info: units={units},spread={spread},first=0",
    ]
    if class_name != "safe":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body
