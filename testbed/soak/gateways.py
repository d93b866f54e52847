"""Gateways as real processes, started with the command of the deploy file."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import time
import tomllib
from collections.abc import Callable
from pathlib import Path
from typing import Any, Literal

from testbed.soak import record as r
from testbed.standins.http import read_message
from testbed.standins.ports import free_port

ROOT = Path(__file__).resolve().parent.parent.parent
POLL_INTERVAL_S = 0.02  # between checks whether a process is ready
UP_REQUEST = b"GET /up HTTP/1.1\r\nHost: service.internal\r\n\r\n"
FAILURE_MARKERS = ("Traceback", " ERROR ")  # in log lines that report an internal error
PAGE_SIZE_BYTES = os.sysconf("SC_PAGE_SIZE")
Signal = Literal["SIGTERM", "SIGHUP", "SIGKILL"]


def deploy_command(name: str) -> str:
    """A command of the deploy file; raises KeyError if it has none with this name."""
    return str(tomllib.loads((ROOT / "deploy/balancer.toml").read_text())[name])


class GatewayProcess:
    """One gateway and its successive processes; `add_entry` gets the entries for the record."""

    def __init__(
        self,
        index: int,
        folder: Path,
        configuration: Callable[[], dict[str, Any]],
        add_entry: Callable[[r.AnyEntry], None],
    ) -> None:
        self.index, self.folder, self.configuration, self.add_entry = index, folder, configuration, add_entry
        self.port = free_port()
        self.start_number = -1  # of the current process, from 0
        self.process: asyncio.subprocess.Process | None = None
        self.is_ready = False
        self.is_stopping = False  # SIGTERM was sent
        self.new_connections_until = 0.0  # s, monotonic: clients connect until then even if it is stopping
        self.paths = [self.folder / f"gateway{index}.json", self.folder / f"gateway{index}.log"]
        self.tasks: set[asyncio.Task[None]] = set()

    def write_configuration(self) -> None:
        path, _ = self.paths
        path.with_suffix(".new").write_text(json.dumps(self.configuration()))
        path.with_suffix(".new").replace(path)

    async def start(self) -> None:
        """Starts the process; `is_ready` is set once it answers that it is up."""
        self.start_number += 1
        self.is_ready = self.is_stopping = False
        self.write_configuration()
        configuration, log = self.paths
        with log.open("ab") as errors:
            self.process = await asyncio.create_subprocess_exec(
                "sh", "-c", deploy_command("run"),
                cwd=ROOT, env={**os.environ, "LB_CONFIG": str(configuration)},
                stdin=asyncio.subprocess.DEVNULL, stdout=errors, stderr=errors,
            )  # fmt: skip
        self.add_entry(r.ProcessStarted(time.monotonic(), self.index, self.start_number))
        self._spawn(self._wait_until_ready(self.process, self.start_number))
        self._spawn(self._wait_until_exit(self.process, self.start_number))

    def _spawn(self, coroutine: Any) -> None:  # noqa: ANN401
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _wait_until_ready(self, process: asyncio.subprocess.Process, start_number: int) -> None:
        while process.returncode is None and self.start_number == start_number and not self.is_stopping:
            if await self._is_up():
                descriptors, memory = self.resource_usage()
                self.add_entry(
                    r.ProcessReady(time.monotonic(), self.index, start_number, descriptors, memory)
                )
                self.is_ready = not self.is_stopping
                return
            await asyncio.sleep(POLL_INTERVAL_S)

    async def _is_up(self) -> bool:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
                try:
                    writer.write(UP_REQUEST)
                    return (await read_message(reader)).status == 200
                finally:
                    writer.close()
        return False

    async def _wait_until_exit(self, process: asyncio.subprocess.Process, start_number: int) -> None:
        code = await process.wait()
        if self.start_number == start_number:
            self.is_ready = False
        self.add_entry(r.ProcessExited(time.monotonic(), self.index, start_number, code))

    @property
    def is_running(self) -> bool:
        return self.process is not None and self.process.returncode is None

    def signal(self, name: Signal, planned: bool = False) -> None:
        """Sends a signal if the process runs; a SIGHUP only if the shell has become the gateway."""
        if self.process is None or not self.is_running or (name == "SIGHUP" and not self._shell_has_execed()):
            return
        self.add_entry(r.ProcessSignalled(time.monotonic(), self.index, self.start_number, name, planned))
        if name == "SIGTERM":
            self.is_stopping = True
        if name != "SIGHUP":
            self.is_ready = False
        # Not by the process object: it first reaps a process that has ended, and its exit code is lost.
        with contextlib.suppress(ProcessLookupError):
            os.kill(self.process.pid, getattr(signal, name))

    def time_waited_for_cpu(self) -> float:
        """Seconds for which the process was ready to run while no processor took it; 0 if it has ended."""
        if self.process is None:
            return 0.0
        try:
            _, waited_ns, _ = Path(f"/proc/{self.process.pid}/schedstat").read_text().split()
        except (OSError, ValueError):
            return 0.0
        return int(waited_ns) / 1e9

    def _shell_has_execed(self) -> bool:
        """Whether the shell has replaced itself by the gateway; before, it may not ignore SIGHUP yet."""
        assert self.process is not None
        try:
            return b"coralvale" in Path(f"/proc/{self.process.pid}/cmdline").read_bytes().split(b"\0")
        except OSError:
            return False

    async def stall(self, seconds: float) -> None:
        """Stops the process for some seconds, with SIGSTOP and SIGCONT."""
        if self.process is None or not self.is_running:
            return
        process, began_at = self.process, time.monotonic()
        with contextlib.suppress(ProcessLookupError):
            process.send_signal(signal.SIGSTOP)
            try:
                await asyncio.sleep(seconds)
            finally:
                process.send_signal(signal.SIGCONT)
        self.add_entry(r.Delayed(began_at, self.index, time.monotonic()))

    async def wait_for_exit(self, seconds: float) -> bool:
        """Waits for the process to end; returns whether it has ended within `seconds`."""
        if self.process is None:
            return True
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                await self.process.wait()
        return not self.is_running

    def resource_usage(self) -> tuple[int, int]:
        """The number of open descriptors and the resident memory in bytes; zeros if the process has ended."""
        if self.process is None:
            return 0, 0
        try:
            folder = Path(f"/proc/{self.process.pid}")
            pages = int((folder / "statm").read_text().split()[1])
            return len(list((folder / "fd").iterdir())), pages * PAGE_SIZE_BYTES
        except (OSError, IndexError, ValueError):
            return 0, 0

    def record_failures(self) -> None:
        """Adds an entry for each log line that reports an internal error."""
        _, log = self.paths
        for text in log.read_text(errors="replace").splitlines() if log.exists() else []:
            if any(marker in text for marker in FAILURE_MARKERS):
                self.add_entry(r.ErrorLogged(time.monotonic(), self.index, text[:200]))

    async def close(self) -> None:
        """Kills the process, even if it is stopped, and ends all tasks."""
        if self.process is not None and self.is_running:
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(signal.SIGCONT)
                self.process.kill()
            await self.process.wait()
        for task in list(self.tasks):
            task.cancel()
