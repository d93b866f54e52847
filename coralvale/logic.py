"""All decisions of the gateway. The types it takes and gives are in coralvale/interface.py.

Path of a request: admission by its customer's quota, the guards, the customer's ceiling, a server.
"""

from __future__ import annotations

import math
import random
from typing import Any

from coralvale import interface as api
from coralvale.admission import Admission
from coralvale.health import LOST, NEWS, SILENCE, Host
from coralvale.interface import Idempotency, Outcome
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

TICK = 0.1  # s between looks at what is overdue: well under any delay that a client would notice
FAIL_PAUSE = 0.5  # s a failing server is passed over, doubled on each failure in a row up to four
RETRY_SHARE = 0.2  # further attempts for each request: a broad failure must not double the load
RETRY_SAVED = 0.5  # s of own traffic that further attempts saved up in calm times may match
PRESSED = 0.7  # share of the time left that the expected wait may reach
CROWD = 2.5  # times the calm delay that work may wait: past that a longer queue adds no throughput
CARRIED = 4.0  # requests that a server, of whatever size, is taken to work on at once without a queue
ILL = 4.0  # times the wait counted for an ill server, which most of a fleet may be
NEAR = 12  # servers that a gateway keeps to, so that its few attempts tell something of each
HASTE = 0.5  # share of the multiple by which a cold server is pushed over that it may get at most
FEWEST = 4  # of them drawn and compared for a request; more of both where few gateways share the fleet
MOST = 64  # of them compared at the most: the best of so many is as good as that of a thousand
SOON = 0.25  # share of the aim after which one whom a quota refused may come back: later is too late
MEMORY = 0.05  # weight of the newest of own events: twenty of them give a mean to a fifth
PATIENT = 5.0  # usual delays that an attempt is given at least: by chance one in a hundred takes longer
ROOM = 3.0  # usual delays before the aim that are kept for another attempt in place of a late one
LATE = 0.02  # s kept for that at the least: a loaded gateway may notice the late one by so much later
NOT_RUN = (Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.NOT_SENT)


