"""Random draws from the ranges of a site file."""

from __future__ import annotations

from collections.abc import Sequence
from random import Random

from testbed.quota.site import Range


class Draw:
    """A stream of draws of its own for each purpose, so that a change to one leaves the others alone."""

    def __init__(self, seed: int, purpose: str) -> None:
        self.random = Random(f"{seed}/{purpose}")

    def within(self, bounds: Range) -> float:
        """A value drawn evenly from a range."""
        return self.random.uniform(bounds.low, bounds.high)

    def whole(self, bounds: Range) -> int:
        """A value drawn evenly from a range, rounded down."""
        return int(self.within(bounds))

    def pick(self, options: Sequence[str]) -> str:
        """One of several words, each as likely."""
        return self.random.choice(options)
