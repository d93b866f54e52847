"""The rules, held against the record of a run: both ends, never the gateway's own words.

Each limit is the protocol's. On top of it come the stalls that were injected and the lags of the harness
while the limit ran, as neither is the gateway's doing.
"""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import StrEnum

from testbed.soak import record as r

LATE_RESPONSE_GRACE_S = 0.5  # s after a client's time in which an answer only earns nothing
ABANDON_GRACE_S = 0.1  # s after a client's end in which an attempt may still begin
TIMING_TOLERANCE_S = 0.05  # s by which limits in time are wider on sockets
MAX_PROPAGATION_DELAY_S = 6.0  # s after which what discovery has counts as told
X_TIMEOUT_TOLERANCE_S = 0.15  # s that an attempt may tell its host over what is left to the client
MAX_START_TIME_S = 10.0  # s
MAX_EXTRA_DESCRIPTORS = (
    8  # descriptors over those at the start and those to hosts: the watch, the counter, a few
)
MAX_MEMORY_GROWTH_BYTES = 24 * 2**20  # bytes over those at the start that a run may leave behind
ROUNDING_ERROR_UNITS = 1e-3  # units, as calls have six digits behind the point


class Rule(StrEnum):
    """What a violation breaks."""

    NO_RESPONSE = "a request without its final answer in time"
    DUPLICATE_RESPONSE = "more than one final answer"
    WRONG_RESPONSE = "an answer that no host made for this request"
    ABANDONED_REQUEST_SENT = "an attempt for a client that has gone"
    DRAINING_HOST_USED = "an attempt to a host that drains or was removed"
    FORBIDDEN_RETRY = "a further attempt where that is not allowed"
    REFUSED_AFTER_ATTEMPT = "a refusal of what may have run"
    X_TIMEOUT_TOO_LONG = "a host told of more time than is left"
    COUNTER_MISMATCH = "units on the counter that do not balance"
    NOT_READY = "a process that is not ready in time"
    CRASH = "a process that ended or failed on its own"
    RESOURCE_LEAK = "descriptors or memory that do not go back"


@dataclass(frozen=True, slots=True)
class Violation:
    rule: Rule
    subject: str  # a request, a process or a customer
    text: str

    def __str__(self) -> str:
        return f"{self.rule.name}: {self.subject}: {self.text}"


@dataclass(slots=True)
class RequestHistory:
    """All that was seen of one request."""

    sent: list[r.RequestSent] = field(default_factory=list)
    answers: list[r.Answered] = field(default_factory=list)
    left: r.ClientLeft | None = None
    ended: list[r.ConnectionEnded] = field(default_factory=list)
    attempts: list[r.AttemptArrived] = field(default_factory=list)
    attempt_ends: list[r.AttemptEnded] = field(default_factory=list)

    def last_sent_before(self, at: float) -> r.RequestSent:
        """The newest sending ahead of a time."""
        return max((s for s in self.sent if s.at <= at), key=lambda s: s.at, default=self.sent[0])


