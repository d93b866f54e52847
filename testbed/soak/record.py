"""The record of a run: what clients, hosts, discovery and counter saw, as typed entries in JSON lines.

All times are in seconds on the monotonic clock of the test. `gateway` is the index of a gateway; `start`
numbers the starts of its process from 0.
"""

from __future__ import annotations

from pathlib import Path
from typing import Literal, TypeVar

import msgspec

Repeat = Literal["safe", "keyed", "unsafe"]


class Entry(msgspec.Struct, frozen=True, tag=True):
    """Something that was observed, and when."""

    at: float


class RequestSent(Entry, frozen=True):
    """A client wrote the last byte of a request to an established connection."""

    request: str  # id, here and in all entries below
    gateway: int
    start: int
    repeat: Repeat  # its request class: whether it may run more than once
    patience: float  # s after which the client stops waiting
    customer: int
    units: float  # quota units
    kept: bool  # on a connection that had carried a request before
    resent: bool  # the second time, as the reused connection had ended without a response


class Answered(Entry, frozen=True):
    """The client read the last byte of a complete response."""

    request: str
    status: int
    is_own: bool  # the body is the one that hosts return for this request


class ExtraAnswer(Entry, frozen=True):
    """More bytes came after the response."""

    request: str


class ClientLeft(Entry, frozen=True):
    """The client closed its connection while it waited for the response."""

    request: str


class ConnectionEnded(Entry, frozen=True):
    """The gateway closed the connection of a request without a complete response."""

    request: str
    is_partial: bool  # part of a response had come


class AttemptArrived(Entry, frozen=True):
    """A host read the last byte of an attempt."""

    request: str
    host: str
    host_started: float  # Unix time of the host's last start; 0: long ago
    first_byte: float  # when its first byte was read
    patience: float  # s, from its X-Timeout header
    is_whole: bool = True  # its body is the one that the client sent


class AttemptEnded(Entry, frozen=True):
    """A host answered an attempt, or the connection of the attempt ended."""

    request: str
    host: str
    never_ran: bool  # the host rejected it without processing it


class HostChanged(Entry, frozen=True):
    """The host list changed; agents know the change from `known_at` on."""

    host: str
    status: Literal["active", "leaving", "left"]
    started: float  # Unix time of the host's last start; 0: long ago
    known_at: float


class HostTold(Entry, frozen=True):
    """A watch sent a gateway the status of a host."""

    gateway: int
    host: str
    status: Literal["active", "leaving", "left"]


class CounterCalled(Entry, frozen=True):
    """The counter handled a call of a gateway."""

    gateway: int
    name: int  # of the entry on the counter
    amount: float  # quota units
    added: bool
    certain: bool  # the gateway knows whether the amount was added


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
    planned: bool  # a SIGKILL as part of a planned restart


class ProcessExited(Entry, frozen=True):
    gateway: int
    start: int
    code: int


class ProcessRested(Entry, frozen=True):
    """Resources that a process still uses after all clients have gone."""

    gateway: int
    start: int
    descriptors: int
    memory: int  # bytes
    host_connections: int  # open connections at all hosts together


class ErrorLogged(Entry, frozen=True):
    """A line of a gateway's log that shows an internal error."""

    gateway: int
    text: str


class Delayed(Entry, frozen=True):
    """A gateway was stopped on purpose, or the event loop of the test was late, from `at` to `until`."""

    gateway: int  # -1: the event loop of the test; other processes may have been late as well
    until: float


class Crowded(Entry, frozen=True):
    """Idle clients used up a gateway's descriptors from `at` to `until`."""

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


class Ceiling(msgspec.Struct, frozen=True):
    """A customer's second store: it starts full, and each request that reaches a host takes its units."""

    customer: int
    rate: float  # units a second, at which it fills
    burst: float  # units, the most that it holds
    tolerance: float  # units by which it may fall below 0


class Conditions(msgspec.Struct, frozen=True):
    """Parameters of a run that the checker needs."""

    seed: int
    drain_grace: float  # s after the gateway knows of a drain within which it must stop sending to the host
    key_window: float  # s within which a keyed request may be sent again
    longest_patience: float  # s, the longest timeout of a client
    books_customers: tuple[int, ...]  # send only to gateway 0, which is never restarted
    ceilings: tuple[Ceiling, ...] = ()  # of customers that push against them


class Record(msgspec.Struct):
    """The parameters and entries of a run."""

    conditions: Conditions
    entries: list[AnyEntry] = msgspec.field(default_factory=list)

    def of(self, entry_type: type[EntryType]) -> list[EntryType]:
        """All entries of a type, in the order of their times."""
        return sorted((e for e in self.entries if isinstance(e, entry_type)), key=lambda entry: entry.at)

    def write(self, path: Path) -> None:
        """Writes the conditions in the first line, then one entry a line."""
        encode = msgspec.json.encode
        path.write_bytes(b"".join(encode(item) + b"\n" for item in [self.conditions, *self.entries]))

    @classmethod
    def read(cls, path: Path) -> Record:
        """Reads a record; raises msgspec.DecodeError if the file is not one."""
        first, *lines = path.read_bytes().splitlines()
        conditions = msgspec.json.decode(first, type=Conditions)
        decoder = msgspec.json.Decoder(AnyEntry)
        return cls(conditions, [decoder.decode(text) for text in lines])
