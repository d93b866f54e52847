"""Load and health of a host, as one gateway knows them from its own attempts."""

from __future__ import annotations

import math
import zlib

from coralvale import interface as api

DELAY_HALF_LIFE_S = 10.0  # in which, without a response, a host's delay ratio loses half its distance from 1
# Mean delays without a response: by chance one attempt in fifty takes that long. `Host.is_unhealthy` divides
# it by the number of outstanding attempts, counting no more attempts than this same number.
SILENCE_LIMIT = 4.0
BROKEN_CONNECTION_THRESHOLD = 3  # broken connections with no response in between are a failure
LOST_THRESHOLD = 16.0  # mean delays after which an attempt sent before the host's last response is lost


class Host:
    """What this gateway knows of one host. Values that change with time are computed when they are used.

    In its methods `mean_delay` is the mean over all classes, in seconds.
    """

    def __init__(self, info: api.HostInfo, now: float) -> None:
        self.info, self.scale = info, max(info.scale, 0.01)
        self.ring_position = zlib.crc32(info.id.encode())  # the same at all gateways
        # When the outstanding attempts were sent, by request id and number, oldest first.
        self.outstanding: dict[tuple[str, int], float] = {}
        # Moving average of its delays, each divided by the mean delay of the class.
        self.delay_ratio, self.last_response_at = 1.0, now
        # Recent failures, at most 4. At each success, `Gateway._record_outcome` in coralvale/logic.py halves
        # them, or sets them to 0 if below 1. The host is avoided until `backoff_until` because of them.
        self.failures, self.backoff_until = 0.0, 0.0
        self.broken_connections = 0  # since its last response
        self.reported_load, self.load_reported_at = 0.0, -math.inf  # requests, from its load reports

    def capacity_fraction(self, settings: api.Settings, now: float) -> float:
        """Share of its full capacity that the host has at least: it warms up linearly or faster."""
        if not self.info.started_at or not settings.warm_up_time:
            return 1.0
        age = max(0.0, now - self.info.started_at) / settings.warm_up_time
        return min(1.0, settings.cold_capacity + (1 - settings.cold_capacity) * age)

    def live_attempts(self, now: float, mean_delay: float) -> list[float]:
        """When the outstanding attempts were sent, leaving out lost ones (see LOST_THRESHOLD)."""
        lost_before = now - LOST_THRESHOLD * mean_delay
        return [at for at in self.outstanding.values() if at >= lost_before or at >= self.last_response_at]

    def silent_for(self, now: float, mean_delay: float) -> float:
        """Seconds without a response while attempts have been outstanding."""
        sent_at = self.live_attempts(now, mean_delay)
        return now - max(self.last_response_at, sent_at[0]) if sent_at else 0.0

    def decayed_delay_ratio(self, now: float) -> float:
        """The delay ratio, which approaches 1 the longer ago the last response was."""
        return 1 + (self.delay_ratio - 1) * 0.5 ** ((now - self.last_response_at) / DELAY_HALF_LIFE_S)

    def is_unhealthy(self, now: float, mean_delay: float) -> bool:
        """Whether the host gives no responses in time, or bad ones, as measured by this gateway.

        The host list may list it as healthy all the same. This covers hosts that stall, crash, hang, slow
        down over time or refuse requests, which cannot be told apart.

        With n attempts outstanding, the longest healthy silence is SILENCE_LIMIT / n mean delays, and not
        less than one mean delay. A slow host is given more time, in proportion to its delay ratio. Lost
        attempts count in n, but `silent_for` leaves them out of the silence.
        """
        is_late = self.silent_for(now, mean_delay) * min(
            len(self.outstanding), SILENCE_LIMIT
        ) > SILENCE_LIMIT * mean_delay * max(1.0, self.delay_ratio)
        # When the backoff of a failing host is over, it gets one attempt at a time.
        return is_late or now < self.backoff_until or (self.failures >= 1 and bool(self.outstanding))

    def record_failure(self, now: float, backoff: float) -> None:
        """Records a failure; `backoff`, in seconds, is doubled up to four times, once per recent failure."""
        self.backoff_until = max(self.backoff_until, now + backoff * 2**self.failures)
        self.failures = min(self.failures + 1, 4)

    def record_broken_connection(self, now: float, backoff: float) -> None:
        """Records an established connection that broke; several in a row are a failure of the host.

        A single one is not: idle timeouts, resets on the path and single faults break connections to healthy
        hosts. A host that crashes breaks all its connections at the same time, or accepts no new ones, which
        is a failure in itself. Drawback: a host that resets every request but gets few of them fails three
        before it is avoided.
        """
        self.broken_connections += 1
        if self.broken_connections >= BROKEN_CONNECTION_THRESHOLD:
            self.record_failure(now, backoff)

    def record_response(self, now: float) -> None:
        """Records any response of the host, also of one that reports an error."""
        self.last_response_at, self.broken_connections = now, 0
