"""Runs of a soak side by side, each in a process of its own."""

from __future__ import annotations

import asyncio
import multiprocessing
import os
import shutil
import signal
import time
from collections.abc import Iterator
from dataclasses import dataclass
from multiprocessing.connection import Connection, wait
from multiprocessing.context import SpawnProcess
from pathlib import Path

from testbed.soak.checker import Violation, check
from testbed.soak.plan import draw
from testbed.soak.record import Answered, ProcessStarted, RequestSent
from testbed.soak.run import Run

RECORD = "record.jsonl"
INTERRUPTED = "interrupted"
END_TIME = 20.0  # s that an interrupted run may take to end what it has started


@dataclass(frozen=True, slots=True)
class Result:
    """What became of one run."""

    seed: int
    requests: int = 0
    answers: int = 0
    starts: int = 0
    seconds: float = 0.0
    violations: tuple[Violation, ...] = ()
    failure: str | None = None  # why the run itself could not be played

    @property
    def is_good(self) -> bool:
        return not self.violations and self.failure is None


def play_seed(seed: int, seconds: float, folder: Path) -> Result:
    """Plays one run; its record, what there is of it, and its logs stay in `folder`."""
    shutil.rmtree(folder, ignore_errors=True)
    folder.mkdir(parents=True)
    begin, failure = time.monotonic(), None
    run = Run(draw(seed, seconds), folder)
    try:
        if not asyncio.run(_play_until_ended(run)):
            failure = INTERRUPTED
    except (OSError, TimeoutError) as error:
        failure = repr(error)
    record = run.record
    record.write(folder / RECORD)
    return Result(
        seed=seed,
        requests=len(record.of(RequestSent)),
        answers=len(record.of(Answered)),
        starts=len(record.of(ProcessStarted)),
        seconds=time.monotonic() - begin,
        violations=() if failure else tuple(check(record)),
        failure=failure,
    )


async def _play_until_ended(run: Run) -> bool:
    """Plays a run; false where SIGTERM has ended it before."""
    playing = asyncio.ensure_future(run.play())
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, playing.cancel)
    try:
        await playing
    except asyncio.CancelledError:
        return False
    return True


def _play_and_send(seed: int, seconds: float, folder: Path, results: Connection) -> None:
    signal.signal(signal.SIGINT, signal.SIG_IGN)  # one at the terminal comes to the parent, who tells
    results.send(play_seed(seed, seconds, folder))


@dataclass(frozen=True, slots=True)
class RunningSeed:
    """A run under way."""

    seed: int
    process: SpawnProcess
    results: Connection

    def result(self) -> Result:
        """Its result, once its process has something to tell or has ended."""
        try:
            told: Result = self.results.recv()
        except EOFError:
            told = Result(self.seed, failure="its process ended without a result")
        self.process.join()
        self.results.close()
        return told


def start(seed: int, seconds: float, folder: Path) -> RunningSeed:
    """Starts a run in a process of its own."""
    context = multiprocessing.get_context("spawn")
    receiving, sending = context.Pipe(duplex=False)
    process = context.Process(target=_play_and_send, args=(seed, seconds, folder / str(seed), sending))
    process.start()
    sending.close()
    return RunningSeed(seed, process, receiving)


def play_all(seeds: range, seconds: float, folder: Path, jobs: int) -> Iterator[Result]:
    """Plays runs, so many at a time, and yields each as it ends; left early, it ends those under way."""
    waiting, running = list(seeds), list[RunningSeed]()
    try:
        while waiting or running:
            while waiting and len(running) < jobs:
                running.append(start(waiting.pop(0), seconds, folder))
            ready = wait([each.results for each in running])
            for each in [each for each in running if each.results in ready]:
                running.remove(each)
                yield each.result()
    finally:
        interrupt(running)


def interrupt(running: list[RunningSeed]) -> None:
    """Has runs end what they have started, and waits for that."""
    for each in running:
        if each.process.pid is not None and each.process.is_alive():
            os.kill(each.process.pid, signal.SIGTERM)
    for each in running:
        each.process.join(END_TIME)
        each.process.kill()
