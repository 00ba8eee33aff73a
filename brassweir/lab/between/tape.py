"""The relay's tape: every datagram between two copies, 14 bytes each, and its file.

The file: one line of JSON with the copies' names, then records (little endian): seconds since the start as a
double, from, to (numbers in that list), size in bytes, fate, kind (a number in KINDS).
"""

from __future__ import annotations

import json
import struct
from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import IntEnum
from pathlib import Path

RECORD = struct.Struct("<dBBHBB")
KINDS = ("", "live", "log")  # as the sealed envelope names them in clear; others are ""
LARGEST = 64_000_000  # bytes of a tape that are read


class Fate(IntEnum):
    """What became of a datagram."""

    PASSED = 0
    LOST = 1
    DOUBLED = 2
    DELAYED = 3
    SWAPPED = 4
    CUT = 5
    SPOILT = 6  # one bit of it turned, and passed on
    UNSENT = 7  # the system did not take it


@dataclass(frozen=True, slots=True)
class Datagram:
    """One datagram as it came to the relay; ``at`` in seconds since the start."""

    at: float
    sender: str
    to: str
    size: int
    fate: Fate
    kind: str = ""


def kind_of(data: bytes) -> str:
    """The kind that a sealed datagram names: behind version and digest, a msgpack array whose first is it."""
    if len(data) < 19 or not 0x90 <= data[17] <= 0x9F or not 0xA0 <= data[18] <= 0xBF:
        return ""
    kind = data[19 : 19 + (data[18] & 0x1F)].decode("ascii", "replace")
    return kind if kind in KINDS else ""


@dataclass(slots=True)
class RelayTape:
    """All datagrams in the order seen."""

    names: Sequence[str]
    seen: list[Datagram] = field(default_factory=list)

    def add(self, at: float, sender: str, to: str, size: int, fate: Fate, kind: str = "") -> None:
        """Note one."""
        self.seen.append(Datagram(at, sender, to, size, fate, kind))

    def write(self, path: Path) -> None:
        """Write the file."""
        number = {name: i for i, name in enumerate(self.names)}
        with path.open("wb") as file:
            file.write(json.dumps({"copies": list(self.names)}).encode() + b"\n")
            for one in self.seen:
                file.write(
                    RECORD.pack(
                        one.at, number[one.sender], number[one.to], one.size, one.fate, KINDS.index(one.kind)
                    )
                )


def read(path: Path) -> RelayTape:
    """Read a tape's file. Raises ValueError where it is none."""
    if path.stat().st_size > LARGEST:
        raise ValueError(f"{path}: larger than {LARGEST} bytes")
    head, _, rest = path.read_bytes().partition(b"\n")
    try:
        names = json.loads(head)["copies"]
        return RelayTape(
            names,
            [
                Datagram(at, names[a], names[b], size, Fate(fate), KINDS[kind])
                for at, a, b, size, fate, kind in RECORD.iter_unpack(rest)
            ],
        )
    except (ValueError, KeyError, IndexError, TypeError, struct.error) as error:
        raise ValueError(f"{path}: no tape of a relay: {error}") from None
