"""Connects the decision module to the network: passes it events and carries out the actions it returns.

Which host gets an attempt, whether there is another one and what is refused is up to the decision module. The
node decides alone only to protect itself and the transport: it turns away a request whose id is in use or for
which it has no room, answers a request that the module has failed to decide, ends a request at its deadline,
and does not send an attempt to an address that its host no longer has.
"""

from __future__ import annotations

import asyncio
import logging
import resource
from collections import deque
from collections.abc import Callable
from functools import partial
from typing import Any

from coralvale import Gateway
from coralvale import interface as api
from coralvale.interface import NOT_RUN, Outcome
from coralvale.net.client_connection import Exchange
from coralvale.net.clock import TIMER_RESOLUTION_S, Clock
from coralvale.net.config import Address, Config, HostInstance
from coralvale.net.counter import CounterClient
from coralvale.net.discovery import Discovery, Endpoint
from coralvale.net.memory import MemoryBudget, resident_bytes, share_out
from coralvale.net.monitor import Monitor
from coralvale.net.request import ParsedRequest
from coralvale.net.request_ids import RecentIds
from coralvale.net.response import Response
from coralvale.net.server import Server
from coralvale.net.status_log import Rejection, StatusLog
from coralvale.net.upstream import Attempt, Upstreams

log = logging.getLogger(__name__)

READY_TIMEOUT_S = 0.25  # from start to ready on the configured host list, if discovery does not respond
# From discovery's response head to ready, to apply a first message: the full list if the call had no index,
# else the changes, if there are any.
FIRST_MESSAGE_WAIT_S = 0.01
RESPONSE_MARGIN_S = 0.05  # before the client's timeout, reserved for writing the response
MAX_PROPAGATION_DELAY_S = 6.0  # within which this gateway is expected to act on a change, see `Discovery`
ACCEPT_AFTER_SIGTERM_S = 0.45  # new connections keep arriving for 0.2 to 0.4 s after SIGTERM
RECONNECT_GRACE_S = 0.25  # for clients that sent a request while their idle connection was being closed
# SIGKILL comes, at the earliest, min(longest class timeout, MAX_TIMEOUT_BEFORE_KILL_S) + KILL_DELAY_S after
# SIGTERM.
MAX_TIMEOUT_BEFORE_KILL_S = 3.0
KILL_DELAY_S = 0.7
KILL_MARGIN_S = 0.35  # left unused before the earliest SIGKILL, as the event loop may be late
FLUSH_S = 0.1  # for the last responses to be sent
DRAIN_POLL_S = 0.05  # between checks whether the drain is complete
MAX_EXTRA_POLLS = 4  # after FLUSH_S, if responses are not yet sent; both together stay within KILL_MARGIN_S
STATUS_INTERVAL_S = 10.0  # between two lines in the log on what is held and what was turned away
DEFAULT_TIMER_DELAY_S = 1.0  # for setting a timer again whose delay is not known
RECENT_ID_PERIOD_S = 30.0  # for which the id of a request that may have run is not accepted again
RECENT_IDS_PER_MB = 64  # of the memory limit, each id takes 100 to 250 bytes
RESERVED_DESCRIPTORS = 64  # for the listener, discovery, the counter, log files and the event loop


def descriptor_limit(configured: int) -> int:
    """The number of file descriptors to share out: the configured one, or the process limit if lower.

    If clients could take the last descriptor, none would be left for discovery, the counter and the hosts.
    """
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return configured if soft == resource.RLIM_INFINITY else min(configured, soft)


class PendingRequest:
    """A request, from its arrival in full until it is answered and none of its attempts is outstanding."""

    __slots__ = (
        "answered",
        "request",
        "attempts",
        "exchange",
        "expires_at",
        "may_have_run",
        "outstanding",
        "timer",
        "last_timed_out",
    )

    def __init__(self, exchange: Exchange, request: ParsedRequest, expires_at: float) -> None:
        self.exchange, self.request, self.expires_at = exchange, request, expires_at
        self.attempts: list[Attempt] = []
        self.outstanding = 0  # attempts that have not ended
        # `answered`: the client is answered or gone; `last_timed_out`: the attempt that ended last timed out.
        self.answered = self.may_have_run = self.last_timed_out = False
        self.timer: asyncio.TimerHandle | None = None


