"""How long idle connections to hosts may be reused."""

from __future__ import annotations

import math

IDLE_TIME_BUCKETS = 36  # their lower bounds go from 1 ms up, each the square root of two times the one before
CONNECT_COST = 0.2  # of opening a connection, where losing a request by reuse costs 1
LOSS_THRESHOLD = 0.5  # losses above which the idle limit is lowered: one break, 1 - CONNECT_COST, is enough
LOSS_HALF_LIFE_S = 10.0  # in which recorded losses halve


class IdleLimit:
    """How long a connection may be idle and still be reused, learned from how often reuse breaks.

    Hosts, and devices on the way to them, may close idle connections earlier than announced, in ways that are
    not seen before the next request is written. The limit is lowered only if the requests lost by reuse after
    longer idle times cost more than new connections would. A low rate of breaks at all idle times does not
    lower the limit, as new connections would break as well. All hosts share the limit, since each has too few
    samples for its own: one that closes earlier than the others goes unnoticed, or costs all of them new
    connections.
    """

    def __init__(self, maximum: float) -> None:
        self.maximum = self.current = maximum
        # By idle time before reuse: the cost of reusing connections, less that of opening new ones.
        self.losses = [0.0] * IDLE_TIME_BUCKETS

    def record(self, idle_time: float, broken: bool) -> None:
        bucket = int(2 * math.log2(max(idle_time, 0.001) / 0.001))
        self.losses[min(bucket, IDLE_TIME_BUCKETS - 1)] += (1 - CONNECT_COST) if broken else -CONNECT_COST
        if broken:
            self._update_limit()

    def decay(self, seconds: float) -> None:
        self.losses = [loss * 0.5 ** (seconds / LOSS_HALF_LIFE_S) for loss in self.losses]
        self._update_limit()

    def _update_limit(self) -> None:
        """Sets the limit to the idle time from which on reuse has lost the most."""
        total, max_loss, self.current = 0.0, LOSS_THRESHOLD, self.maximum
        for bucket in range(IDLE_TIME_BUCKETS - 1, -1, -1):
            total += self.losses[bucket]
            if total > max_loss:
                max_loss, self.current = total, min(self.maximum, 0.001 * 2 ** (bucket / 2))
