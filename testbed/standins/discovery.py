"""A fake discovery with an agent for each gateway: its watches send changes or full lists, or fall silent."""

from __future__ import annotations

import asyncio
import contextlib
import re
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from testbed.standins.http import chunk, http_response, read_message
from testbed.standins.lists import WATCH_RESPONSE_HEAD, host_entry, list_message

HEARTBEAT_INTERVAL_S = 2.0  # between empty lines on a watch
WATCH_PATTERN = re.compile(rb"GET /discovery/hosts\?stream=1(?:&index=(\d+))? HTTP/1\.1")
DOWN_POLL_INTERVAL_S = 0.02  # between checks whether discovery is up again


@dataclass(frozen=True, slots=True)
class ListedHost:
    """A host in the list of discovery."""

    name: str
    port: int
    status: str
    started_at: float  # Unix time of its last start; 0: long ago

    def as_entry(self) -> dict[str, Any]:
        return host_entry(self.name, self.port, status=self.status, since_ms=round(self.started_at * 1000))


@dataclass(eq=False)
class Watch:
    """An open watch: a streamed response that tells one gateway each change of the host list."""

    agent: Agent
    writer: asyncio.StreamWriter
    index: int  # of the list that the gateway has; -1: none
    silent: bool = False  # stays open and sends nothing more
    changed: asyncio.Event = field(default_factory=asyncio.Event)


class Registry:
    """The host list and its history.

    With `full_lists`, each message holds all active hosts, and a host that is missing has left.
    `on_status_sent(gateway, host, status)` is called for each host status that a watch has sent.
    """

    def __init__(self, full_lists: bool, on_status_sent: Callable[[int, str, str], None]) -> None:
        self.full_lists, self.on_status_sent = full_lists, on_status_sent
        self.index = 0
        self.hosts: dict[str, ListedHost] = {}
        self.history: list[tuple[int, ListedHost]] = []
        self.agents: list[Agent] = []
        self.down_until = 0.0  # s, monotonic

    def change(self, listed: ListedHost) -> float:
        """Applies a change; returns when the agents know it (s, monotonic)."""
        self.index += 1
        self.hosts[listed.name] = listed
        if listed.status == "left":
            del self.hosts[listed.name]
        self.history.append((self.index, listed))
        self.wake_watches()
        return max(time.monotonic(), self.down_until)

    def wake_watches(self) -> None:
        for agent in self.agents:
            for watch in agent.watches:
                watch.changed.set()

    def silence_watches(self) -> None:
        """Makes the watches that are open now send nothing more, and stay open."""
        for agent in self.agents:
            for watch in agent.watches:
                watch.silent = True

    def go_down(self, seconds: float) -> None:
        """Makes discovery unavailable: for some seconds the agents get and send no changes."""
        self.down_until = max(self.down_until, time.monotonic() + seconds)
        asyncio.get_running_loop().call_later(seconds + DOWN_POLL_INTERVAL_S, self.wake_watches)

    @property
    def is_down(self) -> bool:
        return time.monotonic() < self.down_until

    def build_message(self, after: int | None) -> tuple[bytes, list[ListedHost]]:
        """The next message for a watch that has the list of index `after` (None: no list), and its hosts."""
        if after is not None and not self.full_lists:
            changes = {listed.name: listed for index, listed in self.history if index > after}
            listed = list(changes.values())
            return list_message(self.index, *[each.as_entry() for each in listed]), listed
        listed = [h for h in self.hosts.values() if h.status == "active" or not self.full_lists]
        return list_message(self.index, *[each.as_entry() for each in listed], snapshot=True), listed

    def full_list(self) -> dict[str, Any]:
        """The list in the format of a gateway's configuration."""
        entries = [host.as_entry() for host in self.hosts.values()]
        return {"index": self.index, "snapshot": True, "endpoints": entries}


class Agent:
    """The agent on one gateway's machine, which the gateway calls for the host list."""

    def __init__(self, registry: Registry, gateway: int) -> None:
        self.registry, self.gateway = registry, gateway
        self.watches: set[Watch] = set()
        self.server: asyncio.Server | None = None
        registry.agents.append(self)

    async def start(self) -> None:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = int(self.server.sockets[0].getsockname()[1])

    def close(self) -> None:
        if self.server:
            self.server.close()
        for watch in list(self.watches):
            watch.writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
                message = await read_message(reader)
                match = WATCH_PATTERN.fullmatch(message.start_line)
                if match is None:
                    writer.write(http_response(404, b""))
                    return
                while self.registry.is_down:
                    await asyncio.sleep(DOWN_POLL_INTERVAL_S)
                after = None if match[1] is None else int(match[1])
                await self._serve_watch(Watch(self, writer, -1 if after is None else after), reader, after)
        finally:
            writer.close()

    async def _serve_watch(self, watch: Watch, reader: asyncio.StreamReader, after: int | None) -> None:
        self.watches.add(watch)
        disconnected = asyncio.ensure_future(reader.read())
        try:
            watch.writer.write(WATCH_RESPONSE_HEAD)
            if after is None or after != self.registry.index:
                self._send_update(watch, after)
            while not disconnected.done():
                changed = asyncio.ensure_future(watch.changed.wait())
                await asyncio.wait(
                    [disconnected, changed], timeout=HEARTBEAT_INTERVAL_S, return_when=asyncio.FIRST_COMPLETED
                )
                changed.cancel()
                watch.changed.clear()
                if watch.silent or self.registry.is_down or disconnected.done():
                    continue
                if watch.index != self.registry.index:
                    self._send_update(watch, watch.index)
                else:
                    watch.writer.write(chunk(b"\n"))
        finally:
            disconnected.cancel()
            self.watches.discard(watch)

    def _send_update(self, watch: Watch, after: int | None) -> None:
        before = {listed.name for _, listed in self.registry.history}
        message, listed = self.registry.build_message(after)
        watch.writer.write(chunk(message))
        watch.index = self.registry.index
        statuses = {each.name: each.status for each in listed}
        if after is None or self.registry.full_lists:  # a host missing from a full list has left
            statuses = {name: statuses.get(name, "left") for name in before}
        for name, status in statuses.items():
            self.registry.on_status_sent(self.gateway, name, status)
