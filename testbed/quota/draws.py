"""Random draws from the ranges of a site file."""

from __future__ import annotations

from collections.abc import Sequence
from random import Random

from testbed.quota.site import Range


class RandomStream:
    """A stream of draws of its own for each purpose, so that a change to one leaves the others alone."""

    def __init__(self, seed: int, purpose: str) -> None:
        self.random = Random(f"{seed}/{purpose}")

    def uniform(self, bounds: Range) -> float:
        """A value drawn evenly from a range."""
        return self.random.uniform(bounds.low, bounds.high)

    def uniform_int(self, bounds: Range) -> int:
        """A value drawn evenly from a range, rounded down."""
        return int(self.uniform(bounds))

    def choice(self, options: Sequence[str]) -> str:
        """One of several words, each as likely."""
        return self.random.choice(options)
