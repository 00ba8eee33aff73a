"""Reads a whole journal back: segments in order, from the newest whole snapshot on, with every hole named."""

from __future__ import annotations

import re
from dataclasses import dataclass, field

from brassweir.journal import frame
from brassweir.journal.frame import Damage, FormatError, FramedRecord
from brassweir.journal.records import Record, Whole
from brassweir.journal.recover import Hole
from brassweir.journal.state import JournalState
from brassweir.journal.storage import Storage

_NAME = re.compile(r"(\d{10})\.(log|snap)")


def segment_name(number: int, snapshot: bool = False) -> str:
    """The file of a segment."""
    return f"{number:010d}.{'snap' if snapshot else 'log'}"


@dataclass(slots=True)
class Scan:
    """What a journal holds. ``stale`` are files that a snapshot has replaced, or that were never finished."""

    state: JournalState = field(default_factory=JournalState)
    holes: list[Hole] = field(default_factory=list)
    problems: list[str] = field(default_factory=list)
    stale: list[str] = field(default_factory=list)
    segments: list[str] = field(default_factory=list)
    next_segment: int = 1
    next_sequence: int = 1
    records: int = 0
    size: int = 0
    torn_bytes: int = 0  # bytes at ends of segments that were being written when a process died
    tail: tuple[str, int] | None = None  # where such bytes may stand, until the next segment tells


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
    expected = 1 if order[:1] == [(1, False)] and start is None else None  # of the next record
    before = None
    for key in order:
        name = named[key]
        if start is not None and key < start:
            found.stale.append(name)
        if name in found.stale:
            continue
        if before is not None and key[0] > before + 1:
            missing = f"segments {before + 1} to {key[0] - 1} are missing"
            _problem(missing, found)
        before = key[0]
        expected = _segment(storage.read(name), name, expected, found)
    if found.tail is not None:
        found.torn_bytes += found.tail[1]  # the very end: never synced, and nobody relied on it
    return found


def _newest_snapshot(
    storage: Storage, order: list[tuple[int, bool]], named: dict[tuple[int, bool], str], found: Scan
) -> tuple[int, bool] | None:
    for key in reversed(order):
        if not key[1]:
            continue
        data = storage.read(named[key])
        parts = list(frame.read_frames(data)) if frame.read_header(data) is not None else []
        records = [part.record for part in parts if isinstance(part, FramedRecord)]
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


def _segment(data: bytes, name: str, expected: int | None, found: Scan) -> int | None:
    """One segment's records; returns the sequence number due next."""
    found.segments.append(name)
    found.size += len(data)
    head, snapshot = frame.read_header(data), name.endswith(".snap")
    if head is None and len(data) < frame.HEADER_BYTES:
        where, size = found.tail or (f"{name}:0: header is damaged", 0)
        found.tail = where, size + len(data)
        return expected
    _settle(head[1] if head is not None and not snapshot else None, expected, found)
    if head is None:
        _problem(f"{name}:0: header is damaged", found)
    elif not snapshot:
        if expected is not None and head[1] != expected:
            _problem(f"{name}:0: record {head[1]} where {expected} was due", found)
        expected = head[1]  # behind a snapshot nothing is due: its records have numbers of their own
        found.next_sequence = max(found.next_sequence, expected)
    for part in frame.read_frames(data, min(frame.HEADER_BYTES, len(data))):
        if isinstance(part, Damage):
            where = f"{name}:{part.offset}: {part.end - part.offset} bytes: {part.why}"
            if part.tail:
                found.tail = where, part.end - part.offset
                continue
            _problem(where, found)
            expected = None
            continue
        if expected is not None and part.sequence != expected and not snapshot:
            _problem(f"{name}:{part.offset}: record {part.sequence} where {expected} was due", found)
        record: Record = part.record
        found.state.apply(record)
        found.records += 1
        expected = part.sequence + 1
        found.next_sequence = max(found.next_sequence, expected)
    return None if snapshot else expected


def _settle(begins: int | None, expected: int | None, found: Scan) -> None:
    """What stands at the end of the segment before was being written when its process died if the next one
    begins with that very record; if a later one follows, it was whole once, and is lost."""
    if found.tail is not None:
        where, size = found.tail
        found.tail = None
        if begins is not None and begins == expected:
            found.torn_bytes += size
        else:
            _problem(where, found)


def _problem(where: str, found: Scan) -> None:
    found.problems.append(where)
    found.holes.append(Hole(where, found.state.last_id))


__all__ = ["FormatError", "Scan", "scan", "segment_name"]
