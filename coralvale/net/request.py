"""The parameters of a client's request, parsed from its headers and checked."""

from __future__ import annotations

import math
import re

from coralvale import interface as api

CUSTOMER_LIMIT = 2**33  # every customer's number is below it
MAX_INTEGER_DIGITS = 9  # more than any whole number in a request needs
CLIENT_COOKIE = re.compile(rb"(?:^|;)\s*client=([^;]*)")
CUSTOMER_HEX = re.compile(rb"[0-9a-fA-F]{16}")
QUOTA_FIELD_SEPARATORS = re.compile(rb"[,; \t]")
REQUEST_ID = re.compile(rb"[!-~]{1,128}")
NUMBER = re.compile(rb"(\d{1,15}(\.\d*)?|\.\d+)")


class BadRequest(ValueError):
    """An invalid request. It is answered 400, with the message as the body of the response."""


class ParserSettings:
    """The settings needed to parse requests: indexes of classes and plans by name, methods of classes."""

    def __init__(self, settings: api.Settings) -> None:
        self.class_indexes = {c.name.encode(): i for i, c in enumerate(settings.classes)}
        self.plan_indexes = {p.name.encode(): i for i, p in enumerate(settings.plans)}
        self.methods = [
            b"GET" if c.idempotency is api.Idempotency.SAFE else b"POST" for c in settings.classes
        ]
        self.gateways, self.max_units = settings.gateways, settings.max_units


class ParsedRequest:
    """The parameters of a request, parsed from its headers. Raises `BadRequest` if they are invalid."""

    __slots__ = (
        "class_index",
        "customer",
        "entry_gateways",
        "first_gateway",
        "id",
        "plan_index",
        "timeout",
        "units",
    )

    def __init__(self, settings: ParserSettings, method: bytes, header_values: dict[bytes, bytes]) -> None:
        """`header_values` are by name in lower case."""

        def required(name: bytes) -> bytes:
            if name not in header_values:
                raise BadRequest(f"{name.decode()}: missing")
            return header_values[name]

        id_ = required(b"x-request-id")
        if not REQUEST_ID.fullmatch(id_):
            raise BadRequest("x-request-id: not a plain word")
        self.id = id_.decode()
        class_index = settings.class_indexes.get(required(b"x-priority-class"))
        if class_index is None:
            raise BadRequest("x-priority-class: unknown class")
        self.class_index = class_index
        plan_index = settings.plan_indexes.get(required(b"plan"))
        if plan_index is None:
            raise BadRequest("plan: unknown plan")
        self.plan_index = plan_index
        if method != settings.methods[class_index]:
            # Clients and proxies may repeat a GET on their own, so it is for classes that are safe to repeat.
            raise BadRequest("the method does not go with the class")
        cookie = CLIENT_COOKIE.search(required(b"cookie"))
        if not cookie or not CUSTOMER_HEX.fullmatch(cookie[1].strip()):
            raise BadRequest("cookie: no client of 16 hex digits")
        self.customer = int(cookie[1], 16)
        if self.customer >= CUSTOMER_LIMIT:
            raise BadRequest("cookie: the client is too large a number")
        self.timeout = parse_positive("x-timeout", required(b"x-timeout"))
        quota = parse_quota_info(required(b"quota-info"))
        # Units fill the customer's bucket, ceiling and counter entries: clients must not choose them freely.
        self.units = parse_positive("quota-info units", quota.get(b"units", b""))
        if not 1 <= self.units <= settings.max_units:
            raise BadRequest(f"quota-info units: not from 1 to {settings.max_units:g}")
        self.entry_gateways = parse_integer(
            "quota-info spread", quota.get(b"spread", b""), 1, settings.gateways
        )
        # Only validated: the gateway does not use the number.
        self.first_gateway = parse_integer(
            "quota-info first", quota.get(b"first", b""), 0, settings.gateways - 1
        )


def parse_quota_info(value: bytes) -> dict[bytes, bytes]:
    """The `name=value` fields of `Quota-Info`, the last of each name; takes time linear in the length."""
    fields = (field.partition(b"=") for field in QUOTA_FIELD_SEPARATORS.split(value))
    return {name: text for name, _, text in fields}


def parse_positive(name: str, text: bytes) -> float:
    """A decimal number above 0; raises `BadRequest` with `name` if `text` is none."""
    value = float(text) if NUMBER.fullmatch(text) else 0.0
    if not 0 < value < math.inf:
        raise BadRequest(f"{name}: not a number above 0")
    return value


def parse_integer(name: str, text: bytes, low: int, high: int) -> int:
    """A whole number from `low` to `high`; raises `BadRequest` with `name` if `text` is none."""
    if not text.isdigit() or len(text) > MAX_INTEGER_DIGITS or not low <= int(text) <= high:
        raise BadRequest(f"{name}: not a whole number from {low} to {high}")
    return int(text)
