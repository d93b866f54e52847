"""One spoilt answer that does not end takes more memory than a gateway has."""

from __future__ import annotations

import asyncio
import signal
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from play import TROUBLE, Answer, Arrival, Play, Record, main, served  # noqa: E402

SITE = "delta-lab"
GATEWAYS, HOSTS = 2, 8
MEMORY_MB = 192  # DAYS and DEPLOY: the most on scored days
SECONDS = 8.0  # for which usual clients send
REQUESTS_PER_S = 10.0  # to each gateway
SPOILT_FROM_S = 3.0
WORK_S = 0.24  # of a host for a request
MAX_SPOILT_BYTES = 60_000_000  # of the one spoilt answer
BLOCK = b"a: b\r\n" * 10_000
SPOILT_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nwork\r\n0\r\n"


class Spoiler:
    """Makes the hosts spoil one answer, the first to `publish` after the trouble has begun."""

    def __init__(self, record: Record) -> None:
        self.record, self.spoil_next = record, False

    async def behave(self, arrival: Arrival) -> bool:
        await asyncio.sleep(WORK_S)
        if not (self.spoil_next and arrival.message.headers[b"x-priority-class"] == b"publish"):
            arrival.reply(served(arrival))
            return True
        self.spoil_next, sent, began = False, 0, time.monotonic()
        self.record.add(f"host {arrival.host} spoils its answer to {arrival.id}")
        try:
            arrival.writer.write(SPOILT_HEAD)
            while sent < MAX_SPOILT_BYTES:
                arrival.writer.write(BLOCK)
                await arrival.writer.drain()
                sent += len(BLOCK)
                await asyncio.sleep(0)
        finally:
            seconds = time.monotonic() - began
            self.record.add(f"host {arrival.host} sent {sent / 1e6:.1f} MB of it in {seconds:.2f} s")
        return False


async def enforce_memory_limit(play: Play, over: list[int]) -> None:
    """The platform: a gateway over its memory limit is killed."""
    while True:
        for gateway in play.gateways:
            if gateway.index not in over and (used := gateway.rss_mb()) > MEMORY_MB:
                over.append(gateway.index)
                play.record.add(
                    f"platform: gateway {gateway.index} uses {used:.0f} MB of {MEMORY_MB}: killed"
                )
                gateway.signal(signal.SIGKILL)
        await asyncio.sleep(0.02)


async def case(record: Record) -> bool:
    async with Play(SITE, memory_mb=MEMORY_MB) as play:
        play.record = record
        spoiler, over = Spoiler(record), list[int]()
        await play.start(GATEWAYS, HOSTS, spoiler.behave)
        platform = asyncio.create_task(enforce_memory_limit(play, over))
        tasks: list[asyncio.Task[Answer]] = []
        begin, spoilt = time.monotonic(), False
        for number in range(int(SECONDS * REQUESTS_PER_S)):
            await asyncio.sleep(max(0.0, begin + number / REQUESTS_PER_S - time.monotonic()))
            if TROUBLE and not spoilt and time.monotonic() >= begin + SPOILT_FROM_S:
                spoiler.spoil_next = spoilt = True
            for gateway in play.gateways:
                if gateway.index not in over:  # no new connections to a gateway that has died
                    ask = play.ask(gateway, number % 3, 100 + number % 40, plan=number % 3)
                    tasks.append(asyncio.create_task(ask))
        answers = await asyncio.gather(*tasks)
        platform.cancel()
        lost = [a for a in answers if a.is_lost]
        count = sum(a.status == 200 for a in answers)
        record.add(f"{len(answers)} usual requests: {count} served, {len(lost)} lost")
        record.add(f"gateways killed over their memory limit: {over}")
        return not lost and not over


if __name__ == "__main__":
    sys.exit(main(case, FOLDER))
