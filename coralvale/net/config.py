"""Reads and validates the configuration file, which is in JSON."""

from __future__ import annotations

import ipaddress
import json
import math
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from coralvale import interface as api
from coralvale.adapter import Fields, parse_int, read_settings, read_value

Address = tuple[str, int]
# One run of a host: its id, its start time (Unix time) and the address that it listens on.
HostInstance = tuple[str, float, Address]


MAX_PORT = 65535
MIN_SOCKETS = 64  # file descriptors that a gateway needs in order to serve
DEFAULT_SOCKETS = 1024  # file descriptors
DEFAULT_MEMORY_MB = 192.0  # MiB, the most that scored days allow
DEFAULT_CONNECT_TIMEOUT_S = 0.25
DEFAULT_CONN_IDLE_S = 15.0
DEFAULT_MOST_HELD = 20_000  # requests


class ConfigError(ValueError):
    """The configuration file cannot be read or is invalid; the message names the file and the fault."""


@dataclass(frozen=True, slots=True)
class Config:
    """The contents of a configuration file."""

    name: str  # of the gateway
    listen: Address
    discovery: Address
    counter: Address | None  # None: there is no shared counter
    seed: int  # of the decision module's random numbers
    sockets: int  # file descriptors that the gateway may use
    memory_mb: float  # MiB of memory that the process may use
    known_hosts: dict[str, Any]  # host list to start with, in the form of discovery's messages
    settings: api.Settings
    zones: tuple[str, ...]  # names, in the order of the zone numbers
    machine_types: tuple[str, ...]  # names, in the order of `HostInfo.kind`
    connect_timeout: float  # s
    conn_idle: float  # s after which hosts close an idle connection
    most_held: int  # requests that may be in progress at once


def read_address(text: str) -> Address:
    host, colon, port = text.rpartition(":")
    if not (host and colon and port.isdecimal() and int(port) <= MAX_PORT):
        raise ValueError(f"{text!r} is not of the form address:port")
    host = host.strip("[]")
    try:
        ipaddress.ip_address(host)
    except ValueError:
        raise ValueError(f"{text!r}: {host!r} is not an IP address (names are not resolved)") from None
    return host, int(port)


def flatten(settings: dict[str, Any]) -> Fields:
    """Converts nested settings to the fields of the simulator's text protocol, which `read_settings` takes.

    Keys are joined by dots, and lists of plain values by commas; objects in a list are numbered and counted.
    """
    fields: Fields = {}

    def walk(path: str, value: object) -> None:
        if isinstance(value, dict):
            for key, item in value.items():
                walk(f"{path}.{key}" if path else str(key), item)
        elif isinstance(value, list) and any(isinstance(item, dict) for item in value):
            fields[f"{path}.count"] = str(len(value))
            for i, item in enumerate(value):
                walk(f"{path}.{i}", item)
        elif isinstance(value, list):
            fields[path] = ",".join(str(item) for item in value)
        elif isinstance(value, bool):
            fields[path] = "true" if value else "false"
        elif value is not None:
            fields[path] = str(value)

    walk("", settings)
    return fields


def read_config(path: str) -> Config:
    try:
        data = json.loads(Path(path).read_bytes())
    except OSError as error:
        raise ConfigError(f"{path}: {error.strerror}") from None
    except ValueError as error:
        raise ConfigError(f"{path}: not valid JSON: {error}") from None
    try:
        return parse_config(data)
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        message = f"{error.args[0]}: missing" if isinstance(error, KeyError) else str(error)
        raise ConfigError(f"{path}: {message}") from None


def read_limit(limits: dict[str, Any], name: str, default: float) -> float:
    """A limit of the process, a number above 0; raises ValueError that names it."""
    value = limits.get(name, default)
    if isinstance(value, bool) or not isinstance(value, int | float) or not 0 < value < math.inf:
        raise ValueError(f"limits.{name}: {value!r} is not a number above 0")
    return float(value)


def parse_config(data: dict[str, Any]) -> Config:
    settings = data["settings"]
    fields, limits = flatten(settings), data.get("limits", {})

    def read_names(key: str) -> tuple[str, ...]:
        value = settings.get(key, [])  # in `fields`, a name that contains a comma would become two
        return tuple(map(str, value)) if isinstance(value, list) else (str(value),)

    config = Config(
        name=str(data.get("name", "gateway")),
        listen=read_address(data["listen"]),
        discovery=read_address(data["discovery"]),
        counter=read_address(data["counter"]) if data.get("counter") else None,
        seed=int(str(data["seed"]), 16),
        sockets=int(limits.get("sockets", DEFAULT_SOCKETS)),
        memory_mb=read_limit(limits, "memory_mb", DEFAULT_MEMORY_MB),
        known_hosts=data.get("known") or {},
        settings=read_settings(fields),
        zones=read_names("zones"),
        machine_types=read_names("skus"),
        connect_timeout=read_value(fields, "ceilings.connect_timeout_s", float, DEFAULT_CONNECT_TIMEOUT_S),
        conn_idle=read_value(fields, "ceilings.conn_idle_s", float, DEFAULT_CONN_IDLE_S),
        most_held=read_value(fields, "ceilings.most_held", parse_int, DEFAULT_MOST_HELD),
    )
    if config.sockets < MIN_SOCKETS:
        raise ValueError(f"limits.sockets: {config.sockets} is below 64")
    for name in ("connect_timeout", "conn_idle", "most_held"):
        if not getattr(config, name) > 0:
            raise ValueError(f"{name}: {getattr(config, name)} is not above 0")
    return config
