"""Writes a complete snapshot into a file of its own."""

from __future__ import annotations

from brassweir.journal import frame
from brassweir.journal.records import Record, Whole
from brassweir.journal.storage import Storage

CHUNK_RECORDS = 512  # frames joined in one write


def write(storage: Storage, name: str, number: int, records: list[Record]) -> int:
    """Write and sync a snapshot of the segments up to ``number``; returns its bytes. Raises OSError."""
    storage.create(name)
    size = 0
    chunk = [frame.encode_header(number, 0)]
    for i, record in enumerate([*records, Whole(len(records))]):
        chunk.append(frame.encode_frame(i, record))
        if len(chunk) >= CHUNK_RECORDS:
            size += _append(storage, name, chunk)
    size += _append(storage, name, chunk)
    storage.sync(name)
    return size


def _append(storage: Storage, name: str, chunk: list[bytes]) -> int:
    data = b"".join(chunk)
    chunk.clear()
    storage.append(name, data)
    return len(data)
