"""What both ends of the gateways saw in a run: typed entries, written as JSON lines.

All times are seconds on the harness's monotonic clock. Gateways are named by their index, a start of one by
its number from 0 on.
"""

from __future__ import annotations

from pathlib import Path
from typing import Literal, TypeVar

import msgspec

Repeat = Literal["safe", "keyed", "unsafe"]


class Entry(msgspec.Struct, frozen=True, tag=True):
    """One thing that was seen, and when."""

    at: float


class RequestSent(Entry, frozen=True):
    """The last byte of a request was written to a connection that the gateway's machine had accepted."""

    request: str
    gateway: int
    start: int
    repeat: Repeat
    patience: float  # s that the client waits
    customer: int
    units: float
    kept: bool  # on a connection that had served a request before
    resent: bool  # once more, after a kept connection ended unanswered


class Answered(Entry, frozen=True):
    """A whole answer came; the client has read its last byte."""

    request: str
    status: int
    is_own: bool  # a 200 holds the body that a host made for this request


class ExtraAnswer(Entry, frozen=True):
    """Bytes came that no request had asked for."""

    request: str


class ClientLeft(Entry, frozen=True):
    """The client closed its connection while it waited."""

    request: str


class ConnectionEnded(Entry, frozen=True):
    """The gateway ended the connection of a request without a whole answer."""

    request: str
    is_partial: bool  # some bytes of an answer had come


class AttemptArrived(Entry, frozen=True):
    """A host read the last byte of a request."""

    request: str
    host: str
    host_started: float  # the host's start that the attempt met
    first_byte: float
    patience: float  # s that the attempt told


class AttemptEnded(Entry, frozen=True):
    """A host has answered an attempt or its connection has ended."""

    request: str
    host: str
    never_ran: bool  # the host said so


class HostChanged(Entry, frozen=True):
    """The list of hosts changed; gateways may be told from `known_at` on, when their agents had it."""

    host: str
    status: Literal["active", "leaving", "left"]
    started: float
    known_at: float


class HostTold(Entry, frozen=True):
    """A watch of a gateway was sent a host's state."""

    gateway: int
    host: str
    status: Literal["active", "leaving", "left"]


class CounterCalled(Entry, frozen=True):
    """A gateway's call reached the counter."""

    gateway: int
    name: int
    amount: float
    added: bool
    certain: bool  # the gateway was told whether it was added


class ProcessStarted(Entry, frozen=True):
    gateway: int
    start: int


class ProcessReady(Entry, frozen=True):
    gateway: int
    start: int
    descriptors: int
    memory: int  # bytes


class ProcessSignalled(Entry, frozen=True):
    gateway: int
    start: int
    signal: Literal["SIGTERM", "SIGHUP", "SIGKILL"]
    planned: bool  # a SIGKILL that ends a planned restart


class ProcessExited(Entry, frozen=True):
    gateway: int
    start: int
    code: int


class ProcessRested(Entry, frozen=True):
    """After the load: what a process holds when its clients have gone."""

    gateway: int
    start: int
    descriptors: int
    memory: int  # bytes
    host_connections: int  # open at all hosts together


class ErrorLogged(Entry, frozen=True):
    """A line of a gateway's log that tells of a failure of its own."""

    gateway: int
    text: str


class Delayed(Entry, frozen=True):
    """A stall that was injected into a gateway, or a lag of the harness itself, from `at` to `until`."""

    gateway: int  # -1: the harness, and so anybody on this machine
    until: float


class Crowded(Entry, frozen=True):
    """Idle clients filled a gateway's descriptors from `at` to `until`."""

    gateway: int
    until: float


EntryType = TypeVar("EntryType", bound=Entry)
AnyEntry = (
    RequestSent
    | Answered
    | ExtraAnswer
    | ClientLeft
    | ConnectionEnded
    | AttemptArrived
    | AttemptEnded
    | HostChanged
    | HostTold
    | CounterCalled
    | ProcessStarted
    | ProcessReady
    | ProcessSignalled
    | ProcessExited
    | ProcessRested
    | ErrorLogged
    | Delayed
    | Crowded
)


class Conditions(msgspec.Struct, frozen=True):
    """Figures of a run that the rules need."""

    seed: int
    drain_grace: float  # s after a drain was told in which sending has to end
    key_window: float  # s in which a keyed request may be repeated
    longest_patience: float  # s
    books_customers: tuple[int, ...]  # all of whose requests go to gateway 0, which is never restarted


class Record(msgspec.Struct):
    """A run's conditions and entries."""

    conditions: Conditions
    entries: list[AnyEntry] = msgspec.field(default_factory=list)

    def of(self, entry_type: type[EntryType]) -> list[EntryType]:
        """All entries of a entry_type, in the order of their time."""
        return sorted((e for e in self.entries if isinstance(e, entry_type)), key=lambda entry: entry.at)

    def write(self, path: Path) -> None:
        """Writes the conditions, then an entry a line."""
        encode = msgspec.json.encode
        path.write_bytes(b"".join(encode(item) + b"\n" for item in [self.conditions, *self.entries]))

    @classmethod
    def read(cls, path: Path) -> Record:
        """Reads a record back; raises msgspec.DecodeError where the file is no record."""
        first, *lines = path.read_bytes().splitlines()
        conditions = msgspec.json.decode(first, type=Conditions)
        decoder = msgspec.json.Decoder(AnyEntry)
        return cls(conditions, [decoder.decode(text) for text in lines])
