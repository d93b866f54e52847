"""Holds a process up once: from the next connection to one of some listeners, for some seconds.

Arguments: the process, the seconds, the descriptors of the listeners. A line on standard input arms it; the
answer on standard output is how long the process was held up.
"""

from __future__ import annotations

import os
import select
import signal
import sys
import time

LONGEST_WAIT_S = 2.0  # for a connection


def hold(process: int, seconds: float, listeners: list[int]) -> float:
    poll = select.poll()
    for each in listeners:
        poll.register(each, select.POLLIN)
    if not poll.poll(LONGEST_WAIT_S * 1000):
        return 0.0
    os.kill(process, signal.SIGSTOP)
    began = time.monotonic()
    try:
        time.sleep(seconds)
    finally:
        os.kill(process, signal.SIGCONT)
    return time.monotonic() - began


if __name__ == "__main__":
    if sys.stdin.readline():  # else the case has ended
        print(hold(int(sys.argv[1]), float(sys.argv[2]), [int(each) for each in sys.argv[3:]]), flush=True)
