"""A host's response, and what its headers report to the gateway."""

from __future__ import annotations

import json
import math
import re
from dataclasses import dataclass, field

MAX_USAGE, MAX_LOAD = 1000.0, 1e6  # reported figures above these are ignored

# Response headers that apply to one connection only, or that are meant for the gateway only.
HEADERS_NOT_FORWARDED = {
    b"connection", b"keep-alive", b"transfer-encoding", b"te", b"trailer", b"upgrade", b"content-length",
    b"proxy-authenticate", b"proxy-connection", b"usage-percent", b"x-server-load", b"x-not-processed",
    b"billed-units",
}  # fmt: skip
NUMBER = re.compile(rb"\d{1,15}(\.\d{0,15})?")


@dataclass(slots=True)
class Response:
    """A complete response from a host."""

    status: int
    body: bytes
    headers: list[tuple[bytes, bytes]] = field(default_factory=list)  # those to forward
    usage: float | None = None  # metered use of the customer as a fraction of its rate
    units: float | None = None  # true quota units of the request, if post-paid
    load_report: tuple[float, ...] = ()  # figures named by the settings' `load_report_fields`
    not_processed: bool = False  # the host states that it has not begun the request


def read_response(
    status: int, headers: list[tuple[bytes, bytes]], body: bytes, load_report_fields: tuple[str, ...]
) -> Response:
    """Builds a response; headers for the gateway or the connection alone are read and left out."""
    response = Response(status, body)
    for name, value in headers:
        lower = name.lower()
        if lower == b"usage-percent":
            response.usage = parse_usage(value)
        elif lower == b"billed-units":
            response.units = parse_units(value)
        elif lower == b"x-not-processed":
            response.not_processed = value.strip() == b"1"
        elif lower == b"x-server-load":
            response.load_report = parse_load_report(value, load_report_fields)
        elif lower not in HEADERS_NOT_FORWARDED:
            response.headers.append((name, value))
    return response


def parse_usage(value: bytes) -> float | None:
    """`Usage-Percent`: the customer's metered use in percent of its rate; returned as a fraction.

    The simulator's protocol sends that percentage plus one instead, see `adapter.py`.
    """
    if not NUMBER.fullmatch(value):
        return None
    usage = float(value) / 100
    return usage if usage <= MAX_USAGE else None


def parse_units(value: bytes) -> float | None:
    """`Billed-Units`: the true units of a request that was served; only figures above 0 count."""
    units = float(value) if NUMBER.fullmatch(value) else 0.0
    return units if units > 0 else None


def parse_load_report(value: bytes, fields: tuple[str, ...]) -> tuple[float, ...]:
    """The figures of a load report; implausible ones become NaN, to keep them out of decisions."""
    try:
        report = json.loads(value)
        figures = tuple(float(report.get(name, math.nan)) for name in fields)
    except (ValueError, TypeError, AttributeError, OverflowError, RecursionError):
        return ()
    return tuple(figure if 0 <= figure <= MAX_LOAD else math.nan for figure in figures)
