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
from coralvale.net.config import Address, HostInstance, read_address

log = logging.getLogger(__name__)

SILENT = 3.5  # s without a line, of which one is due every 2 s, after which a watch is dead
ANSWER = 1.5  # s that the agent, which answers at once, may take for the head of its answer
TURNS = 2.0  # s that a call waits in a line, at the most, before it fails there
PATIENCE = 2.5  # s for an answer where calls wait in a line: one left early is served all the same, and fails
TURN = 0.16  # s between the fleet's calls to a discovery that serves them in a line, so that it stays short
CONNECT = 1.0  # s for a connection to the agent, which is on this machine
CONNECT_LINE = 0.5  # s for it where the calls of a fleet wait in a line: the time to be told is for the line
LATE = 0.25  # s of the time to be told that is kept, as the loop may be late
MOVED = 4.0  # s after a move in which what the new agent has counts as told
BACKOFF, MOST_BACKOFF = 0.05, 1.0  # s before the next try, doubled each time, and jittered
JITTER = 0.5  # share by which a pause is longer or shorter
STEPS = 4  # a try to connect, one for an answer, a pause: together they stay under the drain's own limit
SHORTEST = 0.1  # s that each of these has however short that limit is: the loop may be late by as much
LOOK = 0.1  # s between looks at a watch at the least
MAX_MESSAGE = 8 * 1024 * 1024  # bytes of a list: thousands of hosts, indented
DEPTH = re.compile(rb'"(?:[^"\\]|\\.)*"|([\[{])|([\]}])')  # strings hold no line ends, but may hold braces
EMPTY_LINE = re.compile(r"\n[ \t\r]*\n")
DECODER = json.JSONDecoder()
STATES = {
    "active": api.HostState.HEALTHY,
    "leaving": api.HostState.DRAINING,
    "left": api.HostState.GONE,
}


@dataclass(slots=True)
class Endpoint:
    """A listed host: what the module knows of it, and its address here."""

    server: api.HostInfo
    address: Address

    @property
    def place(self) -> HostInstance:
        return self.server.id, self.server.started_at, self.address

    @property
    def leaving(self) -> bool:
        return self.server.state is api.HostState.DRAINING


