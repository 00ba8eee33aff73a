"""Reads a copy of an agreed folder for the judges, by its layout alone: none of the code under test is used.

``base-N`` and ``log-N`` each begin with a magic; then frames: mark, number, length, CRC-32C, payload. A
payload is a msgpack array of records, each an array that begins with its tag.
"""

from __future__ import annotations

import hashlib
import struct
from pathlib import Path
from typing import Any

import google_crc32c
import msgpack

from brassweir.lab.between.seen import Folder

MAGIC, MARK = b"BRWSAGR1", b"\xb7AGR"
HEAD = struct.Struct("<4sQII")
IDENTITY, BALLOT, ADDED, CUT, AGREED, SNAPSHOT, BASE = 1, 2, 3, 4, 5, 7, 8  # tags of records read here


def frames(data: bytes) -> list[list[Any]]:
    """The records of every whole frame of one file, up to the first that is torn."""
    found, at = [], len(MAGIC)
    while data.startswith(MAGIC) and len(data) - at >= HEAD.size:
        mark, number, length, crc = HEAD.unpack_from(data, at)
        payload = data[at + HEAD.size : at + HEAD.size + length]
        if mark != MARK or len(payload) != length:
            break
        if google_crc32c.value(struct.pack("<QI", number, length) + payload) != crc:
            break
        found += msgpack.unpackb(payload, raw=False, strict_map_key=False)
        at += HEAD.size + length
    return found


def digest(*parts: object) -> str:
    """A short name for what stands somewhere."""
    return hashlib.sha256(repr(parts).encode()).hexdigest()[:16]


def read_folder(folder: Path, at: float, copy: str, life: int) -> Folder | None:
    """What stands in the folder; None if nothing does yet. Raises ValueError where it contradicts itself."""
    numbers = [int(path.name[5:]) for path in folder.glob("base-*") if path.name[5:].isdigit()]
    whole = [number for number in numbers if (folder / f"log-{number}").exists()]
    if not whole:
        return None
    member, term, vote, agreed, base = "", 0, "", 0, 0
    snap: tuple[int, str] = (0, "")
    entries: dict[int, tuple[int, str]] = {}
    number = max(whole)
    for record in [
        *frames((folder / f"base-{number}").read_bytes()),
        *frames((folder / f"log-{number}").read_bytes()),
    ]:
        tag, *rest = record
        if tag == IDENTITY:
            member = str(rest[0])
        elif tag == BALLOT:
            term, vote = int(rest[0]), str(rest[1])
        elif tag == BASE:
            base, entries = int(rest[0]), {}
        elif tag == SNAPSHOT:
            snap = (int(rest[0]), digest(rest[1], rest[2], rest[4]))
        elif tag == ADDED:
            for entry in rest[0]:
                if entry[0] != max(entries, default=base) + 1:
                    raise ValueError(f"{copy}: entry {entry[0]} stands behind {max(entries, default=base)}")
                entries[entry[0]] = (entry[1], digest(*entry[2:6]))
        elif tag == CUT:
            entries = {index: entry for index, entry in entries.items() if index < rest[0]}
        elif tag == AGREED:
            agreed = max(agreed, int(rest[0]))
    return Folder(at, copy, life, term, vote, base, *snap, entries, max(agreed, snap[0]), member)
