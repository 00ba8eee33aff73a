"""Positions in source files, and problems found there."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, order=True)
class Place:
    """A position in a file; ``via`` names the macro use that produced the line, or is empty."""

    file: str
    line: int
    column: int = 1
    via: str = ""

    def __str__(self) -> str:
        return f"{self.file}:{self.line}:{self.column}" + (f" ({self.via})" if self.via else "")


@dataclass(frozen=True, slots=True, order=True)
class Problem:
    """Something that was not read or converted; ``lost`` if traffic would differ because of it."""

    place: Place
    message: str
    lost: bool = True

    def __str__(self) -> str:
        return f"{self.place}: {self.message}"
