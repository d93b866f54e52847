"""Types of the decision module: its settings, the events it receives and the actions it returns.

Times are in seconds: points in time on the caller's clock, delays as differences on it. This file makes no
decisions; `Settings` only rejects invalid values, with an error that names the setting.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum


class SettingsError(ValueError):
    """A setting is missing or invalid; the message names it."""


class Idempotency(Enum):
    """Whether requests of a class may run more than once."""

    SAFE = "safe"  # may run any number of times
    KEYED = "keyed"  # carries an idempotency key, by which hosts drop repeats
    UNSAFE = "unsafe"  # must not be sent again once it may have run


class DedupScope(Enum):
    """Which hosts recognise and drop repeats of a keyed request: all, those of a zone, or those of a cell."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class HostState(Enum):
    """State of a host in the host list."""

    HEALTHY = "healthy"
    DRAINING = "draining"  # finishes what it has and takes no new requests
    GONE = "gone"  # removed from the list


class ListKind(Enum):
    """What a `HostList` event holds."""

    CHANGES = "changes"  # only the hosts that have changed
    FULL = "full"  # all hosts
    CACHED = "cached"  # all hosts as last known, without an answer from discovery
    FAILED = "failed"  # nothing: the call to discovery failed


class Outcome(Enum):
    """How one attempt ended."""

    OK = "ok"
    ERROR = "error"  # a response that reports an error, or is malformed or too large
    FULL = "full"  # rejected by the host as overloaded, not processed
    TIMEOUT = "timeout"  # no response by the deadline
    CONNECT_FAILED = "connect_failed"  # failed before the request was written in full: it has not run
    RESET = "reset"  # connection lost after the request was written: it may have run
    CANCELLED = "cancelled"  # cancelled by this gateway; it may have run
    NOT_SENT = "not_sent"  # not sent to the host


# Outcomes after which it is certain that the host has not run the request.
NOT_RUN = (Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.NOT_SENT)


class LoadReportVia(Enum):
    """How hosts report their load: in every response, in answers to probes, or not at all."""

    ANSWERS = "answers"
    PROBE = "probe"
    NONE = "none"


@dataclass(frozen=True, slots=True)
class RequestClass:
    """What all requests of one priority class have in common."""

    name: str
    latency_target: float  # s within which a response has its full worth
    timeout: float  # s after which clients of this class stop waiting
    worth: float  # of a response in time, relative to the other classes
    idempotency: Idempotency
    dedup_scope: DedupScope = DedupScope.ALL
    key_ttl: float = 0.0  # s for which hosts remember the idempotency key of a keyed request
    streamed: bool = False  # whether the response is streamed
    late_worth: float = 0.0  # of a response after `latency_target` but before `timeout`


@dataclass(frozen=True, slots=True)
class Plan:
    """Quota of each customer on this plan, over all gateways. A rate or limit of 0 means none."""

    name: str
    rate: float  # quota units a second
    burst: float  # quota units that may be taken at once
    open_limit: float = 0.0  # attempts that may be outstanding at once
    price: float = 1.0  # factor on the worth of the request class
    excess_worth: float = 0.0  # what a request beyond the quota earns, as a share of its worth
    excess_cost: float = 0.0  # what such a request costs, as a share of its worth
    ceiling_rate: float = 0.0  # units a second that must not be exceeded, whatever the quota allows
    ceiling_burst: float = 0.0  # units that the ceiling allows at once
    ceiling_slack: float = 0.0  # units by which the ceiling may be exceeded

    @property
    def net_excess_cost(self) -> float:
        """Cost less earnings of a request beyond the quota, as a share of its worth; at least 0."""
        return max(0.0, self.excess_cost - self.excess_worth)


