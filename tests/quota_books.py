"""Plain books of one customer at one gateway, beside a counter that adds exactly what it is told.

What must hold whenever no call is out: the units on the customer's number, less those of fill-ups, and the
units that the counter has not been told of, are the units of the requests that were sent on. The same holds
for the pool of a ceiling and for the requests that were let in by it. A call without an answer may have been
added; each such call may put the books off by the units of its request and those that it carries besides.
"""

from __future__ import annotations

import math
from collections import Counter, deque
from dataclasses import dataclass, field, replace
from enum import Enum

from helpers import PLAN, Bench

from coralvale import interface as api
from coralvale.admission import IDLE_TIMEOUT_S
from coralvale.shared_quota import (
    COUNTER_ENTRY_ROTATION_S,
    COVERAGE_ALL_REQUESTS,
    POOL_KEY_OFFSET,
    PendingCall,
)

GATEWAYS = 40
MOST_UNITS = 8.0
COUNTER_TIMEOUT = 0.05
CUSTOMER = 1
BASIC, CEILING = range(2)  # indices of PLANS
# A burst that no test uses up: the units that the counter is not told of are bounded by a burst.
QUOTA = replace(PLAN, rate=4.0, burst=1000.0)
PLANS = (
    QUOTA,
    replace(QUOTA, name="ceiling", ceiling_rate=100.0, ceiling_burst=200.0, ceiling_slack=20.0),
)
ROUNDING = 1e-6  # units


class Fate(Enum):
    """What becomes of a call to the counter."""

    ADDED = "added"
    LATE = "answered late"  # added, but the caller has given up waiting
    LOST = "lost"  # never added, and the caller cannot tell
    REFUSED = "refused"  # by a 503: surely not added
    SPOILT = "spoilt"  # added, and answered with no number
    CLOSED = "closed connection"  # before the call was written: surely not added

    @property
    def is_added(self) -> bool:
        return self in (Fate.ADDED, Fate.LATE, Fate.SPOILT)

    @property
    def is_uncertain(self) -> bool:
        """Whether the gateway cannot know if the call was added."""
        return self in (Fate.LATE, Fate.LOST, Fate.SPOILT)


class Purpose(Enum):
    """What a call to the counter is for."""

    REQUEST = "a new request"
    CLIENT_LEFT = "a request whose client has left"
    TAKE_BACK = "a take-back"
    FILL_UP = "a fill-up"
    POOL = "a pool"


@dataclass(slots=True)
class OpenCall:
    """A call that the counter has not answered, and the gateway's own record of it."""

    action: api.CounterAdd
    record: PendingCall
    undoes_fill_up: bool
    request_units: float  # of the request that it was made for; nought where there is none
    changes: set[str] = field(default_factory=set)  # what has changed since it was made

    @property
    def is_pool(self) -> bool:
        return self.record.bucket.is_pool

    @property
    def is_fill_up(self) -> bool:
        return self.record.is_fill_up or self.undoes_fill_up

    @property
    def uncertainty(self) -> float:
        """Units that the books may be off by if it may have been added: its own and the carried."""
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
    """A quota's number or a pool's: all lifetimes of it together (units)."""

    totals: dict[int, float] = field(default_factory=dict)  # by name
    by_others: float = 0.0  # added by other gateways
    fill_ups: float = 0.0  # added by fill-ups, less those that were undone
    uncertain: float = 0.0  # of calls that may have been added

    @property
    def own_total(self) -> float:
        return sum(self.totals.values()) - self.by_others - self.fill_ups


@dataclass(slots=True)
class Ticket:
    """A request as its client and the hosts know it."""

    units: float
    plan: int
    entries: int
    by_pool: bool = False  # the pool's reply let it in
    attempts: int = 0
    attempt_out: bool = False
    reached_host: bool = False
    ended: bool = False  # answered, or its client has left

    @property
    def is_sent_on(self) -> bool:
        return self.attempt_out or self.reached_host


