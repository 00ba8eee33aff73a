"""Damage: flipped bytes, missing and stale segments, incomplete snapshots, and arbitrary bytes."""

from __future__ import annotations

from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from brassweir.journal import compact, frame, records
from brassweir.journal.frame import Damage, FormatError, FramedRecord
from brassweir.journal.records import Whole
from brassweir.journal.scan import scan, segment_name
from brassweir.journal.writer import Writer
from tests.journal.samples import taken_record, written_journal


@settings(max_examples=80, deadline=None)
@given(st.integers(0, 4000), st.integers(1, 255))
def test_a_flipped_byte_is_reported_and_all_other_records_are_read(at: int, flip: int) -> None:
    disk = written_journal()
    name = segment_name(1)
    data = bytearray(disk.read(name))
    at %= len(data)
    data[at] ^= flip
    disk.synced[name] = bytes(data)
    try:
        result = scan(disk)
    except FormatError:
        assert at < frame.HEADER_BYTES
        return
    lost = [
        ident
        for ident in range(1, 7)
        if ident not in result.state.by_id
        or result.state.by_id[ident].final is None
        or result.state.by_id[ident].taken is None
    ]
    assert len(lost) <= 1 and result.records >= 23
    assert result.problems or result.torn_bytes or result.records == 24
    if result.problems:
        assert result.problems[0].startswith(f"{name}:")


def test_a_missing_segment_is_reported_and_a_stale_one_ignored() -> None:
    disk = written_journal()
    complete = disk.read(segment_name(1))
    end = next(
        part.end
        for part in frame.read_frames(complete)
        if isinstance(part, FramedRecord) and part.sequence == 8
    )
    disk.synced = {
        segment_name(1): complete[:end],
        segment_name(4): frame.encode_header(4, 17) + complete[end:][:0],
    }
    result = scan(disk)
    assert "segments 2 to 3 are missing" in result.problems[0] and result.holes[0].last_id == 2
    disk = written_journal()
    state = scan(disk).state
    kept = list(compact.live_records(state, 100.0, 1e9))
    writer = Writer(disk, scan(disk))
    writer.open()
    writer.snapshot(kept, writer.close_segment())
    disk.synced[segment_name(1)] = complete  # as if the crash had undone its removal
    again = scan(disk)
    assert segment_name(1) in again.stale and not again.problems
    assert {ident: message.final for ident, message in again.state.by_id.items()} == {
        ident: message.final for ident, message in state.by_id.items()
    }


def test_an_incomplete_snapshot_is_not_used() -> None:
    disk = written_journal()
    data = (
        frame.encode_header(1, 0) + frame.encode_frame(0, taken_record(99)) + frame.encode_frame(1, Whole(5))
    )
    disk.synced[segment_name(1, snapshot=True)] = data
    result = scan(disk)
    assert "is incomplete" in result.problems[0] and 6 in result.state.by_id


def test_a_later_format_is_refused_and_a_truncated_end_is_not_damage(tmp_path: Path) -> None:
    disk = written_journal()
    name = segment_name(1)
    complete = disk.read(name)
    disk.synced[name] = complete[:-5]
    assert not scan(disk).problems and scan(disk).torn_bytes > 0
    disk.synced[name] = complete[:8] + b"\x63\x00" + complete[10:]
    with pytest.raises(FormatError, match="format 99"):
        scan(disk)


@settings(max_examples=200, deadline=None)
@given(st.binary(max_size=300))
def test_arbitrary_bytes_are_reported_as_damage(data: bytes) -> None:
    covered = 0
    for part in frame.read_frames(data, 0):
        assert isinstance(part, Damage) and part.offset == covered
        covered = part.end
    assert covered == len(data)
    with pytest.raises(ValueError):
        records.decode(b"\xc1" + data)