@dataclass(frozen=True, slots=True)
class Settings:
    """Settings of one gateway; validated on construction."""

    gateways: int  # how many there are
    zone: int  # of this gateway
    classes: tuple[RequestClass, ...]
    plans: tuple[Plan, ...]
    drain_grace: float  # s after the start of a drain within which sending must stop
    cold_capacity: float  # share of its full capacity that a host has right after its start
    warm_up_time: float  # s until a host that has started has its full capacity
    # A cold host fails if, within `overload_window` seconds, it is sent more than `overload_multiple` times
    # what it can do at that time.
    overload_multiple: float
    overload_window: float
    max_attempts: int  # for each request, the first one among them
    answer_slack: float = 0.0  # s
    may_hedge: bool = False  # whether a second attempt may be sent while the first is outstanding
    may_cancel: bool = False  # whether attempts may be cancelled
    may_probe: bool = False  # whether hosts may be probed
    may_count: bool = False  # whether the shared counter may be used
    counter_timeout: float = 0.0  # s that a call to the shared counter may take
    meter_period: float = 0.0  # s between readings of a customer's metered use; 0: there is no meter
    post_paid: bool = False  # whether responses tell the true units, which replace the estimate
    list_on_request: bool = False  # whether the host list has to be asked for with `FollowList`
    ask_within: float = 0.0  # s
    load_report_via: LoadReportVia = LoadReportVia.NONE
    load_report_fields: tuple[str, ...] = ()  # names of the figures in a load report, in order
    retry_after_allowed: bool = True  # whether a refusal may carry a Retry-After
    max_retry_after: float = 0.0  # s
    max_units: float = math.inf  # quota units that one request may take
    index: int = 0  # of this gateway, from 0

    def __post_init__(self) -> None:
        _require("gateways", self.gateways, 1)
        _require("max_attempts", self.max_attempts, 1)
        _require("index", self.index, 0)
        _require("cold_capacity", self.cold_capacity, 0.0, 1.0)
        for name in ("drain_grace", "warm_up_time", "overload_multiple", "overload_window", "answer_slack"):
            _require(name, getattr(self, name), 0.0)
        for name in ("counter_timeout", "meter_period", "ask_within", "max_retry_after"):
            _require(name, getattr(self, name), 0.0)
        if not self.classes:
            raise SettingsError("classes: at least one is needed")
        if not self.plans:
            raise SettingsError("plans: at least one is needed")
        for i, c in enumerate(self.classes):
            if c.latency_target <= 0 or c.latency_target > c.timeout:
                raise SettingsError(
                    f"classes[{i}].aim: {c.latency_target} is not within 0 and give_up {c.timeout}"
                )
            for name in ("latency_target", "timeout", "worth", "key_ttl", "late_worth"):
                _require(f"classes[{i}].{name}", getattr(c, name), 0.0)
        for i, p in enumerate(self.plans):
            for name in ("rate", "burst", "open_limit", "price", "excess_worth", "excess_cost"):
                _require(f"plans[{i}].{name}", getattr(p, name), 0.0)
            for name in ("ceiling_rate", "ceiling_burst", "ceiling_slack"):
                _require(f"plans[{i}].{name}", getattr(p, name), 0.0)
            if p.rate > 0 and p.burst <= 0:
                raise SettingsError(f"plans[{i}].burst: a rate needs a burst above 0")
            if p.ceiling_rate > 0 and p.ceiling_burst <= 0:
                raise SettingsError(f"plans[{i}].ceiling_burst: a ceiling needs a burst above 0")

    @property
    def retry_after_limit(self) -> float:
        """The longest Retry-After in seconds; 0 where none may be sent."""
        return self.max_retry_after if self.retry_after_allowed else 0.0

    def check(self, request: Request) -> None:
        """Raises ValueError for a request whose class or plan is not in these settings."""
        for kind, value, known in (
            ("class", request.class_index, self.classes),
            ("plan", request.plan_index, self.plans),
        ):
            if not 0 <= value < len(known):
                raise ValueError(f"request {request.id}: unknown {kind} {value}")


def _require(name: str, value: float, low: float, high: float = math.inf) -> None:
    if not (math.isfinite(value) and low <= value <= high):
        raise SettingsError(f"{name}: {value} is not between {low} and {high}")


# Events


@dataclass(frozen=True, slots=True)
class HostInfo:
    """One host as the host list describes it."""

    id: str
    state: HostState
    scale: float = 1.0  # capacity relative to a host of scale 1
    zone: int = 0
    cell: int = 0  # group of hosts that share idempotency keys, see `DedupScope.CELL`
    kind: int = 0  # index of its machine type
    started_at: float = 0.0  # 0: not known, counts as warm


