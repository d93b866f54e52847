"""An account with a hard ceiling pushes for six seconds through the eight gateways of its set.

The hosts keep the ceiling's store as the rules have it: it starts full, fills at the ceiling's rate, and the
first whole arrival of each request takes its units.
"""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "common_2"))

from stand_ins import (  # noqa: E402
    Arrival,
    CannotRun,
    Clients,
    Counter,
    Discovery,
    GatewayProcess,
    Host,
    Record,
    class_setting,
    main,
    plan_setting,
    request,
    response,
    settings,
)

GATEWAYS, HOSTS = 8, 8
RATE, BURST = 24.0, 67.2  # the quota of `enterprise`: 2.8 s worth may be used at once
CEILING_RATE, CEILING_BURST = 47.7, 133.6  # 1.99 times the quota
TOLERANCE = 13.36  # 10%, more than the largest request
UNITS, MAX_UNITS = 2, 6
OTHERS, OTHER_RATE = 80, 3.0  # accounts on `pro`, each with so many requests of UNITS a second
PUSH_RATE, PUSH_S = (
    146.0 * UNITS,
    6.5,
)  # units a second, s: 61% on top of all others, in requests and in units
CALM_RATE = 0.25 * RATE
SPIKE, SPIKE_BEFORE_S = 7, 2.65  # requests in 0.3 s through one gateway, s before the push
METER_S, METER_LATE_S = 0.5, 1.3
SERVICE_S = 0.03
SLACK_S = 0.15  # by what the ceiling's rate gives in this time the slack widens on sockets
INTO_PUSH_S = 0.9
PERIOD_S, PHASES = 50.0, 97


class Store:
    """The second store of one account, by the first arrival of each of its requests."""

    def __init__(self) -> None:
        self.level, self.at, self.lowest = CEILING_BURST, time.time(), CEILING_BURST
        self.seen, self.units = set[str](), list[tuple[float, int]]()

    def take(self, id_: str, units: int) -> None:
        if id_ in self.seen:
            return
        self.seen.add(id_)
        now = time.time()
        self.level = min(CEILING_BURST, self.level + CEILING_RATE * (now - self.at)) - units
        self.at, self.lowest = now, min(self.lowest, self.level)
        self.units.append((now, units))

    def usage_percent(self) -> int:
        """Use over the last finished period that the meter has summed, in percent of the rate."""
        end = (time.time() - METER_LATE_S) // METER_S * METER_S
        used = sum(units for at, units in self.units[-400:] if end - METER_S <= at < end)
        return round(100 * used / METER_S / RATE)


def next_end(number: int, after: float) -> float:
    """The next moment from a time on at which the account's 50 s end."""
    phase = ((number + 2**33) % PHASES / PHASES + after / PERIOD_S) % 1
    return after + (1 - phase) * PERIOD_S


