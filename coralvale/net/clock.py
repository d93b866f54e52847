"""The clock of the gateway."""

from __future__ import annotations

import time

TIMER_RESOLUTION_S = 0.001  # by which the event loop's timers may fire early, as it counts whole milliseconds


class Clock:
    """Unix time in seconds that never steps: the monotonic clock plus an offset taken once, at start.

    Discovery's `since_ms` and the windows that all gateways share need Unix time, but a step of the system
    clock must not make all deadlines expire at once.
    """

    def __init__(self) -> None:
        self.offset = time.time() - time.monotonic()

    def now(self) -> float:
        return time.monotonic() + self.offset
