"""Ports for listeners that are closed and reopened."""

from __future__ import annotations

import random
import socket

# Below the ephemeral ports: an outgoing connection might take one of those while the listener is closed.
FIRST_PORT, LAST_PORT = 10_000, 32_000
MAX_TRIES = 1000

# Bound, not listening: a listener with SO_REUSEADDR is allowed beside them, any other bind is not.
_reservations: list[socket.socket] = []


def free_port() -> int:
    """Returns a port on loopback that no other process is given until this one ends.

    Its listener must set SO_REUSEADDR, as asyncio does. Raises OSError if there is no free port.
    """
    rng = random.SystemRandom()
    for _ in range(MAX_TRIES):
        port = rng.randint(FIRST_PORT, LAST_PORT)
        reservation = socket.socket()
        try:
            reservation.bind(("127.0.0.1", port))
        except OSError:
            reservation.close()
            continue
        reservation.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        _reservations.append(reservation)
        return port
    raise OSError("no free port on loopback")
