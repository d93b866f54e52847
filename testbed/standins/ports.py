"""Ports for listeners that are closed and reopened."""

from __future__ import annotations

import random
import socket

# Below the ephemeral ports: an outgoing connection might take one of those while the listener is closed.
FIRST_PORT, LAST_PORT = 10_000, 32_000


def free_port() -> int:
    """Returns a port on loopback that is not in use now; raises OSError if it finds none."""
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
