"""All decisions of the gateway; those about quotas and ceilings are made by coralvale/admission.py.

The events and actions are defined in coralvale/interface.py. A new request passes these steps in order: a
check that it has not expired, the customer's quota, the checks before sending (open limit, time left,
overload), the customer's ceiling, the choice of a host. The quota and the ceiling may have to wait for a
reply of the shared counter; after one about the ceiling's pool the checks before sending are repeated.
"""

from __future__ import annotations

import math
import random
from typing import Any

from coralvale import interface as api
from coralvale.admission import Admission
from coralvale.health import DELAY_HALF_LIFE_S, LOST_THRESHOLD, SILENCE_LIMIT, Host
from coralvale.interface import NOT_RUN, Idempotency, Outcome
from coralvale.restrictor import RATE_UPDATE_INTERVAL_S, READING_MAX_AGE_S, Restrictor
from coralvale.state import (
    QUOTA_REASONS,
    Admitted,
    Attempt,
    Decision,
    EventRate,
    PendingRequest,
    Reason,
    RefusalLog,
    Refused,
)

TIMER_INTERVAL_S = 0.1  # well under any delay that a client would notice
HOST_BACKOFF_S = 0.5  # how long a failing host is avoided; doubled once per recent failure, up to four times
RETRY_BUDGET_RATIO = 0.2  # retries that each request adds to the budget: failures must not double the load
RETRY_BUDGET_LIMIT_S = 0.5  # the budget is at most the successful responses expected in this time, plus one
MAX_WAIT_FRACTION = 0.7  # longest acceptable wait, as a fraction of the time left to respond in time
MAX_WAIT_MULTIPLE = 2.5  # longest acceptable wait, in baseline delays: a longer queue adds no throughput
ASSUMED_HOST_CONCURRENCY = 4.0  # requests that a host of any size is assumed to process without a queue
UNHEALTHY_PENALTY = 4.0  # factor on the expected wait at an unhealthy host
MIN_SUBSET_SIZE = 12  # hosts; few, so that a gateway with little traffic still learns the health of each
COLD_OVERLOAD_FRACTION = 0.5  # load that a cold host may get, as a fraction of what would overload it
MIN_CANDIDATES = 4  # hosts drawn for a request, at least; also the least number of warm hosts in a subset
MAX_CANDIDATES = 64  # hosts drawn for a request, at most: the best of 64 is as good as the best of a thousand
QUOTA_RETRY_AFTER_FRACTION = 0.25  # longest Retry-After, in latency targets: the retry must come in time
EWMA_WEIGHT = 0.05  # weight of the newest sample; the average over about 20 samples is accurate to a fifth
MIN_TIMEOUT_MULTIPLE = 5.0  # shortest early timeout, in mean delays: one attempt in a hundred takes longer
RETRY_RESERVE_MULTIPLE = 3.0  # mean delays before the latency target that are reserved for a retry
# A gateway may be held up for 0.15 s between the clock and the write; limits on time grow by 0.05 s.
KEY_WINDOW_MARGIN_S = 0.1
MIN_RETRY_RESERVE_S = 0.02  # least time reserved for a retry: a loaded gateway may notice a timeout this late


