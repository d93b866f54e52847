"""The plan of a run: all of its faults, drawn from its seed before anything is started."""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import Enum

CLIENT_TIMEOUTS_S = (0.7, 1.2, 2.0, 3.0)  # the longest that a client of a run waits
MAX_KILL_TIMEOUT_S = 3.0  # a longer client timeout does not delay the kill in a planned restart any more
COUNTER_TIMEOUT_SHARE = 0.1  # of the client timeout, for a gateway's call to the counter
MAX_COUNTER_TIMEOUT_S = 0.1
KILL_MARGIN_S = 0.7  # after that timeout, counted from SIGTERM, until the kill
FAULT_FREE_START_S = 1.0  # at the start of a run
MAX_STALL_S = 0.15
FLOOD_SHARE = 0.3  # of the runs that have a connection flood
GATEWAYS = 3
PUSH_SHARE = 0.2  # of the runs in which a customer pushes against its ceiling
PUSH_GATEWAYS = 8  # in such a run: from so many on, a part of a ceiling is kept on the counter
RESTARTED_GATEWAYS = (1, 2)
PUSH_LEAD_S = 0.9  # from the start of a push to the replacement of the pool's entry
SPIKE_LEAD_S = 2.4  # from the requests that bring the pool into use to the push
EARLIEST_REPLACEMENT_S = 3.8  # in a run
COUNTER_FAULT_SHARE_IN_PUSH = 0.25  # of the pushes: calls to the counter may fail meanwhile
FLUSH_SHARE = 0.4  # of the pushes
FLUSH_TIMES_S = (-1.0, 2.0)  # range of the time of a flush, from the replacement


class Fault(Enum):
    """Kinds of faults and other disturbances of gateways, hosts, discovery and the counter."""

    RESTART = "planned restart"
    KILL = "gateway killed"
    RELOAD = "configuration reloaded"
    STALL = "gateway stalled"
    CONNECTION_FLOOD = "idle clients use up the gateway's descriptors"
    HOST_DRAINS = "host drains"
    HOST_HANGS = "host hangs"
    HOST_RESETS = "host resets connections"
    HOST_REJECTS = "host rejects requests"
    HOST_RESTARTS = "host stops and restarts cold"
    WATCHES_SILENT = "open watches fall silent"
    DISCOVERY_DOWN = "discovery is down"
    COUNTER_FAULTS = "calls to the counter fail"
    COUNTER_FLUSH = "the counter forgets all entries"


@dataclass(frozen=True, slots=True)
class FaultEvent:
    """One fault of a run."""

    at: float  # s after the start of the run
    fault: Fault
    target: int = 0  # index of the gateway or host
    duration: float = 0.0  # s


@dataclass(frozen=True, slots=True)
class Push:
    """A customer asks for far more than its ceiling while the counter entry of its pool is replaced."""

    replaced_after: float  # s after the start of the run; the entry is replaced within a second of it
    with_counter_faults: bool
    flushed_at: float | None  # s after the start of the run, when the counter forgets all entries

    @property
    def needs_counter_from(self) -> float:
        """Since when a working counter is needed for the pool to be used up (s after the start)."""
        return self.replaced_after - PUSH_LEAD_S - SPIKE_LEAD_S


@dataclass(frozen=True, slots=True)
class RunPlan:
    """What is drawn for one run."""

    seed: int
    seconds: float  # for which clients send
    client_timeout: float  # s, the longest of all clients
    gateways: int
    hosts: int
    requests_per_second: float
    full_lists: bool  # each message of discovery holds the full host list, not only changes
    drain_grace: float  # s
    # Whether failing calls to the counter may leave open if the amount was added; if not, they are rejected.
    uncertain_counter_calls: bool
    events: tuple[FaultEvent, ...]
    push: Push | None = None

    @property
    def counter_timeout(self) -> float:
        """Seconds that a gateway waits for the counter; it asks only if four times as much is left."""
        return min(MAX_COUNTER_TIMEOUT_S, COUNTER_TIMEOUT_SHARE * self.client_timeout)

    @property
    def kill_after(self) -> float:
        """Seconds from SIGTERM to the kill of a planned restart: the shortest that the protocol allows."""
        return min(MAX_KILL_TIMEOUT_S, self.client_timeout) + KILL_MARGIN_S


def draw_plan(seed: int, seconds: float) -> RunPlan:
    """Draws the plan of a run from its seed; clients send for `seconds`."""
    rng = random.Random(seed)
    hosts = rng.randint(5, 8)
    push = _draw_push(seed, seconds)
    client_timeout = rng.choice(CLIENT_TIMEOUTS_S)
    plan = RunPlan(
        seed=seed,
        seconds=seconds,
        client_timeout=client_timeout,
        gateways=PUSH_GATEWAYS if push else GATEWAYS,
        hosts=hosts,
        requests_per_second=rng.uniform(40.0, 120.0),
        full_lists=rng.random() < 0.3,
        drain_grace=rng.choice((1.0, 2.0)),
        uncertain_counter_calls=rng.random() < 0.5,
        events=(),
        push=push,
    )
    events = [*_gateway_faults(rng, plan), *_host_faults(rng, plan), *_other_faults(rng, plan)]
    if push:
        events = _push_faults(push, events)
    return RunPlan(
        **{name: getattr(plan, name) for name in RunPlan.__slots__ if name != "events"},
        events=tuple(sorted(events, key=lambda event: event.at)),
    )


