"""Where in the source a fact stands, and what could not be read or carried over."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, order=True)
class Place:
    """A line of a file; ``via`` says through which macro or include it came there."""

    file: str
    line: int
    column: int = 1
    via: str = ""

    def __str__(self) -> str:
        return f"{self.file}:{self.line}:{self.column}" + (f" ({self.via})" if self.via else "")


@dataclass(frozen=True, slots=True, order=True)
class Complaint:
    """Something that the result does not hold. ``lost`` says that traffic would differ because of it."""

    place: Place
    what: str
    lost: bool = True

    def __str__(self) -> str:
        return f"{self.place}: {self.what}"
