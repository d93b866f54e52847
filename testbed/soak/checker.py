"""Checks the record of a run against rules that gateways must keep.

The record holds what clients, hosts, discovery and counter saw; nothing is taken from the gateways but the
errors in their logs. The time limits are those of the protocol. They are extended by injected stalls and by
lags of the test's event loop within them, as the gateway causes neither.
"""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import StrEnum

from testbed.soak import record as r
from testbed.soak.plan import MAX_COUNTER_TIMEOUT_S

LATE_RESPONSE_GRACE_S = 0.5  # after a client's timeout, for which a response is late but no violation
ABANDON_GRACE_S = 0.1  # after a client has left, for which an attempt may still begin
TIMING_TOLERANCE_S = 0.05  # added to most time limits, as sockets take time
MAX_PROPAGATION_DELAY_S = 6.0  # after which the gateway must know a change of the host list
X_TIMEOUT_TOLERANCE_S = 0.15  # by which an attempt's X-Timeout may exceed the client's remaining time
SEND_DELAY_S = 0.15  # from a decision to the arrival at a host, in which a ceiling's store fills on
MAX_START_TIME_S = 10.0  # until a process is ready
# Beyond those at the start and those to hosts: the watch, the connections to the counter and a few more.
MAX_EXTRA_DESCRIPTORS = 8
MAX_MEMORY_GROWTH_BYTES = 24 * 2**20  # from the start of a process to the end of the load
ROUNDING_ERROR_UNITS = 1e-3  # in a sum of amounts, which have six decimals in calls


class Rule(StrEnum):
    """The rules that gateways must keep."""

    NO_RESPONSE = "no response to a request in time"
    DUPLICATE_RESPONSE = "more than one response to a request"
    WRONG_RESPONSE = "a response that no host made for this request"
    ABANDONED_REQUEST_SENT = "an attempt for a client that has left"
    DRAINING_HOST_USED = "an attempt to a draining or removed host"
    FORBIDDEN_RETRY = "a further attempt that is not allowed"
    REFUSED_AFTER_ATTEMPT = "a refusal after an attempt that may have run"
    X_TIMEOUT_TOO_LONG = "an attempt with an X-Timeout beyond the client's remaining time"
    BODY_CHANGED = "an attempt with another body than the client sent"
    CEILING_PASSED = "more units sent on than a ceiling allows"
    COUNTER_MISMATCH = "units on the counter that do not match the requests"
    NOT_READY = "a process that is not ready in time"
    CRASH = "a process that ended without a signal, or with an internal error"
    RESOURCE_LEAK = "descriptors or memory that are not released"


@dataclass(frozen=True, slots=True)
class Violation:
    rule: Rule
    subject: str  # a request, a process or a customer
    text: str

    def __str__(self) -> str:
        return f"{self.rule.name}: {self.subject}: {self.text}"


@dataclass(slots=True)
class RequestHistory:
    """All entries about one request."""

    sent: list[r.RequestSent] = field(default_factory=list)
    responses: list[r.Answered] = field(default_factory=list)
    client_left: r.ClientLeft | None = None
    connection_ends: list[r.ConnectionEnded] = field(default_factory=list)
    attempts: list[r.AttemptArrived] = field(default_factory=list)
    attempt_ends: list[r.AttemptEnded] = field(default_factory=list)

    def last_sent_before(self, at: float) -> r.RequestSent:
        """The newest entry of its sending up to a time; the first one if there is none."""
        return max((s for s in self.sent if s.at <= at), key=lambda s: s.at, default=self.sent[0])


