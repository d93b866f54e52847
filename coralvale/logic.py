"""All decisions of the gateway. The types it takes and gives are in coralvale/interface.py.

Path of a request: admission by its customer's quota, the guards, the customer's ceiling, a server.
"""

from __future__ import annotations

import math
import random
from typing import Any

from coralvale import interface as api
from coralvale.admission import Admission
from coralvale.health import DELAY_HALF_LIFE_S, LOST_THRESHOLD, SILENCE_LIMIT, Host
from coralvale.interface import Idempotency, Outcome
from coralvale.restrictor import QUIET, STEP, Restrictor
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
HOST_BACKOFF_S = 0.5  # how long a failing host is avoided, doubled for each further failure, up to four times
RETRY_BUDGET_RATIO = 0.2  # retries earned by each request: a broad failure must not double the load
RETRY_BUDGET_LIMIT_S = 0.5  # s of this gateway's own throughput that the saved retry budget may equal
MAX_WAIT_FRACTION = 0.7  # of the time left to answer in time that the expected wait may take
MAX_WAIT_MULTIPLE = 2.5  # baseline delays that a request may wait: a longer queue adds no throughput
ASSUMED_HOST_CONCURRENCY = 4.0  # requests that a host of any size is assumed to process without a queue
UNHEALTHY_PENALTY = 4.0  # factor on the expected wait at an unhealthy host; most of a fleet may be unhealthy
MIN_SUBSET_SIZE = 12  # hosts; larger subsets would give too few responses from each to judge it by
COLD_OVERLOAD_FRACTION = 0.5  # of `overload_multiple`, up to which a cold host may be loaded
MIN_CANDIDATES = 4  # hosts drawn and compared for a request; more where few gateways share the fleet
MAX_CANDIDATES = 64  # the best of 64 hosts is as good as the best of a thousand
QUOTA_RETRY_AFTER_FRACTION = 0.25  # of the latency target: a later retry after a quota refusal is too late
EWMA_WEIGHT = 0.05  # of the newest sample; a mean over about 20 samples
MIN_TIMEOUT_MULTIPLE = 5.0  # mean delays that an attempt is given at least; one in a hundred takes longer
RETRY_RESERVE_MULTIPLE = 3.0  # mean delays before the latency target that are reserved for a retry
MIN_RETRY_RESERVE_S = 0.02  # a loaded gateway may notice a timeout this much late
NOT_RUN = (Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.NOT_SENT)


