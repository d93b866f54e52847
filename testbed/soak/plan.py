"""What happens in a run: drawn whole from its seed, before anything is started."""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import Enum

PATIENCES = (0.7, 1.2, 2.0, 3.0)  # s, the longest deadline of a run
KILL_COUNTS = 3.0  # s as which a longer deadline counts for the kill of a planned restart
KILL_AFTER = 0.7  # s after the longest deadline, from SIGTERM on, at which that kill comes at the earliest
QUIET_START = 1.0  # s of a run ahead of its first trouble
LONGEST_STALL = 0.15  # s
CROWD_SHARE = 0.3  # of the runs have a crowd


class Trouble(Enum):
    """Kinds of things that happen to gateways, hosts, discovery and the counter."""

    RESTART = "planned restart"
    KILL = "kill without a word"
    RELOAD = "new configuration"
    STALL = "stall"
    CROWD = "crowd of idle clients"
    HOST_DRAINS = "host drains"
    HOST_HANGS = "host hangs"
    HOST_RESETS = "host resets connections"
    HOST_TURNS_AWAY = "host turns requests away"
    HOST_VANISHES = "host vanishes and comes back cold"
    WATCHES_SILENT = "watches fall silent"
    DISCOVERY_DOWN = "discovery is down"
    COUNTER_TROUBLE = "calls to the counter go wrong"


@dataclass(frozen=True, slots=True)
class Event:
    """Something that happens at a time (s from the begin) for a while (s), to one gateway or host."""

    at: float
    trouble: Trouble
    target: int = 0
    seconds: float = 0.0


@dataclass(frozen=True, slots=True)
class Plan:
    """One run."""

    seed: int
    seconds: float
    patience: float
    gateways: int
    hosts: int
    requests_per_second: float
    whole_lists: bool
    drain_grace: float
    uncertain_calls: bool  # calls to a counter in trouble may be late, lost or spoilt, and not only refused
    events: tuple[Event, ...]

    @property
    def kill_after(self) -> float:
        """Seconds from SIGTERM to the kill, the earliest that the protocol allows."""
        return min(KILL_COUNTS, self.patience) + KILL_AFTER


def draw(seed: int, seconds: float) -> Plan:
    """The run of a seed; `seconds` is how long its clients send."""
    rng = random.Random(seed)
    gateways, hosts = 3, rng.randint(5, 8)
    patience = rng.choice(PATIENCES)
    plan = Plan(
        seed=seed,
        seconds=seconds,
        patience=patience,
        gateways=gateways,
        hosts=hosts,
        requests_per_second=rng.uniform(40.0, 120.0),
        whole_lists=rng.random() < 0.3,
        drain_grace=rng.choice((1.0, 2.0)),
        uncertain_calls=rng.random() < 0.5,
        events=(),
    )
    events = [*_signals(rng, plan), *_host_troubles(rng, plan), *_other_troubles(rng, plan)]
    return Plan(
        **{name: getattr(plan, name) for name in Plan.__slots__ if name != "events"},
        events=tuple(sorted(events, key=lambda event: event.at)),
    )


def _moment(rng: random.Random, plan: Plan) -> float:
    return rng.uniform(QUIET_START, max(QUIET_START, plan.seconds))


def _signals(rng: random.Random, plan: Plan) -> list[Event]:
    """Restarts of all gateways but the first, in series, with reloads and stalls close to them."""
    events = []
    for gateway in range(1, plan.gateways):
        at = rng.uniform(QUIET_START, max(QUIET_START, plan.seconds / 3))
        while at < plan.seconds:
            trouble = Trouble.KILL if rng.random() < 0.2 else Trouble.RESTART
            events.append(Event(at, trouble, gateway))
            for _ in range(rng.choice((0, 0, 1, 2))):
                events.append(Event(at + rng.uniform(-0.3, 1.0), Trouble.RELOAD, gateway))
            for _ in range(rng.choice((0, 1, 2, 3))):
                stall = rng.uniform(0.05, LONGEST_STALL)
                events.append(Event(at + rng.uniform(0.0, plan.kill_after), Trouble.STALL, gateway, stall))
            at += plan.kill_after + rng.uniform(2.0, 5.0)
    for _ in range(rng.choice((0, 1, 2))):
        events.append(Event(_moment(rng, plan), Trouble.RELOAD, 0))
    for _ in range(rng.randint(0, 4)):
        stall = rng.uniform(0.02, LONGEST_STALL)
        events.append(Event(_moment(rng, plan), Trouble.STALL, rng.randrange(plan.gateways), stall))
    return [event for event in events if event.at >= 0]


def _host_troubles(rng: random.Random, plan: Plan) -> list[Event]:
    """Troubles of some hosts; two at least have none, so that something is served."""
    kinds = (
        Trouble.HOST_DRAINS, Trouble.HOST_HANGS, Trouble.HOST_RESETS, Trouble.HOST_TURNS_AWAY,
        Trouble.HOST_VANISHES,
    )  # fmt: skip
    events = []
    for host in range(2, plan.hosts):
        for _ in range(rng.choice((0, 1, 1, 2))):
            events.append(Event(_moment(rng, plan), rng.choice(kinds), host, rng.uniform(0.5, 4.0)))
    return events


def _other_troubles(rng: random.Random, plan: Plan) -> list[Event]:
    events = []
    if rng.random() < 0.5:
        events.append(Event(_moment(rng, plan), Trouble.WATCHES_SILENT))
    if rng.random() < 0.4:
        events.append(Event(_moment(rng, plan), Trouble.DISCOVERY_DOWN, seconds=rng.uniform(0.5, 4.0)))
    for _ in range(rng.choice((1, 2, 3))):
        events.append(Event(_moment(rng, plan), Trouble.COUNTER_TROUBLE, seconds=rng.uniform(1.0, 4.0)))
    if rng.random() < CROWD_SHARE:
        target = rng.randrange(plan.gateways)
        events.append(Event(_moment(rng, plan), Trouble.CROWD, target, rng.uniform(1.0, 4.0)))
    return events
