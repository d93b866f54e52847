"""Plays several runs of the soak in parallel, each in its own process."""

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
from testbed.soak.plan import draw_plan
from testbed.soak.record import Answered, ProcessStarted, RequestSent
from testbed.soak.run import Run

RECORD_FILE = "record.jsonl"
INTERRUPTED = "interrupted"
SHUTDOWN_TIMEOUT_S = 20.0  # for an interrupted run to end the processes that it has started


@dataclass(frozen=True, slots=True)
class RunResult:
    """The result of one run."""

    seed: int
    requests: int = 0
    answers: int = 0
    starts: int = 0  # of gateway processes
    seconds: float = 0.0  # that the run took
    violations: tuple[Violation, ...] = ()
    failure: str | None = None  # why the run could not be played to its end

    @property
    def passed(self) -> bool:
        return not self.violations and self.failure is None


def run_seed(seed: int, seconds: float, folder: Path) -> RunResult:
    """Plays one run; its record, even if incomplete, and its logs stay in `folder`."""
    shutil.rmtree(folder, ignore_errors=True)
    folder.mkdir(parents=True)
    begin, failure = time.monotonic(), None
    run = Run(draw_plan(seed, seconds), folder)
    try:
        if not asyncio.run(_run_until_done(run)):
            failure = INTERRUPTED
    except (OSError, TimeoutError) as error:
        failure = repr(error)
    record = run.record
    record.write(folder / RECORD_FILE)
    return RunResult(
        seed=seed,
        requests=len(record.of(RequestSent)),
        answers=len(record.of(Answered)),
        starts=len(record.of(ProcessStarted)),
        seconds=time.monotonic() - begin,
        violations=() if failure else tuple(check(record)),
        failure=failure,
    )


async def _run_until_done(run: Run) -> bool:
    """Plays a run; returns false if SIGTERM has cut it short."""
    running = asyncio.ensure_future(run.execute())
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, running.cancel)
    try:
        await running
    except asyncio.CancelledError:
        return False
    return True


def _run_and_send(seed: int, seconds: float, folder: Path, results: Connection) -> None:
    signal.signal(
        signal.SIGINT, signal.SIG_IGN
    )  # an interrupt reaches all processes; the parent ends the runs
    results.send(run_seed(seed, seconds, folder))


@dataclass(frozen=True, slots=True)
class RunningJob:
    """A run in progress."""

    seed: int
    process: SpawnProcess
    results: Connection

    def receive_result(self) -> RunResult:
        """Waits for the result, or for the end of the process."""
        try:
            result: RunResult = self.results.recv()
        except EOFError:
            result = RunResult(self.seed, failure="its process ended without a result")
        self.process.join()
        self.results.close()
        return result


def start_run(seed: int, seconds: float, folder: Path) -> RunningJob:
    """Starts a run in its own process."""
    context = multiprocessing.get_context("spawn")
    receiving, sending = context.Pipe(duplex=False)
    process = context.Process(target=_run_and_send, args=(seed, seconds, folder / str(seed), sending))
    process.start()
    sending.close()
    return RunningJob(seed, process, receiving)


def run_all(seeds: range, seconds: float, folder: Path, jobs: int) -> Iterator[RunResult]:
    """Plays runs, at most `jobs` at a time, and yields each result; closed early, it stops the other runs."""
    waiting, running = list(seeds), list[RunningJob]()
    try:
        while waiting or running:
            while waiting and len(running) < jobs:
                running.append(start_run(waiting.pop(0), seconds, folder))
            ready = wait([each.results for each in running])
            for each in [each for each in running if each.results in ready]:
                running.remove(each)
                yield each.receive_result()
    finally:
        stop_runs(running)


def stop_runs(running: list[RunningJob]) -> None:
    """Stops runs with SIGTERM, so that they end what they have started, and waits for them."""
    for each in running:
        if each.process.pid is not None and each.process.is_alive():
            os.kill(each.process.pid, signal.SIGTERM)
    for each in running:
        each.process.join(SHUTDOWN_TIMEOUT_S)
        each.process.kill()
