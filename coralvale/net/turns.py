"""Shares the event loop's time among connections that have more to do than fits into one turn."""

from __future__ import annotations

import asyncio
import time
from collections import OrderedDict
from typing import Protocol

MAX_LOOP_HOLD_S = 0.005  # for which turns hold up the event loop before it serves other events


class TurnTaker(Protocol):
    """Something that works in short turns."""

    def take_turn(self) -> bool:
        """Does a bounded part of the work; returns whether there is more that can be done now."""
        ...


class TurnQueue:
    """A round-robin queue: each member gets one turn, then the next one, however much work each has.

    The event loop runs between rounds of at most `MAX_LOOP_HOLD_S` seconds and one turn.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        self._waiting: OrderedDict[TurnTaker, None] = OrderedDict()
        self._scheduled: asyncio.Handle | None = None

    def __bool__(self) -> bool:
        """Whether anyone waits for a turn."""
        return bool(self._waiting)

    def add(self, member: TurnTaker) -> None:
        """Queues a member at the end, unless it is queued already."""
        self._waiting[member] = None
        self._schedule()

    def remove(self, member: TurnTaker) -> None:
        """Takes a member out of the queue, if it is in there."""
        self._waiting.pop(member, None)

    def close(self) -> None:
        """Ends all turns."""
        self._waiting.clear()
        if self._scheduled:
            self._scheduled.cancel()

    def _schedule(self) -> None:
        if self._scheduled is None and self._waiting:
            self._scheduled = self.loop.call_soon(self._run)

    def _run(self) -> None:
        self._scheduled = None
        end = time.monotonic() + MAX_LOOP_HOLD_S
        while self._waiting:
            member, _ = self._waiting.popitem(last=False)
            if member.take_turn():
                self._waiting[member] = None
            if time.monotonic() >= end:
                break
        self._schedule()
