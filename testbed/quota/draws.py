"""Seeded random draws from the ranges of a site file."""

from __future__ import annotations

from collections.abc import Sequence
from random import Random

from testbed.quota.site import Range


class RandomStream:
    """Random numbers for one purpose: what one purpose draws does not change the draws of the others."""

    def __init__(self, seed: int, purpose: str) -> None:
        self.random = Random(f"{seed}/{purpose}")

    def uniform(self, bounds: Range) -> float:
        """A value drawn uniformly from a range."""
        return self.random.uniform(bounds.low, bounds.high)

    def uniform_int(self, bounds: Range) -> int:
        """A value drawn uniformly from a range, rounded down."""
        return int(self.uniform(bounds))

    def choice(self, options: Sequence[str]) -> str:
        """One of the options, all equally likely."""
        return self.random.choice(options)
