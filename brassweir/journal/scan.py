"""Reads a whole journal back: segments in order, from the newest whole snapshot on, with every hole named."""

from __future__ import annotations

import re
from dataclasses import dataclass, field

from brassweir.journal import frame
from brassweir.journal.frame import Damage, FormatError, Found
from brassweir.journal.life import Lives
from brassweir.journal.records import Record, Whole
from brassweir.journal.recover import Hole
from brassweir.journal.storage import Storage

_NAME = re.compile(r"(\d{10})\.(log|snap)")


def segment_name(number: int, snapshot: bool = False) -> str:
    """The file of a segment."""
    return f"{number:010d}.{'snap' if snapshot else 'log'}"


@dataclass(slots=True)
class Scan:
    """What a journal holds. ``stale`` are files that a snapshot has replaced, or that were never finished."""

    lives: Lives = field(default_factory=Lives)
    holes: list[Hole] = field(default_factory=list)
    problems: list[str] = field(default_factory=list)
    stale: list[str] = field(default_factory=list)
    segments: list[str] = field(default_factory=list)
    next_segment: int = 1
    next_sequence: int = 1
    records: int = 0
    size: int = 0
    torn: int = 0  # bytes at the very end that were being written when the process died


def scan(storage: Storage) -> Scan:
    """Read everything. Raises FormatError for a later format, and OSError."""
    found = Scan()
    named = {}
    for name in storage.names():
        match = _NAME.fullmatch(name)
        if match is not None:
            named[int(match[1]), match[2] == "snap"] = name
        elif name.endswith(".new"):
            found.stale.append(name)  # a snapshot that was being written
    order = sorted(named)
    found.next_segment = order[-1][0] + 1 if order else 1
    start = _newest_snapshot(storage, order, named, found)
    last = order[-1] if order else None
    expected: int | None = None
    before = None
    for key in order:
        name = named[key]
        if start is not None and key < start:
            found.stale.append(name)
        if name in found.stale:
            continue
        if before is not None and key[0] > before + 1:
            missing = f"segments {before + 1} to {key[0] - 1} are missing"
            found.problems.append(missing)
            found.holes.append(Hole(missing, found.lives.last_id))
        before = key[0]
        expected = _segment(storage.read(name), name, key == last, expected, found)
    return found


def _newest_snapshot(storage: Storage, order: list[tuple[int, bool]], named: dict[tuple[int, bool], str],
                     found: Scan) -> tuple[int, bool] | None:
    for key in reversed(order):
        if not key[1]:
            continue
        data = storage.read(named[key])
        parts = list(frame.read(data)) if frame.read_header(data) is not None else []
        records = [part.record for part in parts if isinstance(part, Found)]
        whole = records[-1] if records else None
        if isinstance(whole, Whole) and whole.records == len(records) - 1 and len(parts) == len(records):
            return key
        found.problems.append(f"{named[key]}: snapshot is not whole; older segments are read instead")
        if any(not other[1] and other < key for other in order):
            found.stale.append(named[key])
            continue
        found.problems.append(f"{named[key]}: and nothing older is left: what of it holds is used")
        return key
    return None


def _segment(data: bytes, name: str, last: bool, expected: int | None, found: Scan) -> int | None:
    """One segment's records; returns the sequence number due next."""
    found.segments.append(name)
    found.size += len(data)
    head = frame.read_header(data)
    if expected is None and head is not None:
        expected = head[1]  # behind a snapshot, whose records have numbers of their own
    if head is None:
        if last and len(data) < frame.HEADER:
            found.torn += len(data)
            return expected
        found.problems.append(f"{name}:0: header is damaged")
        found.holes.append(Hole(f"{name}:0", found.lives.last_id))
    snapshot = name.endswith(".snap")
    for part in frame.read(data, min(frame.HEADER, len(data))):
        if isinstance(part, Damage):
            if last and part.tail:
                found.torn += part.end - part.at  # never synced: nobody relied on it
                continue
            where = f"{name}:{part.at}: {part.end - part.at} bytes: {part.why}"
            found.problems.append(where)
            found.holes.append(Hole(where, found.lives.last_id))
            expected = None
            continue
        if expected is not None and part.sequence != expected and not snapshot:
            where = f"{name}:{part.at}: record {part.sequence} where {expected} was due"
            found.problems.append(where)
            found.holes.append(Hole(where, found.lives.last_id))
        record: Record = part.record
        found.lives.apply(record)
        found.records += 1
        expected = part.sequence + 1
        found.next_sequence = max(found.next_sequence, expected)
    return None if snapshot else expected


__all__ = ["FormatError", "Scan", "scan", "segment_name"]
