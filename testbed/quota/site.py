"""Reads and checks site files (TOML), which describe a deployment by ranges of values."""

from __future__ import annotations

import math
import tomllib
from collections.abc import Mapping
from pathlib import Path
from typing import NamedTuple, NoReturn


class SiteError(ValueError):
    """A site file cannot be read, or an entry is missing or invalid; the message is one line and names it."""


class Range(NamedTuple):
    """The values that an entry may have; a single number in the file is a range with equal bounds."""

    low: float
    high: float


class Section:
    """One table of a site file; entries are checked as they are read."""

    def __init__(self, entries: Mapping[str, object], path: str) -> None:
        self.entries = entries
        self.path = path

    def section(self, name: str) -> Section:
        """The table of this name; SiteError if there is none."""
        value = self.entries.get(name)
        if not isinstance(value, Mapping):
            self.fail(name, "a table is needed")
        return Section(value, self._entry_path(name))

    def sections(self, name: str) -> list[Section]:
        """The array of tables of this name; SiteError if there is none or it is empty."""
        value = self.entries.get(name)
        if not isinstance(value, list) or not value or not all(isinstance(v, Mapping) for v in value):
            self.fail(name, "at least one table is needed")
        return [Section(v, f"{self._entry_path(name)}[{i}]") for i, v in enumerate(value)]

    def range(self, name: str, default: Range | None = None) -> Range:
        """A number or a pair of numbers, none below 0; SiteError if invalid, or missing without a default."""
        value = self.entries.get(name)
        if value is None and default is not None:
            return default
        bounds = value if isinstance(value, list | tuple) else (value, value)
        if len(bounds) != 2 or not all(_is_number(v) for v in bounds):
            self.fail(name, f"{_describe(value)} is neither a number nor a pair of numbers")
        low, high = float(bounds[0]), float(bounds[1])
        if not 0 <= low <= high:
            self.fail(name, f"{_describe(value)} is negative or not in ascending order")
        return Range(low, high)

    def positive_range(self, name: str) -> Range:
        """A range whose values are all above 0; SiteError if it is missing or includes 0."""
        value_range = self.range(name)
        if value_range.low <= 0:
            self.fail(name, f"{_describe(self.entries[name])} must be above 0")
        return value_range

    def number(self, name: str, default: float | None = None) -> float:
        """One number, not below 0; SiteError if it is a range, or missing without a default."""
        value_range = self.range(name, None if default is None else Range(default, default))
        if value_range.low != value_range.high:
            self.fail(name, f"{_describe(self.entries[name])} must be a single number")
        return value_range.low

    def flag(self, name: str, default: bool = False) -> bool:
        """A boolean; SiteError for anything else."""
        value = self.entries.get(name, default)
        if not isinstance(value, bool):
            self.fail(name, f"{_describe(value)} is neither true nor false")
        return value

    def text(self, name: str) -> str:
        """A string; SiteError for anything else."""
        value = self.entries.get(name)
        if not isinstance(value, str):
            self.fail(name, f"{_describe(value)} is not a string")
        return value

    def options(self, name: str, allowed: tuple[str, ...], default: str | None = None) -> tuple[str, ...]:
        """One of the allowed words or a list of them; SiteError for anything else."""
        value = self.entries.get(name, default)
        options = value if isinstance(value, list) else [value]
        if not options or not all(isinstance(option, str) and option in allowed for option in options):
            self.fail(name, f"{_describe(value)} is not one of: {', '.join(allowed)}")
        return tuple(options)

    def fail(self, name: str, reason: str) -> NoReturn:
        """Raises a SiteError that names the entry."""
        raise SiteError(f"{self._entry_path(name)}: {reason}")

    def _entry_path(self, name: str) -> str:
        separator = ": " if self.path.endswith(".toml") else "."
        return f"{self.path}{separator}{name}"


def read_site(path: Path) -> Section:
    """The top-level table of a site file; SiteError if it cannot be read or is not valid TOML."""
    try:
        return Section(tomllib.loads(path.read_text()), path.name)
    except OSError as error:
        raise SiteError(f"{path}: {error.strerror}") from error
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise SiteError(f"{path}: {error}") from error


def _is_number(value: object) -> bool:
    return isinstance(value, int | float) and not isinstance(value, bool) and math.isfinite(value)


def _describe(value: object) -> str:
    return "a missing value" if value is None else repr(value)
