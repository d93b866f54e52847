"""Looks after the memory of the process, and reports regularly on what it holds."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

from coralvale.net.memory import MEBIBYTE, MemoryBudget, MemoryGuard, MemoryShares, resident_bytes
from coralvale.net.server import Server
from coralvale.net.status_log import StatusLog

log = logging.getLogger(__name__)

MEMORY_CHECK_INTERVAL_S = 1.0  # between two looks at the resident memory


class Monitor:
    """Adjusts the budget for peers to the resident memory, and logs the status, at regular intervals."""

    def __init__(
        self, budget: MemoryBudget, shares: MemoryShares, resident: int, status_log: StatusLog, server: Server
    ) -> None:
        """`resident`: the bytes that the process took when its memory was shared out."""
        self.budget, self.shares, self.status_log, self.server = budget, shares, status_log, server
        self.guard = MemoryGuard(budget, shares, resident)
        self.loop = asyncio.get_running_loop()

    def start(
        self,
        count_customers: Callable[[], int],
        count_requests: Callable[[], int],
        count_host_connections: Callable[[], int],
    ) -> None:
        """Logs the limits and sets the timers; the functions return what is held at the time of the call."""
        self.count_customers, self.count_requests = count_customers, count_requests
        self.count_host_connections = count_host_connections
        self.memory_timer = self.loop.call_later(MEMORY_CHECK_INTERVAL_S, self._check_memory)
        self.status_timer = self.loop.call_later(self.status_log.interval, self._log_status)
        log.info(
            "started: %.1f MB for peers, %d customers, %d client connections",
            self.budget.limit / MEBIBYTE,
            self.shares.max_customers,
            self.server.max_connections,
        )

    def close(self) -> None:
        """Cancels the timers."""
        self.status_timer.cancel()
        self.memory_timer.cancel()

    def _check_memory(self) -> None:
        """Takes what the process needs for other things off the budget for peers."""
        self.memory_timer = self.loop.call_later(MEMORY_CHECK_INTERVAL_S, self._check_memory)
        self.guard.update(resident_bytes(), self.count_customers())

    def _log_status(self) -> None:
        """Logs what the process holds, and what it has turned away or given up since the last time."""
        self.status_timer = self.loop.call_later(self.status_log.interval, self._log_status)
        for line in self.status_log.lines(self._held(), self.budget.shed_counts):
            log.info("%s", line)
        self.budget.shed_counts.clear()

    def _held(self) -> dict[str, float]:
        """What is held now, by its name in the log."""
        return {
            "client connections": len(self.server.connections),
            "idle": len(self.server.idle_connections),
            "receiving": len(self.server.receiving),
            "not reading": len(self.server.write_blocked),
            "lingering": len(self.server.lingering),
            "host connections": self.count_host_connections(),
            "requests": self.count_requests(),
            "customers": self.count_customers(),
            "peers MB": round(self.budget.held / MEBIBYTE, 2),
            "peak MB": round(self.budget.peak / MEBIBYTE, 2),
            "of MB": round(self.budget.limit / MEBIBYTE, 2),
            "resident MB": round(resident_bytes() / MEBIBYTE, 1),
        }
