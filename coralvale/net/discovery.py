"""Watches discovery: keeps the host list up to date and reports each change of it."""

from __future__ import annotations

import asyncio
import json
import logging
import math
import random
import re
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Any

import httptools

from coralvale import interface as api
from coralvale.net.config import Address, HostInstance, read_address

log = logging.getLogger(__name__)

MAX_SILENCE_S = 3.5  # without a line on a watch before it counts as dead; one is due every 2 s
RESPONSE_TIMEOUT_S = 1.5  # for the response head of an agent that answers each call immediately
MAX_QUEUE_WAIT_S = 2.0  # in discovery's queue, after which discovery fails the call
QUEUED_RESPONSE_TIMEOUT_S = 2.5  # longer, as an abandoned call would still take its turn in the queue
CALL_SPACING_S = 0.16  # between the gateways' calls, so that discovery's queue stays short
CONNECT_TIMEOUT_S = 1.0  # to the agent, which runs on this machine
QUEUED_CONNECT_TIMEOUT_S = 0.5  # shorter, to leave more of the propagation delay for the queue
LOOP_DELAY_MARGIN_S = 0.25  # of the propagation delay, reserved as the event loop may be late
MOVED_PROPAGATION_DELAY_S = 4.0  # maximum propagation delay after the agent's address has changed
MIN_BACKOFF_S, MAX_BACKOFF_S = 0.05, 1.0  # before the next call, doubled after each failure
JITTER = 0.5  # share of the backoff by which it is randomly shortened or lengthened
GRACE_SHARES = 4  # of the drain grace: one each for connecting, the response and the pause, one spare
MIN_GRACE_SHARE_S = 0.1  # however short the drain grace is, as the event loop may be late by as much
MIN_POLL_S = 0.1  # between checks whether a watch has fallen silent
MAX_MESSAGE_BYTES = 8 * 1024 * 1024  # room for thousands of hosts, indented
# Strings are matched whole, so that brackets in them do not count; none of them spans lines.
STRING_OR_BRACKET = re.compile(rb'"(?:[^"\\]|\\.)*"|([\[{])|([\]}])')
MAX_REJECTED_MESSAGES = 16  # read on a watch: what follows them comes again with the full list
WHITESPACE = re.compile(r"\s*")
EMPTY_LINE = re.compile(r"\n[ \t\r]*\n")
DECODER = json.JSONDecoder()
HOST_STATES = {
    "active": api.HostState.HEALTHY,
    "leaving": api.HostState.DRAINING,
    "left": api.HostState.GONE,
}


@dataclass(slots=True)
class Endpoint:
    """A listed host: its description for the decision module, and its address."""

    host: api.HostInfo
    address: Address

    @property
    def host_instance(self) -> HostInstance:
        return self.host.id, self.host.started_at, self.address

    @property
    def draining(self) -> bool:
        return self.host.state is api.HostState.DRAINING


class HostTable:
    """Listed hosts by name; those at one address have all started at the same time.

    A process has its address for itself: when a host is listed at the address of one that started earlier,
    the process of that one has ended, even if discovery has not reported it yet. What is sent there reaches
    the new process. Hosts with the same address and start cannot be told apart and stay listed.
    """

    def __init__(self) -> None:
        self.endpoints: dict[str, Endpoint] = {}
        self._names: dict[Address, tuple[str, ...]] = {}  # immutable, so that a copy may share them

    def copy(self) -> HostTable:
        """A table with the same hosts, which changes independently."""
        table = HostTable()
        table.endpoints, table._names = dict(self.endpoints), dict(self._names)
        return table

    def remove(self, name: str) -> None:
        """Removes a host if it is listed."""
        if endpoint := self.endpoints.pop(name, None):
            others = tuple(other for other in self._names.pop(endpoint.address) if other != name)
            if others:
                self._names[endpoint.address] = others

    def place(self, endpoint: Endpoint) -> list[Endpoint]:
        """Lists a host; returns those at its address that have gone: all but the ones started last.

        That may be the host itself, if what is reported of it is older than another one's start.
        """
        self.remove(endpoint.host.id)
        others = [self.endpoints[name] for name in self._names.get(endpoint.address, ())]
        if any(other.host.started_at > endpoint.host.started_at for other in others):
            return [endpoint]
        gone = [other for other in others if other.host.started_at < endpoint.host.started_at]
        for other in gone:
            self.remove(other.host.id)
        self.endpoints[endpoint.host.id] = endpoint
        self._names[endpoint.address] = (*self._names.get(endpoint.address, ()), endpoint.host.id)
        return gone