class Checker:
    """Looks for violations in one record."""

    def __init__(self, record: r.Record) -> None:
        self.record, self.conditions = record, record.conditions
        self.delays = record.of(r.Delayed)
        self.histories = self._collect_histories()
        self.connection_floods = record.of(r.Crowded)
        self.signals = record.of(r.ProcessSignalled)

    def violations(self) -> list[Violation]:
        """All that the record shows, by rule."""
        rules = (
            self._check_responses, self._check_retries, self._check_attempts, self._check_drains,
            self._check_counter, self._check_processes,
        )  # fmt: skip
        return [violation for rule in rules for violation in rule()]

    def _collect_histories(self) -> dict[str, RequestHistory]:
        histories: dict[str, RequestHistory] = {}
        for sent in self.record.of(r.RequestSent):
            histories.setdefault(sent.request, RequestHistory()).sent.append(sent)
        for answered in self.record.of(r.Answered):
            histories[answered.request].answers.append(answered)
        for left in self.record.of(r.ClientLeft):
            histories[left.request].left = left
        for ended in self.record.of(r.ConnectionEnded):
            histories[ended.request].ended.append(ended)
        for arrived in self.record.of(r.AttemptArrived):
            if arrived.request in histories:
                histories[arrived.request].attempts.append(arrived)
        for attempt_end in self.record.of(r.AttemptEnded):
            if attempt_end.request in histories:
                histories[attempt_end.request].attempt_ends.append(attempt_end)
        return histories

    def _delayed_time(self, gateway: int, begin: float, end: float) -> float:
        """Seconds in which the gateway, or the harness, was held up between two times."""
        return sum(
            max(0.0, min(end, delay.until) - max(begin, delay.at))
            for delay in self.delays
            if delay.gateway in (gateway, -1)
        )

    def _is_within(self, gateway: int, begin: float, end: float, limit: float) -> bool:
        return end - begin <= limit + self._delayed_time(gateway, begin, end)

    # Answers

    def _check_responses(self) -> Iterator[Violation]:
        for extra in self.record.of(r.ExtraAnswer):
            yield Violation(Rule.DUPLICATE_RESPONSE, extra.request, "bytes behind the answer")
        for name, history in self.histories.items():
            if len(history.answers) > 1:
                yield Violation(Rule.DUPLICATE_RESPONSE, name, f"{len(history.answers)} answers")
            for answered in history.answers:
                if answered.status == 200 and not answered.is_own:
                    yield Violation(Rule.WRONG_RESPONSE, name, "another request's body, or none")
            if reason := self._why_unanswered(history):
                yield Violation(Rule.NO_RESPONSE, name, reason)

    def _why_unanswered(self, history: RequestHistory) -> str | None:
        """Why a request is lost, if it is."""
        last = history.sent[-1]
        end = last.at + last.patience
        if history.answers:
            answered = history.answers[0]
            if self._is_within(last.gateway, end, answered.at, LATE_RESPONSE_GRACE_S + TIMING_TOLERANCE_S):
                return None
            return f"answered {answered.at - end:.3f} s after its time"
        if history.left and history.left.at <= end + LATE_RESPONSE_GRACE_S:
            return None
        if self._was_killed(last, end + LATE_RESPONSE_GRACE_S) or self._was_closed_unread(history):
            return None
        how = "its connection ended" if history.ended else "no answer"
        return f"{how}; sent {'on a kept connection ' if last.kept else ''}to gateway {last.gateway}"

    def _was_killed(self, sent: r.RequestSent, end: float) -> bool:
        """Whether its process was killed under it, and not at the end of a planned restart."""
        return any(
            s.signal == "SIGKILL" and not s.planned and (s.gateway, s.start) == (sent.gateway, sent.start)
            and sent.at <= s.at <= end
            for s in self.signals
        )  # fmt: skip

    def _was_closed_unread(self, history: RequestHistory) -> bool:
        """Whether its new connection was shut in a crowd, with nothing read of it."""
        last = history.sent[-1]
        crowded = any(
            c.gateway == last.gateway and c.at <= last.at <= c.until for c in self.connection_floods
        )
        return crowded and bool(history.ended) and not history.attempts and not history.ended[-1].is_partial

    # Attempts

    def _check_attempts(self) -> Iterator[Violation]:
        for name, history in self.histories.items():
            for attempt in history.attempts:
                sent = history.last_sent_before(attempt.at)
                if history.left and not self._is_within(
                    sent.gateway, history.left.at, attempt.first_byte, ABANDON_GRACE_S + TIMING_TOLERANCE_S
                ):
                    late = attempt.first_byte - history.left.at
                    yield Violation(
                        Rule.ABANDONED_REQUEST_SENT, name, f"begun {late:.3f} s after its client left"
                    )
                excess = attempt.first_byte + attempt.patience - sent.at - sent.patience
                if excess > X_TIMEOUT_TOLERANCE_S + TIMING_TOLERANCE_S + self._delayed_time(
                    sent.gateway, sent.at, attempt.at
                ):
                    yield Violation(Rule.X_TIMEOUT_TOO_LONG, name, f"{excess:.3f} s over what was left")

    def _check_retries(self) -> Iterator[Violation]:
        for name, history in self.histories.items():
            repeat = history.sent[0].repeat
            if repeat == "safe":
                continue
            may_have_run = [a for a in history.attempts if not self._never_ran(history, a)]
            if repeat == "unsafe":
                later = [a for a in history.attempts if may_have_run and a.at > may_have_run[0].at]
                later = [a for a in later if not self._is_from_resend(history, may_have_run[0], a)]
                if later:
                    yield Violation(
                        Rule.FORBIDDEN_RETRY, name, f"{len(history.attempts)} attempts of an unsafe request"
                    )
                if may_have_run and any(a.status in (429, 503) for a in history.answers):
                    yield Violation(
                        Rule.REFUSED_AFTER_ATTEMPT, name, "refused after an attempt that may have run"
                    )
            elif may_have_run:
                first = may_have_run[0]
                for attempt in history.attempts:
                    if not self._is_within(
                        -1, first.at, attempt.at, self.conditions.key_window + TIMING_TOLERANCE_S
                    ):
                        yield Violation(Rule.FORBIDDEN_RETRY, name, "beyond the window of its key")

    def _is_from_resend(
        self, history: RequestHistory, first: r.AttemptArrived, later: r.AttemptArrived
    ) -> bool:
        """Whether the client sent it once more between the two, as its gateway was killed without a word."""
        sent, again = history.last_sent_before(first.at), history.last_sent_before(later.at)
        return again is not sent and self._was_killed(sent, again.at)

    @staticmethod
    def _never_ran(history: RequestHistory, attempt: r.AttemptArrived) -> bool:
        ends = [e for e in history.attempt_ends if e.host == attempt.host and e.at >= attempt.at]
        return bool(ends) and ends[0].never_ran

    # Hosts that drain

    def _check_drains(self) -> Iterator[Violation]:
        changes = defaultdict[str, list[r.HostChanged]](list)
        for change in self.record.of(r.HostChanged):
            changes[change.host].append(change)
        told = defaultdict[tuple[int, str], list[r.HostTold]](list)
        for notice in self.record.of(r.HostTold):
            told[notice.gateway, notice.host].append(notice)
        starts = {(s.gateway, s.start): s.at for s in self.record.of(r.ProcessStarted)}
        for name, history in self.histories.items():
            for attempt in history.attempts:
                sent = history.last_sent_before(attempt.at)
                left = self._drain_start(changes[attempt.host], attempt)
                if left is None:
                    continue
                known = (
                    max(left.known_at, starts.get((sent.gateway, sent.start), -math.inf))
                    + MAX_PROPAGATION_DELAY_S
                )
                notices = [
                    n.at for n in told[sent.gateway, attempt.host] if n.status != "active" and n.at >= left.at
                ]
                begin = min([known, *notices])
                limit = self.conditions.drain_grace + TIMING_TOLERANCE_S
                if not self._is_within(sent.gateway, begin, attempt.first_byte, limit):
                    late = attempt.first_byte - begin
                    yield Violation(
                        Rule.DRAINING_HOST_USED,
                        name,
                        f"sent to {attempt.host} {late:.3f} s after it was told",
                    )

    @staticmethod
    def _drain_start(changes: list[r.HostChanged], attempt: r.AttemptArrived) -> r.HostChanged | None:
        """The change by which a host began to drain, if it was draining or removed at the attempt."""
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
                text = f"{added:g} units on the counter, {least:g} to {most:g} sent on, {unknown:g} uncertain"
                yield Violation(Rule.COUNTER_MISMATCH, f"customer {customer}", text)

    def _has_known_result(self, call: r.CounterCalled) -> bool:
        """Whether the gateway knew what became of a call; held up, it may have given up first."""
        return (
            call.certain
            and not self._delayed_time(call.gateway, call.at - 0.5, call.at + 0.5) > ABANDON_GRACE_S
        )

    @staticmethod
    def _may_have_been_sent(history: RequestHistory) -> bool:
        """An attempt that no host saw may have been made: to a host that took no connection."""
        return not any(a.status == 200 for a in history.answers)

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
                yield Violation(Rule.CRASH, name, f"ended by itself, code {exits[key].code}")
            killed = any(s.signal == "SIGKILL" for s in signals[key])
            if key in exits and exits[key].code != 0 and not killed:
                yield Violation(Rule.CRASH, name, f"ended with code {exits[key].code}")
        for logged in self.record.of(r.ErrorLogged):
            yield Violation(Rule.CRASH, f"gateway {logged.gateway}", logged.text)
        for rested in self.record.of(r.ProcessRested):
            begun, name = ready[rested.gateway, rested.start], f"gateway {rested.gateway}.{rested.start}"
            kept = rested.descriptors - begun.descriptors - rested.host_connections
            if kept > MAX_EXTRA_DESCRIPTORS:
                yield Violation(Rule.RESOURCE_LEAK, name, f"{kept} descriptors more than it began with")
            if rested.memory - begun.memory > MAX_MEMORY_GROWTH_BYTES:
                grown = (rested.memory - begun.memory) / 2**20
                yield Violation(Rule.RESOURCE_LEAK, name, f"{grown:.0f} MB more than it began with")


def check(record: r.Record) -> list[Violation]:
    """All violations that a record shows."""
    return Checker(record).violations()
