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

LATE_ANSWER = 0.5  # s after a client's time in which an answer only earns nothing
GONE_CLIENT = 0.1  # s after a client's end in which an attempt may still begin
SOCKET_SLACK = 0.05  # s by which limits in time are wider on sockets
TOLD_WITHIN = 6.0  # s after which what discovery has counts as told
TIME_TOLD = 0.15  # s that an attempt may tell its host over what is left to the client
READY_WITHIN = 10.0  # s
CONNECTIONS_KEPT = 8  # descriptors over those at the start and those to hosts: the watch, the counter, a few
MEMORY_KEPT = 24 * 2**20  # bytes over those at the start that a run may leave behind
ROUNDING = 1e-3  # units, as calls have six digits behind the point


class Rule(StrEnum):
    """What a violation breaks."""

    LOST = "a request without its final answer in time"
    ANSWERED_TWICE = "more than one final answer"
    WRONG_ANSWER = "an answer that no host made for this request"
    AFTER_CLIENT = "an attempt for a client that has gone"
    DRAIN = "an attempt to a host that drains or was removed"
    REPEATED = "a further attempt where that is not allowed"
    FALSE_REFUSAL = "a refusal of what may have run"
    TIME_TOLD = "a host told of more time than is left"
    BOOKS = "units on the counter that do not balance"
    READY = "a process that is not ready in time"
    CRASH = "a process that ended or failed on its own"
    RESOURCES = "descriptors or memory that do not go back"


@dataclass(frozen=True, slots=True)
class Violation:
    rule: Rule
    subject: str  # a request, a process or a customer
    text: str

    def __str__(self) -> str:
        return f"{self.rule.name}: {self.subject}: {self.text}"


@dataclass(slots=True)
class Story:
    """All that was seen of one request."""

    sent: list[r.RequestSent] = field(default_factory=list)
    answers: list[r.Answered] = field(default_factory=list)
    left: r.ClientLeft | None = None
    ended: list[r.ConnectionEnded] = field(default_factory=list)
    attempts: list[r.AttemptArrived] = field(default_factory=list)
    attempt_ends: list[r.AttemptEnded] = field(default_factory=list)

    def sent_before(self, at: float) -> r.RequestSent:
        """The newest sending ahead of a time."""
        return max((s for s in self.sent if s.at <= at), key=lambda s: s.at, default=self.sent[0])


