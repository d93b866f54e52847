"""When the parts of a stream of bytes were received that waits to be parsed."""

from __future__ import annotations

from collections import deque

RESOLUTION_S = 0.01  # parts received within it count as received with the first of them


class ArrivalTimes:
    """The times at which waiting bytes were received, oldest first."""

    def __init__(self) -> None:
        self._parts = deque[tuple[float, int]]()  # time in s, and how many bytes

    def add(self, now: float, count: int) -> None:
        """Records that some bytes have been received; `now` is in seconds and never goes back."""
        if self._parts and now - self._parts[-1][0] < RESOLUTION_S:
            at, before = self._parts.pop()
            self._parts.append((at, before + count))
        else:
            self._parts.append((now, count))

    def take(self, count: int) -> float:
        """Forgets the oldest bytes, of which there must be as many; returns when the last was received."""
        at = 0.0
        while count > 0:
            at, available = self._parts.popleft()
            if available > count:
                self._parts.appendleft((at, available - count))
            count -= available
        return at

    def clear(self) -> None:
        """Forgets all bytes."""
        self._parts.clear()
