"""Runs one gateway: reads its configuration, starts the event loop and handles signals."""

from __future__ import annotations

import asyncio
import gc
import logging
import os
import signal
import sys
import time

import uvloop

from coralvale.net.config import Config, ConfigError, read_config
from coralvale.net.node import Node

log = logging.getLogger(__name__)


class RateLimitFilter(logging.Filter):
    """Limits the lines logged from one message in a period: an error in every request must not fill the log.

    The period is in seconds.
    """

    def __init__(self, max_lines: int = 5, period: float = 10.0) -> None:
        super().__init__()
        self.max_lines, self.period, self.period_start = max_lines, period, time.monotonic()
        self.counts: dict[object, int] = {}

    def filter(self, record: logging.LogRecord) -> bool:
        if time.monotonic() - self.period_start > self.period:
            self.period_start, self.counts = time.monotonic(), {}
        count = self.counts[record.msg] = self.counts.get(record.msg, 0) + 1
        return count <= self.max_lines


def reload(node: Node, path: str) -> None:
    """Reads the configuration file again, on SIGHUP; an invalid file changes nothing."""
    try:
        config = read_config(path)
    except ConfigError as error:
        log.error("keeping the old configuration: %s", error)
        return
    node.reload(config)


class EarlyReload:
    """Records a SIGHUP that arrives before the event loop handles signals.

    The configuration may have been read before the change that the signal announces.
    """

    def __init__(self) -> None:
        self.requested = False
        signal.signal(signal.SIGHUP, self._on_sighup)

    def _on_sighup(self, *_: object) -> None:
        self.requested = True


async def serve(config: Config, path: str, early: EarlyReload) -> None:
    loop = asyncio.get_running_loop()
    node = Node(config)
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, node.stop)
    loop.add_signal_handler(signal.SIGHUP, reload, node, path)
    node.start()
    if early.requested:
        reload(node, path)
    # Objects made at start live as long as the process: keep the garbage collector from scanning them.
    gc.collect()
    gc.freeze()
    await node.stopped
    node.close()


async def serve_until_exit(config: Config, path: str, early: EarlyReload) -> None:
    """Serves, then blocks the signals: closing the loop restores their default actions, which would kill."""
    await serve(config, path, early)
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP, signal.SIGTERM, signal.SIGINT})


def main() -> int:
    logging.basicConfig(level=logging.INFO, format="%(asctime)s %(levelname)s %(message)s", stream=sys.stderr)
    logging.getLogger().handlers[0].addFilter(RateLimitFilter())
    # With io_uring libuv starts a polling kernel thread, which uses up a CPU limit of less than a core.
    os.environ.setdefault("UV_USE_IO_URING", "0")
    early = EarlyReload()
    path = os.environ.get("LB_CONFIG")
    if not path:
        print("coralvale: LB_CONFIG is not set", file=sys.stderr)
        return 2
    try:
        uvloop.run(serve_until_exit(read_config(path), path, early))
    except ConfigError as error:
        print(f"coralvale: {error}", file=sys.stderr)
        return 2
    except OSError as error:
        print(f"coralvale: cannot start: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
