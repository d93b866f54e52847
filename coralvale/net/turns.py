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

    Members whose work fits into one turn do not wait for all others: of every two turns one is theirs. The
    event loop runs between rounds of at most `MAX_LOOP_HOLD_S` seconds and one turn.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        self._short: OrderedDict[TurnTaker, None] = OrderedDict()  # with work for one turn
        self._long: OrderedDict[TurnTaker, None] = OrderedDict()
        self._next_is_long = False
        self._scheduled: asyncio.Handle | None = None

    def __bool__(self) -> bool:
        """Whether anyone waits for a turn."""
        return bool(self._short or self._long)

    def add(self, member: TurnTaker, is_short: bool = False) -> None:
        """Queues a member at the end, unless it is queued already; `is_short`: one turn does all its work."""
        if member not in self._long and member not in self._short:
            (self._short if is_short else self._long)[member] = None
        self._schedule()

    def remove(self, member: TurnTaker) -> None:
        """Takes a member out of the queue, if it is in there."""
        self._short.pop(member, None)
        self._long.pop(member, None)

    def close(self) -> None:
        """Ends all turns."""
        self._short.clear()
        self._long.clear()
        if self._scheduled:
            self._scheduled.cancel()

    def _schedule(self) -> None:
        if self._scheduled is None and self:
            self._scheduled = self.loop.call_soon(self._run)

    def _run(self) -> None:
        self._scheduled = None
        end = time.monotonic() + MAX_LOOP_HOLD_S
        while self:
            member = self._take()
            if member.take_turn():
                self._long[member] = None
            if time.monotonic() >= end:
                break
        self._schedule()

    def _take(self) -> TurnTaker:
        """Removes and returns the member whose turn it is."""
        is_long = not self._short or (self._next_is_long and bool(self._long))
        self._next_is_long = not is_long
        member, _ = (self._long if is_long else self._short).popitem(last=False)
        return member