class Discovery:
    """Follows the host list of the discovery agent that this gateway calls.

    In `on_change(kind, hosts, retired)`, `hosts` are those named in a message; `retired` are the previous
    instances whose idle connections must close, also those of hosts that a full list no longer names.
    """

    def __init__(
        self,
        address: Address,
        zones: tuple[str, ...],
        machine_types: tuple[str, ...],
        on_change: Callable[[api.ListKind, tuple[api.HostInfo, ...], list[HostInstance]], None],
        max_silence: float = MAX_SILENCE_S,
        queued_callers: int = 0,
        drain_grace: float = math.inf,
        max_propagation_delay: float = math.inf,
    ) -> None:
        """`queued_callers`: how many gateways share a discovery that serves their calls one by one from a
        queue; 0 if each call is answered immediately.

        A change counts as known from when this gateway is expected to act on it.

        `drain_grace`: s from when a drain counts as known to when sending to the host must have ended. A
        drain that the agent learns of on its return counts as known immediately, so a call that has just
        failed must be repeated and answered well within this time.

        `max_propagation_delay`: s after which every change counts as known, from when discovery is reachable
        again or a watch has fallen silent. However many calls have failed, the next response must come by
        then.
        """
        self.address, self.on_change = address, on_change
        self.max_propagation_delay = self.propagation_limit = max_propagation_delay
        self.call_spread = CALL_SPACING_S * queued_callers
        if queued_callers:
            self.connect_timeout, self.response_timeout, self.max_response_time = (
                QUEUED_CONNECT_TIMEOUT_S,
                QUEUED_RESPONSE_TIMEOUT_S,
                MAX_QUEUE_WAIT_S,
            )
            self.max_backoff = MAX_BACKOFF_S
        else:
            share = max(MIN_GRACE_SHARE_S, drain_grace / GRACE_SHARES)
            self.connect_timeout, self.response_timeout = (
                min(CONNECT_TIMEOUT_S, share),
                min(max_silence, RESPONSE_TIMEOUT_S, share),
            )
            self.max_response_time, self.max_backoff = (
                self.response_timeout,
                min(MAX_BACKOFF_S, share / (1 + JITTER)),
            )
        # When silence is detected, there must be time left for a pause, connecting and the response.
        self.max_silence = min(
            max_silence,
            max_propagation_delay - self.connect_timeout - self.max_response_time - 2 * LOOP_DELAY_MARGIN_S,
        )
        self.zones = {name: i for i, name in enumerate(zones)}
        self.machine_types = {name: i for i, name in enumerate(machine_types)}
        self.table = HostTable()
        self.index: int | None = None
        self.random = random.Random()
        self.watch: Watch | None = None
        self.backoff = MIN_BACKOFF_S
        self.stale_since = math.inf  # loop time from which on changes may have been missed
        self.moved = asyncio.Event()  # set when the address has changed, to end all waiting
        self.on_response: Callable[[], None] | None = None  # called at each response head

    @property
    def endpoints(self) -> dict[str, Endpoint]:
        """The listed hosts by name."""
        return self.table.endpoints

    def apply(self, message: dict[str, Any], cached: bool = False) -> None:
        """Merges one message into the list.

        An invalid entry is logged and ignored: a host that it names stays as it was listed before.
        """
        entries, index = message.get("endpoints", []), message.get("index")
        if not isinstance(entries, list):
            raise ValueError("endpoints: not a list")
        full = bool(message.get("snapshot")) or cached
        changed: list[api.HostInfo] = []
        before, table = self.endpoints, HostTable() if full else self.table.copy()
        for entry in entries:
            try:
                endpoint = self._read_entry(entry)
            except (KeyError, ValueError, TypeError, AttributeError, OverflowError) as error:
                log.warning("discovery: cannot use entry %.200r: %r", entry, error)
                known = isinstance(entry, dict) and before.get(str(entry.get("name")))
                if not (full and known):
                    continue
                endpoint = known  # one invalid field must not remove a host
            changed.append(endpoint.host)
            if endpoint.host.state is api.HostState.GONE:
                table.remove(endpoint.host.id)
                continue
            for gone in table.place(endpoint):
                log.info("discovery: %s is gone, another host has its address", gone.host.id)
                changed.append(replace(gone.host, state=api.HostState.GONE))
        self.table = table
        # A host that drains, is gone, has restarted or moved: its idle connections are of no more use.
        names = before if full else dict.fromkeys(host.id for host in changed if host.id in before)
        retired = [
            before[name].host_instance
            for name in names
            if self._is_retired(before[name], table.endpoints.get(name))
        ]
        # Without a valid index the next watch starts with the full list.
        self.index = index if type(index) is int and index >= 0 else None
        if cached or full or changed:
            kind = api.ListKind.CACHED if cached else api.ListKind.FULL if full else api.ListKind.CHANGES
            self.on_change(kind, tuple(changed), retired)

    @staticmethod
    def _is_retired(old: Endpoint, new: Endpoint | None) -> bool:
        if new is None or new.draining or new.address != old.address:
            return True
        return new.host.started_at != old.host.started_at

    def _read_entry(self, entry: dict[str, Any]) -> Endpoint:
        state = HOST_STATES[entry["status"]]
        gone = state is api.HostState.GONE
        weight, since = float(entry.get("weight", 1.0)), float(entry.get("since_ms") or 0)
        if not (math.isfinite(weight) and math.isfinite(since)):
            raise ValueError("weight or since_ms: not a finite number")
        host = api.HostInfo(
            id=str(entry["name"]),
            state=state,
            scale=weight,
            zone=self.zones.get(entry.get("zone", ""), -1),
            cell=int(entry.get("group") or 0),
            kind=self.machine_types.get(entry.get("type", ""), -1),
            started_at=since / 1000,
        )
        return Endpoint(host, ("", 0) if gone else read_address(entry["address"]))

    def follow(self) -> None:
        """Asks for changes from now on. Nothing to do: `run` always keeps a watch open."""

    def refresh(self) -> None:
        """Asks for the full list, by closing the watch and opening one without an index."""
        self.index = None
        if self.watch:
            self.watch.close()

    def move(self, address: Address) -> None:
        """Switches to another agent and asks it for the full list, as the index is the old agent's.

        The current list stays in use until the new agent has sent its own.
        """
        self.address, self.backoff = address, MIN_BACKOFF_S
        self.propagation_limit = min(self.max_propagation_delay, MOVED_PROPAGATION_DELAY_S)
        self.refresh()
        self.moved.set()

    async def run(self) -> None:
        """Keeps a watch open until cancelled.

        No error in a watch may end this, or the list would go out of date unnoticed.
        """
        loop = asyncio.get_running_loop()
        self.stale_since = loop.time()
        # Gateways restarted together spread their first calls; they serve from the cached list until then.
        if self.call_spread and self.endpoints:
            await asyncio.sleep(self._retry_delay(self.stale_since))
        while True:
            self.moved.clear()
            watching = asyncio.ensure_future(self._run_watch())
            moved = asyncio.ensure_future(self.moved.wait())
            try:
                await asyncio.wait([watching, moved], return_when=asyncio.FIRST_COMPLETED)
                if moved.done():  # connecting to the old address may hang: do not wait for it
                    continue
                if error := watching.exception():
                    log.error("discovery: watch failed", exc_info=error)
                useful = not error and watching.result()
                self.backoff = MIN_BACKOFF_S if useful else min(2 * self.backoff, self.max_backoff)
                await asyncio.wait([moved], timeout=self._retry_delay(loop.time()))
            finally:
                watching.cancel()
                moved.cancel()

    def _retry_delay(self, now: float) -> float:
        """The delay before the next call, jittered so that gateways that lost discovery together spread out.

        However often calls have failed, it leaves time to connect and get a response before this gateway is
        expected to know the changes made since the last failed call began.
        """
        remaining = (
            self.stale_since
            + self.propagation_limit
            - LOOP_DELAY_MARGIN_S
            - self.connect_timeout
            - self.max_response_time
            - now
        )
        longest = max(0.0, min(self.backoff * (1 + JITTER) + self.call_spread, remaining))
        return self.random.uniform(min(self.backoff * (1 - JITTER), longest), longest)

    async def _run_watch(self) -> bool:
        """Follows one watch to its end; returns whether it delivered data, and no invalid message."""
        loop = asyncio.get_running_loop()
        watch = self.watch = Watch(self)
        self.stale_since = loop.time()
        try:
            async with asyncio.timeout(self.connect_timeout):
                await loop.create_connection(lambda: watch, *self.address)
        except (OSError, TimeoutError):
            watch.close()
            return False
        while not watch.closed.done():
            # If the network path is cut, the connection stays open and silent.
            limit = self.max_silence if watch.responded else self.response_timeout
            remaining = watch.last_received_at + limit - loop.time()
            if remaining <= 0:
                log.warning("discovery: no data for %.1f s, opening a new watch", limit)
                watch.timed_out = True
                watch.close()
            # At most `max_silence`: the response may come, and the watch then fall silent, during this wait.
            await asyncio.wait([watch.closed], timeout=max(min(remaining, self.max_silence), MIN_POLL_S))
        useful = watch.received and not watch.malformed
        if watch.responded:  # until its loss, a useful watch delivered all changes
            self.stale_since = loop.time() if useful and not watch.timed_out else watch.last_received_at
        if useful:
            self.propagation_limit = self.max_propagation_delay
        return useful


