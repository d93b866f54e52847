"""The watch on discovery: keeps the merged list of hosts and passes on each change of it."""

from __future__ import annotations

import asyncio
import json
import logging
import math
import random
import re
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import httptools

from coralvale import interface as api
from coralvale.net.config import Address, Place, read_address

log = logging.getLogger(__name__)

MAX_SILENCE_S = 3.5  # without a line on a watch before it counts as dead; one is due every 2 s
RESPONSE_TIMEOUT_S = 1.5  # for the response head of an agent that answers each call at once
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
EMPTY_LINE = re.compile(r"\n[ \t\r]*\n")
DECODER = json.JSONDecoder()
HOST_STATES = {
    "active": api.HostState.HEALTHY,
    "leaving": api.HostState.DRAINING,
    "left": api.HostState.GONE,
}


@dataclass(slots=True)
class Endpoint:
    """A listed host: what the module knows of it, and its address here."""

    host: api.HostInfo
    address: Address

    @property
    def place(self) -> Place:
        return self.host.id, self.host.started_at, self.address

    @property
    def draining(self) -> bool:
        return self.host.state is api.HostState.DRAINING


class Discovery:
    """Follows the list; `on_change(kind, servers, stale)` gets what changed and which hosts to let go."""

    def __init__(
        self,
        address: Address,
        zones: tuple[str, ...],
        kinds: tuple[str, ...],
        on_change: Callable[[api.ListKind, tuple[api.HostInfo, ...], list[Place]], None],
        max_silence: float = MAX_SILENCE_S,
        queued_callers: int = 0,
        drain_grace: float = math.inf,
        max_propagation_delay: float = math.inf,
    ) -> None:
        """`callers`: how many gateways' calls wait in one line; nought where each is answered at once.

        `grace`: s from when a drain counts as told until sending must have ended. What an agent learns when
        it is back counts at once, so a try that came just too early must be over well within that.
        `max_propagation_delay`: s after discovery could be reached, or a watch of it fell silent, in which
        what it has counts as told, whatever calls have failed: from then to the next answer it must not take
        longer.
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
        # What is left when silence is noticed has to be enough for a pause, a connect and an answer.
        self.max_silence = min(
            max_silence,
            max_propagation_delay - self.connect_timeout - self.max_response_time - 2 * LOOP_DELAY_MARGIN_S,
        )
        self.zones = {name: i for i, name in enumerate(zones)}
        self.kinds = {name: i for i, name in enumerate(kinds)}
        self.endpoints: dict[str, Endpoint] = {}
        self.index: int | None = None
        self.random = random.Random()
        self.watch: Watch | None = None
        self.backoff = MIN_BACKOFF_S
        self.stale_since = math.inf  # from when on discovery may have had what it has not told
        self.moved = asyncio.Event()  # set when the address has changed: there is nothing to wait for
        self.on_response: Callable[[], None] | None = None  # called when a watch has been answered

    def apply(self, message: dict[str, Any], cached: bool = False) -> None:
        """Merges one message into the list; an entry that cannot be read is left out and named in the log."""
        entries, index = message.get("endpoints", []), message.get("index")
        if not isinstance(entries, list):
            raise ValueError("endpoints: no list")
        full = bool(message.get("snapshot")) or cached
        changed: list[api.HostInfo] = []
        before, listed = self.endpoints, {} if full else dict(self.endpoints)
        for entry in entries:
            try:
                endpoint = self._read_entry(entry)
            except (KeyError, ValueError, TypeError, AttributeError, OverflowError) as error:
                log.warning("discovery: cannot use entry %.200r: %r", entry, error)
                known = isinstance(entry, dict) and before.get(str(entry.get("name")))
                if not (full and known):
                    continue
                endpoint = known  # one bad field must not take a host from the list
            name = endpoint.host.id
            changed.append(endpoint.host)
            if endpoint.host.state is api.HostState.GONE:
                listed.pop(name, None)
                continue
            listed[name] = endpoint
        self.endpoints = listed
        # A host that drains, has gone, restarted or moved: connections kept to it serve nothing new.
        retired = [old.place for name, old in before.items() if self._is_retired(old, listed.get(name))]
        # Without an index that can be read, the next watch begins with the whole list.
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
            raise ValueError("weight or since_ms: no finite number")
        host = api.HostInfo(
            id=str(entry["name"]),
            state=state,
            scale=weight,
            zone=self.zones.get(entry.get("zone", ""), -1),
            cell=int(entry.get("group") or 0),
            kind=self.kinds.get(entry.get("type", ""), -1),
            started_at=since / 1000,
        )
        return Endpoint(host, ("", 0) if gone else read_address(entry["address"]))

    def follow(self) -> None:
        """Asks for what changes from now on: the watch does, and begins anew whenever it is lost."""

    def refresh(self) -> None:
        """Asks for the whole list, by a new watch from no version."""
        self.index = None
        if self.watch:
            self.watch.close()

    def move(self, address: Address) -> None:
        """Follows another agent from now on, from no version: an index means nothing to a stranger.

        The list stays as it is until the new agent has told its own.
        """
        self.address, self.backoff = address, MIN_BACKOFF_S
        self.propagation_limit = min(self.max_propagation_delay, MOVED_PROPAGATION_DELAY_S)
        self.refresh()
        self.moved.set()

    async def run(self) -> None:
        """Watches for good. Nothing that goes wrong in one watch may end this: the list would age unseen."""
        loop = asyncio.get_running_loop()
        self.stale_since = loop.time()
        if (
            self.call_spread and self.endpoints
        ):  # gateways that were restarted together have a list to begin with
            await asyncio.sleep(self._retry_delay(self.stale_since))
        while True:
            self.moved.clear()
            watching = asyncio.ensure_future(self._run_watch())
            moved = asyncio.ensure_future(self.moved.wait())
            try:
                await asyncio.wait([watching, moved], return_when=asyncio.FIRST_COMPLETED)
                if moved.done():  # a connect to the old address may hang, so it is not waited for
                    continue
                if error := watching.exception():
                    log.error("discovery: a watch failed", exc_info=error)
                useful = not error and watching.result()
                self.backoff = MIN_BACKOFF_S if useful else min(2 * self.backoff, self.max_backoff)
                await asyncio.wait([moved], timeout=self._retry_delay(loop.time()))
            finally:
                watching.cancel()
                moved.cancel()

    def _retry_delay(self, now: float) -> float:
        """Jittered, so that gateways that lost discovery together do not come back together.

        However often calls have failed, it leaves time to connect and be answered before what discovery may
        have since the last of them counts as told.
        """
        left = (
            self.stale_since
            + self.propagation_limit
            - LOOP_DELAY_MARGIN_S
            - self.connect_timeout
            - self.max_response_time
            - now
        )
        longest = max(0.0, min(self.backoff * (1 + JITTER) + self.call_spread, left))
        return self.random.uniform(min(self.backoff * (1 - JITTER), longest), longest)

    async def _run_watch(self) -> bool:
        """Follows one watch to its end; tells whether it was of any use."""
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
            # A watch cut off on the way stays open and says nothing for good.
            limit = self.max_silence if watch.responded else self.response_timeout
            left = watch.last_received_at + limit - loop.time()
            if left <= 0:
                log.warning("discovery: nothing heard for %.1f s, watching anew", limit)
                watch.timed_out = True
                watch.close()
            # No longer than it may be silent: it may be answered, and fall silent, while this waits.
            await asyncio.wait([watch.closed], timeout=max(min(left, self.max_silence), MIN_POLL_S))
        useful = watch.received and not watch.malformed
        if watch.responded:  # one that was of use has told all until it was lost
            self.stale_since = loop.time() if useful and not watch.timed_out else watch.last_received_at
        if useful:
            self.propagation_limit = self.max_propagation_delay
        return useful


class Watch(asyncio.Protocol):
    """One watch: a chunked answer of JSON objects, and of empty lines while nothing changes."""

    def __init__(self, owner: Discovery) -> None:
        self.owner, self.buffer = owner, b""
        self.responded = self.received = self.malformed = False
        self.timed_out = False  # it said nothing for too long
        self.partial = False  # whether `rest` holds lines of a message that has not come whole
        self.scanned = self.depth = 0  # bytes of `rest` looked at for brackets, and those left open there
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
        if self.owner.watch is not self:  # what an agent left behind still had to say
            self.close()
            return
        self.last_received_at, self.received = self.clock(), True
        self.buffer += body
        if len(self.buffer) > MAX_MESSAGE_BYTES:
            raise ValueError("a message without end")
        # An indented message is not read again with each line, but where its end or an empty line has come.
        if b"\n" in body and (not self.partial or not body.strip() or self._may_be_complete()):
            self._read_messages()
        if self.malformed:
            self.close()

    def _may_be_complete(self) -> bool:
        """Whether the whole lines close what they open, or a message begins; each line is looked at once."""
        end = self.buffer.rfind(b"\n") + 1
        begins = self.buffer.find(b"\n{", max(0, self.scanned - 1), end) >= 0  # behind one that broke off
        for token in STRING_OR_BRACKET.finditer(self.buffer, self.scanned, end):
            self.depth += bool(token[1]) - bool(token[2])
        self.scanned = end
        return begins or self.depth <= 0

    def _read_messages(self) -> None:
        """Takes out the messages that have come whole: an object on one line, or indented over several."""
        whole, end, unfinished = self.buffer.rpartition(b"\n")
        text = (whole + end).decode(errors="replace").lstrip()
        while text:
            try:
                message, size = DECODER.raw_decode(text)
            except (json.JSONDecodeError, RecursionError) as error:
                # A message that ends too early for JSON is still coming, unless an empty line is in it.
                early = isinstance(error, json.JSONDecodeError) and error.pos >= len(text.rstrip())
                if early and not EMPTY_LINE.search(text):
                    break
                size = text.index("\n")
                self._reject(text[:size], error)
            else:
                self._apply_message(message)
            text = text[size:].lstrip()
        self.partial, self.buffer = bool(text), text.encode() + unfinished
        self.scanned = self.depth = 0

    def _apply_message(self, message: Any) -> None:  # noqa: ANN401
        known = self.owner.index
        try:
            self.owner.apply(message)
            index = self.owner.index
            if known is not None and index is not None and index < known and not message.get("snapshot"):
                raise ValueError("changes to an older list than the one held")
        except (ValueError, TypeError, AttributeError) as error:
            self._reject(json.dumps(message), error)
        if self.malformed:
            self.owner.index = None

    def _reject(self, text: str, error: Exception) -> None:
        """One bad message must not lose the others; what it told is asked for anew, with the whole list."""
        log.warning("discovery: cannot use message %.200r: %r", text, error)
        self.malformed = True
        self.owner.index = None

    def on_message_complete(self) -> None:
        self.close()

    def close(self) -> None:
        if self.transport:
            self.transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        if not self.closed.done():
            self.closed.set_result(None)
