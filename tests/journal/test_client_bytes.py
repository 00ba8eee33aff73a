"""Bytes that a client chose are never read as a record, wherever a write is torn."""

from __future__ import annotations

from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from brassweir.journal import compact, frame
from brassweir.journal.frame import FormatError
from brassweir.journal.records import Began, Ended, Final, Intent, Record, Taken, Told, Whole
from brassweir.journal.scan import Scan, scan, segment_name
from brassweir.journal.writer import Writer
from brassweir.lab.simulated.disk import SimStorage
from tests.journal.samples import taken_record

VERSION_FIELD = (8, 9)  # its offsets in the first copy of a header; a later format is refused
STRANGE = 10**6  # ids that no client was given
KINDS: list[Record] = [
    taken_record(STRANGE),
    Intent(3, 0, "strange", 1.0),
    Ended(3, 0, "strange", "ok", 1.0),
    Final(1, "delivered", "strange", 0.0, 1.0),
    Told(1),
    Began(1.0, "strange"),
    Whole(3),
]


def commit(writer: Writer, *records: Record) -> None:
    """Write records in one group."""
    for record in records:
        writer.add(record, None)
    group = writer.next_group()
    assert group is not None
    writer.group_committed(group, writer.commit(group))


def with_body(ident: int, content: bytes) -> Taken:
    """Return the record of a message with a body that its client chose."""
    return Taken(ident, "o", f"m{ident}", "pay", "1", "k", 6000.0, "a/b", "s", content)


def drawn_body(rng: Random, disk: SimStorage) -> bytes:
    """Return bytes that look like records: frames of any kind, or a copy of what the journal holds so far."""
    frames = b"".join(frame.encode_frame(number, KINDS[number % len(KINDS)]) for number in range(14))
    following = frame.encode_frame(rng.randint(1, 12), rng.choice(KINDS))
    copy = b"".join(disk.read(name) for name in sorted(disk.names()) if name[-4:] in (".log", "snap"))
    body = rng.choice(
        [frames, following * 40, copy, copy[rng.randint(0, 120) :], frame.encode_header(1, 1) + frames]
    )
    return (rng.randbytes(rng.randint(0, 40)) + body)[: 64 * 1024]


def records_of(result: Scan) -> dict[int, Taken]:
    """Return the accepted messages of a scan, which must name nothing strange."""
    assert result.state.sender != "strange"
    assert "strange" not in result.state.history.endpoints()
    taken = {
        ident: message.taken for ident, message in result.state.by_id.items() if message.taken is not None
    }
    for message in result.state.by_id.values():
        assert message.final is None and not message.receipt_delivered and not message.intents
    return taken


# Guards against review/6: a kill tore a write, and the bytes of a message's body were read as records.
@settings(max_examples=300, derandomize=True, deadline=None)
@given(st.integers(0, 10**9))
def test_no_bytes_of_a_body_are_read_as_a_record(seed: int) -> None:
    rng, disk = Random(seed), SimStorage()
    writer = Writer(disk, scan(disk))
    writer.open()
    written: dict[int, Taken] = {}
    for ident in range(1, rng.randint(3, 6)):
        record = written[ident] = with_body(ident, drawn_body(rng, disk))
        commit(writer, record)
        if rng.random() < 0.2:
            writer.snapshot(list(compact.live_records(writer.state, 0.0, 1e9)), writer.close_segment())
    name = rng.choice(sorted(name for name in disk.names() if name.endswith((".log", ".snap"))))
    data = bytearray(disk.synced[name])
    if rng.random() < 0.7:
        del data[rng.randint(0, len(data)) :]  # a torn write
    else:
        begin = rng.randint(0, len(data))
        end = min(len(data), begin + rng.choice([1, 30, 512, 4096]))
        data[begin:end] = bytes(end - begin)  # a sector that was not written
    disk.synced[name] = bytes(data)
    for _ in range(2):  # the next process begins a segment behind it, and is killed as well
        found = records_of(scan(disk))
        assert all(written.get(ident) == record for ident, record in found.items()), seed
        Writer(disk, scan(disk)).open()


@pytest.mark.parametrize("kind", KINDS, ids=lambda kind: type(kind).__name__)
def test_nor_in_a_segment_of_an_older_format(kind: Record) -> None:
    body = b"".join(frame.encode_frame(number, kind) for number in (2, 7, 7, 7) * 5)
    last = frame.encode_frame(2, with_body(2, body))
    before = frame.encode_header(1, 1) + frame.encode_frame(1, taken_record(1))
    for length in range(len(last)):
        disk = SimStorage()
        disk.synced[segment_name(1)] = before + last[:length]
        result = scan(disk)
        assert records_of(result) == {1: taken_record(1)} and result.torn_bytes == length
        assert not result.problems


def test_an_older_format_is_still_read_and_its_damage_reported() -> None:
    frames = [frame.encode_frame(number, taken_record(number)) for number in (1, 2, 3)]
    disk = SimStorage()
    disk.synced[segment_name(1)] = frame.encode_header(1, 1) + b"".join(frames)
    assert list(scan(disk).state.by_id) == [1, 2, 3] and not scan(disk).problems
    damaged = bytearray(disk.synced[segment_name(1)])
    for at in range(
        frame.HEADER_BYTES + len(frames[0]), frame.HEADER_BYTES + len(frames[0]) + len(frames[1])
    ):
        damaged[at] ^= 0x5A
        disk.synced[segment_name(1)] = bytes(damaged)
        assert list(scan(disk).state.by_id) == [1, 3] and scan(disk).problems, at
        damaged[at] ^= 0x5A


@pytest.mark.parametrize("copy", [0, 1])
def test_one_damaged_copy_of_a_header_is_reported_and_costs_no_record(copy: int) -> None:
    disk = SimStorage()
    writer = Writer(disk, scan(disk))
    writer.open()
    commit(writer, taken_record(1), taken_record(2))
    complete = disk.synced[segment_name(1)]
    half = frame.KEYED_HEADER_BYTES // 2
    for at in range(copy * half, copy * half + half):
        disk.synced[segment_name(1)] = complete[:at] + bytes([complete[at] ^ 0x5A]) + complete[at + 1 :]
        if at in VERSION_FIELD:
            with pytest.raises(FormatError):
                scan(disk)
            continue
        result = scan(disk)
        assert list(result.state.by_id) == [1, 2] and "header" in result.problems[0], at
