"""Damage: flipped bytes, missing and stale segments, what is not whole, and any bytes at all."""

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
from tests.journal.made import taken, written


@settings(max_examples=80, deadline=None)
@given(st.integers(0, 4000), st.integers(1, 255))
def test_a_flipped_byte_is_named_and_the_rest_is_read(at: int, flip: int) -> None:
    disk = written()
    name = segment_name(1)
    data = bytearray(disk.read(name))
    at %= len(data)
    data[at] ^= flip
    disk.synced[name] = bytes(data)
    try:
        found = scan(disk)
    except FormatError:
        assert at < frame.HEADER_BYTES
        return
    lost = [
        ident
        for ident in range(1, 7)
        if ident not in found.state.by_id
        or found.state.by_id[ident].final is None
        or found.state.by_id[ident].taken is None
    ]
    assert len(lost) <= 1 and found.records >= 23
    assert found.problems or found.torn_bytes or found.records == 24
    if found.problems:
        assert found.problems[0].startswith(f"{name}:")


def test_a_missing_segment_and_a_stale_one() -> None:
    disk = written()
    whole = disk.read(segment_name(1))
    cut = next(
        part.end for part in frame.read_frames(whole) if isinstance(part, FramedRecord) and part.sequence == 8
    )
    disk.synced = {
        segment_name(1): whole[:cut],
        segment_name(4): frame.encode_header(4, 17) + whole[cut:][:0],
    }
    found = scan(disk)
    assert "segments 2 to 3 are missing" in found.problems[0] and found.holes[0].last_id == 2
    disk = written()
    lives = scan(disk).state
    kept = list(compact.live_records(lives, 100.0, 1e9))
    writer = Writer(disk, scan(disk))
    writer.open()
    writer.snapshot(kept, writer.close_segment())
    disk.synced[segment_name(1)] = whole  # back from the dead, as after a crash
    again = scan(disk)
    assert segment_name(1) in again.stale and not again.problems
    assert {ident: life.final for ident, life in again.state.by_id.items()} == {
        ident: life.final for ident, life in lives.by_id.items()
    }


def test_an_unfinished_snapshot_does_not_count() -> None:
    disk = written()
    data = frame.encode_header(1, 0) + frame.encode_frame(0, taken(99)) + frame.encode_frame(1, Whole(5))
    disk.synced[segment_name(1, snapshot=True)] = data
    found = scan(disk)
    assert "is incomplete" in found.problems[0] and 6 in found.state.by_id


def test_a_later_format_is_refused_and_a_cut_tail_is_not_damage(tmp_path: Path) -> None:
    disk = written()
    name = segment_name(1)
    whole = disk.read(name)
    disk.synced[name] = whole[:-5]
    assert not scan(disk).problems and scan(disk).torn_bytes > 0
    disk.synced[name] = whole[:8] + b"\x63\x00" + whole[10:]
    with pytest.raises(FormatError, match="format 99"):
        scan(disk)


@settings(max_examples=200, deadline=None)
@given(st.binary(max_size=300))
def test_no_bytes_are_more_than_damage(data: bytes) -> None:
    covered = 0
    for part in frame.read_frames(data, 0):
        assert isinstance(part, Damage) and part.offset == covered
        covered = part.end
    assert covered == len(data)
    with pytest.raises(ValueError):
        records.decode(b"\xc1" + data)