class Gateway:
    """The decisions of one gateway; `handle` takes an event and returns the actions it calls for."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.settings, self.random = settings, random.Random(seed)
        self.hosts: dict[str, Host] = {}
        self.warm_hosts, self.cold_hosts = list[Host](), list[Host]()
        self.warm_subset, self.cold_subset = list[Host](), list[Host]()  # those in the subset
        self.classify_at = -math.inf  # when a cold server becomes warm
        self.busy_hosts: dict[Host, None] = {}  # servers with attempts out
        self.requests: dict[str, PendingRequest] = {}
        self.class_delays = [
            c.latency_target / 5 for c in settings.classes
        ]  # delay of a class, learned from answers
        self.baseline_delays = list(self.class_delays)  # the lowest that the usual delay has lately been
        self.mean_delay = sum(self.class_delays) / len(self.class_delays)
        self.throughput = EventRate(EWMA_WEIGHT)
        self.retry_budget = 1.0
        self.admission = Admission(settings, self.random)
        self.next_step_at, self.list_retry_at = 0.0, 0.0
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

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        self.actions = []
        if self.admission.born is None:
            self.admission.born, self.next_step_at = now, now + STEP * self.random.random()
            self.actions.append(api.SetTimer(0, TIMER_INTERVAL_S))
            if self.settings.list_on_request:
                self.actions.append(api.FollowList())
        if answer := self.handlers.get(type(event)):
            answer(now, event)
        return self.actions

    # A request comes: admission, the guards, the ceiling, a server

    def _on_request(self, now: float, request: api.Request) -> None:
        self.settings.check(request)
        restrictor = self.admission.restrictor(now, request)
        if now >= request.expires_at:
            return self._refuse(Refused(request, Reason.TOO_LATE, 0.0))
        self._apply_decision(now, self.admission.decide(now, request, restrictor))
        return restrictor.note(now, request.units)

    def _on_counter_reply(self, now: float, event: api.CounterReply) -> None:
        if decision := self.admission.reply(now, event):
            self._apply_decision(now, decision)

    def _apply_decision(self, now: float, decision: Decision) -> None:
        """Carries on with what admission has decided; if it is pending, the counter's reply will tell."""
        self.actions += decision.actions
        if isinstance(decision, Refused):
            self._refuse(decision)
        elif isinstance(decision, Admitted):
            self._dispatch(now, decision)

    def _dispatch(self, now: float, admitted: Admitted) -> None:
        """Sends a request that is within its quota, if guards and ceiling let it pass."""
        reservation = admitted.reservation
        request = reservation.request
        if refused := self._check_before_send(now, request, reservation.restrictor):
            reservation.release()
            return self._refuse(refused)
        if decision := self.admission.over_ceiling(now, reservation):
            return self._apply_decision(now, decision)
        self._classify_hosts(now)
        if (host := self._pick_cold_host(now) or self._pick_host(now)) is None:
            reservation.release()
            return self._refuse(Refused(request, Reason.NO_HOST, STEP))
        reservation.charge()
        self.retry_budget = min(
            1 + RETRY_BUDGET_LIMIT_S * self.throughput.rate(now), self.retry_budget + RETRY_BUDGET_RATIO
        )
        self.requests[request.id] = pending = PendingRequest(request, now, reservation)
        return self._send(now, pending, host)

    def _check_before_send(self, now: float, request: api.Request, restrictor: Restrictor) -> Refused | None:
        """Why a request that is within its quota is refused all the same, and for how long."""
        usual = self.class_delays[request.class_index]
        if restrictor.open_full():
            return Refused(request, Reason.OPEN_LIMIT, usual)
        if request.expires_at - now < usual / 2:  # an answer would hardly come in time
            return Refused(request, Reason.TOO_LATE, usual)
        if wait := self._excess_wait(now, request):
            return Refused(request, Reason.OVERLOAD, wait)
        return None

    def _excess_wait(self, now: float, request: api.Request) -> float:
        """Seconds by which the expected wait (Little's law; one more at the mean delay) is over what may be.

        Nought while less is out than the fleet carries without a queue: refusing does not help then.
        """
        usual, aim = (
            self.class_delays[request.class_index],
            self.settings.classes[request.class_index].latency_target,
        )
        most = min(
            MAX_WAIT_FRACTION * min(aim, request.expires_at - now),
            MAX_WAIT_MULTIPLE * self.baseline_delays[request.class_index],
        )
        counts = {h: len(h.live_attempts(now, self.mean_delay)) for h in self.busy_hosts}
        well = [
            n
            for h, n in counts.items()
            if now >= h.backoff_until
            and h.silent_for(now, self.mean_delay) <= SILENCE_LIMIT * self.mean_delay
        ]
        if 2 * len(well) < len(self.busy_hosts):  # most of a fleet does not hang by chance: that is a jam
            well = list(counts.values())
        rate, servers = (
            self.throughput.rate(now),
            len(self.warm_hosts) + len(self.cold_hosts) - len(self.busy_hosts) + len(well),
        )
        wait = (sum(well) + 1) / (rate + 1 / self.mean_delay)
        # Answers late in spite of the forecast (others' load, thrashing servers, work given up) tighten both.
        tight = min(1.0, most / usual)
        if (
            usual < most / 2
            or wait * rate < ASSUMED_HOST_CONCURRENCY * tight * servers / self.settings.gateways
        ):
            return 0.0
        return max(0.0, wait - most * tight)

    # Servers and their health

    def _on_host_list(self, now: float, event: api.HostList) -> None:
        if event.kind is api.ListKind.FAILED:
            self.list_retry_at = now + STEP * (0.5 + self.random.random())
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
        """Parts warm servers from cold ones when the list has changed or a cold one has become warm."""
        if now >= self.classify_at:
            well = [h for h in self.hosts.values() if h.info.state is api.HostState.HEALTHY]
            self.warm_hosts = [h for h in well if h.capacity_fraction(self.settings, now) >= 1]
            self.cold_hosts = [h for h in well if h.capacity_fraction(self.settings, now) < 1]
            ends = [h.info.started_at + self.settings.warm_up_time for h in self.cold_hosts]
            self.classify_at = min(ends, default=math.inf)
            self._choose_subset()

    def _choose_subset(self) -> None:
        """Chooses the servers to keep to: a stretch of the ring that all gateways share out evenly.

        Drawn by lot, some servers would be kept to by twice as many gateways as others, and each new draw
        would open connections to all of them. Those that fail are tried on, but do not count.
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
        """By lot, a cold server gets a part of own first attempts by its surest warmth."""
        # However many others are cold as well, that keeps far from what the rule on cold servers allows. No
        # short queue or saved credit counts, so hundreds of gateways add up to that share and no more.
        shares = [h.scale * h.capacity_fraction(self.settings, now) for h in self.cold_subset]
        near = sum(h.scale for h in self.warm_subset)
        most = (near + sum(h.scale for h in self.cold_subset)) / max(
            1.0, COLD_OVERLOAD_FRACTION * self.settings.overload_multiple
        )
        lot = self.random.random() * max(most, near + sum(shares))
        for host, share in zip(self.cold_subset, shares, strict=True):
            if (lot := lot - share) < 0:
                return None if host.is_unhealthy(now, self.mean_delay) else host
        return None

    def _pick_host(self, now: float, pending: PendingRequest | None = None) -> Host | None:
        """Of some near servers drawn by lot, against herding, the one with the least expected wait."""
        pool = self.warm_subset
        if pending:  # those that are near have a connection
            pool = [h for h in self.warm_subset if self._may_retry_on(now, pending, h)]
            pool = pool or [h for h in self.warm_hosts if self._may_retry_on(now, pending, h)]
        drawn = min(MAX_CANDIDATES, max(MIN_CANDIDATES, 4 * len(self.warm_hosts) // self.settings.gateways))
        if drawn < len(pool):
            pool = self.random.choices(pool, [h.scale for h in pool], k=drawn)
        best, least = None, math.inf
        for host in pool:
            others = max(0.0, host.reported_load) if now - host.load_reported_at < QUIET / 2 else 0.0
            wait = (1 + (len(host.outstanding) + others) / host.scale) * host.decayed_delay_ratio(now)
            wait *= 1 + 0.1 * self.random.random() + (0.02 if host.info.zone != self.settings.zone else 0)
            # Passing over most of a fleet would drown the rest, so ill ones are put last, not left out.
            if (
                wait := wait * UNHEALTHY_PENALTY if host.is_unhealthy(now, self.mean_delay) else wait
            ) < least:
                best, least = host, wait
        return best

    def _may_retry_on(self, now: float, pending: PendingRequest, host: Host) -> bool:
        """Whether a further attempt may go to this server: never to one tried, and within the key's group."""
        tried = any(a.host.info.id == host.info.id for a in pending.attempts)
        first, cls = pending.may_have_run, self.settings.classes[pending.request.class_index]
        if tried or first is None or cls.idempotency is Idempotency.SAFE:
            return not tried
        if cls.idempotency is Idempotency.UNSAFE or now >= first.sent_at + cls.key_ttl:
            return False
        if cls.dedup_scope is api.DedupScope.ZONE:
            return host.info.zone == first.host.info.zone
        return cls.dedup_scope is api.DedupScope.ALL or host.info.cell == first.host.info.cell

    # Attempts and answers

    def _refuse(self, refused: Refused) -> None:
        self.refusal_log.record(refused.reason)
        wait, cls = refused.wait, self.settings.classes[refused.request.class_index]
        if refused.reason in QUOTA_REASONS:  # another of the customer's gateways may have room, and in time
            wait = min(wait, cls.latency_target * QUOTA_RETRY_AFTER_FRACTION)
        advice = min(wait, self.settings.retry_after_limit)
        self.actions.append(api.Refuse(refused.request.id, advice))

    def _send(self, now: float, pending: PendingRequest, host: Host) -> None:
        host.outstanding[pending.request.id, len(pending.attempts)] = now
        self.busy_hosts[host] = None
        pending.reservation.restrictor.open += 1
        pending.attempts.append(Attempt(host, now))
        self.actions.append(api.Send(pending.request.id, host.info.id, self._attempt_deadline(now, pending)))

    def _attempt_deadline(self, now: float, pending: PendingRequest) -> float:
        """How long the newest attempt may take: a late one leaves time for another, if there may be one."""
        cls, usual = (
            self.settings.classes[pending.request.class_index],
            self.class_delays[pending.request.class_index],
        )
        last = min(pending.request.expires_at, pending.arrived_at + cls.latency_target) - max(
            RETRY_RESERVE_MULTIPLE * usual, MIN_RETRY_RESERVE_S
        )
        again = cls.idempotency is Idempotency.SAFE and not cls.late_worth
        again = (
            again
            and len(pending.attempts) < self.settings.max_attempts
            and last - now >= MIN_TIMEOUT_MULTIPLE * usual
        )
        return last if again else pending.request.expires_at

    def _close_request(self, name: str, pending: PendingRequest) -> None:
        pending.is_open = False
        if all(a.done for a in pending.attempts):
            self.requests.pop(name, None)
            if not pending.was_sent:  # the client left first, or its time was up: it has taken nothing
                pending.reservation.release()

    def _on_request_closed(self, now: float, event: api.RequestAbandoned | api.StreamStarted) -> None:
        self.admission.leave(event.request)
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
        restrictor.open -= 1
        pending.was_sent = pending.was_sent or event.outcome is not Outcome.NOT_SENT
        if event.usage is not None and 0 <= event.usage < math.inf:
            restrictor.hear(now, event.usage)
        plausible = 0 < (event.units or 0) <= self.settings.max_units and event.units < math.inf
        if self.settings.post_paid and plausible:  # corrects the guess
            pending.reservation.correct(event.units)
        self._record_outcome(now, pending.request.class_index, attempt.host, event)
        if event.request_done or not pending.is_open:
            return self._close_request(event.request, pending)
        if event.outcome not in NOT_RUN and pending.may_have_run is None:
            pending.may_have_run = attempt
        self._classify_hosts(now)
        if self._should_retry(now, pending, event.outcome) and (host := self._pick_host(now, pending)):
            # No connection costs a server nothing; other failures must not double the load.
            self.retry_budget -= event.outcome is not Outcome.CONNECT_FAILED
            return self._send(now, pending, host)
        cls = self.settings.classes[pending.request.class_index]
        harmless = cls.idempotency is Idempotency.SAFE or (
            cls.idempotency is Idempotency.KEYED and cls.dedup_scope is api.DedupScope.ALL
        )
        if harmless or pending.may_have_run is None:
            self._refuse(
                Refused(
                    pending.request, Reason.ATTEMPTS_USED_UP, self.class_delays[pending.request.class_index]
                )
            )
        else:
            self.actions.append(api.Fail(event.request))
        self._close_request(event.request, pending)

    def _should_retry(self, now: float, pending: PendingRequest, outcome: Outcome) -> bool:
        cls, end = self.settings.classes[pending.request.class_index], pending.request.expires_at
        end = end if cls.late_worth else min(end, pending.arrived_at + cls.latency_target)
        in_time = now + self.class_delays[pending.request.class_index] / 2 < end
        paid = self.retry_budget >= 1 or outcome is Outcome.CONNECT_FAILED
        return in_time and paid and len(pending.attempts) < self.settings.max_attempts

    def _record_outcome(self, now: float, cls: int, host: Host, event: api.AttemptDone) -> None:
        if event.outcome is Outcome.OK:
            self.throughput.record(now)
            # What is seldom heard of a server counts for more: one that grows slower is left before it dies.
            weight, host.delay_ratio = (
                max(0.1, 1 - 0.5 ** ((now - host.last_response_at) / DELAY_HALF_LIFE_S)),
                host.decayed_delay_ratio(now),
            )
            host.delay_ratio += weight * (event.delay / self.class_delays[cls] - host.delay_ratio)
            host.record_response(now)
            host.failures = 0.0 if host.failures < 1 else host.failures / 2
            self.baseline_delays[cls] = min(self.baseline_delays[cls], self.class_delays[cls])
            self.class_delays[cls] += EWMA_WEIGHT * (event.delay - self.class_delays[cls])
        elif event.outcome is Outcome.TIMEOUT:  # the delay is at least this; hung servers must not tell much
            self.class_delays[cls] += EWMA_WEIGHT * min(
                max(0.0, event.delay - self.class_delays[cls]), self.class_delays[cls]
            )
            # Else only the patience was short, or, where others were answered since, the connection was bad.
            patient = event.delay >= min(
                self.settings.classes[cls].latency_target, LOST_THRESHOLD * self.class_delays[cls]
            )
            if patient and host.last_response_at < now - event.delay:
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
        told = zip(self.settings.load_report_fields, event.load_report, strict=False)
        if loads := [v for name, v in told if name in ("inflight", "queue") and math.isfinite(v)]:
            host.reported_load, host.load_reported_at = max(loads), now

    def _on_timer(self, now: float, event: api.TimerFired) -> None:
        if event.token != 0:
            return
        self.actions += [api.SetTimer(0, TIMER_INTERVAL_S), *self.refusal_log.lines(now)]
        if self.list_retry_at and now >= self.list_retry_at:
            self.list_retry_at = 0.0
            self.actions.append(api.FollowList() if self.settings.list_on_request else api.FetchList())
        self.baseline_delays = [c * (1 + 0.01 * TIMER_INTERVAL_S) for c in self.baseline_delays]
        for reply in self.admission.overdue(now):
            self._on_counter_reply(now, reply)
        if now >= self.next_step_at:
            self.next_step_at += STEP
            self._choose_subset()
            self.admission.step(now)