class Checker:
    """Finds the violations in one record."""

    def __init__(self, record: r.Record) -> None:
        self.record, self.conditions = record, record.conditions
        self.delays = record.of(r.Delayed)
        self.histories = self._collect_histories()
        self.connection_floods = record.of(r.Crowded)
        self.signals = record.of(r.ProcessSignalled)

    def violations(self) -> list[Violation]:
        """All violations, in the order of the checks."""
        rules = (
            self._check_responses, self._check_retries, self._check_attempts, self._check_drains,
            self._check_counter, self._check_ceilings, self._check_processes,
        )  # fmt: skip
        return [violation for rule in rules for violation in rule()]

    def _collect_histories(self) -> dict[str, RequestHistory]:
        histories: dict[str, RequestHistory] = {}
        for sent in self.record.of(r.RequestSent):
            histories.setdefault(sent.request, RequestHistory()).sent.append(sent)
        for answered in self.record.of(r.Answered):
            histories[answered.request].responses.append(answered)
        for left in self.record.of(r.ClientLeft):
            histories[left.request].client_left = left
        for ended in self.record.of(r.ConnectionEnded):
            histories[ended.request].connection_ends.append(ended)
        for arrived in self.record.of(r.AttemptArrived):
            if arrived.request in histories:
                histories[arrived.request].attempts.append(arrived)
        for attempt_end in self.record.of(r.AttemptEnded):
            if attempt_end.request in histories:
                histories[attempt_end.request].attempt_ends.append(attempt_end)
        return histories

    def _delayed_time(self, gateway: int, begin: float, end: float) -> float:
        """Seconds between two times in which the gateway was stalled or the test's event loop was late."""
        return sum(
            max(0.0, min(end, delay.until) - max(begin, delay.at))
            for delay in self.delays
            if delay.gateway in (gateway, -1)
        )

    def _is_within(self, gateway: int, begin: float, end: float, limit: float) -> bool:
        return end - begin <= limit + self._delayed_time(gateway, begin, end)

    # Responses

    def _check_responses(self) -> Iterator[Violation]:
        for extra in self.record.of(r.ExtraAnswer):
            yield Violation(Rule.DUPLICATE_RESPONSE, extra.request, "bytes after the response")
        for request, history in self.histories.items():
            if len(history.responses) > 1:
                yield Violation(Rule.DUPLICATE_RESPONSE, request, f"{len(history.responses)} responses")
            for answered in history.responses:
                if answered.status == 200 and not answered.is_own:
                    yield Violation(Rule.WRONG_RESPONSE, request, "the body is not the one for this request")
            if reason := self._why_unanswered(history):
                yield Violation(Rule.NO_RESPONSE, request, reason)

    def _why_unanswered(self, history: RequestHistory) -> str | None:
        """Why a request has no response in time; None if it has one, or needs none."""
        last = history.sent[-1]
        end = last.at + last.patience
        if history.responses:
            answered = history.responses[0]
            if self._is_within(last.gateway, end, answered.at, LATE_RESPONSE_GRACE_S + TIMING_TOLERANCE_S):
                return None
            return f"answered {answered.at - end:.3f} s after its timeout"
        if history.client_left and history.client_left.at <= end + LATE_RESPONSE_GRACE_S:
            return None
        if self._was_killed(last, end + LATE_RESPONSE_GRACE_S) or self._was_closed_unread(history):
            return None
        how = "its connection ended" if history.connection_ends else "no response"
        return f"{how}; sent {'on a reused connection ' if last.kept else ''}to gateway {last.gateway}"

    def _was_killed(self, sent: r.RequestSent, end: float) -> bool:
        """Whether its gateway process was killed by `end`, other than in a planned restart.

        The kill may come ahead of `sent`: the client goes on until it has noticed that the process is gone.
        """
        return any(
            s.signal == "SIGKILL" and not s.planned and (s.gateway, s.start) == (sent.gateway, sent.start)
            and s.at <= end
            for s in self.signals
        )  # fmt: skip

    def _was_closed_unread(self, history: RequestHistory) -> bool:
        """Whether its connection was closed unread, while idle clients used up the gateway's descriptors."""
        last = history.sent[-1]
        is_flooded = any(
            c.gateway == last.gateway and c.at <= last.at <= c.until for c in self.connection_floods
        )
        return (
            is_flooded
            and bool(history.connection_ends)
            and not history.attempts
            and not history.connection_ends[-1].is_partial
        )

    # Attempts

    def _check_attempts(self) -> Iterator[Violation]:
        for request, history in self.histories.items():
            for attempt in history.attempts:
                sent = history.last_sent_before(attempt.at)
                if not attempt.is_whole:
                    yield Violation(Rule.BODY_CHANGED, request, f"an attempt at {attempt.host}")
                if history.client_left and not self._is_within(
                    sent.gateway,
                    history.client_left.at,
                    attempt.first_byte,
                    ABANDON_GRACE_S + TIMING_TOLERANCE_S,
                ):
                    late = attempt.first_byte - history.client_left.at
                    yield Violation(
                        Rule.ABANDONED_REQUEST_SENT,
                        request,
                        f"attempt begun {late:.3f} s after the client left",
                    )
                excess = attempt.first_byte + attempt.patience - sent.at - sent.patience
                if excess > X_TIMEOUT_TOLERANCE_S + TIMING_TOLERANCE_S + self._delayed_time(
                    sent.gateway, sent.at, attempt.at
                ):
                    yield Violation(
                        Rule.X_TIMEOUT_TOO_LONG, request, f"{excess:.3f} s beyond the client's remaining time"
                    )

    def _check_retries(self) -> Iterator[Violation]:
        for request, history in self.histories.items():
            repeat = history.sent[0].repeat
            if repeat == "safe":
                continue
            may_have_run = [a for a in history.attempts if not self._never_ran(history, a)]
            if repeat == "unsafe":
                later = [a for a in history.attempts if may_have_run and a.at > may_have_run[0].at]
                later = [a for a in later if not self._is_from_resend(history, may_have_run[0], a)]
                if later:
                    yield Violation(
                        Rule.FORBIDDEN_RETRY,
                        request,
                        f"{len(history.attempts)} attempts of an unsafe request",
                    )
                refusals = [a for a in history.responses if a.status in (429, 503)]
                if any(
                    not self._is_from_resend(history, attempt, refusal)
                    for attempt in may_have_run
                    for refusal in refusals
                ):
                    yield Violation(
                        Rule.REFUSED_AFTER_ATTEMPT, request, "refused after an attempt that may have run"
                    )
            elif may_have_run:
                first = may_have_run[0]
                for attempt in history.attempts:
                    if not self._is_within(
                        -1, first.at, attempt.at, self.conditions.key_window + TIMING_TOLERANCE_S
                    ):
                        yield Violation(
                            Rule.FORBIDDEN_RETRY, request, "attempt after its idempotency key has expired"
                        )

    def _is_from_resend(
        self, history: RequestHistory, first: r.AttemptArrived, later: r.AttemptArrived | r.Answered
    ) -> bool:
        """Whether the client resent it between the two entries, as its gateway had been killed."""
        sent, again = history.last_sent_before(first.at), history.last_sent_before(later.at)
        return again is not sent and self._was_killed(sent, again.at)

    @staticmethod
    def _never_ran(history: RequestHistory, attempt: r.AttemptArrived) -> bool:
        ends = [e for e in history.attempt_ends if e.host == attempt.host and e.at >= attempt.at]
        return bool(ends) and ends[0].never_ran

    # Draining hosts

    def _check_drains(self) -> Iterator[Violation]:
        changes = defaultdict[str, list[r.HostChanged]](list)
        for change in self.record.of(r.HostChanged):
            changes[change.host].append(change)
        notifications = defaultdict[tuple[int, str], list[r.HostTold]](list)
        for notification in self.record.of(r.HostTold):
            notifications[notification.gateway, notification.host].append(notification)
        starts = {(s.gateway, s.start): s.at for s in self.record.of(r.ProcessStarted)}
        for request, history in self.histories.items():
            for attempt in history.attempts:
                sent = history.last_sent_before(attempt.at)
                drain = self._drain_start(changes[attempt.host], attempt)
                if drain is None:
                    continue
                known_by = (
                    max(drain.known_at, starts.get((sent.gateway, sent.start), -math.inf))
                    + MAX_PROPAGATION_DELAY_S
                )
                notified_at = [
                    n.at
                    for n in notifications[sent.gateway, attempt.host]
                    if n.status != "active" and n.at >= drain.at
                ]
                begin = min([known_by, *notified_at])
                limit = self.conditions.drain_grace + TIMING_TOLERANCE_S
                if not self._is_within(sent.gateway, begin, attempt.first_byte, limit):
                    late = attempt.first_byte - begin
                    yield Violation(
                        Rule.DRAINING_HOST_USED,
                        request,
                        f"sent to {attempt.host} {late:.3f} s after its drain was known",
                    )

    @staticmethod
    def _drain_start(changes: list[r.HostChanged], attempt: r.AttemptArrived) -> r.HostChanged | None:
        """The change by which a host began to drain or was removed; None if it was active at the attempt."""
        before = [c for c in changes if c.at <= attempt.first_byte]
        if not before or before[-1].status == "active":
            return None
        first = before[-1]
        for change in reversed(before):
            if change.status == "active":
                break
            first = change
        return first

    # The counter

    def _check_counter(self) -> Iterator[Violation]:
        calls = defaultdict[int, list[r.CounterCalled]](list)
        for call in self.record.of(r.CounterCalled):
            calls[call.name >> 24].append(call)
        for customer in self.conditions.books_customers:
            added = sum(c.amount for c in calls[customer] if c.added)
            unknown = sum(abs(c.amount) for c in calls[customer] if not self._has_known_result(c))
            least = most = 0.0
            for history in self.histories.values():
                units = history.sent[0].units if history.sent[0].customer == customer else 0.0
                least += units if history.attempts else 0.0
                most += units if history.attempts or self._may_have_been_sent(history) else 0.0
            if not least - unknown - ROUNDING_ERROR_UNITS <= added <= most + unknown + ROUNDING_ERROR_UNITS:
                text = (
                    f"{added:g} units on the counter, {least:g} to {most:g} sent to hosts, "
                    f"{unknown:g} uncertain"
                )
                yield Violation(Rule.COUNTER_MISMATCH, f"customer {customer}", text)

    def _has_known_result(self, call: r.CounterCalled) -> bool:
        """Whether the gateway knows if the amount was added; around a stall or lag it may have timed out."""
        begin, end = call.at - MAX_COUNTER_TIMEOUT_S, call.at + MAX_COUNTER_TIMEOUT_S
        return call.certain and not self._delayed_time(call.gateway, begin, end)

    @staticmethod
    def _may_have_been_sent(history: RequestHistory) -> bool:
        """Whether it may have had an attempt that no host saw, as the connection to the host failed."""
        return not any(a.status == 200 for a in history.responses)

    # Ceilings

    def _check_ceilings(self) -> Iterator[Violation]:
        # The longest delays and not their sum bound how long before an arrival its gateway decided on it.
        late = max(SEND_DELAY_S, self._longest_delay(of_gateways=True)) + self._longest_delay(
            of_gateways=False
        )
        for ceiling in self.conditions.ceilings:
            level, updated_at = ceiling.burst, 0.0
            for at, units in self._first_arrivals(ceiling.customer):
                level = min(ceiling.burst, level + ceiling.rate * (at - updated_at)) - units
                updated_at = at
                if level < -ceiling.tolerance - ceiling.rate * late:
                    text = f"{level:.1f} units in its second store, {-ceiling.tolerance:g} allowed"
                    yield Violation(Rule.CEILING_PASSED, f"customer {ceiling.customer}", text)
                    break

    def _longest_delay(self, *, of_gateways: bool) -> float:
        """Seconds of the longest delay of a gateway, or else of the test's event loop."""
        return max(
            (delay.until - delay.at for delay in self.delays if (delay.gateway >= 0) is of_gateways),
            default=0.0,
        )

    def _first_arrivals(self, customer: int) -> list[tuple[float, float]]:
        """When each request of a customer first reached a host, and its units, in the order of the times."""
        return sorted(
            (min(attempt.at for attempt in history.attempts), history.sent[0].units)
            for history in self.histories.values()
            if history.attempts and history.sent[0].customer == customer
        )

    # Processes

    def _check_processes(self) -> Iterator[Violation]:
        ready = {(p.gateway, p.start): p for p in self.record.of(r.ProcessReady)}
        exits = {(p.gateway, p.start): p for p in self.record.of(r.ProcessExited)}
        signals = defaultdict[tuple[int, int], list[r.ProcessSignalled]](list)
        for signal in self.signals:
            signals[signal.gateway, signal.start].append(signal)
        for started in self.record.of(r.ProcessStarted):
            key, name = (started.gateway, started.start), f"gateway {started.gateway}.{started.start}"
            ends = [s.at for s in signals[key] if s.signal != "SIGHUP"]
            due = started.at + MAX_START_TIME_S
            if key not in ready:
                if not ends or min(ends) > due:
                    yield Violation(Rule.NOT_READY, name, "never ready")
            elif not self._is_within(started.gateway, started.at, ready[key].at, MAX_START_TIME_S):
                yield Violation(Rule.NOT_READY, name, f"ready after {ready[key].at - started.at:.1f} s")
            if key in exits and not (ends and min(ends) <= exits[key].at):
                yield Violation(Rule.CRASH, name, f"ended without a signal, code {exits[key].code}")
            killed = any(s.signal == "SIGKILL" for s in signals[key])
            if key in exits and exits[key].code != 0 and not killed:
                yield Violation(Rule.CRASH, name, f"ended with code {exits[key].code}")
        for logged in self.record.of(r.ErrorLogged):
            yield Violation(Rule.CRASH, f"gateway {logged.gateway}", logged.text)
        for at_rest in self.record.of(r.ProcessRested):
            at_start, name = (
                ready[at_rest.gateway, at_rest.start],
                f"gateway {at_rest.gateway}.{at_rest.start}",
            )
            extra = at_rest.descriptors - at_start.descriptors - at_rest.host_connections
            if extra > MAX_EXTRA_DESCRIPTORS:
                yield Violation(
                    Rule.RESOURCE_LEAK,
                    name,
                    f"{extra} more descriptors than at its start, besides those to hosts",
                )
            if at_rest.memory - at_start.memory > MAX_MEMORY_GROWTH_BYTES:
                grown = (at_rest.memory - at_start.memory) / 2**20
                yield Violation(Rule.RESOURCE_LEAK, name, f"{grown:.0f} MB more memory than at its start")


def check(record: r.Record) -> list[Violation]:
    """All violations in a record."""
    return Checker(record).violations()