class Discovery:
    """Follows the list; `on_change(kind, servers, stale)` gets what changed and which hosts to let go."""

    def __init__(
        self,
        address: Address,
        zones: tuple[str, ...],
        kinds: tuple[str, ...],
        on_change: Callable[[api.ListKind, tuple[api.HostInfo, ...], list[HostInstance]], None],
        silent: float = SILENT,
        callers: int = 0,
        grace: float = math.inf,
        told_within: float = math.inf,
    ) -> None:
        """`callers`: how many gateways' calls wait in one line; nought where each is answered at once.

        `grace`: s from when a drain counts as told until sending must have ended. What an agent learns when
        it is back counts at once, so a try that came just too early must be over well within that.
        `told_within`: s after discovery could be reached, or a watch of it fell silent, in which what it has
        counts as told, whatever calls have failed: from then to the next answer it must not take longer.
        """
        self.address, self.on_change = address, on_change
        self.told_within = self.within = told_within
        self.spread = TURN * callers
        if callers:
            self.connect_time, self.patience, self.answer = CONNECT_LINE, PATIENCE, TURNS
            self.most_backoff = MOST_BACKOFF
        else:
            step = max(SHORTEST, grace / STEPS)
            self.connect_time, self.patience = min(CONNECT, step), min(silent, ANSWER, step)
            self.answer, self.most_backoff = self.patience, min(MOST_BACKOFF, step / (1 + JITTER))
        # What is left when silence is noticed has to be enough for a pause, a connect and an answer.
        self.silent = min(silent, told_within - self.connect_time - self.answer - 2 * LATE)
        self.zones = {name: i for i, name in enumerate(zones)}
        self.kinds = {name: i for i, name in enumerate(kinds)}
        self.endpoints: dict[str, Endpoint] = {}
        self.index: int | None = None
        self.random = random.Random()
        self.connection: Watch | None = None
        self.backoff = BACKOFF
        self.since = math.inf  # from when on discovery may have had what it has not told
        self.moved = asyncio.Event()  # set when the address has changed: there is nothing to wait for
        self.on_answer: Callable[[], None] | None = None  # called when a watch has been answered

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
                endpoint = self._read(entry)
            except (KeyError, ValueError, TypeError, AttributeError, OverflowError) as error:
                log.warning("discovery: cannot use entry %.200r: %r", entry, error)
                known = isinstance(entry, dict) and before.get(str(entry.get("name")))
                if not (full and known):
                    continue
                endpoint = known  # one bad field must not take a host from the list
            name = endpoint.server.id
            changed.append(endpoint.server)
            if endpoint.server.state is api.HostState.GONE:
                listed.pop(name, None)
                continue
            listed[name] = endpoint
        self.endpoints = listed
        # A host that drains, has gone, restarted or moved: connections kept to it serve nothing new.
        stale = [old.place for name, old in before.items() if self._replaced(old, listed.get(name))]
        # Without an index that can be read, the next watch begins with the whole list.
        self.index = index if type(index) is int and index >= 0 else None
        if cached or full or changed:
            kind = api.ListKind.CACHED if cached else api.ListKind.FULL if full else api.ListKind.CHANGES
            self.on_change(kind, tuple(changed), stale)

    @staticmethod
    def _replaced(old: Endpoint, new: Endpoint | None) -> bool:
        if new is None or new.leaving or new.address != old.address:
            return True
        return new.server.started_at != old.server.started_at

    def _read(self, entry: dict[str, Any]) -> Endpoint:
        state = STATES[entry["status"]]
        gone = state is api.HostState.GONE
        weight, since = float(entry.get("weight", 1.0)), float(entry.get("since_ms") or 0)
        if not (math.isfinite(weight) and math.isfinite(since)):
            raise ValueError("weight or since_ms: no finite number")
        server = api.HostInfo(
            id=str(entry["name"]),
            state=state,
            scale=weight,
            zone=self.zones.get(entry.get("zone", ""), -1),
            cell=int(entry.get("group") or 0),
            kind=self.kinds.get(entry.get("type", ""), -1),
            started_at=since / 1000,
        )
        return Endpoint(server, ("", 0) if gone else read_address(entry["address"]))

    def follow(self) -> None:
        """Asks for what changes from now on: the watch does, and begins anew whenever it is lost."""

    def refresh(self) -> None:
        """Asks for the whole list, by a new watch from no version."""
        self.index = None
        if self.connection:
            self.connection.close()

    def move(self, address: Address) -> None:
        """Follows another agent from now on, from no version: an index means nothing to a stranger.

        The list stays as it is until the new agent has told its own.
        """
        self.address, self.backoff = address, BACKOFF
        self.within = min(self.told_within, MOVED)
        self.refresh()
        self.moved.set()

    async def run(self) -> None:
        """Watches for good. Nothing that goes wrong in one watch may end this: the list would age unseen."""
        loop = asyncio.get_running_loop()
        self.since = loop.time()
        if self.spread and self.endpoints:  # gateways that were restarted together have a list to begin with
            await asyncio.sleep(self._pause(self.since))
        while True:
            self.moved.clear()
            watching = asyncio.ensure_future(self._watch())
            moved = asyncio.ensure_future(self.moved.wait())
            try:
                await asyncio.wait([watching, moved], return_when=asyncio.FIRST_COMPLETED)
                if moved.done():  # a connect to the old address may hang, so it is not waited for
                    continue
                if error := watching.exception():
                    log.error("discovery: a watch failed", exc_info=error)
                useful = not error and watching.result()
                self.backoff = BACKOFF if useful else min(2 * self.backoff, self.most_backoff)
                await asyncio.wait([moved], timeout=self._pause(loop.time()))
            finally:
                watching.cancel()
                moved.cancel()

    def _pause(self, now: float) -> float:
        """Jittered, so that gateways that lost discovery together do not come back together.

        However often calls have failed, it leaves time to connect and be answered before what discovery may
        have since the last of them counts as told.
        """
        left = self.since + self.within - LATE - self.connect_time - self.answer - now
        most = max(0.0, min(self.backoff * (1 + JITTER) + self.spread, left))
        return self.random.uniform(min(self.backoff * (1 - JITTER), most), most)

    async def _watch(self) -> bool:
        """Follows one watch to its end; tells whether it was of any use."""
        loop = asyncio.get_running_loop()
        watch = self.connection = Watch(self)
        self.since = loop.time()
        try:
            async with asyncio.timeout(self.connect_time):
                await loop.create_connection(lambda: watch, *self.address)
        except (OSError, TimeoutError):
            watch.close()
            return False
        while not watch.lost.done():
            # A watch cut off on the way stays open and says nothing for good.
            limit = self.silent if watch.answered else self.patience
            left = watch.heard_at + limit - loop.time()
            if left <= 0:
                log.warning("discovery: nothing heard for %.1f s, watching anew", limit)
                watch.silent = True
                watch.close()
            # No longer than it may be silent: it may be answered, and fall silent, while this waits.
            await asyncio.wait([watch.lost], timeout=max(min(left, self.silent), LOOK))
        useful = watch.heard and not watch.broken
        if watch.answered:  # one that was of use has told all until it was lost
            self.since = loop.time() if useful and not watch.silent else watch.heard_at
        if useful:
            self.within = self.told_within
        return useful


