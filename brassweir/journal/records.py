"""What a journal holds. Wall times in ms since 1970; ids are the ledger's. docs/journal-format.md is the
contract.

The invariant of each record, in words, is its docstring: what is true of the world if the record is there,
and what may be true if it is not.
"""

from __future__ import annotations

import msgspec

from brassweir.interface import Result

VERSION = 2  # 1 knew no crowded endpoints


class Taken(msgspec.Struct, tag="t", array_like=True, frozen=True):
    """A message was taken on. Without it the client was told nothing that it could rely on.

    ``deadline`` is when its time is up; ``ran`` is when an attempt of an earlier hand-in may first have run,
    or 0; ``reply`` is the front's own note of how the answer is to be told, empty if only to who asks.
    """

    id: int
    owner: str
    identity: str
    class_name: str
    destination: str
    key: str
    deadline: float
    content_type: str
    subject: str
    content: bytes
    reply: bytes = b""
    ran: float = 0.0


class Intent(msgspec.Struct, tag="i", array_like=True, frozen=True):
    """An attempt may go out from now on. Without it, not a byte of an attempt that must not repeat went
    out."""

    id: int
    number: int
    endpoint: str
    at: float


class Ended(msgspec.Struct, tag="o", array_like=True, frozen=True):
    """An attempt ended so. Without it, an attempt with an intent may have run, and may still run."""

    id: int
    number: int
    endpoint: str
    result: str
    at: float
    wait: float = 0.0


class Final(msgspec.Struct, tag="f", array_like=True, frozen=True):
    """The final answer. Without it, nobody was told one."""

    id: int
    answer: str
    reason: str
    retry_after: float
    at: float


class Told(msgspec.Struct, tag="r", array_like=True, frozen=True):
    """The receipt owed for a message was brought. Without it, it may have been, and is brought again."""

    id: int


class Began(msgspec.Struct, tag="s", array_like=True, frozen=True):
    """A process began to write; attempts of those before it are no longer out on its account."""

    at: float
    sender: str


class Whole(msgspec.Struct, tag="w", array_like=True, frozen=True):
    """The end of a snapshot: what stands before it in this segment replaces all earlier segments."""

    records: int


Record = Taken | Intent | Ended | Final | Told | Began | Whole

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Record)


def encode(record: Record) -> bytes:
    """A record as bytes."""
    return _encoder.encode(record)


def decode(data: bytes) -> Record:
    """A record from bytes. Raises ValueError."""
    try:
        record: Record = _decoder.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise ValueError(f"no record: {error}") from None
    if isinstance(record, Ended) and record.result not in {one.value for one in Result}:
        raise ValueError(f"no record: unknown result {record.result!r}")
    return record
