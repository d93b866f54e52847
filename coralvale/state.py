"""What the decision module keeps while it waits; nothing in this file decides anything."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any

from coralvale import interface as api
from coralvale.reservation import Reservation


class EventRate:
    """How often own events of a kind come: a running mean of the gaps, the newest weighted by `weight`."""

    def __init__(self, weight: float) -> None:
        self.weight, self.mean_gap, self.last_at = weight, math.inf, -math.inf

    def record(self, now: float) -> None:
        gap = now - self.last_at
        self.mean_gap = (
            gap if self.mean_gap == math.inf else self.mean_gap + self.weight * (gap - self.mean_gap)
        )
        self.last_at = now

    def rate(self, now: float) -> float:
        """Events a second; a gap that lasts longer than usual counts while it lasts."""
        gap = (
            self.mean_gap + self.weight * max(0.0, now - self.last_at - self.mean_gap)
            if self.mean_gap < math.inf
            else math.inf
        )
        return 1 / max(gap, 1e-3)


@dataclass(slots=True)
class Attempt:
    host: Any  # the server that it went to
    sent_at: float
    done: bool = False


@dataclass(slots=True)
class PendingRequest:
    """A request in hand, kept until it is answered and no attempt is out."""

    request: api.Request
    arrived_at: float
    reservation: Reservation
    attempts: list[Attempt] = field(default_factory=list)
    may_have_run: Attempt | None = None  # the first attempt that may have run
    is_open: bool = True
    was_sent: bool = False  # an attempt was sent, as far as is known


class Reason(StrEnum):
    """Why a request is refused, in the words of the log line."""

    ATTEMPTS_USED_UP = "attempts used up"
    CEILING = "ceiling"
    NO_HOST = "no server"
    OPEN_LIMIT = "open limit"
    OVERLOAD = "pressed"
    QUOTA = "quota"  # by this gateway's own bucket
    SHARED_QUOTA = "quota counted"  # by the shared bucket
    TOO_LATE = "too late"


QUOTA_REASONS = (Reason.QUOTA, Reason.SHARED_QUOTA)


@dataclass(frozen=True, slots=True)
class Admitted:
    """The request is within its quota; nothing is charged yet."""

    reservation: Reservation
    actions: tuple[api.Action, ...] = ()


@dataclass(frozen=True, slots=True)
class Refused:
    """The request is refused, with the seconds after which it may be worth another try."""

    request: api.Request
    reason: Reason
    wait: float
    actions: tuple[api.Action, ...] = ()


@dataclass(frozen=True, slots=True)
class Pending:
    """Nothing is decided on a request at this time; the actions are calls to the counter."""

    actions: tuple[api.Action, ...]


Decision = Admitted | Refused | Pending


class RefusalLog:
    """Counts refusals by reason for the log line that on-call staff read."""

    def __init__(self, interval: float) -> None:
        self.interval, self.due_at = interval, math.inf
        self.counts: dict[Reason, int] = {}

    def count(self, reason: Reason) -> None:
        self.counts[reason] = self.counts.get(reason, 0) + 1

    def lines(self, now: float) -> list[api.Action]:
        """The line that is due now, if any."""
        self.due_at = now + self.interval if self.due_at == math.inf else self.due_at
        if now < self.due_at:
            return []
        self.due_at += self.interval
        summary = ", ".join(f"{reason} {count}" for reason, count in sorted(self.counts.items()))
        self.counts = {}
        return [api.Log(f"refused in {self.interval:.0f} s: {summary}")] if summary else []
