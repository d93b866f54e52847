"""What the node itself turns away or closes, and why; written to the log with what it holds."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping
from enum import StrEnum

from coralvale.net.memory import ShedStep


class Rejection(StrEnum):
    """Why the node has answered a request without asking the decision module, or closed a connection."""

    ID_IN_USE = "id in use or run before"
    INVALID = "invalid"
    CLIENT_BEHIND = "much unread behind it"
    CONNECTION_LIMIT = "connection limit"
    TOO_MANY_PENDING = "too many pending"
    MEMORY = "memory"
    STALLED = "stalled for another client"
    NOT_RECEIVED_IN_TIME = "not received in time"
    NOT_READ_IN_TIME = "response not read in time"
    CLIENT_LEFT = "client left"
    UNDECIDED = "no answer in time"


class StatusLog:
    """Counts what happened since the last line; `lines` gives the next ones and starts anew."""

    def __init__(self, interval: float) -> None:
        """`interval`: seconds between two lines, as they state it."""
        self.interval = interval
        self.rejections = Counter[Rejection]()

    def count(self, rejection: Rejection) -> None:
        self.rejections[rejection] += 1

    def lines(self, held: Mapping[str, float], shed: Mapping[ShedStep, int]) -> list[str]:
        """A line on what is `held`, by its name, and one on what was turned away or `shed`, if any was."""
        lines = ["held: " + ", ".join(f"{name} {value:g}" for name, value in held.items())]
        counts: dict[str, int] = {reason.value: count for reason, count in self.rejections.items()}
        counts |= {f"shed {step.value}": count for step, count in shed.items()}
        if counts:
            summary = ", ".join(f"{name} {count}" for name, count in sorted(counts.items()))
            lines.append(f"closed or turned away in {self.interval:g} s: {summary}")
        self.rejections.clear()
        return lines
