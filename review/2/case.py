"""Clients whose Quota-Info cannot be read stop a gateway, and usual clients get no answer in time."""

from __future__ import annotations

import asyncio
import contextlib
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from play import TROUBLE, Answer, Play, Record, main, serve_after  # noqa: E402

SITE = "isola-pegni"
GATEWAYS, HOSTS = 2, 9
SECONDS = 12.0  # for which usual clients send
REQUESTS_PER_S = 10.0  # to each gateway
WORK_S = 0.04  # of a host for a request
BAD_CLIENTS = 6
BAD_FROM_S, BAD_FOR_S = 3.0, 6.0
HEADER_BYTES = 15_500  # of the value that cannot be read


async def bad_client(play: Play, number: int, until: float) -> None:
    """Sends a request that cannot be read, and the same again as soon as it is turned away."""
    _, _, usual = play.request(0, 5_000_000 + number)
    data = usual.partition(b"Quota-Info:")[0] + b"Quota-Info: " + b"a" * HEADER_BYTES + b"\r\n\r\n"
    while time.monotonic() < until:
        sent_at = time.monotonic()
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(30.0):
                reader, writer = await asyncio.open_connection("127.0.0.1", play.gateways[0].port)
                try:
                    writer.write(data)
                    play.record.add(f"bad client {number} sent {len(data)} bytes to gateway 0", sent_at)
                    first = (await reader.read(4096)).partition(b"\r\n")[0].decode()
                finally:
                    writer.close()
                play.record.add(f"bad client {number} got {first!r} after {time.monotonic() - sent_at:.3f} s")


async def case(record: Record) -> bool:
    async with Play(SITE) as play:
        play.record = record
        await play.start(GATEWAYS, HOSTS, serve_after(WORK_S))
        tasks: list[asyncio.Task[Answer]] = []
        bad: list[asyncio.Task[None]] = []
        begin = time.monotonic()
        for number in range(int(SECONDS * REQUESTS_PER_S)):
            await asyncio.sleep(max(0.0, begin + number / REQUESTS_PER_S - time.monotonic()))
            if TROUBLE and not bad and time.monotonic() >= begin + BAD_FROM_S:
                until = time.monotonic() + BAD_FOR_S
                bad = [asyncio.create_task(bad_client(play, i, until)) for i in range(BAD_CLIENTS)]
            for gateway in play.gateways:
                ask = play.ask(gateway, number % 3, 100 + number % 40, plan=number % 4, wait=20.0)
                tasks.append(asyncio.create_task(ask))
        answers = await asyncio.gather(*tasks)
        for task in bad:
            await task
        lost = [a for a in answers if a.is_lost]
        served = sum(a.status == 200 for a in answers)
        slowest = max(a.seconds for a in answers)
        record.add(f"{len(answers)} usual requests: {served} served, {len(lost)} lost")
        record.add(f"the slowest answer came after {slowest:.3f} s")
        return not lost


if __name__ == "__main__":
    sys.exit(main(case, FOLDER))
