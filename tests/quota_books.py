"""Accounts of the units of one customer at one gateway, with a counter whose replies the test controls.

Whenever no call is pending, the units in the customer's counter entries, without those of fill-ups, together
with the units queued for the next call must equal the units of the requests that were sent to hosts. The same
holds for the pool of a ceiling and the requests that it admitted. A call without a usable reply may have been
added; each such call may shift the balance by the units of its request and by those that it carries besides.
"""

from __future__ import annotations

import math
from collections import Counter, deque
from dataclasses import dataclass, field, replace
from enum import Enum

from helpers import PLAN, Bench

from coralvale import interface as api
from coralvale.customers import IDLE_TIMEOUT_S
from coralvale.shared_quota import (
    COUNTER_ENTRY_ROTATION_S,
    COVERAGE_ALL_REQUESTS,
    POOL_KEY_OFFSET,
    PendingCall,
)

GATEWAYS = 40
MAX_UNITS = 8.0
COUNTER_TIMEOUT = 0.05
CUSTOMER = 1
BASIC, CEILING = range(2)  # indices of PLANS
# A burst that no test uses up: the units queued for the next call are limited to a burst.
QUOTA = replace(PLAN, rate=4.0, burst=1000.0)
PLANS = (
    QUOTA,
    replace(QUOTA, name="ceiling", ceiling_rate=100.0, ceiling_burst=200.0, ceiling_slack=20.0),
)
ROUNDING = 1e-6  # units


class CallResult(Enum):
    """How a call to the counter ends."""

    ADDED = "added"
    LATE = "answered late"  # added, but answered after the caller's timeout
    LOST = "lost"  # not added, which the caller cannot know
    REJECTED = "rejected"  # with a 503: certainly not added
    INVALID = "invalid total"  # added, but the answer is not a number
    NOT_WRITTEN = "not written"  # connection closed before the call was written: certainly not added

    @property
    def is_added(self) -> bool:
        return self in (CallResult.ADDED, CallResult.LATE, CallResult.INVALID)

    @property
    def is_uncertain(self) -> bool:
        """Whether the gateway cannot know if the call was added."""
        return self in (CallResult.LATE, CallResult.LOST, CallResult.INVALID)


class Purpose(Enum):
    """What a call to the counter is for."""

    REQUEST = "a new request"
    CLIENT_LEFT = "a request whose client has left"
    TAKE_BACK = "taking units back"
    FILL_UP = "a fill-up"
    POOL = "a pool"


@dataclass(slots=True)
class UnansweredCall:
    """A call that the counter has not answered, and the gateway's record of it."""

    action: api.CounterAdd
    record: PendingCall
    undoes_fill_up: bool
    request_units: float  # of the request that it was made for; 0 if there is none
    changes: set[str] = field(default_factory=set)  # what has changed since it was made

    @property
    def is_pool(self) -> bool:
        return self.record.bucket.is_pool

    @property
    def is_fill_up(self) -> bool:
        return self.record.is_fill_up or self.undoes_fill_up

    @property
    def uncertainty(self) -> float:
        """Units by which the balance may be off if it is not known whether the call was added."""
        return self.request_units + abs(self.action.amount - self.request_units)

    @property
    def purpose(self) -> Purpose:
        if self.is_fill_up:
            return Purpose.FILL_UP
        if self.is_pool and self.record.request:
            return Purpose.POOL
        if self.record.request:
            return Purpose.REQUEST
        return Purpose.TAKE_BACK if self.action.amount < 0 else Purpose.CLIENT_LEFT


@dataclass(slots=True)
class Account:
    """Units in all counter entries of a quota, or of a pool, over all rotations."""

    totals: dict[int, float] = field(default_factory=dict)  # by name of the entry
    by_others: float = 0.0  # added by other gateways
    fill_ups: float = 0.0  # added by fill-ups that were not undone
    uncertain: float = 0.0  # by which calls that may have been added may shift the balance

    @property
    def own_total(self) -> float:
        return sum(self.totals.values()) - self.by_others - self.fill_ups


@dataclass(slots=True)
class TrackedRequest:
    """A request as seen by its client and the hosts."""

    units: float
    plan: int
    entries: int
    by_pool: bool = False  # admitted by a reply of the pool
    attempts: int = 0
    attempt_out: bool = False
    reached_host: bool = False
    ended: bool = False  # answered, or its client has left

    @property
    def is_sent(self) -> bool:
        return self.attempt_out or self.reached_host