class Gateway:
    """The decisions of one gateway; `handle` takes an event and returns the actions to perform."""

    def __init__(self, settings: api.Settings, seed: int, max_customers: float = math.inf) -> None:
        """`max_customers`: how many customers' records may be kept at once."""
        self.settings, self.random = settings, random.Random(seed)
        self.hosts: dict[str, Host] = {}  # by id
        self.warm_hosts, self.cold_hosts = list[Host](), list[Host]()  # those listed as healthy
        self.warm_subset, self.cold_subset = list[Host](), list[Host]()  # those that this gateway uses
        self.classify_at = -math.inf  # when the next cold host becomes warm
        self.busy_hosts: dict[Host, None] = {}  # an ordered set: hosts with outstanding attempts
        self.requests: dict[str, PendingRequest] = {}  # by id
        # Exponentially weighted moving average of the delay in s, by class; starts with a guess.
        self.class_delays = [c.latency_target / 5 for c in settings.classes]
        self.baseline_delays = list(self.class_delays)  # recent minimum of each of them
        self.mean_delay = sum(self.class_delays) / len(self.class_delays)  # over all classes
        self.throughput = EventRate(EWMA_WEIGHT)  # successful attempts a second
        self.retry_budget = 1.0  # retries that may be sent now
        self.admission = Admission(settings, self.random, max_customers)
        # When the leak rates and the subset are next updated; when the host list is asked for again after a
        # failed call (0: no call is to be repeated).
        self.next_update_at, self.list_retry_at = 0.0, 0.0
        self.refusal_log, self.actions = RefusalLog(interval=10.0), list[api.Action]()
        self.handlers: dict[type, Any] = {
            api.HostList: self._on_host_list,
            api.Request: self._on_request,
            api.AttemptDone: self._on_attempt_done,
            api.StreamStarted: self._on_request_closed,
            api.RequestAbandoned: self._on_request_closed,
            api.TimerFired: self._on_timer,
            api.CounterReply: self._on_counter_reply,
        }

    @property
    def customer_count(self) -> int:
        """How many customers' records are kept."""
        return len(self.admission.restrictors)

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        self.actions = []
        if self.admission.started_at is None:
            self.admission.started_at, self.next_update_at = (
                now,
                now + RATE_UPDATE_INTERVAL_S * self.random.random(),
            )
            self.actions.append(api.SetTimer(0, TIMER_INTERVAL_S))
            if self.settings.list_on_request:
                self.actions.append(api.FollowList())
        if handler := self.handlers.get(type(event)):
            handler(now, event)
        return self.actions

    # New requests: quota, checks before sending, ceiling, choice of a host

    def _on_request(self, now: float, request: api.Request) -> None:
        self.settings.check(request)
        restrictor = self.admission.restrictor_for(now, request)
        if restrictor is None:
            return self._refuse(Refused(request, Reason.CUSTOMERS, RATE_UPDATE_INTERVAL_S))
        if now >= request.expires_at:
            return self._refuse(Refused(request, Reason.TOO_LATE, 0.0))
        self._apply_decision(now, self.admission.decide(now, request, restrictor))
        return restrictor.record_demand(now, request.units)

    def _on_counter_reply(self, now: float, event: api.CounterReply) -> None:
        if decision := self.admission.handle_reply(now, event):
            self._apply_decision(now, decision)

    def _apply_decision(self, now: float, decision: Decision) -> None:
        """Acts on a decision of admission; a pending one is taken up again at the counter's reply."""
        self.actions += decision.actions
        if isinstance(decision, Refused):
            self._refuse(decision)
        elif isinstance(decision, Admitted):
            self._dispatch(now, decision)

    def _dispatch(self, now: float, admitted: Admitted) -> None:
        """Sends a request that is within its quota, if it passes the other checks and a host is found."""
        reservation = admitted.reservation
        request = reservation.request
        if refused := self._check_before_send(now, request, reservation.restrictor):
            reservation.release()
            return self._refuse(refused)
        if decision := self.admission.check_ceiling(now, reservation):
            return self._apply_decision(now, decision)
        self._classify_hosts(now)
        if (host := self._pick_cold_host(now) or self._pick_host(now)) is None:
            reservation.release()
            return self._refuse(Refused(request, Reason.NO_HOST, RATE_UPDATE_INTERVAL_S))
        reservation.charge()
        self.retry_budget = min(
            1 + RETRY_BUDGET_LIMIT_S * self.throughput.rate(now), self.retry_budget + RETRY_BUDGET_RATIO
        )
        self.requests[request.id] = pending = PendingRequest(request, now, reservation)
        return self._send(now, pending, host)

    def _check_before_send(self, now: float, request: api.Request, restrictor: Restrictor) -> Refused | None:
        """Returns a refusal if a request that is within its quota must not be sent now, otherwise None."""
        delay = self.class_delays[request.class_index]
        if restrictor.at_open_limit():
            return Refused(request, Reason.OPEN_LIMIT, delay)
        if request.expires_at - now < delay / 2:  # a response would hardly arrive in time
            return Refused(request, Reason.TOO_LATE, delay)
        if wait := self._excess_wait(now, request):
            return Refused(request, Reason.OVERLOAD, wait)
        return None

    def _excess_wait(self, now: float, request: api.Request) -> float:
        """Seconds by which the expected wait exceeds the longest acceptable one, 0 if it does not.

        By Little's law the wait is the number of outstanding attempts divided by the throughput. One attempt
        is added for this request, and 1 / mean delay to the throughput, which is then above 0.

        The result is also 0 in two cases: the mean delay of the class is below half of the acceptable wait;
        or this gateway's share of the hosts can process the outstanding attempts without a queue, so that
        refusing would not shorten the delay.
        """
        delay, target = (
            self.class_delays[request.class_index],
            self.settings.classes[request.class_index].latency_target,
        )
        max_wait = min(
            MAX_WAIT_FRACTION * min(target, request.expires_at - now),
            MAX_WAIT_MULTIPLE * self.baseline_delays[request.class_index],
        )
        counts = {h: len(h.live_attempts(now, self.mean_delay)) for h in self.busy_hosts}
        responsive = [
            count
            for host, count in counts.items()
            if now >= host.backoff_until
            and host.silent_for(now, self.mean_delay) <= SILENCE_LIMIT * self.mean_delay
        ]
        # If most of the busy hosts do not respond, they are overloaded rather than hung: the attempts at all
        # busy hosts count (except lost ones).
        if 2 * len(responsive) < len(self.busy_hosts):
            responsive = list(counts.values())
        rate, hosts = (
            self.throughput.rate(now),
            len(self.warm_hosts) + len(self.cold_hosts) - len(self.busy_hosts) + len(responsive),
        )
        wait = (sum(responsive) + 1) / (rate + 1 / self.mean_delay)
        # If responses take longer than the wait predicts (load from other gateways, thrashing hosts, work on
        # abandoned requests), both the assumed concurrency and the acceptable wait are lowered.
        tightening = min(1.0, max_wait / delay)
        if (
            delay < max_wait / 2
            or wait * rate < ASSUMED_HOST_CONCURRENCY * tightening * hosts / self.settings.gateways
        ):
            return 0.0
        return max(0.0, wait - max_wait * tightening)

    # Hosts: the host list, the subset, the choice for an attempt

    def _on_host_list(self, now: float, event: api.HostList) -> None:
        if event.kind is api.ListKind.FAILED:
            self.list_retry_at = now + RATE_UPDATE_INTERVAL_S * (0.5 + self.random.random())
            return
        hosts = self.hosts if event.kind is api.ListKind.CHANGES else {}
        for info in event.hosts:
            host = self.hosts.get(info.id)
            if info.state is api.HostState.GONE:
                hosts.pop(info.id, None)
                continue
            if host is None or host.info.started_at != info.started_at:
                host = Host(info, now)
            host.info, host.scale, hosts[info.id] = info, max(info.scale, 0.01), host
        self.hosts, self.classify_at = hosts, -math.inf

    def _classify_hosts(self, now: float) -> None:
        """Splits the hosts listed as healthy into warm and cold, if the list changed or one became warm."""
        if now >= self.classify_at:
            healthy = [h for h in self.hosts.values() if h.info.state is api.HostState.HEALTHY]
            self.warm_hosts = [h for h in healthy if h.capacity_fraction(self.settings, now) >= 1]
            self.cold_hosts = [h for h in healthy if h.capacity_fraction(self.settings, now) < 1]
            warm_at = [h.info.started_at + self.settings.warm_up_time for h in self.cold_hosts]
            self.classify_at = min(warm_at, default=math.inf)
            self._choose_subset()

    def _choose_subset(self) -> None:
        """Chooses the subset of hosts that this gateway uses: a section of the ring of warm and cold hosts.

        The sections of the gateways start at even distances, so every host is in about as many subsets. If
        subsets were drawn at random, some hosts would be in twice as many as others, and each new draw would
        open connections to all its hosts. Failing hosts stay in the subset but do not count towards its size.
        """
        ring = sorted(self.warm_hosts + self.cold_hosts, key=lambda h: h.ring_position)
        size = max(MIN_SUBSET_SIZE, 4 * len(ring) // self.settings.gateways)
        start = self.settings.index * len(ring) // self.settings.gateways
        self.warm_subset, self.cold_subset, count = [], [], 0
        for host in ring[start:] + ring[:start]:
            if count >= size and len(self.warm_subset) >= min(MIN_CANDIDATES, len(self.warm_hosts)):
                break
            count += host.failures < 1
            (self.warm_subset if host in self.warm_hosts else self.cold_subset).append(host)

    def _pick_cold_host(self, now: float) -> Host | None:
        """Draws a cold host for a first attempt, by present capacity; None means to use a warm host."""
        # A cold host gets at most the share of the load that its present capacity has in the subset's total.
        # If that total is low because many hosts are cold, the draw assumes a minimum instead: a load that
        # the subset could process with all its hosts warm then gives a cold host, on average, at most
        # COLD_OVERLOAD_FRACTION of what would overload it, or its present capacity if that is more. Draws
        # depend neither on queue lengths nor on earlier draws, so this holds for all gateways together too.
        capacities = [h.scale * h.capacity_fraction(self.settings, now) for h in self.cold_subset]
        warm_capacity = sum(h.scale for h in self.warm_subset)
        min_total_capacity = (warm_capacity + sum(h.scale for h in self.cold_subset)) / max(
            1.0, COLD_OVERLOAD_FRACTION * self.settings.overload_multiple
        )
        draw = self.random.random() * max(min_total_capacity, warm_capacity + sum(capacities))
        for host, capacity in zip(self.cold_subset, capacities, strict=True):
            if (draw := draw - capacity) < 0:
                return None if host.is_unhealthy(now, self.mean_delay) else host
        return None

    def _pick_host(self, now: float, pending: PendingRequest | None = None) -> Host | None:
        """The warm host with the shortest expected wait among some drawn at random.

        The draw keeps gateways from all choosing the same host (herding). `pending` is given for a retry.
        """
        pool = self.warm_subset
        if pending:  # hosts of the subset come first: there are connections to them
            pool = [h for h in self.warm_subset if self._may_retry_on(now, pending, h)]
            pool = pool or [h for h in self.warm_hosts if self._may_retry_on(now, pending, h)]
        sample_size = min(
            MAX_CANDIDATES, max(MIN_CANDIDATES, 4 * len(self.warm_hosts) // self.settings.gateways)
        )
        if sample_size < len(pool):
            pool = self.random.choices(pool, [h.scale for h in pool], k=sample_size)
        best, min_wait = None, math.inf
        for host in pool:
            reported = (
                max(0.0, host.reported_load) if now - host.load_reported_at < READING_MAX_AGE_S / 2 else 0.0
            )
            wait = (1 + (len(host.outstanding) + reported) / host.scale) * host.decayed_delay_ratio(now)
            wait *= 1 + 0.1 * self.random.random() + (0.02 if host.info.zone != self.settings.zone else 0)
            # Hosts that are unhealthy by this gateway's measurements rank lower but are not excluded: if most
            # hosts are unhealthy, the others could not take all requests.
            if (
                wait := wait * UNHEALTHY_PENALTY if host.is_unhealthy(now, self.mean_delay) else wait
            ) < min_wait:
                best, min_wait = host, wait
        return best

    def _may_retry_on(self, now: float, pending: PendingRequest, host: Host) -> bool:
        """Whether a retry may go to this host.

        No host is tried twice. If the request may have run, it depends on its class: a safe request may go to
        any other host; a keyed one only to hosts that recognise its key, while they remember it; an unsafe
        one is not retried.
        """
        was_tried = any(a.host.info.id == host.info.id for a in pending.attempts)
        return not was_tried and self._class_allows(now, pending, host)

    def _class_allows(self, now: float, pending: PendingRequest, host: Host) -> bool:
        """Whether the request's class allows an attempt at this host, after those that may have run."""
        first, cls = pending.may_have_run, self.settings.classes[pending.request.class_index]
        if first is None or cls.idempotency is Idempotency.SAFE:
            return True
        window_end = first.sent_at + cls.key_ttl - KEY_WINDOW_MARGIN_S
        if cls.idempotency is Idempotency.UNSAFE or now >= window_end:
            return False
        if cls.dedup_scope is api.DedupScope.ZONE:
            return host.info.zone == first.host.info.zone
        return cls.dedup_scope is api.DedupScope.ALL or host.info.cell == first.host.info.cell

    # Attempts and their outcomes

    def may_write(self, now: float, write: api.AttemptWrite) -> bool:
        """Whether what was decided when an attempt was ordered still holds as it is about to be written.

        Since then it may have waited for a connection. Its client must still wait, its time not be over, its
        host still be the one that was chosen and not drain, and a key still be remembered.
        """
        pending = self.requests.get(write.request)
        if pending is None or not pending.is_open or not write.client_waits or now >= write.deadline:
            return False
        host = pending.attempts[write.attempt].host
        is_listed = self.hosts.get(host.info.id) is host and host.info.state is api.HostState.HEALTHY
        return is_listed and self._class_allows(now, pending, host)

    def _refuse(self, refused: Refused) -> None:
        self.refusal_log.record(refused.reason)
        wait, cls = refused.wait, self.settings.classes[refused.request.class_index]
        if refused.reason in QUOTA_REASONS:  # another gateway may admit the retry, if it comes in time
            wait = min(wait, cls.latency_target * QUOTA_RETRY_AFTER_FRACTION)
        retry_after = min(wait, self.settings.retry_after_limit)
        self.actions.append(api.Refuse(refused.request.id, retry_after))

    def _send(self, now: float, pending: PendingRequest, host: Host) -> None:
        host.outstanding[pending.request.id, len(pending.attempts)] = now
        self.busy_hosts[host] = None
        pending.reservation.restrictor.open_attempts += 1
        pending.attempts.append(Attempt(host, now))
        self.actions.append(api.Send(pending.request.id, host.info.id, self._attempt_deadline(now, pending)))

    def _attempt_deadline(self, now: float, pending: PendingRequest) -> float:
        """When the newest attempt times out: as the request expires, or earlier to leave time for a retry."""
        cls, delay = (
            self.settings.classes[pending.request.class_index],
            self.class_delays[pending.request.class_index],
        )
        early = min(pending.request.expires_at, pending.arrived_at + cls.latency_target) - max(
            RETRY_RESERVE_MULTIPLE * delay, MIN_RETRY_RESERVE_S
        )
        # After a timeout the request may have run, so only a safe one can be retried at any other host. If a
        # late response has some worth, the attempt may take until the request expires.
        may_retry = cls.idempotency is Idempotency.SAFE and not cls.late_worth
        may_retry = (
            may_retry
            and len(pending.attempts) < self.settings.max_attempts
            and early - now >= MIN_TIMEOUT_MULTIPLE * delay
        )
        return early if may_retry else pending.request.expires_at

    def _close_request(self, request_id: str, pending: PendingRequest) -> None:
        pending.is_open = False
        if all(a.done for a in pending.attempts):
            self.requests.pop(request_id, None)
            if not pending.was_sent:  # the client left or the time ran out first: no host has had the request
                pending.reservation.release()

    def _on_request_closed(self, now: float, event: api.RequestAbandoned | api.StreamStarted) -> None:
        """Handles a request that gets no further attempt: its client has left or has been answered.

        A streamed response counts as the answer once its first part has gone to the client, since no other
        response can replace it.
        """
        self.admission.abandon_request(event.request)
        if pending := self.requests.get(event.request):
            self._close_request(event.request, pending)

    def _on_attempt_done(self, now: float, event: api.AttemptDone) -> None:
        pending = self.requests.get(event.request)
        if (
            pending is None
            or not 0 <= event.attempt < len(pending.attempts)
            or pending.attempts[event.attempt].done
        ):
            return
        attempt, restrictor = pending.attempts[event.attempt], pending.reservation.restrictor
        attempt.done = True
        attempt.host.outstanding.pop((event.request, event.attempt), None)
        if not attempt.host.outstanding:
            self.busy_hosts.pop(attempt.host, None)
        restrictor.open_attempts -= 1
        pending.was_sent = pending.was_sent or event.outcome is not Outcome.NOT_SENT
        if event.usage is not None and 0 <= event.usage < math.inf:
            restrictor.record_usage(now, event.usage)
        plausible = 0 < (event.units or 0) <= self.settings.max_units and event.units < math.inf
        if self.settings.post_paid and plausible:  # replaces the estimate
            pending.reservation.correct(event.units)
        self._record_outcome(now, pending.request.class_index, attempt.host, event)
        if event.request_done or not pending.is_open:
            return self._close_request(event.request, pending)
        if event.outcome not in NOT_RUN and pending.may_have_run is None:
            pending.may_have_run = attempt
        self._classify_hosts(now)
        if self._should_retry(now, pending, event.outcome) and (host := self._pick_host(now, pending)):
            # A failed connect put no load on a host, so the retry is not charged to the budget.
            self.retry_budget -= event.outcome is not Outcome.CONNECT_FAILED
            return self._send(now, pending, host)
        cls = self.settings.classes[pending.request.class_index]
        is_repeatable = cls.idempotency is Idempotency.SAFE or (
            cls.idempotency is Idempotency.KEYED and cls.dedup_scope is api.DedupScope.ALL
        )
        if is_repeatable or pending.may_have_run is None:
            self._refuse(
                Refused(
                    pending.request, Reason.ATTEMPTS_USED_UP, self.class_delays[pending.request.class_index]
                )
            )
        else:
            self.actions.append(api.Fail(event.request))
        self._close_request(event.request, pending)

    def _should_retry(self, now: float, pending: PendingRequest, outcome: Outcome) -> bool:
        """Whether a retry is in time, within the retry budget and within the limit on attempts."""
        cls, deadline = self.settings.classes[pending.request.class_index], pending.request.expires_at
        deadline = deadline if cls.late_worth else min(deadline, pending.arrived_at + cls.latency_target)
        in_time = now + self.class_delays[pending.request.class_index] / 2 < deadline
        in_budget = self.retry_budget >= 1 or outcome is Outcome.CONNECT_FAILED
        return in_time and in_budget and len(pending.attempts) < self.settings.max_attempts

    def _record_outcome(self, now: float, cls: int, host: Host, event: api.AttemptDone) -> None:
        """Updates the delays, the host's health and its reported load by the outcome of an attempt."""
        if event.outcome is Outcome.OK:
            self.throughput.record(now)
            # The longer ago the last response, the more this one counts: a host that gets slower is avoided
            # before it fails, even if this gateway sends it little.
            weight, host.delay_ratio = (
                max(0.1, 1 - 0.5 ** ((now - host.last_response_at) / DELAY_HALF_LIFE_S)),
                host.decayed_delay_ratio(now),
            )
            host.delay_ratio += weight * (event.delay / self.class_delays[cls] - host.delay_ratio)
            host.record_response(now)
            host.failures = 0.0 if host.failures < 1 else host.failures / 2
            self.baseline_delays[cls] = min(self.baseline_delays[cls], self.class_delays[cls])
            self.class_delays[cls] += EWMA_WEIGHT * (event.delay - self.class_delays[cls])
        elif event.outcome is Outcome.TIMEOUT:
            # The true delay is longer than this; the increase is bounded, as the host may just hang.
            self.class_delays[cls] += EWMA_WEIGHT * min(
                max(0.0, event.delay - self.class_delays[cls]), self.class_delays[cls]
            )
            # The host has failed only if the attempt had enough time and the host has sent no response since
            # the attempt began; if it has, only the connection was bad.
            had_enough_time = event.delay >= min(
                self.settings.classes[cls].latency_target, LOST_THRESHOLD * self.class_delays[cls]
            )
            if had_enough_time and host.last_response_at < now - event.delay:
                host.record_failure(now, HOST_BACKOFF_S)
        elif event.outcome not in (Outcome.CANCELLED, Outcome.NOT_SENT):
            if event.connection_broken:
                host.record_broken_connection(now, HOST_BACKOFF_S)
            elif event.outcome in (Outcome.FULL, Outcome.ERROR):
                host.record_response(now)
                host.record_failure(now, HOST_BACKOFF_S / 4)
            else:
                host.record_failure(now, HOST_BACKOFF_S)
        self.mean_delay = sum(self.class_delays) / len(self.class_delays)
        report = zip(self.settings.load_report_fields, event.load_report, strict=False)
        if loads := [v for name, v in report if name in ("inflight", "queue") and math.isfinite(v)]:
            host.reported_load, host.load_reported_at = max(loads), now

    def _on_timer(self, now: float, event: api.TimerFired) -> None:
        if event.token != 0:
            return
        self.actions += [api.SetTimer(0, TIMER_INTERVAL_S), *self.refusal_log.lines(now)]
        if self.list_retry_at and now >= self.list_retry_at:
            self.list_retry_at = 0.0
            self.actions.append(api.FollowList() if self.settings.list_on_request else api.FetchList())
        # The baselines rise by 1% a second, so that they follow a lasting change.
        self.baseline_delays = [d * (1 + 0.01 * TIMER_INTERVAL_S) for d in self.baseline_delays]
        for reply in self.admission.overdue_replies(now):
            self._on_counter_reply(now, reply)
        if now >= self.next_update_at:
            self.next_update_at += RATE_UPDATE_INTERVAL_S
            self._choose_subset()
            self.admission.customers.begin_update()
        self.admission.customers.update_rates(now)
