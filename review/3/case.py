"""Case 3: a keyed request is sent again after the window in which hosts drop its repeat, and runs twice."""

from __future__ import annotations

import asyncio
import math
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from play import TROUBLE, Answer, Arrival, CannotRun, Play, Record, main, served  # noqa: E402

SITE = "isola-pegni"
GATEWAYS, HOSTS = 2, 11
HANGING = 2  # of the hosts: 18%, the site's settings name up to 19%
KEYED = 2  # index of the keyed class
WINDOW_S = 0.8  # in which hosts drop a repeat of a key, by the settings
GRACE_S = 0.05  # PROTOCOL: each time limit grows by 50 ms
READ_LATE_S = 0.02  # allowed for the stand-in hosts being late to see a request
HOLD_S, MAX_HOLD_S = 0.135, 0.15  # STANDING: a gateway is held up for up to 0.15 s
RESET_AFTER_S = 0.795  # from the begin of the burst, whose requests reach the hosts some ms later
BURST = 100  # keyed requests, each of a customer of its own
WARM_UP_S, AFTER_S = 1.5, 2.0
BACKGROUND_PER_S, PAUSE_S = 80.0, 0.1
ARM_S = 0.02  # before the reset
WORK_S = 0.02
ROUNDS = 10  # each with new processes; the first with a key that ran twice ends the case


class Fleet:
    """The hosts: they share the keys that they have seen, and drop a repeat within the window."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.began: dict[bytes, list[float]] = {}  # by key: when its request arrived
        self.ran: dict[bytes, list[float]] = {}  # by key: when it was run
        self.hanging: set[str] = set()
        self.held: list[Arrival] = []

    async def behave(self, arrival: Arrival) -> bool:
        if key := arrival.message.headers.get(b"idempotency-key"):
            earlier = self.began.setdefault(key, [])
            repeat = bool(earlier) and arrival.at - earlier[0] <= WINDOW_S + GRACE_S + READ_LATE_S
            earlier.append(arrival.at)
            if not repeat:
                self.ran.setdefault(key, []).append(arrival.at)
                self.record.add(f"host {arrival.host} runs key {key.decode()}", arrival.at)
            else:
                self.record.add(f"host {arrival.host} drops a repeat of key {key.decode()}", arrival.at)
        if arrival.host in self.hanging:
            self.held.append(arrival)
            await asyncio.sleep(10.0)
            return False
        await asyncio.sleep(WORK_S)
        arrival.reply(served(arrival, Connection="close"))
        return False


async def start_hold(play: Play) -> asyncio.subprocess.Process:
    """Starts the process that holds gateway 0 up, once armed, from its next connection to a host."""
    listeners = [host.server.sockets[0].fileno() for host in play.hosts]
    return await asyncio.create_subprocess_exec(
        sys.executable, str(FOLDER / "hold.py"),
        str(play.gateways[0].pid), str(HOLD_S), *map(str, listeners),
        stdin=asyncio.subprocess.PIPE, stdout=asyncio.subprocess.PIPE, pass_fds=listeners,
    )  # fmt: skip


async def play_round(record: Record) -> int | None:
    """Plays once; returns how many keys ran twice, or None if the disruption left the pages' limits."""
    async with Play(SITE) as play:
        play.record = record
        fleet = Fleet(record)
        await play.start(GATEWAYS, HOSTS, fleet.behave)
        hold = await start_hold(play)
        assert hold.stdin and hold.stdout
        gateway, tasks, reset_at = play.gateways[0], list[asyncio.Task[Answer]](), math.inf

        async def background(seconds: float) -> None:
            for number in range(int(seconds * BACKGROUND_PER_S)):
                # A pause around the reset, so that the first connection after it is of a retry.
                if not -PAUSE_S < time.monotonic() - reset_at < PAUSE_S:
                    tasks.append(asyncio.create_task(play.ask(gateway, number % 2, 1000 + number % 50)))
                await asyncio.sleep(1 / BACKGROUND_PER_S)

        usual = asyncio.create_task(background(WARM_UP_S + AFTER_S))
        await asyncio.sleep(WARM_UP_S)
        if TROUBLE:
            fleet.hanging = {host.name for host in play.hosts[:HANGING]}
        reset_at = time.monotonic() + RESET_AFTER_S
        tasks += [asyncio.create_task(play.ask(gateway, KEYED, 100 + n)) for n in range(BURST)]
        await asyncio.sleep(max(0.0, reset_at - ARM_S - time.monotonic()))
        if TROUBLE:
            hold.stdin.write(b"\n")
        await asyncio.sleep(max(0.0, reset_at - time.monotonic()))
        fleet.hanging = set()
        for arrival in fleet.held:
            record.add(f"the connection of {arrival.id} to host {arrival.host} is reset")
            arrival.reset()
        await usual
        await asyncio.gather(*tasks)
        held_up = 0.0
        if TROUBLE:
            held_up = float(await hold.stdout.readline())
            record.add(f"gateway 0 was held up for {held_up:.4f} s")
        else:
            hold.kill()
        await hold.wait()
        twice = {key: times for key, times in fleet.ran.items() if len(times) > 1}
        for key, times in twice.items():
            record.add(f"key {key.decode()} ran {len(times)} times, {times[-1] - times[0]:.4f} s apart")
        record.add(f"{len(fleet.ran)} keys ran, {len(twice)} of them more than once")
        if TROUBLE and not 0 < held_up <= MAX_HOLD_S:
            return None
        return len(twice)


async def case(record: Record) -> bool:
    valid = 0
    for number in range(ROUNDS):
        record.add(f"round {number}")
        twice = await play_round(record)
        if twice:
            return False
        valid += twice is not None
    if not valid:
        raise CannotRun("the gateway was never held up within the limits")
    return True


if __name__ == "__main__":
    sys.exit(main(case, FOLDER))
