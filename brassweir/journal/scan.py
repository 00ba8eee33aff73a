"""Reads a journal back: segments in order, from the newest complete snapshot on, with every gap reported."""

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
    """Return the file name of a segment, or of the snapshot that replaces the segments up to ``number``."""
    return f"{number:010d}.{'snap' if snapshot else 'log'}"


@dataclass(slots=True)
class Scan:
    """What a journal's directory holds.

    ``problems`` describes the damage found, one line each; ``holes`` are the records lost to it. ``stale``
    names files that a snapshot has replaced, or that are unfinished snapshots; ``segments`` the files that
    were read, in order, and ``sizes`` their sizes in bytes.
    """

    state: JournalState = field(default_factory=JournalState)
    holes: list[Hole] = field(default_factory=list)
    problems: list[str] = field(default_factory=list)
    stale: list[str] = field(default_factory=list)
    sizes: dict[str, int] = field(default_factory=dict)
    next_segment: int = 1
    next_sequence: int = 1
    records: int = 0
    torn_bytes: int = 0  # incomplete writes at ends of segments, left by processes that died
    # Place and size of invalid bytes at the end of the segment read last: a torn write, or damage. The
    # next segment's header decides.
    tail: tuple[str, int] | None = None

    @property
    def segments(self) -> list[str]:
        """The names of the files that were read, in order."""
        return list(self.sizes)

    @property
    def size(self) -> int:
        """The total size in bytes of the files that were read."""
        return sum(self.sizes.values())


def scan(storage: Storage) -> Scan:
    """Read the whole journal. Raises FormatError for a later format, and OSError."""
    result = Scan()
    named = {}
    for name in storage.names():
        match = _NAME.fullmatch(name)
        if match is not None:
            named[int(match[1]), match[2] == "snap"] = name
        elif name.endswith(".new"):
            result.stale.append(name)  # an unfinished snapshot
    order = sorted(named)
    result.next_segment = order[-1][0] + 1 if order else 1
    start = _newest_snapshot(storage, order, named, result)
    # The sequence number that the next record must have; None if it is unknown.
    expected = 1 if order[:1] == [(1, False)] and start is None else None
    previous = None
    for key in order:
        name = named[key]
        if start is not None and key < start:
            result.stale.append(name)
        if name in result.stale:
            continue
        if previous is not None and key[0] > previous + 1:
            missing = f"segments {previous + 1} to {key[0] - 1} are missing"
            _add_problem(missing, result)
        previous = key[0]
        expected = _read_segment(storage.read(name), name, expected, result)
    if result.tail is not None:
        result.torn_bytes += result.tail[1]  # the end of the last segment: never synced, so never relied on
    return result


def _newest_snapshot(
    storage: Storage, order: list[tuple[int, bool]], named: dict[tuple[int, bool], str], result: Scan
) -> tuple[int, bool] | None:
    """Return the key of the snapshot to start from; None if there is none.

    That is the newest complete one. An incomplete snapshot is used only if no older segment is left.
    """
    for key in reversed(order):
        if not key[1]:
            continue
        data = storage.read(named[key])
        parts = list(frame.read_frames(data)) if frame.read_header(data) is not None else []
        records = [part.record for part in parts if isinstance(part, FramedRecord)]
        last = records[-1] if records else None
        if isinstance(last, Whole) and last.records == len(records) - 1 and len(parts) == len(records):
            return key
        result.problems.append(f"{named[key]}: snapshot is incomplete; older segments are read instead")
        if any(not other[1] and other < key for other in order):
            result.stale.append(named[key])
            continue
        result.problems.append(f"{named[key]}: no older segment is left; its valid records are used")
        return key
    return None


def _read_segment(data: bytes, name: str, expected: int | None, result: Scan) -> int | None:
    """Add one segment's records to ``result``; returns the sequence number expected next, or None."""
    result.sizes[name] = len(data)
    header, snapshot = frame.read_header(data), name.endswith(".snap")
    if header is None and len(data) < frame.header_bytes(data):
        where, size = result.tail or (f"{name}:0: header is damaged", 0)
        result.tail = where, size + len(data)
        return expected
    _resolve_tail(header.first if header is not None and not snapshot else None, expected, result)
    if header is None:
        _add_problem(f"{name}:0: header is damaged", result)
    elif not snapshot:
        if expected is not None and header.first != expected:
            _add_problem(f"{name}:0: record {header.first} where {expected} was expected", result)
        expected = header.first  # a snapshot numbers its own records, so none is expected after it
        result.next_sequence = max(result.next_sequence, expected)
    if header is not None and header.damaged:
        result.problems.append(f"{name}:0: one of two copies of the header is damaged")
    for part in frame.read_frames(data):
        if isinstance(part, Damage):
            where = f"{name}:{part.offset}: {part.end - part.offset} bytes: {part.why}"
            if part.tail:
                result.tail = where, part.end - part.offset
                continue
            _add_problem(where, result)
            expected = None
            continue
        if expected is not None and part.sequence != expected and not snapshot:
            _add_problem(
                f"{name}:{part.offset}: record {part.sequence} where {expected} was expected", result
            )
        record: Record = part.record
        result.state.apply(record)
        result.records += 1
        expected = part.sequence + 1
        result.next_sequence = max(result.next_sequence, expected)
    return None if snapshot else expected


def _resolve_tail(first: int | None, expected: int | None, result: Scan) -> None:
    """Decide whether the invalid bytes at the end of the previous segment are a torn write or damage.

    ``first`` is the sequence number with which the next segment begins. If it is the expected one, the
    bytes were never a complete record. Otherwise at least one complete record is lost.
    """
    if result.tail is not None:
        where, size = result.tail
        result.tail = None
        if first is not None and first == expected:
            result.torn_bytes += size
        else:
            _add_problem(where, result)


def _add_problem(where: str, result: Scan) -> None:
    result.problems.append(where)
    result.holes.append(Hole(where, result.state.last_id))


__all__ = ["FormatError", "Scan", "scan", "segment_name"]