class Checker:
    """Looks for violations in one record."""

    def __init__(self, record: r.Record) -> None:
        self.record, self.conditions = record, record.conditions
        self.delays = record.of(r.Delayed)
        self.stories = self._stories()
        self.crowds = record.of(r.Crowded)
        self.signals = record.of(r.ProcessSignalled)

    def violations(self) -> list[Violation]:
        """All that the record shows, by rule."""
        rules = (
            self._answers, self._repeats, self._attempts, self._drains, self._books, self._processes,
        )  # fmt: skip
        return [violation for rule in rules for violation in rule()]

    def _stories(self) -> dict[str, Story]:
        stories: dict[str, Story] = {}
        for sent in self.record.of(r.RequestSent):
            stories.setdefault(sent.request, Story()).sent.append(sent)
        for answered in self.record.of(r.Answered):
            stories[answered.request].answers.append(answered)
        for left in self.record.of(r.ClientLeft):
            stories[left.request].left = left
        for ended in self.record.of(r.ConnectionEnded):
            stories[ended.request].ended.append(ended)
        for arrived in self.record.of(r.AttemptArrived):
            if arrived.request in stories:
                stories[arrived.request].attempts.append(arrived)
        for attempt_end in self.record.of(r.AttemptEnded):
            if attempt_end.request in stories:
                stories[attempt_end.request].attempt_ends.append(attempt_end)
        return stories

    def _delay(self, gateway: int, begin: float, end: float) -> float:
        """Seconds in which the gateway, or the harness, was held up between two times."""
        return sum(
            max(0.0, min(end, delay.until) - max(begin, delay.at))
            for delay in self.delays
            if delay.gateway in (gateway, -1)
        )

    def _within(self, gateway: int, begin: float, end: float, limit: float) -> bool:
        return end - begin <= limit + self._delay(gateway, begin, end)

    # Answers

    def _answers(self) -> Iterator[Violation]:
        for extra in self.record.of(r.ExtraAnswer):
            yield Violation(Rule.ANSWERED_TWICE, extra.request, "bytes behind the answer")
        for name, story in self.stories.items():
            if len(story.answers) > 1:
                yield Violation(Rule.ANSWERED_TWICE, name, f"{len(story.answers)} answers")
            for answered in story.answers:
                if answered.status == 200 and not answered.is_own:
                    yield Violation(Rule.WRONG_ANSWER, name, "another request's body, or none")
            if reason := self._lost(story):
                yield Violation(Rule.LOST, name, reason)

    def _lost(self, story: Story) -> str | None:
        """Why a request is lost, if it is."""
        last = story.sent[-1]
        end = last.at + last.patience
        if story.answers:
            answered = story.answers[0]
            if self._within(last.gateway, end, answered.at, LATE_ANSWER + SOCKET_SLACK):
                return None
            return f"answered {answered.at - end:.3f} s after its time"
        if story.left and story.left.at <= end + LATE_ANSWER:
            return None
        if self._was_killed(last, end + LATE_ANSWER) or self._was_unread(story):
            return None
        how = "its connection ended" if story.ended else "no answer"
        return f"{how}; sent {'on a kept connection ' if last.kept else ''}to gateway {last.gateway}"

    def _was_killed(self, sent: r.RequestSent, end: float) -> bool:
        """Whether its process was killed under it, and not at the end of a planned restart."""
        return any(
            s.signal == "SIGKILL" and not s.planned and (s.gateway, s.start) == (sent.gateway, sent.start)
            and sent.at <= s.at <= end
            for s in self.signals
        )  # fmt: skip

    def _was_unread(self, story: Story) -> bool:
        """Whether its new connection was shut in a crowd, with nothing read of it."""
        last = story.sent[-1]
        crowded = any(c.gateway == last.gateway and c.at <= last.at <= c.until for c in self.crowds)
        return crowded and bool(story.ended) and not story.attempts and not story.ended[-1].is_partial

    # Attempts

    def _attempts(self) -> Iterator[Violation]:
        for name, story in self.stories.items():
            for attempt in story.attempts:
                sent = story.sent_before(attempt.at)
                if story.left and not self._within(
                    sent.gateway, story.left.at, attempt.first_byte, GONE_CLIENT + SOCKET_SLACK
                ):
                    late = attempt.first_byte - story.left.at
                    yield Violation(Rule.AFTER_CLIENT, name, f"begun {late:.3f} s after its client left")
                over = attempt.first_byte + attempt.patience - sent.at - sent.patience
                if over > TIME_TOLD + SOCKET_SLACK + self._delay(sent.gateway, sent.at, attempt.at):
                    yield Violation(Rule.TIME_TOLD, name, f"{over:.3f} s over what was left")

    def _repeats(self) -> Iterator[Violation]:
        for name, story in self.stories.items():
            repeat = story.sent[0].repeat
            if repeat == "safe":
                continue
            may_have_run = [a for a in story.attempts if not self._never_ran(story, a)]
            if repeat == "unsafe":
                later = [a for a in story.attempts if may_have_run and a.at > may_have_run[0].at]
                later = [a for a in later if not self._is_of_another(story, may_have_run[0], a)]
                if later:
                    yield Violation(
                        Rule.REPEATED, name, f"{len(story.attempts)} attempts of an unsafe request"
                    )
                if may_have_run and any(a.status in (429, 503) for a in story.answers):
                    yield Violation(Rule.FALSE_REFUSAL, name, "refused after an attempt that may have run")
            elif may_have_run:
                first = may_have_run[0]
                for attempt in story.attempts:
                    if not self._within(-1, first.at, attempt.at, self.conditions.key_window + SOCKET_SLACK):
                        yield Violation(Rule.REPEATED, name, "beyond the window of its key")

    def _is_of_another(self, story: Story, first: r.AttemptArrived, later: r.AttemptArrived) -> bool:
        """Whether the client sent it once more between the two, as its gateway was killed without a word."""
        sent, again = story.sent_before(first.at), story.sent_before(later.at)
        return again is not sent and self._was_killed(sent, again.at)

    @staticmethod
    def _never_ran(story: Story, attempt: r.AttemptArrived) -> bool:
        ends = [e for e in story.attempt_ends if e.host == attempt.host and e.at >= attempt.at]
        return bool(ends) and ends[0].never_ran

    # Hosts that drain

    def _drains(self) -> Iterator[Violation]:
        changes = defaultdict[str, list[r.HostChanged]](list)
        for change in self.record.of(r.HostChanged):
            changes[change.host].append(change)
        told = defaultdict[tuple[int, str], list[r.HostTold]](list)
        for notice in self.record.of(r.HostTold):
            told[notice.gateway, notice.host].append(notice)
        starts = {(s.gateway, s.start): s.at for s in self.record.of(r.ProcessStarted)}
        for name, story in self.stories.items():
            for attempt in story.attempts:
                sent = story.sent_before(attempt.at)
                left = self._left_at(changes[attempt.host], attempt)
                if left is None:
                    continue
                known = max(left.known_at, starts.get((sent.gateway, sent.start), -math.inf)) + TOLD_WITHIN
                notices = [
                    n.at for n in told[sent.gateway, attempt.host] if n.status != "active" and n.at >= left.at
                ]
                begin = min([known, *notices])
                limit = self.conditions.drain_grace + SOCKET_SLACK
                if not self._within(sent.gateway, begin, attempt.first_byte, limit):
                    late = attempt.first_byte - begin
                    yield Violation(
                        Rule.DRAIN, name, f"sent to {attempt.host} {late:.3f} s after it was told"
                    )

    @staticmethod
    def _left_at(changes: list[r.HostChanged], attempt: r.AttemptArrived) -> r.HostChanged | None:
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

    def _books(self) -> Iterator[Violation]:
        calls = defaultdict[int, list[r.CounterCalled]](list)
        for call in self.record.of(r.CounterCalled):
            calls[call.name >> 24].append(call)
        for customer in self.conditions.books_customers:
            added = sum(c.amount for c in calls[customer] if c.added)
            unknown = sum(abs(c.amount) for c in calls[customer] if not self._is_certain(c))
            least = most = 0.0
            for story in self.stories.values():
                units = story.sent[0].units if story.sent[0].customer == customer else 0.0
                least += units if story.attempts else 0.0
                most += units if story.attempts or self._may_have_been_sent(story) else 0.0
            if not least - unknown - ROUNDING <= added <= most + unknown + ROUNDING:
                text = f"{added:g} units on the counter, {least:g} to {most:g} sent on, {unknown:g} uncertain"
                yield Violation(Rule.BOOKS, f"customer {customer}", text)

    def _is_certain(self, call: r.CounterCalled) -> bool:
        """Whether the gateway knew what became of a call; held up, it may have given up first."""
        return call.certain and not self._delay(call.gateway, call.at - 0.5, call.at + 0.5) > GONE_CLIENT

    @staticmethod
    def _may_have_been_sent(story: Story) -> bool:
        """An attempt that no host saw may have been made: to a host that took no connection."""
        return not any(a.status == 200 for a in story.answers)

    # Processes

    def _processes(self) -> Iterator[Violation]:
        ready = {(p.gateway, p.start): p for p in self.record.of(r.ProcessReady)}
        exits = {(p.gateway, p.start): p for p in self.record.of(r.ProcessExited)}
        signals = defaultdict[tuple[int, int], list[r.ProcessSignalled]](list)
        for signal in self.signals:
            signals[signal.gateway, signal.start].append(signal)
        for started in self.record.of(r.ProcessStarted):
            key, name = (started.gateway, started.start), f"gateway {started.gateway}.{started.start}"
            ends = [s.at for s in signals[key] if s.signal != "SIGHUP"]
            due = started.at + READY_WITHIN
            if key not in ready:
                if not ends or min(ends) > due:
                    yield Violation(Rule.READY, name, "never ready")
            elif not self._within(started.gateway, started.at, ready[key].at, READY_WITHIN):
                yield Violation(Rule.READY, name, f"ready after {ready[key].at - started.at:.1f} s")
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
            if kept > CONNECTIONS_KEPT:
                yield Violation(Rule.RESOURCES, name, f"{kept} descriptors more than it began with")
            if rested.memory - begun.memory > MEMORY_KEPT:
                grown = (rested.memory - begun.memory) / 2**20
                yield Violation(Rule.RESOURCES, name, f"{grown:.0f} MB more than it began with")


def check(record: r.Record) -> list[Violation]:
    """All violations that a record shows."""
    return Checker(record).violations()