class Node:
    """One gateway: its decision module (`gateway`) with the clients, hosts, discovery and the counter."""

    def __init__(self, config: Config, clock: Clock | None = None) -> None:
        self.config, self.settings = config, config.settings
        self.clock = clock or Clock()
        self.loop = asyncio.get_running_loop()
        resident = resident_bytes()
        shares = share_out(config.memory_mb, resident)
        self.budget = MemoryBudget(shares.peers_bytes)
        self.gateway = Gateway(config.settings, config.seed, shares.max_customers)
        self.pending: dict[str, PendingRequest] = {}
        # Of requests that may have run and must not run twice: a client that has left may send its id again.
        self.recent_ids = RecentIds(RECENT_ID_PERIOD_S, round(config.memory_mb * RECENT_IDS_PER_MB))
        self.ready = False
        self.drain_deadline: float | None = None  # set by SIGTERM: when all requests must be answered
        self.listener_closed = False
        self.stopped: asyncio.Future[None] = self.loop.create_future()
        self.events: deque[api.Event] = deque()
        self.processing = False
        # Delays of the module's timers by token, to set a timer again if the module fails as it fires.
        self.timer_delays: dict[int, float] = {}
        sockets = descriptor_limit(config.sockets)
        share = (sockets - min(RESERVED_DESCRIPTORS, sockets // 4)) // 2  # for clients and for hosts each
        overflow = share // 8  # client connections on which /api only gets a 503
        self.status_log = StatusLog(STATUS_INTERVAL_S)
        self.server = Server(
            config.listen, config.settings, self, share - overflow, overflow, self.budget, self.status_log
        )
        self.monitor = Monitor(self.budget, shares, resident, self.status_log, self.server)
        self.upstreams = Upstreams(
            self.clock,
            config.connect_timeout,
            config.conn_idle,
            share,
            config.settings.load_report_fields,
            self.budget,
        )
        self.discovery = Discovery(
            config.discovery,
            config.zones,
            config.machine_types,
            self._on_list_change,
            queued_callers=config.settings.gateways if config.settings.list_on_request else 0,
            drain_grace=config.settings.drain_grace,
            max_propagation_delay=MAX_PROPAGATION_DELAY_S,
        )
        self.counter = self._make_counter(config.counter)
        self.action_handlers: dict[type, Callable[[Any], None]] = {
            api.Send: self._send,
            api.Cancel: self._cancel,
            api.Refuse: self._refuse,
            api.Fail: self._fail,
            api.SetTimer: self._set_timer,
            api.Probe: self._probe,
            api.CounterAdd: self._counter_add,
            api.FollowList: lambda _: self.discovery.follow(),
            api.FetchList: lambda _: self.discovery.refresh(),
            api.Log: lambda action: log.info("%s", action.text),
        }

    def start(self) -> None:
        self.discovery.apply(self.config.known_hosts, cached=True)
        self.discovery_task = self.loop.create_task(self.discovery.run())
        self.server.start()
        self.discovery.on_response = self._on_discovery_response
        self.loop.call_later(READY_TIMEOUT_S, self._set_ready)
        self.monitor.start(
            count_customers=lambda: self.gateway.customer_count,
            count_requests=lambda: len(self.pending),
            count_host_connections=lambda: self.upstreams.open_count,
        )

    def _on_discovery_response(self) -> None:
        self.loop.call_later(FIRST_MESSAGE_WAIT_S, self._set_ready)

    def _set_ready(self) -> None:
        self.ready = self.drain_deadline is None

    def reload(self, config: Config) -> None:
        """Applies new addresses of discovery and the counter; open connections and requests go on.

        Nothing else is reloaded: limits and settings stay as they were at start.
        """
        if config.discovery != self.discovery.address:
            log.info("discovery address is now %s", config.discovery)
            self.discovery.move(config.discovery)
        if config.counter == (self.counter.address if self.counter else None):
            return
        log.info("counter address is now %s", config.counter)
        if self.counter:
            self.counter.drain()
        self.counter = self._make_counter(config.counter)

    def _make_counter(self, address: Address | None) -> CounterClient | None:
        if address is None:
            return None
        return CounterClient(
            address, self.settings.counter_timeout, self.config.connect_timeout, self.dispatch
        )

    def close(self) -> None:
        """Closes all sockets immediately."""
        self.monitor.close()
        self.discovery_task.cancel()
        self.server.close()
        self.upstreams.close()
        if self.counter:
            self.counter.close()

    # Events in, actions out

    def dispatch(self, event: api.Event) -> None:
        """Passes an event to the decision module; one raised while an action is carried out is queued."""
        self.events.append(event)
        if self.processing:
            return
        self.processing = True
        try:
            while self.events:
                self._process(self.events.popleft())
        finally:
            self.processing = False

    def _process(self, event: api.Event) -> None:
        try:
            actions = self.gateway.handle(self.clock.now(), event)
        except Exception:
            log.exception("decision module failed on event %s", type(event).__name__)
            self._recover(event)
            return
        for action in actions:
            try:
                self.action_handlers[type(action)](action)
            except Exception:
                log.exception("cannot carry out action %r", action)

    def _recover(self, event: api.Event) -> None:
        """After the module has failed on an event: answers the request, or sets the timer again."""
        if isinstance(event, api.TimerFired):
            self._set_timer(
                api.SetTimer(event.token, self.timer_delays.get(event.token, DEFAULT_TIMER_DELAY_S))
            )
        elif isinstance(event, api.Request):
            self._reply_undecided(self.pending.get(event.id))
        elif (
            isinstance(event, api.AttemptDone)
            and (pending := self.pending.get(event.request))
            and not pending.outstanding
        ):
            self._reply_undecided(pending)

    def _reply_undecided(self, pending: PendingRequest | None) -> None:
        """Answers a request without a decision: 503 only if trying again does no harm, else 502 or 504."""
        if pending is None or pending.answered:
            return
        self.status_log.count(Rejection.UNDECIDED)
        if pending.may_have_run and not self._is_safe(pending.request):
            self._reply(pending, 504 if pending.last_timed_out else 502)
        else:
            self._reply(pending, 503, retry_after=self.settings.retry_after_limit)
        self.dispatch(api.RequestAbandoned(pending.request.id))

    def _is_safe(self, request: ParsedRequest) -> bool:
        """Whether the request's class may run any number of times."""
        return self.settings.classes[request.class_index].idempotency is api.Idempotency.SAFE

    def _reply(self, pending: PendingRequest, status: int, **response: Any) -> None:  # noqa: ANN401
        if not pending.answered:
            pending.answered = True
            pending.exchange.drop_request()
            pending.exchange.reply(status, **response)
            self._remove_if_done(pending)

    def _remove_if_done(self, pending: PendingRequest) -> None:
        if pending.answered and not pending.outstanding:
            if pending.timer:
                pending.timer.cancel()
            self.pending.pop(pending.request.id, None)
            if pending.may_have_run and not self._is_safe(pending.request):
                self.recent_ids.add(self.clock.now(), pending.request.id)
            # Breaks the reference cycle, to be freed without garbage collection.
            pending.exchange.pending_request = None
            pending.attempts.clear()
            if self.drain_deadline is not None:
                self._stop_if_drained()

    # Clients

    def handle_request(self, exchange: Exchange, request: ParsedRequest) -> None:
        # Two requests with the same id could not be told apart, and one that has run must not run again.
        if request.id in self.pending or request.id in self.recent_ids:
            self.status_log.count(Rejection.ID_IN_USE)
            log.info("request %s: id in use, or run before", request.id)
            exchange.reject(400, b"x-request-id: in use\n")
            return
        if len(self.pending) >= self.config.most_held:
            self.status_log.count(Rejection.TOO_MANY_PENDING)
            exchange.reply(503, retry_after=self.settings.retry_after_limit)
            return
        now = self.clock.now()
        timeout = min(request.timeout, self.settings.classes[request.class_index].timeout)
        expires_at = now + max(0.0, timeout - RESPONSE_MARGIN_S)
        if self.drain_deadline is not None:
            expires_at = min(expires_at, self.drain_deadline)
        pending = PendingRequest(exchange, request, expires_at)
        exchange.pending_request = pending
        self.pending[request.id] = pending
        self.dispatch(
            api.Request(
                id=request.id,
                class_index=request.class_index,
                plan_index=request.plan_index,
                customer=request.customer,
                entry_gateways=request.entry_gateways,
                expires_at=expires_at,
                units=request.units,
            )
        )
        if not pending.answered:  # under load most requests are refused immediately and need no timer
            pending.timer = self.loop.call_later(max(0.0, expires_at - now), self._expire, pending)

    def client_disconnected(self, exchange: Exchange) -> None:
        pending = exchange.pending_request
        if pending is not None and not pending.answered:
            self.status_log.count(Rejection.CLIENT_LEFT)
            pending.answered = True
            exchange.drop_request()
            self.dispatch(api.RequestAbandoned(pending.request.id))
            self._remove_if_done(pending)

    def _expire(self, pending: PendingRequest) -> None:
        """Ends the attempts of an expired request and answers it if nothing else has.

        Attempts written in full end as timed out, others as not sent.
        """
        # A drain may end before `expires_at`; no attempt of the request may be sent from now on.
        pending.expires_at = min(pending.expires_at, self.clock.now())
        for attempt in list(pending.attempts):
            if not attempt.ended:
                self.upstreams.abort_attempt(attempt, Outcome.TIMEOUT)
        self._reply_undecided(pending)

    # Actions of the decision module

    def _send(self, action: api.Send) -> None:
        pending = self.pending.get(action.request)
        if pending is None:
            log.error("decision module ordered an attempt for a request that is not pending")
            return
        now, endpoint = self.clock.now(), self.discovery.endpoints.get(action.host)
        number = len(pending.attempts)
        pending.outstanding += 1
        if endpoint is None:
            attempt = Attempt(
                action.host, ("", 0), lambda: None, partial(self._attempt_done, pending), number, now
            )
            pending.attempts.append(attempt)
            attempt.end(Outcome.NOT_SENT)
            return
        attempt_deadline = action.deadline or pending.expires_at

        def build_payload() -> bytes | None:
            if pending.exchange.connection.is_disconnected():
                self.client_disconnected(pending.exchange)
            elif pending.exchange.connection.is_behind:  # the client may have left
                self._reply_undecided(pending)
            now, deadline = self.clock.now(), min(attempt_deadline, pending.expires_at)
            write = api.AttemptWrite(action.request, number, deadline, client_waits=not pending.answered)
            if not self._is_listed(endpoint) or not self._may_write(now, write):
                return None
            return self._build_request(pending, deadline - now)

        attempt = Attempt(
            action.host, endpoint.address, build_payload, partial(self._attempt_done, pending), number, now
        )
        attempt.host_started_at = endpoint.host.started_at
        pending.attempts.append(attempt)
        if attempt_deadline < pending.expires_at - TIMER_RESOLUTION_S:
            attempt.timer = self.loop.call_later(
                max(0.0, attempt_deadline - now), self.upstreams.abort_attempt, attempt, Outcome.TIMEOUT
            )
        self.upstreams.send(attempt)

    def _is_listed(self, chosen: Endpoint) -> bool:
        """Whether the chosen host is still listed with the same start time and address."""
        endpoint = self.discovery.endpoints.get(chosen.host.id)
        return endpoint is not None and endpoint.host_instance == chosen.host_instance

    def _may_write(self, now: float, write: api.AttemptWrite) -> bool:
        """Asks the decision module; if that fails, nothing is written."""
        try:
            return self.gateway.may_write(now, write)
        except Exception:
            log.exception("decision module failed on %r", write)
            return False

    @staticmethod
    def _build_request(pending: PendingRequest, remaining: float) -> bytes:
        exchange = pending.exchange
        parts: list[bytes | bytearray] = [
            b"%b %b HTTP/1.1\r\n" % (exchange.method, exchange.target),
            exchange.forwarded_headers,
            b"X-Timeout: %.3f\r\n" % remaining,
        ]
        if exchange.body or exchange.method != b"GET":
            parts.append(b"Content-Length: %d\r\n" % len(exchange.body))
        return b"".join([*parts, b"\r\n", exchange.body])

    def _attempt_done(
        self, pending: PendingRequest, attempt: Attempt, outcome: Outcome, response: Response | None
    ) -> None:
        """Called once when an attempt ends; the first OK response goes to the client immediately."""
        pending.outstanding -= 1
        if outcome not in (Outcome.OK, Outcome.CANCELLED) and not pending.answered:
            log.info(
                "request %s: attempt %d at host %s ended as %s after %.3f s",
                pending.request.id,
                attempt.index,
                attempt.host,
                outcome.value,
                self.clock.now() - attempt.sent_at,
            )
        pending.may_have_run = pending.may_have_run or outcome not in NOT_RUN
        pending.last_timed_out = outcome is Outcome.TIMEOUT
        if outcome is Outcome.OK and response and not pending.answered:
            pending.answered = True
            pending.exchange.drop_request()
            pending.exchange.reply(200, response.body, response.headers)
        self.dispatch(
            api.AttemptDone(
                request=pending.request.id,
                attempt=attempt.index,
                outcome=outcome,
                delay=self.clock.now() - attempt.sent_at,
                request_done=pending.answered,
                usage=response.usage if response else None,
                units=response.units if response and outcome is Outcome.OK else None,
                load_report=response.load_report if response else (),
                connection_broken=attempt.connection_broken,
            )
        )
        self._remove_if_done(pending)

    def _cancel(self, action: api.Cancel) -> None:
        pending = self.pending.get(action.request)
        if (
            pending
            and 0 <= action.attempt < len(pending.attempts)
            and not pending.attempts[action.attempt].ended
        ):
            self.upstreams.abort_attempt(pending.attempts[action.attempt], Outcome.CANCELLED)

    def _refuse(self, action: api.Refuse) -> None:
        if pending := self.pending.get(action.request):
            self._reply(pending, 503, retry_after=action.retry_after)

    def _fail(self, action: api.Fail) -> None:
        if pending := self.pending.get(action.request):
            self._reply(pending, 504 if pending.last_timed_out else 502)

    def _set_timer(self, action: api.SetTimer) -> None:
        self.timer_delays[action.token] = action.delay
        self.loop.call_later(max(0.0, action.delay), self.dispatch, api.TimerFired(action.token))

    def _probe(self, action: api.Probe) -> None:
        endpoint, started_at = self.discovery.endpoints.get(action.host), self.clock.now()

        def on_end(attempt: Attempt, outcome: Outcome, response: Response | None) -> None:
            report = response.load_report if response else ()
            self.dispatch(api.ProbeDone(action.host, outcome, self.clock.now() - started_at, report))

        text = f"GET /alive HTTP/1.1\r\nHost: {action.host}\r\n\r\n".encode()
        attempt = Attempt(action.host, endpoint.address if endpoint else ("", 0), lambda: text, on_end)
        if endpoint is None:
            attempt.end(Outcome.NOT_SENT)
            return
        attempt.host_started_at = endpoint.host.started_at
        attempt.timer = self.loop.call_later(
            self.config.connect_timeout, self.upstreams.abort_attempt, attempt, Outcome.TIMEOUT
        )
        self.upstreams.send(attempt)

    def _counter_add(self, action: api.CounterAdd) -> None:
        if self.counter is None:
            self.dispatch(api.CounterReply(action.name, False, 0.0))
        else:
            self.counter.add(action.name, action.amount, action.lifetime)

    # Host list

    def _on_list_change(
        self, kind: api.ListKind, hosts: tuple[api.HostInfo, ...], retired: list[HostInstance]
    ) -> None:
        for instance in retired:
            self.upstreams.retire(instance)
        self.dispatch(api.HostList(kind, hosts))

    # Shutdown

    def stop(self) -> None:
        """Drains: accepts connections for a while longer, answers all requests it has, then stops."""
        if self.drain_deadline is not None:
            return
        log.info("draining before exit")
        self.ready = False
        drain_time = (
            min(MAX_TIMEOUT_BEFORE_KILL_S, max(c.timeout for c in self.settings.classes))
            + KILL_DELAY_S
            - KILL_MARGIN_S
        )
        self.drain_deadline = self.clock.now() + drain_time
        self.server.drain()
        self.loop.call_later(min(ACCEPT_AFTER_SIGTERM_S, drain_time), self._close_idle)
        self.loop.call_later(
            min(ACCEPT_AFTER_SIGTERM_S + RECONNECT_GRACE_S, drain_time), self._stop_accepting
        )
        self.loop.call_later(drain_time, self._end_drain)

    def _stop_accepting(self) -> None:
        if self.stopped.done():
            return
        self.listener_closed = self.server.stop_accepting()
        if not self.listener_closed:
            self.loop.call_later(DRAIN_POLL_S, self._stop_accepting)

    def _close_idle(self) -> None:
        """Closes idle connections, repeatedly until the node stops; unread requests are served first."""
        self.server.close_idle_connections()
        self._stop_if_drained()
        if not self.stopped.done():
            self.loop.call_later(DRAIN_POLL_S, self._close_idle)

    def _stop_if_drained(self) -> None:
        if self.listener_closed and not self.server.connections:
            self._set_stopped()

    def _end_drain(self) -> None:
        for pending in list(self.pending.values()):
            self._expire(pending)
        self.server.close_idle_connections()
        self.loop.call_later(FLUSH_S, self._stop_when_answered, MAX_EXTRA_POLLS)

    def _stop_when_answered(self, polls: int) -> None:
        """Stops, after some more polls if responses are not yet sent.

        A late event loop runs its overdue timers before it reads from its sockets, so FLUSH_S may have passed
        before requests that the kernel holds are read and answered.
        """
        if polls and (not self.listener_closed or self.server.has_pending_responses()):
            self.loop.call_later(DRAIN_POLL_S, self._stop_when_answered, polls - 1)
        else:
            self._set_stopped()

    def _set_stopped(self) -> None:
        if not self.stopped.done():
            self.stopped.set_result(None)