@dataclass(frozen=True, slots=True)
class HostList:
    """The host list, or what has changed in it."""

    kind: ListKind
    hosts: tuple[HostInfo, ...] = ()


@dataclass(frozen=True, slots=True)
class Request:
    """A request from a client."""

    id: str
    class_index: int  # in `Settings.classes`
    plan_index: int  # in `Settings.plans`
    customer: int  # number that identifies the customer
    entry_gateways: int  # how many gateways receive requests of this customer
    expires_at: float  # when its client stops waiting
    units: float = 1.0  # quota units; an estimate if `Settings.post_paid`


@dataclass(frozen=True, slots=True)
class StreamStarted:
    """The first part of a streamed response has gone to the client."""

    request: str  # id, here and in all events and actions below
    attempt: int  # from 0, in the order of the `Send` actions
    delay: float  # s since the attempt was sent


@dataclass(frozen=True, slots=True)
class AttemptDone:
    """An attempt has ended.

    `connection_broken` tells an established connection that broke from a host that accepts none; RESET and
    CONNECT_FAILED may be either.
    """

    request: str
    attempt: int
    outcome: Outcome
    delay: float  # s since the attempt was ordered, with any wait for a connection
    request_done: bool  # no further attempt is needed: the client is answered or gone
    usage: float | None = None  # metered use of the customer as a fraction of its rate
    units: float | None = None  # true quota units of the request
    load_report: tuple[float, ...] = ()  # figures named by `Settings.load_report_fields`
    connection_broken: bool = False


@dataclass(frozen=True, slots=True)
class RequestAbandoned:
    """The client has left, or was answered without a decision: none is needed any more."""

    request: str


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer set with `SetTimer` has expired."""

    token: int


@dataclass(frozen=True, slots=True)
class ProbeDone:
    """A probe has ended."""

    host: str  # id
    outcome: Outcome
    delay: float  # s since the probe was ordered, with any wait for a connection
    load_report: tuple[float, ...] = ()  # as in `AttemptDone`


@dataclass(frozen=True, slots=True)
class CounterReply:
    """The result of one `CounterAdd`; the replies for one name come in the order of its calls."""

    name: int  # of the entry on the counter
    ok: bool
    total: float  # of the entry after the addition, in quota units
    maybe_added: bool = False  # for a failed call: the amount may have been added all the same


Event = (
    HostList
    | Request
    | StreamStarted
    | AttemptDone
    | RequestAbandoned
    | TimerFired
    | ProbeDone
    | CounterReply
)


# Actions


@dataclass(frozen=True, slots=True)
class Send:
    """Send an attempt of a request to a host."""

    request: str
    host: str  # id
    deadline: float  # when the attempt times out; 0: when the request expires


@dataclass(frozen=True, slots=True)
class AttemptWrite:
    """A question to the decision module: may an attempt, ordered before, be written now?"""

    request: str
    attempt: int
    deadline: float  # of the attempt
    client_waits: bool  # not answered, and has not left


@dataclass(frozen=True, slots=True)
class Cancel:
    """Cancel an attempt."""

    request: str
    attempt: int


@dataclass(frozen=True, slots=True)
class Refuse:
    """Answer the client that the request is refused: trying again does no harm."""

    request: str
    retry_after: float = 0.0  # s


@dataclass(frozen=True, slots=True)
class Fail:
    """Answer the client that the request has failed: it may have run."""

    request: str


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Send `TimerFired` with this token after a delay."""

    token: int
    delay: float  # s


@dataclass(frozen=True, slots=True)
class Probe:
    """Check whether a host is alive."""

    host: str  # id


@dataclass(frozen=True, slots=True)
class CounterAdd:
    """Add an amount to an entry of the shared counter."""

    name: int  # of the entry
    amount: float  # quota units, may be negative
    lifetime: float  # s after its first addition for which the entry is kept


@dataclass(frozen=True, slots=True)
class FollowList:
    """Ask discovery to send changes of the host list from now on."""


@dataclass(frozen=True, slots=True)
class FetchList:
    """Ask discovery for the full host list once."""


@dataclass(frozen=True, slots=True)
class Log:
    """Write a line to the log."""

    text: str


Action = Send | Cancel | Refuse | Fail | SetTimer | Probe | CounterAdd | FollowList | FetchList | Log
