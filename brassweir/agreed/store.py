"""The member's directory: a base and a log after it, by the journal's storage port. Calls block on the disk.

``base-N`` holds the whole state at its writing; ``log-N`` the records since then, one frame per write. A
frame is synced before the next is written, so damage with an intact frame after it is no torn write: the
member does not start. ``log-N`` is created before ``base-N`` gets its name, so one without the other is loss,
not a crash.
"""

from __future__ import annotations

import struct
from dataclasses import replace
from random import Random

import google_crc32c
import msgspec

from brassweir.agreed.records import Identity, Persisted, Record
from brassweir.journal.storage import LOCK_NAME, Storage

MAGIC = b"BRWSAGR1"
RECOVERY_ADVICE = "set the folder aside; the copy then starts as a new member"
FRAME_MARK = b"\xb7AGR"
_FRAME = struct.Struct("<4sQII")  # mark, number, length, CRC-32C of number, length and payload
_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(tuple[Record, ...])


class StoreDamaged(Exception):
    """The directory cannot be trusted. The text names file and position, and what to do."""


def frame(number: int, records: tuple[Record, ...]) -> bytes:
    """Encode one write."""
    payload = _ENCODER.encode(records)
    crc = google_crc32c.value(struct.pack("<QI", number, len(payload)) + payload)
    return _FRAME.pack(FRAME_MARK, number, len(payload), crc) + payload


def unframe(data: bytes, at: int, number: int | None = None) -> tuple[int, bytes, int] | None:
    """Number, payload and end of the frame at ``at``; None if there is no intact one."""
    if len(data) - at < _FRAME.size:
        return None
    mark, frame_number, length, crc = _FRAME.unpack_from(data, at)
    payload = data[at + _FRAME.size : at + _FRAME.size + length]
    if mark != FRAME_MARK or len(payload) != length or number not in (None, frame_number):
        return None
    if google_crc32c.value(struct.pack("<QI", frame_number, length) + payload) != crc:
        return None
    return frame_number, payload, at + _FRAME.size + length


def read_frames(name: str, data: bytes) -> list[tuple[Record, ...]]:
    """All writes of a file, without a torn last one. Raises StoreDamaged."""
    if not data.startswith(MAGIC):
        raise StoreDamaged(f"{name}: not a log of this program: {RECOVERY_ADVICE}")
    at = len(MAGIC)
    writes: list[tuple[Record, ...]] = []
    while at < len(data):
        intact = unframe(data, at, len(writes))
        if intact is None:
            later = at
            while (later := data.find(FRAME_MARK, later + 1)) >= 0:
                later_frame = unframe(data, later)
                if later_frame is not None and later_frame[0] > len(writes):
                    raise StoreDamaged(
                        f"{name}: damage at byte {at} with good writes behind it: {RECOVERY_ADVICE}"
                    )
            break
        try:
            writes.append(_DECODER.decode(intact[1]))
        except msgspec.MsgspecError as error:
            raise StoreDamaged(f"{name}: byte {at}: {error}: written by a later version?") from None
        at = intact[2]
    return writes


def recover(storage: Storage) -> tuple[Persisted, int]:
    """State and file number of a directory; ``Persisted()`` and 0 if new. Raises StoreDamaged, OSError."""
    names = set(storage.names()) - {LOCK_NAME}
    numbers = [int(name[5:]) for name in names if name.startswith("base-") and name[5:].isdigit()]
    if not numbers:
        if any(name.startswith(("base-", "log-")) for name in names) and "log-1" not in names:
            raise StoreDamaged(f"the folder's base is missing: {RECOVERY_ADVICE}")
        return Persisted(), 0
    number = max(numbers)
    if f"log-{number}" not in names:
        raise StoreDamaged(f"log-{number} is missing: {RECOVERY_ADVICE}")
    base = storage.read(f"base-{number}")
    base_frame = unframe(base, len(MAGIC), 0)
    if not base.startswith(MAGIC) or base_frame is None:
        raise StoreDamaged(f"base-{number} is damaged: {RECOVERY_ADVICE}")
    kept = Persisted()
    try:
        kept.replay(_DECODER.decode(base_frame[1]))
        for records in read_frames(f"log-{number}", storage.read(f"log-{number}")):
            kept.replay(records)
    except (msgspec.MsgspecError, ValueError) as error:
        raise StoreDamaged(f"the folder contradicts itself: {error}: {RECOVERY_ADVICE}") from None
    return kept, number


class Store:
    """Writes the directory. After any error it is unusable: open another one."""

    def __init__(self, storage: Storage, rng: Random) -> None:
        """Read the directory and count this run in it, durably. Raises StoreDamaged, OSError."""
        self.storage = storage
        kept, self.number = recover(storage)
        member = kept.identity.member or f"{rng.getrandbits(64):016x}"
        run = Identity(member, kept.identity.group, kept.identity.generation + 1, rng.getrandbits(32))
        self.persisted = replace(kept, identity=run)
        self.frame_count = 0
        self.write_whole(tuple(self.persisted.to_records()))

    def write(self, records: tuple[Record, ...]) -> None:
        """Append one write; durable on return. Raises OSError."""
        self.storage.append(f"log-{self.number}", frame(self.frame_count, records))
        self.storage.sync(f"log-{self.number}")
        self.frame_count += 1

    def write_whole(self, records: tuple[Record, ...]) -> None:
        """Start a new base with these records in place of all others; durable on return. Raises OSError."""
        number, storage = self.number + 1, self.storage
        storage.create(f"log-{number}")
        storage.append(f"log-{number}", MAGIC)
        storage.sync(f"log-{number}")
        storage.create("new")
        storage.append("new", MAGIC + frame(0, records))
        storage.sync("new")
        storage.rename("new", f"base-{number}")
        self.number, self.frame_count = number, 0
        for name in storage.names():
            if name.startswith(("base-", "log-")) and name not in (f"base-{number}", f"log-{number}"):
                storage.remove(name)
