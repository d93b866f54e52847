"""Host lists in the format of discovery."""

from __future__ import annotations

import json
from typing import Any

WATCH_RESPONSE_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


def list_message(index: int, *endpoints: dict[str, Any], snapshot: bool = False) -> bytes:
    """One message of a watch: the hosts that have changed or, as a snapshot, all of them."""
    message = {"index": index, "snapshot": snapshot, "endpoints": list(endpoints)}
    return json.dumps(message).encode() + b"\n"


def host_entry(name: str, port: int, **more: Any) -> dict[str, Any]:  # noqa: ANN401
    """The list entry of a host on loopback."""
    fields = {"name": name, "address": f"127.0.0.1:{port}", "zone": "south", "type": "large", "group": 1}
    return {**fields, "status": "active", "weight": 1.0, "since_ms": 0, **more}
