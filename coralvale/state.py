"""State that the decision module keeps between events; this file makes no decisions."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any

from coralvale import interface as api
from coralvale.reservation import Reservation


class EventRate:
    """Rate of events, from an exponentially weighted moving average of the gaps between them.

    `weight` is that of the newest gap.
    """

    def __init__(self, weight: float) -> None:
        self.weight, self.mean_gap, self.last_at = weight, math.inf, -math.inf

    def record(self, now: float) -> None:
        gap = now - self.last_at
        self.mean_gap = (
            gap if self.mean_gap == math.inf else self.mean_gap + self.weight * (gap - self.mean_gap)
        )
        self.last_at = now

    def rate(self, now: float) -> float:
        """Events a second; a current gap that exceeds the mean already lowers the rate."""
        gap = (
            self.mean_gap + self.weight * max(0.0, now - self.last_at - self.mean_gap)
            if self.mean_gap < math.inf
            else math.inf
        )
        return 1 / max(gap, 1e-3)


@dataclass(slots=True)
class Attempt:
    """One attempt of a request, outstanding until it is done."""

    host: Any  # the `Host` that it was sent to
    sent_at: float
    done: bool = False


@dataclass(slots=True)
class PendingRequest:
    """A request, kept until it is answered and none of its attempts is outstanding."""

    request: api.Request
    arrived_at: float
    reservation: Reservation
    attempts: list[Attempt] = field(default_factory=list)
    may_have_run: Attempt | None = None  # the first attempt that may have run
    is_open: bool = True  # not answered, and the client has not left
    was_sent: bool = False  # an attempt was sent to a host, as far as is known


class Reason(StrEnum):
    """Why a request is refused, as written in the log line."""

    ATTEMPTS_USED_UP = "attempts used up"  # also no time, retry budget or host left for a retry
    CEILING = "ceiling"
    CUSTOMERS = "customers"  # no room for a new one
    NO_HOST = "no server"
    OPEN_LIMIT = "open limit"
    OVERLOAD = "pressed"  # the expected wait for a host is too long
    QUOTA = "quota"  # by this gateway's own bucket
    SHARED_QUOTA = "quota counted"  # by the bucket on the shared counter
    TOO_LATE = "too late"


QUOTA_REASONS = (Reason.QUOTA, Reason.SHARED_QUOTA)


@dataclass(frozen=True, slots=True)
class Admitted:
    """The request is within its quota; nothing is charged yet."""

    reservation: Reservation
    actions: tuple[api.Action, ...] = ()


@dataclass(frozen=True, slots=True)
class Refused:
    """The request is refused; `wait` is the time in seconds after which a retry may succeed."""

    request: api.Request
    reason: Reason
    wait: float
    actions: tuple[api.Action, ...] = ()


@dataclass(frozen=True, slots=True)
class Pending:
    """The decision awaits the shared counter's reply; the actions are the calls to it."""

    actions: tuple[api.Action, ...]


Decision = Admitted | Refused | Pending


class RefusalLog:
    """Counts refusals by reason and summarises them in a log line every `interval` seconds."""

    def __init__(self, interval: float) -> None:
        self.interval, self.due_at = interval, math.inf
        self.counts: dict[Reason, int] = {}

    def record(self, reason: Reason) -> None:
        self.counts[reason] = self.counts.get(reason, 0) + 1

    def lines(self, now: float) -> list[api.Action]:
        """The log line, if it is due and there were refusals."""
        self.due_at = now + self.interval if self.due_at == math.inf else self.due_at
        if now < self.due_at:
            return []
        self.due_at += self.interval
        summary = ", ".join(f"{reason} {count}" for reason, count in sorted(self.counts.items()))
        self.counts = {}
        return [api.Log(f"refused in {self.interval:.0f} s: {summary}")] if summary else []