class Watch(asyncio.Protocol):
    """One watch: a chunked answer of JSON objects, and of empty lines while nothing changes."""

    def __init__(self, owner: Discovery) -> None:
        self.owner, self.rest = owner, b""
        self.answered = self.heard = self.broken = False
        self.silent = False  # it said nothing for too long
        self.begun = False  # whether `rest` holds lines of a message that has not come whole
        self.counted = self.depth = 0  # bytes of `rest` looked at for brackets, and those left open there
        self.transport: asyncio.Transport | None = None
        loop = asyncio.get_running_loop()
        self.lost: asyncio.Future[None] = loop.create_future()
        self.clock = loop.time
        self.heard_at = loop.time()

    def connection_made(self, transport: Any) -> None:  # noqa: ANN401
        self.transport = transport
        self.heard_at = self.clock()
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
        self.heard_at, self.answered = self.clock(), True
        if self.owner.on_answer:
            self.owner.on_answer()

    def on_body(self, body: bytes) -> None:
        if self.owner.connection is not self:  # what an agent left behind still had to say
            self.close()
            return
        self.heard_at, self.heard = self.clock(), True
        self.rest += body
        if len(self.rest) > MAX_MESSAGE:
            raise ValueError("a message without end")
        # An indented message is not read again with each line, but where its end or an empty line has come.
        if b"\n" in body and (not self.begun or not body.strip() or self._closed()):
            self._read()
        if self.broken:
            self.close()

    def _closed(self) -> bool:
        """Whether the whole lines close what they open, or a message begins; each line is looked at once."""
        end = self.rest.rfind(b"\n") + 1
        begins = self.rest.find(b"\n{", max(0, self.counted - 1), end) >= 0  # behind one that broke off
        for token in DEPTH.finditer(self.rest, self.counted, end):
            self.depth += bool(token[1]) - bool(token[2])
        self.counted = end
        return begins or self.depth <= 0

    def _read(self) -> None:
        """Takes out the messages that have come whole: an object on one line, or indented over several."""
        whole, end, unfinished = self.rest.rpartition(b"\n")
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
                self._spoilt(text[:size], error)
            else:
                self._apply(message)
            text = text[size:].lstrip()
        self.begun, self.rest = bool(text), text.encode() + unfinished
        self.counted = self.depth = 0

    def _apply(self, message: Any) -> None:  # noqa: ANN401
        known = self.owner.index
        try:
            self.owner.apply(message)
            index = self.owner.index
            if known is not None and index is not None and index < known and not message.get("snapshot"):
                raise ValueError("changes to an older list than the one held")
        except (ValueError, TypeError, AttributeError) as error:
            self._spoilt(json.dumps(message), error)
        if self.broken:
            self.owner.index = None

    def _spoilt(self, text: str, error: Exception) -> None:
        """One bad message must not lose the others; what it told is asked for anew, with the whole list."""
        log.warning("discovery: cannot use message %.200r: %r", text, error)
        self.broken = True
        self.owner.index = None

    def on_message_complete(self) -> None:
        self.close()

    def close(self) -> None:
        if self.transport:
            self.transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        if not self.lost.done():
            self.lost.set_result(None)