def _draw_push(seed: int, seconds: float) -> Push | None:
    """Drawn apart from the rest of the plan, which is the same with and without a push."""
    rng = random.Random(f"push {seed}")
    if rng.random() >= PUSH_SHARE:
        return None
    replaced_after = rng.uniform(EARLIEST_REPLACEMENT_S, max(EARLIEST_REPLACEMENT_S, seconds - 1.0))
    with_counter_faults = rng.random() < COUNTER_FAULT_SHARE_IN_PUSH
    flushed_at = replaced_after + rng.uniform(*FLUSH_TIMES_S) if rng.random() < FLUSH_SHARE else None
    return Push(replaced_after, with_counter_faults, flushed_at)


def _push_faults(push: Push, events: list[FaultEvent]) -> list[FaultEvent]:
    """The faults of a run with a push: a flush, and those of the counter only if the push has them."""
    flush = [] if push.flushed_at is None else [FaultEvent(push.flushed_at, Fault.COUNTER_FLUSH)]
    kept = [
        event
        for event in events
        if event.fault is not Fault.COUNTER_FAULTS
        or push.with_counter_faults
        or event.at + event.duration < push.needs_counter_from
    ]
    return kept + flush


def _random_time(rng: random.Random, plan: RunPlan) -> float:
    return rng.uniform(FAULT_FREE_START_S, max(FAULT_FREE_START_S, plan.seconds))


def _gateway_faults(rng: random.Random, plan: RunPlan) -> list[FaultEvent]:
    """Restarts gateways again and again, with reloads and stalls around the restarts."""
    events = []
    # A gateway's even share of a ceiling is empty at its start: with many restarts no ceiling is used up.
    for gateway in RESTARTED_GATEWAYS[:1] if plan.push else RESTARTED_GATEWAYS:
        at = rng.uniform(FAULT_FREE_START_S, max(FAULT_FREE_START_S, plan.seconds / 3))
        while at < plan.seconds:
            fault = Fault.KILL if rng.random() < 0.2 else Fault.RESTART
            events.append(FaultEvent(at, fault, gateway))
            for _ in range(rng.choice((0, 0, 1, 2))):
                events.append(FaultEvent(at + rng.uniform(-0.3, 1.0), Fault.RELOAD, gateway))
            for _ in range(rng.choice((0, 1, 2, 3))):
                stall = rng.uniform(0.05, MAX_STALL_S)
                events.append(FaultEvent(at + rng.uniform(0.0, plan.kill_after), Fault.STALL, gateway, stall))
            at += plan.kill_after + rng.uniform(2.0, 5.0)
    for _ in range(rng.choice((0, 1, 2))):
        events.append(FaultEvent(_random_time(rng, plan), Fault.RELOAD, 0))
    for _ in range(rng.randint(0, 4)):
        stall = rng.uniform(0.02, MAX_STALL_S)
        events.append(FaultEvent(_random_time(rng, plan), Fault.STALL, rng.randrange(plan.gateways), stall))
    return [event for event in events if event.at >= 0]


def _host_faults(rng: random.Random, plan: RunPlan) -> list[FaultEvent]:
    """Faults of some hosts; at least two have none, so that requests can be served."""
    kinds = (
        Fault.HOST_DRAINS, Fault.HOST_HANGS, Fault.HOST_RESETS, Fault.HOST_REJECTS,
        Fault.HOST_RESTARTS,
    )  # fmt: skip
    events = []
    for host in range(2, plan.hosts):
        for _ in range(rng.choice((0, 1, 1, 2))):
            events.append(FaultEvent(_random_time(rng, plan), rng.choice(kinds), host, rng.uniform(0.5, 4.0)))
    return events


def _other_faults(rng: random.Random, plan: RunPlan) -> list[FaultEvent]:
    events = []
    if rng.random() < 0.5:
        events.append(FaultEvent(_random_time(rng, plan), Fault.WATCHES_SILENT))
    if rng.random() < 0.4:
        events.append(
            FaultEvent(_random_time(rng, plan), Fault.DISCOVERY_DOWN, duration=rng.uniform(0.5, 4.0))
        )
    for _ in range(rng.choice((1, 2, 3))):
        events.append(
            FaultEvent(_random_time(rng, plan), Fault.COUNTER_FAULTS, duration=rng.uniform(1.0, 4.0))
        )
    if rng.random() < FLOOD_SHARE:
        target = rng.randrange(plan.gateways)
        events.append(
            FaultEvent(_random_time(rng, plan), Fault.CONNECTION_FLOOD, target, rng.uniform(1.0, 4.0))
        )
    return events
