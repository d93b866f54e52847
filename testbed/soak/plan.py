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
    lot = random.Random(seed)
    gateways, hosts = 3, lot.randint(5, 8)
    patience = lot.choice(PATIENCES)
    plan = Plan(
        seed=seed,
        seconds=seconds,
        patience=patience,
        gateways=gateways,
        hosts=hosts,
        requests_per_second=lot.uniform(40.0, 120.0),
        whole_lists=lot.random() < 0.3,
        drain_grace=lot.choice((1.0, 2.0)),
        uncertain_calls=lot.random() < 0.5,
        events=(),
    )
    events = [*_signals(lot, plan), *_host_troubles(lot, plan), *_other_troubles(lot, plan)]
    return Plan(
        **{name: getattr(plan, name) for name in Plan.__slots__ if name != "events"},
        events=tuple(sorted(events, key=lambda event: event.at)),
    )


def _moment(lot: random.Random, plan: Plan) -> float:
    return lot.uniform(QUIET_START, max(QUIET_START, plan.seconds))


def _signals(lot: random.Random, plan: Plan) -> list[Event]:
    """Restarts of all gateways but the first, in series, with reloads and stalls close to them."""
    events = []
    for gateway in range(1, plan.gateways):
        at = lot.uniform(QUIET_START, max(QUIET_START, plan.seconds / 3))
        while at < plan.seconds:
            trouble = Trouble.KILL if lot.random() < 0.2 else Trouble.RESTART
            events.append(Event(at, trouble, gateway))
            for _ in range(lot.choice((0, 0, 1, 2))):
                events.append(Event(at + lot.uniform(-0.3, 1.0), Trouble.RELOAD, gateway))
            for _ in range(lot.choice((0, 1, 2, 3))):
                stall = lot.uniform(0.05, LONGEST_STALL)
                events.append(Event(at + lot.uniform(0.0, plan.kill_after), Trouble.STALL, gateway, stall))
            at += plan.kill_after + lot.uniform(2.0, 5.0)
    for _ in range(lot.choice((0, 1, 2))):
        events.append(Event(_moment(lot, plan), Trouble.RELOAD, 0))
    for _ in range(lot.randint(0, 4)):
        stall = lot.uniform(0.02, LONGEST_STALL)
        events.append(Event(_moment(lot, plan), Trouble.STALL, lot.randrange(plan.gateways), stall))
    return [event for event in events if event.at >= 0]


def _host_troubles(lot: random.Random, plan: Plan) -> list[Event]:
    """Troubles of some hosts; two at least have none, so that something is served."""
    kinds = (
        Trouble.HOST_DRAINS, Trouble.HOST_HANGS, Trouble.HOST_RESETS, Trouble.HOST_TURNS_AWAY,
        Trouble.HOST_VANISHES,
    )  # fmt: skip
    events = []
    for host in range(2, plan.hosts):
        for _ in range(lot.choice((0, 1, 1, 2))):
            events.append(Event(_moment(lot, plan), lot.choice(kinds), host, lot.uniform(0.5, 4.0)))
    return events


def _other_troubles(lot: random.Random, plan: Plan) -> list[Event]:
    events = []
    if lot.random() < 0.5:
        events.append(Event(_moment(lot, plan), Trouble.WATCHES_SILENT))
    if lot.random() < 0.4:
        events.append(Event(_moment(lot, plan), Trouble.DISCOVERY_DOWN, seconds=lot.uniform(0.5, 4.0)))
    for _ in range(lot.choice((1, 2, 3))):
        events.append(Event(_moment(lot, plan), Trouble.COUNTER_TROUBLE, seconds=lot.uniform(1.0, 4.0)))
    if lot.random() < CROWD_SHARE:
        target = lot.randrange(plan.gateways)
        events.append(Event(_moment(lot, plan), Trouble.CROWD, target, lot.uniform(1.0, 4.0)))
    return events
