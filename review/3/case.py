"""Case 3: a keyed request is sent again after the window in which hosts drop its repeat, and runs twice."""

from __future__ import annotations

import asyncio
import random
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from play import TROUBLE, Answer, Arrival, Play, Record, main, served  # noqa: E402

SITE = "isola-pegni"
GATEWAYS, HOSTS = 2, 11
KEYED = 2  # index of the keyed class
WINDOW_S = 0.8  # in which hosts drop a repeat of a key, by the settings
GRACE_S = 0.05  # PROTOCOL: each time limit grows by 50 ms
READ_LATE_S = 0.02  # allowed for the stand-in hosts being late to see a request
HANGING = 2  # of the hosts: 18%, the site names up to 19%
LATE = 3  # further hosts to which connections come up late: with the others, less than a third
LATE_FROM_S, LATE_FOR_S = 0.05, 0.4  # before the reset; connections come up 1 s late, when SYN is sent again
IDLE_LIMIT_S = 0.05  # after which hosts close idle connections
RESET_AFTER_S = 0.78  # from the begin of the burst, whose requests reach the hosts some ms later
BURST = 100  # keyed requests, each of a customer of its own
WARM_UP_S, AFTER_S = 1.5, 2.0
BACKGROUND_PER_S = 90.0
WORK_S = (0.12, 0.28)  # of a host for a request of the background
KEYED_WORK_S = 0.02
LAG_STEP_S = 0.005
ROUNDS = 12  # with new processes each; the first in which a key ran twice ends the case


class Fleet:
    """The hosts: they share the keys that they have seen, and drop a repeat within the window."""

    def __init__(self, record: Record) -> None:
        self.record, self.random = record, random.Random(1)
        self.began: dict[bytes, float] = {}  # by key: when its first request arrived
        self.ran: dict[bytes, list[float]] = {}  # by key: when it was run
        self.hanging: set[str] = set()
        self.held: list[Arrival] = []

    async def behave(self, arrival: Arrival) -> bool:
        key = arrival.message.headers.get(b"idempotency-key")
        if key is None:
            await asyncio.sleep(self.random.uniform(*WORK_S))
        else:
            age = arrival.at - self.began.setdefault(key, arrival.at)
            runs = self.ran.setdefault(key, [])
            if runs and age <= WINDOW_S + GRACE_S + READ_LATE_S:
                self.record.add(f"host {arrival.host} drops a repeat of key {key.decode()}", arrival.at)
            else:
                runs.append(arrival.at)
                self.record.add(f"host {arrival.host} runs key {key.decode()}", arrival.at)
            if arrival.host in self.hanging:
                self.held.append(arrival)
                await asyncio.sleep(10.0)
                return False
            await asyncio.sleep(KEYED_WORK_S)
        arrival.reply(served(arrival))
        return True


async def play_round(record: Record) -> int:
    """Plays once; returns how many keys ran twice."""
    async with Play(SITE) as play:
        play.record = record
        fleet = Fleet(record)
        await play.start(GATEWAYS, HOSTS, fleet.behave)
        gateway, tasks = play.gateways[0], list[asyncio.Task[Answer]]()

        async def background(seconds: float) -> None:
            for number in range(int(seconds * BACKGROUND_PER_S)):
                tasks.append(asyncio.create_task(play.ask(gateway, 1, 1000 + number % 50)))
                await asyncio.sleep(1 / BACKGROUND_PER_S)

        lag = [0.0]  # how late this process was, at most

        async def measure_lag() -> None:
            while True:
                due = time.monotonic() + LAG_STEP_S
                await asyncio.sleep(LAG_STEP_S)
                lag[0] = max(lag[0], time.monotonic() - due)

        late = play.hosts[HANGING : HANGING + LATE]
        usual = asyncio.create_task(background(WARM_UP_S + AFTER_S))
        await asyncio.sleep(WARM_UP_S)
        if TROUBLE:
            fleet.hanging = {host.name for host in play.hosts[:HANGING]}
            for host in play.hosts:
                host.idle_limit = IDLE_LIMIT_S
        reset_at = time.monotonic() + RESET_AFTER_S
        tasks += [asyncio.create_task(play.ask(gateway, KEYED, 100 + n)) for n in range(BURST)]
        await asyncio.sleep(max(0.0, reset_at - LATE_FROM_S - time.monotonic()))
        if TROUBLE:
            for host in late:
                record.add(f"from now on connections to host {host.name} come up late")
                host.delay_connections()
        await asyncio.sleep(max(0.0, reset_at - time.monotonic()))
        for arrival in fleet.held:
            record.add(f"the connection of {arrival.id} to host {arrival.host} is reset")
            arrival.reset()
        fleet.hanging = set()
        measuring = asyncio.create_task(measure_lag())
        await asyncio.sleep(LATE_FOR_S)
        measuring.cancel()
        if TROUBLE:
            for host in late:
                host.end_delay()
        await usual
        await asyncio.gather(*tasks)
        gaps = {key: times[-1] - times[0] for key, times in fleet.ran.items() if len(times) > 1}
        for key, gap in gaps.items():
            record.add(f"key {key.decode()} ran twice, {gap:.4f} s apart")
        record.add(
            f"{len(fleet.ran)} keys ran, {len(gaps)} of them twice; the hosts were {lag[0]:.4f} s late"
        )
        return sum(gap > WINDOW_S + GRACE_S + READ_LATE_S + lag[0] for gap in gaps.values())


async def case(record: Record) -> bool:
    for number in range(ROUNDS):
        record.add(f"round {number}")
        if await play_round(record):
            return False
    return True


if __name__ == "__main__":
    sys.exit(main(case, FOLDER))