def skip_whitespace(text: str, position: int) -> int:
    """The position of the first other character from `position` on, or the length of the text."""
    match = WHITESPACE.match(text, position)
    return match.end() if match else position


class Watch(asyncio.Protocol):
    """One watch: a chunked response of JSON objects, with empty lines as heartbeats between them."""

    def __init__(self, owner: Discovery) -> None:
        self.owner, self.buffer = owner, bytearray()
        # Whether the response head has come, any of the body, and an invalid message in it.
        self.responded = self.received = self.malformed = False
        self.timed_out = False  # closed because it was silent for too long
        self.partial = False  # whether `buffer` holds whole lines of an incomplete message
        self.rejected = 0  # invalid messages
        self.scanned = self.depth = 0  # bytes of `buffer` scanned for brackets, and brackets open after them
        self.transport: asyncio.Transport | None = None
        loop = asyncio.get_running_loop()
        self.closed: asyncio.Future[None] = loop.create_future()
        self.clock = loop.time
        self.last_received_at = loop.time()

    def connection_made(self, transport: Any) -> None:  # noqa: ANN401
        self.transport = transport
        self.last_received_at = self.clock()
        self.parser = httptools.HttpResponseParser(self)
        after = "" if self.owner.index is None else f"&index={self.owner.index}"
        host, port = self.owner.address
        text = f"GET /discovery/hosts?stream=1{after} HTTP/1.1\r\nHost: {host}:{port}\r\n\r\n"
        transport.write(text.encode())

    def data_received(self, data: bytes) -> None:
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError as error:
            log.warning("discovery: %r", error.__context__ or error)
            self.close()

    def on_headers_complete(self) -> None:
        if self.parser.get_status_code() != 200:
            raise ValueError(f"status {self.parser.get_status_code()}")
        self.last_received_at, self.responded = self.clock(), True
        if self.owner.on_response:
            self.owner.on_response()

    def on_body(self, body: bytes) -> None:
        if self.owner.watch is not self:  # data for a watch that has been replaced
            self.close()
            return
        self.last_received_at, self.received = self.clock(), True
        self.buffer += body
        if len(self.buffer) > MAX_MESSAGE_BYTES:
            raise ValueError("message exceeds the size limit")
        # Does not parse an indented message with each line, only once it may be complete or on an empty line.
        if b"\n" in body and (not self.partial or not body.strip() or self._may_be_complete()):
            self._read_messages()
        if self.malformed:
            self.close()

    def _may_be_complete(self) -> bool:
        """Whether the whole lines close all brackets, or a new message begins; scans each line only once."""
        end = self.buffer.rfind(b"\n") + 1
        begins = self.buffer.find(b"\n{", max(0, self.scanned - 1), end) >= 0  # the one before is truncated
        for token in STRING_OR_BRACKET.finditer(self.buffer, self.scanned, end):
            self.depth += bool(token[1]) - bool(token[2])
        self.scanned = end
        return begins or self.depth <= 0

    def _read_messages(self) -> None:
        """Applies and removes the complete messages: JSON objects on one line, or indented over several."""
        whole, end, unfinished = self.buffer.rpartition(b"\n")
        text = (whole + end).decode(errors="replace")
        stripped_length = len(text.rstrip())
        position = skip_whitespace(text, 0)
        while position < len(text) and self.rejected < MAX_REJECTED_MESSAGES:
            try:
                message, message_end = DECODER.raw_decode(text, position)
            except (json.JSONDecodeError, RecursionError) as error:
                # JSON that ends too early is a message still arriving, unless it contains an empty line.
                early = isinstance(error, json.JSONDecodeError) and error.pos >= stripped_length
                if early and not EMPTY_LINE.search(text, position):
                    break
                message_end = text.index("\n", position)
                self._reject(text[position:message_end], error)
            else:
                self._apply_message(message)
            position = skip_whitespace(text, message_end)
        self.partial, self.buffer = position < len(text), bytearray(text[position:].encode()) + unfinished
        self.scanned = self.depth = 0

    def _apply_message(self, message: Any) -> None:  # noqa: ANN401
        known = self.owner.index
        try:
            self.owner.apply(message)
            index = self.owner.index
            if known is not None and index is not None and index < known and not message.get("snapshot"):
                raise ValueError("changes to a list older than the current one")
        except (ValueError, TypeError, AttributeError) as error:
            self._reject(json.dumps(message), error)
        if self.malformed:
            self.owner.index = None

    def _reject(self, text: str, error: Exception) -> None:
        """Logs an invalid message, after which the next watch asks for the full list.

        The other messages received with it are still read, up to MAX_REJECTED_MESSAGES invalid ones; then
        this watch closes.
        """
        log.warning("discovery: cannot use message %.200r: %r", text, error)
        self.malformed = True
        self.rejected += 1
        self.owner.index = None

    def on_message_complete(self) -> None:
        self.close()

    def close(self) -> None:
        if self.transport:
            self.transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        if not self.closed.done():
            self.closed.set_result(None)
