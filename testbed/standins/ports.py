"""Ports for listeners that are closed and opened again."""

from __future__ import annotations

import random
import socket

FIRST_PORT, LAST_PORT = (
    10_000,
    32_000,
)  # below those that the system gives to connections, which may take one meanwhile


def free_port() -> int:
    """A port on loopback that nobody has now; raises OSError where none is found."""
    rng = random.SystemRandom()
    for _ in range(LAST_PORT - FIRST_PORT):
        port = rng.randint(FIRST_PORT, LAST_PORT)
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
            return port
    raise OSError("no free port on loopback")
