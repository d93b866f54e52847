"""What a gateway knows of one server's load and health, from its own attempts alone."""

from __future__ import annotations

import math
import zlib

from coralvale import interface as api

DELAY_HALF_LIFE_S = 10.0  # in which half of what is known of a host's delay is forgotten
SILENCE_LIMIT = 4.0  # mean delays without a response; by chance one attempt in fifty takes that long
BROKEN_CONNECTION_THRESHOLD = 3  # in a row without a response, after which the host counts as failing
LOST_THRESHOLD = 16.0  # mean delays after which an attempt that later ones have overtaken counts as lost


class Host:
    """What this gateway knows of one server; all of it is computed from `now` when it is used."""

    def __init__(self, info: api.HostInfo, now: float) -> None:
        self.info, self.scale = info, max(info.scale, 0.01)
        self.ring_position = zlib.crc32(info.id.encode())  # on the ring that all gateways see alike
        self.outstanding: dict[tuple[str, int], float] = {}  # attempts out, oldest first
        self.delay_ratio, self.last_response_at = 1.0, now  # its delay over the fleet's for the same class
        self.failures, self.backoff_until = 0.0, 0.0
        self.broken_connections = 0  # connections that broke since its last answer
        self.reported_load, self.load_reported_at = 0.0, -math.inf

    def capacity_fraction(self, settings: api.Settings, now: float) -> float:
        """Share of its full capacity that a server surely has: never slower than evenly over the ramp."""
        if not self.info.started_at or not settings.warm_up_time:
            return 1.0
        age = max(0.0, now - self.info.started_at) / settings.warm_up_time
        return min(1.0, settings.cold_capacity + (1 - settings.cold_capacity) * age)

    def live_attempts(self, now: float, mean_delay: float) -> list[float]:
        """When the attempts out were sent, but for lost ones: long overdue, and later ones were answered."""
        lost = now - LOST_THRESHOLD * mean_delay
        return [at for at in self.outstanding.values() if at >= lost or at >= self.last_response_at]

    def silent_for(self, now: float, mean_delay: float) -> float:
        """Seconds for which it has left attempts without any answer."""
        waiting = self.live_attempts(now, mean_delay)
        return now - max(self.last_response_at, waiting[0]) if waiting else 0.0

    def decayed_delay_ratio(self, now: float) -> float:
        return 1 + (self.delay_ratio - 1) * 0.5 ** ((now - self.last_response_at) / DELAY_HALF_LIFE_S)

    def is_unhealthy(self, now: float, mean_delay: float) -> bool:
        """Stalled, crashed, hung, ageing and refusing servers look alike: no answers in time, or bad ones."""
        late = self.silent_for(now, mean_delay) * min(
            len(self.outstanding), SILENCE_LIMIT
        ) > SILENCE_LIMIT * mean_delay * max(1.0, self.delay_ratio)
        # After a failure the host gets one attempt at a time.
        return late or now < self.backoff_until or (self.failures >= 1 and bool(self.outstanding))

    def record_failure(self, now: float, backoff: float) -> None:
        self.backoff_until = max(self.backoff_until, now + backoff * 2**self.failures)
        self.failures = min(self.failures + 1, 4)

    def record_broken_connection(self, now: float, backoff: float) -> None:
        """A lost connection is no lost server: idle limits, resets on the way and single faults break some.

        A server that dies breaks all that is out at once, or takes no new connection: that is `failed`. This
        does harm where one resets all that it is sent but is sent little: it has cost three attempts by then.
        """
        self.broken_connections += 1
        if self.broken_connections >= BROKEN_CONNECTION_THRESHOLD:
            self.record_failure(now, backoff)

    def record_response(self, now: float) -> None:
        self.last_response_at, self.broken_connections = now, 0