async def play(folder: Path, temporary: Path, record: Record, trouble: bool) -> bool:
    stores = dict[int, Store]()

    async def handle(arrival: Arrival, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        customer, number = (int(part) for part in arrival.id.split("-"))
        store = stores.get(customer)
        if store is None:
            await asyncio.sleep(SERVICE_S)
            writer.write(
                response(200, arrival.id.encode(), Usage_Percent=str(round(100 * OTHER_RATE * UNITS / 9)))
            )
            return True
        store.take(arrival.id, UNITS)
        record.add(f"{arrival.host.name} runs {arrival.id}, store {store.level:.1f}")
        await asyncio.sleep(SERVICE_S)
        writer.write(response(200, arrival.id.encode(), Usage_Percent=str(store.usage_percent())))
        return True

    hosts = [Host(f"h{i}", handle, group=i // 4) for i in range(HOSTS)]
    discovery, counter = Discovery(), Counter()
    for server in (*hosts, discovery, counter):
        await server.start()
    for host in hosts:
        discovery.set(host.entry())
    classes = [class_setting("single-frame", 0.75, 2.0, "free")]
    ceiling = {"never_over_rate": CEILING_RATE, "hard_burst": CEILING_BURST, "tolerance": TOLERANCE}
    plans = [plan_setting("enterprise", RATE, BURST, value_factor=1.6, **ceiling)]
    plans.append(plan_setting("pro", 9.0, 20.0))
    gateways = []
    for i in range(GATEWAYS):
        config = {
            "discovery": f"127.0.0.1:{discovery.port}", "counter": f"127.0.0.1:{counter.port}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 512}, "known": discovery.snapshot(),
            "settings": settings(
                i, GATEWAYS, classes, plans,
                family_info={"most_units": MAX_UNITS, "use_period_s": METER_S},
            ),
        }  # fmt: skip
        gateways.append(GatewayProcess(i, temporary, config, record))
    try:
        await asyncio.gather(*(gateway.start() for gateway in gateways))
        earliest = time.time() + SPIKE_BEFORE_S + 7.0
        account = min(range(100_000, 100_000 + PHASES), key=lambda n: next_end(n, earliest))
        push_at = next_end(account, earliest) - INTO_PUSH_S
        stores[account] = Store()
        clients = [Clients(gateway) for gateway in gateways]
        answers, other_answers = list[int](), list[int]()

        async def ask(customer: int, number: int) -> None:
            id_, entry = f"{customer}-{number}", number % GATEWAYS
            is_account = customer == account
            plan, units = ("enterprise", UNITS) if is_account else ("pro", UNITS)
            data = request(id_, "single-frame", plan, customer, units, 1.5, GATEWAYS)
            if is_account:
                record.add(f"client sends {id_} to gateway {entry}")
            answer = await clients[entry].send(data, 3.0)
            if is_account:
                record.add(f"client got {answer.status or answer.end} for {id_}")
            (answers if is_account else other_answers).append(answer.status)

        async def run_account(customer: int, start: float) -> None:
            number, tasks, due = customer % GATEWAYS, list[asyncio.Task[None]](), start
            while due < push_at + PUSH_S:
                await asyncio.sleep(max(0.0, due - time.time()))
                number += 1
                tasks.append(asyncio.create_task(ask(customer, number)))
                if customer != account:
                    due += 1 / OTHER_RATE
                elif not trouble or due < push_at:
                    due += UNITS / CALM_RATE
                    due = min(due, push_at) if trouble else due
                else:
                    due += UNITS / PUSH_RATE
            await asyncio.gather(*tasks)

        begin = time.time() + 0.5

        async def spike() -> None:
            """A short spike that the front deals out unevenly: all of it to one gateway of the set."""
            await asyncio.sleep(max(0.0, push_at - SPIKE_BEFORE_S - time.time()))
            for i in range(SPIKE):
                spiked.append(asyncio.create_task(ask(account, GATEWAYS * (100_000 + i))))
                await asyncio.sleep(0.3 / SPIKE)

        spiked = list[asyncio.Task[None]]()
        others = [run_account(n, begin + n / OTHERS / OTHER_RATE) for n in range(1, OTHERS + 1)]
        await asyncio.gather(run_account(account, push_at - SPIKE_BEFORE_S - 2.0), spike(), *others)
        await asyncio.gather(*spiked)
        if answers.count(200) < 20:
            raise CannotRun(f"only {answers.count(200)} of {len(answers)} requests were served")
        limit = -(TOLERANCE + SLACK_S * CEILING_RATE)
        broken = False
        for customer, store in stores.items():
            record.add(f"account {customer}: lowest level {store.lowest:.1f}, limit {limit:.1f}")
            print(record.lines[-1])
            broken = broken or store.lowest < limit
        record.add(f"{answers.count(200)} served, {answers.count(503)} refused of {len(answers)}")
        record.add(f"others: {other_answers.count(200)} served of {len(other_answers)}")
        print(record.lines[-1])
        return broken
    finally:
        for gateway in gateways:
            await gateway.stop()
        for server in (*hosts, discovery, counter):
            server.stop()


main(play)