class Gateway:
    """The decisions of one gateway; `handle` takes an event and returns the actions it calls for."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.settings, self.random = settings, random.Random(seed)
        self.hosts: dict[str, Host] = {}
        self.warm, self.cold = list[Host](), list[Host]()
        self.near, self.few = list[Host](), list[Host]()  # those of the warm and the cold that it keeps to
        self.sort_at = -math.inf  # when a cold server becomes warm
        self.busy: dict[Host, None] = {}  # servers with attempts out
        self.requests: dict[str, PendingRequest] = {}
        self.usual = [
            c.latency_target / 5 for c in settings.classes
        ]  # delay of a class, learned from answers
        self.calm = list(self.usual)  # the lowest that the usual delay has lately been
        self.mean = sum(self.usual) / len(self.usual)
        self.done = EventRate(MEMORY)
        self.retries = 1.0
        self.admission = Admission(settings, self.random)
        self.step_at, self.ask_at = 0.0, 0.0
        self.refused, self.actions = RefusalLog(interval=10.0), list[api.Action]()
        self.answers: dict[type, Any] = {
            api.HostList: self._list,
            api.Request: self._arrive,
            api.AttemptDone: self._answer,
            api.StreamStarted: self._leave,
            api.RequestAbandoned: self._leave,
            api.TimerFired: self._tick,
            api.CounterReply: self._counted,
        }

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        self.actions = []
        if self.admission.started_at is None:
            self.admission.started_at, self.step_at = now, now + RATE_UPDATE_INTERVAL_S * self.random.random()
            self.actions.append(api.SetTimer(0, TICK))
            if self.settings.list_on_request:
                self.actions.append(api.FollowList())
        if answer := self.answers.get(type(event)):
            answer(now, event)
        return self.actions

    # A request comes: admission, the guards, the ceiling, a server

    def _arrive(self, now: float, request: api.Request) -> None:
        self.settings.check(request)
        restrictor = self.admission.restrictor_for(now, request)
        if now >= request.expires_at:
            return self._refuse(Refused(request, Reason.TOO_LATE, 0.0))
        self._decided(now, self.admission.decide(now, request, restrictor))
        return restrictor.record_demand(now, request.units)

    def _counted(self, now: float, event: api.CounterReply) -> None:
        if decision := self.admission.handle_reply(now, event):
            self._decided(now, decision)

    def _decided(self, now: float, decision: Decision) -> None:
        """Carries on with what admission has decided; if it is pending, the counter's reply will tell."""
        self.actions += decision.actions
        if isinstance(decision, Refused):
            self._refuse(decision)
        elif isinstance(decision, Admitted):
            self._admit(now, decision)

    def _admit(self, now: float, admitted: Admitted) -> None:
        """Sends a request that is within its quota, if guards and ceiling let it pass."""
        reservation = admitted.reservation
        request = reservation.request
        if refused := self._guard(now, request, reservation.restrictor):
            reservation.release()
            return self._refuse(refused)
        if decision := self.admission.check_ceiling(now, reservation):
            return self._decided(now, decision)
        self._sort(now)
        if (host := self._pick_cold(now) or self._pick(now)) is None:
            reservation.release()
            return self._refuse(Refused(request, Reason.NO_HOST, RATE_UPDATE_INTERVAL_S))
        reservation.charge()
        self.retries = min(1 + RETRY_SAVED * self.done.rate(now), self.retries + RETRY_SHARE)
        self.requests[request.id] = pending = PendingRequest(request, now, reservation)
        return self._send(now, pending, host)

    def _guard(self, now: float, request: api.Request, restrictor: Restrictor) -> Refused | None:
        """Why a request that is within its quota is refused all the same, and for how long."""
        usual = self.usual[request.class_index]
        if restrictor.at_open_limit():
            return Refused(request, Reason.OPEN_LIMIT, usual)
        if request.expires_at - now < usual / 2:  # an answer would hardly come in time
            return Refused(request, Reason.TOO_LATE, usual)
        if wait := self._pressed(now, request):
            return Refused(request, Reason.OVERLOAD, wait)
        return None

    def _pressed(self, now: float, request: api.Request) -> float:
        """Seconds by which the expected wait (Little's law; one more at the mean delay) is over what may be.

        Nought while less is out than the fleet carries without a queue: refusing does not help then.
        """
        usual, aim = (
            self.usual[request.class_index],
            self.settings.classes[request.class_index].latency_target,
        )
        most = min(PRESSED * min(aim, request.expires_at - now), CROWD * self.calm[request.class_index])
        counts = {h: len(h.waiting(now, self.mean)) for h in self.busy}
        well = [
            n for h, n in counts.items()
            if now >= h.retry_at and h.silence(now, self.mean) <= SILENCE * self.mean
        ]  # fmt: skip
        if 2 * len(well) < len(self.busy):  # most of a fleet does not hang by chance: that is a jam
            well = list(counts.values())
        rate, servers = self.done.rate(now), len(self.warm) + len(self.cold) - len(self.busy) + len(well)
        wait = (sum(well) + 1) / (rate + 1 / self.mean)
        # Answers late in spite of the forecast (others' load, thrashing servers, work given up) tighten both.
        tight = min(1.0, most / usual)
        if usual < most / 2 or wait * rate < CARRIED * tight * servers / self.settings.gateways:
            return 0.0
        return max(0.0, wait - most * tight)

    # Servers and their health

    def _list(self, now: float, event: api.HostList) -> None:
        if event.kind is api.ListKind.FAILED:
            self.ask_at = now + RATE_UPDATE_INTERVAL_S * (0.5 + self.random.random())
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
        self.hosts, self.sort_at = hosts, -math.inf

    def _sort(self, now: float) -> None:
        """Parts warm servers from cold ones when the list has changed or a cold one has become warm."""
        if now >= self.sort_at:
            well = [h for h in self.hosts.values() if h.info.state is api.HostState.HEALTHY]
            self.warm = [h for h in well if h.warmth(self.settings, now) >= 1]
            self.cold = [h for h in well if h.warmth(self.settings, now) < 1]
            ends = [h.info.started_at + self.settings.warm_up_time for h in self.cold]
            self.sort_at = min(ends, default=math.inf)
            self._settle()

    def _settle(self) -> None:
        """Chooses the servers to keep to: a stretch of the ring that all gateways share out evenly.

        Drawn by lot, some servers would be kept to by twice as many gateways as others, and each new draw
        would open connections to all of them. Those that fail are tried on, but do not count.
        """
        ring = sorted(self.warm + self.cold, key=lambda h: h.place)
        size = max(NEAR, 4 * len(ring) // self.settings.gateways)
        start = self.settings.index * len(ring) // self.settings.gateways
        self.near, self.few, count = [], [], 0
        for host in ring[start:] + ring[:start]:
            if count >= size and len(self.near) >= min(FEWEST, len(self.warm)):
                break
            count += host.failures < 1
            (self.near if host in self.warm else self.few).append(host)

    def _pick_cold(self, now: float) -> Host | None:
        """By lot, a cold server gets a part of own first attempts by its surest warmth."""
        # However many others are cold as well, that keeps far from what the rule on cold servers allows. No
        # short queue or saved credit counts, so hundreds of gateways add up to that share and no more.
        shares = [h.scale * h.warmth(self.settings, now) for h in self.few]
        near = sum(h.scale for h in self.near)
        most = (near + sum(h.scale for h in self.few)) / max(1.0, HASTE * self.settings.overload_multiple)
        lot = self.random.random() * max(most, near + sum(shares))
        for host, share in zip(self.few, shares, strict=True):
            if (lot := lot - share) < 0:
                return None if host.ill(now, self.mean) else host
        return None

    def _pick(self, now: float, pending: PendingRequest | None = None) -> Host | None:
        """Of some near servers drawn by lot, against herding, the one with the least expected wait."""
        pool = self.near
        if pending:  # those that are near have a connection
            pool = [h for h in self.near if self._may_go(now, pending, h)]
            pool = pool or [h for h in self.warm if self._may_go(now, pending, h)]
        drawn = min(MOST, max(FEWEST, 4 * len(self.warm) // self.settings.gateways))
        if drawn < len(pool):
            pool = self.random.choices(pool, [h.scale for h in pool], k=drawn)
        best, least = None, math.inf
        for host in pool:
            others = max(0.0, host.reported) if now - host.reported_at < READING_MAX_AGE_S / 2 else 0.0
            wait = (1 + (len(host.out) + others) / host.scale) * host.slowness(now)
            wait *= 1 + 0.1 * self.random.random() + (0.02 if host.info.zone != self.settings.zone else 0)
            # Passing over most of a fleet would drown the rest, so ill ones are put last, not left out.
            if (wait := wait * ILL if host.ill(now, self.mean) else wait) < least:
                best, least = host, wait
        return best

    def _may_go(self, now: float, pending: PendingRequest, host: Host) -> bool:
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
        self.refused.record(refused.reason)
        wait, cls = refused.wait, self.settings.classes[refused.request.class_index]
        if refused.reason in QUOTA_REASONS:  # another of the customer's gateways may have room, and in time
            wait = min(wait, cls.latency_target * SOON)
        advice = min(wait, self.settings.retry_after_limit)
        self.actions.append(api.Refuse(refused.request.id, advice))

    def _send(self, now: float, pending: PendingRequest, host: Host) -> None:
        host.out[pending.request.id, len(pending.attempts)] = now
        self.busy[host] = None
        pending.reservation.restrictor.open_attempts += 1
        pending.attempts.append(Attempt(host, now))
        self.actions.append(api.Send(pending.request.id, host.info.id, self._until(now, pending)))

    def _until(self, now: float, pending: PendingRequest) -> float:
        """How long the newest attempt may take: a late one leaves time for another, if there may be one."""
        cls, usual = (
            self.settings.classes[pending.request.class_index],
            self.usual[pending.request.class_index],
        )
        last = min(pending.request.expires_at, pending.arrived_at + cls.latency_target) - max(
            ROOM * usual, LATE
        )
        again = cls.idempotency is Idempotency.SAFE and not cls.late_worth
        again = again and len(pending.attempts) < self.settings.max_attempts and last - now >= PATIENT * usual
        return last if again else pending.request.expires_at

    def _close(self, name: str, pending: PendingRequest) -> None:
        pending.is_open = False
        if all(a.done for a in pending.attempts):
            self.requests.pop(name, None)
            if not pending.was_sent:  # the client left first, or its time was up: it has taken nothing
                pending.reservation.release()

    def _leave(self, now: float, event: api.RequestAbandoned | api.StreamStarted) -> None:
        self.admission.abandon_request(event.request)
        if pending := self.requests.get(event.request):
            self._close(event.request, pending)

    def _answer(self, now: float, event: api.AttemptDone) -> None:
        pending = self.requests.get(event.request)
        if (
            pending is None
            or not 0 <= event.attempt < len(pending.attempts)
            or pending.attempts[event.attempt].done
        ):
            return
        attempt, restrictor = pending.attempts[event.attempt], pending.reservation.restrictor
        attempt.done = True
        attempt.host.out.pop((event.request, event.attempt), None)
        if not attempt.host.out:
            self.busy.pop(attempt.host, None)
        restrictor.open_attempts -= 1
        pending.was_sent = pending.was_sent or event.outcome is not Outcome.NOT_SENT
        if event.usage is not None and 0 <= event.usage < math.inf:
            restrictor.record_usage(now, event.usage)
        plausible = 0 < (event.units or 0) <= self.settings.max_units and event.units < math.inf
        if self.settings.post_paid and plausible:  # corrects the guess
            pending.reservation.correct(event.units)
        self._learn(now, pending.request.class_index, attempt.host, event)
        if event.request_done or not pending.is_open:
            return self._close(event.request, pending)
        if event.outcome not in NOT_RUN and pending.may_have_run is None:
            pending.may_have_run = attempt
        self._sort(now)
        if self._worth_another(now, pending, event.outcome) and (host := self._pick(now, pending)):
            # No connection costs a server nothing; other failures must not double the load.
            self.retries -= event.outcome is not Outcome.CONNECT_FAILED
            return self._send(now, pending, host)
        cls = self.settings.classes[pending.request.class_index]
        harmless = cls.idempotency is Idempotency.SAFE or (
            cls.idempotency is Idempotency.KEYED and cls.dedup_scope is api.DedupScope.ALL
        )
        if harmless or pending.may_have_run is None:
            self._refuse(
                Refused(pending.request, Reason.ATTEMPTS_USED_UP, self.usual[pending.request.class_index])
            )
        else:
            self.actions.append(api.Fail(event.request))
        self._close(event.request, pending)

    def _worth_another(self, now: float, pending: PendingRequest, outcome: Outcome) -> bool:
        cls, end = self.settings.classes[pending.request.class_index], pending.request.expires_at
        end = end if cls.late_worth else min(end, pending.arrived_at + cls.latency_target)
        in_time = now + self.usual[pending.request.class_index] / 2 < end
        paid = self.retries >= 1 or outcome is Outcome.CONNECT_FAILED
        return in_time and paid and len(pending.attempts) < self.settings.max_attempts

    def _learn(self, now: float, cls: int, host: Host, event: api.AttemptDone) -> None:
        if event.outcome is Outcome.OK:
            self.done.record(now)
            # What is seldom heard of a server counts for more: one that grows slower is left before it dies.
            weight, host.slow = max(0.1, 1 - 0.5 ** ((now - host.heard_at) / NEWS)), host.slowness(now)
            host.slow += weight * (event.delay / self.usual[cls] - host.slow)
            host.answered(now)
            host.failures = 0.0 if host.failures < 1 else host.failures / 2
            self.calm[cls] = min(self.calm[cls], self.usual[cls])
            self.usual[cls] += MEMORY * (event.delay - self.usual[cls])
        elif event.outcome is Outcome.TIMEOUT:  # the delay is at least this; hung servers must not tell much
            self.usual[cls] += MEMORY * min(max(0.0, event.delay - self.usual[cls]), self.usual[cls])
            # Else only the patience was short, or, where others were answered since, the connection was bad.
            patient = event.delay >= min(self.settings.classes[cls].latency_target, LOST * self.usual[cls])
            if patient and host.heard_at < now - event.delay:
                host.failed(now, FAIL_PAUSE)
        elif event.outcome not in (Outcome.CANCELLED, Outcome.NOT_SENT):
            if event.connection_broken:
                host.broke(now, FAIL_PAUSE)
            elif event.outcome in (Outcome.FULL, Outcome.ERROR):
                host.answered(now)
                host.failed(now, FAIL_PAUSE / 4)
            else:
                host.failed(now, FAIL_PAUSE)
        self.mean = sum(self.usual) / len(self.usual)
        told = zip(self.settings.load_report_fields, event.load_report, strict=False)
        if loads := [v for name, v in told if name in ("inflight", "queue") and math.isfinite(v)]:
            host.reported, host.reported_at = max(loads), now

    def _tick(self, now: float, event: api.TimerFired) -> None:
        if event.token != 0:
            return
        self.actions += [api.SetTimer(0, TICK), *self.refused.lines(now)]
        if self.ask_at and now >= self.ask_at:
            self.ask_at = 0.0
            self.actions.append(api.FollowList() if self.settings.list_on_request else api.FetchList())
        self.calm = [c * (1 + 0.01 * TICK) for c in self.calm]
        for reply in self.admission.overdue_replies(now):
            self._counted(now, reply)
        if now >= self.step_at:
            self.step_at += RATE_UPDATE_INTERVAL_S
            self._settle()
            self.admission.update_rates(now)