class LedgerBench(Bench):
    """A gateway whose calls to the counter stay pending until the test decides on their result."""

    def __init__(self, seed: int = 1, **changes: object) -> None:
        # By name of the entry, in the order in which they are answered.
        self.calls: dict[int, deque[UnansweredCall]] = {}
        self.quota, self.pool = Account(), Account()
        self.tracked_requests: dict[str, TrackedRequest] = {}
        self.calls_by_case: Counter[tuple[CallResult, Purpose, str]] = Counter()
        self._unanswered_result: CallResult | None = None  # of all calls while the counter does not answer
        self._answered_fill_up = False
        self._records: list[PendingCall] = []  # of all calls so far
        settings: dict[str, object] = {
            "gateways": GATEWAYS,
            "plans": PLANS,
            "may_count": True,
            "counter_timeout": COUNTER_TIMEOUT,
            "max_units": math.inf,  # the counter is asked about each request, there is no sampling
            "meter_period": 0.0,
        }
        super().__init__(seed=seed, **{**settings, **changes})
        self.wait(2.0)  # a ceiling has no tokens right after the gateway's start

    # What the gateway does

    def feed(self, event: api.Event) -> list[api.Action]:
        actions = super().feed(event)
        answered = isinstance(event, api.CounterReply)
        for action in actions:
            if isinstance(action, api.Send):
                tracked = self.tracked_requests[action.request]
                assert not tracked.ended and not tracked.attempt_out, action
                tracked.attempts += 1
                tracked.attempt_out = True
            elif isinstance(action, api.Refuse | api.Fail):
                tracked = self.tracked_requests[action.request]
                assert not tracked.ended, action
                tracked.ended = True
            elif isinstance(action, api.CounterAdd):
                self._take_call(action, undoes_fill_up=answered and self._answered_fill_up)
        return actions

    def wait(self, seconds: float) -> list[api.Action]:
        actions = super().wait(seconds)
        if self.tracked_requests and CUSTOMER not in self.gateway.admission.restrictors:
            self._reset_accounts()
        return actions

    def _reset_accounts(self) -> None:
        """Starts anew, as the gateway has dropped the idle customer and another counter entry serves it."""
        assert IDLE_TIMEOUT_S > COUNTER_ENTRY_ROTATION_S and not self.calls and not self.out()
        self.quota, self.pool = Account(), Account()
        self.tracked_requests = {
            name: tracked for name, tracked in self.tracked_requests.items() if not tracked.ended
        }

    def _take_call(self, action: api.CounterAdd, undoes_fill_up: bool) -> None:
        records = self.gateway.admission.shared_quota.pending[action.name]
        record = next(r for r in records if not any(r is known for known in self._records))
        assert record.amount == action.amount
        self._records.append(record)
        units = record.request.units if record.request else 0.0
        call = UnansweredCall(action, record, undoes_fill_up, units)
        if undoes_fill_up:  # no longer counted as a fill-up, even if this call is not added
            self._account(action.name).fill_ups += action.amount
        if self._unanswered_result:
            self._count_call(call, self._unanswered_result)
            self._apply(call, self._unanswered_result)
        else:
            self.calls.setdefault(action.name, deque()).append(call)

    def _account(self, name: int) -> Account:
        return self.pool if name >> 24 >= POOL_KEY_OFFSET else self.quota

    # What the test triggers

    def ask(self, plan: int = BASIC, entries: int = GATEWAYS, units: float = 1.0) -> str:
        """Feeds a client's request; the counter is asked if there are enough entry gateways."""
        for call in self.pending_calls():
            call.changes |= {"plan"} if call.record.restrictor.plan is not PLANS[plan] else set()
            call.changes |= {"set"} if call.record.restrictor.entries != entries else set()
        self.gateway.admission.shared_quota.coverage = COVERAGE_ALL_REQUESTS
        name = f"r{self.serial + 1}"
        self.tracked_requests[name] = TrackedRequest(units, plan, entries)
        self.request(CUSTOMER, id=name, plan_index=plan, entry_gateways=entries, units=units)
        return name

    def finish(self, name: str, outcome: api.Outcome, **answer: object) -> None:
        """Ends the outstanding attempt."""
        tracked = self.tracked_requests[name]
        tracked.attempt_out = False
        tracked.reached_host = tracked.reached_host or outcome is not api.Outcome.NOT_SENT
        ended = tracked.ended
        tracked.ended = ended or outcome is api.Outcome.OK
        self.done(name, outcome, tracked.attempts - 1, request_done=tracked.ended, **answer)

    def leave(self, name: str) -> None:
        """The client leaves, or its time is up."""
        self.tracked_requests[name].ended = True
        self.feed(api.RequestAbandoned(name))

    def drain(self) -> None:
        """Ends the gateway's drain period: no client waits any more for what it holds."""
        for call in self.pending_calls():
            call.changes.add("drain")
        for name in self.waiting():
            self.leave(name)

    def add_other_gateways_use(self, units: float, pool: bool = False) -> None:
        """Adds units that another of the customer's entry gateways has admitted."""
        key = CUSTOMER + POOL_KEY_OFFSET if pool else CUSTOMER
        name, _ = self.gateway.admission.shared_quota._current_counter_entry(self.now, key)
        account = self._account(name)
        account.totals[name] = account.totals.get(name, 0.0) + units
        account.by_others += units

    def seconds_to_rotation(self, pool: bool = False) -> float:
        """Seconds until another counter entry serves the customer."""
        key = CUSTOMER + POOL_KEY_OFFSET if pool else CUSTOMER
        _, started_at = self.gateway.admission.shared_quota._current_counter_entry(self.now, key)
        return started_at + COUNTER_ENTRY_ROTATION_S - self.now

    def pass_rotation(self, pool: bool = False) -> None:
        """Moves the clock past the rotation of the counter's entry without firing timers."""
        for call in self.pending_calls():
            call.changes |= {"rotation"} if call.is_pool is pool else set()
        self.now += self.seconds_to_rotation(pool) + 0.001

    def answer(self, name: int, result: CallResult) -> None:
        """Ends the oldest call to this entry with this result."""
        call = self.calls[name].popleft()
        if not self.calls[name]:
            del self.calls[name]
        self._count_call(call, result)
        total = self._apply(call, result)
        reply = api.CounterReply(name, False, 0.0, maybe_added=result.is_uncertain)
        if result is CallResult.ADDED:
            reply = api.CounterReply(name, True, total)
        elif result is CallResult.INVALID:
            reply = api.CounterReply(name, True, math.nan)
        request = call.record.request
        self._answered_fill_up = call.record.is_fill_up
        actions = self.feed(reply)
        self._answered_fill_up = False
        if request and call.is_pool and any(isinstance(a, api.Send) for a in actions):
            self.tracked_requests[request.id].by_pool = True

    def answer_oldest_call(self) -> None:
        """Adds the oldest call and answers it."""
        self.answer(next(iter(self.calls)), CallResult.ADDED)

    def _apply(self, call: UnansweredCall, result: CallResult) -> float:
        """Books a call by its result; returns the total of its entry."""
        account, name = self._account(call.action.name), call.action.name
        if result.is_uncertain:
            account.uncertain += call.uncertainty
        if result.is_added:
            account.totals[name] = account.totals.get(name, 0.0) + call.action.amount
            account.fill_ups += call.action.amount if call.record.is_fill_up else 0.0
        return account.totals.get(name, 0.0)

    def _count_call(self, call: UnansweredCall, result: CallResult) -> None:
        for change in call.changes or {"nothing"}:
            self.calls_by_case[result, call.purpose, change] += 1

    def stop_answering(self, added: bool) -> None:
        """Leaves all pending calls unanswered, and the caller without a reply for their timeout."""
        self._unanswered_result = CallResult.LATE if added else CallResult.LOST
        for call in self.pending_calls():
            self._count_call(call, self._unanswered_result)
            self._apply(call, self._unanswered_result)
        self.calls.clear()
        while self.gateway.admission.shared_quota.pending:
            self.wait(0.1)
        self._unanswered_result = None

    # State and checks

    def pending_calls(self) -> list[UnansweredCall]:
        return [call for queue in self.calls.values() for call in queue]

    def waiting(self) -> list[str]:
        """Requests whose clients wait for an answer."""
        return [name for name, tracked in self.tracked_requests.items() if not tracked.ended]

    def out(self) -> list[str]:
        """Requests with an attempt out, whether their clients wait or have left."""
        return [name for name, tracked in self.tracked_requests.items() if tracked.attempt_out]

    def sent_units(self, by_pool: bool) -> float:
        """Units of the requests that were sent to hosts: of all, or of those that the pool admitted."""
        tracked_requests = self.tracked_requests.values()
        return sum(t.units for t in tracked_requests if t.is_sent and (t.by_pool or not by_pool))

    def check_accounts(self) -> None:
        """Checks both accounts against the requests that were sent; only allowed while no call is pending."""
        assert not self.calls
        restrictor = self.gateway.admission.restrictors.get(CUSTOMER)
        if restrictor is None:
            return
        self._check("quota", self.quota, restrictor.unreported_units, self.sent_units(by_pool=False))
        self._check("pool", self.pool, restrictor.unreported_pool_units, self.sent_units(by_pool=True))

    @staticmethod
    def _check(kind: str, account: Account, unreported: float, sent_units: float) -> None:
        off = account.own_total + unreported - sent_units
        assert abs(off) <= account.uncertain + ROUNDING, (
            f"{kind}: off by {off:+g} units (counter {account.own_total:g}, unreported {unreported:g}, "
            f"sent {sent_units:g}; {account.uncertain:g} uncertain)"
        )