class LedgerBench(Bench):
    """A gateway whose calls to the counter wait until the test decides on their fate."""

    def __init__(self, seed: int = 1, **changes: object) -> None:
        self.calls: dict[int, deque[OpenCall]] = {}  # by name, in the order in which they are answered
        self.quota, self.pool = Account(), Account()
        self.tickets: dict[str, Ticket] = {}
        self.reached: Counter[tuple[Fate, Purpose, str]] = Counter()
        self._silence: Fate | None = None  # what becomes of all calls while the counter answers none
        self._answered_fill_up = False
        self._records: list[PendingCall] = []  # of the calls that were seen
        settings: dict[str, object] = {
            "gateways": GATEWAYS,
            "plans": PLANS,
            "may_count": True,
            "counter_timeout": COUNTER_TIMEOUT,
            "max_units": math.inf,  # each request is asked about, none stands for others
            "meter_period": 0.0,
        }
        super().__init__(seed=seed, **{**settings, **changes})
        self.wait(2.0)  # a gateway that has just started knows no ceiling

    # What the gateway does

    def feed(self, event: api.Event) -> list[api.Action]:
        actions = super().feed(event)
        answered = isinstance(event, api.CounterReply)
        for action in actions:
            if isinstance(action, api.Send):
                ticket = self.tickets[action.request]
                assert not ticket.ended and not ticket.attempt_out, action
                ticket.attempts += 1
                ticket.attempt_out = True
            elif isinstance(action, api.Refuse | api.Fail):
                ticket = self.tickets[action.request]
                assert not ticket.ended, action
                ticket.ended = True
            elif isinstance(action, api.CounterAdd):
                self._take_call(action, undoes=answered and self._answered_fill_up)
        return actions

    def wait(self, seconds: float) -> list[api.Action]:
        actions = super().wait(seconds)
        if self.tickets and CUSTOMER not in self.gateway.admission.restrictors:
            self._begin_anew()
        return actions

    def _begin_anew(self) -> None:
        """One that is idle for longer than a number lives is forgotten, and its books with it."""
        assert IDLE_TIMEOUT_S > COUNTER_ENTRY_ROTATION_S and not self.calls and not self.out()
        self.quota, self.pool = Account(), Account()
        self.tickets = {name: ticket for name, ticket in self.tickets.items() if not ticket.ended}

    def _take_call(self, action: api.CounterAdd, undoes: bool) -> None:
        records = self.gateway.admission.shared_quota.pending[action.name]
        record = next(r for r in records if not any(r is known for known in self._records))
        assert record.amount == action.amount
        self._records.append(record)
        units = record.request.units if record.request else 0.0
        call = OpenCall(action, record, undoes, units)
        if undoes:  # from now on the fill-up counts for nothing, whether the counter is told or not
            self._account(action.name).fill_ups += action.amount
        if self._silence:
            self._record(call, self._silence)
            self._settle(call, self._silence)
        else:
            self.calls.setdefault(action.name, deque()).append(call)

    def _account(self, name: int) -> Account:
        return self.pool if name >> 24 >= POOL_KEY_OFFSET else self.quota

    # What the test makes happen

    def ask(self, plan: int = BASIC, entries: int = GATEWAYS, units: float = 1.0) -> str:
        """A client's request; it is asked about if its set is wide enough."""
        for call in self.open_calls():
            call.changes |= {"plan"} if call.record.restrictor.plan is not PLANS[plan] else set()
            call.changes |= {"set"} if call.record.restrictor.entries != entries else set()
        self.gateway.admission.shared_quota.coverage = COVERAGE_ALL_REQUESTS
        name = f"r{self.serial + 1}"
        self.tickets[name] = Ticket(units, plan, entries)
        self.request(CUSTOMER, id=name, plan_index=plan, entry_gateways=entries, units=units)
        return name

    def finish(self, name: str, outcome: api.Outcome, **answer: object) -> None:
        """The attempt that is out ends."""
        ticket = self.tickets[name]
        ticket.attempt_out = False
        ticket.reached_host = ticket.reached_host or outcome is not api.Outcome.NOT_SENT
        ended = ticket.ended
        ticket.ended = ended or outcome is api.Outcome.OK
        self.done(name, outcome, ticket.attempts - 1, request_done=ticket.ended, **answer)

    def leave(self, name: str) -> None:
        """The client leaves, or its time is up."""
        self.tickets[name].ended = True
        self.feed(api.RequestAbandoned(name))

    def drain(self) -> None:
        """The time of a gateway that ends is up: nobody waits for what it holds any more."""
        for call in self.open_calls():
            call.changes.add("drain")
        for name in self.waiting():
            self.leave(name)

    def use_elsewhere(self, units: float, pool: bool = False) -> None:
        """Another gateway of the customer's set has let in so much."""
        key = CUSTOMER + POOL_KEY_OFFSET if pool else CUSTOMER
        name, _ = self.gateway.admission.shared_quota._current_counter_entry(self.now, key)
        account = self._account(name)
        account.totals[name] = account.totals.get(name, 0.0) + units
        account.by_others += units

    def number_ends_in(self, pool: bool = False) -> float:
        """Seconds until another number serves the customer."""
        key = CUSTOMER + POOL_KEY_OFFSET if pool else CUSTOMER
        _, began = self.gateway.admission.shared_quota._current_counter_entry(self.now, key)
        return began + COUNTER_ENTRY_ROTATION_S - self.now

    def pass_over_number_end(self, pool: bool = False) -> None:
        """Time goes on past the end of the number, and no timer is due before."""
        for call in self.open_calls():
            call.changes |= {"number"} if call.is_pool is pool else set()
        self.now += self.number_ends_in(pool) + 0.001

    def answer(self, name: int, fate: Fate) -> None:
        """The counter, or the way to it, decides on the oldest call that names this number."""
        call = self.calls[name].popleft()
        if not self.calls[name]:
            del self.calls[name]
        self._record(call, fate)
        total = self._settle(call, fate)
        reply = api.CounterReply(name, False, 0.0, maybe_added=fate.is_uncertain)
        if fate is Fate.ADDED:
            reply = api.CounterReply(name, True, total)
        elif fate is Fate.SPOILT:
            reply = api.CounterReply(name, True, math.nan)
        request = call.record.request
        self._answered_fill_up = call.record.is_fill_up
        actions = self.feed(reply)
        self._answered_fill_up = False
        if request and call.is_pool and any(isinstance(a, api.Send) for a in actions):
            self.tickets[request.id].by_pool = True

    def feed_total(self) -> None:
        """The oldest call is added and answered."""
        self.answer(next(iter(self.calls)), Fate.ADDED)

    def _settle(self, call: OpenCall, fate: Fate) -> float:
        """Adds the call where it is added, and returns the number's total."""
        account, name = self._account(call.action.name), call.action.name
        if fate.is_uncertain:
            account.uncertain += call.uncertainty
        if fate.is_added:
            account.totals[name] = account.totals.get(name, 0.0) + call.action.amount
            account.fill_ups += call.action.amount if call.record.is_fill_up else 0.0
        return account.totals.get(name, 0.0)

    def _record(self, call: OpenCall, fate: Fate) -> None:
        for change in call.changes or {"nothing"}:
            self.reached[fate, call.purpose, change] += 1

    def fall_silent(self, added: bool) -> None:
        """No call that is out is ever answered, not even by a time-out of the caller's."""
        self._silence = Fate.LATE if added else Fate.LOST
        for call in self.open_calls():
            self._record(call, self._silence)
            self._settle(call, self._silence)
        self.calls.clear()
        while self.gateway.admission.shared_quota.pending:
            self.wait(0.1)
        self._silence = None

    # What must hold

    def open_calls(self) -> list[OpenCall]:
        return [call for queue in self.calls.values() for call in queue]

    def waiting(self) -> list[str]:
        """Requests whose clients wait for an answer."""
        return [name for name, ticket in self.tickets.items() if not ticket.ended]

    def out(self) -> list[str]:
        """Requests with an attempt out, whether their clients wait or have left."""
        return [name for name, ticket in self.tickets.items() if ticket.attempt_out]

    def sent_on(self, by_pool: bool) -> float:
        """Units of the requests that were sent on, of all or of those that the pool let in."""
        tickets = self.tickets.values()
        return sum(t.units for t in tickets if t.is_sent_on and (t.by_pool or not by_pool))

    def check_books(self) -> None:
        """Holds both accounts against the requests that were sent on; only when no call is out."""
        assert not self.calls
        restrictor = self.gateway.admission.restrictors.get(CUSTOMER)
        if restrictor is None:
            return
        self._check("quota", self.quota, restrictor.unreported_units, self.sent_on(by_pool=False))
        self._check("pool", self.pool, restrictor.unreported_pool_units, self.sent_on(by_pool=True))

    @staticmethod
    def _check(kind: str, account: Account, untold: float, sent_on: float) -> None:
        off = account.own_total + untold - sent_on
        assert abs(off) <= account.uncertain + ROUNDING, (
            f"{kind}: the books are off by {off:+g} units (counter {account.own_total:g}, untold {untold:g}, "
            f"sent on {sent_on:g}; {account.uncertain:g} uncertain)"
        )
